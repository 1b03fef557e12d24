"""What each worker has free, indexed so that a search costs the same at any size.

Load: thousands of placements a second while ten thousand workers fill and empty. A
scan of all workers for each task costs milliseconds at that size, and the queue grows
faster than it is served.

Workers with about the same free capacity share a *bucket*. A search walks the buckets
that can hold the demand, tightest first, and looks at ``SAMPLES_PER_BUCKET`` workers of
each until it has ``CANDIDATES``. The number of buckets follows from the sizes that
workers come in, not from how many there are. A search that samples in vain reads on
through all workers, ``SCAN_LIMIT`` per call, so that a worker with room is found in
the end; once it has read them all, the shape is *blocked* and costs nothing until a
worker with room for it appears. ``docs/measurements/placement.md`` has the sweeps.

Capacity is only ever taken by ``take``, which refuses what does not fit, so no order
of calls can give a worker more than it has.
"""

import bisect
import typing

from alderreach.core.generated import common

SAMPLES_PER_BUCKET = 4
CANDIDATES = 8
SCAN_LIMIT = 256
# Workers with more free accelerators than this share a level.
ACCELERATOR_LEVELS = 16
NOTHING = common.Resources(0, 0, 0)


def fits(demand, free):
    """Whether ``demand`` is at most ``free`` in every kind of resource."""
    return demand[0] <= free[0] and demand[1] <= free[1] and demand[2] <= free[2]


def plus(left, right):
    """Sum of two amounts."""
    return common.Resources(left[0] + right[0], left[1] + right[1], left[2] + right[2])


def minus(left, right):
    """Difference of two amounts."""
    return common.Resources(left[0] - right[0], left[1] - right[1], left[2] - right[2])


def times(amount, number):
    """``number`` times an amount."""
    return common.Resources(amount[0] * number, amount[1] * number, amount[2] * number)


def copies(demand, free):
    """How many tasks of ``demand`` go into ``free`` side by side.

    >>> copies(common.Resources(2, 1, 0), common.Resources(7, 9, 0))
    3
    """
    numbers = [f // d for d, f in zip(demand, free, strict=True) if d > 0]
    return max(0, min(numbers, default=1_000_000))


def _level(amount):
    """Half an octave: 64 and 95 share a level, 96 is on the next one."""
    if amount <= 0:
        return 0
    length = amount.bit_length()
    return 2 * length + (amount >> (length - 2) & 1 if length > 1 else 0)


class Bucket(typing.NamedTuple):
    """Workers with about the same free capacity, and its levels."""

    accelerators: int
    cpu: int
    memory: int
    workers: list


class Worker:
    """One worker: its capacity and who holds what of it."""

    __slots__ = (
        "bucket",
        "capacity",
        "free",
        "held_for",
        "is_open",
        "order",
        "position",
        "quarantined",
        "rack",
        "service_share",
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
        self.is_open = True
        self.quarantined = False
        self.uncertain = 0
        self.held_for = None
        self.service_share = NOTHING
        self.tasks = set()
        self.bucket = None
        self.position = 0
        self.order = 0

    def takes_work(self):
        """Whether ordinary new work may be placed here."""
        return (
            self.is_open
            and not self.quarantined
            and not self.uncertain
            and self.held_for is None
        )


class Shape:
    """Search state of one demand; all tasks that ask for the same share it."""

    __slots__ = (
        "blocked",
        "buckets",
        "demand",
        "fresh",
        "known",
        "scanned",
        "scanning",
        "users",
    )

    def __init__(self, demand):
        self.demand = demand
        self.users = 0
        self.buckets = []
        self.known = 0
        self.scanned = 0
        self.scanning = False
        self.fresh = {}
        self.blocked = False

    def restart(self):
        """Search all workers anew."""
        self.scanned = 0
        self.scanning = False
        self.fresh.clear()
        self.blocked = False


class Pool:
    """All workers, and the index of what is free on those that take work."""

    def __init__(self, random):
        self.workers = {}
        self.racks = {}
        self.rack_names = []
        self.capacities = {}
        self.total = NOTHING
        self._random = random
        self._shapes = {}
        self._order = []
        self._buckets = {}
        self._bucket_list = []
        self._grown = {}

    def add(self, worker_id, vm, rack, capacity):
        """Take up a worker, empty and open."""
        worker = Worker(worker_id, vm, rack, capacity)
        self.workers[worker_id] = worker
        if rack not in self.racks:
            self.racks[rack] = []
            self.rack_names.append(rack)
        self.racks[rack].append(worker)
        self.capacities[capacity] = self.capacities.get(capacity, 0) + 1
        self.total = plus(self.total, capacity)
        worker.order = len(self._order)
        self._order.append(worker)
        self.reindex(worker)
        return worker

    def remove(self, worker):
        """Forget a worker."""
        del self.workers[worker.worker_id]
        worker.is_open = False
        self.reindex(worker)
        self._remove_from_order(worker)
        rack = self.racks[worker.rack]
        rack.remove(worker)
        if not rack:
            del self.racks[worker.rack]
            self.rack_names.remove(worker.rack)
        self.capacities[worker.capacity] -= 1
        if not self.capacities[worker.capacity]:
            del self.capacities[worker.capacity]
        self.total = minus(self.total, worker.capacity)

    def take(self, worker, demand):
        """Give ``demand`` out on a worker; False, and nothing, if it doesn't fit."""
        if not fits(demand, worker.free):
            return False
        self.charge(worker, demand)
        return True

    def charge(self, worker, demand):
        """Record what already runs on a worker; it may then have less than nothing."""
        worker.free = minus(worker.free, demand)
        self._place_in_index(worker)

    def give_back(self, worker, demand):
        """Return what ``take`` or ``charge`` gave out."""
        worker.free = plus(worker.free, demand)
        self.reindex(worker)

    def reindex(self, worker):
        """Index a worker that may have gained room or been opened or closed."""
        self._place_in_index(worker)
        if worker.bucket is None:
            self._grown.pop(worker, None)
        else:
            self._grown[worker] = None

    def use_shape(self, demand):
        """Return the search state of a demand, kept until ``leave_shape``."""
        shape = self._shapes.get(demand)
        if shape is None:
            shape = self._shapes[demand] = Shape(demand)
        shape.users += 1
        return shape

    def leave_shape(self, shape):
        """Drop the search state with its last user."""
        shape.users -= 1
        if not shape.users:
            del self._shapes[shape.demand]

    def refresh(self):
        """Tell each shape which workers have gained room for it since the last call."""
        grown = self._grown
        if not grown:
            return
        most = common.Resources(*map(max, zip(*(w.free for w in grown), strict=True)))
        for shape in self._shapes.values():
            if shape.scanning and fits(shape.demand, most):
                self._refresh_shape(shape, grown)
        self._grown = {}

    def _refresh_shape(self, shape, grown):
        if len(grown) + len(shape.fresh) > SCAN_LIMIT:
            shape.restart()
            return
        for worker in grown:
            if fits(shape.demand, worker.free):
                shape.fresh[worker] = None
                shape.blocked = False

    def search(self, shape, roomy=False):
        """Return workers with room for a shape, tightest or roomiest first.

        An empty list says that there is none if ``shape.blocked`` is set; else that
        none was found yet and the next call looks further.
        """
        if shape.blocked:
            return []
        found = self._sample(shape, roomy)
        if not found:
            found = self._search_fresh(shape)
        if not found:
            found = self._scan(shape)
        return found

    def _sample(self, shape, roomy):
        if shape.known < len(self._bucket_list):
            self._learn_buckets(shape)
        found = []
        demand = shape.demand
        buckets = reversed(shape.buckets) if roomy else shape.buckets
        for _, _, workers in buckets:
            if not workers:
                continue
            start = int(self._random.random() * len(workers))
            for worker in workers[start : start + SAMPLES_PER_BUCKET]:
                if fits(demand, worker.free):
                    found.append(worker)
            if len(found) >= CANDIDATES:
                break
        return found

    def _learn_buckets(self, shape):
        """Sort the buckets made since the last call in by how tight they are."""
        cpu_millis, memory_mb, accelerators = shape.demand
        cpu, memory = _level(cpu_millis), _level(memory_mb)
        accelerators = min(accelerators, ACCELERATOR_LEVELS)
        for number in range(shape.known, len(self._bucket_list)):
            bucket = self._bucket_list[number]
            if (
                bucket.accelerators >= accelerators
                and bucket.cpu >= cpu
                and bucket.memory >= memory
            ):
                tightness = (bucket.accelerators, bucket.cpu + bucket.memory)
                bisect.insort(shape.buckets, (tightness, number, bucket.workers))
        shape.known = len(self._bucket_list)

    def _search_fresh(self, shape):
        while shape.fresh:
            worker = next(reversed(shape.fresh))
            if worker.bucket is not None and fits(shape.demand, worker.free):
                return [worker]
            del shape.fresh[worker]
        return []

    def _scan(self, shape):
        first = shape.scanned
        demand = shape.demand
        shape.scanning = True
        for worker in self._order[first : first + SCAN_LIMIT]:
            if worker.bucket is not None and fits(demand, worker.free):
                shape.scanned = worker.order
                return [worker]
        shape.scanned = first + SCAN_LIMIT
        shape.blocked = shape.scanned >= len(self._order)
        return []

    def _place_in_index(self, worker):
        if not worker.takes_work():
            self._unlink(worker)
            return
        bucket = self._bucket_for(worker.free)
        if worker.bucket is bucket:
            return
        self._unlink(worker)
        worker.bucket = bucket
        worker.position = len(bucket.workers)
        bucket.workers.append(worker)

    def _bucket_for(self, free):
        cpu_millis, memory_mb, accelerators = free
        accelerators = min(accelerators, ACCELERATOR_LEVELS)
        key = (accelerators, _level(cpu_millis), _level(memory_mb))
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = self._buckets[key] = Bucket(*key, [])
            self._bucket_list.append(bucket)
        return bucket

    def _unlink(self, worker):
        if worker.bucket is None:
            return
        workers = worker.bucket.workers
        last = workers.pop()
        if last is not worker:
            workers[worker.position] = last
            last.position = worker.position
        worker.bucket = None

    def _remove_from_order(self, worker):
        last = self._order.pop()
        if last is worker:
            return
        self._order[worker.order] = last
        last.order = worker.order
        # A scan that has passed this place would miss the worker moved here.
        if last.bucket is not None:
            self._grown[last] = None
