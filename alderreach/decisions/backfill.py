"""Backfill: short tasks run on reserved capacity that its owner can't use yet.

A large gang can wait an hour for its workers to drain. Without backfill half of the
cell is idle for that hour; if anything that fits were let in, the gang would wait for
those tasks in turn.

A task may run there if its declared run time, multiplied by a margin, ends before the
reservation needs the capacity. Declared run times are wrong by up to a factor of ten,
so the margin alone isn't enough: once a reservation lacks only the capacity that such
tasks hold, they are stopped, by checkpoint if possible, and their jobs are not
backfilled again. A task that can't checkpoint would lose its work, so its margin,
``MARGIN_WITHOUT_CHECKPOINT``, is as large as that error. Urgent tasks may use capacity
reserved for normal work without these conditions.
"""

from alderreach.decisions import reservations, resources

# Multiples of the declared run time that must remain until the capacity is needed.
MARGIN = 2
MARGIN_WITHOUT_CHECKPOINT = 10
MAX_STARTS_PER_TICK = 32
SAMPLED_WORKERS = 8


def fill(state, lines):
    """Start short tasks of blocked lines on reserved workers."""
    if not state.reservations:
        return
    budget = MAX_STARTS_PER_TICK
    for line in lines:
        if not line.is_gang and budget > 0:
            budget -= _fill_from(state, line, budget)


def _fill_from(state, line, budget):
    account = state.ledger.account(line.team)
    started = 0
    while (
        started < budget
        and line.jobs
        and state.ledger.allows(account, line.demand, line)
    ):
        reservation, worker = _worker_for_short_task(state, line.head())
        if worker is None:
            break
        reservation.fillers.append(state.start(line.head(), worker))
        started += 1
    return started


def _worker_for_short_task(state, job):
    margin = MARGIN if job.spec.checkpoint else MARGIN_WITHOUT_CHECKPOINT
    run_ms = job.spec.expected_run_ms * margin
    if not run_ms or job.is_service() or job.overran:
        return None, None
    for reservation in state.reservations:
        if reservation.urgent:
            continue
        if run_ms > reservations.needed_in_ms(state, reservation):
            continue
        worker = _find_fitting_worker(state, reservation, job.spec.task)
        if worker is not None:
            return reservation, worker
    return None, None


def use_reserved(state, lines):
    """Start urgent tasks of blocked lines on workers reserved for normal work."""
    for line in lines:
        if line.is_gang:
            continue
        account = state.ledger.account(line.team)
        while line.jobs and state.ledger.allows(account, line.demand, line):
            worker = _worker_reserved_for_normal(state, line.demand)
            if worker is None:
                break
            line.blocked_since_ms = None
            state.start(line.head(), worker)


def _worker_reserved_for_normal(state, demand):
    for reservation in state.reservations:
        if not reservation.urgent:
            worker = _find_fitting_worker(state, reservation, demand)
            if worker is not None:
                return worker
    return None


def _find_fitting_worker(state, reservation, demand):
    workers = list(reservation.workers)
    for _ in range(min(SAMPLED_WORKERS, len(workers))):
        worker = workers[int(state.random.random() * len(workers))]
        if worker.is_usable() and resources.fits(demand, worker.free):
            return worker
    return None
