"""The leader's planning pass: which tasks start now, and on which worker.

A *group* is one step of one occurrence of a job. ``_queue`` holds the groups with
waiting tasks whose earlier steps are done, in order of urgency. Groups whose earlier
steps are not done yet are upcoming: their permission queries can be sent in advance.

A pass runs only after a change, and its cost is proportional to the change. A group is
considered in full when something other than free capacity has changed for it, or when
one of its timers has expired (ticket expiry, preemption patience, wait report).
Otherwise it is considered only for the workers that have freed capacity since the last
pass. A group whose customer is at its cap is not considered at all (``cap_waits``).
"""

import heapq
import math

from alderreach.core import cell_state
from alderreach.decisions.cell import order, pauses, preemption
from alderreach.ops.controller import (
    cap_waits,
    duplicating,
    permission_queries,
    preempting,
    ranking,
    share_reports,
    starting,
    wait_reports,
)

# Bounds of one pass, so that a large job or a long queue never delays the quorum's
# heartbeats or the workers' leases. The next pass continues with the remaining groups.
MAX_STARTS_PER_PASS = 200
MAX_PASS_MS = 25
# Passes run at least this often, for expiring tickets and recovering workers.
MAX_PASS_INTERVAL_MS = 20


class Planner:
    """Plans the waiting groups of one term of leadership."""

    def __init__(self, leader):
        self._leader = leader
        # The time since which each group waits, the order of the groups, and the time
        # at which each is considered in full.
        self._waiting = {}
        self._queue = order.UrgencyQueue()
        self._due_ms = {}
        # The workers whose capacity was freed since the last pass.
        self._freed = []
        self._ranks = ranking.Ranks(leader)
        self._ranked_config = None
        self._queries = permission_queries.PermissionQueries(
            leader, self._ranks.get, leader.learned.task_ms
        )
        self._preemptions = preempting.Preemptions(leader, self._ranks.get)
        self._wait_reports = wait_reports.WaitReports(leader)
        self._cap_waits = cap_waits.CapWaits(leader)
        self._duplicates = duplicating.Duplicates(
            leader, self._pool, self._cap_waits.room, self._ranks.get
        )
        # A heap of (due time, group) for occurrences that are due later.
        self._scheduled = []
        self._next_pass_ms = self._passes_from_ms = 0
        self._next_cap_preemption_ms = 0
        for job in leader.state.jobs.values():
            self._add_groups(job)

    def job_added(self, job):
        """Charge a new job to its customer's share, and queue its groups."""
        self._leader.shares.add_job(job.record, job.accepted_ms)
        self._add_groups(job)

    def _add_groups(self, job):
        """Queue the groups of a job that can start now or at their due times."""
        if job.state != cell_state.ACTIVE:
            return
        for occurrence, number in job.groups:
            group = cell_state.GroupKey(job.record.job_id, occurrence, number)
            if cell_state.are_dependencies_done(job, occurrence, number):
                self._open(job, group)
            else:
                self._queries.add_upcoming(group)

    def on_run_ended(self, job_id, occurrence, number):
        """Queue a group again after one of its runs ended, or open the next steps."""
        job = self._leader.state.jobs.get(job_id)
        if job is None or job.state != cell_state.ACTIVE:
            return
        if job.unfinished_by_group[(occurrence, number)]:
            group = cell_state.GroupKey(job_id, occurrence, number)
            self._duplicates.on_run_ended(job, group)
            if any(t.state == cell_state.WAITING for t in job.groups[group[1:]]):
                self._enqueue(job, group)
                self._leader.revisit(group)
            return
        for later, step in enumerate(job.record.steps):
            if number in step.after and cell_state.are_dependencies_done(
                job, occurrence, later
            ):
                self._open(job, cell_state.GroupKey(job_id, occurrence, later))

    def plan(self, now_ms):
        """Run a planning pass if something has changed or a pass is due."""
        leader = self._leader
        is_due = leader.needs_planning or now_ms >= self._next_pass_ms
        if not is_due or now_ms < self._passes_from_ms:
            return
        leader.needs_planning = False
        self._next_pass_ms = now_ms + MAX_PASS_INTERVAL_MS
        self._release_due()
        self._queries.begin_pass()
        self._wait_reports.begin_pass()
        self._preemptions.release_holds(self._waiting.__contains__, now_ms)
        self._refresh_pools(now_ms)
        self._rerank_if_config_changed()
        self._queue.refresh(leader.cell_ms())
        self._consider_groups(now_ms)
        self._duplicates.consider(self._queue.first_rank(), now_ms)
        self._queries.query_in_rounds(self._queue.groups, now_ms)
        self._queries.prefetch(now_ms)
        self._passes_from_ms = pauses.after_pass(now_ms, leader.now_ms())

    def _refresh_pools(self, now_ms):
        """Update the pools; check groups whose permitted workers have changed."""
        leader = self._leader
        appeared, disappeared = leader.pools.refresh(now_ms)
        if not appeared and not disappeared:
            return
        for group in leader.permissions.on_workers_changed(appeared, disappeared):
            if group in self._due_ms:
                due_ms = self._queries.next_ms(group, now_ms)
                self._due_ms[group] = min(self._due_ms[group], due_ms)

    def _consider_groups(self, now_ms):
        """Consider the groups affected by changes, in order of urgency."""
        leader = self._leader
        for group in leader.groups_to_revisit:
            if group in self._due_ms:
                self._due_ms[group] = now_ms
        leader.groups_to_revisit.clear()
        for group in self._cap_waits.pop_ready(now_ms):
            self._return_to_queue(group, now_ms)
        self._preempt_under_caps(now_ms)
        self._freed = freed = leader.pools.pop_freed()
        if not freed and now_ms < min(self._due_ms.values(), default=math.inf):
            return
        started = visits = 0
        for group in self._queue.groups():
            if (
                started >= MAX_STARTS_PER_PASS
                or leader.now_ms() - now_ms >= MAX_PASS_MS
            ):
                for worker in freed:
                    leader.pools.mark_freed(worker.target_id)
                leader.needs_planning = True
                break
            if leader.is_over(group):
                self._drop(group)
            elif now_ms < self._due_ms[group] and not (
                freed and self._queries.may_start(group, now_ms)
            ):
                continue
            elif self._park_at_cap(group, now_ms):
                continue
            elif now_ms >= self._due_ms[group]:
                started += self._consider_in_full(group, now_ms)
                visits += 1
            elif freed:
                started += self._consider_freed(group, freed, now_ms)
        metrics = leader.environment.metrics
        metrics.observe_ms("planning_pass", leader.now_ms() - now_ms)
        metrics.count("planning_visits", amount=visits)
        metrics.count("planning_starts", amount=started)

    def tidy(self):
        """Drop the records of jobs that have ended."""
        for group in self._cap_waits.ended():
            self._drop(group)
        self._cap_waits.report()
        share_reports.report(self._leader)
        self._ranks.tidy()
        self._preemptions.tidy()
        self._duplicates.tidy()
        self._queries.tidy(self._leader.now_ms())
        self._wait_reports.tidy(self._waiting.values(), self._leader.now_ms())

    def _open(self, job, group):
        """Queue a group now or at its due time, unless it is already waiting."""
        if group in self._waiting:
            return
        self._queries.remove_upcoming(group)
        due_ms = ranking.due_ms(job, group)
        if job.record.repeat_count and due_ms > self._latest_due_ms():
            heapq.heappush(self._scheduled, (due_ms, group))
        else:
            self._add_waiting(job, group)

    def _add_waiting(self, job, group):
        """Queue a group and log that its step has opened."""
        self._enqueue(job, group)
        self._leader.needs_planning = True
        step = job.record.steps[group.step]
        self._leader.environment.record(
            "step_opened",
            task=".".join(str(part) for part in group),
            tasks=step.tasks,
            is_gang=step.gang,
        )

    def _enqueue(self, job, group):
        if group not in self._waiting:
            self._waiting[group] = self._leader.now_ms()
            self._due_ms[group] = 0
            self._queue.add(group, self._ranks.get(job, group), self._leader.cell_ms())

    def _return_to_queue(self, group, now_ms):
        """Consider a group again that was parked."""
        job = self._leader.state.jobs.get(group.job_id)
        if job is not None:
            self._queue.add(group, self._ranks.get(job, group), self._leader.cell_ms())
            self._due_ms[group] = now_ms

    def _park_at_cap(self, group, now_ms):
        """Park a group of which its customer may start nothing; returns if it did."""
        job = self._leader.state.jobs[group.job_id]
        if self._cap_waits.has_room(job, group):
            return False
        self._cap_waits.park(job, group, now_ms)
        self._queue.remove(group)
        del self._due_ms[group]
        self._leader.permissions.clear_shortage(group)
        self._wait_reports.consider_cap(job, group, self._waiting[group], now_ms)
        return True

    def _preempt_under_caps(self, now_ms):
        """Let urgent parked groups preempt less urgent work of their customers."""
        if now_ms < self._next_cap_preemption_ms:
            return
        self._next_cap_preemption_ms = now_ms + preemption.RETRY_MS
        for group in self._cap_waits.urgent():
            job = self._leader.state.jobs.get(group.job_id)
            if job is None or self._leader.is_over(group):
                continue
            waiting = sum(t.state == cell_state.WAITING for t in job.groups[group[1:]])
            since_ms = self._waiting[group]
            self._preemptions.consider_cap(job, group, waiting, since_ms, now_ms)

    def _latest_due_ms(self):
        """The latest due time of occurrences that may start now.

        Cell time may be slightly ahead of the submitter's clock, and workers tolerate
        a small difference. Starting on time rather than early leaves all of this
        tolerance for clock differences. Nothing is due while the cell's time is not
        known.
        """
        is_known = self._leader.environment.is_time_known()
        return self._leader.cell_ms() if is_known else 0

    def _release_due(self):
        while self._scheduled and self._scheduled[0][0] <= self._latest_due_ms():
            group = heapq.heappop(self._scheduled)[1]
            job = self._leader.state.jobs.get(group.job_id)
            if job is not None:
                self._add_waiting(job, group)

    def _rerank_if_config_changed(self):
        """Reorder all waiting groups after a change of the configuration."""
        leader = self._leader
        if self._ranked_config is leader.state.config:
            return
        self._ranked_config = leader.state.config
        self._ranks.clear()
        for group in self._waiting:
            if not self._cap_waits.is_parked(group):
                self._return_to_queue(group, 0)

    def _drop(self, group):
        self._remove_waiting(group)
        self._queries.remove_upcoming(group)
        self._leader.permissions.forget(group)

    def _remove_waiting(self, group):
        if self._waiting.pop(group, None) is None:
            return
        self._queue.remove(group)
        self._due_ms.pop(group, None)
        self._ranks.forget(group)
        self._wait_reports.on_all_started(group)
        self._cap_waits.remove(group)
        self._queries.on_all_started(group)
        self._add_freed(self._preemptions.release(group))

    def _consider_in_full(self, group, now_ms):
        """Start as many tasks of a group as possible; returns their number.

        For the remaining tasks, query for permission, preempt other runs and report the
        wait, as each is due.
        """
        leader = self._leader
        job = leader.state.jobs[group.job_id]
        rule = leader.queue_of(job).permission
        pool = self._pool(job, group, now_ms)
        started, left = self._place(job, group, pool, now_ms)
        if not left or self._park_at_cap(group, now_ms):
            return started
        since_ms = self._waiting[group]
        if rule is not None:
            self._queries.query_for_waiting(job, group, rule, left, bool(pool), now_ms)
        self._preemptions.consider(job, group, pool, left, since_ms, now_ms)
        self._wait_reports.consider(job, group, pool, since_ms, now_ms)
        self._due_ms[group] = min(
            self._queries.next_ms(group, now_ms, rule) if rule else math.inf,
            self._preemptions.next_ms(job, group, since_ms),
            self._wait_reports.next_ms(group, since_ms),
        )
        return started

    def _add_freed(self, found):
        """Add workers to those that the current pass still considers.

        None may be there twice: a pool checks the capacity of each of its entries once,
        so a step would start on the second one beyond the worker's capacity.
        """
        known = {worker.target_id for worker in self._freed}
        self._freed += [worker for worker in found if worker.target_id not in known]

    def _consider_freed(self, group, freed, now_ms):
        """Start the tasks of a group that fit on workers with freed capacity.

        Returns the number of started tasks.
        """
        leader = self._leader
        job = leader.state.jobs[group.job_id]
        step = job.record.steps[group.step]
        rule = leader.queue_of(job).permission
        pool = [
            worker
            for worker in freed
            if worker.record.service == job.record.service
            and worker.has_capacity(step)
            and self._queries.may_start_on(group, rule, worker, now_ms)
            and self._may_use(group, worker)
        ]
        if not pool:
            return 0
        if step.gang:
            pool = self._pool(job, group, now_ms)
        return self._place(job, group, pool, now_ms)[0]

    def _pool(self, job, group, now_ms):
        """The usable workers on which a group may start."""
        pools, service = self._leader.pools, job.record.service
        if self._leader.queue_of(job).permission is None:
            pool = pools.usable(service)
        else:
            permitted = self._leader.permissions.permitted_ids(group, now_ms)
            pool = pools.usable_among(service, permitted)
        return [worker for worker in pool if self._may_use(group, worker)]

    def _may_use(self, group, worker):
        """Whether a worker is not held for a more urgent group."""
        holder = self._preemptions.hold_of(worker.target_id)
        return (
            holder is None
            or holder == group
            or not self._queue.is_before(holder, group)
        )

    def _place(self, job, group, pool, now_ms):
        """Start the tasks that fit on the workers of a pool.

        Returns the numbers of started and of remaining tasks.
        """
        leader = self._leader
        step = job.record.steps[group.step]
        waiting = [
            n
            for n, task in enumerate(job.groups[group[1:]])
            if task.state == cell_state.WAITING
            and not leader.has_to_wait(cell_state.TaskKey(*group, n), task, step)
        ]
        if not waiting or (step.gang and len(waiting) < step.tasks):
            self._remove_waiting(group)
            return 0, 0
        room = self._cap_waits.room(job, group)
        waited_ms = now_ms - self._waiting[group]
        if step.gang:
            started = starting.start_gang(leader, group, pool, waited_ms, now_ms)
        else:
            started = starting.start_tasks(
                leader, group, waiting[:room], pool, waited_ms, now_ms
            )
        if started:
            self._duplicates.on_started(job, group, started, now_ms)
        left = len(waiting) - started
        if not left:
            self._remove_waiting(group)
        elif not started:
            self._cap_waits.on_not_started(job, group, now_ms)
        return started, left
