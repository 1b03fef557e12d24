"""Pauses between pieces of work that a busy leader could otherwise do all the time.

Searching for runs to preempt, deciding on permission queries and forecasting the load
all take longer the more work waits. Without a bound they take all of a leader's time
just when a flood arrives, its polls are late, and its workers' leases expire.

Planning passes as a whole pause as well, since starting tasks for hundreds of steps
takes as long.

>>> after_work(began_ms=100, ended_ms=110)
150
>>> after_pass(began_ms=100, ended_ms=110), after_pass(began_ms=100, ended_ms=104)
(120, 104)
"""

# Each of these takes a fifth of the leader's time at most.
PAUSE_FACTOR = 4
# Planning passes take half of the leader's time at most.
PASS_PAUSE_FACTOR = 1
# Passes of a leader that has time are shorter, and nothing is gained by a pause.
LONG_PASS_MS = 5


def after_work(began_ms, ended_ms):
    """The time from which a piece of work that was done at this time may be repeated.

    Times are in milliseconds of the monotonic clock.
    """
    return ended_ms + PAUSE_FACTOR * (ended_ms - began_ms)


def after_pass(began_ms, ended_ms):
    """The time from which the next planning pass may begin after one at this time."""
    took_ms = ended_ms - began_ms
    if took_ms < LONG_PASS_MS:
        return ended_ms
    return ended_ms + PASS_PAUSE_FACTOR * took_ms
