"""Conversion between the platform's message bodies and the types of this project.

The structures below have the platform's field names and are used in this package only.
Where such a name misleads, a comment says what the field holds. The platform omits
fields that are 0, false or empty, so absent fields get these values. Unknown fields are
ignored.
"""

import collections
import hashlib

import msgspec

from alderreach.core import orders
from alderreach.core.generated import cell, common


class _Step(msgspec.Struct):
    count: int = 0
    cpu: float = 0  # thousandths of a core
    mem_mb: float = 0
    gpu: float = 0
    estimated_ms: float = 0
    after: list[int] = []
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    requirements: str = ""  # one label, not several
    data_rack: str = ""
    anti_affinity: int = 0  # maximum of the step's tasks on one worker
    allow_duplicates: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: float = 0  # serving tasks: upper bound of the tail latency
    fills: bool = False  # best effort: no processor time is reserved for it
    max_unavailable: int = 0


class _Job(msgspec.Struct):
    spec: str
    steps: list[_Step]
    repeat_count: int = 0
    start_at_ms: float = 0  # Unix time of the first occurrence
    interval_ms: float = 0


class _Capacity(msgspec.Struct):
    cpu: float = 0
    mem_mb: float = 0
    gpu: float = 0


class _Announcement(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: str
    capacity: _Capacity
    labels: list[str]
    sequence: int
    clock_ms: float = -1
    born: int = 0  # Unix time of the start of this incarnation
    machine: str = ""


class _Advice(msgspec.Struct):
    decision_ms: float = 0
    per_worker_ms: float = 0
    validity_ms: float = 0


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    service: str
    timeout_ms: float
    target_latency_ms: float = 0
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    advice: _Advice | None = None
    allow_anonymous: bool = False


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int = 0
    weight: float = 1
    cap: _Capacity = msgspec.field(default_factory=_Capacity)


class _Service(msgspec.Struct):
    name: str
    enforces_capacity: bool = False
    standby: bool = False


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    tenants: list[_Tenant] | None = None


class _WorkerAnswer(msgspec.Struct):
    clock_ms: float | None = None
    reason: str = ""
    born: int = 0
    running: list[list] = []
    ended: list[list] = []


class _AdviseAnswer(msgspec.Struct):
    good: list[tuple[str, str]] = []


STATES = ("ready", "draining")
_decode_job = msgspec.json.Decoder(_Job).decode
_decode_announcement = msgspec.json.Decoder(_Announcement).decode
_decode_config = msgspec.json.Decoder(_Config).decode
_decode_worker_answer = msgspec.json.Decoder(_WorkerAnswer).decode
_decode_advise_answer = msgspec.json.Decoder(_AdviseAnswer).decode
encode = msgspec.json.Encoder().encode


class MalformedError(ValueError):
    """A body that violates the protocol; the message says how."""


def _decode(decode, body):
    try:
        return decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise MalformedError(str(error)) from error


def submission(host, path, body, digest=b""):
    """Convert a job's body to a ``cell.SubmitJob``; raises ``MalformedError``.

    ``digest`` is that of the key that the caller sent.
    """
    job = _decode(_decode_job, body)
    steps = [
        cell.Step(
            step.count,
            common.Resources(int(step.cpu), int(step.mem_mb), int(step.gpu)),
            int(step.estimated_ms),
            step.after,
            step.checkpointing,
            step.gang,
            step.same_rack,
            step.requirements,
            step.data_rack,
            step.anti_affinity,
            step.allow_duplicates,
            step.long_running,
            step.image,
            int(step.target_ms),
            step.fills,
            step.max_unavailable,
        )
        for step in job.steps
    ]
    return cell.SubmitJob(
        host,
        path,
        job.spec,
        steps,
        job.repeat_count,
        int(job.start_at_ms),
        int(job.interval_ms),
        digest,
    )


def announcement(target_id, body):
    """Convert a heartbeat to a ``cell.AnnounceTarget``; raises ``MalformedError``."""
    decoded = _decode(_decode_announcement, body)
    if decoded.state not in STATES:
        raise MalformedError(f"no such state: {decoded.state}")
    record = cell.TargetRecord(
        target_id,
        decoded.born,
        decoded.service,
        decoded.address,
        decoded.zone,
        _resources(decoded.capacity),
        decoded.labels,
        decoded.state,
        decoded.machine,
    )
    return cell.AnnounceTarget(record, decoded.sequence, int(decoded.clock_ms))


def configuration(body):
    """Convert a configuration's body to a ``cell.CellConfig``.

    Raises ``MalformedError`` naming all mistakes: a route to an unknown service, two
    routes with the same host and path prefix, a timeout that is not positive, two
    customers with the same name or a common key, an empty key, and a negative weight or
    cap. The message never contains a key.
    """
    decoded = _decode(_decode_config, body)
    mistakes = [*_route_mistakes(decoded), *_tenant_mistakes(decoded.tenants or [])]
    if mistakes:
        raise MalformedError("; ".join(mistakes))
    queues = [_queue_config(route) for route in decoded.routes]
    services = [
        cell.ServiceConfig(service.name, service.enforces_capacity, service.standby)
        for service in decoded.services
    ]
    customers = None
    if decoded.tenants is not None:
        customers = [_customer_config(tenant) for tenant in decoded.tenants]
    return cell.CellConfig(decoded.version, queues, services, body, customers)


def _route_mistakes(decoded):
    names = {service.name for service in decoded.services}
    locations = set()
    for route in decoded.routes:
        if route.service not in names:
            yield f"route {route.name} names unknown service {route.service}"
        if route.timeout_ms <= 0:
            yield f"route {route.name} has no timeout"
        location = (route.host, route.path_prefix)
        if location in locations:
            yield f"two routes at {route.host}{route.path_prefix}"
        locations.add(location)


def _tenant_mistakes(tenants):
    owners = collections.defaultdict(set)
    names = set()
    for tenant in tenants:
        if tenant.name in names:
            yield f"two customers are named {tenant.name}"
        names.add(tenant.name)
        if tenant.weight < 0 or min(msgspec.structs.astuple(tenant.cap)) < 0:
            yield f"customer {tenant.name} has a negative weight or cap"
        if not all(tenant.api_keys):
            yield f"customer {tenant.name} has an empty key"
        for key in tenant.api_keys:
            owners[key].add(tenant.name)
    shared = {tuple(sorted(group)) for group in owners.values() if len(group) > 1}
    for group in sorted(shared):
        yield f"customers {', '.join(group)} share a key"


def _customer_config(tenant):
    return cell.CustomerConfig(
        tenant.name,
        [key_digest(key.encode()) for key in tenant.api_keys],
        tenant.priority,
        tenant.weight,
        _resources(tenant.cap),
    )


def key_digest(key):
    """The digest by which a key, given as bytes, is known after it was received.

    Only the configuration as the operator sent it contains the keys themselves.
    """
    return hashlib.sha256(key).digest()


def _resources(capacity):
    return common.Resources(int(capacity.cpu), int(capacity.mem_mb), int(capacity.gpu))


def _queue_config(route):
    rule = None
    if route.advice is not None:
        rule = cell.PermissionRule(
            int(route.advice.decision_ms),
            route.advice.per_worker_ms,
            int(route.advice.validity_ms),
        )
    return cell.QueueConfig(
        route.name,
        route.host,
        route.path_prefix,
        route.service,
        route.priority,
        route.max_attempts,
        route.stretch,
        int(route.target_latency_ms),
        int(route.timeout_ms),
        rule,
        route.allow_anonymous,
    )


def start_body(order):
    """Encode the body of an order to start a run."""
    body = {
        "task": order.task,
        "run": order.run,
        "spec": order.spec,
        "until_ms": order.lease_until_ms,
        "fencing_token": order.fence,
    }
    if order.checkpoint:
        body["checkpoint"] = order.checkpoint
    if order.ticket:
        body["ticket"] = order.ticket
    return encode(body)


def stop_body(order):
    """Encode the body of an order to stop a run."""
    return encode({"task": order.task, "run": order.run, "fencing_token": order.fence})


def pace_body(order):
    """Encode the body of an order to pace a run."""
    return encode(
        {
            "task": order.task,
            "run": order.run,
            "percent": order.percent,
            "fencing_token": order.fence,
        }
    )


def poll_body(poll):
    """Encode the body of a poll."""
    body = {
        "fencing_token": poll.fence,
        "ack_cursor": poll.cursor,
        "wait_ms": poll.wait_ms,
    }
    if poll.lease_until_ms is not None:
        body["until_ms"] = poll.lease_until_ms
    return encode(body)


def advise_body(step, targets):
    """Encode the body of a query to the permission service."""
    return encode({"step": step, "workers": targets})


def tickets(body):
    """Convert the permission service's answer to a list of ``cell.Ticket``."""
    return [cell.Ticket(*row) for row in _decode(_decode_advise_answer, body).good]


# A worker lists this many ends at most.
MAX_LISTED_ENDS = 500
# Outcomes of an order by the reason of a worker's 409 answer.
OUTCOME_BY_REASON = {
    "fence": orders.FENCED,
    "old": orders.STALE_RUN,
    "late": orders.LEASE_EXPIRED,
    "room": orders.NO_CAPACITY,
    "ticket": orders.NO_TICKET,
}
# Outcomes of an order by the HTTP status of the other answers.
OUTCOME_BY_STATUS = {
    200: orders.OK,
    400: orders.REFUSED,
    421: orders.OTHER_INCARNATION,
    429: orders.REFUSED,
    503: orders.REFUSED,
}


def order_result(status, body):
    """Convert a worker's answer to an order to an ``orders.OrderResult``."""
    decoded = _decode(_decode_worker_answer, body) if body else _WorkerAnswer()
    outcome = OUTCOME_BY_STATUS.get(status, orders.UNKNOWN)
    if status == 409:
        outcome = OUTCOME_BY_REASON.get(decoded.reason, orders.UNKNOWN)
    return orders.OrderResult(outcome, _clock_ms(decoded), f"{status} {decoded.reason}")


def poll_result(status, body):
    """Convert a worker's answer to a poll to an ``orders.PollResult``."""
    if status != 200:
        result = order_result(status, body)
        return orders.PollResult(result.outcome, result.clock_ms, detail=result.detail)
    decoded = _decode(_decode_worker_answer, body)
    try:
        running = [_listed_run(row) for row in decoded.running]
        ended = [
            orders.ListedEnd(int(row[0]), row[1], int(row[2]), row[3], row[4] or "")
            for row in decoded.ended
        ]
    except (IndexError, TypeError, ValueError) as error:
        raise MalformedError(
            f"malformed row in a worker's list of runs: {error}"
        ) from error
    return orders.PollResult(
        orders.OK,
        _clock_ms(decoded),
        decoded.born,
        running,
        ended,
        has_more_ends=len(ended) >= MAX_LISTED_ENDS,
    )


def _listed_run(row):
    load = row[4] if len(row) > 4 and row[4] is not None else 0.0
    return orders.ListedRun(row[0], int(row[1]), row[2] or "", int(row[3]), float(load))


def _clock_ms(decoded):
    return None if decoded.clock_ms is None else int(decoded.clock_ms)
