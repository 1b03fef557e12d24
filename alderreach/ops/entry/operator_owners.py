"""Queries from operators to the owners of failure domains."""

import concurrent.futures

from alderreach.core import codec
from alderreach.core.generated import common

PEER_TIMEOUT_MS = 1500
OWNER_PREFIX = "owner/"


def failure_domains(settings):
    """Return the failure domains of this process and of all peers in the settings."""
    names = {peer.failure_domain for peer in settings.peers}
    return sorted(names | {settings.process.failure_domain})


def ask_owners(deps, domains, message):
    """Query all owners; return their replies by domain, None if none came in time."""
    with concurrent.futures.ThreadPoolExecutor(max(1, len(domains))) as pool:
        replies = pool.map(lambda domain: ask_owner(deps, domain, message), domains)
        return dict(zip(domains, replies, strict=True))


def ask_owner(deps, domain, message):
    """Return the reply of a domain's owner; None if no placer answers as owner."""
    for address in _addresses(deps, domain):
        reply = deps.gateway.ask_peer(address, message, PEER_TIMEOUT_MS)
        if reply is not None and reply.owned:
            return reply
    return None


def _addresses(deps, domain):
    """Return the last known owner's address, then the domain's other placers."""
    item = deps.gateway.items.items.get(f"{OWNER_PREFIX}{domain}")
    addresses = []
    if item is not None:
        addresses.append(codec.decode(item.value, common.Owner).peer_address)
    for peer in deps.context.settings.peers:
        if peer.role == "placer" and peer.failure_domain == domain:
            addresses.append(peer.address)
    return list(dict.fromkeys(addresses))
