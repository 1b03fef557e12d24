"""The leader's slow permission queries, decided for all waiting steps in rounds.

A round visits the waiting steps in the order of their urgency. Each claims the room on
the workers that it has tickets or an open query for; a step without enough of them
queries if the remaining room, now or while its tickets would be valid, holds one of its
tasks (all of them for a gang). Other steps are withheld and checked again in a later
round. See ``decisions/cell/query_planning.py`` and ``room_forecast.py``.
"""

import math

from alderreach.core import cell_state
from alderreach.decisions.cell import (
    choice,
    health,
    pauses,
    permissions,
    query_planning,
    room_forecast,
)

# The interval between rounds, and the shortest pause before one for a new step or for
# steps that found no idle helper. A query takes ten times as long.
ROUND_MS = 100
HASTENED_ROUND_MS = 20
NO_HELPER_ROUND_MS = 50
# With thousands of waiting steps a round takes longer, so rounds are rarer.
ROUND_MS_PER_STEP = 0.2
MAX_ROUND_MS = 1000
# A step that may not query is examined again after this.
WITHHELD_PAUSE_MS = 300
# A step that has been withheld for this long queries if all its tasks fit now, whatever
# other steps claim, in case those can't use the room; later also if one task fits. Only
# a few steps are examined at a time, and one of them queries.
CLAIMS_WITHHOLD_MS = 1000
MAX_WITHHELD_MS = 3000
OVERRIDE_INTERVAL_MS = 250
MAX_OVERRIDE_CHECKS = 8
# Tickets are renewed early only while at least this share of the helpers is idle.
RENEWAL_IDLE_SHARE = 0.8
# The size of a query that is sent early so that its answer arrives before tickets
# expire. A larger one is late, but an earlier one would waste what is left of them.
RENEWED_WORKERS = 15
# Larger pools are forecast from a sample of this many workers.
MAX_FORECAST_WORKERS = 300
# The time until the end of a run that is being stopped.
STOP_MS = 300
# One log line about withheld queries in this time.
REPORT_MS = 1000


class QueryRounds:
    """The rounds of one term of leadership.

    ``rank_of(job, group)`` returns the ``order.Rank`` of a group, ``expected_ms(job,
    step_number)`` the expected duration of a task, ``candidates(job, group)`` the
    workers to consider, and ``send(job, group, target_ids, rule, now_ms)`` sends a
    query. ``has_helper(rule, now_ms)`` tells whether one can be sent.
    """

    def __init__(self, leader, rank_of, expected_ms, candidates, has_helper, send):
        self._leader = leader
        self._rank_of = rank_of
        self._expected_ms = expected_ms
        self._candidates = candidates
        self._has_helper = has_helper
        self._send = send
        self._shares = leader.permissions.shares
        self._ends = room_forecast.RunEnds(self._remaining_ms)
        self._forecasts = {}
        self._horizon_ms = 0
        self._began_ms = -math.inf
        self._due_ms = self._earliest_ms = 0
        # Whether steps of the last round found no idle helper.
        self._lacks_helpers = False
        self._next_override_ms = 0
        self._next_report_ms = 0
        self._withheld_count = 0
        # When each step was first withheld, and when it is examined again.
        self._withheld_ms = {}
        self._paused_until_ms = {}

    def hasten(self, now_ms):
        """Have the next round begin soon, since a step has opened."""
        earliest_ms = max(self._began_ms + HASTENED_ROUND_MS, self._earliest_ms)
        self._due_ms = min(self._due_ms, max(now_ms, earliest_ms))

    def run(self, groups, rules, now_ms):
        """Run a round if one is due.

        ``groups()`` returns the waiting steps, most urgent first, and ``rules`` are the
        permission rules in force.
        """
        slow = [rule for rule in rules if query_planning.may_withhold(rule)]
        if now_ms < self._due_ms or not slow:
            return
        self._horizon_ms = min(
            rule.decision_ms + rule.valid_ms - permissions.TICKET_MARGIN_MS
            for rule in slow
        )
        self._forecasts.clear()
        self._began_ms = now_ms
        waiting = groups()
        pause_ms = min(MAX_ROUND_MS, max(ROUND_MS, ROUND_MS_PER_STEP * len(waiting)))
        self._lacks_helpers = False
        for group in waiting:
            if not self._visit(group, now_ms):
                self._lacks_helpers = True
                pause_ms = NO_HELPER_ROUND_MS
                break
        self._earliest_ms = pauses.after_work(now_ms, self._leader.now_ms())
        self._due_ms = max(now_ms + pause_ms, self._earliest_ms)
        self._override(now_ms)
        self._report(now_ms)

    def ask_ahead(self, job, group, rule, tasks, now_ms):
        """Query for a step that opens soon, if it can start then.

        Steps that wait already have precedence if helpers are short.
        """
        if not self._lacks_helpers:
            forecast = self._forecast(job.record.service, now_ms)
            self._ask(job, group, rule, tasks, forecast, now_ms, is_ahead=True)

    def remaining_ms(self, run, job, step_number, now_ms):
        """The expected remaining time of a run."""
        if run.is_closing():
            return STOP_MS
        remaining_ms = health.remaining_ms(run, now_ms)
        if remaining_ms is None:
            elapsed_ms = now_ms - run.placed_ms
            remaining_ms = self._expected_ms(job, step_number) - elapsed_ms
            # A run that takes longer than expected is rarely at its very end.
            remaining_ms = max(remaining_ms, elapsed_ms / 2)
        return max(0, remaining_ms)

    def forget(self, group):
        """Forget a step that waits no longer."""
        self._withheld_ms.pop(group, None)
        self._paused_until_ms.pop(group, None)

    def tidy(self):
        """Drop the records of jobs and workers that are gone."""
        self._leader.drop_ended(self._withheld_ms)
        self._leader.drop_ended(self._paused_until_ms)
        self._ends.keep_only(self._leader.workers)

    def _visit(self, group, now_ms):
        """Claim room for a step, or query for it; False if no helper is idle."""
        leader = self._leader
        if leader.is_over(group):
            return True
        job = leader.state.jobs[group.job_id]
        step, rule = job.record.steps[group.step], leader.queue_of(job).permission
        tasks = _count_waiting(job, group)
        forecast = self._forecast(job.record.service, now_ms)
        if rule is None:
            wanted, names = forecast.scaled(tasks), forecast.target_ids()
            if not step.gang or forecast.sum_fits(names, step, group) >= wanted:
                forecast.claim_anywhere(step, group, wanted)
            return True
        if query_planning.may_withhold(rule):
            return self._ask(job, group, rule, tasks, forecast, now_ms)
        known = leader.permissions.outlook(group, permissions.TICKET_MARGIN_MS, now_ms)
        claimed = [*known.fresh, *known.asked]
        forecast.claim(claimed, step, group, forecast.scaled(tasks))
        return True

    def _ask(
        self,
        job,
        group,
        rule,
        tasks,
        forecast,
        now_ms,
        is_ahead=False,
        is_overdue=False,
    ):
        """Query for a step with a slow rule if it needs to and may.

        One that opens later is ``is_ahead``; one that is ``is_overdue`` queries also if
        few of its tasks fit.
        Returns False if that needs a helper and none is idle.
        """
        leader, step = self._leader, job.record.steps[group.step]
        ahead_ms = permissions.TICKET_MARGIN_MS
        idle_share = leader.permissions.helpers.idle_share(leader.environment.helpers())
        if not is_ahead and idle_share >= RENEWAL_IDLE_SHARE:
            ahead_ms += permissions.lead_ms(rule, RENEWED_WORKERS)
        known = leader.permissions.outlook(group, ahead_ms, now_ms)
        if known.asked:
            self._claim(known, known.asked, step, group, tasks, forecast)
            return True
        missing = tasks - self._covered(known, step, group, tasks, forecast)
        if missing <= 0:
            self._withheld_ms.pop(group, None)
            return True
        if now_ms < self._paused_until_ms.get(group, 0):
            if known.fresh:
                self._claim(known, (), step, group, missing, forecast)
            return True
        may_preempt = leader.queue_of(job).priority < leader.least_urgent()
        if not may_preempt and not forecast.may_fit(step):
            self._withhold(group, is_ahead, now_ms)
            return True
        if not self._has_helper(rule, now_ms):
            return False
        named = self._choose(job, group, rule, missing, known, forecast, is_overdue)
        if not named and may_preempt and not is_ahead:
            named = self._any_workers(job, group, tasks, ahead_ms, now_ms)
        if not named:
            self._withhold(group, is_ahead, now_ms)
            return True
        self._send(job, group, named, rule, now_ms)
        self.forget(group)
        self._claim(known, named, step, group, missing, forecast)
        return True

    def _claim(self, known, target_ids, step, group, tasks, forecast):
        """Claim room on the given workers, and elsewhere for the tasks left over.

        The step may query for others in time, and comes before the steps after it. A
        gang that does not fit as a whole claims nothing.
        """
        forecast.extend()
        wanted = forecast.scaled(tasks)
        claimed = [*known.fresh, *target_ids]
        if step.gang and forecast.sum_fits(claimed, step, group) < wanted:
            return
        wanted -= forecast.claim(claimed, step, group, wanted)
        excluded = known.denied.union(known.tickets, target_ids)
        forecast.claim_anywhere(step, group, wanted, excluded)

    def _covered(self, known, step, group, tasks, forecast):
        """How many tasks of a step will find room with the tickets that it has.

        A step that waits although one of these workers has room for it can't use that
        worker, so it does not count. A gang may wait for the other workers.
        """
        if not known.fresh:
            return 0
        forecast.extend()
        free, full = [], []
        for target_id in known.fresh:
            worker = self._leader.workers.get(target_id)
            if worker is not None:
                (free if worker.has_capacity(step) else full).append(target_id)
        usable = full
        if step.gang:
            free_now = sum(forecast.fits_now(name, step) for name in free)
            usable = full if free_now >= tasks else free + full
            fits = forecast.sum_fits(usable, step, group)
            if fits < forecast.scaled(tasks):
                return fits * forecast.scale
        claimed = forecast.claim(usable, step, group, forecast.scaled(tasks))
        return claimed * forecast.scale

    def _choose(self, job, group, rule, missing, known, forecast, is_overdue):
        """Ids of the workers to name in a query for a step; empty if it can't start."""
        step = job.record.steps[group.step]
        pool = self._candidates(job, group)
        forecast.include(pool)
        chances = self._chances(pool, step, job, known)
        likely = forecast.likely(chances, step, group)
        if likely < missing and not forecast.is_extended:
            forecast.extend()
            likely = forecast.likely(chances, step, group)
        if not forecast.has_room(step):
            forecast.record_failure(step)
            return []
        limit = permissions.MAX_QUERY_WORKERS
        if step.gang:
            options = forecast.options(chances, step, group)
            return query_planning.choose_for_gang(
                options, set(known.tickets), step.tasks, limit
            )
        least = query_planning.least_starts(step.tasks, bool(known.fresh))
        if not likely or (likely < least and not is_overdue):
            return []
        options = forecast.options(chances, step, group)
        spare_ms = self._rank_of(job, group).latest_start_ms - self._leader.cell_ms()
        limit = query_planning.name_limit(rule, spare_ms, limit)
        return query_planning.choose(options, missing, limit)

    def _chances(self, pool, step, job, known):
        """Pairs of the workers that a query may name, and the chance of each ticket."""
        share = self._shares.share(job.record.queue.name)
        fresh = set() if step.gang else set(known.fresh)
        chances = []
        for worker in pool:
            target_id = worker.target_id
            if target_id in known.denied or target_id in fresh:
                continue
            if choice.is_suitable(worker, step):
                _ticket, until_ms = known.tickets.get(target_id, ("", None))
                chance = share if until_ms is None else float(until_ms > 0)
                chances.append((target_id, chance))
        return chances

    def _any_workers(self, job, group, tasks, ahead_ms, now_ms):
        """Ids of workers to name for a step that may preempt runs there."""
        step, known = job.record.steps[group.step], self._leader.permissions
        suitable = [
            worker.target_id
            for worker in self._candidates(job, group)
            if choice.is_suitable(worker, step)
        ]
        return known.workers_to_query(
            group, suitable, tasks, ahead_ms, now_ms, step.gang
        )

    def _withhold(self, group, is_ahead, now_ms):
        self._paused_until_ms[group] = now_ms + WITHHELD_PAUSE_MS
        if not is_ahead:
            self._withheld_ms.setdefault(group, now_ms)
            self._withheld_count += 1

    def _override(self, now_ms):
        """Query for one step that has been withheld for long but has room now."""
        if now_ms < self._next_override_ms or not self._withheld_ms:
            return
        self._next_override_ms = now_ms + OVERRIDE_INTERVAL_MS
        for group in list(self._withheld_ms)[:MAX_OVERRIDE_CHECKS]:
            since_ms = self._withheld_ms.pop(group)
            if self._leader.is_over(group):
                continue
            self._withheld_ms[group] = since_ms
            waited_ms = now_ms - since_ms
            if waited_ms >= CLAIMS_WITHHOLD_MS:
                if self._query_for_withheld(group, waited_ms, now_ms):
                    return

    def _query_for_withheld(self, group, waited_ms, now_ms):
        """Query for a step for which there is room now; returns whether it did."""
        leader = self._leader
        job = leader.state.jobs[group.job_id]
        step, rule = job.record.steps[group.step], leader.queue_of(job).permission
        tasks = _count_waiting(job, group)
        forecast = self._make_forecast(job.record.service, now_ms, now_ms)
        is_overdue = waited_ms >= MAX_WITHHELD_MS
        if rule is None:
            return False
        if not is_overdue:
            known = leader.permissions.outlook(group, 0, now_ms)
            excluded = known.denied.union(known.fresh)
            names = [t for t in forecast.target_ids() if t not in excluded]
            if forecast.sum_fits(names, step, group) < forecast.scaled(tasks):
                return False
        self._paused_until_ms.pop(group, None)
        self._ask(job, group, rule, tasks, forecast, now_ms, is_overdue=is_overdue)
        return group not in self._withheld_ms

    def _forecast(self, service, now_ms):
        forecast = self._forecasts.get(service)
        if forecast is None:
            until_ms = now_ms + self._horizon_ms
            forecast = self._make_forecast(service, now_ms, until_ms)
            self._forecasts[service] = forecast
        return forecast

    def _make_forecast(self, service, now_ms, until_ms):
        pool = self._leader.pools.usable(service)
        scale = max(1, math.ceil(len(pool) / MAX_FORECAST_WORKERS))
        return room_forecast.RoomForecast(
            pool[::scale], self._ends, now_ms, until_ms, scale
        )

    def _remaining_ms(self, run, now_ms):
        """The time until the end of a run leaves room; infinite if it does not.

        The runs of queues with quick queries are followed by others of them, which are
        more urgent.
        """
        job = self._leader.state.jobs.get(run.key.job_id)
        if job is None or run.is_long:
            return math.inf
        rule = self._leader.queue_of(job).permission
        if rule is None or not query_planning.may_withhold(rule):
            return math.inf
        return self.remaining_ms(run, job, run.key.step, now_ms)

    def _report(self, now_ms):
        if not self._withheld_count or now_ms < self._next_report_ms:
            return
        self._next_report_ms = now_ms + REPORT_MS
        environment = self._leader.environment
        environment.metrics.count("queries_withheld", amount=self._withheld_count)
        environment.record(
            "query_withheld",
            count=self._withheld_count,
            steps=len(self._withheld_ms),
        )
        self._withheld_count = 0


def _count_waiting(job, group):
    return sum(task.state == cell_state.WAITING for task in job.groups[group[1:]])
