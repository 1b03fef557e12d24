"""The platform's message bodies: field names, types and ranges of numbers.

These structures are used in this package only. Where a name of the platform misleads, a
comment says what the field holds. The platform omits fields that are 0, false or empty,
so absent fields get these values. A worker's heartbeat has all its fields, so one that
lacks any comes from another writer. Unknown fields are ignored.

Each number has a range of ``core/ranges.py``, and a body with a number outside is
malformed.
"""

import ipaddress
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from alderreach.core import ranges

Name = Annotated[str, Meta(min_length=1)]
# It is sent back in the header of each call.
TargetId = Annotated[str, Meta(pattern="^[!-~]{1,200}$")]
Port = Annotated[int, Meta(ge=1, le=65535)]


class Step(msgspec.Struct):
    """A step of a job."""

    count: ranges.Count = 0
    cpu: ranges.Amount = 0  # thousandths of a core
    mem_mb: ranges.Amount = 0
    gpu: ranges.Amount = 0
    estimated_ms: ranges.Duration = 0
    after: list[ranges.Count] = []
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    requirements: str = ""  # one label, not several
    data_rack: str = ""
    anti_affinity: ranges.Count = 0  # maximum of the step's tasks on one worker
    allow_duplicates: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: ranges.Duration = 0  # serving tasks: upper bound of the tail latency
    fills: bool = False  # best effort: no processor time is reserved for it
    max_unavailable: ranges.Count = 0


class Job(msgspec.Struct):
    """The body of a job's submission."""

    spec: str
    steps: list[Step]
    repeat_count: ranges.Occurrences = 0
    start_at_ms: ranges.Instant = 0  # Unix time of the first occurrence
    interval_ms: ranges.Duration = 0


class Capacity(msgspec.Struct):
    """A worker's capacity."""

    cpu: ranges.Amount
    mem_mb: ranges.Amount
    gpu: ranges.Amount = 0


class Announcement(msgspec.Struct):
    """A worker's heartbeat."""

    service: Name
    address: str
    zone: Name
    version: str
    slots: ranges.Count
    state: Literal["ready", "draining"]
    cold_remaining_ms: ranges.Duration
    capacity: Capacity
    labels: list[str]
    sequence: ranges.Ordinal
    clock_ms: ranges.Instant
    born: ranges.Birth = 0  # Unix time of the start of this incarnation
    machine: str = ""


class Advice(msgspec.Struct):
    """When the permission service has to be asked, and how long that takes."""

    decision_ms: ranges.Duration = 0
    per_worker_ms: ranges.Duration = 0
    validity_ms: ranges.Duration = 0


class Route(msgspec.Struct):
    """A queue in the configuration."""

    name: str
    host: str
    path_prefix: str
    service: str
    timeout_ms: ranges.Duration
    target_latency_ms: ranges.Duration = 0
    priority: ranges.Count = 0
    max_attempts: ranges.Count = 1
    stretch: ranges.Stretch = 1.0
    advice: Advice | None = None
    allow_anonymous: bool = False


class CustomerCap(msgspec.Struct):
    """The most that a customer may have running; 0 for no limit."""

    cpu: ranges.Cap = 0
    mem_mb: ranges.Cap = 0
    gpu: ranges.Cap = 0


class Tenant(msgspec.Struct):
    """A customer in the configuration."""

    name: str
    api_keys: list[str] = []
    priority: ranges.Count = 0
    weight: ranges.Weight = 1
    cap: CustomerCap = msgspec.field(default_factory=CustomerCap)


class Service(msgspec.Struct):
    """A pool of workers in the configuration."""

    name: str
    enforces_capacity: bool = False
    standby: bool = False


class Config(msgspec.Struct):
    """The operator's configuration."""

    version: ranges.Ordinal
    routes: list[Route]
    services: list[Service]
    tenants: list[Tenant] | None = None


class RunRow(msgspec.Struct, array_like=True):
    """A run that a worker lists as running."""

    task: str
    run: ranges.Count
    saved: str | None
    percent: ranges.Percent
    load: ranges.Load | None = None


class EndRow(msgspec.Struct, array_like=True):
    """An end that a worker lists."""

    number: ranges.Ordinal
    task: str
    run: ranges.Count
    how: str
    saved: str | None


class WorkerAnswer(msgspec.Struct):
    """A worker's answer to an order or a poll."""

    clock_ms: ranges.Instant | None = None
    reason: str = ""
    born: ranges.Birth = 0
    running: list[RunRow] = []
    ended: list[EndRow] = []


class AdviseAnswer(msgspec.Struct):
    """The permission service's answer."""

    good: list[tuple[str, str]] = []


class MalformedError(ValueError):
    """A body that violates the protocol; the message says how."""

    status = 400


class TooLargeError(MalformedError):
    """A body that exceeds the listener's limit."""

    status = 413


def _reader(kind):
    """Return a function that decodes a body as ``kind``.

    It raises ``MalformedError``, which names the field that is missing, of another type
    or out of range.
    """
    decode = msgspec.json.Decoder(kind).decode

    def read(body):
        try:
            return decode(body)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            raise MalformedError(str(error)) from error

    return read


read_job = _reader(Job)
read_announcement = _reader(Announcement)
read_config = _reader(Config)
read_worker_answer = _reader(WorkerAnswer)
read_advise_answer = _reader(AdviseAnswer)


def check_target_id(target_id):
    """Raise ``MalformedError`` unless a worker's id can be sent in a header."""
    try:
        msgspec.convert(target_id, TargetId)
    except msgspec.ValidationError as error:
        raise MalformedError(f"worker id: {error}") from error


def check_address(address):
    """Raise ``MalformedError`` unless an address is an IP number and a port."""
    host, _, port = address.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
        msgspec.convert(port, Port, strict=False)
    except ValueError as error:
        raise MalformedError(f"address: no IP number and port: {error}") from error
