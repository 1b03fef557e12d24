"""Corrects the sizes that teams declare by the usage that workers report.

Declared sizes are up to ten times off in both directions. Without a correction, a cell
is full at a tenth of its capacity, or its VMs are overloaded while they count as half
empty.

Admission always uses the size that a task was given, and the sum of these sizes on a
worker never exceeds its capacity. Two corrections are learned from usage, which workers
report with a lag:

- *Too little declared.* The usage of a worker's tasks above what they were given is its
  excess, which is not available to new work. Once its usage reaches
  ``RELIEF_THRESHOLD`` of the VM, the task that is cheapest to preempt among those that
  can checkpoint is preempted, at most one per ``RELIEF_INTERVAL_MS``.
- *Too much declared.* A workload's share is the highest ratio of usage to declared size
  on workers where its tasks ran for longer than the lag; ``DECAY`` lowers it with each
  lower report. After ``MIN_REPORTS`` its new jobs are given that share of the
  processors plus ``MARGIN``, but never more than declared. Memory is not reclaimed: a
  task that is short of processors is slow, but one that is short of memory is killed.

Usage is known per worker, not per task, so it is divided among a worker's tasks in
proportion to their sizes. Beside a task that uses too much, a modest one appears to use
more than it does, which errs on the safe side. A job's size is fixed when it is
submitted, so all its tasks have the same size.

A worker's reports are trusted only after it has once reported no more than was given
out. Otherwise a worker that reports a full VM while nothing runs there (because its
monitor counts the VM's own use, or reports the capacity) would never get any work.
"""

from alderreach.core.generated import common
from alderreach.decisions import preemption, resources

# Ten heartbeats: a report may cover a time before a worker's newest tasks started.
MAX_REPORT_LAG_MS = 10_000
MIN_REPORTS = 30
MARGIN = 0.25
# Halves a peak in about 70 reports.
DECAY = 0.01
# Declared sizes are up to ten times off.
MIN_SHARE = 0.1
# A share of the capacity; for a smaller change the worker is not indexed again.
MIN_EXCESS_CHANGE = 0.02
RELIEF_THRESHOLD = 0.95
RELIEF_INTERVAL_MS = 10_000
# Above all priorities, so that any work that isn't urgent may be preempted.
ABOVE_ALL_PRIORITIES = 10


class Record:
    """The share of its declared processors that a workload uses."""

    __slots__ = ("reports", "share")

    def __init__(self):
        self.reports = 0
        self.share = 0.0


class Observer:
    """Learns from the usage that workers report."""

    def __init__(self, state):
        self._state = state
        self._records = {}
        self._next_relief_ms = {}
        self._trusted = set()

    def with_learned_size(self, spec):
        """Return a job's spec with the size that its tasks are given."""
        record = self._records.get((spec.team, spec.workload))
        if record is None or record.reports < MIN_REPORTS or not spec.workload:
            return spec
        share = max(MIN_SHARE, record.share * (1 + MARGIN))
        if share >= 1:
            return spec
        cpu_millis = max(1, int(spec.task.cpu_millis * share))
        return spec._replace(task=spec.task._replace(cpu_millis=cpu_millis))

    def observe(self, worker, usage):
        """Record the usage that a worker reports."""
        given = resources.minus(worker.capacity, worker.free)
        given = resources.minus(given, worker.excess)
        if not self._is_trusted(worker, usage, given):
            return
        self._update_excess(worker, usage, given)
        self._learn(worker, usage)
        if resources.share(usage, worker.capacity) >= RELIEF_THRESHOLD:
            self._relieve(worker, usage, given)

    def forget(self, worker_id):
        """Drop what is known of a removed worker."""
        self._next_relief_ms.pop(worker_id, None)
        self._trusted.discard(worker_id)

    def _is_trusted(self, worker, usage, given):
        over = resources.share(resources.minus(usage, given), worker.capacity)
        if over <= MIN_EXCESS_CHANGE:
            self._trusted.add(worker.worker_id)
        return worker.worker_id in self._trusted

    def _update_excess(self, worker, usage, given):
        over = common.Resources(
            max(0, usage.cpu_millis - given.cpu_millis),
            max(0, usage.memory_mb - given.memory_mb),
            0,
        )
        change = resources.minus(over, worker.excess)
        if resources.share(map(abs, change), worker.capacity) < MIN_EXCESS_CHANGE:
            return
        worker.excess = over
        self._state.cell.release(worker, resources.minus(resources.NOTHING, change))

    def _learn(self, worker, usage):
        old_ms = self._state.now_ms - MAX_REPORT_LAG_MS
        runs = [run for run in worker.tasks if run.started_ms <= old_ms]
        given = sum(run.job.spec.task.cpu_millis for run in runs)
        if not given:
            return
        share = usage.cpu_millis / given
        for job in dict.fromkeys(run.job for run in runs):
            if job.spec.workload and job.declared.cpu_millis:
                scale = job.spec.task.cpu_millis / job.declared.cpu_millis
                self._record_share((job.spec.team, job.spec.workload), share * scale)

    def _record_share(self, key, share):
        record = self._records.setdefault(key, Record())
        record.reports += 1
        decayed = record.share + (share - record.share) * DECAY
        record.share = max(share, decayed)

    def _relieve(self, worker, usage, given):
        if resources.fits(usage, given):
            return
        now_ms = self._state.now_ms
        if now_ms < self._next_relief_ms.get(worker.worker_id, 0):
            return
        run = preemption.cheapest_checkpointable(
            self._state, worker, ABOVE_ALL_PRIORITIES
        )
        if run is not None:
            self._next_relief_ms[worker.worker_id] = now_ms + RELIEF_INTERVAL_MS
            preemption.preempt(self._state, run)
