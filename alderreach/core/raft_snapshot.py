"""Snapshot transfer from the leader to a follower that is behind the leader's log.

The size of a chunk is bounded, so that a large snapshot neither fills the mailbox nor
delays the leader's heartbeats.
"""

from alderreach.core import raft_state
from alderreach.core.generated import keeper


def chunk(node, identity, progress):
    """Return the next chunk of the snapshot that is being sent to a follower."""
    snapshot = progress.snapshot
    data = snapshot.read(progress.offset, node.rules.chunk_bytes)
    return keeper.SnapshotChunk(
        identity,
        node.identity,
        node.name,
        node.term,
        snapshot.index,
        snapshot.term,
        progress.offset,
        snapshot.size,
        data,
    )


def receive(node, message):
    """Store a chunk and reply with the next offset; install the snapshot at its end.

    A chunk at another offset is dropped, and the reply names the offset expected.
    """
    if message.index <= node.commit_index:
        _reply(node, message, message.size)
        return
    incoming = node.incoming
    if incoming is None or incoming[:2] != (message.index, message.snapshot_term):
        node.sink.begin(message.index, message.snapshot_term)
        incoming = raft_state.IncomingSnapshot(message.index, message.snapshot_term, 0)
    if message.offset == incoming.offset:
        node.sink.write(message.data)
        incoming = incoming._replace(offset=incoming.offset + len(message.data))
    node.incoming = incoming
    if incoming.offset >= message.size:
        _finish(node, message)
    else:
        _reply(node, message, incoming.offset)


def _finish(node, message):
    node.incoming = None
    snapshot = node.sink.finish()
    if snapshot is None:
        _reply(node, message, 0)
        return
    _install(node, snapshot)
    _reply(node, message, message.size)


def _install(node, snapshot):
    """Continue from the snapshot; the log is kept only if it agrees with it."""
    if node.log.term_at(snapshot.index) != snapshot.term:
        node.log.reset(snapshot.index, snapshot.term)
        node.memberships = []
    node.snapshot = snapshot
    later = [entry for entry in node.memberships if entry[0] > snapshot.index]
    node.memberships = [(snapshot.index, snapshot.members), *later]
    node.commit_index = snapshot.index
    node.installed_snapshot = snapshot


def _reply(node, message, offset):
    reply = keeper.SnapshotReply(
        message.leader, node.identity, node.term, message.index, offset
    )
    node.outbox.append((message.leader, reply))
