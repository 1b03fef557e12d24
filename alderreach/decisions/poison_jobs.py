"""Jobs whose tasks take their workers down are found and stopped.

Load: a job whose task makes the VM's kernel fail. Its tasks are lost with their worker
and start again on the next one; a job of a hundred tasks can empty a cell in minutes.
Taken by the count of lost workers alone, every job that is young when a rack loses
power would be condemned with it.

A worker lost within ``WINDOW_MS`` of the start of a task speaks against that task's
job. ``JUDGE_AFTER_MS`` later, when losses with the same cause have been seen, it is
judged: if other workers were lost as well, or the job has a task that lived through the
window, nothing follows. Otherwise it is an *incident*, and the job is put on probation:
one task at a time, on a worker where no other suspect runs. So the second loss tells
the poison job from the jobs that were near it. After ``INCIDENTS`` losses of that kind
the job is condemned, which ends the probation of those whose losses it explains.
"""

import collections

# A kernel that a task brings down goes within a minute of its start.
WINDOW_MS = 60_000
# Longer than a target's lease, after which its loss is known.
JUDGE_AFTER_MS = 6_000
# One loss is an ordinary VM's failure, two are chance in a cell that loses 58 VMs of
# 10,000 a day; three young tasks of one job in a row are not.
INCIDENTS = 3
# Losses of other workers that make it a rack's or a switch's.
OTHERS = 2
REVIEW_MS = 5_000
LOSSES_KEPT = 64


class PoisonJobs:
    """Judges jobs by the workers that are lost under them."""

    def __init__(self, state, condemn):
        self._state = state
        self._condemn = condemn
        self._suspects = {}
        self._lost = collections.deque(maxlen=LOSSES_KEPT)

    def worker_removed(self, worker_id):
        """A worker was lost or taken away."""
        self._lost.append((self._state.now_ms, worker_id))

    def lost(self, run):
        """A run was lost with its worker."""
        job, now_ms = run.job, self._state.now_ms
        if now_ms - run.started_ms > WINDOW_MS:
            return
        if job.judge_ms is None:
            job.judge_ms = now_ms + JUDGE_AFTER_MS
            self._state.schedule_review(job.judge_ms, job)
        job.lost_on.append(run.worker_id)

    def forget(self, job):
        """A job is over."""
        self._suspects.pop(job, None)

    def survived(self, job):
        """A task of a job has ended without harm."""
        job.incidents = 0
        self._suspects.pop(job, None)
        if job.limit:
            job.limit = 0
            self._state.enqueue(job)

    def review(self, job):
        """Judge a job's losses if due, and end its probation if a task lives on."""
        now_ms = self._state.now_ms
        if job.judge_ms is not None and job.judge_ms <= now_ms:
            self._judge(job)
        if job.limit and not job.parked:
            if self._has_survivor(job):
                self.survived(job)
            else:
                self._state.schedule_review(now_ms + REVIEW_MS, job)

    def _judge(self, job):
        mine, job.lost_on, job.judge_ms = job.lost_on, [], None
        oldest_ms = self._state.now_ms - 2 * JUDGE_AFTER_MS
        own = self._suspects.get(job, set()).union(mine)
        others = {
            worker_id
            for when_ms, worker_id in self._lost
            if when_ms >= oldest_ms and worker_id not in own
        }
        if len(others) >= max(OTHERS, len(set(mine))) or self._has_survivor(job):
            return
        job.incidents += 1
        job.limit = 1
        self._suspects.setdefault(job, set()).update(mine)
        if job.incidents >= INCIDENTS and not job.finished:
            self._condemn(
                job, f"its tasks took down {job.incidents} workers, last {mine[-1]}"
            )
            self._exonerate(self._suspects.pop(job))

    def _exonerate(self, explained):
        """End the probation of those who were only near what is now explained."""
        for suspect, workers in list(self._suspects.items()):
            if workers <= explained:
                self.survived(suspect)

    def _has_survivor(self, job):
        # Runs are kept in the order of their starts, so the first is the oldest.
        oldest = next(iter(job.runs.values()), None)
        return oldest is not None and (
            self._state.now_ms - oldest.started_ms > WINDOW_MS
        )


def is_beside_suspect(worker):
    """Whether a task of a job on probation runs on a worker."""
    return any(run.job.limit for run in worker.tasks)
