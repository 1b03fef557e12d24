"""The leader's queries to the permission service: for which steps and workers.

If the permitted workers have no free capacity for a waiting step, the leader queries
about further workers and about those whose tickets expire soon. For a step that opens
later, it sends the query in advance while the earlier steps run. Quick queries are sent
as soon as a step lacks tickets (``decisions/cell/permissions.py``); slow ones are
decided for all steps together (``query_rounds``).
"""

from alderreach.core import cell_state
from alderreach.decisions.cell import choice, permissions, query_planning
from alderreach.ops.controller import query_rounds

# Tickets should remain valid for at least this time after the predicted end of the
# earlier steps.
MIN_TICKET_REMAINDER_MS = 400
# Bounds of the interval between checks of a step that opens later. Within them, the
# next check is at half of the time until the query is due, since earlier steps may end
# early.
MIN_ASK_AHEAD_INTERVAL_MS = 20
MAX_ASK_AHEAD_INTERVAL_MS = 100
# A waiting step with a slow rule is considered in full at least this often.
MAX_UNCHECKED_MS = 1000
# The number of workers considered for one query in larger pools.
MAX_CANDIDATE_WORKERS = 500


class PermissionQueries:
    """The queries of one term of leadership.

    ``begin_pass`` has to be called first in each planning pass. ``rank_of(job, group)``
    returns the ``order.Rank`` of a group, and ``expected_ms(job, step_number)`` the
    expected duration of a task, by default the submitter's estimate.
    """

    def __init__(self, leader, rank_of, expected_ms=None):
        self._leader = leader
        self._rank_of = rank_of
        # Groups that open later, each with the time of its next check.
        self._upcoming = {}
        self._helpers = ()
        self._config = None
        self._rules = []
        self._min_decision_ms = None
        self._next_ahead_ms = 0
        # Groups whose queries were counted as those of a started step.
        self._counted = {}
        self._rounds = query_rounds.QueryRounds(
            leader,
            rank_of,
            expected_ms or _estimated_ms,
            self._candidates,
            self._has_helper,
            self._send_query,
        )

    def add_upcoming(self, group):
        """Add a group whose earlier steps are not done yet."""
        self._upcoming[group] = 0

    def remove_upcoming(self, group):
        """Remove a group that has opened or will never open."""
        self._upcoming.pop(group, None)

    def begin_pass(self):
        """Determine the available helpers for all queries of a pass."""
        leader = self._leader
        self._helpers = leader.environment.helpers()
        if self._config is leader.state.config:
            return
        self._config = leader.state.config
        queues = self._config.queues if self._config else ()
        self._rules = [q.permission for q in queues if q.permission is not None]
        self._min_decision_ms = min(
            (rule.decision_ms for rule in self._rules), default=None
        )

    def query_in_rounds(self, groups, now_ms):
        """Send the slow queries that are due; ``groups()`` returns the waiting steps.

        Steps that could start have done so already in this pass.
        """
        self._rounds.run(groups, self._rules, now_ms)

    def may_start(self, group, now_ms):
        """Whether a group may start a task if a worker has room."""
        known, jobs = self._leader.permissions, self._leader.state.jobs
        if known.has_ticket(group, now_ms):
            return True
        return self._leader.queue_of(jobs[group.job_id]).permission is None

    def may_start_on(self, group, rule, worker, now_ms):
        """Whether a group under a rule, or None, has what a start on a worker needs."""
        known = self._leader.permissions
        return rule is None or known.ticket(group, worker.target_id, now_ms) is not None

    def on_all_started(self, group):
        """Handle a group that waits no longer, and count its queries once."""
        leader = self._leader
        self._rounds.forget(group)
        leader.permissions.clear_shortage(group)
        queries, service_ms = leader.permissions.effort(group)
        if not queries or group in self._counted or leader.is_over(group):
            return
        self._counted[group] = True
        queue = leader.state.jobs[group.job_id].record.queue.name
        leader.environment.metrics.count("permitted_steps_started", queue)
        leader.environment.record(
            "step_permitted",
            task=".".join(str(part) for part in group),
            queries=queries,
            service_ms=service_ms,
        )

    def tidy(self, now_ms):
        """Drop the records of ended jobs, and update the gauge of reserved helpers."""
        self._leader.drop_ended(self._counted)
        self._rounds.tidy()
        reserved = self._leader.permissions.helpers.reserved(self._helpers, now_ms)
        self._leader.environment.metrics.gauge("helpers_reserved", reserved)

    def query_for_waiting(self, job, group, rule, tasks, has_permitted, now_ms):
        """Query for tickets, if allowed, for a group with ``tasks`` unplaced tasks.

        ``has_permitted`` says that workers with valid tickets were tried. If none were,
        the tickets have expired, and the workers may have free capacity.
        """
        known = self._leader.permissions
        if has_permitted:
            known.record_shortage(group)
        if query_planning.may_withhold(rule):
            if not known.effort(group)[0]:
                self._rounds.hasten(now_ms)
        elif known.may_ask(group, now_ms):
            ahead_ms = known.renewal_lead_ms(rule, tasks, self._helpers)
            self._query(job, group, rule, tasks, ahead_ms, now_ms)

    def next_ms(self, group, now_ms, rule=None):
        """The time at which a waiting group should next be checked for queries.

        Rounds check groups with slow rules, so that their own checks are rare.
        """
        if rule is not None and query_planning.may_withhold(rule):
            return now_ms + MAX_UNCHECKED_MS
        return self._leader.permissions.next_check_ms(group, now_ms)

    def prefetch(self, now_ms):
        """Send the queries for steps that open at about the time of the answer."""
        if now_ms < self._next_ahead_ms:
            return
        self._next_ahead_ms = now_ms + MIN_ASK_AHEAD_INTERVAL_MS
        leader = self._leader
        due = []
        for group, due_ms in list(self._upcoming.items()):
            if now_ms < due_ms:
                continue
            if leader.is_over(group):
                self.remove_upcoming(group)
                leader.permissions.forget(group)
                continue
            due.append(group)
        for group in sorted(due, key=self._urgency):
            job = leader.state.jobs[group.job_id]
            rule = leader.queue_of(job).permission
            pause_ms = MAX_ASK_AHEAD_INTERVAL_MS
            if rule is not None:
                pause_ms = self._ask_ahead(job, group, rule, now_ms)
            self._upcoming[group] = now_ms + pause_ms

    def _urgency(self, group):
        """Sorts the steps that open later like those that wait."""
        job = self._leader.state.jobs[group.job_id]
        priority = self._leader.queue_of(job).priority
        return priority, self._rank_of(job, group).latest_start_ms

    def _ask_ahead(self, job, group, rule, now_ms):
        """Query for a step that opens later if it is time.

        Returns the time until the next check.
        """
        tasks = job.record.steps[group.step].tasks
        known = self._leader.permissions
        if not known.may_ask_ahead(group, tasks, MIN_TICKET_REMAINDER_MS, now_ms):
            return MIN_ASK_AHEAD_INTERVAL_MS
        lead_ms = permissions.lead_ms(rule, permissions.MAX_NEW_PER_QUERY)
        remaining_ms = self._remaining_ms(job, group, now_ms)
        if remaining_ms is None:
            return MIN_ASK_AHEAD_INTERVAL_MS
        spare_ms = remaining_ms - lead_ms - MIN_TICKET_REMAINDER_MS
        if spare_ms > 0:
            pause_ms = min(spare_ms / 2, MAX_ASK_AHEAD_INTERVAL_MS)
            return max(pause_ms, MIN_ASK_AHEAD_INTERVAL_MS)
        if query_planning.may_withhold(rule):
            self._rounds.ask_ahead(job, group, rule, tasks, now_ms)
        else:
            self._query(job, group, rule, tasks, MIN_TICKET_REMAINDER_MS, now_ms)
        return MIN_ASK_AHEAD_INTERVAL_MS

    def _query(self, job, group, rule, tasks, ahead_ms, now_ms):
        known = self._leader.permissions
        if not self._has_helper(rule, now_ms):
            return
        suitable = self._suitable(job, group, now_ms)
        is_gang = job.record.steps[group.step].gang
        wanted = known.workers_to_query(
            group, suitable, tasks, ahead_ms, now_ms, is_gang
        )
        if wanted:
            self._send_query(job, group, wanted, rule, now_ms)
        else:
            longest_ms = permissions.max_renewal_lead_ms(rule, tasks)
            known.pause_checks(group, now_ms, longest_ms)

    def _has_helper(self, rule, now_ms):
        helpers = self._leader.permissions.helpers
        found = helpers.find_idle(rule, self._helpers, self._min_decision_ms, now_ms)
        return found is not None

    def _send_query(self, job, group, target_ids, rule, now_ms):
        leader = self._leader
        query = leader.permissions.ask(
            group, target_ids, rule, self._helpers, now_ms, self._min_decision_ms
        )
        if query is None:
            return
        leader.environment.send_query(query)
        queries, service_ms = leader.permissions.effort(group)
        leader.environment.record(
            "permission_asked",
            task=".".join(str(part) for part in group),
            helper=query.helper,
            targets=len(target_ids),
            queries=queries,
            service_ms=service_ms,
        )
        metrics, queue = leader.environment.metrics, job.record.queue.name
        metrics.count("permission_queries", queue)
        decision_ms = permissions.decision_ms(rule, len(target_ids))
        metrics.count("permission_service_ms", queue, decision_ms)

    def _suitable(self, job, group, now_ms):
        """Ids of workers that could run the step, most free capacity first."""
        step = job.record.steps[group.step]
        with_capacity, full = [], []
        for worker in self._candidates(job, group):
            if choice.is_suitable(worker, step):
                ids = with_capacity if worker.has_capacity(step) else full
                ids.append(worker.target_id)
        return with_capacity + full

    def _candidates(self, job, group):
        """The workers to consider in a query, most free processors first."""
        service = job.record.service
        pool = self._leader.pools.usable(service)
        if len(pool) > MAX_CANDIDATE_WORKERS:
            return self._limit_pool(pool, service, group)
        return pool

    def _limit_pool(self, pool, service, group):
        """The part of a large pool to consider for a query.

        These are the permitted workers, and of those without an answer the ones with
        the most free capacity.
        """
        known = self._leader.permissions
        names = known.not_yet_queried(group, [worker.target_id for worker in pool])
        wanted = [*known.ever_permitted_ids(group), *names[:MAX_CANDIDATE_WORKERS]]
        return self._leader.pools.usable_among(service, wanted)

    def _remaining_ms(self, job, group, now_ms):
        """Estimated time until the earlier steps end; None if some of them wait."""
        remaining_ms = 0
        for earlier in job.record.steps[group.step].after:
            for index, task in enumerate(job.groups[(group.occurrence, earlier)]):
                if task.state == cell_state.WAITING:
                    return None
                if task.state == cell_state.PLACED:
                    key = cell_state.TaskKey(
                        group.job_id, group.occurrence, earlier, index
                    )
                    remaining_ms = max(
                        remaining_ms, self._run_remaining_ms(task, key, job, now_ms)
                    )
        return remaining_ms

    def _run_remaining_ms(self, task, key, job, now_ms):
        worker = self._leader.workers.get(task.target_id)
        run = worker.runs.get(key) if worker else None
        if run is None:
            return job.record.steps[key.step].estimated_ms
        return self._rounds.remaining_ms(run, job, key.step, now_ms)


def _estimated_ms(job, step_number):
    return job.record.steps[step_number].estimated_ms
