"""The leader's queries to the permission service: for which steps and workers.

If the permitted workers have no free capacity for a waiting step, the leader queries
about further workers and about those whose tickets expire soon. For a step that opens
later, it sends the query in advance while the earlier steps run.
``decisions/cell/permissions.py`` decides which workers are worth a query.
"""

from alderreach.core import cell_state
from alderreach.decisions.cell import choice, health, permissions

# Tickets should remain valid for at least this time after the predicted end of the
# earlier steps.
MIN_TICKET_REMAINDER_MS = 400
# Bounds of the interval between checks of a step that opens later. Within them, the
# next check is at half of the time until the query is due, since earlier steps may end
# early.
MIN_ASK_AHEAD_INTERVAL_MS = 20
MAX_ASK_AHEAD_INTERVAL_MS = 100
# The number of workers considered for one query in larger pools.
MAX_CANDIDATE_WORKERS = 500


class PermissionQueries:
    """The queries of one term of leadership.

    ``begin_pass`` has to be called first in each planning pass.
    """

    def __init__(self, leader):
        self._leader = leader
        # Groups that open later, each with the time of its next check.
        self._upcoming = {}
        self._helpers = ()
        self._min_decision_ms = None
        self._next_ahead_ms = 0

    def add_upcoming(self, group):
        """Add a group whose earlier steps are not done yet."""
        self._upcoming[group] = 0

    def remove_upcoming(self, group):
        """Remove a group that has opened or will never open."""
        self._upcoming.pop(group, None)

    def begin_pass(self):
        """Determine the available helpers for all queries of a pass."""
        self._helpers = self._leader.environment.helpers()
        self._min_decision_ms = self._find_min_decision_ms()

    def query_for_waiting(self, job, group, rule, tasks, has_permitted, now_ms):
        """Query for tickets, if allowed, for a group with ``tasks`` unplaced tasks.

        ``has_permitted`` says that workers with valid tickets were tried. If none were,
        the tickets have expired, and the workers may have free capacity.
        """
        known = self._leader.permissions
        if has_permitted:
            known.record_shortage(group)
        if known.may_ask(group, now_ms):
            ahead_ms = known.renewal_lead_ms(rule, tasks, self._helpers)
            self._query(job, group, rule, tasks, ahead_ms, now_ms)

    def next_ms(self, group, now_ms):
        """The time at which a waiting group should next be checked for queries."""
        return self._leader.permissions.next_check_ms(group, now_ms)

    def prefetch(self, now_ms):
        """Send the queries for steps that open at about the time of the answer."""
        if now_ms < self._next_ahead_ms:
            return
        self._next_ahead_ms = now_ms + MIN_ASK_AHEAD_INTERVAL_MS
        leader = self._leader
        for group, due_ms in list(self._upcoming.items()):
            if now_ms < due_ms:
                continue
            job = leader.state.jobs.get(group.job_id)
            if job is None or job.state != cell_state.ACTIVE:
                self.remove_upcoming(group)
                leader.permissions.forget(group)
                continue
            rule = leader.queue_of(job).permission
            pause_ms = MAX_ASK_AHEAD_INTERVAL_MS
            if rule is not None:
                pause_ms = self._ask_ahead(job, group, rule, now_ms)
            self._upcoming[group] = now_ms + pause_ms

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
        self._query(job, group, rule, tasks, MIN_TICKET_REMAINDER_MS, now_ms)
        return MIN_ASK_AHEAD_INTERVAL_MS

    def _query(self, job, group, rule, tasks, ahead_ms, now_ms):
        known = self._leader.permissions
        if not self._has_helper(rule):
            return
        suitable = self._suitable(job, group, now_ms)
        is_gang = job.record.steps[group.step].gang
        wanted = known.workers_to_query(
            group, suitable, tasks, ahead_ms, now_ms, is_gang
        )
        self._send_query(group, wanted, rule, tasks, now_ms)

    def _has_helper(self, rule):
        known = self._leader.permissions
        return known.idle_helper(rule, self._helpers, self._min_decision_ms) is not None

    def _send_query(self, group, target_ids, rule, tasks, now_ms):
        leader = self._leader
        if not target_ids:
            longest_ms = permissions.max_renewal_lead_ms(rule, tasks)
            leader.permissions.pause_checks(group, now_ms, longest_ms)
            return
        query = leader.permissions.ask(
            group, target_ids, rule, self._helpers, now_ms, self._min_decision_ms
        )
        if query is None:
            return
        leader.environment.send_query(query)
        leader.environment.record(
            "permission_asked",
            task=".".join(str(part) for part in group),
            helper=query.helper,
            targets=len(target_ids),
        )

    def _find_min_decision_ms(self):
        """The shortest decision time among the queues' rules."""
        config = self._leader.state.config
        times = [
            queue.permission.decision_ms
            for queue in (config.queues if config else ())
            if queue.permission is not None
        ]
        return min(times, default=None)

    def _suitable(self, job, group, now_ms):
        """Ids of workers that could run the step, most free capacity first."""
        leader, step = self._leader, job.record.steps[group.step]
        service = job.record.service
        pool = leader.pools.usable(service)
        if len(pool) > MAX_CANDIDATE_WORKERS:
            pool = self._limit_pool(pool, service, group)
        with_capacity, full = [], []
        for worker in pool:
            if choice.is_suitable(worker, step):
                ids = with_capacity if worker.has_capacity(step) else full
                ids.append(worker.target_id)
        return with_capacity + full

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
            step = job.record.steps[earlier]
            for index, task in enumerate(job.groups[(group.occurrence, earlier)]):
                if task.state == cell_state.WAITING:
                    return None
                if task.state == cell_state.PLACED:
                    key = cell_state.TaskKey(
                        group.job_id, group.occurrence, earlier, index
                    )
                    remaining_ms = max(
                        remaining_ms, self._run_remaining_ms(task, key, step, now_ms)
                    )
        return remaining_ms

    def _run_remaining_ms(self, task, key, step, now_ms):
        worker = self._leader.workers.get(task.target_id)
        run = worker.runs.get(key) if worker else None
        if run is None:
            return step.estimated_ms
        remaining_ms = health.remaining_ms(run, now_ms)
        if remaining_ms is None:
            remaining_ms = step.estimated_ms - (now_ms - run.placed_ms)
        return max(0, remaining_ms)
