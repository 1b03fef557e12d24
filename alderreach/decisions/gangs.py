"""Gangs start all their tasks together or none.

Gangs of tens to hundreds of tasks wait among a stream of small tasks. If their tasks
started as capacity became free, two gangs that each need more than half of the cell
could end up half placed and wait for each other forever.

An attempt allocates capacity for all tasks or returns all it allocated, so a gang holds
nothing between attempts. A failed attempt costs up to one search per task. At one
attempt per ``RETRY_MS`` that is less than a hundredth of a core for a gang of a hundred
tasks, and the delay is small against the time a gang waits. Gangs that are passed over
for long get a reservation (``draining``).
"""

from alderreach.decisions import placement, poison_jobs, resources

RETRY_MS = 100
# Cost of a failed attempt: one search finds capacity for about this many tasks.
TASKS_PER_SEARCH = 8


def place(state, job, line, account):
    """Start a gang if all its tasks fit; returns what the attempt cost."""
    wanted = job.waiting
    total_demand = resources.times(line.demand, wanted)
    if not state.ledger.allows(account, total_demand, line):
        state.ledger.on_quota_used_up(account, line, total_demand, state.now_ms)
        job.retry_ms = state.now_ms + RETRY_MS
        return 1
    workers = find_workers(state, line.shape, wanted, is_suspect=job.limit > 0)
    if workers is None:
        job.retry_ms = state.now_ms + RETRY_MS
        mark_blocked(state, job)
        return 1 + wanted // TASKS_PER_SEARCH
    start_all(state, job, workers)
    return wanted


def mark_blocked(state, job):
    """Record the time since which a gang has found no capacity."""
    if job.blocked_since_ms is None:
        job.blocked_since_ms = state.now_ms
    if job.line is not None and job.line.blocked_since_ms is None:
        job.line.blocked_since_ms = state.now_ms


def find_workers(state, shape, wanted, is_suspect=False):
    """Return a worker for each of ``wanted`` tasks, None if not all of them fit.

    With ``is_suspect``, workers that run other suspects are avoided if possible.
    """
    cell, demand = state.cell, shape.demand
    chosen = []
    while len(chosen) < wanted and not shape.blocked:
        workers = cell.index.search(shape)
        if not workers:
            continue
        if is_suspect:
            away_from_suspects = [
                w for w in workers if not poison_jobs.is_beside_suspect(w)
            ]
            workers = away_from_suspects or workers
        worker = placement.best_fit(workers, demand)
        number = min(wanted - len(chosen), resources.copies(demand, worker.free))
        for _ in range(number):
            cell.allocate(worker, demand)
            chosen.append(worker)
    for worker in chosen:
        cell.undo(shape, worker)
    return chosen if len(chosen) == wanted else None


def start_all(state, job, workers):
    """Start the waiting tasks of a gang, one on each of ``workers``."""
    job.blocked_since_ms = None
    if job.line is not None:
        job.line.blocked_since_ms = None
        state.ledger.stop_saving(job.line)
    for worker in workers:
        state.start(job, worker)
