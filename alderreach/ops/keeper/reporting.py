"""A keeper's status and gauges, and its events at startup."""

from absl import logging

from alderreach.core import membership
from alderreach.ops import daemon

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


def _state_name(node, is_removed):
    if is_removed:
        return "removed"
    return node.role if node.is_voter else "learner"
