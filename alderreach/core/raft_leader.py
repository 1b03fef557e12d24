"""The leader's part of Raft: replication, commit and confirmation of reads.

Entries are sent in batches, with several batches in flight to a follower. When a batch
is lost, the follower refuses the next one, and the leader probes with single messages
until one matches. Snapshots are sent in chunks, one in flight at a time.
"""

from alderreach.core import membership, raft_snapshot, raft_state
from alderreach.core.generated import keeper

# The leader knows when this many rounds began; replies to earlier ones are too old to
# extend any lease.
MAX_ROUNDS = 1000


def become_leader(node, now_ms):
    """Lead the current term; the driver proposes the term's first entry at once."""
    node.role = raft_state.LEADER
    node.leader, node.leader_name = node.identity, node.name
    node.elected_ms = now_ms
    node.progress = {}
    node.round_requested = False
    node.transfer = False
    node.first_index_of_term = node.log.last_index + 1
    node.next_beat_ms = now_ms
    follow_members(node, now_ms)
    _begin_round(node, now_ms)


def follow_members(node, now_ms):
    """Keep one ``Progress`` for each other member and drop those of removed members."""
    others = [m.identity for m in node.members if m.identity != node.identity]
    next_index = node.log.last_index + 1
    node.progress = {
        identity: node.progress.get(identity) or raft_state.Progress(next_index, now_ms)
        for identity in others
    }


def has_quorum(node, now_ms):
    """Whether a majority of voters responded within the election timeout."""
    last_contact_ms = membership.quorum_value(
        node.members,
        lambda identity: (
            now_ms if identity == node.identity else _last_contact_ms(node, identity)
        ),
    )
    return now_ms - last_contact_ms < node.rules.election_timeout_ms


def confirmed_ms(node, now_ms):
    """Return a time until when it is certain that no newer leader had been elected.

    ``has_quorum`` counts a reply from its arrival. That can be long after the follower
    sent it and has elected another leader, such as after this process was frozen.
    """
    return membership.quorum_value(
        node.members,
        lambda identity: (
            now_ms if identity == node.identity else _confirmed_ms(node, identity)
        ),
    )


def request_round(node):
    """Request a round; returns its number, to be compared with ``confirmed_round``.

    Once a majority has answered that round, it is certain that no newer leader had been
    elected when the round was requested, since the voters that answered had not moved
    to a newer term.
    """
    node.round_requested = True
    return node.round + 1


def confirmed_round(node):
    """Return the newest round that a majority of voters has answered."""
    return membership.quorum_value(
        node.members,
        lambda identity: (
            node.round if identity == node.identity else _answered_round(node, identity)
        ),
    )


def send_heartbeats(node, now_ms):
    """Send heartbeats if they are due, and resend snapshot chunks without an answer."""
    if now_ms >= node.next_beat_ms:
        node.next_beat_ms = now_ms + node.rules.beat_ms
        _begin_round(node, now_ms)
        for identity, progress in node.progress.items():
            progress.probe_sent = False
            if progress.snapshot is not None:
                if now_ms - progress.sent_ms >= node.rules.beat_ms:
                    _send_chunk(node, identity, progress, now_ms)
            else:
                _send_append(node, identity, progress, now_ms, even_empty=True)


def announce_commit(node, now_ms):
    """Send the commit index before the next heartbeat, so that followers apply it."""
    for identity, progress in node.progress.items():
        if progress.snapshot is None:
            _send_append(node, identity, progress, now_ms, even_empty=True)


def queue_appends(node, now_ms):
    """Queue new entries for all followers; start a round if a read requested one."""
    if node.role != raft_state.LEADER:
        return
    even_empty = node.round_requested
    if node.round_requested:
        node.round_requested = False
        _begin_round(node, now_ms)
    for identity, progress in node.progress.items():
        _replicate(node, identity, progress, now_ms, even_empty)


def handle_append_reply(node, message, now_ms):
    """Update a follower's progress from its reply."""
    progress = node.progress.get(message.follower)
    if progress is None or message.term != node.term:
        return
    progress.last_contact_ms = now_ms
    progress.round = max(progress.round, message.round)
    began_ms = node.round_began_ms.get(message.round, 0)
    progress.confirmed_ms = max(progress.confirmed_ms, began_ms)
    if message.accepted:
        _on_accepted(node, progress, message)
    elif message.previous_index == progress.next_index - 1 or not progress.probing:
        if message.previous_index > progress.match_index:
            progress.probing = True
            progress.probe_sent = False
            progress.next_index = max(progress.match_index, message.match_index) + 1


def handle_snapshot_reply(node, message, now_ms):
    """Send the next chunk, or continue with entries once the snapshot is installed.

    A reply that asks for the chunk in flight answers a duplicate of the previous chunk
    and is dropped; otherwise every chunk after it would be sent twice.
    """
    progress = node.progress.get(message.follower)
    if progress is None or message.term != node.term:
        return
    progress.last_contact_ms = now_ms
    snapshot = progress.snapshot
    if snapshot is None or message.index != snapshot.index:
        return
    if message.offset == progress.offset:
        return
    progress.offset = message.offset
    if progress.offset >= snapshot.size:
        progress.snapshot = None
        progress.match_index = max(progress.match_index, snapshot.index)
        progress.next_index = progress.match_index + 1
        progress.probing, progress.probe_sent = True, False
    else:
        _send_chunk(node, message.follower, progress, now_ms)


def advance_commit(node):
    """Advance the commit index to what a majority has synced, if it is of this term.

    An entry of an older term is committed only together with one of this term: even if
    a majority has it, a newer leader could still overwrite it.
    """
    index = membership.quorum_value(
        node.members,
        lambda identity: (
            node.synced_index
            if identity == node.identity
            else _match_index(node, identity)
        ),
    )
    if index > node.commit_index and node.log.term_at(index) == node.term:
        node.commit_index = index


def choose_successor(node, now_ms):
    """Return the most up-to-date voter, or None if none has caught up."""
    ready = [
        identity
        for identity in membership.voters(node.members)
        if is_caught_up(node, identity, now_ms)
    ]
    by_match_index = lambda identity: node.progress[identity].match_index
    return max(ready, key=by_match_index, default=None)


def request_take_over(node, successor):
    """Ask a voter to take over; it drops a repeated request as one of an older term."""
    request = keeper.TakeOver(successor, node.identity, node.term)
    node.outbox.append((successor, request))


def is_caught_up(node, identity, now_ms):
    """Whether a follower lacks at most one batch of entries and responded recently.

    Recently means within the election timeout.
    """
    progress = node.progress.get(identity)
    return (
        progress is not None
        and progress.snapshot is None
        and now_ms - progress.last_contact_ms < node.rules.election_timeout_ms
        and progress.match_index + node.rules.batch_entries >= node.log.last_index
        and progress.match_index >= node.first_index_of_term
    )


def _begin_round(node, now_ms):
    node.round += 1
    node.round_began_ms[node.round] = now_ms
    node.round_began_ms.pop(node.round - MAX_ROUNDS, None)


def _on_accepted(node, progress, message):
    if message.match_index > progress.match_index:
        progress.match_index = message.match_index
        advance_commit(node)
    progress.next_index = max(progress.next_index, progress.match_index + 1)
    progress.probing = False


def _replicate(node, identity, progress, now_ms, even_empty):
    if progress.snapshot is not None:
        if even_empty:
            _send_append(node, identity, progress, now_ms, even_empty)
        return
    if progress.probing and progress.probe_sent and not even_empty:
        return
    while _send_append(node, identity, progress, now_ms, even_empty):
        even_empty = False


def _send_append(node, identity, progress, now_ms, even_empty):
    """Queue one batch; True if another one may be sent now."""
    rules, log = node.rules, node.log
    previous = progress.next_index - 1
    previous_term = log.term_at(previous)
    if previous_term is None and progress.snapshot is None:
        _start_snapshot(node, identity, progress, now_ms)
        return False
    entries = []
    if previous_term is None:
        # During a snapshot transfer the follower must still answer rounds for reads.
        # Only the term matters for that; index 0 matches every log.
        previous, previous_term = 0, 0
    elif not progress.probing or not progress.probe_sent:
        if previous - progress.match_index < rules.window_entries:
            entries = log.after(previous, rules.batch_entries, rules.batch_bytes)
    if not entries and not even_empty:
        return False
    message = keeper.AppendEntries(
        identity,
        node.identity,
        node.name,
        node.term,
        previous,
        previous_term,
        entries,
        node.commit_index,
        node.round,
    )
    node.presync_outbox.append((identity, message))
    progress.sent_ms = now_ms
    if progress.probing:
        progress.probe_sent = True
        return False
    progress.next_index += len(entries)
    return bool(entries) and progress.next_index <= log.last_index


def _start_snapshot(node, identity, progress, now_ms):
    progress.snapshot = node.snapshot
    progress.offset = 0
    _send_chunk(node, identity, progress, now_ms)


def _send_chunk(node, identity, progress, now_ms):
    node.presync_outbox.append(
        (identity, raft_snapshot.chunk(node, identity, progress))
    )
    progress.sent_ms = now_ms


def _last_contact_ms(node, identity):
    progress = node.progress.get(identity)
    return progress.last_contact_ms if progress else node.elected_ms


def _confirmed_ms(node, identity):
    progress = node.progress.get(identity)
    return progress.confirmed_ms if progress else 0


def _answered_round(node, identity):
    progress = node.progress.get(identity)
    return progress.round if progress else 0


def _match_index(node, identity):
    progress = node.progress.get(identity)
    return progress.match_index if progress else 0
