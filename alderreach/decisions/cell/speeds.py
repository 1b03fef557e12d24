"""Speeds of workers, learned from how long the runs of one step take on each of them.

A worker may take several times as long for everything, because of its hardware or its
neighbours, while it looks healthy. Its slowness is estimated as a logarithm, since
ratios multiply, and is the sum of its kind of hardware's and of its own deviation from
that. The kind is known soon, and a worker that has not run anything has the speed of
its kind.

- Only workers that ran tasks of the same step are compared. Runs that are all on slow
  workers tell nothing about how slow these are, however many they are.
- Each estimate has a variance, which decides on the weight of the next observation (a
  Kalman filter). A worker with few runs changes quickly, and others that are compared
  with it change little. Variances grow a little with each observation, so recent runs
  have more weight.
- Each observation is bounded, as some tasks take several times as long on any worker.
  Several surprising ones in a row make the estimate uncertain again, so a worker that
  becomes slow or recovers is known within about five.
- The median worker of a service has 1.0 by definition. Without that, all estimates
  could drift together, since each observation is relative to other workers.

>>> speeds = WorkerSpeeds()
>>> for _step in range(8):
...     speeds.compare([
...         Sample("w1", ("pool", "a"), 1000, 2), Sample("w2", ("pool", "a"), 1020, 2),
...         Sample("w3", ("pool", "b"), 2400, 2)])
>>> speeds.recentre({"w1": ("pool", "a"), "w2": ("pool", "a"), "w3": ("pool", "b")})
>>> 2.0 < speeds.slowness("w3", ("pool", "b")) < 2.6
True
>>> speeds.slowness("w2", ("pool", "a")), speeds.slowness("new", ("other", "b"))
(1.0, 1.0)
"""

import collections
import math
import statistics
import typing

# Variances of logarithms. Durations of equal tasks vary by 1.35 at one standard
# deviation; kinds may differ by 1.6 and workers of one kind by 1.35 from the usual.
RUN_VARIANCE = 0.09
KIND_VARIANCE = 0.25
WORKER_VARIANCE = 0.09
# What each observation adds: it then counts for 5 % of a well-known estimate.
ADDED_VARIANCE = 0.0003
# Bounds of one observation: of its distance to the others of its step, and in standard
# deviations of what was expected.
MAX_DISTANCE = 1.2
MAX_DEVIATIONS = 2.5
# An observation is surprising from this many standard deviations on.
SURPRISING_DEVIATIONS = 1.5
SURPRISES = 3
# Estimates this close to 1.0, in logarithms or in their standard deviations, count as
# 1.0, so that noise changes no decision. Of 176 equal workers under the telematics load
# up to three have another slowness; with 1.5 deviations up to 9, and once a whole kind.
SAME_LOG_RATIO = math.log(1.15)
SAME_DEVIATIONS = 2.0
# Observations counted at most, for the record.
MAX_RUNS = 50


class Sample(typing.NamedTuple):
    """The median duration of some runs of one step on a worker.

    ``hardware`` is a (service, kind) pair.
    """

    target_id: str
    hardware: tuple
    duration_ms: float
    runs: int


class _Estimate:
    """An estimated logarithm, its variance, and the surprises in a row by sign."""

    __slots__ = ("initial_variance", "mean", "runs", "surprises", "variance")

    def __init__(self, variance, mean=0.0, runs=0):
        self.initial_variance = self.variance = variance
        self.mean = mean
        self.runs = runs
        self.surprises = 0

    def update(self, distance, variance):
        """Correct by an observation at this distance with this variance."""
        total = self.variance + variance
        deviations = distance / math.sqrt(total)
        if abs(deviations) < SURPRISING_DEVIATIONS:
            self.surprises = 0
        else:
            sign = 1 if distance > 0 else -1
            self.surprises = sign + (self.surprises if self.surprises * sign > 0 else 0)
        if abs(self.surprises) == SURPRISES:
            self.surprises = 0
            self.variance = self.initial_variance
            total = self.variance + variance
            deviations = distance / math.sqrt(total)
        bounded = max(-MAX_DEVIATIONS, min(MAX_DEVIATIONS, deviations))
        gain = self.variance / total
        self.mean += gain * bounded * math.sqrt(total)
        self.variance = (1 - gain) * self.variance + ADDED_VARIANCE
        self.runs = min(self.runs + 1, MAX_RUNS)


class WorkerSpeeds:
    """The slowness of workers; ``hardware`` is a (service, kind) pair."""

    def __init__(self):
        # Deviations of workers from their kinds, and the logarithms of kinds.
        self._workers = {}
        self._kinds = {}
        # The median logarithm by service, which counts as a slowness of 1.0.
        self._medians = {}

    def compare(self, samples):
        """Learn from the ``Sample`` of each worker that ran tasks of one step."""
        if len(samples) < 2:
            return
        self._compare_kinds(samples)
        rows = []
        for sample in samples:
            worker, kind = self._worker(sample.target_id), self._kind(sample.hardware)
            left = math.log(sample.duration_ms) - kind.mean - worker.mean
            rows.append((worker, left, RUN_VARIANCE / sample.runs))
        _update_all(rows)

    def slowness(self, target_id, hardware):
        """How many times as long as on a usual worker tasks take on this one."""
        log_ratio = self._log_slowness(target_id, hardware)
        log_ratio -= self._medians.get(hardware[0], 0.0)
        if abs(log_ratio) < SAME_LOG_RATIO:
            return 1.0
        if abs(log_ratio) < SAME_DEVIATIONS * self._deviation(target_id, hardware):
            return 1.0
        return math.exp(log_ratio)

    def runs(self, target_id):
        """The number of observations of a worker, up to ``MAX_RUNS``."""
        estimate = self._workers.get(target_id)
        return estimate.runs if estimate else 0

    def restore(self, hardware_of, known):
        """Restore what ``slowness`` and ``runs`` returned to an earlier leader.

        ``hardware_of`` maps the ids of all workers to their hardware, and ``known``
        some of them to (slowness, runs). The others had a slowness of 1.0.
        """
        by_kind = collections.defaultdict(dict)
        for target_id, hardware in hardware_of.items():
            slowness, runs = known.get(target_id, (1.0, 1))
            by_kind[hardware][target_id] = (math.log(max(slowness, 1e-3)), runs)
        for hardware, members in by_kind.items():
            kind = self._kind(hardware)
            kind.mean = statistics.median(mean for mean, _runs in members.values())
            kind.variance = WORKER_VARIANCE / len(members)
            for target_id, (mean, runs) in members.items():
                if runs:
                    worker = self._worker(target_id)
                    worker.mean, worker.runs = mean - kind.mean, runs
                    worker.variance = WORKER_VARIANCE / (1 + runs)

    def forget(self, target_id):
        """Drop the estimate of a worker that is gone."""
        self._workers.pop(target_id, None)

    def recentre(self, hardware_of):
        """Make the median worker of each service the usual one.

        ``hardware_of`` maps the ids of all workers to their hardware.
        """
        values = collections.defaultdict(list)
        for target_id, hardware in hardware_of.items():
            values[hardware[0]].append(self._log_slowness(target_id, hardware))
        self._medians = {
            service: sorted(found)[(len(found) - 1) // 2]
            for service, found in values.items()
        }

    def _compare_kinds(self, samples):
        """Learn about kinds from a step that ran on several kinds of workers."""
        if len({sample.hardware for sample in samples}) == 1:
            return
        by_kind = collections.defaultdict(list)
        for sample in samples:
            worker = self._worker(sample.target_id)
            left = math.log(sample.duration_ms) - worker.mean
            variance = worker.variance + RUN_VARIANCE / sample.runs
            by_kind[sample.hardware].append((left, variance))
        rows = []
        for hardware, found in by_kind.items():
            kind = self._kind(hardware)
            precision = sum(1 / variance for _left, variance in found)
            mean = sum(left / variance for left, variance in found) / precision
            rows.append((kind, mean - kind.mean, 1 / precision))
        _update_all(rows)

    def _worker(self, target_id):
        estimate = self._workers.get(target_id)
        if estimate is None:
            estimate = self._workers[target_id] = _Estimate(WORKER_VARIANCE)
        return estimate

    def _kind(self, hardware):
        estimate = self._kinds.get(hardware)
        if estimate is None:
            estimate = self._kinds[hardware] = _Estimate(KIND_VARIANCE)
        return estimate

    def _log_slowness(self, target_id, hardware):
        kind, worker = self._kinds.get(hardware), self._workers.get(target_id)
        return (kind.mean if kind else 0.0) + (worker.mean if worker else 0.0)

    def _deviation(self, target_id, hardware):
        """The standard deviation of the estimates that were learned from runs."""
        kind, worker = self._kinds.get(hardware), self._workers.get(target_id)
        known = [each for each in (kind, worker) if each and each.runs]
        return math.sqrt(sum(each.variance for each in known))


def _update_all(rows):
    """Correct estimates by what is left of their observations.

    ``rows`` has (estimate, what its observation is above it, variance of the latter).
    Each is compared with the mean of the others, by their precision.
    """
    middle = statistics.median(left for _estimate, left, _variance in rows)
    bounded = [
        (
            estimate,
            max(middle - MAX_DISTANCE, min(middle + MAX_DISTANCE, left)),
            variance,
            1 / (estimate.variance + variance),
        )
        for estimate, left, variance in rows
    ]
    weight = sum(precision for *_rest, precision in bounded)
    total = sum(left * precision for _estimate, left, _variance, precision in bounded)
    for estimate, left, variance, precision in bounded:
        others = weight - precision
        mean = (total - left * precision) / others
        estimate.update(left - mean, variance + 1 / others)
