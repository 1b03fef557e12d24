"""The capacity of each worker and what of it is allocated.

Tasks start and end and workers are lost and return in any order, several times between
two ticks. Targets report with a lag, so if free capacity were derived from their
reports, two consecutive starts would both see the same free processor.

Capacity is allocated only by ``allocate``, which refuses what does not fit, so no order
of calls can allocate more than a worker has. Tasks that already run when a worker is
added are recorded by ``charge``; the worker's free capacity may then be negative, and
it gets no work until enough of these tasks have ended.
"""

from alderreach.decisions import resources, search


class Worker:
    """One worker: its capacity and the tasks that use it.

    ``pinned`` is the part of the allocated capacity whose tasks neither end soon nor
    can be preempted, ``excess`` what tasks use beyond their allocation, ``held_for``
    the reservation that holds the free capacity, ``uncertain`` the number of tasks
    whose demand is unknown.
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
        """Whether new work may be placed here, with a reservation or without."""
        return self.is_open and not self.quarantined and not self.uncertain

    def accepts_work(self):
        """Whether new work without a reservation may be placed here."""
        return self.is_usable() and self.held_for is None

    def drained_capacity(self):
        """Return the free capacity once all tasks that aren't pinned have ended."""
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
        """Add an empty, open worker."""
        worker = Worker(worker_id, vm, rack, capacity)
        self.workers[worker_id] = worker
        self._add_to_groups(worker)
        self.total = resources.plus(self.total, capacity)
        self.index.add(worker)
        return worker

    def remove(self, worker):
        """Remove a worker."""
        del self.workers[worker.worker_id]
        worker.is_open = False
        self.index.remove(worker)
        self._notify_reservation(worker)
        self._remove_from_groups(worker)
        self.total = resources.minus(self.total, worker.capacity)

    def allocate(self, worker, demand):
        """Allocate ``demand`` on a worker; return False if it doesn't fit."""
        if not resources.fits(demand, worker.free):
            return False
        self.charge(worker, demand)
        return True

    def charge(self, worker, demand):
        """Record the demand of a task that already runs, even if it doesn't fit."""
        worker.free = resources.minus(worker.free, demand)
        self.index.move(worker)
        self._notify_reservation(worker)

    def release(self, worker, demand):
        """Free what ``allocate`` or ``charge`` recorded."""
        worker.free = resources.plus(worker.free, demand)
        self.reindex(worker)

    def undo(self, shape, worker):
        """Free what a failed attempt allocated, before any other shape has searched."""
        worker.free = resources.plus(worker.free, shape.demand)
        self.index.undo(shape, worker)

    def reindex(self, worker):
        """Update the index after a worker may have freed capacity, opened or closed."""
        self.index.mark_freed(worker)
        self._notify_reservation(worker)

    def _notify_reservation(self, worker):
        if worker.held_for is not None:
            worker.held_for.changed[worker] = None

    def _add_to_groups(self, worker):
        if worker.rack not in self.racks:
            self.racks[worker.rack] = []
            self.rack_names.append(worker.rack)
        self.racks[worker.rack].append(worker)
        same_size = self.by_capacity.setdefault(worker.capacity, [])
        worker.rank = len(same_size)
        same_size.append(worker)

    def _remove_from_groups(self, worker):
        rack = self.racks[worker.rack]
        rack.remove(worker)
        if not rack:
            del self.racks[worker.rack]
            self.rack_names.remove(worker.rack)
        same_size = self.by_capacity[worker.capacity]
        last = same_size.pop()
        if last is not worker:
            same_size[worker.rank] = last
            last.rank = worker.rank
        if not same_size:
            del self.by_capacity[worker.capacity]
