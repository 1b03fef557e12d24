"""Chooses one of the workers that have capacity for a task.

Services, whose copies must not fail together, run beside batch tasks, which must not
leave capacity so fragmented that a large task keeps waiting. No single rule serves
both: packed services lose all copies with one rack, and spread batch tasks leave every
worker slightly too full for the next large task.

A service task goes to the rack of the failure domain with the fewest copies of the
service, and there to the worker with the fewest. Up to ``MAX_RACKS_COMPARED`` racks are
compared, which is all of them at today's size. In a larger cell a random sample of that
size contains a rack without a copy, unless the service is as large as the cell. Batch
and gang tasks follow their team's objective: *packing* takes the sampled worker that is
left with the least free capacity, *waiting* the one left with the most, where a task
that declared too little disturbs the fewest others.
"""

from alderreach.decisions import resources

MAX_RACKS_COMPARED = 8
MAX_WORKERS_COMPARED = 8
# Weight of an imbalance between free processors and free memory, against the weight of
# free capacity itself.
IMBALANCE_WEIGHT = 8.0


def leftover(worker, demand):
    """Score what a worker would have left after ``demand``; 0 is exactly full.

    A higher score is worse for packing. Accelerators left idle weigh most: a worker
    without free processors can't use them.
    """
    cpu = (worker.free[0] - demand[0]) / (worker.capacity[0] or 1)
    memory = (worker.free[1] - demand[1]) / (worker.capacity[1] or 1)
    idle = worker.free[2] - demand[2]
    return cpu + memory + IMBALANCE_WEIGHT * abs(cpu - memory) + idle


def best_fit(workers, demand):
    """Return the worker that ``demand`` leaves with the least free capacity."""
    return min(workers, key=lambda worker: leftover(worker, demand))


def worst_fit(workers, demand):
    """Return the worker that ``demand`` leaves with the most free capacity."""
    return max(workers, key=lambda worker: leftover(worker, demand) - worker.free[2])


def spread(cell, random, demand, racks_used, workers_used):
    """Return a worker in a rack with few copies, None if no worker was found.

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
