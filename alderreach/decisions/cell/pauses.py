"""Pauses between pieces of work that a busy leader could otherwise do all the time.

Searching for runs to preempt, deciding on permission queries and forecasting the load
all take longer the more work waits. Without a bound they take all of a leader's time
just when a flood arrives, its polls are late, and its workers' leases expire.

>>> after_work(began_ms=100, ended_ms=110)
150
"""

# Each of these takes a fifth of the leader's time at most.
PAUSE_FACTOR = 4


def after_work(began_ms, ended_ms):
    """The time from which a piece of work that was done at this time may be repeated.

    Times are in milliseconds of the monotonic clock.
    """
    return ended_ms + PAUSE_FACTOR * (ended_ms - began_ms)
