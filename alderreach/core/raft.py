"""Quorum agreement among the keepers: its calls, and what a follower accepts.

The protocol is Raft's: one leader a term, elected by a majority of voters, whose log
wins. Everything is a function of the node's state, a message and the time; nothing is
sent or synced here. The driver does, in this order: ``step``/``tick``/``propose``, then
``raft_leader.prepare``, sends ``node.early``, writes and syncs ``pop_write``, calls
``on_synced``, and only then sends ``node.outbox``. A vote or an acknowledgement therefore
never leaves before what it promises is on disk.

Failures these rules answer beyond the plain protocol:

- *A voter comes back from a long silent cut.* It would ask for votes in a higher term
  and depose a leader that serves well. A candidate therefore first asks on trial
  (pre-vote), and a voter that heard from a leader within the election timeout refuses.
- *A leader is cut off from the majority, or frozen and resumed.* It would go on
  refusing and promising things. It steps down when a majority of voters has been
  silent for an election timeout, which ``tick`` checks before anything else happens.
- *A voter lost its disk.* It would vote again in a term it voted in, or for a candidate
  that lacks entries it had acknowledged. Messages name the identity they are meant for,
  and identities live and die with the disk; see ``founding``.

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
    """Write a fresh cell's first entry, its membership, in a term yet unheard of."""
    raft_election.adopt_term(node, term)
    node.voted_for = node.identity
    data = codec.encode(keeper.MemberList(members))
    raft_state.append(node, [keeper.LogEntry(term, wall_ms, "members", data)])


def tick(node, now_ms):
    """Let time pass: step down, beat, or ask to be elected."""
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


def propose(node, kind, data, wall_ms, now_ms):
    """Append an entry as leader; returns its index, or None if it surely was not.

    A leader that lost its quorum, or whose uncommitted entries pile up, refuses. The
    first entry of its term is taken all the same: without it nothing older commits.
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
    """Append a membership; None while an earlier one is not committed yet.

    Also None before an entry of this term is committed: an older leader's uncommitted
    change could else be in force beside this one, with disjoint majorities.
    """
    if not node.is_ready_leader or node.members_index > node.commit_index:
        return None
    data = codec.encode(keeper.MemberList(members))
    index = propose(node, "members", data, wall_ms, now_ms)
    if index is not None:
        raft_leader.follow_members(node, now_ms)
    return index


def step(node, message, now_ms):
    """Handle a message of another keeper; one meant for another identity is dropped."""
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
    """What must be synced now, or None."""
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
    """Note that all was written and synced; a leader counts its own copy."""
    node.synced_index = node.log.last_index
    if node.role == LEADER:
        raft_leader.advance_commit(node)


def _accept_leader(node, message, now_ms):
    """Accept the sender as leader of this term; False for one of an older term."""
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
        # Entries a snapshot covers are committed, so they match.
        entries = entries[node.log.base_index - previous :]
        previous = node.log.base_index
    elif node.log.term_at(previous) != message.previous_term:
        return False, _next_probe_index(node, previous)
    index = previous
    for place, entry in enumerate(entries):
        if node.log.term_at(index + 1) != entry.term:
            if index + 1 <= node.log.last_index:
                raft_state.truncate_from(node, index + 1)
            raft_state.append(node, entries[place:])
            break
        index += 1
    match_index = message.previous_index + len(message.entries)
    node.commit_index = max(
        node.commit_index, min(message.commit_index, match_index, node.log.last_index)
    )
    return True, match_index


def _next_probe_index(node, previous):
    """Skip a whole term that did not match, so that repair takes one trip per term."""
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
