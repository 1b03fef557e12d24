"""Raft consensus among the keepers: the entry points and the follower's part.

There is one leader per term, elected by a majority of voters, and followers adopt its
log. Every function depends only on the node's state, a message and the time; nothing is
sent or synced here. The driver performs these steps in order:

1. call ``step``, ``tick`` or ``propose``
2. call ``raft_leader.queue_appends`` and send ``node.presync_outbox``
3. write and sync what ``pop_write`` returns, then call ``on_synced``
4. send ``node.outbox``

A vote or an acknowledgement is therefore never sent before it is durable.

These rules handle failures beyond the basic protocol:

- *A voter returns after a long partition.* It would request votes in a higher term and
  depose a working leader. A candidate therefore sends a pre-vote first (``trial``), and
  a voter that had contact with a leader within the election timeout refuses it.
- *A leader is partitioned from the majority, or frozen and resumed.* It would continue
  to refuse requests and make promises. It steps down when a majority of voters has been
  silent for an election timeout, which ``tick`` checks before anything else happens.
- *A voter lost its disk.* It could vote twice in a term, or vote for a candidate that
  lacks entries which the voter had acknowledged. Messages name the identity they are
  addressed to, and each identity belongs to one disk; see ``founding``.

>>> import random
>>> rules = raft_state.Rules(election_timeout_ms=1000, beat_ms=200)
>>> node = raft_state.Node("a1", "keeper-1", rules, random.Random(1), sink=None)
>>> found_cell(node, [keeper.Member("a1", "keeper-1", "", True, False)], 1, 1_000)
>>> tick(node, 2500)
>>> node.role, node.term
('leader', 2)
"""

from alderreach.core import codec, raft_election, raft_leader, raft_snapshot, raft_state
from alderreach.core.generated import keeper

FOLLOWER, CANDIDATE, LEADER = (
    raft_state.FOLLOWER,
    raft_state.CANDIDATE,
    raft_state.LEADER,
)
MAX_UNCOMMITTED_ENTRIES = 20_000


def found_cell(node, members, term, wall_ms):
    """Append the first entry of a new cell, its membership, in an unused term."""
    raft_election.adopt_term(node, term)
    node.voted_for = node.identity
    data = codec.encode(keeper.MemberList(members))
    raft_state.append(node, [keeper.LogEntry(term, wall_ms, "members", data)])


def tick(node, now_ms):
    """Handle the passing of time: send heartbeats or vote requests, or step down."""
    if node.role == LEADER:
        removed = not node.is_voter and node.members_index <= node.commit_index
        if removed or not raft_leader.has_quorum(node, now_ms):
            raft_election.become_follower(node, now_ms)
        else:
            raft_leader.send_heartbeats(node, now_ms)
    elif now_ms >= node.election_due_ms:
        raft_election.set_election_due(node, now_ms)
        if node.is_voter:
            raft_election.campaign(node, now_ms, trial=True)
    elif node.role == CANDIDATE and now_ms >= node.next_beat_ms:
        raft_election.request_votes(node, now_ms)


def propose(node, kind, data, wall_ms, now_ms):
    """Append an entry as leader; returns its index, or None if nothing was appended.

    A leader without a quorum, or with too many uncommitted entries, refuses. The first
    entry of its term is exempt from that limit, since no older entry commits before it.
    """
    if node.role != LEADER or not raft_leader.has_quorum(node, now_ms):
        return None
    is_first = node.log.last_index < node.first_index_of_term
    if (
        not is_first
        and node.log.last_index - node.commit_index >= MAX_UNCOMMITTED_ENTRIES
    ):
        return None
    last = node.log.entries[-1].wall_ms if node.log.entries else 0
    entry = keeper.LogEntry(node.term, max(wall_ms, last), kind, data)
    raft_state.append(node, [entry])
    return node.log.last_index


def propose_members(node, members, wall_ms, now_ms):
    """Append a membership; returns None while an earlier one is not committed.

    Also returns None before an entry of this term is committed. Otherwise an older
    leader's uncommitted change could be in effect at the same time as this one, and
    their majorities could be disjoint.
    """
    if not node.is_ready_leader or node.members_index > node.commit_index:
        return None
    data = codec.encode(keeper.MemberList(members))
    index = propose(node, "members", data, wall_ms, now_ms)
    if index is not None:
        raft_leader.follow_members(node, now_ms)
    return index


def step(node, message, now_ms):
    """Handle a message of another keeper; drop it if it is for another identity."""
    if message.to != node.identity:
        return
    if isinstance(message, keeper.RequestVote):
        raft_election.handle_vote_request(node, message, now_ms)
        return
    if message.term > node.term and not getattr(message, "trial", False):
        raft_election.adopt_term(node, message.term)
        raft_election.become_follower(node, now_ms)
    HANDLERS[type(message)](node, message, now_ms)


def pop_write(node):
    """Return the Write that must be synced now, or None, and mark it as written."""
    first = node.log.unsynced_from
    if first is None and not node.vote_changed:
        return None
    if first is None:
        first = node.log.last_index + 1
    entries = node.log.entries[first - node.log.base_index - 1 :]
    node.vote_changed = False
    node.log.unsynced_from = None
    return raft_state.Write(node.term, node.voted_for, first, entries)


def on_synced(node):
    """Record that the log is synced; a leader then counts its own copy."""
    node.synced_index = node.log.last_index
    if node.role == LEADER:
        raft_leader.advance_commit(node)


def _accept_leader(node, message, now_ms):
    """Accept the sender as leader of this term; False if its term is older."""
    if message.term < node.term:
        return False
    if node.role == CANDIDATE:
        raft_election.become_follower(node, now_ms)
    node.leader, node.leader_name = message.leader, message.leader_name
    node.last_contact_ms = now_ms
    raft_election.set_election_due(node, now_ms)
    return True


def _handle_append(node, message, now_ms):
    following = _accept_leader(node, message, now_ms)
    accepted, match_index = False, node.log.last_index
    if following:
        accepted, match_index = _store_entries(node, message)
    reply = keeper.AppendReply(
        message.leader,
        node.identity,
        node.term,
        accepted,
        message.previous_index,
        match_index,
        message.round,
    )
    node.outbox.append((message.leader, reply))


def _store_entries(node, message):
    previous, entries = message.previous_index, message.entries
    if previous < node.log.base_index:
        # Entries covered by a snapshot are committed, so they match.
        entries = entries[node.log.base_index - previous :]
        previous = node.log.base_index
    elif node.log.term_at(previous) != message.previous_term:
        return False, _next_probe_index(node, previous)
    index = previous
    for position, entry in enumerate(entries):
        if node.log.term_at(index + 1) != entry.term:
            if index + 1 <= node.log.last_index:
                raft_state.truncate_from(node, index + 1)
            raft_state.append(node, entries[position:])
            break
        index += 1
    match_index = message.previous_index + len(message.entries)
    node.commit_index = max(
        node.commit_index, min(message.commit_index, match_index, node.log.last_index)
    )
    return True, match_index


def _next_probe_index(node, previous):
    """Return where the leader should probe next after a mismatch.

    It skips all entries of the mismatched term, so that finding the common prefix takes
    one round trip per term.
    """
    if previous > node.log.last_index:
        return node.log.last_index
    return max(node.log.first_of_term(previous) - 1, node.commit_index)


def _handle_take_over(node, message, now_ms):
    if message.term == node.term and message.leader == node.leader and node.is_voter:
        node.transfer = True
        raft_election.campaign(node, now_ms, trial=False)


def _handle_chunk(node, message, now_ms):
    if _accept_leader(node, message, now_ms):
        raft_snapshot.receive(node, message)


HANDLERS = {
    keeper.VoteReply: raft_election.handle_vote_reply,
    keeper.AppendEntries: _handle_append,
    keeper.AppendReply: raft_leader.handle_append_reply,
    keeper.SnapshotChunk: _handle_chunk,
    keeper.SnapshotReply: raft_leader.handle_snapshot_reply,
    keeper.TakeOver: _handle_take_over,
}
MESSAGES = (keeper.RequestVote, *HANDLERS)
