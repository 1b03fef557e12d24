"""What a leader tells a worker, and what it hears back.

A worker does nothing for an epoch below the highest it was shown, and nothing for a run
that is not above one that was stopped or ended there. So an order may be sent again
without harm, and a delayed order of a former leader changes nothing.
"""

import typing

# How an order ended. Only the first says that it was carried out; the next group is
# certain that this copy of it was not; after the last it is not known.
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
UNKNOWN = "unknown"
NOT_EXECUTED = (
    LEASE_EXPIRED,
    NO_CAPACITY,
    NO_TICKET,
    REFUSED,
    OTHER_INCARNATION,
    UNREACHABLE,
    CONNECTION_REFUSED,
)
# No connection was made: within its time limit, or since the host refused it.
NOT_CONNECTED = (UNREACHABLE, CONNECTION_REFUSED)


class Start(typing.NamedTuple):
    """Start a run of a task."""

    task: str
    run: int
    spec: str
    lease_until_ms: int
    """On the worker's own clock; extends the lease of all that runs there."""
    epoch: int
    checkpoint: str
    ticket: str


class Stop(typing.NamedTuple):
    """Stop a run, also one that has not arrived yet: it is refused when it does."""

    task: str
    run: int
    epoch: int


class Pace(typing.NamedTuple):
    """Let a best-effort run work at a share of its speed."""

    task: str
    run: int
    percent: int
    epoch: int


class Poll(typing.NamedTuple):
    """Ask for all that runs and all ends after ``cursor``, which may be forgotten."""

    epoch: int
    cursor: int
    lease_until_ms: int | None
    """On the worker's own clock; None asks without extending anything."""
    wait_ms: int
    """How long the answer may wait for an end."""


class ListedRun(typing.NamedTuple):
    """One run that a worker works on."""

    task: str
    run: int
    checkpoint: str
    percent: int
    load: float
    """Serving tasks: tail latency in ms. Others: processor use in thousandths."""


class ListedEnd(typing.NamedTuple):
    """One run that has ended on a worker."""

    number: int
    """Rises with each end in one life of the worker."""
    task: str
    run: int
    how: str
    checkpoint: str


class OrderResult(typing.NamedTuple):
    """How a Start, Stop or Pace ended."""

    outcome: str
    clock_ms: int | None = None
    """The worker's clock when it answered."""
    detail: str = ""
    is_connection_lost: bool = False
    """The connection ended while the answer was awaited, as when a worker crashes."""


class PollResult(typing.NamedTuple):
    """How a Poll ended; the lists count only if the outcome is OK."""

    outcome: str
    clock_ms: int | None = None
    born_ms: int = 0
    """Which life answered; 0 if it does not say."""
    running: list[ListedRun] = []
    ended: list[ListedEnd] = []
    detail: str = ""
