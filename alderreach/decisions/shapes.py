"""The state of the search for one demand, which is resumed instead of repeated.

In a full cell a thousand tasks may end in a second while hundreds of different demands
wait. Each end may free enough capacity for each of them, and a new search of the cell
for each would cost a thousand times as much as handling the ends.

After a search has covered all workers, only the *freed* ones, which have freed capacity
since then, can fit the demand. When none of them is left, the shape is blocked. With
more than ``MAX_FREED_WORKERS`` of them the cell is no longer full, and the search
starts again.
"""

MAX_CANDIDATES = 8
MAX_FREED_WORKERS = 256


class Shape:
    """Search state of one demand, shared by all tasks that request the same.

    ``freed`` are workers that freed enough capacity for it after a scan began;
    ``overflow`` is set if there were too many to keep. ``scanned`` is the number of
    workers that the scan has covered.
    """

    __slots__ = (
        "blocked",
        "buckets",
        "demand",
        "freed",
        "known_buckets",
        "overflow",
        "scanned",
        "scanning",
        "users",
    )

    def __init__(self, demand):
        self.demand = demand
        self.users = 0
        self.buckets = []
        self.known_buckets = 0
        self.freed = {}
        self.restart()

    def restart(self):
        """Start the search again with all workers."""
        self.scanned = 0
        self.scanning = False
        self.overflow = False
        self.freed.clear()
        self.blocked = False


# The two loops below run for each blocked shape after each end of a task. They compare
# inline, since a call to ``resources.fits`` per worker doubles the time of a tick.


def refresh(shape, freed_workers):
    """Record which of the workers with freed capacity fit a shape."""
    if len(freed_workers) > MAX_FREED_WORKERS:
        shape.restart()
        return
    cpu_millis, memory_mb, accelerators = shape.demand
    freed = shape.freed
    for worker in freed_workers:
        cpu, memory, idle = worker.free
        if cpu_millis <= cpu and memory_mb <= memory and accelerators <= idle:
            freed[worker] = None
    shape.blocked = shape.blocked and not freed
    while len(freed) > MAX_FREED_WORKERS:
        freed.popitem()
        shape.overflow = True


def search_freed(shape):
    """Return freed workers that fit a shape, and drop those that don't."""
    cpu_millis, memory_mb, accelerators = shape.demand
    freed, found = shape.freed, []
    while freed and len(found) < MAX_CANDIDATES:
        worker, _ = freed.popitem()
        cpu, memory, idle = worker.free
        fits = cpu_millis <= cpu and memory_mb <= memory and accelerators <= idle
        if fits and worker.bucket is not None:
            found.append(worker)
    for worker in found:
        freed[worker] = None
    return found
