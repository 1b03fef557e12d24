"""One round of placements: whose task is next, and which worker it gets.

When many teams submit work at once and a few of them submit most of it, placement in
order of arrival would let the first wave fill the cell.

Urgent work of all teams goes before normal work of any. Within each of these bands the
team with the lowest dominant share goes next, and within the team the line with the
highest priority that can run. A line that finds no capacity is skipped and doesn't
delay the rest; one that has been skipped for long gets a reservation (``draining``).
"""

import heapq
import itertools

from alderreach.decisions import gangs, placement, poison_jobs

# How many gangs at the front of a line are tried, so that one that doesn't fit blocks
# none of those right behind it.
MAX_GANGS_TRIED = 4
SUSPECT_RETRY_MS = 1_000


def place_band(state, band, budget):
    """Place until the budget or the runnable work is used up; return the rest of it."""
    account_of = state.ledger.account
    teams = [(account_of(name).share, name) for name in band]
    heapq.heapify(teams)
    while teams and budget > 0:
        name = teams[0][1]
        account = account_of(name)
        line, job = _next_runnable(state, band.get(name, ()), account)
        if line is None:
            heapq.heappop(teams)
            continue
        if line.is_gang:
            budget -= gangs.place(state, job, line, account)
        else:
            budget -= _place_one(state, job, line, account)
        heapq.heapreplace(teams, (account.share, name))
    return budget


def stuck_lines(band):
    """Return the lines of a band that wait for capacity or for quota."""
    return [line for lines in band.values() for line in lines if line.is_stuck()]


def blocked_lines(state, band):
    """Return the lines of a band that have quota and wait for capacity."""
    blocked = []
    for name, lines in band.items():
        account = state.ledger.account(name)
        for line in lines:
            if line.blocked_since_ms is None:
                continue
            if state.ledger.allows(account, line.demand, line):
                blocked.append(line)
    return blocked


def _next_runnable(state, lines, account):
    """Return the first line that can run and its job, or two times None."""
    for line in lines:
        if line.shape.blocked:
            _mark_blocked(state, line)
        elif not state.ledger.allows(account, line.demand, line):
            line.blocked_since_ms = None
            state.ledger.on_quota_used_up(account, line, line.demand, state.now_ms)
        elif not line.is_gang:
            return line, line.head()
        else:
            job = _next_gang(state, line)
            if job is not None:
                return line, job
    return None, None


def _next_gang(state, line):
    """Return one of the first gangs that may be tried, else one further behind.

    Every ``gangs.RETRY_MS`` one of those behind is tried, in turn: if only the front
    were tried, they would wait for ever behind gangs that can't run yet.
    """
    for job in itertools.islice(line.jobs.values(), MAX_GANGS_TRIED):
        if job.retry_ms <= state.now_ms:
            return job
    behind = len(line.jobs) - MAX_GANGS_TRIED
    if behind <= 0 or line.retry_ms > state.now_ms:
        return None
    line.retry_ms = state.now_ms + gangs.RETRY_MS
    line.turn = (line.turn + 1) % behind
    place = MAX_GANGS_TRIED + line.turn
    return next(itertools.islice(line.jobs.values(), place, None))


def _mark_blocked(state, line):
    if line.blocked_since_ms is None:
        line.blocked_since_ms = state.now_ms
    if line.is_gang:
        gangs.mark_blocked(state, line.head())


def _place_one(state, job, line, account):
    if job.limit:
        return _place_suspect(state, job, line)
    worker = _choose(state, job, line.shape, account)
    if worker is None:
        if line.shape.blocked:
            _mark_blocked(state, line)
        return 1
    line.blocked_since_ms = None
    state.ledger.stop_saving(line)
    state.start(job, worker)
    return 1


def _place_suspect(state, job, line):
    """Place a job on probation where no other suspect runs, else retry it later."""
    for worker in state.cell.index.search(line.shape, most_free_first=True):
        if not poison_jobs.is_beside_suspect(worker):
            state.start(job, worker)
            return 1
    job.not_before_ms = state.now_ms + SUSPECT_RETRY_MS
    state.backlog.remove(job)
    state.schedule_review(job.not_before_ms, job)
    return 1


def _choose(state, job, shape, account):
    if job.is_service():
        worker = placement.spread(
            state.cell, state.random, shape.demand, job.racks_used, job.workers_used
        )
        if worker is not None and worker.worker_id != job.avoided_worker_id:
            return worker
    most_free_first = account.objective == "waiting"
    workers = state.cell.index.search(shape, most_free_first)
    if job.avoided_worker_id and len(workers) > 1:
        workers = [
            w for w in workers if w.worker_id != job.avoided_worker_id
        ] or workers
    if not workers:
        return None
    choose = placement.worst_fit if most_free_first else placement.best_fit
    return choose(workers, shape.demand)
