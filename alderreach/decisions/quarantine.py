"""Quarantines workers on which tasks fail more often than on others.

A worker with a full disk fails each task within a second. Since it is always empty, it
is the first choice for the next task: it fails hundreds of tasks a minute and uses up
the retries of every job in the cell. A bare count of failures per worker would instead
quarantine healthy workers that happen to run a broken job, one after another.

The failures on a worker since its last success are therefore weighed by how unlikely
they were: for each job, by its record on all other workers, with the rule of succession
(the probability of a failure is ``(f + PRIOR_FAILURES) / (n + 1)`` after ``f`` failures
in ``n`` ends). A job that fails everywhere adds next to nothing on any worker; one that
fails only here adds much; of an unknown job, many failures add little more than the
first. At ``SUSPICION_LIMIT`` the worker is quarantined, and the failures that it caused
are removed from the records of their jobs.

After ``PROBE_AFTER_MS`` a quarantined worker is probed with one task at a time. A
success releases it, a failure doubles the delay until the next probe. Where only gangs
wait, it is released without a probe. At most ``MAX_QUARANTINED_SHARE`` of the workers
are quarantined: if more are suspected, the workers are not the cause.
"""

import heapq
import math

# A worker like its peers would fail in this way with odds of one to a thousand.
SUSPICION_LIMIT = math.log(1000)
# Failures that are further apart than this do not have one common cause.
FAILURE_WINDOW_MS = 600_000
PROBE_AFTER_MS = 30_000
MAX_PROBE_WAIT_MS = 600_000
MAX_PROBES_PER_TICK = 4
MAX_QUARANTINED_SHARE = 0.25
# A refusal tells nothing about its job, so it counts as even odds.
REFUSAL_SUSPICION = math.log(2)
# The share of jobs without a record that is assumed to be broken.
PRIOR_FAILURES = 0.3
MAX_JOBS_REMEMBERED = 32


class Record:
    """The failures on one worker since its last success, and its probe."""

    __slots__ = ("last_ms", "probe", "refused", "task_failures", "wait_ms")

    def __init__(self):
        self.refused = 0
        self.last_ms = 0
        self.task_failures = {}
        self.probe = None
        self.wait_ms = PROBE_AFTER_MS


class WorkerQuarantine:
    """Distinguishes faulty workers from broken jobs."""

    def __init__(self, state):
        self._state = state
        self._records = {}
        self._quarantined = set()
        self._scheduled_probes = []

    def on_finished(self, run):
        """Clear a worker's record, or release it if the task was its probe."""
        record = self._records.get(run.worker_id)
        if record is None:
            return
        if run.worker_id not in self._quarantined:
            del self._records[run.worker_id]
        elif record.probe is run:
            self._release(run.worker_id)

    def on_failed(self, run, outcome):
        """Record a failed or refused task, and quarantine its worker at the limit."""
        record = self._records.setdefault(run.worker_id, Record())
        now_ms = self._state.now_ms
        if record.probe is run:
            record.wait_ms = min(2 * record.wait_ms, MAX_PROBE_WAIT_MS)
            self._schedule_probe(run.worker_id, record)
            return
        if run.worker_id in self._quarantined:
            return
        if now_ms - record.last_ms > FAILURE_WINDOW_MS:
            record.refused = 0
            record.task_failures.clear()
        record.last_ms = now_ms
        _record_failure(record, run, outcome)
        if suspicion(record) >= SUSPICION_LIMIT and self._may_quarantine():
            self._quarantine(run.worker_id, record)

    def on_ended_otherwise(self, run):
        """Handle an end that tells nothing about the worker; a probe is repeated."""
        record = self._records.get(run.worker_id)
        if record is not None and record.probe is run:
            self._schedule_probe(run.worker_id, record)

    def on_worker_added(self, worker):
        """Give a new worker an empty record."""
        self._forget(worker.worker_id)

    def on_worker_removed(self, worker_id):
        """Delete the record of a removed worker."""
        self._forget(worker_id)

    def start_probes(self, lines):
        """Start one task on each quarantined worker whose probe is due.

        ``lines()`` iterates over the waiting lines. Each probe starts a new iteration,
        since the previous one may have removed the last task of a line or team: a
        shared iterator would fail then, and would not offer a worker the lines that
        were tried for another.
        """
        left = MAX_PROBES_PER_TICK
        while (
            left
            and self._scheduled_probes
            and self._scheduled_probes[0][0] <= self._state.now_ms
        ):
            _, worker_id = heapq.heappop(self._scheduled_probes)
            left -= 1
            record = self._records.get(worker_id)
            if worker_id in self._quarantined and record.probe is None:
                self._probe_worker(worker_id, record, lines())

    def _may_quarantine(self):
        limit = max(1, int(MAX_QUARANTINED_SHARE * len(self._state.cell.workers)))
        return len(self._quarantined) < limit

    def _quarantine(self, worker_id, record):
        worker = self._state.cell.workers.get(worker_id)
        if worker is None:
            return
        self._quarantined.add(worker_id)
        worker.quarantined = True
        self._state.cell.reindex(worker)
        self._remove_from_job_records(record)
        self._schedule_probe(worker_id, record)

    def _remove_from_job_records(self, record):
        """Remove the failures that the worker caused from the records of its jobs."""
        for job, numbers in record.task_failures.items():
            job.ended_runs -= len(numbers)
            job.failed_runs -= len(numbers)
            job.consecutive_failures = max(0, job.consecutive_failures - len(numbers))
            for number in numbers:
                if job.failures.get(number):
                    job.failures[number] -= 1
        record.task_failures.clear()

    def _schedule_probe(self, worker_id, record):
        record.probe = None
        heapq.heappush(
            self._scheduled_probes,
            (self._state.now_ms + record.wait_ms, worker_id),
        )

    def _probe_worker(self, worker_id, record, lines):
        worker = self._state.cell.workers[worker_id]
        has_gangs = False
        for line in lines:
            if self._may_probe(worker, record, line):
                record.probe = self._state.start(line.head(), worker)
                return
            has_gangs = has_gangs or line.is_gang
        if has_gangs and worker.is_open:
            self._release_without_probe(worker, record)
        else:
            self._schedule_probe(worker_id, record)

    def _release_without_probe(self, worker, record):
        """Release a worker without a probe, where only gangs wait.

        A gang can't serve as a probe, and one that needs the worker would wait for ever
        if nothing else is submitted. If the worker is still faulty, the delay until its
        next probe is twice as long.
        """
        record.wait_ms = min(2 * record.wait_ms, MAX_PROBE_WAIT_MS)
        self._quarantined.discard(worker.worker_id)
        worker.quarantined = False
        self._state.cell.reindex(worker)

    def _may_probe(self, worker, record, line):
        if line.is_gang or not worker.is_open or worker.uncertain:
            return False
        job = line.head()
        account = self._state.ledger.account(line.team)
        suspect = job.consecutive_failures or job in record.task_failures
        if suspect or not self._state.ledger.allows(account, line.demand):
            return False
        demand, free = line.demand, worker.free
        return all(part <= left for part, left in zip(demand, free, strict=True))

    def _release(self, worker_id):
        self._forget(worker_id)
        worker = self._state.cell.workers.get(worker_id)
        if worker is not None:
            worker.quarantined = False
            self._state.cell.reindex(worker)

    def _forget(self, worker_id):
        self._records.pop(worker_id, None)
        self._quarantined.discard(worker_id)


def suspicion(record):
    """Return how unlikely a worker's failures are if it is like its peers (-log p)."""
    total = record.refused * REFUSAL_SUSPICION
    for job, numbers in record.task_failures.items():
        here = len(numbers)
        failed = job.failed_runs - here + PRIOR_FAILURES
        ended = job.ended_runs - here + 1
        total -= math.lgamma(failed + here) - math.lgamma(failed)
        total += math.lgamma(ended + here) - math.lgamma(ended)
    return total


def _record_failure(record, run, outcome):
    if outcome == "refused":
        record.refused += 1
        return
    record.task_failures.setdefault(run.job, []).append(run.number)
    if len(record.task_failures) > MAX_JOBS_REMEMBERED:
        del record.task_failures[next(iter(record.task_failures))]
