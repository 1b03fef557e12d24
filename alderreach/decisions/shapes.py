"""How far the search for one demand has come.

Load: a full cell in which a thousand tasks end in a second, with hundreds of different
demands waiting. Each end may make room for each of them; searching the cell anew for
each costs a thousand times what the ends are worth.

After a search has been through all workers, only those that have gained room since,
the *fresh* ones, can have room. With none of them left the shape is blocked. Beyond
``FRESH_LIMIT`` fresh workers the cell is no longer full, and it is searched anew.
"""

CANDIDATES = 8
MAX_FREED_WORKERS = 256


class Shape:
    """Search state of one demand; all tasks that ask for the same share it.

    ``fresh`` are workers that gained room for it after a scan began, ``scanned`` is
    how far that scan has come; ``overflow`` says that there were more of them.
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
        """Search all workers anew."""
        self.scanned = 0
        self.scanning = False
        self.overflow = False
        self.freed.clear()
        self.blocked = False


# The two loops below run for each blocked shape after each end of a task, so they
# compare in place; a call to ``resources.fits`` for each worker doubles a tick.


def refresh(shape, freed_workers):
    """Note which of the workers that have gained room have room for a shape."""
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
    """Return fresh workers with room, and forget those without."""
    cpu_millis, memory_mb, accelerators = shape.demand
    freed, found = shape.freed, []
    while freed and len(found) < CANDIDATES:
        worker, _ = freed.popitem()
        cpu, memory, idle = worker.free
        fits = cpu_millis <= cpu and memory_mb <= memory and accelerators <= idle
        if fits and worker.bucket is not None:
            found.append(worker)
    for worker in found:
        freed[worker] = None
    return found
