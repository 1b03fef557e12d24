"""The orders that a leader sends to a worker, and their results.

A worker rejects orders with a fence below the highest one it has seen, and starts of a
run whose number is not above the last run that was stopped or ended there. Orders are
therefore idempotent. A fence rises with the epoch and, within it, with each incarnation
of a worker that the leader notices, so a delayed order of a previous leader or for a
previous incarnation has no effect.
"""

import typing

# Outcomes of an order. Only OK says that it was executed. NOT_EXECUTED lists the
# outcomes after which this copy of the order certainly was not. After UNKNOWN it may
# or may not have been, and after OVERTAKEN too, but then the worker has answered a call
# that was sent later. NOT_SENT says nothing about the worker.
OK = "ok"
FENCED = "fenced"
STALE_RUN = "stale_run"
LEASE_EXPIRED = "lease_over"
NO_CAPACITY = "no_room"
NO_TICKET = "no_ticket"
REFUSED = "refused"
OTHER_INCARNATION = "other_life"
UNREACHABLE = "unreachable"
CONNECTION_REFUSED = "not_listening"
NOT_SENT = "not_sent"
UNKNOWN = "unknown"
OVERTAKEN = "overtaken"
NOT_EXECUTED = (
    LEASE_EXPIRED,
    NO_CAPACITY,
    NO_TICKET,
    REFUSED,
    OTHER_INCARNATION,
    UNREACHABLE,
    CONNECTION_REFUSED,
    NOT_SENT,
)
# No connection was made: it timed out, or the host refused it.
NOT_CONNECTED = (UNREACHABLE, CONNECTION_REFUSED)
# The worker has not answered; its next incarnation may answer the next call.
UNANSWERED = (UNKNOWN, *NOT_CONNECTED)


class Start(typing.NamedTuple):
    """Start a run of a task."""

    task: str
    run: int
    spec: str
    lease_until_ms: int
    """On the worker's own clock; extends the lease of all runs on the worker."""
    fence: int
    checkpoint: str
    ticket: str


class Stop(typing.NamedTuple):
    """Stop a run. A start of the run that arrives later is rejected."""

    task: str
    run: int
    fence: int


class Pace(typing.NamedTuple):
    """Throttle a best-effort run to a percentage of its full speed."""

    task: str
    run: int
    percent: int
    fence: int


class Poll(typing.NamedTuple):
    """Request all current runs and all ends after ``cursor``.

    The worker may discard the ends up to ``cursor``.
    """

    fence: int
    cursor: int
    lease_until_ms: int | None
    """On the worker's own clock; None leaves the lease as it is."""
    wait_ms: int
    """How long the worker may delay its response until a run ends."""


class ListedRun(typing.NamedTuple):
    """A run in progress on a worker."""

    task: str
    run: int
    checkpoint: str
    percent: int
    load: float
    """Serving tasks: tail latency in ms. Others: thousandths of a processor used."""


class ListedEnd(typing.NamedTuple):
    """A run that has ended on a worker."""

    number: int
    """Increases with each end in one incarnation of the worker."""
    task: str
    run: int
    how: str
    checkpoint: str


class OrderResult(typing.NamedTuple):
    """The result of a Start, Stop or Pace."""

    outcome: str
    clock_ms: int | None = None
    """The worker's clock when it responded."""
    detail: str = ""
    lost_connection: bool = False
    """The connection closed before the response arrived, as when a worker crashes."""
    copies: int = 1
    """How many copies were sent at once; the others may still be carried out."""


class PollResult(typing.NamedTuple):
    """The result of a Poll; the lists are valid only if the outcome is OK."""

    outcome: str
    clock_ms: int | None = None
    born_ms: int = 0
    """Start time of the incarnation that responded; 0 if unknown."""
    running: list[ListedRun] = []
    ended: list[ListedEnd] = []
    detail: str = ""
    has_more_ends: bool = False
    """The list of ends may have been cut, so a run in neither list may have ended."""
    copies: int = 1
    """How many copies of the poll were sent at once."""
    lost_connection: bool = False
    """The connection closed before the response arrived, as when a worker crashes."""
