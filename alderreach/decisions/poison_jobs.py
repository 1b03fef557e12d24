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

A worker that fell silent may only have been cut off. It is *in doubt* until it reports
again: the same boot withdraws the incidents that it caused, another one proves them.
Only incidents with a proved loss condemn a job.
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
        # The workers lost together, for each such loss, by job.
        self._suspects = {}
        # The jobs that were on each worker in doubt.
        self._in_doubt = {}
        self._lost = collections.deque(maxlen=LOSSES_KEPT)

    def on_worker_removed(self, worker_id):
        """Record that a worker was lost or removed."""
        self._lost.append((self._state.now_ms, worker_id))

    def on_run_lost(self, run, is_in_doubt):
        """Record a run that was lost with its worker, and schedule a review."""
        job, now_ms = run.job, self._state.now_ms
        if now_ms - run.started_ms > WINDOW_MS:
            return
        if is_in_doubt:
            self._in_doubt.setdefault(run.worker_id, {})[job] = None
        if job.review_due_ms is None:
            job.review_due_ms = now_ms + REVIEW_AFTER_MS
            self._state.schedule_review(job.review_due_ms, job)
        job.lost_on.append(run.worker_id)

    def on_silence_ended(self, worker_id, has_crashed):
        """Record whether a worker in doubt had crashed."""
        for job in self._in_doubt.pop(worker_id, ()):
            if self._state.jobs.get(job.spec.job_id) is not job:
                continue
            if has_crashed:
                self._state.schedule_review(self._state.now_ms, job)
            else:
                self._withdraw(job, worker_id)
        if not has_crashed:
            kept = [lost for lost in self._lost if lost[1] != worker_id]
            self._lost = collections.deque(kept, maxlen=LOSSES_KEPT)

    def forget(self, job):
        """Forget a job that has ended."""
        self._suspects.pop(job, None)

    def clear_suspicion(self, job):
        """End a job's probation, e.g. because a task of it ended without a crash."""
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
                return
            self._condemn_if_due(job)
            self._state.schedule_review(now_ms + REVIEW_INTERVAL_MS, job)

    def _review_losses(self, job):
        own_lost, job.lost_on, job.review_due_ms = job.lost_on, [], None
        if not own_lost:
            return
        oldest_ms = self._state.now_ms - 2 * REVIEW_AFTER_MS
        known_lost = self._lost_workers(job).union(own_lost)
        others = {
            worker_id
            for when_ms, worker_id in self._lost
            if when_ms >= oldest_ms and worker_id not in known_lost
        }
        if len(others) >= max(
            MIN_OTHER_LOSSES, len(set(own_lost))
        ) or self._has_survivor(job):
            return
        job.limit = 1
        self._suspects.setdefault(job, []).append(own_lost)

    def _condemn_if_due(self, job):
        proved = [
            worker_ids
            for worker_ids in self._suspects.get(job, ())
            if any(worker_id not in self._in_doubt for worker_id in worker_ids)
        ]
        if len(proved) < INCIDENT_LIMIT or job.finished:
            return
        self._park_permanently(
            job, f"its tasks took down {len(proved)} workers, last {proved[-1][-1]}"
        )
        explained = self._lost_workers(job)
        del self._suspects[job]
        self._clear_explained(explained)

    def _withdraw(self, job, worker_id):
        """Withdraw the loss of a worker that was only cut off."""
        job.lost_on = [each for each in job.lost_on if each != worker_id]
        if job not in self._suspects:
            return
        incidents = [
            [each for each in worker_ids if each != worker_id]
            for worker_ids in self._suspects[job]
        ]
        self._suspects[job] = [worker_ids for worker_ids in incidents if worker_ids]
        if not self._suspects[job]:
            self.clear_suspicion(job)

    def _lost_workers(self, job):
        incidents = self._suspects.get(job, ())
        return {worker_id for worker_ids in incidents for worker_id in worker_ids}

    def _clear_explained(self, explained):
        """End the probation of jobs whose lost workers are all in ``explained``."""
        for suspect in list(self._suspects):
            if self._lost_workers(suspect) <= explained:
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
