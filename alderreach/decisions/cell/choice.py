"""Selection of the worker on which a task starts.

A task starts on the worker with the smallest remaining share of its scarcer resource
(best fit), since spreading small tasks evenly leaves no worker free enough for a large
one. What decides before the fit is one cost in milliseconds of the time at which the
task is expected to end:

- The rack that holds the task's data: elsewhere the task takes longer.
- The failure domain: the tasks of a step run in one domain if it has capacity for all
  of them. A job is done only when its last task is, so a partition of any domain delays
  every job that is spread over it. A new step goes to the domain with the most free
  capacity for it, which spreads the steps evenly.
- The worker's speed: a step is done when its last task is, so a step without time to
  spare takes quick workers. A step that would be in time on a slow worker takes that
  one, so that quick ones stay free for steps that need them.

A gang that wants one rack gets the fullest rack that fits all of it. Best-effort tasks
start on the worker with the most idle processor time, if possible on one without
serving tasks.
"""

import collections
import heapq
import math
import typing

# The expected delay by a partition of one more domain. Partitions are rare, but cost
# seconds; it only matters that this outweighs the fit and not several slow workers.
OTHER_DOMAIN_MS = 100.0
# Away from its data a task takes at least twice as long. The constant keeps this above
# the cost of another domain for short tasks.
REMOTE_DATA_MS = 200.0
# What a slow worker is better for a step that has time for it, as a share of the task's
# duration there: above the cost of another domain for tasks of a quarter of a second.
SPARED_SHARE = 0.3
# Speeds are compared in steps of this share of a task's duration on a usual worker, so
# that the fit decides among workers of about the same speed.
SPEED_STEP = 0.15
BESIDE_SERVING_COST = 100.0
# For each strike; a worker with a recent failure or stall is the last choice.
STRIKE_COST = 1000.0


class Timing(typing.NamedTuple):
    """How long tasks of a step take, and how slow a worker may be for them.

    ``slowest_in_time`` is the slowness up to which a task that starts now ends in time
    for its job.
    """

    task_ms: float
    slowest_in_time: float


# For steps whose tasks have no end to be in time for: any worker is quick enough. Where
# all speeds are equal, the timing makes no difference.
UNTIMED = Timing(1000.0, math.inf)
# For tasks to which the speed of a worker makes no known difference.
SPEEDLESS = Timing(0.0, math.inf)


def candidates(workers, step, group, now_ms):
    """The workers on which one more task of a step can start now."""
    return [worker for worker in workers if can_start(worker, step, group, now_ms)]


def can_start(worker, step, group, now_ms):
    """Whether one more task of a step can start on a worker now."""
    return (
        worker.is_usable(now_ms)
        and is_suitable(worker, step)
        and worker.has_capacity(step)
        and (not step.max_per_target or worker.count_of(group) < step.max_per_target)
    )


def is_suitable(worker, step):
    """Whether a worker could run a task of a step if it were idle and healthy."""
    capacity, demand = worker.record.capacity, step.demand
    if step.required_label and step.required_label not in worker.record.labels:
        return False
    return (
        demand.cpu_millis <= capacity.cpu_millis
        and demand.memory_mb <= capacity.memory_mb
        and demand.accelerators <= capacity.accelerators
    )


class Ranking:
    """The candidates of one step, best first, while its tasks are placed on them.

    Only the worker that got a task is ranked again, so the cost of placing a wide step
    grows with its tasks, not with its tasks times the workers. ``domains`` are the
    preferred failure domains, ``timing`` is the step's ``Timing``; ties are broken by
    worker id.
    """

    def __init__(self, workers, step, group, domains=(), timing=UNTIMED):
        self._step = step
        self._group = group
        self._domains = domains
        self._timing = timing
        self._rows = [self._row(worker) for worker in workers]
        heapq.heapify(self._rows)

    def pop_best(self, key, avoided="", is_crowded=lambda worker: False):
        """Remove and return the best worker for a task; None if there is none.

        ``avoided`` is the worker on which the task failed last. That worker, and each
        one for which ``is_crowded(worker)`` is true, is the last choice. A worker that
        still has an older run of the task is skipped.
        """
        skipped = []
        found = None
        while self._rows and found is None:
            row = heapq.heappop(self._rows)
            if row[1] == avoided or key in row[2].runs or is_crowded(row[2]):
                skipped.append(row)
            else:
                found = row
        if found is None:
            found = next((row for row in skipped if key not in row[2].runs), None)
        for row in skipped:
            if row is not found:
                heapq.heappush(self._rows, row)
        return found[2] if found else None

    def requeue(self, worker, now_ms):
        """Rank a worker again after it got a task, if one more can start there."""
        if can_start(worker, self._step, self._group, now_ms):
            heapq.heappush(self._rows, self._row(worker))

    def _row(self, worker):
        is_outside = self._domains and worker.record.failure_domain not in self._domains
        cost = _cost(worker, self._step, self._timing, is_outside)
        return cost, worker.target_id, worker


def quick_enough(workers, timing):
    """The workers on which a task ends in time, or all of them if it does on none."""
    found = [worker for worker in workers if worker.slowness <= timing.slowest_in_time]
    return found or workers


def preferred_domains(workers, step, group, wanted, used):
    """The failure domains in which ``wanted`` tasks of a step start first.

    ``workers`` are its candidates. ``used`` names the domains where other tasks of the
    step are running; if there are any, they are preferred. Otherwise the domain with
    the most free capacity is preferred if it fits all tasks. If no domain fits them
    all, none is preferred.
    """
    if used:
        return used
    fit_counts = collections.Counter()
    for worker in workers:
        fit_counts[worker.record.failure_domain] += _fit_count(worker, step, group)
    for domain, fits in fit_counts.most_common(1):
        return {domain} if fits >= wanted else ()
    return ()


def plan_gang(workers, step, group, wanted, now_ms, timing=UNTIMED):
    """One worker for each of ``wanted`` tasks of a gang; None if they don't all fit.

    If the gang wants one rack, the plan uses the fullest rack that fits it, and workers
    of several racks only if no rack does. Of racks of unequal speed it uses the one in
    which the gang ends first, since a gang is as slow as its slowest member.
    """
    usable = candidates(workers, step, group, now_ms)
    if step.same_rack:
        racks = collections.defaultdict(list)
        for worker in usable:
            racks[worker.rack].append(worker)
        plans = [
            _pack(members, step, group, wanted, timing) for members in racks.values()
        ]
        plans = [plan for plan in plans if plan is not None]
        if plans:
            return min(plans, key=lambda plan: _plan_cost(plan, step, timing))
    return _pack(usable, step, group, wanted, timing)


def _plan_cost(plan, step, timing):
    slowest_ms = max(_speed_ms(worker, timing) for worker in plan)
    return slowest_ms, sum(_leftover_share(worker, step) for worker in plan)


def _pack(workers, step, group, wanted, timing):
    plan = []
    ranked = sorted(workers, key=lambda w: (_cost(w, step, timing), w.target_id))
    for worker in ranked:
        fits = min(_fit_count(worker, step, group), wanted - len(plan))
        plan += [worker] * fits
        if len(plan) == wanted:
            return plan
    return None


def _fit_count(worker, step, group):
    """How many more tasks of a step fit on a worker."""
    free, demand = worker.free(), step.demand
    limits = []
    if demand.cpu_millis and not step.best_effort:
        limits.append(free.cpu_millis // demand.cpu_millis)
    if demand.memory_mb:
        limits.append(free.memory_mb // demand.memory_mb)
    if demand.accelerators:
        limits.append(free.accelerators // demand.accelerators)
    if step.max_per_target:
        limits.append(step.max_per_target - worker.count_of(group))
    return max(0, min(limits, default=1))


def _cost(worker, step, timing=UNTIMED, is_outside=False):
    """What a start on a worker costs: strikes first, then milliseconds, then the fit.

    ``is_outside`` tells whether the worker is outside the preferred failure domains.
    """
    strike_cost = STRIKE_COST * len(worker.health.strikes)
    if step.best_effort:
        return strike_cost + _best_effort_cost(worker), 0.0, 0.0
    end_ms = _speed_ms(worker, timing)
    if step.data_rack and worker.rack != step.data_rack:
        end_ms += REMOTE_DATA_MS + timing.task_ms * worker.slowness
    if is_outside:
        end_ms += OTHER_DOMAIN_MS
    return strike_cost, end_ms, _leftover_share(worker, step)


def _speed_ms(worker, timing):
    """The duration of a task on a worker, or what is spared if it is in time there."""
    duration_ms = round(worker.slowness / SPEED_STEP) * SPEED_STEP * timing.task_ms
    is_in_time = worker.slowness <= timing.slowest_in_time
    return -SPARED_SHARE * duration_ms if is_in_time else duration_ms


def _leftover_share(worker, step):
    """The share of its scarcer resource that a worker has left after one more task."""
    capacity, used, demand = worker.record.capacity, worker.used, step.demand
    cpu = capacity.cpu_millis - used[0] - demand.cpu_millis
    memory = capacity.memory_mb - used[1] - demand.memory_mb
    return min(cpu / max(1, capacity.cpu_millis), memory / max(1, capacity.memory_mb))


def _best_effort_cost(worker):
    idle = worker.record.capacity.cpu_millis - worker.used[0]
    serving = 0
    for run in worker.runs.values():
        serving += run.tail_target_ms > 0
        if run.best_effort:
            idle -= run.demand.cpu_millis
    idle_share = idle / max(1, worker.record.capacity.cpu_millis)
    return (BESIDE_SERVING_COST if serving else 0.0) - idle_share
