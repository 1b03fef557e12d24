"""Maintenance windows: declared times at which VMs and racks are stopped.

A window that can't be met, for example because a service's runners would not fit
elsewhere, is accepted all the same, since the cell can't move the date of maintenance.
The answer warns of what can't be met, so that the operator can act before that date.
"""

from result import Err, Ok

from alderreach.core import codec, plain_objects
from alderreach.core.generated import common, errors, keeper, placer
from alderreach.decisions import maintenance
from alderreach.ops.entry import operator_changes, operator_http, operator_owners
from alderreach.parser import configuration

PREFIX = "maintenance/"
MAX_WINDOW_MS = configuration.MONTH_MS
MAX_NAMES = 10_000
ANY_VERSION = -1


def show(deps, _request):
    """GET /v1/maintenance: all windows, the earliest first."""
    _version, items, current = operator_changes.read(deps.gateway, PREFIX)
    windows = []
    for item in items.values():
        window = codec.decode(item.value, common.MaintenanceWindow)
        windows.append({"version": item.version} | plain_objects.to_object(window))
    windows.sort(key=lambda window: (window["start_wall_ms"], window["window_id"]))
    return Ok({"current": current, "windows": windows})


def add(deps, request):
    """POST /v1/maintenance: declare a window; an id is generated if none is given."""
    limits = deps.context.settings.limits
    body = operator_http.read_keyed_object(request, limits)
    if isinstance(body, Err):
        return body
    own_id = operator_changes.change_id(request.operator, request.idempotency_key)
    value = {"window_id": f"w-{own_id[:8]}", "vms": [], "racks": []} | body.ok_value
    window, found = plain_objects.from_object(common.MaintenanceWindow, value)
    if window is None:
        kind = errors.Kind.INVALID_CONFIGURATION
        return operator_http.refuse_fields(kind, found)
    now_ms = request.asked_wall_ms or deps.context.clock.wall_ms()
    mistakes = check(deps, window, now_ms)
    if mistakes:
        found = [(mistake.field, mistake.message) for mistake in mistakes]
        kind = errors.Kind.INVALID_CONFIGURATION
        return operator_http.refuse_fields(kind, found)
    write = keeper.ItemWrite(f"{PREFIX}{window.window_id}", 0, codec.encode(window))
    summary = f"maintenance of {_names(window)} declared"
    result = operator_changes.find_earlier_result(deps, request)
    if result is None:
        result = operator_changes.commit(deps, request, [write], summary)
    if isinstance(result, Err):
        return result
    warnings = _warnings(deps, window, now_ms)
    shown = {"window": plain_objects.to_object(window), "warnings": warnings}
    return Ok(result.ok_value | shown)


def _warnings(deps, window, now_ms):
    """Return why the window can't be met, according to the domain's owner."""
    domain = window.failure_domain
    reply = operator_owners.ask_owner(deps, domain, placer.TargetQuery(""))
    if reply is None:
        text = f"the owner of {domain} does not answer: can't tell whether work fits"
        return [text]
    return maintenance.check_window(window, reply.targets, now_wall_ms=now_ms)


def cancel(deps, request):
    """DELETE /v1/maintenance/<id>: withdraw a window."""
    key = operator_http.check_key(request, deps.context.settings.limits)
    if isinstance(key, Err):
        return key
    item_key = f"{PREFIX}{request.path_params['window_id']}"
    _version, items, current = operator_changes.read(deps.gateway, item_key)
    if not current:
        return operator_changes.no_quorum()
    earlier = operator_changes.find_earlier_result(deps, request)
    if earlier is not None:
        return earlier
    if item_key not in items:
        detail = f"no maintenance window {request.path_params['window_id']!r}"
        return operator_http.refuse(errors.Kind.NOT_FOUND, detail)
    write = keeper.ItemWrite(item_key, ANY_VERSION, None)
    return operator_changes.commit(deps, request, [write], f"{item_key} cancelled")


def check(deps, window, now_ms):
    """Return all mistakes of a window that is declared at ``now_ms``."""
    key = f"{PREFIX}{window.window_id}"
    mistakes = []

    def add_mistake(field, message):
        mistakes.append(configuration.Mistake(key, field, message))

    known = operator_owners.failure_domains(deps.context.settings)
    if not configuration.NAME.match(window.window_id):
        add_mistake("window_id", f"{window.window_id!r} {configuration.NAME_RULE}")
    if window.failure_domain not in known:
        add_mistake("failure_domain", f"must be one of {', '.join(known)}")
    if not window.vms and not window.racks:
        add_mistake("vms", "name at least one VM or rack")
    if len(window.vms) + len(window.racks) > MAX_NAMES:
        add_mistake("vms", f"name {MAX_NAMES} VMs and racks at most")
    if window.end_wall_ms <= window.start_wall_ms:
        add_mistake("end_wall_ms", "must be after the start")
    if window.end_wall_ms - window.start_wall_ms > MAX_WINDOW_MS:
        add_mistake("end_wall_ms", "must be within a month of the start")
    if window.end_wall_ms <= now_ms:
        add_mistake("end_wall_ms", "is past")
    return mistakes


def _names(window):
    return ", ".join([*window.vms, *(f"rack {rack}" for rack in window.racks)])
