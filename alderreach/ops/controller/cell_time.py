"""Bounds of the cell's time, from the batches that a controller has seen committed.

A new leader has only its own clock until other processes have greeted it. If that clock
is wrong by hours, it would drop the states of jobs that have just ended, or show ended
jobs for too short a time. The previous leader's batches carry the cell's time, which
was the median of many clocks.
"""

from alderreach.core import cell_state

# A right clock may be ahead of the last batch by the time in which nothing was decided.
# A wrong one that is ahead by this much leaves ended jobs half of their retention.
MAX_AHEAD_MS = cell_state.ENDED_JOB_RETENTION_MS // 2


class LogTime:
    """The time of the latest batch, as an offset from the monotonic clock.

    >>> log_time = LogTime()
    >>> log_time.observe(wall_ms=50_000, now_ms=100)
    >>> log_time.bounded_ms(offset_ms=9_000_000)
    9000000
    >>> log_time.observe(wall_ms=52_100, now_ms=2_100)
    >>> [log_time.bounded_ms(each) for each in (40_000, 51_000, 9_000_000)]
    [50000, 51000, 350000]
    """

    def __init__(self):
        self._wall_ms = None
        self._offset_ms = None

    def observe(self, wall_ms, now_ms):
        """Observe the time of the latest batch; call this often.

        The first one may be older than this process and tells nothing.
        """
        if self._wall_ms is not None and wall_ms != self._wall_ms:
            self._offset_ms = wall_ms - now_ms
        self._wall_ms = wall_ms

    def bounded_ms(self, offset_ms):
        """The offset of a clock from the monotonic clock, within the bounds."""
        if self._offset_ms is None:
            return offset_ms
        latest_ms = self._offset_ms + MAX_AHEAD_MS
        return min(max(offset_ms, self._offset_ms), latest_ms)
