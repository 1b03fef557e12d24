"""An adaptive limit on the requests that an entry has in flight to one service.

Runners whose slots share processors, a store or a lock slow down as they get more
requests, so filling every declared slot may make all requests late.

The limit follows the run time. In each round it grows by its square root while the
median run time is near the best of recent rounds, so new capacity is found within
seconds. Once the median exceeds ``TOLERANCE`` times the best, the limit shrinks in
proportion; a tolerance of two leaves room for the medians of mixed work. A best time is
forgotten after ``BASELINE_ROUNDS``, about a minute, so a service that became slower for
good is not throttled indefinitely.
"""

import collections
import math

TOLERANCE = 2.0
MIN_SHRINK_FACTOR = 0.7
SMOOTHING = 0.3
ROUND_MS = 200
ROUND_SAMPLES = 10
BASELINE_ROUNDS = 300


class Limit:
    """The adaptive limit; ``minimum`` and ``maximum`` follow the known runners."""

    def __init__(self, minimum=1, maximum=1):
        self._minimum = minimum
        self._maximum = maximum
        self._limit = float(maximum)
        self._samples = []
        self._baselines = collections.deque(maxlen=BASELINE_ROUNDS)
        self._round_ends_ms = None
        self._was_full = False

    @property
    def value(self):
        """How many requests may be in flight now."""
        return int(self._limit)

    def set_bounds(self, minimum, maximum):
        """Set the bounds; a higher maximum raises the limit by the difference."""
        if maximum > self._maximum:
            self._limit += maximum - self._maximum
        self._minimum, self._maximum = minimum, maximum
        self._clamp()

    def observe(self, run_ms, in_flight, now_ms):
        """Record a run time and how many requests were in flight when it ended."""
        self._samples.append(run_ms)
        self._was_full = self._was_full or in_flight >= self.value
        if self._round_ends_ms is None:
            self._round_ends_ms = now_ms + ROUND_MS
        if now_ms >= self._round_ends_ms and len(self._samples) >= ROUND_SAMPLES:
            self._adjust()
            self._round_ends_ms = now_ms + ROUND_MS

    def _adjust(self):
        ordered = sorted(self._samples)
        median_ms = max(ordered[len(ordered) // 2], 1)
        self._baselines.append(median_ms)
        ratio = TOLERANCE * min(self._baselines) / median_ms
        wanted = self._limit
        if ratio < 1:
            wanted *= max(MIN_SHRINK_FACTOR, ratio)
        elif self._was_full:
            wanted += math.sqrt(self._limit)
        self._limit += SMOOTHING * (wanted - self._limit)
        self._clamp()
        self._samples = []
        self._was_full = False

    def _clamp(self):
        self._limit = max(self._minimum, min(self._limit, self._maximum))
