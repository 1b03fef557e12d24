"""The clock, as a value that is passed to each task.

Every task is given a ``Clock`` and never reads ``time`` itself, so that tests can pause
and advance time. Durations are measured on the monotonic clock only. The wall clock is
for people, for the lifetime of idempotency keys and for jobs that are due at a time.

The monotonic clock is the kernel's boot clock, which also advances while a VM is
suspended. ``CLOCK_MONOTONIC`` does not: a leader that is resumed would consider its
lease still valid, and act at the same time as its successor.
"""

import time
import typing


class Clock(typing.NamedTuple):
    """Two functions without arguments that return milliseconds."""

    monotonic_ms: typing.Callable[[], int]
    wall_ms: typing.Callable[[], int]


SYSTEM = Clock(
    monotonic_ms=lambda: time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000,
    wall_ms=lambda: time.time_ns() // 1_000_000,
)


class FakeClock:
    """A clock that advances only when a test advances it.

    >>> fake = FakeClock()
    >>> fake.advance(250)
    >>> fake.clock.monotonic_ms()
    250
    """

    def __init__(self, monotonic_ms=0, wall_ms=1_764_700_000_000):
        self.now_ms = monotonic_ms
        self.offset_ms = wall_ms - monotonic_ms
        self.clock = Clock(lambda: self.now_ms, lambda: self.now_ms + self.offset_ms)

    def advance(self, duration_ms):
        """Advance both clocks by ``duration_ms``."""
        self.now_ms += duration_ms
