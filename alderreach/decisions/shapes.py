"""How far the search for one demand has come.

Load: a full cell in which a thousand tasks end in a second, with hundreds of different
demands waiting. Each end may make room for each of them; searching the cell anew for
each costs a thousand times what the ends are worth.

After a search has been through all workers, only those that have gained room since,
the *fresh* ones, can have room. With none of them left the shape is blocked. Beyond
``FRESH_LIMIT`` fresh workers the cell is no longer full, and it is searched anew.
"""

CANDIDATES = 8
FRESH_LIMIT = 256


class Shape:
    """Search state of one demand; all tasks that ask for the same share it.

    ``fresh`` are workers that gained room for it after a scan began, ``scanned`` is
    how far that scan has come; ``overflow`` says that there were more of them.
    """

    __slots__ = (
        "blocked",
        "buckets",
        "demand",
        "fresh",
        "known",
        "overflow",
        "scanned",
        "scanning",
        "users",
    )

    def __init__(self, demand):
        self.demand = demand
        self.users = 0
        self.buckets = []
        self.known = 0
        self.fresh = {}
        self.restart()

    def restart(self):
        """Search all workers anew."""
        self.scanned = 0
        self.scanning = False
        self.overflow = False
        self.fresh.clear()
        self.blocked = False


# The two loops below run for each blocked shape after each end of a task, so they
# compare in place; a call to ``resources.fits`` for each worker doubles a tick.


def refresh(shape, grown):
    """Note which of the workers that have gained room have room for a shape."""
    if len(grown) > FRESH_LIMIT:
        shape.restart()
        return
    cpu_millis, memory_mb, accelerators = shape.demand
    fresh = shape.fresh
    for worker in grown:
        cpu, memory, idle = worker.free
        if cpu_millis <= cpu and memory_mb <= memory and accelerators <= idle:
            fresh[worker] = None
    shape.blocked = shape.blocked and not fresh
    while len(fresh) > FRESH_LIMIT:
        fresh.popitem()
        shape.overflow = True


def search_fresh(shape):
    """Return fresh workers with room, and forget those without."""
    cpu_millis, memory_mb, accelerators = shape.demand
    fresh, found = shape.fresh, []
    while fresh and len(found) < CANDIDATES:
        worker, _ = fresh.popitem()
        cpu, memory, idle = worker.free
        fits = cpu_millis <= cpu and memory_mb <= memory and accelerators <= idle
        if fits and worker.bucket is not None:
            found.append(worker)
    for worker in found:
        fresh[worker] = None
    return found
