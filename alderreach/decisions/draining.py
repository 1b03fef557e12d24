"""Who gets a reservation, and which workers are drained for it.

Load: a full cell with more waiting than it holds. Without reservations large work
waits for ever; with one for everybody, half of the cell stands empty, waiting to drain.

The gang or large task that has waited longest goes first, urgent ones before others,
and only for teams that have no more than their fair share among those who wait and for
whom draining would make room. Of a random window of workers that could hold the demand,
those with the least to end are taken. Up to ``RESERVATIONS`` drain at once; all but the
oldest may together hold ``RESERVED_SHARE`` of the cell, which bounds what stands empty.
"""

import itertools

from alderreach.decisions import reservations, resources

# Short enough against the minutes that batch tasks run; long enough for a gang that
# only waits for another to end not to empty workers in vain.
RESERVE_AFTER_MS = 5_000
# A large single task waits for one worker; passing it over for a while costs nobody.
RESERVE_ONE_AFTER_MS = 15_000
REPLAN_MS = 1_000
RESERVATIONS = 4
RESERVED_SHARE = 0.5
# Workers looked at: enough to find mostly empty ones, and for large gangs all.
WINDOW = 256
WINDOW_PER_TASK = 4
# Rounding of shares must not exclude a team that is exactly at the average.
ROUNDING = 1e-9
# What became of a try to reserve.
RESERVED, UNABLE, TOO_MUCH = "reserved", "unable", "too_much"


def plan(state, lines):
    """Give the gang or large task that has waited longest a reservation, if due."""
    if state.now_ms < state.plan_at_ms:
        return
    state.plan_at_ms = state.now_ms + REPLAN_MS
    held = [each for each in state.reservations if not each.urgent]
    if len(held) >= RESERVATIONS:
        return
    due = [each for line in lines if (each := _due(state, line)) is not None]
    due.sort(key=lambda each: each[:2])
    tried = []
    while due:
        shares = [state.ledger.account(line.team).share for _, _, line, _ in due]
        fair = sum(shares) / len(shares) + ROUNDING
        unable = []
        for each, share in zip(due, shares, strict=True):
            if share > fair or each in tried:
                continue
            tried.append(each)
            outcome = _reserve(state, each[2], each[3], held)
            if outcome == RESERVED:
                return
            if outcome == UNABLE:
                unable.append(each)
        if not unable:
            return
        # Counted on among those who wait, the unable would keep the mean so low that
        # others are over it for as long as they wait.
        due = [each for each in due if each not in unable]


def end_vain_savings(state, lines):
    """Save no more quota for lines that lack room and have no reservation.

    ``lines`` have the quota they need. Their teams' other work is kept back for them,
    so without this a gang that finds no room stops all of its team.
    """
    served = {reservation.line for reservation in state.reservations}
    latest_ms = state.now_ms - RESERVE_ONE_AFTER_MS
    for line in lines:
        is_saved_for = state.ledger.account(line.team).saved_for is line
        if is_saved_for and line not in served and line.blocked_since_ms <= latest_ms:
            state.ledger.abandon_saving(line)


def _due(state, line):
    """Return (not urgent, since, line, gang or None) if a line is due, else None."""
    if line.reservation is not None:
        return None
    calm = not line.is_urgent
    if not line.is_gang:
        if line.blocked_since_ms + RESERVE_ONE_AFTER_MS > state.now_ms:
            return None
        return calm, line.blocked_since_ms, line, None
    reserved = {each.job for each in state.reservations}
    for job in line.jobs.values():
        if job in reserved or job.blocked_since_ms is None:
            continue
        if job.blocked_since_ms + RESERVE_AFTER_MS > state.now_ms:
            return None
        return calm, job.blocked_since_ms, line, job
    return None


def _reserve(state, line, job, held):
    """Return RESERVED, UNABLE if no drained workers would do, or else TOO_MUCH."""
    need = job.waiting if job else 1
    account = state.ledger.account(line.team)
    if not state.ledger.allows(account, resources.times(line.demand, need), line):
        return UNABLE
    workers = _drainable(state, line.demand, need)
    if workers is None:
        return UNABLE
    if not _within_share(state, workers, held):
        return TOO_MUCH
    reservation = reservations.reserve(state, line, job, workers)
    reservation.needed_at_ms = _drained_at_ms(state, workers)
    if job is None:
        reservation.planned = dict.fromkeys(workers, 1)
    return RESERVED


def _drainable(state, demand, need):
    """Return workers that suffice for ``need`` tasks when drained, None if none do."""
    found = []
    window = max(WINDOW, WINDOW_PER_TASK * need)
    for worker in candidates(state, demand, window):
        later = resources.copies(demand, worker.drained())
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
    """Yield usable workers of every size that holds ``demand``, ``window`` of each."""
    for capacity, workers in state.cell.by_capacity.items():
        if not resources.fits(demand, capacity):
            continue
        start = int(state.random.random() * len(workers))
        around = itertools.chain(workers[start:], workers[:start])
        for worker in itertools.islice(around, window):
            if worker.is_usable():
                yield worker


def _within_share(state, workers, held):
    if not held:
        return True
    taken = resources.NOTHING
    for worker in itertools.chain(workers, *(each.workers for each in held[1:])):
        taken = resources.plus(taken, worker.capacity)
    return resources.share(taken, state.cell.total) <= RESERVED_SHARE


def _drained_at_ms(state, workers):
    """Return when, by the declared run times, the last task of the workers ends."""
    ends = [
        run.started_ms + run.job.spec.expected_run_ms
        for worker in workers
        for run in worker.tasks
        if not run.job.pins()
    ]
    return max(ends, default=state.now_ms)
