"""Finds and stops jobs whose tasks crash their workers.

A task may make the kernel of its VM fail. Its tasks are lost with their worker and
start again on the next one, so a job of a hundred tasks can empty a cell in minutes.
Counting lost workers alone would condemn every recently started job when a rack loses
power.

A worker lost within ``WINDOW_MS`` of the start of a task counts against that task's
job. The job's losses are reviewed ``REVIEW_AFTER_MS`` later, when other losses with the
same cause are known. If other workers were lost too, or a task of the job has outlived
the window, there are no consequences. Otherwise the loss is an *incident*, and the job
is put on probation: it runs one task at a time, on a worker where no other suspect
runs. The second loss then tells the poison job from jobs that happened to run beside
it. After ``INCIDENT_LIMIT`` incidents the job is condemned: it is parked permanently,
and the probation of the jobs whose losses it explains ends.
"""

import collections

# A task that crashes the kernel does so within a minute of its start.
WINDOW_MS = 60_000
# Longer than a target's lease: the loss of a target is known once its lease expires.
REVIEW_AFTER_MS = 6_000
# One loss is an ordinary VM failure, and two may be chance in a cell that loses 58 of
# 10,000 VMs a day; three losses in a row of recently started tasks of one job are not.
INCIDENT_LIMIT = 3
# Losses of this many other workers indicate the failure of a rack or a switch.
MIN_OTHER_LOSSES = 2
REVIEW_INTERVAL_MS = 5_000
LOSSES_KEPT = 64


class PoisonJobs:
    """Finds the jobs that crash workers by the losses of their workers."""

    def __init__(self, state, park_permanently):
        self._state = state
        self._park_permanently = park_permanently
        self._suspects = {}
        self._lost = collections.deque(maxlen=LOSSES_KEPT)

    def on_worker_removed(self, worker_id):
        """Record that a worker was lost or removed."""
        self._lost.append((self._state.now_ms, worker_id))

    def on_run_lost(self, run):
        """Record a run that was lost with its worker, and schedule a review."""
        job, now_ms = run.job, self._state.now_ms
        if now_ms - run.started_ms > WINDOW_MS:
            return
        if job.review_due_ms is None:
            job.review_due_ms = now_ms + REVIEW_AFTER_MS
            self._state.schedule_review(job.review_due_ms, job)
        job.lost_on.append(run.worker_id)

    def forget(self, job):
        """Forget a job that has ended."""
        self._suspects.pop(job, None)

    def clear_suspicion(self, job):
        """End a job's probation, e.g. because a task of it ended without a crash."""
        job.incidents = 0
        self._suspects.pop(job, None)
        if job.limit:
            job.limit = 0
            self._state.enqueue(job)

    def review(self, job):
        """Review a job's losses if due; end its probation if a task survived."""
        now_ms = self._state.now_ms
        if job.review_due_ms is not None and job.review_due_ms <= now_ms:
            self._review_losses(job)
        if job.limit and not job.parked:
            if self._has_survivor(job):
                self.clear_suspicion(job)
            else:
                self._state.schedule_review(now_ms + REVIEW_INTERVAL_MS, job)

    def _review_losses(self, job):
        own_lost, job.lost_on, job.review_due_ms = job.lost_on, [], None
        oldest_ms = self._state.now_ms - 2 * REVIEW_AFTER_MS
        known_lost = self._suspects.get(job, set()).union(own_lost)
        others = {
            worker_id
            for when_ms, worker_id in self._lost
            if when_ms >= oldest_ms and worker_id not in known_lost
        }
        if len(others) >= max(
            MIN_OTHER_LOSSES, len(set(own_lost))
        ) or self._has_survivor(job):
            return
        job.incidents += 1
        job.limit = 1
        self._suspects.setdefault(job, set()).update(own_lost)
        if job.incidents >= INCIDENT_LIMIT and not job.finished:
            self._park_permanently(
                job, f"its tasks took down {job.incidents} workers, last {own_lost[-1]}"
            )
            self._clear_explained(self._suspects.pop(job))

    def _clear_explained(self, explained):
        """End the probation of jobs whose lost workers are all in ``explained``."""
        for suspect, workers in list(self._suspects.items()):
            if workers <= explained:
                self.clear_suspicion(suspect)

    def _has_survivor(self, job):
        # Runs are stored in the order of their starts, so the first is the oldest.
        oldest = next(iter(job.runs.values()), None)
        return oldest is not None and (
            self._state.now_ms - oldest.started_ms > WINDOW_MS
        )


def is_beside_suspect(worker):
    """Whether a task of a job on probation runs on a worker."""
    return any(run.job.limit for run in worker.tasks)
