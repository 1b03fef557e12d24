"""Plans which gang or large task gets a reservation, and which workers drain for it.

In a full cell with more work waiting than it holds, large work without reservations
never starts; with a reservation for each, half of the cell is idle while it drains.

Urgent work comes before normal work, then the gang or large task that has waited
longest. Only teams with at most the mean share of the waiting teams qualify, and only
work for which draining would free enough capacity. From a random window of workers that
could hold the demand, those with the least work left to end are chosen. Up to
``MAX_RESERVATIONS`` drain at once; all but the oldest together may hold at most
``MAX_RESERVED_SHARE`` of the cell, which bounds the idle capacity.
"""

import itertools

from alderreach.decisions import reservations, resources

# Short against the minutes that a batch task runs, and long enough that a gang that
# only waits for another one to end drains no workers unnecessarily.
RESERVE_AFTER_MS = 5_000
# A single large task needs only one worker, so a longer delay costs little.
RESERVE_SINGLE_AFTER_MS = 15_000
PLAN_INTERVAL_MS = 1_000
MAX_RESERVATIONS = 4
MAX_RESERVED_SHARE = 0.5
# Workers examined of each size: enough to find nearly empty ones; for a large gang all.
WINDOW = 256
WINDOW_PER_TASK = 4
# Tolerates rounding, which could exclude a team whose share is exactly the mean.
SHARE_TOLERANCE = 1e-9
# The outcomes of ``_reserve``.
RESERVED, UNABLE, TOO_MUCH = "reserved", "unable", "too_much"


def plan(state, lines):
    """Reserve workers for the gang or large task that has waited longest, if due."""
    if state.now_ms < state.plan_at_ms:
        return
    state.plan_at_ms = state.now_ms + PLAN_INTERVAL_MS
    existing = [each for each in state.reservations if not each.urgent]
    if len(existing) >= MAX_RESERVATIONS:
        return
    due = [each for line in lines if (each := _find_due(state, line)) is not None]
    due.sort(key=lambda each: each[:2])
    tried = []
    while due:
        shares = [state.ledger.account(line.team).share for _, _, line, _ in due]
        fair = sum(shares) / len(shares) + SHARE_TOLERANCE
        unable = []
        for each, share in zip(due, shares, strict=True):
            if share > fair or each in tried:
                continue
            tried.append(each)
            outcome = _reserve(state, each[2], each[3], existing)
            if outcome == RESERVED:
                return
            if outcome == UNABLE:
                unable.append(each)
        if not unable:
            return
        # Teams that nothing can be reserved for don't count towards the mean: they
        # would keep it so low that other teams stay above it.
        due = [each for each in due if each not in unable]


def end_unused_savings(state, lines):
    """Stop saving quota for lines that lack capacity and have no reservation.

    ``lines`` have the quota they need. Saved quota holds back the other work of their
    teams, so a gang that finds no capacity would otherwise stop its whole team.
    """
    served = {reservation.line for reservation in state.reservations}
    latest_ms = state.now_ms - RESERVE_SINGLE_AFTER_MS
    for line in lines:
        is_saved_for = state.ledger.account(line.team).saved_for is line
        if is_saved_for and line not in served and line.blocked_since_ms <= latest_ms:
            state.ledger.abandon_saving(line)


def _find_due(state, line):
    """Return (is_normal, since_ms, line, gang or None) if a line is due, else None."""
    if line.reservation is not None:
        return None
    is_normal = not line.is_urgent
    if not line.is_gang:
        if line.blocked_since_ms + RESERVE_SINGLE_AFTER_MS > state.now_ms:
            return None
        return is_normal, line.blocked_since_ms, line, None
    reserved = {each.job for each in state.reservations}
    for job in line.jobs.values():
        if job in reserved or job.blocked_since_ms is None:
            continue
        if job.blocked_since_ms + RESERVE_AFTER_MS > state.now_ms:
            return None
        return is_normal, job.blocked_since_ms, line, job
    return None


def _reserve(state, line, job, existing):
    """Return RESERVED, UNABLE if quota or workers don't suffice, or TOO_MUCH."""
    need = job.waiting if job else 1
    account = state.ledger.account(line.team)
    if not state.ledger.allows(account, resources.times(line.demand, need), line):
        return UNABLE
    workers = _find_drainable(state, line.demand, need)
    if workers is None:
        return UNABLE
    if not _is_within_share(state, workers, existing):
        return TOO_MUCH
    reservation = reservations.reserve(state, line, job, workers)
    reservation.needed_at_ms = _drained_at_ms(state, workers)
    if job is None:
        reservation.planned = dict.fromkeys(workers, 1)
    return RESERVED


def _find_drainable(state, demand, need):
    """Return workers that hold ``need`` tasks once drained, None if too few."""
    found = []
    window = max(WINDOW, WINDOW_PER_TASK * need)
    for worker in candidates(state, demand, window):
        later = resources.copies(demand, worker.drained_capacity())
        if worker.held_for is None and later:
            now = resources.copies(demand, worker.free)
            found.append((-now / later, worker.order, worker, max(now, later)))
    found.sort()
    chosen = []
    for _, _, worker, later in found:
        chosen.append(worker)
        need -= later
        if need <= 0:
            return chosen
    return None


def candidates(state, demand, window):
    """Yield up to ``window`` usable workers of each size that can hold ``demand``."""
    for capacity, workers in state.cell.by_capacity.items():
        if not resources.fits(demand, capacity):
            continue
        start = int(state.random.random() * len(workers))
        around = itertools.chain(workers[start:], workers[:start])
        for worker in itertools.islice(around, window):
            if worker.is_usable():
                yield worker


def _is_within_share(state, workers, existing):
    if not existing:
        return True
    reserved_total = resources.NOTHING
    for worker in itertools.chain(workers, *(each.workers for each in existing[1:])):
        reserved_total = resources.plus(reserved_total, worker.capacity)
    return resources.share(reserved_total, state.cell.total) <= MAX_RESERVED_SHARE


def _drained_at_ms(state, workers):
    """Return when the last task of the workers ends by its declared run time."""
    ends = [
        run.started_ms + run.job.spec.expected_run_ms
        for worker in workers
        for run in worker.tasks
        if not run.job.is_pinned()
    ]
    return max(ends, default=state.now_ms)
