"""Targets for operators, as reported by the owner of each failure domain."""

from result import Err, Ok

from alderreach.core import codec, plain_objects
from alderreach.core.generated import errors, keeper, placer
from alderreach.ops.entry import operator_changes, operator_http, operator_owners

ANY_VERSION = -1


def show(deps, request):
    """GET /v1/targets?failure_domain=&state= : targets as their owners see them."""
    known = operator_owners.failure_domains(deps.context.settings)
    requested = request.query.get("failure_domain", "")
    if requested and requested not in known:
        detail = f"failure_domain must be one of {', '.join(known)}"
        return operator_http.refuse(errors.Kind.MALFORMED_REQUEST, detail)
    domains = [requested] if requested else known
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

    Tasks that were to stay on it may then start elsewhere. That is safe only if the VM
    has certainly stopped, which the system can't find out by itself.
    """
    key = operator_http.check_key(request, deps.context.settings.limits)
    if isinstance(key, Err):
        return key
    target_id = request.path_params["target_id"]
    earlier = operator_changes.find_earlier_result(deps, request)
    if earlier is not None:
        return earlier
    checked = _check_may_forget(deps, target_id)
    if isinstance(checked, Err):
        return checked
    value = codec.encode(request.operator)
    write = keeper.ItemWrite(f"target/{target_id}", ANY_VERSION, value)
    summary = f"target {target_id} declared dead"
    return operator_changes.commit(deps, request, [write], summary)


def _check_may_forget(deps, target_id):
    """Refuse an unknown name, a runner, and a worker that still announces itself.

    If a running worker were declared dead, its tasks would also start elsewhere. A
    misspelt name would stay recorded and later apply to a new target of that name.
    """
    domains = operator_owners.failure_domains(deps.context.settings)
    replies = operator_owners.ask_owners(deps, domains, placer.TargetQuery(""))
    rows = [row for reply in replies.values() if reply for row in reply.targets]
    row = next((row for row in rows if row.target_id == target_id), None)
    if row is None:
        silent = [domain for domain, reply in replies.items() if reply is None]
        detail = f"no owner knows a target {target_id!r}"
        if silent:
            requested = ", ".join(silent)
            detail += (
                f"; the owners of {requested} do not answer, ask again when they do"
            )
            return operator_http.refuse(errors.Kind.NO_OWNER, detail)
        return operator_http.refuse(errors.Kind.NOT_FOUND, detail)
    if row.kind != "worker":
        detail = f"{target_id} is a runner: declare the worker on {row.vm} dead instead"
        return operator_http.refuse(errors.Kind.MALFORMED_REQUEST, detail)
    if row.state == "ready":
        detail = f"{target_id} announces itself and is not dead; stop its VM first"
        return operator_http.refuse(errors.Kind.MALFORMED_REQUEST, detail)
    return Ok(row)
