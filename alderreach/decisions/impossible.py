"""Jobs that can't run are parked and reported, and cost nothing while they are parked.

A task may be declared ten times too large, a gang may be larger than the cell, or a
team's quota smaller than one task. Left in line, such jobs would be tried again
forever, and their submitters would wait without an explanation.

A job is checked when it is submitted, and again when its line has been blocked for
``CONFIRM_AFTER_MS``. The check compares it with the worker sizes in the cell, of which
there are few. Parked jobs are checked again only after a worker or a quota was added,
at most ``MAX_CHECKS_PER_TICK`` of them in a tick. A job is reported after it has been
parked for ``CONFIRM_AFTER_MS``: after a takeover the workers announce themselves one by
one, and a job is not impossible because the largest worker comes last. A report is not
final: a larger worker lets the job wait again.
"""

import collections
import heapq

from alderreach.decisions import actions, resources

# Workers announce themselves every second; this is twice the time of the slowest.
CONFIRM_AFTER_MS = 10_000
MAX_CHECKS_PER_TICK = 128


class Parking:
    """The jobs that can't run, each with the reason."""

    def __init__(self, state):
        self._state = state
        self._parked = collections.OrderedDict()
        self._unreported = []
        self._to_check = 0

    def admit(self, job):
        """Enqueue a job, or park it if it can't run."""
        reason = reason_for(self._state, job)
        if reason:
            self.park(job, reason)
        else:
            self._state.enqueue(job)

    def park(self, job, reason):
        """Remove a job from the backlog until what it lacks is available."""
        job.parked = reason
        self._state.backlog.remove(job)
        job.report_ms = self._state.now_ms + CONFIRM_AFTER_MS
        self._parked[job.spec.job_id] = job
        heapq.heappush(self._unreported, (job.report_ms, job.spec.job_id))

    def park_permanently(self, job, reason):
        """Park a job permanently and report it at once."""
        job.parked = reason
        job.reported = True
        self._state.backlog.remove(job)
        self._state.decisions.append(actions.Impossible(job.spec.job_id, reason))

    def forget(self, job):
        """Forget a parked job that was cancelled or has ended."""
        self._parked.pop(job.spec.job_id, None)

    def on_supply_changed(self):
        """Schedule a check of all parked jobs after a worker or a quota was added."""
        self._to_check = len(self._parked)

    def check_parked(self):
        """Enqueue parked jobs that can run now, within the bound per tick."""
        for _ in range(min(self._to_check, MAX_CHECKS_PER_TICK, len(self._parked))):
            self._to_check -= 1
            self._check_oldest()

    def check_lines(self, lines):
        """Park the impossible jobs of lines that have been blocked for long enough."""
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
            job.reported = False
            # Reviews stop once one finds the job parked. Without another review what
            # they are to end, such as a probation, would never end.
            self._state.schedule_review(self._state.now_ms, job)
            self._state.enqueue(job)

    def _check_line(self, line):
        now_ms = self._state.now_ms
        since_ms = line.blocked_since_ms
        if since_ms is None:
            since_ms = line.quota_since_ms
        if now_ms - max(since_ms, line.checked_ms) < CONFIRM_AFTER_MS:
            return
        line.checked_ms = now_ms
        for job in list(line.jobs.values())[:MAX_CHECKS_PER_TICK]:
            reason = reason_for(self._state, job)
            if reason:
                self.park(job, reason)

    def report_due(self):
        """Report the jobs that have been parked for ``CONFIRM_AFTER_MS``."""
        state = self._state
        for _ in range(MAX_CHECKS_PER_TICK):
            if not self._unreported or self._unreported[0][0] > state.now_ms:
                return
            due_ms, job_id = heapq.heappop(self._unreported)
            job = self._parked.get(job_id)
            if job is not None and job.report_ms == due_ms:
                job.reported = True
                state.decisions.append(actions.Impossible(job_id, job.parked))


def reason_for(state, job):
    """Return why a job can't run in this cell, or an empty string if it can."""
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
    capacities = state.cell.by_capacity
    if not capacities:
        return ""
    if not any(resources.fits(spec.task, capacity) for capacity in capacities):
        return f"no worker has {resources.describe(spec.task)}"
    if job.is_gang() and not _fits_gang(capacities, spec.task, job.waiting):
        return f"all workers together have no room for {job.waiting} such tasks at once"
    return ""


def _fits_gang(capacities, demand, wanted):
    for capacity, workers in capacities.items():
        wanted -= len(workers) * resources.copies(demand, capacity)
        if wanted <= 0:
            return True
    return False
