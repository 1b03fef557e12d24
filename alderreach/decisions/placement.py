"""Which of the workers that have room gets a task.

Load: services, whose copies must not die together, beside batch tasks, whose leftovers
must not keep a large task waiting. One rule for both fails one of them: packed services
lose all copies with one rack, and spread batch work leaves every worker a little too
full for the next large task.

Services go to the failure domain's rack with the fewest copies of the service, within
it to the worker with the fewest. Up to ``RACKS`` racks are compared, all of them at
today's size; in a larger cell a random ``RACKS`` of them hold a free one unless the
service is as large as the cell. Batch and gang tasks follow their team's objective:
*packing* fills the tightest of the sampled workers, *waiting* takes the roomiest, where
a task that declared too little disturbs the fewest.
"""

from alderreach.decisions import resources

MAX_RACKS_COMPARED = 8
MAX_WORKERS_COMPARED = 8
# Weight of leaving a worker lopsided (processors but no memory) against leaving it
# empty.
IMBALANCE_WEIGHT = 8.0


def leftover(worker, demand):
    """Score of a worker after taking ``demand``: 0 is exactly full, higher is worse.

    Accelerators that a task would leave idle weigh most: a worker whose processors are
    gone can't hand them out.
    """
    cpu = (worker.free[0] - demand[0]) / (worker.capacity[0] or 1)
    memory = (worker.free[1] - demand[1]) / (worker.capacity[1] or 1)
    idle = worker.free[2] - demand[2]
    return cpu + memory + IMBALANCE_WEIGHT * abs(cpu - memory) + idle


def best_fit(workers, demand):
    """Return the worker that ``demand`` leaves the least room on."""
    return min(workers, key=lambda worker: leftover(worker, demand))


def worst_fit(workers, demand):
    """Return the worker that ``demand`` leaves the most room on."""
    return max(workers, key=lambda worker: leftover(worker, demand) - worker.free[2])


def spread(cell, random, demand, racks_used, workers_used):
    """Return a worker in a rack with few copies; None if none was found.

    ``racks_used`` and ``workers_used`` count the copies so far by rack and worker id.
    """
    names = (
        list(cell.racks)
        if len(cell.racks) <= MAX_RACKS_COMPARED
        else _sample_racks(cell, random)
    )
    names.sort(key=lambda rack: racks_used.get(rack, 0))
    for name in names:
        worker = _best_in_rack(cell.racks[name], random, demand, workers_used)
        if worker is not None:
            return worker
    return None


def _sample_racks(cell, random):
    names = cell.rack_names
    return [names[int(random.random() * len(names))] for _ in range(MAX_RACKS_COMPARED)]


def _best_in_rack(workers, random, demand, workers_used):
    best, best_rank = None, None
    start = int(random.random() * len(workers))
    for step in range(min(len(workers), MAX_WORKERS_COMPARED)):
        worker = workers[(start + step) % len(workers)]
        if worker.bucket is None or not resources.fits(demand, worker.free):
            continue
        rank = (workers_used.get(worker.worker_id, 0), -worker.free[0])
        if best is None or rank < best_rank:
            best, best_rank = worker, rank
    return best
