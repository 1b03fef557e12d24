"""The leader's planning pass: which tasks start now, and on which worker.

A *group* is one step of one occurrence of a job. Groups with waiting tasks whose
earlier steps are done stand in ``waiting``; those whose earlier steps all run stand in
``upcoming``, so that the permission service can be asked ahead. A pass goes through the
waiting groups in order of urgency and is made only after something changed.
"""

import heapq

from alderreach.core import cell_state
from alderreach.decisions.cell import choice, order, permissions
from alderreach.ops.controller import runs

# Bounds one pass, so that heartbeats of the quorum are never held up by a large job:
# at some 50 us a start this is 10 ms.
STARTS_PER_PASS = 200
# A pass is made at least this often, for tickets that age and workers that recover.
PASS_INTERVAL_MS = 100
# Beyond the predicted end of the earlier steps, tickets should last for at least this.
AHEAD_MS = 400


class Planner:
    """Waiting groups of one term of leadership."""

    def __init__(self, books):
        self._books = books
        self._waiting = {}
        self._upcoming = {}
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
                self._upcoming[group] = None

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
                group = cell_state.GroupKey(job_id, occurrence, later)
                self._upcoming.pop(group, None)
                self._open(job, group)

    def plan(self, now_ms):
        """Make a pass if anything changed or it is time."""
        books = self._books
        if not books.is_stale and now_ms < self._next_pass_ms:
            return
        books.is_stale = False
        self._next_pass_ms = now_ms + PASS_INTERVAL_MS
        self._release_due()
        started = 0
        for _urgency, group in self._in_order():
            started += self._place_group(group, now_ms)
            if started >= STARTS_PER_PASS:
                books.is_stale = True
                break
        self._ask_ahead(now_ms)

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
        due_ms = _due_ms(job, group)
        if job.record.repeat_count and due_ms > self._latest_due_ms():
            heapq.heappush(self._due, (due_ms, group))
        else:
            self._waiting[group] = self._books.now_ms()
            self._books.is_stale = True

    def _latest_due_ms(self):
        """Occurrences due up to this moment may start.

        Cell time may be a little ahead of the submitter's; the slack is the workers'.
        Starting on time rather than early leaves all of it for clocks that differ.
        """
        return self._books.cell_ms()

    def _release_due(self):
        while self._due and self._due[0][0] <= self._latest_due_ms():
            self._waiting[heapq.heappop(self._due)[1]] = self._books.now_ms()

    def _in_order(self):
        books = self._books
        cell_ms = books.cell_ms()
        rows = []
        for group in list(self._waiting):
            job = books.state.jobs.get(group.job_id)
            if job is None or job.state != cell_state.ACTIVE:
                self._drop(group)
                continue
            queue = books.queue_of(job)
            due_ms = _due_ms(job, group)
            rows.append((order.urgency(queue, job, group.step, due_ms, cell_ms), group))
        rows.sort()
        return rows

    def _drop(self, group):
        self._waiting.pop(group, None)
        self._upcoming.pop(group, None)
        self._books.permissions.forget(group)

    def _place_group(self, group, now_ms):
        """Start what can be started of a group; returns how many tasks."""
        books = self._books
        job = books.state.jobs[group.job_id]
        step = job.record.steps[group.step]
        tasks = job.groups[group[1:]]
        waiting = [
            n for n, task in enumerate(tasks) if task.state == cell_state.WAITING
        ]
        if not waiting:
            self._waiting.pop(group)
            return 0
        rule = books.queue_of(job).permission
        pool = self._pool(job, group, rule, now_ms)
        if rule is not None:
            self._ask(job, group, rule, len(waiting), now_ms)
        if step.gang:
            return self._place_gang(job, group, step, tasks, pool, now_ms)
        started = 0
        for index in waiting:
            key = cell_state.TaskKey(*group, index)
            usable = [
                worker
                for worker in choice.candidates(pool, step, group, now_ms)
                if key not in worker.runs
            ]
            failed_on = tasks[index].target_id if tasks[index].failed_run else ""
            worker = choice.best(usable, step, failed_on)
            if worker is None:
                if rule is not None:
                    self._ask_more(job, group, rule, now_ms)
                break
            self._start(worker, group, step, index, tasks[index].run + 1, now_ms)
            started += 1
        return started

    def _place_gang(self, job, group, step, tasks, pool, now_ms):
        """Start all tasks of a gang in one run, or none."""
        if any(task.state != cell_state.WAITING for task in tasks):
            return 0
        chosen = choice.gather(pool, step, group, len(tasks), now_ms)
        if chosen is None:
            rule = self._books.queue_of(job).permission
            if rule is not None:
                self._ask_more(job, group, rule, now_ms)
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

    def _pool(self, job, group, rule, now_ms):
        """Workers of the job's service; where a rule is set, those with a ticket."""
        books = self._books
        pool = [
            worker
            for worker in books.workers.values()
            if worker.record.service == job.record.service
        ]
        if rule is None:
            return pool
        return [
            worker
            for worker in pool
            if books.permissions.ticket(group, worker.target_id, now_ms)
        ]

    def _ask(self, job, group, rule, tasks, now_ms, ahead_ms=permissions.SAFETY_MS):
        suitable = self._suitable(job, group, now_ms)
        wanted = self._books.permissions.wanted(
            group, suitable, tasks, ahead_ms, now_ms
        )
        self._put_question(group, wanted, rule, now_ms)

    def _ask_more(self, job, group, rule, now_ms):
        """Nobody permitted has room: ask about workers that nobody asked about yet."""
        suitable = self._suitable(job, group, now_ms)
        self._put_question(
            group, self._books.permissions.more(group, suitable), rule, now_ms
        )

    def _put_question(self, group, target_ids, rule, now_ms):
        if not target_ids:
            return
        books = self._books
        helpers = books.environment.helpers()
        question = books.permissions.ask(
            group, target_ids, rule, helpers, now_ms, self._quickest_ms()
        )
        if question is not None:
            books.environment.ask(question)
            books.environment.record(
                "permission_asked",
                task=".".join(str(part) for part in group),
                helper=question.helper,
                targets=len(target_ids),
            )

    def _quickest_ms(self):
        """The shortest decision time among the queues' rules."""
        config = self._books.state.config
        times = [
            queue.permission.decision_ms
            for queue in (config.queues if config else ())
            if queue.permission is not None
        ]
        return min(times, default=None)

    def _suitable(self, job, group, now_ms):
        """Ids of workers that could run the step, those with most room first."""
        step = job.record.steps[group.step]
        usable = [
            worker
            for worker in self._books.workers.values()
            if worker.record.service == job.record.service
            and worker.is_usable(now_ms)
            and choice.is_suitable(worker, step)
        ]
        usable.sort(key=lambda w: (not w.has_room(step), -w.free().cpu_millis))
        return [worker.target_id for worker in usable]

    def _ask_ahead(self, now_ms):
        """Ask for steps that open about when the answer comes."""
        books = self._books
        for group in list(self._upcoming):
            job = books.state.jobs.get(group.job_id)
            if job is None or job.state != cell_state.ACTIVE:
                self._drop(group)
                continue
            rule = books.queue_of(job).permission
            if rule is None:
                continue
            lead_ms = permissions.lead_ms(rule, permissions.ASKED_AT_MOST)
            left_ms = self._left_ms(job, group, now_ms)
            if left_ms is not None and left_ms <= lead_ms + AHEAD_MS:
                step = job.record.steps[group.step]
                self._ask(job, group, rule, step.tasks, now_ms, AHEAD_MS)

    def _left_ms(self, job, group, now_ms):
        """About how long the earlier steps of a group take; None if some wait."""
        left_ms = 0
        for earlier in job.record.steps[group.step].after:
            step = job.record.steps[earlier]
            for index, task in enumerate(job.groups[(group.occurrence, earlier)]):
                if task.state == cell_state.WAITING:
                    return None
                if task.state == cell_state.PLACED:
                    key = cell_state.TaskKey(
                        group.job_id, group.occurrence, earlier, index
                    )
                    left_ms = max(left_ms, self._run_left_ms(task, key, step, now_ms))
        return left_ms

    def _run_left_ms(self, task, key, step, now_ms):
        worker = self._books.workers.get(task.target_id)
        run = worker.runs.get(key) if worker else None
        if run is None:
            return step.estimated_ms
        worked_ms = now_ms - run.placed_ms
        if run.percent > 0:
            expected_ms = (run.moved_ms - run.placed_ms) * 100 / run.percent
            return max(0, expected_ms - worked_ms)
        return max(0, step.estimated_ms - worked_ms)


def _due_ms(job, group):
    """When a group's occurrence is due: at once unless the job has times."""
    record = job.record
    if not record.repeat_count:
        return job.accepted_ms
    return record.first_due_ms + group.occurrence * record.interval_ms
