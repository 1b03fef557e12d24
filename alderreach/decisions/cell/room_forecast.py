"""The room that workers have now or will have soon, less what other steps claim.

A forecast is made for one service at one time. Steps claim room from it in the order of
their urgency; what is left tells whether a less urgent step could start. A demand that
found no room is remembered, so that checking further steps with the same or a higher
demand takes a few comparisons, not a look at each worker.
"""

import math

from alderreach.decisions.cell import query_planning


class RunEnds:
    """The expected end times of the runs on each worker, kept for a while.

    ``remaining_ms(run, now_ms)`` is the expected remaining time of a run, infinite if
    its end is not expected to leave room.
    """

    # Expected ends change slowly, and most of a forecast's cost is to estimate them.
    KEEP_MS = 500

    def __init__(self, remaining_ms):
        self._remaining_ms = remaining_ms
        self._rows = {}

    def of(self, worker, now_ms):
        """Pairs of the expected end time and the run, in order of time."""
        made_ms, rows = self._rows.get(worker.target_id, (-math.inf, ()))
        if now_ms - made_ms >= self.KEEP_MS:
            rows = []
            for run in worker.runs.values():
                remaining_ms = self._remaining_ms(run, now_ms)
                if remaining_ms < math.inf:
                    rows.append((now_ms + remaining_ms, run))
            rows.sort(key=_end_ms)
            self._rows[worker.target_id] = now_ms, rows
        return [row for row in rows if worker.runs.get(row[1].key) is row[1]]

    def keep_only(self, target_ids):
        """Forget the workers that are not among ``target_ids``."""
        for target_id in [t for t in self._rows if t not in target_ids]:
            del self._rows[target_id]


class RoomForecast:
    """The room of ``workers`` until ``until_ms``, from which steps claim in order.

    ``scale`` is how many workers each of them stands for, since only a sample of a
    large pool is examined. At first only the room that is free now counts. ``extend``
    adds what the expected ends of runs leave.
    """

    def __init__(self, workers, ends, now_ms, until_ms, scale=1):
        self._workers = {worker.target_id: worker for worker in workers}
        self._rooms = {
            target_id: list(worker.free())
            for target_id, worker in self._workers.items()
        }
        self._ends = ends
        self._now_ms = now_ms
        self._until_ms = until_ms
        self.scale = scale
        self._failed = []
        self._claims = {}
        self.is_extended = False

    def extend(self):
        """Add the room that runs are expected to free in time; once."""
        if self.is_extended:
            return
        self.is_extended = True
        self._failed.clear()
        for target_id, worker in self._workers.items():
            self._extend_one(target_id, worker)

    def fits(self, target_id, step, group):
        """How many tasks of a step fit on a worker, beside what others have claimed."""
        room = self._rooms.get(target_id)
        if room is None:
            return 0
        count = _count(room, step)
        if count > 0 and step.max_per_target:
            placed = self._workers[target_id].count_of(group)
            count = min(count, step.max_per_target - placed)
        return max(0, count)

    def ready_ms(self, target_id, step):
        """The time until the first task of a step fits on a worker; 0 if it does now.

        The claims of other steps don't count. Infinite if it does not fit in time.
        """
        worker = self._workers[target_id]
        room = list(worker.free())
        if _count(room, step) > 0:
            return 0
        if self.is_extended:
            for end_ms, run in self._ends.of(worker, self._now_ms):
                _release(room, run)
                if _count(room, step) > 0:
                    return max(1, end_ms - self._now_ms)
        return math.inf

    def sum_fits(self, target_ids, step, group):
        """How many tasks of a step fit on the given workers together."""
        return sum(self.fits(target_id, step, group) for target_id in target_ids)

    def likely(self, chances, step, group):
        """The expected number of tasks that workers could take.

        ``chances`` are pairs of a worker's id and the chance of a ticket for it.
        """
        return sum(
            chance * self.fits(target_id, step, group) for target_id, chance in chances
        )

    def options(self, chances, step, group):
        """A ``query_planning.Option`` for each worker that will have room for a task.

        ``chances`` are as for ``likely``.
        """
        options = []
        for target_id, chance in chances:
            ready_ms = self.ready_ms(target_id, step)
            if ready_ms < math.inf:
                fits = self.fits(target_id, step, group)
                claims = self._claims.get(target_id, 0)
                options.append(
                    query_planning.Option(target_id, fits, ready_ms, claims, chance)
                )
        return options

    def claim(self, target_ids, step, group, tasks):
        """Claim room for some tasks on the given workers; returns for how many.

        Each worker is counted as claimed, also one that has no room left.
        """
        left = tasks
        for target_id in target_ids:
            self._claims[target_id] = self._claims.get(target_id, 0) + 1
            fits = self.fits(target_id, step, group) if left > 0 else 0
            if fits:
                taken = min(fits, left)
                _take(self._rooms[target_id], step, taken)
                left -= taken
        return tasks - left

    def scaled(self, tasks):
        """The part of a step's tasks that falls to the examined workers."""
        return math.ceil(tasks / self.scale)

    def claim_anywhere(self, step, group, tasks, excluded=()):
        """Claim room for some tasks on any workers that are not ``excluded``."""
        if not self.may_fit(step):
            return
        left = tasks
        for target_id in self._rooms:
            if left <= 0:
                return
            if target_id in excluded:
                continue
            taken = min(self.fits(target_id, step, group), left)
            if taken:
                _take(self._rooms[target_id], step, taken)
                left -= taken
        if left > 0 and not excluded and not step.max_per_target:
            self.record_failure(step)

    def target_ids(self):
        """The ids of the examined workers."""
        return list(self._rooms)

    def include(self, workers):
        """Add workers that the sample of a large pool lacks."""
        for worker in workers:
            target_id = worker.target_id
            if target_id not in self._rooms:
                self._workers[target_id] = worker
                self._rooms[target_id] = list(worker.free())
                if self.is_extended:
                    self._extend_one(target_id, worker)

    def may_fit(self, step):
        """False if a task with at most the same demand has found no room before."""
        need = _need(step)
        return not any(
            need[0] >= cpu and need[1] >= memory and need[2] >= accelerators
            for cpu, memory, accelerators in self._failed
        )

    def has_room(self, step):
        """Whether any examined worker has room for a task, whoever may use it."""
        return any(_count(room, step) > 0 for room in self._rooms.values())

    def fits_now(self, target_id, step):
        """How many tasks of a step fit on a worker now, whatever others claim."""
        worker = self._workers.get(target_id)
        return max(0, _count(worker.free(), step)) if worker is not None else 0

    def record_failure(self, step):
        """Record that no examined worker has room for a task, whoever may use it."""
        self._failed.append(_need(step))

    def _extend_one(self, target_id, worker):
        room = self._rooms[target_id]
        for end_ms, run in self._ends.of(worker, self._now_ms):
            if end_ms > self._until_ms:
                break
            _release(room, run)


def _end_ms(row):
    return row[0]


def _release(room, run):
    if not run.best_effort:
        room[0] += run.demand.cpu_millis
    room[1] += run.demand.memory_mb
    room[2] += run.demand.accelerators


def _need(step):
    """A task's demand of the resources that it is placed by."""
    demand = step.demand
    cpu_millis = 0 if step.best_effort else demand.cpu_millis
    return cpu_millis, demand.memory_mb, demand.accelerators


def _take(room, step, tasks):
    if not step.best_effort:
        room[0] -= tasks * step.demand.cpu_millis
    room[1] -= tasks * step.demand.memory_mb
    room[2] -= tasks * step.demand.accelerators


def _count(room, step):
    """How many tasks of a step fit into some room; below 1 if none does."""
    demand = step.demand
    count = step.tasks
    if demand.cpu_millis and not step.best_effort:
        count = room[0] // demand.cpu_millis
    if count > 0 and demand.memory_mb:
        count = min(count, room[1] // demand.memory_mb)
    if count > 0 and demand.accelerators:
        count = min(count, room[2] // demand.accelerators)
    return count
