"""Urgent tasks take the room of less urgent ones that save their progress.

Urgent steps would otherwise wait until enough plan tasks end by themselves on the
workers that they may use; one that needs a whole machine, or a gang that needs several,
until those happen to be empty.

Only runs that save their progress when they are stopped give way, so what is lost is
the time until they start again and their restore, not their work. A run gives way to a
queue of higher priority only, while its own job can still be in time, ``MAX_YIELDS``
times at most, and only once the urgent step has waited for longer than room usually
takes to come by itself.
"""

import typing

from alderreach.core.generated import common
from alderreach.decisions.cell import choice

# Room mostly comes by itself within this.
PATIENCE_MS = 150
# Where nothing could give way, it is looked for again after this.
RETRY_MS = 50
# A stop takes up to 400 ms until its end is listed; until then its room is on its way.
STOP_MS = 400
# What giving way costs a run: its stop, a new ticket, its restore, some 0.5 s each. A
# job that has less to spare, by its estimates, would miss its own objective for it.
YIELD_COST_MS = 1500
# Often enough for two bursts in a long task's life; never without end.
MAX_YIELDS = 2
NO_RESOURCES = common.Resources(0, 0, 0)


class Victims(typing.NamedTuple):
    """Runs to stop on a worker, and how many tasks of the step then fit there."""

    worker: typing.Any
    runs: list
    fitting: int


def choose_victims(workers, step, wanted, may_yield, group=None):
    """Victims whose stop makes room for ``wanted`` tasks of a step, the cheapest first.

    ``workers`` are those on which the step may start but for want of room, and
    ``may_yield(run)`` says which runs may be stopped for it. Fewer tasks may find room
    than are wanted, but for a gang, which starts whole: for a part of one nothing is
    stopped. What is being stopped already counts as room. On a worker that may hold no
    more tasks of ``group`` no room counts, or the step would wait beside it.
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


def _share_stopped(victims):
    """The share of a worker's scarcest resource that the victims take up."""
    capacity = victims.worker.record.capacity
    stopped = _total((NO_RESOURCES, *(run.demand for run in victims.runs)))
    return max(
        part / max(1, whole) for part, whole in zip(stopped, capacity, strict=True)
    )


def _cheapest_victims(worker, step, may_yield):
    """The fewest runs after which a task fits on a worker; None if it never does."""
    demand = step.demand
    closing = [run.demand for run in worker.runs.values() if run.is_closing()]
    free = _total((worker.free(), *closing))
    candidates = [run for run in worker.runs.values() if may_yield(run)]
    candidates.sort(key=lambda run: (run.demand, str(run.key)))
    chosen = []
    while any(_missing(free, demand)):
        useful = [run for run in candidates if _frees_missing(run, free, demand)]
        if not useful:
            return None
        run = _pick(useful, _missing(free, demand))
        candidates.remove(run)
        chosen.append(run)
        free = _total((free, run.demand))
    chosen, free = _drop_unneeded(chosen, free, demand)
    return Victims(worker, chosen, _fit_count(free, demand))


def _drop_unneeded(chosen, free, demand):
    """Leave out runs, the largest first, without which the demand fits as well.

    A run that was taken for one resource may have become needless by one that was taken
    for another. Returns the runs that are left and what is free with them.
    """
    for run in sorted(chosen, key=lambda run: run.demand, reverse=True):
        left = common.Resources(*(a - b for a, b in zip(free, run.demand, strict=True)))
        if not any(_missing(left, demand)):
            chosen = [other for other in chosen if other is not run]
            free = left
    return chosen, free


def _frees_missing(run, free, demand):
    """Whether a run holds some of what is missing."""
    missing = _missing(free, demand)
    return any(lacks and held for lacks, held in zip(missing, run.demand, strict=True))


def _pick(candidates, missing):
    """The smallest run that gives all that is missing, or else the largest."""
    for run in candidates:
        if all(held >= lacks for held, lacks in zip(run.demand, missing, strict=True)):
            return run
    return candidates[-1]


def _missing(free, demand):
    """What has to be freed of each resource."""
    return [
        max(0, wanted - available)
        for wanted, available in zip(demand, free, strict=True)
    ]


def _total(parts):
    return common.Resources(*(sum(kind) for kind in zip(*parts, strict=True)))


def _fit_count(free, demand):
    """How many times a demand fits into what is free; once at the least."""
    limits = [
        available // wanted
        for available, wanted in zip(free, demand, strict=True)
        if wanted
    ]
    return max(1, min(limits, default=1))
