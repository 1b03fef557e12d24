"""The leader's planning pass: which tasks start now, and on which worker.

A *group* is one step of one occurrence of a job. Groups with waiting tasks whose
earlier steps are done stand in ``waiting``; those whose earlier steps all run stand in
``upcoming``, so that the permission service can be asked ahead. A pass goes through the
waiting groups in order of urgency and is made only after something changed.
"""

import collections
import heapq

from alderreach.core import cell_state
from alderreach.decisions.cell import choice, order
from alderreach.ops.controller import asking, evictions, runs, waits

# Bounds one pass, so that heartbeats of the quorum are never held up by a large job:
# at some 50 us a start this is 10 ms.
STARTS_PER_PASS = 200
# A pass is made at least this often, for tickets that age and workers that recover.
PASS_INTERVAL_MS = 100


class Planner:
    """Waiting groups of one term of leadership."""

    def __init__(self, books):
        self._books = books
        self._waiting = {}
        self._ranks = {}
        self._ranked_config = None
        self._asking = asking.Asking(books)
        self._evictions = evictions.Evictions(books, self._rank)
        self._waits = waits.Waits(books)
        self._held = set()
        self._due = []
        self._next_pass_ms = 0
        for job in books.state.jobs.values():
            self.job_added(job)

    def job_added(self, job):
        """Queue what a job can start, now or at its times."""
        if job.state != cell_state.ACTIVE:
            return
        for occurrence, number in job.groups:
            group = cell_state.GroupKey(job.record.job_id, occurrence, number)
            if cell_state.is_open(job, occurrence, number):
                self._open(job, group)
            else:
                self._asking.opens_later(group)

    def changed(self, job_id, occurrence, number):
        """A run of a group ended: it may wait again, or open the next steps."""
        job = self._books.state.jobs.get(job_id)
        if job is None or job.state != cell_state.ACTIVE:
            return
        if job.undone[(occurrence, number)]:
            group = cell_state.GroupKey(job_id, occurrence, number)
            self._waiting.setdefault(group, self._books.now_ms())
            return
        for later, step in enumerate(job.record.steps):
            if number in step.after and cell_state.is_open(job, occurrence, later):
                self._open(job, cell_state.GroupKey(job_id, occurrence, later))

    def plan(self, now_ms):
        """Make a pass if anything changed or it is time."""
        books = self._books
        if not books.is_stale and now_ms < self._next_pass_ms:
            return
        books.is_stale = False
        self._next_pass_ms = now_ms + PASS_INTERVAL_MS
        self._release_due()
        self._asking.begin()
        self._waits.begin()
        self._held.clear()
        usable = self._usable(now_ms)
        started = 0
        for _urgency, group in self._in_order():
            started += self._place_group(group, usable, now_ms)
            if started >= STARTS_PER_PASS:
                books.is_stale = True
                break
        self._asking.ahead(now_ms)

    def tidy(self):
        """Forget what is kept of jobs that have ended."""
        self._books.drop_ended(self._ranks)
        self._evictions.tidy()
        self._waits.tidy(self._waiting.values(), self._books.now_ms())

    def pending(self, queue_name):
        """How many accepted jobs of a queue have started nothing, times left out."""
        return sum(
            job.state == cell_state.ACTIVE
            and not job.has_started
            and not job.record.repeat_count
            and job.record.queue.name == queue_name
            for job in self._books.state.jobs.values()
        )

    def _open(self, job, group):
        """A group may start now, or at its time; one that waits already goes on."""
        if group in self._waiting:
            return
        self._asking.drop(group)
        due_ms = _due_ms(job, group)
        if job.record.repeat_count and due_ms > self._latest_due_ms():
            heapq.heappush(self._due, (due_ms, group))
        else:
            self._wait(job, group)

    def _wait(self, job, group):
        """A group waits from now on; told in the log beside what starts of it."""
        self._waiting[group] = self._books.now_ms()
        self._books.is_stale = True
        step = job.record.steps[group.step]
        self._books.environment.record(
            "step_opened",
            task=".".join(str(part) for part in group),
            tasks=step.tasks,
            is_gang=step.gang,
        )

    def _latest_due_ms(self):
        """Occurrences due up to this moment may start.

        Cell time may be a little ahead of the submitter's; the slack is the workers'.
        Starting on time rather than early leaves all of it for clocks that differ.
        Nothing is due while the cell's time is not known.
        """
        if not self._books.environment.is_time_known():
            return 0
        return self._books.cell_ms()

    def _release_due(self):
        while self._due and self._due[0][0] <= self._latest_due_ms():
            group = heapq.heappop(self._due)[1]
            job = self._books.state.jobs.get(group.job_id)
            if job is not None:
                self._wait(job, group)

    def _usable(self, now_ms):
        """Workers that may get new runs, by the pool they belong to."""
        usable = collections.defaultdict(list)
        for worker in self._books.workers.values():
            if worker.is_usable(now_ms):
                usable[worker.record.service].append(worker)
        return usable

    def _in_order(self):
        books = self._books
        cell_ms = books.cell_ms()
        if self._ranked_config is not books.state.config:
            self._ranked_config = books.state.config
            self._ranks.clear()
        rows = []
        for group in list(self._waiting):
            job = books.state.jobs.get(group.job_id)
            if job is None or job.state != cell_state.ACTIVE:
                self._drop(group)
                continue
            rows.append((order.urgency(self._rank(job, group), cell_ms), group))
        rows.sort()
        return rows

    def _rank(self, job, group):
        rank = self._ranks.get(group)
        if rank is None:
            queue, due_ms = self._books.queue_of(job), _due_ms(job, group)
            rank = self._ranks[group] = order.rank(queue, job, group.step, due_ms)
        return rank

    def _drop(self, group):
        self._not_waiting(group)
        self._asking.drop(group)
        self._books.permissions.forget(group)

    def _not_waiting(self, group):
        self._waiting.pop(group, None)
        self._ranks.pop(group, None)
        self._waits.started(group)
        self._books.permissions.placed(group)

    def _place_group(self, group, usable, now_ms):
        """Start what can be started of a group; returns how many tasks."""
        books = self._books
        job = books.state.jobs[group.job_id]
        step = job.record.steps[group.step]
        tasks = job.groups[group[1:]]
        waiting = [
            n for n, task in enumerate(tasks) if task.state == cell_state.WAITING
        ]
        if not waiting:
            self._not_waiting(group)
            return 0
        rule = books.queue_of(job).permission
        pool = usable[job.record.service]
        if rule is not None:
            permitted = books.permissions.permitted(group, now_ms)
            pool = [worker for worker in pool if worker.target_id in permitted]
        if self._held:
            pool = [worker for worker in pool if worker.target_id not in self._held]
        if step.gang:
            started = self._place_gang(group, step, tasks, pool, now_ms)
        else:
            started = self._place_tasks(group, step, tasks, waiting, pool, now_ms)
        left = len(waiting) - started
        if left:
            if rule is not None:
                self._asking.for_waiting(job, group, rule, left, bool(pool), now_ms)
            self._make_room(job, group, pool, left, now_ms)
            self._waits.consider(job, group, pool, self._waiting[group], now_ms)
        return started

    def _make_room(self, job, group, pool, wanted, now_ms):
        """Have less urgent runs stopped for a group that has waited for long."""
        waited_ms = now_ms - self._waiting[group]
        self._evictions.consider(job, group, pool, wanted, waited_ms, now_ms)
        self._held.update(self._evictions.held_for(group, now_ms))

    def _place_tasks(self, group, step, tasks, waiting, pool, now_ms):
        """Start as many of the waiting tasks as find a worker."""
        usable = choice.candidates(pool, step, group, now_ms)
        used = self._domains_of(tasks) if usable else ()
        domains = choice.domains_for(usable, step, group, len(waiting), used)
        started = 0
        for index in waiting:
            key = cell_state.TaskKey(*group, index)
            failed_on = tasks[index].target_id if tasks[index].failed_run else ""
            free = [worker for worker in usable if key not in worker.runs]
            worker = choice.best(free, step, failed_on, domains)
            if worker is None:
                break
            self._start(worker, group, step, index, tasks[index].run + 1, now_ms)
            started += 1
            if not choice.may_run(worker, step, group, now_ms):
                usable.remove(worker)
        return started

    def _domains_of(self, tasks):
        """The failure domains in which some of a step's tasks are under way."""
        known = self._books.workers
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
        books = self._books
        key = cell_state.TaskKey(*group, index)
        if checkpoint is None:
            checkpoint = cell_state.task_of(books.state, key).checkpoint
        ticket = books.permissions.ticket(group, worker.target_id, now_ms) or ""
        runs.place(books, worker, key, run, step, ticket, checkpoint)
        books.environment.record(
            "run_placed",
            task=str(key),
            run=run,
            target=worker.target_id,
            free_millis=worker.free().cpu_millis,
            waited_ms=now_ms - self._waiting[group],
        )


def _due_ms(job, group):
    """When a group's occurrence is due: at once unless the job has times."""
    record = job.record
    if not record.repeat_count:
        return job.accepted_ms
    return record.first_due_ms + group.occurrence * record.interval_ms
