"""How long the tasks of a queue take, compared to their submitters' estimates.

Submitters estimate roughly, but those of one queue tend to err alike. The mean and the
deviation of the logarithm of duration by estimate are learned for each queue, with more
weight for recent runs.

>>> learned = QueueDurations()
>>> for _run in range(8):
...     learned.observe("urgent", 0.7)
>>> round(learned.factor("urgent"), 2), learned.factor("plan")
(0.7, 1.0)
"""

import math
import typing

from alderreach.decisions.cell import order

# Fewer runs say little; they may all belong to one step.
MIN_RUNS = 8
# The least weight of a new run, which averages over about the last hundred.
MIN_WEIGHT = 0.01
MAX_RUNS = 100
# Of a logarithm: 12 times either way.
MAX_LOG_RATIO = 2.5
# By how much more than its siblings' median a task may take and still be in time. The
# longest of ten tasks takes 1.5 times as long, as durations vary by 1.35. A margin of
# just that serves plans of the telematics load worse (0.539 against 0.572).
SAFETY = 2.5


class Learned(typing.NamedTuple):
    """The mean and the variance of a queue's logarithms, and the runs they are from."""

    mean: float
    variance: float
    runs: int


class QueueDurations:
    """The typical factor between duration and estimate of each queue, and its spread.

    The factor is that of a usual worker.
    """

    def __init__(self):
        self._queues = {}

    def observe(self, queue, ratio):
        """Count a run whose duration on a usual worker was ``ratio`` its estimate."""
        log_ratio = math.log(max(ratio, 1e-9))
        log_ratio = max(-MAX_LOG_RATIO, min(MAX_LOG_RATIO, log_ratio))
        known = self._queues.get(queue, Learned(0.0, 0.0, 0))
        runs = min(known.runs + 1, MAX_RUNS)
        weight = max(MIN_WEIGHT, 1 / runs)
        distance = log_ratio - known.mean
        variance = (1 - weight) * (known.variance + weight * distance * distance)
        mean = known.mean + weight * distance
        self._queues[queue] = Learned(mean, variance, runs)

    def factor(self, queue):
        """The typical duration divided by the estimate; 1.0 after too few runs."""
        known = self._queues.get(queue)
        return math.exp(known.mean) if known and known.runs >= MIN_RUNS else 1.0

    def spread(self, queue):
        """The standard deviation of the logarithm of that; 0.0 after too few runs."""
        known = self._queues.get(queue)
        return math.sqrt(known.variance) if known and known.runs >= MIN_RUNS else 0.0

    def runs(self, queue):
        """The number of runs that count for a queue, up to ``MAX_RUNS``."""
        known = self._queues.get(queue)
        return known.runs if known else 0

    def queues(self):
        """The names of the queues with observed runs."""
        return list(self._queues)

    def restore(self, queue, factor, spread, runs):
        """Restore what the methods above returned to an earlier leader."""
        mean = math.log(max(factor, 1e-3))
        self._queues[queue] = Learned(mean, spread * spread, min(runs, MAX_RUNS))


def slowest_in_time(queue, steps, number, tasks_ms, elapsed_ms, spread=0.0):
    """The slowness up to which tasks of a step that start now end in time for the job.

    ``tasks_ms`` has the expected duration of a task of each step on a usual worker, and
    ``elapsed_ms`` is the time since the job was due. The steps that follow are expected
    to run on usual workers. All tasks may be longer or shorter together by ``spread``,
    a standard deviation of the logarithm, whichever leaves less time: the objective
    grows with them, but what has passed and the queue's target latency do not. The
    result is below 1.0 if not even a usual worker is surely quick enough.
    """
    is_ahead = elapsed_ms < queue.target_latency_ms
    scale = math.exp(spread if is_ahead else -spread)
    tasks_ms = [scale * task_ms for task_ms in tasks_ms]
    timed = [
        step._replace(estimated_ms=task_ms)
        for step, task_ms in zip(steps, tasks_ms, strict=True)
    ]
    later_ms = order.chain_ms(timed)[number] - tasks_ms[number]
    left_ms = order.objective_ms(queue, timed) - elapsed_ms - later_ms
    return left_ms / (SAFETY * max(1.0, tasks_ms[number]))
