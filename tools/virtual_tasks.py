"""Behaviour of simulated tasks: how long they run, how they end, what they save.

A gang starts its work once all its members run, and ends as a whole. When a run of a
checkpointing step is stopped, its progress is saved and the next run resumes from it.

>>> made = Tasks(loop, random.Random(1), restore_ms=100.0)  # doctest: +SKIP
>>> made.add("j1", [work])  # doctest: +SKIP
>>> made.work_of(start)  # doctest: +SKIP
(300.0, 'done')
"""

import math

from tools import virtual_workers

# Range of the uniform distribution of times after which a long-running run fails.
LONG_RUNNING_FAILURE_MS = (1000.0, 10_000.0)


class Tasks:
    """The tasks of all jobs; resuming from a checkpoint takes ``restore_ms``."""

    def __init__(self, loop, rng, restore_ms):
        self._loop = loop
        self._rng = rng
        self._restore_ms = restore_ms
        self._works = {}
        self._saved_ms = {}
        self._gangs = {}

    def add(self, job_id, works):
        """Add a job with one ``virtual_parts.Work`` per step."""
        self._works[job_id] = works

    def work_of(self, order):
        """How long a run works, and how it ends."""
        key = virtual_workers.task_key(order.task)
        work = self._works[key.job_id][key.step]
        work_ms = work.work_ms[key.index]
        saved_ms = (
            self._saved_ms.get(self._save_key(key), 0.0) if order.checkpoint else 0.0
        )
        if saved_ms:
            work_ms = work_ms - saved_ms + self._restore_ms
        how = "failed" if self._rng.random() < work.fail_share else "done"
        if how == "failed" and work.step.long_running:
            work_ms = self._rng.uniform(*LONG_RUNNING_FAILURE_MS)
        return work_ms, how

    def steps_of(self, job_id):
        """The steps of a job."""
        return [work.step for work in self._works[job_id]]

    def step_of(self, key):
        """The step of a task."""
        return self._works[key.job_id][key.step].step

    def on_run_started(self, machine, run):
        """Schedule the end of a run that has started on a worker.

        The members of a gang begin their work once all of them run.
        """
        key = virtual_workers.task_key(run.order.task)
        step = self.step_of(key)
        if not step.gang:
            self._loop.after(run.work_ms, lambda: machine.end(run, run.how))
            return
        members = self._gangs.setdefault((key[:3], run.order.run), {})
        members[key.index] = (machine, run)
        run.began_ms = math.inf
        if len(members) == step.tasks:
            self._start_gang(list(members.values()))

    def _start_gang(self, members):
        """Begin the work of a gang: it completes as a whole, or one member fails."""
        for _machine, run in members:
            run.began_ms = self._loop.now_ms
        work_ms = max(run.work_ms for _machine, run in members)
        failing = [member for member in members if member[1].how == "failed"]

        def end():
            if any(run.is_over for _machine, run in members):
                return
            for machine, run in failing[:1] or members:
                machine.end(run, run.how)

        self._loop.after(work_ms / 2 if failing else work_ms, end)

    def save(self, run, how, now_ms):
        """Save the progress of a run that ends; returns its checkpoint, or ''."""
        key = virtual_workers.task_key(run.order.task)
        step = self.step_of(key)
        if how != "stopped" or not step.checkpointing or step.long_running:
            return ""
        all_ms = self._works[key.job_id][key.step].work_ms[key.index]
        left_ms = run.work_ms - run.done_ms(now_ms)
        self._saved_ms[self._save_key(key)] = max(0.0, all_ms - left_ms)
        return "saved"

    def _save_key(self, key):
        """The key under which progress is saved: one for all members of a gang."""
        return key[:3] if self.step_of(key).gang else key
