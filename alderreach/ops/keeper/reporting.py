"""A keeper's status and gauges, and its events at startup and without a leader."""

from absl import logging

from alderreach.core import membership, raft_state
from alderreach.ops import daemon

# An election takes a second, also after all keepers have restarted.
LEADERLESS_INTERVAL_MS = 5000
GAUGES = ("term", "commit_index", "log_entries", "voters", "keys", "items")


def status_of(node, state, versions, ready, is_removed):
    """Return the ``RoleStatus``; ``versions`` maps followers to their versions."""
    voters = len(membership.voters(node.members))
    detail = {
        "term": node.term,
        "commit_index": node.commit_index,
        "applied_index": state.index,
        "log_entries": len(node.log.entries),
        "snapshot_index": node.snapshot.index if node.snapshot else 0,
        "voters": voters,
        "learners": len(node.members) - voters,
        "keys": len(state.keys.claims),
        "items": len(state.items),
    }
    for name, version in versions.items():
        detail[f"version.{name}"] = version
    state_name = _state_name(node, is_removed)
    return daemon.RoleStatus(state.version, state_name, ready, detail)


def record_opened_folder(timeline, opened):
    """Record in the time line what the data folder contained, and if it was torn."""
    if opened.torn_bytes:
        detail = f"a torn last record of {opened.torn_bytes} bytes was cut off"
        timeline.record("log_tail_cut", detail=detail)
        logging.warning("%s", detail)
    kind = "identity_made" if opened.is_new else "log_read"
    detail = f"{opened.identity}, log to {opened.log.last_index}"
    timeline.record(kind, epoch=opened.term, detail=detail)


def set_gauges(metrics, status):
    """Set the gauges of the status's main counts."""
    for name in GAUGES:
        metrics.gauge(f"keeper_{name}", status.detail[name])
    is_voter = status.state not in ("learner", "removed")
    metrics.gauge("keeper_is_voter", int(is_voter))


class LeaderlessReports:
    """Reports that a keeper has no leader, with what is known of each vote.

    The keepers that can't elect a leader would otherwise write nothing: only a leader
    reports votes that are missing. Used by the keeper's task.
    """

    def __init__(self, timeline, clock):
        self._timeline = timeline
        self._since_ms = clock.monotonic_ms()
        self._next_ms = self._since_ms + LEADERLESS_INTERVAL_MS
        self._is_reported = False

    def tick(self, node, is_led, now_ms):
        """Report ``no_leader`` while there is none, and once there is ``leader_back``.

        ``is_led`` tells whether this keeper leads with a quorum or hears a leader. A
        keeper without a membership is not reported here: it waits to be admitted.
        """
        if is_led or not node.members:
            if self._is_reported:
                detail = f"after {now_ms - self._since_ms} ms"
                self._timeline.record("leader_back", epoch=node.term, detail=detail)
            self._is_reported = False
            self._since_ms = now_ms
            self._next_ms = now_ms + LEADERLESS_INTERVAL_MS
        elif now_ms >= self._next_ms:
            self._is_reported = True
            self._next_ms = now_ms + LEADERLESS_INTERVAL_MS
            detail = f"for {now_ms - self._since_ms} ms; {describe_election(node)}"
            self._timeline.record("no_leader", epoch=node.term, detail=detail)


def describe_election(node):
    """Format a keeper's log and its latest candidacy as one line of text."""
    log = node.log
    parts = [f"{node.role}, log to {log.last_index} of term {log.last_term}"]
    if node.role == raft_state.LEADER:
        parts.append(f"committed to {node.commit_index}")
    if not node.is_voter:
        parts.append("has no vote")
    votes = ", ".join(
        f"{member.name} {_vote_of(node, member.identity)}"
        for member in node.members
        if member.voter
    )
    quorum = membership.quorum(node.members)
    return "; ".join([*parts, f"needs {quorum} votes: {votes}"])


def _state_name(node, is_removed):
    if is_removed:
        return "removed"
    return node.role if node.is_voter else "learner"


def _vote_of(node, identity):
    if identity == node.identity:
        return "itself"
    reply = node.vote_replies.get(identity)
    if reply is None:
        return "silent"
    return "granted" if reply.granted else f"refused in term {reply.term}"
