"""Sends less load to runners that are slower or fail more often than their peers.

A runner that fails every request immediately is never busy, so a rule that prefers idle
runners would send it most requests.

- A runner's run time is compared with the median of its peers: if the whole service is
  slow, there is no better runner to send to. Above ``SLOW_RATIO`` times the median, its
  weight falls to ``SLOW_RATIO`` divided by its ratio, by at most ``DOWN_STEP`` each
  ``ADJUST_MS``, and recovers by ``UP_STEP``. Recovering at a quarter of the speed keeps
  a runner that is slow only under load from oscillating between full load and none.
- A runner that fails more than ``ERROR_SHARE`` of its requests, while the median peer
  fails less than half of that, is ejected for a time that doubles up to
  ``MAX_EJECT_MS``, then probed with ``PROBE_WEIGHT``. At most ``MAX_EJECTED_FRACTION``
  of the runners are ejected at once: if more fail, the service is at fault, and sending
  all requests to the few remaining runners would overload these too.
- A runner that can't be connected to gets no requests for ``DOWN_MS``, regardless of
  that fraction: it can't answer, and half of the targets may be lost at once.
"""

import statistics
import typing

ADJUST_MS = 200
SLOW_RATIO = 2.0
MIN_WEIGHT = 0.05
DOWN_STEP = 0.4
UP_STEP = 0.1
SMOOTHING = 0.15
MIN_SAMPLES = 5
ERROR_SHARE = 0.5
MAX_EJECTED_FRACTION = 0.34
INITIAL_EJECT_MS = 5000
MAX_EJECT_MS = 60_000
PROBE_WEIGHT = 0.05
DOWN_MS = 1000
DOWN_AFTER_FAILURES = 2


class _Target:
    """The statistics and the weight of one runner."""

    def __init__(self):
        self.run_ms = None
        self.error_share = 0.0
        self.samples = 0
        self.weight = 1.0
        self.ejected_until_ms = None
        self.eject_ms = INITIAL_EJECT_MS
        self.failed_connections = 0
        self.down_until_ms = None


class Change(typing.NamedTuple):
    """An ejection or a probe after one, for the time line."""

    target_id: str
    what: str


class Outliers:
    """Weights from 0 to 1 of the runners of one service."""

    def __init__(self):
        self._targets = {}
        self._next_adjust_ms = 0

    def set_targets(self, target_ids):
        """Replace the set of known runners; a new one starts with full weight."""
        self._targets = {
            target_id: self._targets.get(target_id) or _Target()
            for target_id in target_ids
        }

    def weight(self, target_id, now_ms):
        """Return the share of its normal load for a runner; 0 if ejected or down."""
        target = self._targets.get(target_id)
        if target is None:
            return 0.0
        if target.down_until_ms is not None and now_ms < target.down_until_ms:
            return 0.0
        return 0.0 if target.ejected_until_ms is not None else target.weight

    def observe(self, target_id, run_ms, is_error):
        """Record the end of an attempt at a runner that was reached."""
        target = self._targets.get(target_id)
        if target is None:
            return
        target.samples += 1
        target.failed_connections = 0
        target.down_until_ms = None
        target.error_share += SMOOTHING * (float(is_error) - target.error_share)
        if is_error:
            return
        if target.run_ms is None:
            target.run_ms = run_ms
        target.run_ms += SMOOTHING * (run_ms - target.run_ms)

    def on_unreachable(self, target_id, now_ms):
        """Handle a failed connection to a runner."""
        target = self._targets.get(target_id)
        if target is None:
            return
        target.failed_connections += 1
        if target.failed_connections >= DOWN_AFTER_FAILURES:
            target.down_until_ms = now_ms + DOWN_MS

    def tick(self, now_ms):
        """Adjust the weights each ``ADJUST_MS``; returns the ``Change``s to report."""
        if now_ms < self._next_adjust_ms:
            return []
        self._next_adjust_ms = now_ms + ADJUST_MS
        changes = self._start_probes(now_ms) + self._eject(now_ms)
        self._adjust_weights()
        return changes

    def _start_probes(self, now_ms):
        changes = []
        for target_id, target in self._targets.items():
            until_ms = target.ejected_until_ms
            if until_ms is not None and now_ms >= until_ms:
                target.ejected_until_ms = None
                target.weight = PROBE_WEIGHT
                target.error_share = 0.0
                target.samples = 0
                changes.append(Change(target_id, "probed"))
        return changes

    def _eject(self, now_ms):
        shares = [target.error_share for target in self._targets.values()]
        if len(shares) < 2 or statistics.median(shares) >= ERROR_SHARE / 2:
            return []
        max_ejected = int(MAX_EJECTED_FRACTION * len(shares))
        changes = []
        by_share = sorted(self._targets.items(), key=lambda e: -e[1].error_share)
        for target_id, target in by_share:
            ejected = sum(
                each.ejected_until_ms is not None for each in self._targets.values()
            )
            is_bad = target.error_share > ERROR_SHARE
            if not is_bad or target.samples < MIN_SAMPLES or ejected >= max_ejected:
                continue
            if target.ejected_until_ms is not None:
                continue
            target.ejected_until_ms = now_ms + target.eject_ms
            target.eject_ms = min(2 * target.eject_ms, MAX_EJECT_MS)
            changes.append(Change(target_id, "ejected"))
        return changes

    def _adjust_weights(self):
        known = [t.run_ms for t in self._targets.values() if t.run_ms is not None]
        median_ms = statistics.median(known) if known else 0
        for target in self._targets.values():
            wanted = _wanted_weight(target, median_ms)
            if wanted < target.weight:
                target.weight = max(wanted, target.weight - DOWN_STEP)
            else:
                target.weight = min(wanted, target.weight + UP_STEP)
            if target.weight >= 1.0:
                target.eject_ms = INITIAL_EJECT_MS


def _wanted_weight(target, median_ms):
    if target.error_share > ERROR_SHARE / 2 and target.samples >= MIN_SAMPLES:
        return max(MIN_WEIGHT, 1 - target.error_share)
    if target.run_ms is None or target.samples < MIN_SAMPLES or median_ms <= 0:
        return 1.0 if target.samples == 0 else target.weight
    ratio = target.run_ms / median_ms
    return 1.0 if ratio <= SLOW_RATIO else max(MIN_WEIGHT, SLOW_RATIO / ratio)
