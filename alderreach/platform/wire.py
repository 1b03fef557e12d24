"""Conversion between the platform's message bodies and the types of this project.

``bodies`` has the platform's names, types and ranges. What differs from them raises
``MalformedError``, whose text names the field.
"""

import collections
import hashlib

import msgspec

from alderreach.core import orders
from alderreach.core.generated import cell, common
from alderreach.platform import bodies

encode = msgspec.json.Encoder().encode
MalformedError = bodies.MalformedError


def submission(host, path, body, digest=b""):
    """Convert a job's body to a ``cell.SubmitJob``; raises ``MalformedError``.

    ``digest`` is that of the key that the caller sent.
    """
    job = bodies.read_job(body)
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
    bodies.check_target_id(target_id)
    decoded = bodies.read_announcement(body)
    bodies.check_address(decoded.address)
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
    decoded = bodies.read_config(body)
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
    return [cell.Ticket(*row) for row in bodies.read_advise_answer(body).good]


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
    decoded = bodies.read_worker_answer(body) if body else bodies.WorkerAnswer()
    outcome = OUTCOME_BY_STATUS.get(status, orders.UNKNOWN)
    if status == 409:
        outcome = OUTCOME_BY_REASON.get(decoded.reason, orders.UNKNOWN)
    return orders.OrderResult(outcome, _clock_ms(decoded), f"{status} {decoded.reason}")


def poll_result(status, body):
    """Convert a worker's answer to a poll to an ``orders.PollResult``."""
    if status != 200:
        result = order_result(status, body)
        return orders.PollResult(result.outcome, result.clock_ms, detail=result.detail)
    decoded = bodies.read_worker_answer(body)
    if decoded.clock_ms is None:
        raise MalformedError("clock_ms: missing in the answer to a poll")
    running = [
        orders.ListedRun(
            row.task, row.run, row.saved or "", int(row.percent), row.load or 0.0
        )
        for row in decoded.running
    ]
    ended = [
        orders.ListedEnd(row.number, row.task, row.run, row.how, row.saved or "")
        for row in decoded.ended
    ]
    return orders.PollResult(
        orders.OK,
        int(decoded.clock_ms),
        decoded.born,
        running,
        ended,
        has_more_ends=len(ended) >= MAX_LISTED_ENDS,
    )


def _clock_ms(decoded):
    return None if decoded.clock_ms is None else int(decoded.clock_ms)
