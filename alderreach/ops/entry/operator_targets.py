"""Operators' view of targets, asked of the owner of each failure domain."""

from result import Err, Ok

from alderreach.core import codec, plain_objects
from alderreach.core.generated import errors, keeper, placer
from alderreach.ops.entry import operator_changes, operator_http, operator_owners

ANY_VERSION = -1


def show(deps, request):
    """GET /v1/targets?failure_domain=&state= : targets as their owners see them."""
    known = operator_owners.failure_domains(deps.context.settings)
    asked = request.query.get("failure_domain", "")
    if asked and asked not in known:
        detail = f"failure_domain must be one of {', '.join(known)}"
        return operator_http.refuse(errors.Kind.MALFORMED_REQUEST, detail)
    domains = [asked] if asked else known
    state = request.query.get("state", "")
    query = placer.TargetQuery("")
    replies = operator_owners.ask_owners(deps, domains, query)
    rows = [
        plain_objects.to_object(row)
        for reply in replies.values()
        if reply is not None
        for row in reply.targets
        if state in ("", row.state)
    ]
    silent = sorted(domain for domain, reply in replies.items() if reply is None)
    return Ok({"targets": rows, "unreachable": silent})


def forget(deps, request):
    """POST /v1/targets/<id>/forget: the operator declares that its VM is dead.

    Tasks that were to stay on it may then start elsewhere; that is safe only if the VM
    surely runs no more, which the system can't find out by itself.
    """
    key = operator_http.check_key(request, deps.context.settings.limits)
    if isinstance(key, Err):
        return key
    target_id = request.names["target_id"]
    value = codec.encode(request.operator)
    write = keeper.ItemWrite(f"target/{target_id}", ANY_VERSION, value)
    summary = f"target {target_id} declared dead"
    return operator_changes.commit(deps, request, [write], summary)
