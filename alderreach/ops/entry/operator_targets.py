"""Operators' view of targets, asked of the owner of each failure domain."""

import concurrent.futures

from result import Err, Ok

from alderreach.core import codec, plain_objects
from alderreach.core.generated import common, errors, keeper, placer
from alderreach.ops.entry import operator_changes, operator_http, operator_maintenance

PEER_TIMEOUT_MS = 1500
OWNER_PREFIX = "owner/"
ANY_VERSION = -1


def show(deps, request):
    """GET /v1/targets?failure_domain=&state= : targets as their owners see them."""
    known = operator_maintenance.failure_domains(deps.context.settings)
    asked = request.query.get("failure_domain", "")
    if asked and asked not in known:
        detail = f"failure_domain must be one of {', '.join(known)}"
        return operator_http.refuse(errors.Kind.MALFORMED_REQUEST, detail)
    domains = [asked] if asked else known
    state = request.query.get("state", "")
    replies = ask_owners(deps, domains)
    rows = [
        plain_objects.to_object(row)
        for reply in replies.values()
        if reply is not None
        for row in reply.targets
        if state in ("", row.state)
    ]
    silent = sorted(domain for domain, reply in replies.items() if reply is None)
    return Ok({"targets": rows, "unreachable": silent})


def ask_owners(deps, domains):
    """The ``TargetReply`` of each domain's owner, None where no owner answered."""
    with concurrent.futures.ThreadPoolExecutor(max(1, len(domains))) as pool:
        replies = pool.map(lambda domain: _ask_owner(deps, domain), domains)
        return dict(zip(domains, replies, strict=True))


def _ask_owner(deps, domain):
    for address in owner_addresses(deps, domain):
        query = placer.TargetQuery("")
        reply = deps.gateway.ask_peer(address, query, PEER_TIMEOUT_MS)
        if reply is not None and reply.owned:
            return reply
    return None


def owner_addresses(deps, domain):
    """Where the owner of a domain may be: as last told, then its other placers."""
    item = deps.gateway.items.items.get(f"{OWNER_PREFIX}{domain}")
    addresses = []
    if item is not None:
        addresses.append(codec.decode(item.value, common.Owner).peer_address)
    for peer in deps.context.settings.peers:
        if peer.role == "placer" and peer.failure_domain == domain:
            addresses.append(peer.address)
    return list(dict.fromkeys(addresses))


def forget(deps, request):
    """POST /v1/targets/<id>/forget: the operator declares that its VM is dead.

    Tasks that were to stay on it may then start elsewhere; that is safe only if the VM
    surely runs no more, which the system can't find out by itself.
    """
    key = operator_http.check_key(request, deps.context.settings.limits.key_chars)
    if isinstance(key, Err):
        return key
    target_id = request.names["target_id"]
    value = codec.encode(request.operator)
    write = keeper.ItemWrite(f"target/{target_id}", ANY_VERSION, value)
    summary = f"target {target_id} declared dead"
    return operator_changes.commit(deps, request, [write], summary)
