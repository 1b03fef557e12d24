"""What each worker has, and what of it is given out.

Load: starts, ends, lost and returning workers in any order, several of them between
two ticks. If capacity were derived from what targets report, which lags, two starts in
a row would both see the same free processor.

Capacity is only ever given out by ``take``, which refuses what does not fit, so no
order of calls can give a worker more than it has. What already runs when a worker is
taken up is recorded by ``charge``; a worker may then have less than nothing, and takes
no work until that has ended.
"""

from alderreach.decisions import resources, search


class Worker:
    """One worker: its capacity and who holds what of it.

    ``pinned`` is the part of what is given out that neither ends soon nor gives way,
    ``excess`` what the tasks use beyond what they were given, ``held_for`` the
    reservation that the free rest is kept for, ``uncertain`` the number of tasks whose
    size is unknown.
    """

    __slots__ = (
        "bucket",
        "capacity",
        "excess",
        "free",
        "held_for",
        "is_open",
        "order",
        "pinned",
        "position",
        "quarantined",
        "rack",
        "rank",
        "tasks",
        "uncertain",
        "vm",
        "worker_id",
    )

    def __init__(self, worker_id, vm, rack, capacity):
        self.worker_id = worker_id
        self.vm = vm
        self.rack = rack
        self.capacity = capacity
        self.free = capacity
        self.pinned = resources.NOTHING
        self.excess = resources.NOTHING
        self.is_open = True
        self.quarantined = False
        self.uncertain = 0
        self.held_for = None
        self.tasks = {}
        self.bucket = None
        self.position = 0
        self.order = 0
        self.rank = 0

    def is_usable(self):
        """Whether new work may be placed here at all."""
        return self.is_open and not self.quarantined and not self.uncertain

    def takes_work(self):
        """Whether new work that holds no reservation may be placed here."""
        return self.is_usable() and self.held_for is None

    def drained(self):
        """Return what it will have free once all that isn't pinned has ended."""
        kept = resources.plus(self.pinned, self.excess)
        return resources.minus(self.capacity, kept)


class Pool:
    """All workers of a failure domain."""

    def __init__(self, random):
        self.workers = {}
        self.racks = {}
        self.rack_names = []
        self.by_capacity = {}
        self.total = resources.NOTHING
        self.index = search.Index(random)

    def add(self, worker_id, vm, rack, capacity):
        """Take up a worker, empty and open."""
        worker = Worker(worker_id, vm, rack, capacity)
        self.workers[worker_id] = worker
        self._join(worker)
        self.total = resources.plus(self.total, capacity)
        self.index.add(worker)
        return worker

    def remove(self, worker):
        """Forget a worker."""
        del self.workers[worker.worker_id]
        worker.is_open = False
        self.index.remove(worker)
        self._tell_reservation(worker)
        self._leave(worker)
        self.total = resources.minus(self.total, worker.capacity)

    def take(self, worker, demand):
        """Give ``demand`` out on a worker; False, and nothing, if it doesn't fit."""
        if not resources.fits(demand, worker.free):
            return False
        self.charge(worker, demand)
        return True

    def charge(self, worker, demand):
        """Record what already runs on a worker."""
        worker.free = resources.minus(worker.free, demand)
        self.index.move(worker)
        self._tell_reservation(worker)

    def give_back(self, worker, demand):
        """Return what ``take`` or ``charge`` gave out."""
        worker.free = resources.plus(worker.free, demand)
        self.reconsider(worker)

    def undo(self, shape, worker):
        """Return what a vain attempt took for a shape; no other shape has searched."""
        worker.free = resources.plus(worker.free, shape.demand)
        self.index.undo(shape, worker)

    def reconsider(self, worker):
        """Index a worker that may have gained room or been opened or closed."""
        self.index.mark_freed(worker)
        self._tell_reservation(worker)

    def _tell_reservation(self, worker):
        if worker.held_for is not None:
            worker.held_for.changed[worker] = None

    def _join(self, worker):
        if worker.rack not in self.racks:
            self.racks[worker.rack] = []
            self.rack_names.append(worker.rack)
        self.racks[worker.rack].append(worker)
        alike = self.by_capacity.setdefault(worker.capacity, [])
        worker.rank = len(alike)
        alike.append(worker)

    def _leave(self, worker):
        rack = self.racks[worker.rack]
        rack.remove(worker)
        if not rack:
            del self.racks[worker.rack]
            self.rack_names.remove(worker.rack)
        alike = self.by_capacity[worker.capacity]
        last = alike.pop()
        if last is not worker:
            alike[worker.rank] = last
            last.rank = worker.rank
        if not alike:
            del self.by_capacity[worker.capacity]
