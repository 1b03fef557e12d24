"""The load of one pool as the leader knows it at one time, for the forecast of it.

The forecast is made for each resource that a job needs and, if its customer has a cap,
for that as well: the longest delay counts.
"""

import collections
import math
import typing

from alderreach.core.generated import common
from alderreach.decisions.cell import choice, load_forecast

# The kinds of resources: processors, memory, accelerators.
KINDS = range(3)
# A forecast is kept for this time although jobs are accepted.
FORECAST_MS = 150
# In a larger pool about so many runs are taken for all, in turn.
MAX_RUNS = 1000
# Workers that are looked at to find out which steps any worker could run; steps beyond
# that are left out of the forecast.
MAX_SUITABLE_CHECKS = 20_000
# Workers that are silent for less are counted: most network cuts are shorter.
SILENT_MS = 10_000


class WaitingStep(typing.NamedTuple):
    """Tasks of a step that have not started."""

    key: load_forecast.ClassKey
    customer: str
    demand: common.Resources
    task_ms: float
    is_later: bool
    latest_start_ms: float


class Running(typing.NamedTuple):
    """A run, for the forecast; ``after_ms`` is infinite if it lasts.

    ``key`` is its class if it has started a moment ago, else None.
    """

    customer: str
    demand: common.Resources
    after_ms: float
    yields_below: float
    key: typing.Any = None


class PoolLoad:
    """The workers, runs and waiting steps of one pool at one time.

    ``run_view(run, now_ms)`` returns a Running, and ``use_and_cap(customer)`` what a
    customer uses and may use; None instead of the latter without a limit. Each worker
    that is added stands for ``scale`` workers, and ``turn`` chooses those whose runs
    are taken for all.
    """

    def __init__(self, run_view, use_and_cap, scale, turn):
        self._run_view = run_view
        self._use_and_cap = use_and_cap
        self._scale, self._turn = scale, turn
        self._workers = []
        self._capacity = [0, 0, 0]
        self._used = [0, 0, 0]
        self._waiting = []
        self._running = None
        self._checks_left = MAX_SUITABLE_CHECKS
        # The limits that new work has to wait for, by (kind of resource, customer); the
        # customer is empty for the pool's own resources.
        self._limits = {}

    def add_worker(self, worker):
        """Count a worker's capacity and what is used of it."""
        self._workers.append(worker)
        for kind in KINDS:
            self._capacity[kind] += worker.record.capacity[kind] * self._scale
            self._used[kind] += worker.used[kind] * self._scale

    def add(self, waiting_steps):
        """Add steps that wait."""
        for step in waiting_steps:
            self._waiting.append(step)
            for (kind, customer), limit in self._limits.items():
                if not customer or step.customer == customer:
                    limit.add(step, kind)

    def can_run(self, step):
        """Whether a task of a step fits on any worker if it were idle."""
        for worker in self._workers:
            if self._checks_left <= 0:
                return False
            self._checks_left -= 1
            if choice.is_suitable(worker, step):
                return True
        return False

    def share_ms(self, steps, task_ms):
        """How long a job's tasks would occupy the whole pool."""
        return max(
            sum(
                step.tasks * step.demand[kind] * ms
                for step, ms in zip(steps, task_ms, strict=True)
            )
            / max(1, self._capacity[kind])
            for kind in KINDS
        )

    def longest_delay_ms(self, customer, steps, key, now_ms):
        """A bound of the delay of a new job, which takes less time than a forecast."""
        limits = self._limits_of(customer, steps, now_ms)
        return max((limit.longest_delay_ms(key) for limit in limits), default=0.0)

    def delay(self, customer, steps, key, slack, now_ms):
        """The ``load_forecast.Delay`` of a new job of a customer with these steps.

        It has to wait for each resource that it needs, and for its customer's cap.
        ``slack`` is a ``load_forecast.Slack``.
        """
        limits = self._limits_of(customer, steps, now_ms)
        delays = [limit.delay(key, slack, now_ms) for limit in limits]
        return max(delays, default=load_forecast.NO_DELAY)

    def processor_delay_ms(self, key, now_ms):
        """The expected delay of new work of a class, by processors only."""
        return (
            self._limit(0, "", now_ms)
            .delay(key, load_forecast.NO_LIMIT, now_ms)
            .expected_ms
        )

    def _limits_of(self, customer, steps, now_ms):
        kinds = [kind for kind in KINDS if any(step.demand[kind] for step in steps)]
        limits = [self._limit(kind, "", now_ms) for kind in kinds]
        if customer and self._use_and_cap(customer)[1] is not None:
            limits += [self._limit(kind, customer, now_ms) for kind in kinds]
        return limits

    def _limit(self, kind, customer, now_ms):
        name = (kind, customer)
        if name not in self._limits:
            self._limits[name] = self._make_limit(kind, customer, now_ms)
        return self._limits[name]

    def _make_limit(self, kind, customer, now_ms):
        def collect_running():
            if self._running is None:
                self._running = self._collect_running(now_ms)
            return [
                run
                for run in self._running
                if run.demand[kind] and (not customer or run.customer == customer)
            ]

        total, used = self._capacity[kind], self._used[kind]
        if customer:
            use, cap = self._use_and_cap(customer)
            total, used = cap[kind], use[kind]
        limit = _Limit(kind, total, used, collect_running, now_ms)
        for step, part in self._waiting_parts(kind, customer):
            limit.add(step, kind, part)
        return limit

    def _waiting_parts(self, kind, customer):
        """The steps that wait for a resource, each with the part that counts.

        For the pool that is what their customers' caps let start; what a cap holds back
        takes no room from others. For a customer's cap it is all of its own.
        """
        steps = [step for step in self._waiting if step.demand[kind]]
        if customer:
            return [(step, 1.0) for step in steps if step.customer == customer]
        totals = collections.Counter()
        for step in steps:
            totals[step.customer] += step.demand[kind]
        parts = {}
        for name, total in totals.items():
            use, cap = self._use_and_cap(name)
            free = math.inf if cap is None else max(0, cap[kind] - use[kind])
            parts[name] = min(1.0, free / total)
        return [(step, parts[step.customer]) for step in steps]

    def _collect_running(self, now_ms):
        """The runs of all workers, or of a part of them in turn."""
        runs = sum(len(worker.runs) for worker in self._workers)
        stride = max(1, math.ceil(runs / MAX_RUNS))
        return [
            self._run_view(run, now_ms)
            for worker in self._workers[self._turn % stride :: stride]
            for run in worker.runs.values()
        ]


class _Limit:
    """One resource of a pool, or of a customer's cap, with the work that needs it.

    ``collect_running()`` returns the Running that need it; it is called only if work
    waits that does not fit into what is free.
    """

    def __init__(self, kind, total, used, collect_running, now_ms):
        self._kind = kind
        self._total, self._used = total, used
        self._collect_running = collect_running
        self._collected_ms = now_ms
        self._waiting = []
        # Of the waiting steps by class: what they hold together, and for how long.
        self._amounts, self._work = collections.Counter(), collections.Counter()
        self._pool = None
        self._running_work = 0.0
        # The delays by class and latest start, on time and late, with their time and
        # how many steps were considered.
        self._delays = {}

    def add(self, step, kind, part=1.0):
        """Add a part of a step that waits for this resource, which is of a kind."""
        amount = step.demand[kind] * part
        if amount:
            waiting = load_forecast.Waiting(
                step.key, amount, step.task_ms, step.is_later, step.latest_start_ms
            )
            self._waiting.append(waiting)
            self._amounts[step.key] += amount
            self._work[step.key] += amount * step.task_ms

    def longest_delay_ms(self, key):
        """A bound of the delay of new work of a class: all work there, at full use."""
        if self._has_room(key):
            return 0.0
        pool = self._forecast_pool()
        work = self._running_work + _sum_ahead(self._work, key)
        return work / pool.capacity if pool.capacity > 0 else math.inf

    def delay(self, key, slack, now_ms):
        """The ``load_forecast.Delay`` of new work of a class with a Slack."""
        if self._has_room(key):
            return load_forecast.NO_DELAY
        steps = len(self._waiting)
        # One forecast serves all jobs with nearly the same latest start.
        latest_start_ms = load_forecast.rounded_down(slack.latest_start_ms)
        name = (key, latest_start_ms)
        by_time, made_ms, made_steps = self._delays.get(name, (None, 0, 0))
        is_same = made_steps == steps
        if by_time is None or (not is_same and now_ms - made_ms >= FORECAST_MS):
            pool = self._forecast_pool()
            by_time = [
                load_forecast.start_delay(pool, key, latest_start_ms, includes_late)
                for includes_late in (False, True)
            ]
            self._delays[name] = (by_time, now_ms, steps)
        age_ms = now_ms - self._collected_ms
        on_time, late = (load_forecast.aged(each, age_ms) for each in by_time)
        return on_time if on_time.expected_ms <= slack.on_time_ms else late

    def _has_room(self, key):
        return self._total - self._used > _sum_ahead(self._amounts, key)

    def _forecast_pool(self):
        if self._pool is None:
            self._pool = self._make_pool(self._collect_running())
        return self._pool

    def _make_pool(self, running):
        # The runs of a part of the workers stand for those of all.
        scale = self._used / max(1, sum(run.demand[self._kind] for run in running))
        ends, started = collections.Counter(), collections.Counter()
        lasting = 0.0
        for run in running:
            amount = run.demand[self._kind] * scale
            if math.isinf(run.after_ms):
                lasting += amount
                continue
            if run.key is not None:
                started[run.key] += amount
            self._running_work += run.after_ms * amount
            # Ends are summed up, since there may be thousands.
            ends[(load_forecast.bucket(run.after_ms), run.yields_below)] += amount
        rows = [
            load_forecast.End(after_ms, amount, yields_below)
            for (after_ms, yields_below), amount in ends.items()
        ]
        free = self._total - self._used
        return load_forecast.Pool(
            self._total - lasting, free, rows, self._waiting, started
        )


def _sum_ahead(amounts, key):
    """The sum of the amounts of the classes that start before or with a class."""
    return sum(amount for other, amount in amounts.items() if other <= key)


def is_counted(worker, now_ms):
    """Whether a worker's capacity will be there for new work."""
    silent_ms = now_ms - max(worker.announced_ms, worker.last_contact_ms)
    return not worker.is_planned_to_end() and silent_ms < SILENT_MS
