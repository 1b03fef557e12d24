"""Tests for the Raft rules, with one node each."""

import random

from alderreach.core import codec, raft, raft_leader, raft_state
from alderreach.core.generated import keeper

RULES = raft_state.Rules(election_timeout_ms=1000, beat_ms=200)
PEERS = ("a", "b", "c", "d", "e")


def member(identity, voter=True):
    return keeper.Member(identity, identity, identity, voter, False)


def entry(term, data=b""):
    return keeper.LogEntry(term, 0, "command", data)


def make(identity="a", count=5, entries=(), learners=()):
    """Return a node that has synced a founding entry of term 1 and ``entries``."""
    node = raft_state.Node(identity, identity, RULES, random.Random(1), None)
    members = [member(peer) for peer in PEERS[:count]]
    members += [member(peer, False) for peer in learners]
    data = codec.encode(keeper.MemberList(members))
    raft_state.append(node, [keeper.LogEntry(1, 0, "members", data), *entries])
    node.term = max(1, *(one.term for one in node.log.entries))
    sync(node)
    return node


def sync(node):
    write = raft.pop_write(node)
    raft.on_synced(node)
    return write


def ask(node, candidate, term, last=(9, 9), now_ms=5000, **flags):
    """Request a vote and return the node's reply."""
    flags = {"trial": False, "transfer": False} | flags
    request = keeper.RequestVote(
        node.identity, candidate, term, last[1], last[0], **flags
    )
    raft.step(node, request, now_ms)
    return node.outbox.pop()[1]


def lead(node, now_ms=5000):
    """Make a node the leader with the votes of all peers."""
    raft.tick(node, now_ms)
    for trial in (True, False):
        for peer in PEERS[1:]:
            term = node.term + (1 if trial else 0)
            raft.step(
                node, keeper.VoteReply(node.identity, peer, term, True, trial), now_ms
            )
    assert node.role == raft.LEADER
    node.outbox.clear()
    raft.propose(node, "command", b"first", 0, now_ms)
    raft_leader.queue_appends(node, now_ms)
    sync(node)
    return node


def acknowledge(node, peer, index, now_ms=5000, round=0):
    reply = keeper.AppendReply(node.identity, peer, node.term, True, 0, index, round)
    raft.step(node, reply, now_ms)


def append(node, term, previous, entries, commit=0):
    """Send AppendEntries of the leader of a term and return the node's reply."""
    message = keeper.AppendEntries(
        node.identity, "c", "c", term, *previous, entries, commit, 0
    )
    raft.step(node, message, 5000)
    return node.outbox.pop()[1]


def test_a_vote_is_written_and_not_given_twice_even_after_a_restart():
    """A voter votes, restarts and gets a request of another candidate in the same term.

    If its vote were lost, both candidates could win the term.
    """
    node = make()
    assert not ask(node, "d", 2, last=(0, 0)).granted
    assert sync(node).voted_for == ""
    assert ask(node, "b", 2).granted
    write = sync(node)
    assert (write.term, write.voted_for) == (2, "b")
    again = make()
    raft_state.restore(again, write.term, write.voted_for, again.log, None)
    assert not ask(again, "c", 2).granted
    assert ask(again, "b", 2).granted


def test_no_vote_for_a_log_that_lacks_entries():
    node = make(entries=[entry(2), entry(2)])
    assert not ask(node, "b", 3, last=(1, 9)).granted
    assert not ask(node, "b", 3, last=(2, 2)).granted
    assert ask(node, "b", 3, last=(2, 3)).granted


def test_a_message_for_another_identity_is_dropped():
    """A voter lost its disk; requests to its old identity still reach its address."""
    node = make()
    request = keeper.RequestVote("old-a", "b", 2, 9, 9, False, False)
    raft.step(node, request, 5000)
    assert (node.outbox, node.term) == ([], 1)


def test_a_voter_with_an_active_leader_refuses_votes_except_for_a_transfer():
    node = make()
    append(node, 1, (1, 1), [])
    assert not ask(node, "b", 2, now_ms=5900, trial=True).granted
    assert not ask(node, "b", 2, now_ms=5900).granted
    assert node.term == 1
    assert ask(node, "b", 2, now_ms=5900, transfer=True).granted


def test_lost_vote_requests_are_repeated_at_each_beat():
    """Guards against an election that waits for the next one, as its first requests
    were lost on connections that no voter had used since the last election.
    """
    node = make(count=3)
    raft.tick(node, 5000)
    for trial in (True, False):
        node.outbox.clear()
        raft.tick(node, 5100)
        assert node.outbox == []
        raft.tick(node, 5200)
        wanted = node.term + 1 if trial else node.term
        requests = [request for _voter, request in node.outbox]
        assert [(r.to, r.term, r.trial) for r in requests] == [
            ("b", wanted, trial),
            ("c", wanted, trial),
        ]
        vote = keeper.VoteReply("a", "b", wanted, True, trial)
        raft.step(node, vote, 5000)
    assert node.role == raft.LEADER


def test_a_vote_is_requested_once_more_only_from_voters_that_have_not_given_it():
    node = make()
    raft.tick(node, 5000)
    raft.step(node, keeper.VoteReply("a", "b", node.term + 1, True, True), 5000)
    node.outbox.clear()
    raft.tick(node, 5200)
    assert [voter for voter, _request in node.outbox] == ["c", "d", "e"]


def test_an_older_term_s_entry_commits_only_with_one_of_the_leader_s_own():
    """A leader replicates an older leader's entry to a majority and crashes.

    A voter with an entry of a newer term could still be elected and overwrite it. If
    the entry counted as committed, an accepted write would be lost.
    """
    node = lead(make(entries=[entry(2)]))
    acknowledge(node, "b", 2)
    acknowledge(node, "c", 2)
    assert node.commit_index == 0
    acknowledge(node, "b", 3)
    acknowledge(node, "c", 3)
    assert node.commit_index == 3


def test_learners_count_in_no_majority():
    node = lead(make(count=3, learners=("x", "y")))
    acknowledge(node, "x", 2)
    acknowledge(node, "y", 2)
    assert node.commit_index == 0
    acknowledge(node, "b", 2)
    assert node.commit_index == 2


def test_a_leader_counts_its_own_entry_only_once_synced():
    node = lead(make(count=3))
    acknowledge(node, "b", 2)
    raft.propose(node, "command", b"x", 0, 5000)
    acknowledge(node, "b", 3)
    assert node.commit_index == 2
    sync(node)
    assert node.commit_index == 3


def test_a_read_is_confirmed_by_a_majority_that_answers_a_later_round():
    """A partitioned leader was replaced and would answer a read from stale state.

    Earlier acknowledgements must not confirm the read, only replies to a round that
    was requested after it.
    """
    node = lead(make(count=3))
    acknowledge(node, "b", 2, round=0)
    wanted = raft_leader.request_round(node)
    acknowledge(node, "b", 2, round=0)
    assert raft_leader.confirmed_round(node) < wanted
    raft_leader.queue_appends(node, 5000)
    acknowledge(node, "b", 2, round=node.round)
    assert raft_leader.confirmed_round(node) >= wanted


def test_one_membership_change_at_a_time_and_none_before_the_term_s_first_commit():
    node = lead(make(count=3))
    members = [*node.members, member("x", False)]
    assert raft.propose_members(node, members, 0, 5000) is None
    acknowledge(node, "b", 2)
    assert raft.propose_members(node, members, 0, 5000) == 3
    assert raft.propose_members(node, members, 0, 5000) is None
    sync(node)
    acknowledge(node, "b", 3)
    assert raft.propose_members(node, members[:3], 0, 5000) == 4


def test_a_follower_replaces_conflicting_entries_and_keeps_matching_ones():
    node = make(entries=[entry(1, b"kept"), entry(1, b"lost"), entry(1, b"lost")])
    reply = append(node, 3, (2, 1), [entry(3, b"won")], commit=3)
    assert (reply.accepted, reply.match_index) == (True, 3)
    assert [one.data for one in node.log.entries[1:]] == [b"kept", b"won"]
    assert (node.commit_index, sync(node).first_index) == (3, 3)


def test_a_gap_or_another_term_is_refused_with_the_index_to_probe():
    node = make(entries=[entry(1), entry(2), entry(2)])
    assert append(node, 3, (9, 3), []).match_index == 4
    reply = append(node, 3, (4, 3), [])
    assert (reply.accepted, reply.match_index) == (False, 2)


def test_a_lost_batch_is_sent_again():
    node = lead(make(count=3))
    acknowledge(node, "b", 2)
    node.presync_outbox.clear()
    for data in (b"x", b"y"):
        raft.propose(node, "command", data, 0, 5000)
        raft_leader.queue_appends(node, 5000)
    first = next(message for to, message in node.presync_outbox if to == "b")
    node.presync_outbox.clear()
    refusal = keeper.AppendReply("a", "b", node.term, False, 3, 2, 0)
    raft.step(node, refusal, 5000)
    raft_leader.queue_appends(node, 5000)
    again = next(message for to, message in node.presync_outbox if to == "b")
    assert again.entries[0] == first.entries[0]
    assert len(again.entries) == 2


def test_a_leader_without_responses_steps_down():
    node = lead(make(count=3))
    raft.tick(node, 5900)
    assert node.role == raft.LEADER
    raft.tick(node, 6000)
    assert node.role == raft.FOLLOWER
    assert raft.propose(node, "command", b"", 0, 6000) is None
