"""The state of one keeper in the quorum protocol, and small questions about it.

``raft`` holds the rules. Nothing here reads a clock, draws lots or does input and
output: the driver passes the time, sends ``presync_outbox`` and ``outbox`` and writes to disk.
"""

import typing

from alderreach.core import codec, membership, raft_log
from alderreach.core.generated import keeper

FOLLOWER = "follower"
CANDIDATE = "candidate"
LEADER = "leader"


class Rules(typing.NamedTuple):
    """Intervals and bounds; see the settings of the same names."""

    election_timeout_ms: int
    beat_ms: int
    batch_entries: int = 512
    batch_bytes: int = 1 << 20
    window_entries: int = 4096
    chunk_bytes: int = 1 << 18


class Snapshot(typing.NamedTuple):
    """A durable snapshot: what it covers and ``read(offset, count)`` of its bytes."""

    index: int
    term: int
    members: list
    size: int
    read: typing.Callable


class Write(typing.NamedTuple):
    """What must be synced before ``outbox`` may be sent.

    Entries replace whatever the log on disk holds from ``first_index`` on.
    """

    term: int
    voted_for: str
    first_index: int
    entries: list[keeper.LogEntry]


class Progress:
    """What a leader knows of one follower."""

    def __init__(self, next_index, now_ms):
        self.match_index = 0
        self.next_index = next_index
        self.probing = True
        self.probe_sent = False
        self.round = 0
        self.last_contact_ms = now_ms
        self.sent_ms = now_ms
        self.snapshot = None
        self.offset = 0


def initial_election_wait_ms(rules, random):
    """How long a starting voter waits for a leader before it asks for votes.

    A third of the election timeout at least, several beats, so that a leader that
    serves is heard first; and a lot, since after a loss of power all voters start in
    the same moment. Asking early deposes nobody: it is on trial first.
    """
    min_wait_ms = rules.election_timeout_ms // 3
    return min_wait_ms + random.randrange(rules.election_timeout_ms // 3)


class IncomingSnapshot(typing.NamedTuple):
    """A snapshot that is coming in."""

    index: int
    term: int
    offset: int


class Node:
    """One keeper's part in the protocol.

    ``random`` is a ``random.Random``; ``sink`` takes a snapshot that comes in, with
    ``begin(index, term)``, ``write(data)`` and ``finish()``, which syncs it and returns
    a ``Snapshot``, or None for bytes that are no whole snapshot.
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
        self.progress = {}
        self.elected_ms = 0
        self.first_index_of_term = 0
        self.next_beat_ms = 0
        self.round = 0
        self.round_requested = False
        self.incoming = None
        self.installed_snapshot = None
        self.presync_outbox = []
        self.outbox = []

    @property
    def members(self):
        """The membership in force, which is the newest in the log."""
        return self.memberships[-1][1] if self.memberships else []

    @property
    def members_index(self):
        """Index of the entry that holds the membership in force."""
        return self.memberships[-1][0] if self.memberships else 0

    @property
    def is_voter(self):
        """Whether this identity votes."""
        member = membership.find(self.members, self.identity)
        return member is not None and member.voter

    @property
    def is_ready_leader(self):
        """Whether it leads and has committed an entry of its own term.

        Before that it may not know which older entries are committed.
        """
        return self.role == LEADER and self.commit_index >= self.first_index_of_term

    def members_at(self, index):
        """The membership as of ``index``."""
        known = [members for at, members in self.memberships if at <= index]
        return known[-1] if known else []


def restore(node, term, voted_for, log, snapshot):
    """Set what a restarted keeper read back from its disk."""
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
    """Add entries to the log; a membership among them is in force at once."""
    first = node.log.last_index + 1
    node.log.append(entries)
    _record_memberships(node, first, entries)


def truncate_from(node, index):
    """Drop entries that lost against a newer leader's."""
    node.log.truncate_from(index)
    node.memberships = [entry for entry in node.memberships if entry[0] < index]


def compaction_index(log, index, max_entries, max_bytes):
    """Where a log may start after a snapshot at ``index``.

    A tail before it is kept, so that a follower a little behind gets entries, not the
    whole snapshot.
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
