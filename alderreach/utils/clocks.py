"""The clock of the runtime, as a value that is passed in.

Every task takes a ``Clock`` and never reads ``time`` itself, so that tests pause and
advance time. Durations are measured on the steady clock only; the wall clock is for
people, for the lifetime of idempotency keys and for jobs that are due at a time.

The steady clock is the kernel's boot clock, which goes on while a VM is suspended. The
plain monotonic clock stands still then: a leader that wakes would find its lease as
fresh as when it fell asleep, and act beside its successor.
"""

import time
import typing


class Clock(typing.NamedTuple):
    """Two functions without arguments, both in milliseconds."""

    monotonic_ms: typing.Callable[[], int]
    wall_ms: typing.Callable[[], int]


SYSTEM = Clock(
    monotonic_ms=lambda: time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000,
    wall_ms=lambda: time.time_ns() // 1_000_000,
)


class FakeClock:
    """A clock that stands still until a test advances it.

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
        """Move both clocks on by ``duration_ms``."""
        self.now_ms += duration_ms
