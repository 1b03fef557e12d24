"""The platform's message bodies: field names, types and ranges of numbers.

These structures are used in this package only. Where a name of the platform misleads, a
comment says what the field holds. The platform omits fields that are 0, false or empty,
so absent fields get these values. Unknown fields are ignored.

Each number has a range, and a body with a number outside is malformed. The ranges are
far above what a cell of 10,000 workers needs, and narrow enough for all that is added
to stay within 64 bits: the demand of 100,000 jobs of 20,000 tasks, the durations of a
chain of 20,000 steps times its stretch, and the due time of a millionth occurrence.
"""

from typing import Annotated

import msgspec
from msgspec import Meta

COUNT_MAX = 10**9
# Of one task or worker: a million cores, or a petabyte.
RESOURCE_MAX = 10**9
# Of all that a customer has running.
CAP_MAX = 10**12
# About three years.
DURATION_MS_MAX = 10**11
# The year 5138, and any worker's own clock.
INSTANT_MS_MAX = 10**14
OCCURRENCES_MAX = 10**6
STRETCH_MAX = 1000
WEIGHT_MAX = 10**9
# Numbers that are compared, but never added.
ORDINAL_MAX = 2**62

Count = Annotated[int, Meta(ge=0, le=COUNT_MAX)]
Ordinal = Annotated[int, Meta(ge=0, le=ORDINAL_MAX)]
Amount = Annotated[float, Meta(ge=0, le=RESOURCE_MAX)]
Duration = Annotated[float, Meta(ge=0, le=DURATION_MS_MAX)]
Instant = Annotated[float, Meta(ge=0, le=INSTANT_MS_MAX)]
# Always a whole number, unlike other times.
Birth = Annotated[int, Meta(ge=0, le=INSTANT_MS_MAX)]
# The list of a configuration's mistakes also names negative ones.
Cap = Annotated[float, Meta(ge=-CAP_MAX, le=CAP_MAX)]
Weight = Annotated[float, Meta(ge=-WEIGHT_MAX, le=WEIGHT_MAX)]


class Step(msgspec.Struct):
    """A step of a job."""

    count: Count = 0
    cpu: Amount = 0  # thousandths of a core
    mem_mb: Amount = 0
    gpu: Amount = 0
    estimated_ms: Duration = 0
    after: list[Count] = []
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    requirements: str = ""  # one label, not several
    data_rack: str = ""
    anti_affinity: Count = 0  # maximum of the step's tasks on one worker
    allow_duplicates: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: Duration = 0  # serving tasks: upper bound of the tail latency
    fills: bool = False  # best effort: no processor time is reserved for it
    max_unavailable: Count = 0


class Job(msgspec.Struct):
    """The body of a job's submission."""

    spec: str
    steps: list[Step]
    repeat_count: Annotated[int, Meta(ge=0, le=OCCURRENCES_MAX)] = 0
    start_at_ms: Instant = 0  # Unix time of the first occurrence
    interval_ms: Duration = 0


class Capacity(msgspec.Struct):
    """A worker's capacity."""

    cpu: Amount = 0
    mem_mb: Amount = 0
    gpu: Amount = 0


class Announcement(msgspec.Struct):
    """A worker's heartbeat."""

    service: str
    address: str
    zone: str
    state: str
    capacity: Capacity
    labels: list[str]
    sequence: Ordinal
    clock_ms: Instant = -1
    born: Birth = 0  # Unix time of the start of this incarnation
    machine: str = ""


class Advice(msgspec.Struct):
    """When the permission service has to be asked, and how long that takes."""

    decision_ms: Duration = 0
    per_worker_ms: Duration = 0
    validity_ms: Duration = 0


class Route(msgspec.Struct):
    """A queue in the configuration."""

    name: str
    host: str
    path_prefix: str
    service: str
    timeout_ms: Duration
    target_latency_ms: Duration = 0
    priority: Count = 0
    max_attempts: Count = 1
    stretch: Annotated[float, Meta(ge=0, le=STRETCH_MAX)] = 1.0
    advice: Advice | None = None
    allow_anonymous: bool = False


class CustomerCap(msgspec.Struct):
    """The most that a customer may have running; 0 for no limit."""

    cpu: Cap = 0
    mem_mb: Cap = 0
    gpu: Cap = 0


class Tenant(msgspec.Struct):
    """A customer in the configuration."""

    name: str
    api_keys: list[str] = []
    priority: Count = 0
    weight: Weight = 1
    cap: CustomerCap = msgspec.field(default_factory=CustomerCap)


class Service(msgspec.Struct):
    """A pool of workers in the configuration."""

    name: str
    enforces_capacity: bool = False
    standby: bool = False


class Config(msgspec.Struct):
    """The operator's configuration."""

    version: Ordinal
    routes: list[Route]
    services: list[Service]
    tenants: list[Tenant] | None = None


class RunRow(msgspec.Struct, array_like=True):
    """A run that a worker lists as running."""

    task: str
    run: Count
    saved: str | None
    percent: Annotated[float, Meta(ge=0, le=100)]
    load: Annotated[float, Meta(ge=0, le=CAP_MAX)] | None = None


class EndRow(msgspec.Struct, array_like=True):
    """An end that a worker lists."""

    number: Ordinal
    task: str
    run: Count
    how: str
    saved: str | None


class WorkerAnswer(msgspec.Struct):
    """A worker's answer to an order or a poll."""

    clock_ms: Instant | None = None
    reason: str = ""
    born: Birth = 0
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
