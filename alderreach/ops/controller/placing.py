"""The leader's planning pass: which tasks start now, and on which worker.

A *group* is one step of one occurrence of a job. Groups with waiting tasks whose
earlier steps are done stand in ``_queue`` in order of urgency; those whose earlier
steps all run are upcoming, so that the permission service can be asked ahead.

A pass is made only after something changed, and costs by what changed: a group is
considered whole when something other than room changed for it, or its own time has
come (a ticket that ages, patience, a report), and otherwise only against the workers
that have gained room since the last pass.
"""

import heapq
import math

from alderreach.core import cell_state
from alderreach.decisions.cell import choice, crash_blame, order
from alderreach.ops.controller import permission_queries, preempting, runs, wait_reports

# Both bound a pass, so that the quorum's heartbeats and the workers' leases are never
# held up by a large job or a long queue; what is left is done by the next pass.
STARTS_PER_PASS = 200
PASS_MS = 25
# A pass is made at least this often, for tickets that age and workers that recover.
PASS_INTERVAL_MS = 20


class Planner:
    """Waiting groups of one term of leadership."""

    def __init__(self, leader):
        self._leader = leader
        # Since when each group waits, their order, and when each is considered whole.
        self._waiting = {}
        self._queue = order.UrgencyQueue()
        self._due_ms = {}
        self._ranks = {}
        self._ranked_config = None
        self._queries = permission_queries.PermissionQueries(leader)
        self._preempting = preempting.Preempting(leader, self._rank)
        self._wait_reports = wait_reports.WaitReports(leader)
        # Occurrences that wait for their time, by that time.
        self._timed = []
        self._next_pass_ms = 0
        for job in leader.state.jobs.values():
            self.job_added(job)

    def job_added(self, job):
        """Queue what a job can start, now or at its times."""
        if job.state != cell_state.ACTIVE:
            return
        for occurrence, number in job.groups:
            group = cell_state.GroupKey(job.record.job_id, occurrence, number)
            if cell_state.are_dependencies_done(job, occurrence, number):
                self._open(job, group)
            else:
                self._queries.opens_later(group)

    def changed(self, job_id, occurrence, number):
        """A run of a group ended: it may wait again, or open the next steps."""
        job = self._leader.state.jobs.get(job_id)
        if job is None or job.state != cell_state.ACTIVE:
            return
        if job.unfinished_by_group[(occurrence, number)]:
            group = cell_state.GroupKey(job_id, occurrence, number)
            self._put_in_queue(job, group)
            self._leader.revisit(group)
            return
        for later, step in enumerate(job.record.steps):
            if number in step.after and cell_state.are_dependencies_done(
                job, occurrence, later
            ):
                self._open(job, cell_state.GroupKey(job_id, occurrence, later))

    def plan(self, now_ms):
        """Make a pass if anything changed or it is time."""
        leader = self._leader
        if not leader.is_stale and now_ms < self._next_pass_ms:
            return
        leader.is_stale = False
        self._next_pass_ms = now_ms + PASS_INTERVAL_MS
        self._release_timed()
        self._queries.begin()
        self._wait_reports.begin()
        self._preempting.end_holds(self._waiting.__contains__, now_ms)
        self._refresh_pools(now_ms)
        self._rank_anew_if_configured()
        self._queue.refresh(leader.cell_ms())
        self._go_through(now_ms)
        self._queries.ahead(now_ms)

    def _refresh_pools(self, now_ms):
        """Have groups considered whose permitted workers are others than before."""
        leader = self._leader
        appeared, gone = leader.pools.refresh(now_ms)
        if not appeared and not gone:
            return
        for group in leader.permissions.workers_changed(appeared, gone):
            if group in self._due_ms:
                due_ms = self._queries.next_ms(group, now_ms)
                self._due_ms[group] = min(self._due_ms[group], due_ms)

    def _go_through(self, now_ms):
        """Consider the groups that something changed for, in order of urgency."""
        leader = self._leader
        for group in leader.revisited:
            if group in self._due_ms:
                self._due_ms[group] = now_ms
        leader.revisited.clear()
        gained = leader.pools.take_gained()
        if not gained and now_ms < min(self._due_ms.values(), default=math.inf):
            return
        started = visits = 0
        for group in self._queue.groups():
            if started >= STARTS_PER_PASS or leader.now_ms() - now_ms >= PASS_MS:
                for worker in gained:
                    leader.pools.gained_room(worker.target_id)
                leader.is_stale = True
                break
            if leader.is_over(group):
                self._drop(group)
            elif now_ms >= self._due_ms[group]:
                started += self._consider_whole(group, now_ms)
                visits += 1
            elif gained:
                started += self._consider_gained(group, gained, now_ms)
        metrics = leader.environment.metrics
        metrics.observe_ms("planning_pass", leader.now_ms() - now_ms)
        metrics.count("planning_visits", amount=visits)
        metrics.count("planning_starts", amount=started)

    def tidy(self):
        """Forget what is kept of jobs that have ended."""
        self._leader.drop_ended(self._ranks)
        self._preempting.tidy()
        self._wait_reports.tidy(self._waiting.values(), self._leader.now_ms())

    def pending(self, queue_name):
        """How many accepted jobs of a queue have started nothing, times left out."""
        return sum(
            job.state == cell_state.ACTIVE
            and not job.has_started
            and not job.record.repeat_count
            and job.record.queue.name == queue_name
            for job in self._leader.state.jobs.values()
        )

    def _open(self, job, group):
        """A group may start now, or at its time; one that waits already goes on."""
        if group in self._waiting:
            return
        self._queries.drop(group)
        due_ms = _due_ms(job, group)
        if job.record.repeat_count and due_ms > self._latest_due_ms():
            heapq.heappush(self._timed, (due_ms, group))
        else:
            self._wait(job, group)

    def _wait(self, job, group):
        """A group waits from now on; told in the log beside what starts of it."""
        self._put_in_queue(job, group)
        self._leader.is_stale = True
        step = job.record.steps[group.step]
        self._leader.environment.record(
            "step_opened",
            task=".".join(str(part) for part in group),
            tasks=step.tasks,
            is_gang=step.gang,
        )

    def _put_in_queue(self, job, group):
        if group not in self._waiting:
            self._waiting[group] = self._leader.now_ms()
            self._due_ms[group] = 0
            self._queue.add(group, self._rank(job, group), self._leader.cell_ms())

    def _latest_due_ms(self):
        """Occurrences due up to this moment may start.

        Cell time may be a little ahead of the submitter's; the slack is the workers'.
        Starting on time rather than early leaves all of it for clocks that differ.
        Nothing is due while the cell's time is not known.
        """
        if not self._leader.environment.is_time_known():
            return 0
        return self._leader.cell_ms()

    def _release_timed(self):
        while self._timed and self._timed[0][0] <= self._latest_due_ms():
            group = heapq.heappop(self._timed)[1]
            job = self._leader.state.jobs.get(group.job_id)
            if job is not None:
                self._wait(job, group)

    def _rank_anew_if_configured(self):
        """Put all groups in the order of a new configuration."""
        leader = self._leader
        if self._ranked_config is leader.state.config:
            return
        self._ranked_config = leader.state.config
        self._ranks.clear()
        for group in self._waiting:
            job = leader.state.jobs.get(group.job_id)
            if job is not None:
                self._queue.add(group, self._rank(job, group), leader.cell_ms())
                self._due_ms[group] = 0

    def _rank(self, job, group):
        rank = self._ranks.get(group)
        if rank is None:
            queue, due_ms = self._leader.queue_of(job), _due_ms(job, group)
            rank = self._ranks[group] = order.rank(queue, job, group.step, due_ms)
        return rank

    def _drop(self, group):
        self._not_waiting(group)
        self._queries.drop(group)
        self._leader.permissions.forget(group)

    def _not_waiting(self, group):
        if self._waiting.pop(group, None) is None:
            return
        self._queue.remove(group)
        self._due_ms.pop(group, None)
        self._ranks.pop(group, None)
        self._wait_reports.started(group)
        self._leader.permissions.placed(group)

    def _consider_whole(self, group, now_ms):
        """Start what can be started of a group; returns how many tasks.

        For what is left, ask for permission, make room and report, as each is due.
        """
        leader = self._leader
        job = leader.state.jobs[group.job_id]
        rule = leader.queue_of(job).permission
        pool = self._pool(job, group, rule, now_ms)
        started, left = self._place(job, group, pool, now_ms)
        if not left:
            return started
        since_ms = self._waiting[group]
        if rule is not None:
            self._queries.for_waiting(job, group, rule, left, bool(pool), now_ms)
        self._preempting.consider(job, group, pool, left, since_ms, now_ms)
        self._wait_reports.consider(job, group, pool, since_ms, now_ms)
        self._due_ms[group] = min(
            self._queries.next_ms(group, now_ms) if rule is not None else math.inf,
            self._preempting.next_ms(job, group, since_ms),
            self._wait_reports.next_ms(group, since_ms),
        )
        return started

    def _consider_gained(self, group, gained, now_ms):
        """Start what fits of a group on workers that have gained room."""
        leader = self._leader
        job = leader.state.jobs[group.job_id]
        step = job.record.steps[group.step]
        rule = leader.queue_of(job).permission
        pool = [
            worker
            for worker in gained
            if worker.record.service == job.record.service
            and worker.has_room(step)
            and (rule is None or self._has_ticket(group, worker, now_ms))
            and self._may_use(group, worker)
        ]
        if not pool:
            return 0
        if step.gang:
            pool = self._pool(job, group, rule, now_ms)
        return self._place(job, group, pool, now_ms)[0]

    def _has_ticket(self, group, worker, now_ms):
        permissions = self._leader.permissions
        return permissions.ticket(group, worker.target_id, now_ms) is not None

    def _pool(self, job, group, rule, now_ms):
        """Usable workers on which a group may start."""
        pools, service = self._leader.pools, job.record.service
        if rule is None:
            pool = pools.usable(service)
        else:
            permitted = self._leader.permissions.permitted(group, now_ms)
            pool = pools.usable_among(service, permitted)
        return [worker for worker in pool if self._may_use(group, worker)]

    def _may_use(self, group, worker):
        """Whether a worker is not held for a group that goes before this one."""
        holder = self._preempting.hold_of(worker.target_id)
        return (
            holder is None
            or holder == group
            or not self._queue.is_before(holder, group)
        )

    def _place(self, job, group, pool, now_ms):
        """Start what fits on some workers; returns how many started and are left."""
        step = job.record.steps[group.step]
        tasks = job.groups[group[1:]]
        waiting = [
            n
            for n, task in enumerate(tasks)
            if task.state == cell_state.WAITING
            and not self._leader.has_too_much_doubt(task)
        ]
        if not waiting:
            self._not_waiting(group)
            return 0, 0
        if step.gang:
            started = self._place_gang(group, step, tasks, pool, now_ms)
        else:
            started = self._place_tasks(group, step, tasks, waiting, pool, now_ms)
        left = len(waiting) - started
        if not left:
            self._not_waiting(group)
        return started, left

    def _place_tasks(self, group, step, tasks, waiting, pool, now_ms):
        """Start as many of the waiting tasks as find a worker."""
        usable = choice.candidates(pool, step, group, now_ms)
        if not usable:
            return 0
        used = self._domains_of(tasks)
        domains = choice.domains_for(usable, step, group, len(waiting), used)
        ranking = choice.Ranking(usable, step, group, domains)
        for started, index in enumerate(waiting):
            key, task = cell_state.TaskKey(*group, index), tasks[index]
            starts_apart = self._leader.starts_apart(task)
            worker = _choose(ranking, key, task, starts_apart, now_ms)
            if worker is None:
                return started
            self._start(worker, group, step, index, task.run + 1, now_ms)
            if starts_apart:
                worker.hold_back(now_ms + crash_blame.APART_MS)
            ranking.put_back(worker, now_ms)
        return len(waiting)

    def _domains_of(self, tasks):
        """The failure domains in which some of a step's tasks are under way."""
        known = self._leader.workers
        placed = [
            known.get(task.target_id)
            for task in tasks
            if task.state == cell_state.PLACED
        ]
        return {worker.record.failure_domain for worker in placed if worker}

    def _place_gang(self, group, step, tasks, pool, now_ms):
        """Start all tasks of a gang in one run, or none."""
        if any(task.state != cell_state.WAITING for task in tasks):
            return 0
        chosen = choice.gather(pool, step, group, len(tasks), now_ms)
        if chosen is None:
            return 0
        run = max(task.run for task in tasks) + 1
        checkpoint = next((task.checkpoint for task in tasks if task.checkpoint), "")
        for index, worker in enumerate(chosen):
            self._start(worker, group, step, index, run, now_ms, checkpoint)
        return len(tasks)

    def _start(self, worker, group, step, index, run, now_ms, checkpoint=None):
        leader = self._leader
        key = cell_state.TaskKey(*group, index)
        if checkpoint is None:
            checkpoint = cell_state.find_task(leader.state, key).checkpoint
        ticket = leader.permissions.ticket(group, worker.target_id, now_ms) or ""
        runs.place(leader, worker, key, run, step, ticket, checkpoint)
        leader.environment.record(
            "run_placed",
            task=str(key),
            run=run,
            target=worker.target_id,
            free_millis=worker.free().cpu_millis,
            waited_ms=now_ms - self._waiting[group],
        )


def _choose(ranking, key, task, starts_apart, now_ms):
    """The best worker for a task, or None; one that starts apart avoids fresh runs."""
    failed_on = task.target_id if task.failed_run else ""
    if not starts_apart:
        return ranking.take(key, failed_on)
    return ranking.take(key, failed_on, lambda w: crash_blame.has_fresh(w, now_ms))


def _due_ms(job, group):
    """When a group's occurrence is due: at once unless the job has times."""
    record = job.record
    if not record.repeat_count:
        return job.accepted_ms
    return record.first_due_ms + group.occurrence * record.interval_ms
