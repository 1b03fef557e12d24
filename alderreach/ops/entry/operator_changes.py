"""Changes by operators: written once, recorded with their author, safe to resend.

Each change includes a ``Change`` item in the same command, so that the history holds
exactly the accepted changes. The history is bounded: an entry deletes the oldest
changes after every ``TRIM_EVERY`` changes that it has written.
"""

import hashlib
import itertools

from absl import logging
from result import Ok

from alderreach.core import codec
from alderreach.core.generated import common, errors, keeper
from alderreach.ops.entry import operator_http

KEEPER_TIMEOUT_MS = 5000
READ_TIMEOUT_MS = 2000
CHANGE_PREFIX = "change/"
CHANGES_KEPT = 1000
TRIM_EVERY = 100
MAX_SUMMARY_CHARS = 400
DIGEST_CHARS = 20

_changes_written = itertools.count(1)


def change_id(operator, idempotency_key):
    """Return the id of a change, which is the same for a resend through any entry."""
    text = f"{operator}\0{idempotency_key}".encode()
    return hashlib.sha256(text).hexdigest()[:DIGEST_CHARS]


def read(gateway, prefix):
    """Read all items under a prefix; from the entry's copy if there is no quorum.

    Returns ``(version, items by key, whether the read was current)``.
    """
    outcome = gateway.ask_keepers(keeper.ReadItems(prefix), READ_TIMEOUT_MS)
    page = codec.unpack(outcome.result) if outcome.status == "ok" else None
    if page is not None and page.is_ok():
        items = {item.key: item for item in page.ok_value.items}
        return page.ok_value.version, items, True
    return (*read_copy(gateway, prefix), False)


def read_copy(gateway, prefix):
    """Return the version of the entry's copy and its items under a prefix."""
    copy = gateway.items
    items = {key: item for key, item in copy.items.items() if key.startswith(prefix)}
    return copy.version, items


def commit(deps, request, writes, summary):
    """Write items for an operator: ``Ok({"result": "accepted", ...})`` or a refusal.

    ``writes`` are ``keeper.ItemWrite``; all of them are written or none. The keepers
    recognise a resend that is concurrent with the first attempt by its key; call
    ``find_earlier_result`` first to recognise a later one.
    """
    own_id = change_id(request.operator, request.idempotency_key)
    change = common.Change(
        own_id,
        request.operator,
        request.asked_wall_ms,
        digest(request),
        [write.key for write in writes],
        summary[:MAX_SUMMARY_CHARS],
    )
    record = keeper.ItemWrite(f"{CHANGE_PREFIX}{own_id}", -1, codec.encode(change))
    command = keeper.WriteItems(
        f"operator/{own_id}",
        request.operator,
        [*writes, record],
        "",
        0,
        request.asked_wall_ms,
    )
    outcome = deps.gateway.ask_keepers(command, KEEPER_TIMEOUT_MS)
    result = _result(outcome, writes)
    if result.is_ok():
        deps.context.timeline.record(
            "change_accepted",
            request_id=own_id,
            detail=f"{request.operator}: {summary[:MAX_SUMMARY_CHARS]}",
        )
        _trim_periodically(deps)
    return result


def no_quorum():
    """Return the refusal of a change that this attempt certainly did not append."""
    detail = "nothing was changed; try an entry of another failure domain, or later"
    return operator_http.refuse(errors.Kind.NO_QUORUM, detail)


def _result(outcome, writes):
    if outcome.status == "no_quorum":
        return no_quorum()
    if outcome.status != "ok":
        detail = "resend with the same Idempotency-Key to learn whether it was accepted"
        return operator_http.refuse(errors.Kind.WRITE_UNCONFIRMED, detail)
    result = codec.unpack(outcome.result).unwrap()
    if result.status == "accepted":
        return _accepted(result.version, [write.key for write in writes])
    if result.status == "conflict":
        return _conflict(result.conflicts)
    if result.status == "key_reused":
        return _key_reused()
    detail = f"the keepers answered {result.status}"
    return operator_http.refuse(errors.Kind.INTERNAL, detail)


def _conflict(conflicts):
    descriptions = [
        f"{entry.key} was changed by {entry.author or 'the system'}"
        f" in version {entry.version}"
        for entry in conflicts
    ]
    detail = (
        "; ".join(descriptions)
        + ". Nothing was changed: read it again and decide anew."
    )
    documents = [entry._asdict() for entry in conflicts]
    return operator_http.refuse(errors.Kind.CONFLICT, detail, conflicts=documents)


def _accepted(version, keys):
    return Ok({"result": "accepted", "version": version, "keys": keys})


def _key_reused():
    detail = "this Idempotency-Key was used for another change; make a fresh one"
    return operator_http.refuse(errors.Kind.KEY_REUSED, detail)


def find_earlier_result(deps, request):
    """Return the result of this change if it was accepted before, else None.

    The answer to an accepted change can be lost. Its resend must get the same answer,
    whatever others have changed since: if it were checked again, it could be refused
    for a mistake that was introduced later, or for a conflict with itself.
    """
    key = f"{CHANGE_PREFIX}{change_id(request.operator, request.idempotency_key)}"
    _version, items, _current = read(deps.gateway, key)
    if key not in items:
        return None
    change = codec.decode(items[key].value, common.Change)
    if change.digest != digest(request):
        return _key_reused()
    return _accepted(items[key].version, change.keys)


def digest(request):
    """Return a hash of a request's content."""
    content = f"{request.method} {request.path}\0".encode() + request.body
    return hashlib.sha256(content).hexdigest()[:DIGEST_CHARS]


def _trim_periodically(deps):
    if next(_changes_written) % TRIM_EVERY:
        return
    _version, items, _current = read(deps.gateway, CHANGE_PREFIX)
    oldest = sorted(items.values(), key=lambda item: item.version)[:-CHANGES_KEPT]
    if not oldest:
        return
    writes = [keeper.ItemWrite(item.key, item.version, None) for item in oldest]
    wall_ms = deps.context.clock.wall_ms()
    command = keeper.WriteItems("", "history", writes, "", 0, wall_ms)
    deps.gateway.request(command, _log_trim, KEEPER_TIMEOUT_MS)


def _log_trim(outcome):
    logging.info("oldest changes of the history deleted: %s", outcome.status)
