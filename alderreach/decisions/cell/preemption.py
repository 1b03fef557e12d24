"""Urgent tasks take the room of less urgent ones that save their progress.

Load answered: a burst doubles the urgent queue while plans, whose tasks take several
seconds each, fill the workers.

Without it: an urgent step whose objective leaves it half a second waits until enough
plan tasks end by themselves on the workers that it is permitted to use.

Only runs that save their progress when they are stopped give way, so what is lost is
the time until they start again and their restore, not their work. A run gives way to a
queue of higher priority only, while its own job can still be in time, ``YIELDS_MOST``
times at most, and only once the urgent step has waited for longer than room usually
takes to come by itself.
"""

import typing

from alderreach.decisions.cell import choice

# Room mostly comes by itself within this. Of 1,878 urgent jobs in bursts of four times
# the usual (``bench cell``, four seeds), 17 are late without preemption, and 6 and 4
# with a patience of 300 and 150 ms, for 188 and 250 stops; plans are as often in time.
PATIENCE_MS = 150
# Where nothing could give way, it is looked for again after this.
RETRY_MS = 50
# A stop takes up to 400 ms until its end is listed; until then its room is on its way.
STOP_MS = 400
# What giving way costs a run: its stop, a new ticket, its restore, some 0.5 s each. A
# job that has less to spare, by its estimates, would miss its own objective for it.
YIELD_COST_MS = 1500
# Often enough for two bursts in a long task's life; never without end.
YIELDS_MOST = 2


class Eviction(typing.NamedTuple):
    """Runs to stop on a worker, and how many tasks of the step then fit there."""

    worker: typing.Any
    runs: list
    fitting: int


def choose(workers, step, wanted, may_yield, group=None):
    """Evictions that make room for ``wanted`` tasks of a step, the cheapest first.

    ``workers`` are those on which the step may start but for want of room, and
    ``may_yield(run)`` says which runs may be stopped for it. Fewer tasks may find room
    than are wanted; what is being stopped already counts as room. On a worker that may
    hold no more tasks of ``group`` no room counts, or the step would wait beside it.
    """
    options = []
    for worker in workers:
        if not choice.is_suitable(worker, step):
            continue
        allowed = wanted
        if step.max_per_target:
            allowed = min(wanted, step.max_per_target - worker.count_of(group))
        eviction = _cheapest(worker, step, may_yield) if allowed > 0 else None
        if eviction is not None:
            fitting = min(eviction.fitting, allowed)
            stopped_millis = sum(run.demand.cpu_millis for run in eviction.runs)
            cost = stopped_millis / fitting
            options.append((cost, worker.target_id, eviction._replace(fitting=fitting)))
    chosen = []
    for _cost, _name, eviction in sorted(options, key=lambda option: option[:2]):
        if wanted <= 0:
            break
        wanted -= eviction.fitting
        if eviction.runs:
            chosen.append(eviction)
    return chosen


def _cheapest(worker, step, may_yield):
    """The fewest processors' worth of runs after which a task fits; None if never."""
    cpu, memory, accelerators = _soon_free(worker)
    demand = step.demand
    if accelerators < demand.accelerators:
        return None
    candidates = [run for run in worker.runs.values() if may_yield(run)]
    candidates.sort(key=lambda run: (run.demand.cpu_millis, str(run.key)))
    chosen = []
    while cpu < demand.cpu_millis or memory < demand.memory_mb:
        if not candidates:
            return None
        run = _next(candidates, demand.cpu_millis - cpu, demand.memory_mb - memory)
        candidates.remove(run)
        chosen.append(run)
        cpu += run.demand.cpu_millis
        memory += run.demand.memory_mb
    return Eviction(worker, chosen, _copies(cpu, memory, demand))


def _next(candidates, cpu, memory):
    """The smallest run that gives all that is missing, or else the largest."""
    for run in candidates:
        if run.demand.cpu_millis >= cpu and run.demand.memory_mb >= memory:
            return run
    return candidates[-1]


def _soon_free(worker):
    """What is free once all stops under way are done."""
    free = worker.free()
    closing = [run.demand for run in worker.runs.values() if run.is_closing()]
    return (
        free.cpu_millis + sum(demand.cpu_millis for demand in closing),
        free.memory_mb + sum(demand.memory_mb for demand in closing),
        free.accelerators + sum(demand.accelerators for demand in closing),
    )


def _copies(cpu, memory, demand):
    limits = [cpu // demand.cpu_millis] if demand.cpu_millis else []
    if demand.memory_mb:
        limits.append(memory // demand.memory_mb)
    return max(1, min(limits, default=1))
