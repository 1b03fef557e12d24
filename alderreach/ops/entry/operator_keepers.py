"""The keepers' membership: voters and learners, and changes of one member at a time.

A keeper that lost its disk rejoins by itself; these changes are for a VM that is
removed permanently and for a new one that is added.
"""

from result import Err, Ok

from alderreach.core import codec
from alderreach.core.generated import errors, keeper
from alderreach.ops.entry import operator_changes, operator_http

ACTIONS = ("add_learner", "promote", "remove")
TIMEOUT_MS = 5000


def show(deps, _request):
    """GET /v1/keepers: the membership in force."""
    return _ask(deps, keeper.ReadMembers())


def change(deps, request):
    """POST /v1/keepers/<identity>/<action>: add_learner, promote or remove.

    ``add_learner`` takes the keeper's ``name`` and ``address`` in the body. Each change
    names an identity and sets one property, so it can safely be repeated.
    """
    action = request.path_params["action"]
    if action not in ACTIONS:
        detail = f"the action must be one of {', '.join(ACTIONS)}"
        return operator_http.refuse(errors.Kind.MALFORMED_REQUEST, detail)
    body = {}
    if request.body:
        read = operator_http.read_object(request)
        if isinstance(read, Err):
            return read
        body = read.ok_value
    name, address = body.get("name", ""), body.get("address", "")
    if action == "add_learner" and not (_is_text(name) and _is_text(address)):
        detail = "add_learner needs the keeper's name and address"
        return operator_http.refuse(errors.Kind.MALFORMED_REQUEST, detail)
    identity = request.path_params["identity"]
    done = _ask(deps, keeper.ChangeMembers(action, identity, name, address))
    if done.is_ok():
        detail = f"{request.operator}: {action} {identity}"
        deps.context.timeline.record("membership_change_accepted", detail=detail)
    return done


def _is_text(value):
    return isinstance(value, str) and value != ""


def _ask(deps, command):
    outcome = deps.gateway.ask_keepers(command, TIMEOUT_MS)
    if outcome.status == "no_quorum":
        return operator_changes.no_quorum()
    if outcome.status != "ok":
        detail = "ask for the members to learn whether it was accepted"
        return operator_http.refuse(errors.Kind.WRITE_UNCONFIRMED, detail)
    result = codec.unpack(outcome.result).unwrap()
    if result.status != "accepted":
        return operator_http.refuse(errors.Kind.INVALID_CONFIGURATION, result.reason)
    return Ok({"members": [member._asdict() for member in result.members]})
