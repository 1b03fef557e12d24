"""Simulates random days on which some tasks crash every worker that starts them.

A crashed worker refuses connections and is back some seconds later at the same address
under a new id. In addition to the checks of ``virtual_days.py``, this checks how often
such a task is started, and that no other job fails because of it.

>>> day = CrashDay(seed=1)
>>> day.play()
>>> day.started_too_often(), day.false_states()
([], [])
"""

import collections

from alderreach.core import cell_state
from alderreach.decisions.cell import crash_blame
from tools import virtual_days, virtual_watch, virtual_workers

# A task is given up after its third crash; two more starts may be in flight until then.
MAX_STARTS = 5
JOBS_PER_CRASHING_TASK = 15
# Range of the squared milliseconds after which a run crashes its worker.
CRASH_MS_SQUARED = (1.0, 200.0)
RESTART_AFTER_MS = (1_000, 12_000)


class CrashDay(virtual_days.Day):
    """One random day, determined by its seed."""

    def __init__(self, seed):
        self.crashing_tasks = set()
        self.crashing_starts = collections.Counter()
        self.crashes = 0
        self.leaders = 0
        self._first_start_ms = {}
        super().__init__(seed)

    def on_run_started(self, machine, run):
        """A run has started, and may crash its worker."""
        super().on_run_started(machine, run)
        key = virtual_workers.task_key(run.order.task)
        if key not in self.crashing_tasks or machine.has_ended:
            return
        self.crashing_starts[key] += 1
        self._first_start_ms.setdefault(key, self.loop.now_ms)
        crash_ms = self.choices.uniform(*CRASH_MS_SQUARED) ** 0.5
        self.loop.after(crash_ms, lambda: self._crash(machine))

    def started_too_often(self):
        """The tasks that were started more often than allowed, with their counts.

        That is MAX_STARTS times. A task that lasts has no limit, but pauses from then
        on; a new leader doesn't know of the pause that is in progress.
        """
        return [
            (str(key), starts)
            for key, starts in self.crashing_starts.items()
            if starts > MAX_STARTS + self._further_starts(key)
        ]

    def _further_starts(self, key):
        if not self.step_of(key).long_running:
            return 0
        elapsed_ms = self.loop.now_ms - self._first_start_ms[key]
        pauses = elapsed_ms / crash_blame.LASTING_RESTART_MS
        return int(pauses) + self.leaders

    def _start_term(self):
        self.leaders += 1
        super()._start_term()

    def _crash(self, machine):
        if machine.has_ended:
            return
        self.crashes += 1
        restart_after_ms = self.choices.randrange(*RESTART_AFTER_MS)
        until_ms = self.loop.now_ms + restart_after_ms + virtual_watch.SILENT_LEASE_MS
        self.watch.on_disturbance(until_ms)
        machine.refuse()
        born_ms = int(self.loop.now_ms) + restart_after_ms
        name = f"{machine.record.target_id}+"
        record = machine.record._replace(target_id=name, born_ms=born_ms, state="ready")
        self.loop.after(restart_after_ms, machine.accept_new_incarnation)
        self.join_at(born_ms, [record])

    def _submit(self, time_ms, queue, works):
        super()._submit(time_ms, queue, works)
        if self.choices.randrange(JOBS_PER_CRASHING_TASK):
            return
        step = self.choices.randrange(len(works))
        index = self.choices.randrange(works[step].step.tasks)
        self.crashing_tasks.add(cell_state.TaskKey(f"j{self._number}", 0, step, index))

    def _may_have_failed(self, job):
        """A job may also fail because one of its tasks crashes workers, if it ends."""
        if any(
            key.job_id == job.record.job_id and not self.step_of(key).long_running
            for key in self.crashing_tasks
        ):
            return True
        return super()._may_have_failed(job)
