"""How long starts may rely on the capacity that a worker reported.

A worker's capacity may become smaller at any time, and only its heartbeats report it.
An answer to an order or a poll shows that the worker runs, but says nothing about its
capacity. So a report is valid for a limited time after it was *sent*, and only for the
incarnation that sent it. No start that relies on it may be carried out later than that.

A heartbeat may be delayed on its way. Its age is therefore taken from the worker's own
clock, which it contains. The leader never estimates that clock too high, so a report
may seem younger than it is by the error of that estimate, but never older.
"""

import math
import typing

# Covers a worker's clock that is 2 % slow, and the error in the offset of that clock.
VALIDITY_MARGIN_MS = 200
# A start relies on a report for at least this time, in which it is committed and sent.
START_MS = 500


class Report(typing.NamedTuple):
    """The last heartbeat that reported a worker's capacity."""

    received_ms: int
    clock_ms: int
    """The worker's own clock when it was sent; -1 if unknown."""


def validity_ms(heartbeat_ms, grace_ms):
    """How long a report is valid after it was sent.

    The next one is due after ``heartbeat_ms``, and starts may exceed the capacity in it
    for ``grace_ms``.

    >>> validity_ms(1500, 3000)
    4300
    """
    return heartbeat_ms + grace_ms - VALIDITY_MARGIN_MS


def valid_until_ms(report, clock_offset_ms, valid_ms):
    """Until when starts may rely on a report, which is None if there is none.

    ``clock_offset_ms`` is the worker's clock less the leader's, None if unknown.

    >>> valid_until_ms(Report(received_ms=9000, clock_ms=200), -8000, 4300)
    12500
    >>> valid_until_ms(Report(received_ms=9000, clock_ms=-1), -8000, 4300)
    13300
    >>> valid_until_ms(None, -8000, 4300)
    -inf
    """
    if report is None:
        return -math.inf
    sent_ms = report.received_ms
    if report.clock_ms >= 0 and clock_offset_ms is not None:
        sent_ms = min(sent_ms, report.clock_ms - clock_offset_ms)
    return sent_ms + valid_ms
