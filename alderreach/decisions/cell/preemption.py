"""Preemption: urgent tasks displace less urgent ones that save their progress.

Urgent steps would otherwise wait until enough plan tasks end by themselves on the
workers that they may use. A step that needs a whole machine, or a gang that needs
several, would wait until those happen to be empty.

Only runs that save their progress when they are stopped are preempted. They lose the
time until their restart and for their restore, but no work. A run yields only to a
queue of higher priority, at most ``MAX_YIELDS`` times, and only once the urgent step
has waited for ``PATIENCE_MS``, in which enough capacity is usually freed anyway. In
addition (``may_yield``), one of these must hold:

- Its job can still meet its objective in spite of the yielding.
- Its job is late anyway, and the urgent step would be late if it waited any longer.
  Otherwise late jobs would hold the workers just when the cell is full. The job must
  have the time to end before it is worthless, or be worthless already.
- Its job is beyond its customer's share, and the urgent one within its own.

A run within its customer's share never yields to a step beyond its own.

An urgent step of a customer at its cap waits for that customer's own runs only; another
customer's yielding frees nothing for it. So of its own less urgent runs as many yield,
on any workers, as the step needs.
"""

import typing

from alderreach.core.generated import common
from alderreach.decisions.cell import choice, health, order

# Within this time, enough capacity is usually freed without preemption.
PATIENCE_MS = 150
# If no run could be preempted, the next attempt follows after this.
RETRY_MS = 50
# It takes up to 400 ms until a stopped run is listed as ended. Until then its capacity
# counts as about to be freed.
STOP_MS = 400
# What yielding costs a run: its stop, a new ticket and its restore, some 0.5 s each. A
# job with less slack, by its estimates, would miss its own objective.
YIELD_COST_MS = 1500
# Enough for two bursts during a long task; without a limit, the task might never end.
MAX_YIELDS = 2
# A late job needs this much time beside its remaining work, as a multiple of its
# objective, to be stopped: once late, it may wait for long until it is started again.
LATE_RESERVE_OBJECTIVES = 1
# A run that was resumed this long ago has hardly made progress since its restore, and
# would have to be restored again.
MIN_RESUMED_MS = 1000
NO_RESOURCES = common.Resources(0, 0, 0)


class Victims(typing.NamedTuple):
    """The runs to stop on a worker, and how many tasks of the step fit there then."""

    worker: typing.Any
    runs: list
    fitting: int


class Situation(typing.NamedTuple):
    """What decides whether a run may yield to an urgent step.

    ``rank`` is the ``order.Rank`` of the run's step and ``urgent`` that of the urgent
    one, and ``expected_ms`` is how long the step's tasks are expected to take.
    ``now_ms`` is the time of the monotonic clock, ``cell_ms`` that of the cell.
    """

    run: typing.Any
    rank: typing.Any
    urgent: typing.Any
    expected_ms: float
    now_ms: int
    cell_ms: int


class Forecast(typing.NamedTuple):
    """How long a run takes altogether, and how much of that remains."""

    total_ms: float
    remaining_ms: float


def may_yield(situation):
    """Whether a run that saves its progress may yield to an urgent step."""
    run, rank, urgent, expected_ms, now_ms, cell_ms = situation
    is_beyond, is_urgent_beyond = rank.is_beyond(cell_ms), urgent.is_beyond(cell_ms)
    if rank.priority <= urgent.priority or (is_urgent_beyond and not is_beyond):
        return False
    gives_way = is_beyond and not is_urgent_beyond
    is_in_time = rank.latest_start_ms - cell_ms >= YIELD_COST_MS
    if not gives_way and not is_in_time:
        if urgent.latest_start_ms - cell_ms > STOP_MS:
            return False
    if run.checkpoint and now_ms - run.placed_ms < MIN_RESUMED_MS:
        return False
    expected = forecast(run, expected_ms, now_ms)
    if expected.remaining_ms <= STOP_MS:
        return False
    return gives_way or is_in_time or _is_late(rank, expected, expected_ms, cell_ms)


def _is_late(rank, forecast, expected_ms, cell_ms):
    """Whether a run's job is late, but has time to yield before it is worthless.

    The job's objective is a multiple of its durations. So if the run takes longer than
    expected, its job is late later than expected.
    """
    tolerated_ms = order.DURATION_TOLERANCE * expected_ms
    excess_ms = rank.stretch * max(0, forecast.total_ms - tolerated_ms)
    end_ms = cell_ms + forecast.remaining_ms + rank.after_ms
    if end_ms < rank.late_end_ms + excess_ms:
        return False
    worthless_ms = rank.worthless_from_ms + order.WORTHLESS_AFTER_OBJECTIVES * excess_ms
    reserve_ms = LATE_RESERVE_OBJECTIVES * rank.objective_ms
    return end_ms >= worthless_ms or end_ms + reserve_ms <= worthless_ms


def forecast(run, expected_ms, now_ms):
    """The Forecast of a run, by its progress or else by its age.

    A run that has taken longer than expected may end at any time, but while nothing is
    known about its progress it is taken to need as long again.
    """
    remaining_ms = health.remaining_ms(run, now_ms)
    if remaining_ms is not None:
        observed_ms = run.last_progress_ms - run.first_ms
        total_ms = 100 * observed_ms / (run.percent - run.first_percent)
        return Forecast(total_ms, max(0, remaining_ms))
    age_ms = now_ms - run.placed_ms
    remaining_ms = expected_ms - age_ms if age_ms < expected_ms else expected_ms
    return Forecast(age_ms + remaining_ms, remaining_ms)


def choose_victims(workers, step, wanted, may_yield, group=None):
    """Victims whose stop frees capacity for ``wanted`` tasks of a step, cheapest first.

    ``workers`` are those on which the step could start if they had the capacity, and
    ``may_yield(run)`` tells which runs may be stopped for it. The result may be enough
    for fewer tasks, except for a gang: unless all of it fits, nothing is stopped. Runs
    that are being stopped already count as free capacity. A worker with the maximum
    number of tasks of ``group`` is left out; otherwise the step would wait for capacity
    that it can't use.
    """
    options = []
    for worker in workers:
        if not choice.is_suitable(worker, step):
            continue
        allowed = wanted
        if step.max_per_target:
            allowed = min(wanted, step.max_per_target - worker.count_of(group))
        victims = _cheapest_victims(worker, step, may_yield) if allowed > 0 else None
        if victims is not None:
            fitting = min(victims.fitting, allowed)
            cost = _share_stopped(victims) / fitting
            options.append((cost, worker.target_id, victims._replace(fitting=fitting)))
    chosen = []
    for _cost, _name, victims in sorted(options, key=lambda option: option[:2]):
        if wanted <= 0:
            break
        wanted -= victims.fitting
        if victims.runs:
            chosen.append(victims)
    return [] if step.gang and wanted > 0 else chosen


def choose_for_cap(free, demand, runs):
    """The fewest of a customer's runs whose stop lets ``demand`` fit under its cap.

    ``free`` is what the cap leaves, with the runs that are being stopped already. The
    result may free less than ``demand`` if ``runs`` are too few.
    """
    chosen, left = _cheapest_runs(free, demand, runs)
    return _drop_unneeded(chosen, left, demand)[0]


def _share_stopped(victims):
    """The largest share of one of a worker's resources that the victims use."""
    capacity = victims.worker.record.capacity
    stopped = _total((NO_RESOURCES, *(run.demand for run in victims.runs)))
    return max(
        amount / max(1, total) for amount, total in zip(stopped, capacity, strict=True)
    )


def _cheapest_victims(worker, step, may_yield):
    """The fewest runs whose stop lets a task fit on a worker; None if nothing does."""
    demand = step.demand
    closing = [run.demand for run in worker.runs.values() if run.is_closing()]
    free = _total((worker.free(), *closing))
    candidates = [run for run in worker.runs.values() if may_yield(run)]
    chosen, free = _cheapest_runs(free, demand, candidates)
    if any(_missing(free, demand)):
        return None
    chosen, free = _drop_unneeded(chosen, free, demand)
    return Victims(worker, chosen, _fit_count(free, demand))


def _cheapest_runs(free, demand, candidates):
    """The fewest runs whose stop lets ``demand`` fit, and what is free then.

    If the candidates are too few, these are all that free some of what is missing.
    """
    candidates = sorted(candidates, key=lambda run: (run.demand, str(run.key)))
    chosen = []
    while any(_missing(free, demand)):
        useful = [run for run in candidates if _frees_missing(run, free, demand)]
        if not useful:
            break
        run = _pick(useful, _missing(free, demand))
        candidates.remove(run)
        chosen.append(run)
        free = _total((free, run.demand))
    return chosen, free


def _drop_unneeded(chosen, free, demand):
    """Leave out runs, largest first, if the demand fits without stopping them.

    A run that was chosen for one resource may no longer be needed after another was
    chosen for a second resource. Returns the remaining runs and what they leave free.
    """
    for run in sorted(chosen, key=lambda run: run.demand, reverse=True):
        left = common.Resources(*(a - b for a, b in zip(free, run.demand, strict=True)))
        if not any(_missing(left, demand)):
            chosen = [other for other in chosen if other is not run]
            free = left
    return chosen, free


def _frees_missing(run, free, demand):
    """Whether a run uses some of the missing resources."""
    missing = _missing(free, demand)
    return any(lacks and held for lacks, held in zip(missing, run.demand, strict=True))


def _pick(candidates, missing):
    """The smallest run that frees all that is missing, or else the largest."""
    for run in candidates:
        if all(held >= lacks for held, lacks in zip(run.demand, missing, strict=True)):
            return run
    return candidates[-1]


def _missing(free, demand):
    """How much of each resource has to be freed."""
    return [
        max(0, wanted - available)
        for wanted, available in zip(demand, free, strict=True)
    ]


def _total(parts):
    return common.Resources(*(sum(kind) for kind in zip(*parts, strict=True)))


def _fit_count(free, demand):
    """How many times a demand fits into the free resources, at least once."""
    limits = [
        available // wanted
        for available, wanted in zip(free, demand, strict=True)
        if wanted
    ]
    return max(1, min(limits, default=1))
