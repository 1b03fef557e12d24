"""Checks that a simulated cell's tasks do not start again after their last failure."""

import collections

from tools.standins import cell_worker

MAX_ATTEMPTS = 3
# How long after its last allowed failure a task that may run twice may still start.
DUPLICATE_GRACE_MS = 1000


class Attempts:
    """The failed runs of the tasks of ``sim``, a ``cell_sim.Cell``.

    ``failed`` has the numbers of all runs that have failed, by task, or by step for
    members of a gang. Only those whose ends were acknowledged count for the check.
    """

    def __init__(self, sim):
        self._sim = sim
        self.failed = collections.defaultdict(set)
        self._acknowledged = collections.defaultdict(set)
        self._last_ms = {}

    def on_run_ended(self, end):
        """Record the end of a run on a worker."""
        if end.how == "failed":
            self.failed[self._unit_of(end.task)].add(end.run)

    def on_end_acknowledged(self, end):
        """Record an end that its worker may forget."""
        if end.how == "failed":
            unit = self._unit_of(end.task)
            self._acknowledged[unit].add(end.run)
            self._last_ms[unit] = self._sim.time.now_ms

    def check_start(self, task):
        """Check a start. Tasks that last have no such limit."""
        job_id, _occurrence, number, _index = task.split(".")
        step, unit = self._sim.steps[job_id][int(number)], self._unit_of(task)
        failed = self._acknowledged[unit]
        if step.long_running or len(failed) < MAX_ATTEMPTS:
            return
        since_ms = self._sim.time.now_ms - self._last_ms[unit]
        if not step.allow_duplicates or since_ms > DUPLICATE_GRACE_MS:
            raise cell_worker.PromiseViolation(
                f"{task} starts after its runs {sorted(failed)} have failed"
            )

    def _unit_of(self, task):
        """What the attempts of a task count for: the task, or its gang."""
        return task.rpartition(".")[0] if self._sim.is_gang(task) else task
