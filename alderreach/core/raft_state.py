"""The Raft state of one keeper.

``raft`` has the rules of the protocol. Nothing here reads a clock or does I/O: the
driver passes the time, sends ``presync_outbox`` and ``outbox``, and writes to disk.
"""

import typing

from alderreach.core import codec, membership, raft_log
from alderreach.core.generated import keeper

FOLLOWER = "follower"
CANDIDATE = "candidate"
LEADER = "leader"


class Rules(typing.NamedTuple):
    """Intervals and limits; ``election_timeout_ms`` is the setting of that name and
    ``beat_ms`` the setting ``leader_beat_ms``. Terms are ``term_step`` apart.
    """

    election_timeout_ms: int
    beat_ms: int
    batch_entries: int = 512
    batch_bytes: int = 1 << 20
    window_entries: int = 4096
    chunk_bytes: int = 1 << 18
    term_step: int = 1


class Snapshot(typing.NamedTuple):
    """A durable snapshot up to ``index``; ``read(offset, count)`` returns its bytes."""

    index: int
    term: int
    members: list
    size: int
    read: typing.Callable


class Write(typing.NamedTuple):
    """What must be synced before ``outbox`` may be sent.

    The entries replace everything in the log on disk from ``first_index`` on.
    """

    term: int
    voted_for: str
    first_index: int
    entries: list[keeper.LogEntry]


class Progress:
    """The leader's replication state of one follower.

    ``last_contact_ms`` is when its last reply arrived, and ``confirmed_ms`` when the
    newest round that it answered began.
    """

    def __init__(self, next_index, now_ms):
        self.match_index = 0
        self.next_index = next_index
        self.probing = True
        self.probe_sent = False
        self.round = 0
        self.last_contact_ms = now_ms
        self.confirmed_ms = 0
        self.sent_ms = now_ms
        self.snapshot = None
        self.offset = 0


def initial_election_wait_ms(rules, random):
    """Return how long a starting voter waits for a leader before it requests votes.

    The wait is at least a third of the election timeout, which is several heartbeats,
    so that the messages of an active leader arrive first. A random part is added, since
    all voters start at the same time after a power failure. A short wait cannot depose
    a leader, because the first request is a pre-vote.
    """
    min_wait_ms = rules.election_timeout_ms // 3
    return min_wait_ms + random.randrange(rules.election_timeout_ms // 3)


class IncomingSnapshot(typing.NamedTuple):
    """The progress of receiving a snapshot."""

    index: int
    term: int
    offset: int


class Node:
    """The Raft state of one keeper.

    ``random`` is a ``random.Random``. ``sink`` stores an incoming snapshot through
    ``begin(index, term)``, ``write(data)`` and ``finish()``, which syncs it and returns
    a ``Snapshot``, or None if the bytes are not a complete snapshot.
    """

    def __init__(self, identity, name, rules, random, sink, now_ms=0):
        self.identity = identity
        self.name = name
        self.rules = rules
        self.random = random
        self.sink = sink
        self.term = 0
        self.voted_for = ""
        self.vote_changed = False
        self.log = raft_log.Log()
        self.snapshot = None
        self.memberships = []
        self.commit_index = 0
        self.synced_index = 0
        self.role = FOLLOWER
        self.leader = ""
        self.leader_name = ""
        self.last_contact_ms = None
        self.election_due_ms = now_ms + initial_election_wait_ms(rules, random)
        self.trial = False
        self.transfer = False
        self.votes = set()
        # The latest reply of each voter to the current candidacy, for reports only.
        self.vote_replies = {}
        self.progress = {}
        self.elected_ms = 0
        self.first_index_of_term = 0
        self.next_beat_ms = 0
        self.round = 0
        self.round_requested = False
        # When the latest rounds began, by number.
        self.round_began_ms = {}
        self.incoming = None
        self.installed_snapshot = None
        self.presync_outbox = []
        self.outbox = []

    @property
    def members(self):
        """The current membership, which is the newest in the log."""
        return self.memberships[-1][1] if self.memberships else []

    @property
    def members_index(self):
        """Index of the entry with the current membership."""
        return self.memberships[-1][0] if self.memberships else 0

    @property
    def is_voter(self):
        """Whether this identity is a voter."""
        member = membership.find(self.members, self.identity)
        return member is not None and member.voter

    @property
    def is_ready_leader(self):
        """Whether this node is the leader and has committed an entry of its own term.

        Before that it may not know which older entries are committed.
        """
        return self.role == LEADER and self.commit_index >= self.first_index_of_term

    def members_at(self, index):
        """The membership as of ``index``."""
        known = [members for at, members in self.memberships if at <= index]
        return known[-1] if known else []


def restore(node, term, voted_for, log, snapshot):
    """Restore the state that a restarted keeper read from its disk."""
    node.term, node.voted_for = term, voted_for
    node.log = log
    node.synced_index = log.last_index
    node.snapshot = snapshot
    if snapshot is not None:
        node.commit_index = snapshot.index
        node.memberships = [(snapshot.index, snapshot.members)]
    first = node.commit_index + 1
    _record_memberships(node, first, log.entries[first - log.base_index - 1 :])


def append(node, entries):
    """Append entries to the log; a membership among them takes effect at once."""
    first = node.log.last_index + 1
    node.log.append(entries)
    _record_memberships(node, first, entries)


def truncate_from(node, index):
    """Drop entries from ``index`` on that conflict with a newer leader's log."""
    node.log.truncate_from(index)
    node.memberships = [entry for entry in node.memberships if entry[0] < index]


def compaction_index(log, index, max_entries, max_bytes):
    """Return the index up to which the log may be compacted after a snapshot.

    Some entries before the snapshot's ``index`` are kept, so that a follower that is
    slightly behind receives entries and not the whole snapshot.
    """
    size = 0
    while index > log.base_index and max_entries > 0:
        size += len(log.entry(index).data)
        if size > max_bytes:
            break
        index, max_entries = index - 1, max_entries - 1
    return index


def compact(node, index):
    """Drop entries up to ``index`` that the node's snapshot covers."""
    node.log.compact(index)
    older = [entry for entry in node.memberships if entry[0] <= index]
    newer = [entry for entry in node.memberships if entry[0] > index]
    node.memberships = older[-1:] + newer


def _record_memberships(node, first, entries):
    for index, entry in enumerate(entries, first):
        if entry.kind == "members":
            members = codec.decode(entry.data, keeper.MemberList).members
            node.memberships.append((index, members))
