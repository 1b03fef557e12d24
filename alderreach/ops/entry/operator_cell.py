"""The whole cell for operators: the state of every process and the time line.

Each query goes to all processes of the cell concurrently, including this one. A process
that does not answer in time is listed as unreachable, so that a missing answer is not
mistaken for an idle process.
"""

import concurrent.futures

from result import Err, Ok

from alderreach.core.generated import common
from alderreach.core.generated import settings as settings_schema
from alderreach.ops.entry import operator_http
from alderreach.utils import timeline as timeline_events

PEER_TIMEOUT_MS = 1500
MAX_THREADS = 64
EVENTS_DEFAULT = 200
MAX_EVENTS = 20_000


def status(deps, _request):
    """GET /v1/status: every process, its version in force and whether it lags."""
    answers = ask_all(deps, common.StatusQuery(""))
    replies = {name: reply for name, reply in answers.items() if reply is not None}
    newest = max((reply.version_in_force for reply in replies.values()), default=0)
    rows = [_row(peer, replies.get(peer.name), newest) for peer in _all_peers(deps)]
    return Ok(
        {
            "version": newest,
            "quorum": any(row["state"] == "leader" for row in rows),
            "processes": rows,
            "lagging": [row["process"] for row in rows if row["lagging"]],
            "unreachable": [row["process"] for row in rows if not row["reachable"]],
        }
    )


def _row(peer, reply, newest):
    row = {
        "process": peer.name,
        "role": peer.role,
        "failure_domain": peer.failure_domain,
        "reachable": reply is not None,
        "state": "unreachable",
        "boot_id": "",
        "version_in_force": 0,
        "lagging": False,
        "detail": {},
    }
    if reply is None:
        return row
    return row | {
        "state": reply.state,
        "boot_id": reply.boot_id,
        "version_in_force": reply.version_in_force,
        "lagging": reply.version_in_force < newest,
        "detail": reply.detail,
    }


def timeline(deps, request):
    """GET /v1/timeline: the merged events of all processes, oldest first."""
    limit = operator_http.read_count(request, "limit", EVENTS_DEFAULT, MAX_EVENTS)
    if isinstance(limit, Err):
        return limit
    query = common.TimelineQuery(
        "",
        limit.ok_value,
        request.query.get("request", ""),
        request.query.get("job", ""),
        request.query.get("target", ""),
        request.query.get("team", ""),
    )
    answers = ask_all(deps, query)
    pages = [page.events for page in answers.values() if page is not None]
    events = timeline_events.merge(pages)[-limit.ok_value :]
    missing = sorted(name for name, page in answers.items() if page is None)
    shown = [event._asdict() for event in events]
    return Ok({"events": shown, "unreachable": missing})


def ask_all(deps, message):
    """Query all processes; return replies by name, None if none came in time."""
    peers = _all_peers(deps)

    def ask(peer):
        return deps.gateway.ask_peer(peer.address, message, PEER_TIMEOUT_MS)

    with concurrent.futures.ThreadPoolExecutor(min(MAX_THREADS, len(peers))) as pool:
        replies = list(pool.map(ask, peers))
    return {peer.name: reply for peer, reply in zip(peers, replies, strict=True)}


def _all_peers(deps):
    """Return all processes, sorted by name; this one is queried over its own socket."""
    settings = deps.context.settings
    own = (settings.process.name, "entry", settings.process.failure_domain)
    peers = [*settings.peers, settings_schema.Peer(*own, settings.listen.peers)]
    return sorted(peers, key=lambda peer: peer.name)
