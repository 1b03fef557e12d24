"""Keeps workers free for work that would otherwise never find enough capacity.

That is a gang, or a task as large as a worker, among a stream of small tasks that fill
each gap first; and urgent work that waits for preempted tasks to end.

A reservation takes all its workers in one step, and only if they suffice once the tasks
on them have ended. So no reservation holds workers while it waits for more, and two
reservations can't deadlock; and since reserved workers take no other work, each
reservation is served eventually. One that no longer suffices, because a worker was
lost, is released in full; its gang, by then the oldest, is the next to get one.

Waiting for the last task on a chosen worker to end takes as long as the longest task
runs. So the oldest gang's reservation also keeps the capacity that is freed elsewhere,
and the gang starts as soon as both together are enough.
"""

from alderreach.decisions import gangs, resources

# After this time the capacity is released; the placer handles stops that take longer.
MAX_URGENT_HOLD_MS = 30_000
# Searches for free capacity per attempt; each finds up to eight workers.
MAX_CAPTURE_SEARCHES = 64


class Reservation:
    """Workers kept for a gang, or for the waiting tasks of a line.

    ``workers`` maps a worker to the copies that fit it now and once it is drained;
    ``ready`` and ``expected`` are their sums. ``planned`` counts the tasks to start on
    each worker if they needn't start together. ``fillers`` are the backfill runs, which
    were started on reserved workers because they were declared to end in time.
    """

    __slots__ = (
        "changed",
        "expected",
        "fillers",
        "job",
        "line",
        "needed_at_ms",
        "planned",
        "ready",
        "retry_ms",
        "since_ms",
        "urgent",
        "workers",
    )

    def __init__(self, line, job, now_ms, urgent):
        self.line = line
        self.job = job
        self.since_ms = now_ms
        self.urgent = urgent
        self.workers = {}
        self.planned = {}
        self.ready = 0
        self.expected = 0
        self.changed = {}
        self.fillers = []
        self.needed_at_ms = now_ms
        self.retry_ms = now_ms


def reserve(state, line, job, workers, urgent=False):
    """Reserve workers for a gang or, if ``job`` is None, for tasks of a line."""
    reservation = Reservation(line, job, state.now_ms, urgent)
    state.reservations.append(reservation)
    if job is None:
        line.reservation = reservation
    for worker in workers:
        _reserve_worker(state, reservation, worker)
    return reservation


def _reserve_worker(state, reservation, worker):
    if worker.held_for is not None:
        _release_worker(state, worker.held_for, worker)
    worker.held_for = reservation
    reservation.workers[worker] = (0, 0)
    state.cell.reindex(worker)


def release(state, reservation):
    """End a reservation and release its workers."""
    state.reservations.remove(reservation)
    if reservation.line.reservation is reservation:
        reservation.line.reservation = None
    for worker in list(reservation.workers):
        _release_worker(state, reservation, worker)


def _release_worker(state, reservation, worker):
    ready, expected = reservation.workers.pop(worker)
    reservation.planned.pop(worker, None)
    reservation.ready -= ready
    reservation.expected -= expected
    reservation.changed.pop(worker, None)
    worker.held_for = None
    state.cell.reindex(worker)


def serve(state):
    """Start what fits reserved capacity now; end reservations that can't be met."""
    for reservation in list(state.reservations):
        _update(state, reservation)
        if reservation.job is None:
            _serve_line(state, reservation)
        else:
            _serve_gang(state, reservation)


def _update(state, reservation):
    demand = reservation.line.demand
    changed, reservation.changed = reservation.changed, {}
    for worker in changed:
        if worker.held_for is not reservation:
            continue
        if not worker.is_usable():
            _release_worker(state, reservation, worker)
            continue
        ready, expected = reservation.workers[worker]
        now = resources.copies(demand, worker.free)
        later = max(now, resources.copies(demand, worker.drained_capacity()))
        reservation.workers[worker] = (now, later)
        reservation.ready += now - ready
        reservation.expected += later - expected


def _serve_gang(state, reservation):
    job = reservation.job
    account = state.ledger.account(job.spec.team)
    whole = resources.times(job.spec.task, job.waiting)
    if job.line is None or not state.ledger.allows(account, whole, reservation.line):
        release(state, reservation)
    elif reservation.ready >= job.waiting:
        gangs.start_all(state, job, _ready_workers(reservation, job.waiting))
        release(state, reservation)
    elif reservation.expected < job.waiting:
        release(state, reservation)
    else:
        _serve_gang_from_all(state, reservation)


def _serve_gang_from_all(state, reservation):
    """Start a gang on reserved workers and on free capacity elsewhere together.

    If that isn't enough, the oldest reservation also reserves the free capacity, and
    stops its backfill runs if only their capacity is missing.
    """
    if reservation.retry_ms > state.now_ms:
        return
    reservation.retry_ms = state.now_ms + gangs.RETRY_MS
    job, shape = reservation.job, reservation.line.shape
    workers = gangs.find_workers(state, shape, job.waiting - reservation.ready)
    if workers is not None:
        workers += _ready_workers(reservation, reservation.ready)
        release(state, reservation)
        gangs.start_all(state, job, workers)
    elif is_oldest(state, reservation):
        _reserve_free_workers(state, reservation)
        if (
            reservation.ready + _copies_held_by_fillers(state, reservation)
            >= job.waiting
        ):
            _end_backfill(state, reservation)


def is_oldest(state, reservation):
    """Whether no other gang's reservation is older."""
    return reservation is next(each for each in state.reservations if each.job)


def _reserve_free_workers(state, reservation):
    """Reserve workers that fit a task now, in at most ``MAX_CAPTURE_SEARCHES``."""
    shape = reservation.line.shape
    for _ in range(MAX_CAPTURE_SEARCHES):
        if reservation.ready >= reservation.job.waiting or shape.blocked:
            return
        for worker in state.cell.index.search(shape):
            _reserve_worker(state, reservation, worker)
        _update(state, reservation)


def _copies_held_by_fillers(state, reservation):
    """Return how many more tasks would fit if the backfill runs had ended."""
    demand = reservation.line.demand
    reservation.fillers = [
        run for run in reservation.fillers if run.job.runs.get(run.number) is run
    ]
    reclaimable = {}
    for run in reservation.fillers:
        worker = state.cell.workers.get(run.worker_id)
        if worker in reservation.workers:
            so_far = reclaimable.get(worker, worker.free)
            reclaimable[worker] = resources.plus(so_far, run.job.spec.task)
    return sum(
        resources.copies(demand, free) - reservation.workers[worker][0]
        for worker, free in reclaimable.items()
    )


def needed_in_ms(state, reservation):
    """Estimate from its progress when a reservation will need its capacity."""
    drained_ms = reservation.needed_at_ms - state.now_ms
    if reservation.job is None or not reservation.ready:
        return drained_ms
    missing = reservation.job.waiting - reservation.ready
    waited_ms = state.now_ms - reservation.since_ms
    return min(drained_ms, waited_ms * missing / reservation.ready)


def _ready_workers(reservation, wanted):
    found = []
    for worker, (ready, _) in reservation.workers.items():
        found.extend([worker] * min(ready, wanted - len(found)))
        if len(found) == wanted:
            break
    return found


def _serve_line(state, reservation):
    line = reservation.line
    account = state.ledger.account(line.team)
    for worker in list(reservation.planned):
        _serve_worker(state, reservation, worker, account)
    overdue = state.now_ms - reservation.since_ms > MAX_URGENT_HOLD_MS
    if not line.jobs or not reservation.workers or (reservation.urgent and overdue):
        release(state, reservation)
    elif state.now_ms >= reservation.needed_at_ms:
        _end_backfill(state, reservation)


def _serve_worker(state, reservation, worker, account):
    line, planned = reservation.line, reservation.planned
    while planned[worker] and line.jobs and resources.fits(line.demand, worker.free):
        if not state.ledger.allows(account, line.demand, line):
            break
        line.blocked_since_ms = None
        state.start(line.head(), worker)
        planned[worker] -= 1
    draining = reservation.workers[worker][1] > 0 and not reservation.urgent
    stopping = any(run.stop for run in worker.tasks)
    if not planned[worker] or not (draining or stopping):
        _release_worker(state, reservation, worker)


def _end_backfill(state, reservation):
    """Stop the backfill runs that have not ended."""
    for run in reservation.fillers:
        if run.job.runs.get(run.number) is run:
            run.job.overran = True
            state.stop(run, run.gentlest_stop(), first=True)
    reservation.fillers.clear()
