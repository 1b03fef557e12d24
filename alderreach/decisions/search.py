"""Finds workers with capacity for a task, at a cost independent of the cell's size.

The cell makes thousands of placements a second while ten thousand workers fill and
empty. A scan of all workers for each task takes milliseconds at that size, so the queue
would grow faster than it is served.

Workers with about the same free capacity share a *bucket*. A search walks the buckets
that can hold the demand, tightest first, and samples ``SAMPLES_PER_BUCKET`` workers of
each until it has a few candidates. The number of buckets depends on the sizes of the
workers, not on their number.

A search whose samples all fail must not miss a worker with enough capacity. If its
buckets hold few workers, it checks all of them, else it scans all workers of the cell,
``SCAN_LIMIT`` per call. After that it checks only workers with capacity freed since
then (``shapes``). ``docs/measurements/placement.md`` compares values of the constants.
"""

import bisect
import collections
import typing

from alderreach.core.generated import common
from alderreach.decisions import resources, shapes

SAMPLES_PER_BUCKET = 4
SCAN_LIMIT = 256
# Workers with at least this many free accelerators share a level.
ACCELERATOR_LEVELS = 16
# More than the workloads of 73 teams that are active together; about 5 KB each.
MAX_IDLE_SHAPES = 512


class Bucket(typing.NamedTuple):
    """Workers with about the same free capacity, and the levels of that capacity."""

    accelerators: int
    cpu: int
    memory: int
    workers: list


class Index:
    """The workers that take work, by their free capacity."""

    def __init__(self, random):
        self._random = random
        self._shapes = {}
        self._idle_shapes = collections.OrderedDict()
        self._order = []
        self._buckets = {}
        self._bucket_list = []
        self._freed = {}

    def add(self, worker):
        """Add a worker."""
        worker.order = len(self._order)
        self._order.append(worker)
        self.mark_freed(worker)

    def remove(self, worker):
        """Remove a worker, which takes no more work."""
        self.mark_freed(worker)
        last = self._order.pop()
        if last is worker:
            return
        self._order[worker.order] = last
        last.order = worker.order
        # A scan that is already past this index would miss the worker moved here.
        if last.bucket is not None:
            self._freed[last] = None

    def move(self, worker):
        """Move a worker to the bucket of its free capacity, or out of the index."""
        if not worker.accepts_work():
            self._unlink(worker)
            return
        bucket = self._bucket_for(worker.free)
        if worker.bucket is bucket:
            return
        self._unlink(worker)
        worker.bucket = bucket
        worker.position = len(bucket.workers)
        bucket.workers.append(worker)

    def mark_freed(self, worker):
        """Move a worker that may have freed capacity, and record it for ``refresh``."""
        self.move(worker)
        if worker.bucket is None:
            self._freed.pop(worker, None)
        else:
            self._freed[worker] = None

    def undo(self, shape, worker):
        """Move a worker whose capacity was taken for a shape and returned unused."""
        self.move(worker)
        if worker.bucket is not None:
            shape.freed[worker] = None
            shape.blocked = False

    def acquire_shape(self, demand):
        """Return the search state of a demand, kept until ``release_shape``."""
        shape = self._shapes.get(demand)
        if shape is None:
            shape = self._idle_shapes.pop(demand, None) or shapes.Shape(demand)
            shape.restart()
            self._shapes[demand] = shape
        shape.users += 1
        return shape

    def release_shape(self, shape):
        """Cache the search state when its last user releases it.

        A stream of single tasks opens and closes its line with each task; sorting the
        buckets again each time would cost more than the search.
        """
        shape.users -= 1
        if shape.users:
            return
        del self._shapes[shape.demand]
        self._idle_shapes[shape.demand] = shape
        if len(self._idle_shapes) > MAX_IDLE_SHAPES:
            self._idle_shapes.popitem(last=False)

    def refresh(self):
        """Tell each shape which workers have freed capacity since the last call."""
        freed_workers = self._freed
        if not freed_workers:
            return
        most = common.Resources(
            *map(max, zip(*(w.free for w in freed_workers), strict=True))
        )
        for shape in self._shapes.values():
            if shape.scanning and resources.fits(shape.demand, most):
                shapes.refresh(shape, freed_workers)
        self._freed = {}

    def search(self, shape, most_free_first=False):
        """Return workers that fit a shape, by ascending or descending free capacity.

        If the list is empty and ``shape.blocked`` is set, there is none; if it isn't
        set, none was found yet and the next call continues the search.
        """
        if shape.blocked:
            return []
        if not shape.scanning:
            found = self._sample(shape, most_free_first)
            if found or shape.blocked:
                return found
        found = shapes.search_freed(shape)
        if not found and shape.overflow:
            shape.restart()
        elif not found:
            found = self._scan(shape)
        return found

    def _sample(self, shape, most_free_first):
        if shape.known_buckets < len(self._bucket_list):
            self._add_new_buckets(shape)
        found = []
        cpu_millis, memory_mb, accelerators = shape.demand
        buckets = reversed(shape.buckets) if most_free_first else shape.buckets
        worker_count = 0
        for _, _, workers in buckets:
            if not workers:
                continue
            worker_count += len(workers)
            start = int(self._random.random() * len(workers))
            for worker in workers[start : start + SAMPLES_PER_BUCKET]:
                cpu, memory, idle = worker.free
                if cpu_millis <= cpu and memory_mb <= memory and accelerators <= idle:
                    found.append(worker)
            if len(found) >= shapes.MAX_CANDIDATES:
                break
        if not found and worker_count <= SCAN_LIMIT:
            found = self._search_buckets_fully(shape)
        return found

    def _search_buckets_fully(self, shape):
        """Check every worker of the shape's buckets; block the shape if none fits."""
        found = [
            worker
            for _, _, workers in shape.buckets
            for worker in workers
            if resources.fits(shape.demand, worker.free)
        ]
        if not found:
            shape.scanning = True
            shape.scanned = len(self._order)
            shape.blocked = True
        return found

    def _add_new_buckets(self, shape):
        """Insert the buckets created since the last call, in order of tightness."""
        cpu_millis, memory_mb, accelerators = shape.demand
        cpu, memory = level(cpu_millis), level(memory_mb)
        accelerators = min(accelerators, ACCELERATOR_LEVELS)
        for number in range(shape.known_buckets, len(self._bucket_list)):
            bucket = self._bucket_list[number]
            if (
                bucket.accelerators >= accelerators
                and bucket.cpu >= cpu
                and bucket.memory >= memory
            ):
                tightness = (bucket.accelerators, bucket.cpu + bucket.memory)
                bisect.insort(shape.buckets, (tightness, number, bucket.workers))
        shape.known_buckets = len(self._bucket_list)

    def _scan(self, shape):
        first = shape.scanned
        demand = shape.demand
        shape.scanning = True
        for worker in self._order[first : first + SCAN_LIMIT]:
            if worker.bucket is not None and resources.fits(demand, worker.free):
                shape.scanned = worker.order
                return [worker]
        shape.scanned = min(first + SCAN_LIMIT, len(self._order))
        shape.blocked = shape.scanned >= len(self._order)
        return []

    def _bucket_for(self, free):
        cpu_millis, memory_mb, accelerators = free
        accelerators = max(0, min(accelerators, ACCELERATOR_LEVELS))
        key = (accelerators, level(cpu_millis), level(memory_mb))
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


def level(amount):
    """Return the half octave of an amount: 64 and 95 share a level, 96 doesn't."""
    if amount <= 1:
        return 2 * amount if amount > 0 else 0
    length = amount.bit_length()
    return 2 * length + (amount >> (length - 2) & 1)
