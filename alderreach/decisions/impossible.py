"""Jobs that can't run are named, parked and cost nothing while they are.

Load: a task declared ten times too large, a gang larger than the cell, a job whose
team's quota is below one task. Left in line they are tried for ever, and their senders
wait without being told.

A job is checked when it is submitted and again when its line has been blocked for
``SETTLE_MS``; the check compares it with the sizes workers come in, of which there are
few. Parked jobs are looked at again only after a worker or a quota has come, at most
``CHECKS_PER_TICK`` in a tick. A job is named after it has been parked for
``SETTLE_MS``: after a takeover the workers announce themselves one by one, and a job is
not impossible because the largest of them comes last. Naming is not final; a larger
worker lets the job wait again.
"""

import collections
import heapq

from alderreach.decisions import actions, resources

# Workers announce themselves every second; ten are the slowest of them twice over.
SETTLE_MS = 10_000
CHECKS_PER_TICK = 128


class Parking:
    """The jobs that can't run, and why."""

    def __init__(self, state):
        self._state = state
        self._parked = collections.OrderedDict()
        self._unnamed = []
        self._to_check = 0

    def admit(self, job):
        """Let a job wait, or park it."""
        reason = reason_for(self._state, job)
        if reason:
            self.park(job, reason)
        else:
            self._state.enqueue(job)

    def park(self, job, reason):
        """Take a job out of the way until what it lacks comes."""
        job.parked = reason
        self._state.backlog.remove(job)
        job.name_ms = self._state.now_ms + SETTLE_MS
        self._parked[job.spec.job_id] = job
        heapq.heappush(self._unnamed, (job.name_ms, job.spec.job_id))

    def condemn(self, job, reason):
        """Park a job for good and name it at once."""
        job.parked = reason
        job.named = True
        self._state.backlog.remove(job)
        self._state.decisions.append(actions.Impossible(job.spec.job_id, reason))

    def forget(self, job):
        """A parked job was cancelled."""
        self._parked.pop(job.spec.job_id, None)

    def supply_changed(self):
        """A worker or a quota has come: look at what is parked again."""
        self._to_check = len(self._parked)

    def check_parked(self):
        """Let jobs wait again that lacked what has come."""
        for _ in range(min(self._to_check, CHECKS_PER_TICK, len(self._parked))):
            self._to_check -= 1
            self._check_oldest()

    def check_lines(self, lines):
        """Park what can't run of lines long blocked."""
        for line in lines:
            self._check_line(line)

    def _check_oldest(self):
        job_id, job = self._parked.popitem(last=False)
        reason = reason_for(self._state, job)
        if reason:
            self._parked[job_id] = job
            job.parked = reason
        else:
            job.parked = ""
            job.named = False
            # A review that found the job parked was the last; without another, what it
            # was to end, as a probation, would never end.
            self._state.schedule_review(self._state.now_ms, job)
            self._state.enqueue(job)

    def _check_line(self, line):
        now_ms = self._state.now_ms
        since_ms = line.blocked_since_ms
        if since_ms is None:
            since_ms = line.quota_since_ms
        if now_ms - max(since_ms, line.checked_ms) < SETTLE_MS:
            return
        line.checked_ms = now_ms
        for job in list(line.jobs.values())[:CHECKS_PER_TICK]:
            reason = reason_for(self._state, job)
            if reason:
                self.park(job, reason)

    def name_due(self):
        """Name the jobs that have been parked for long enough."""
        state = self._state
        for _ in range(CHECKS_PER_TICK):
            if not self._unnamed or self._unnamed[0][0] > state.now_ms:
                return
            due_ms, job_id = heapq.heappop(self._unnamed)
            job = self._parked.get(job_id)
            if job is not None and job.name_ms == due_ms:
                job.named = True
                state.decisions.append(actions.Impossible(job_id, job.parked))


def reason_for(state, job):
    """Return why no worker could ever hold a job, empty if one could."""
    spec = job.spec
    account = state.ledger.account(spec.team)
    if not account.known:
        return f"team {spec.team} is unknown"
    together = resources.times(spec.task, job.waiting if job.is_gang() else 1)
    if not resources.fits(together, account.quota):
        quota = resources.describe(account.quota)
        return (
            f"needs {resources.describe(together)}; the quota of {spec.team} is {quota}"
        )
    sizes = state.cell.by_capacity
    if not sizes:
        return ""
    if not any(resources.fits(spec.task, capacity) for capacity in sizes):
        return f"no worker has {resources.describe(spec.task)}"
    if job.is_gang() and not _has_room_for_gang(sizes, spec.task, job.waiting):
        return f"all workers together have no room for {job.waiting} such tasks at once"
    return ""


def _has_room_for_gang(sizes, demand, wanted):
    for capacity, workers in sizes.items():
        wanted -= len(workers) * resources.copies(demand, capacity)
        if wanted <= 0:
            return True
    return False
