"""Gangs start whole or not at all.

Load: gangs of tens to hundreds of tasks among a stream of small tasks. Started as room
appears, two gangs that each want more than half of the cell end up half placed and wait
for each other for ever.

A try takes room for all tasks or gives back all it took, so between two tries a gang
holds nothing. A vain try costs up to a search per task; ``RETRY_MS`` keeps that under a
hundredth of a core for a gang of a hundred tasks and is small against the time a gang
waits. Who is passed over for long gets a reservation (``draining``).
"""

from alderreach.decisions import placement, poison_jobs, resources

RETRY_MS = 100
# Budget of a vain try: one search finds room for about this many tasks.
TASKS_PER_SEARCH = 8


def place(state, job, line, account):
    """Start a gang if there is room for all of it; returns what the try cost."""
    wanted = job.waiting
    whole = resources.times(line.demand, wanted)
    if not state.ledger.allows(account, whole, line):
        state.ledger.on_quota_used_up(account, line, whole, state.now_ms)
        job.retry_ms = state.now_ms + RETRY_MS
        return 1
    workers = gather(state, line.shape, wanted, is_suspect=job.limit > 0)
    if workers is None:
        job.retry_ms = state.now_ms + RETRY_MS
        note_blocked(state, job)
        return 1 + wanted // TASKS_PER_SEARCH
    start_whole(state, job, workers)
    return wanted


def note_blocked(state, job):
    """Remember since when a gang has found no room."""
    if job.blocked_since_ms is None:
        job.blocked_since_ms = state.now_ms
    if job.line is not None and job.line.blocked_since_ms is None:
        job.line.blocked_since_ms = state.now_ms


def gather(state, shape, wanted, is_suspect=False):
    """Return one worker for each of ``wanted`` tasks, None if there aren't as many.

    A gang that ``is_suspect`` goes beside no other suspect if it can.
    """
    cell, demand = state.cell, shape.demand
    taken = []
    while len(taken) < wanted and not shape.blocked:
        workers = cell.index.search(shape)
        if not workers:
            continue
        if is_suspect:
            apart = [w for w in workers if not poison_jobs.is_beside_suspect(w)]
            workers = apart or workers
        worker = placement.pack(workers, demand)
        number = min(wanted - len(taken), resources.copies(demand, worker.free))
        for _ in range(number):
            cell.take(worker, demand)
            taken.append(worker)
    for worker in taken:
        cell.undo(shape, worker)
    return taken if len(taken) == wanted else None


def start_whole(state, job, workers):
    """Start the waiting tasks of a gang, one on each of ``workers``."""
    job.blocked_since_ms = None
    if job.line is not None:
        job.line.blocked_since_ms = None
        state.ledger.stop_saving(job.line)
    for worker in workers:
        state.start(job, worker)
