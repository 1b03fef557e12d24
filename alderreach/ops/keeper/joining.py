"""Discovery of the cell by a keeper, and admission and repair by the leader.

``core/founding.py`` explains when a cell may be founded, and why a keeper that lost its
disk can neither found a second cell nor vote under its previous identity.
"""

import math

from alderreach.core import founding, membership, raft, raft_leader
from alderreach.core.generated import keeper

HELLO_INTERVAL_MS = 200
DISCOVERY_AFTER_ELECTION_TIMEOUTS = 5
# A voter that is silent for longer is replaced if a learner can take its place. The
# replacement has to be complete before the cell must tolerate the next loss; the users'
# platform sets this interval to 4 s.
SILENT_VOTER_MS = 2500
# A blank keeper is normally admitted within a second. One that is not records an event
# at this interval.
NOT_ADMITTED_EVENT_MS = 5000


class Joining:
    """Hellos of this keeper, and the leader's repairs; used by the keeper's task.

    ``addresses`` maps the names of the other keepers in the settings to addresses. In
    an open cell these are only the seeds: the leader admits every keeper that asks,
    including one that was removed while it was silent, and a keeper's name is its
    address. ``may_found_cell`` is False for a keeper added after the first start.
    ``is_removed`` is True from when a leader has answered that this identity is no
    longer a member until it is one again.
    """

    def __init__(
        self, context, node, addresses, is_open_cell=False, may_found_cell=True
    ):
        self._node = node
        self._addresses = addresses
        self._is_open_cell = is_open_cell
        self._may_found_cell = may_found_cell
        losses = context.settings.discovery.losses
        self._wanted_voters = 2 * losses + 1 if is_open_cell else math.inf
        self._clock = context.clock
        self._timeline = context.timeline
        self._send = context.transport.send
        self._own_address = context.settings.listen.peers
        self._hello_answers = {}
        self._started_ms = context.clock.monotonic_ms()
        self._next_hello_ms = 0
        self._next_not_admitted_ms = self._started_ms + NOT_ADMITTED_EVENT_MS
        self._silent_voters = set()
        self.is_removed = False
        self._removed_at_index = 0

    def tick(self, now_ms):
        """As leader, repair the membership; without a cell or leader, send hellos."""
        if self.is_removed and self._is_member_again():
            self.is_removed = False
        if self._node.is_ready_leader:
            self._record_silent_voters(now_ms)
            self._repair(now_ms)
        elif now_ms >= self._next_hello_ms and self._needs_discovery(now_ms):
            self._next_hello_ms = now_ms + HELLO_INTERVAL_MS
            if not self._try_found_cell(now_ms):
                self._send_hellos()
                self._record_not_admitted(now_ms)

    def handle_hello(self, message, address):
        """Answer a hello; as leader, admit a blank keeper that has an expected name.

        Only a leader may answer that a keeper was removed, since the others may lack
        the newest membership.

        The seeds that a blank keeper knows may not include the leader, so in an open
        cell a follower forwards the hello to its leader. The leader does not forward it
        again.
        """
        node = self._node
        leads = node.is_ready_leader
        known = membership.find(node.members, message.identity) is not None
        leader = membership.find(node.members, node.leader)
        if (
            self._is_open_cell
            and leader is not None
            and leader.identity != node.identity
        ):
            self._send(leader.address, message)
        reply = keeper.KeeperHelloReply(
            message.identity,
            node.identity,
            node.name,
            node.term,
            bool(node.members),
            leads and message.formed and not known,
        )
        self._send(address, reply)
        if leads and not known and (self._is_open_cell or not message.formed):
            self._admit(message)

    def handle_reply(self, message, now_ms):
        """Store another keeper's answer to a hello."""
        if message.to != self._node.identity:
            return
        self._hello_answers[message.name] = founding.HelloAnswer(message, now_ms)
        if message.removed and not self.is_removed:
            self.is_removed = True
            self._removed_at_index = self._node.members_index
            self._timeline.record("identity_removed", detail=message.to)

    def _is_member_again(self):
        node = self._node
        is_newer = node.members_index > self._removed_at_index
        return is_newer and membership.find(node.members, node.identity) is not None

    def _needs_discovery(self, now_ms):
        """Whether this keeper has no cell, or had no leader for several elections."""
        node = self._node
        if not node.members:
            return True
        silence_ms = DISCOVERY_AFTER_ELECTION_TIMEOUTS * node.rules.election_timeout_ms
        last_contact_ms = (
            self._started_ms if node.last_contact_ms is None else node.last_contact_ms
        )
        return now_ms - last_contact_ms > silence_ms

    def _try_found_cell(self, now_ms):
        node = self._node
        if node.members or not self._may_found_cell:
            return False
        me = keeper.Member(node.identity, node.name, self._own_address, True, False)
        members = founding.founding_members(
            me, self._addresses, self._hello_answers, now_ms
        )
        if members is None:
            return False
        term = founding.founding_term(node.term, self._hello_answers)
        raft.found_cell(node, members, term, self._clock.wall_ms())
        self._timeline.record(
            "cell_founded", epoch=term, detail=describe_members(members)
        )
        return True

    def _send_hellos(self):
        node = self._node
        hello = keeper.KeeperHello(
            node.identity, node.name, self._own_address, node.term, bool(node.members)
        )
        for address in self._addresses.values():
            self._send(address, hello)

    def _record_not_admitted(self, now_ms):
        """Record that this blank keeper is not admitted, so its vote is missing."""
        if self._node.members or now_ms < self._next_not_admitted_ms:
            return
        self._next_not_admitted_ms = now_ms + NOT_ADMITTED_EVENT_MS
        waited_ms = now_ms - self._started_ms
        addresses = ", ".join(self._addresses.values())
        detail = f"for {waited_ms} ms, asked {addresses}"
        self._timeline.record("not_taken_in", detail=detail)

    def _record_silent_voters(self, now_ms):
        """Record an event for each voter that becomes silent or responds again."""
        node = self._node
        voters = {member.name for member in node.members if member.voter}
        silent = {
            member.name
            for member in node.members
            if member.voter and self._is_silent(member.identity, now_ms)
        }
        for name in sorted(silent - self._silent_voters):
            self._timeline.record("voter_silent", epoch=node.term, detail=name)
        for name in sorted((self._silent_voters - silent) & voters):
            self._timeline.record("voter_heard", epoch=node.term, detail=name)
        self._silent_voters = silent

    def _is_silent(self, identity, now_ms):
        if identity == self._node.identity:
            return False
        progress = self._node.progress.get(identity)
        return progress is None or now_ms - progress.last_contact_ms > SILENT_VOTER_MS

    def _admit(self, message):
        node = self._node
        expected = {member.name for member in node.members} | set(self._addresses)
        if message.name not in expected and not self._is_open_cell:
            return
        members = membership.add_learner(node.members, message)
        if self._propose(members):
            detail = f"{message.name} {message.identity}"
            self._timeline.record("learner_added", epoch=node.term, detail=detail)

    def _repair(self, now_ms):
        command = membership.next_repair(
            self._node.members,
            lambda identity: raft_leader.is_caught_up(self._node, identity, now_ms),
            self._wanted_voters,
        )
        if command is None and self._is_open_cell:
            command = self._next_replacement(now_ms)
        if command is None:
            return
        members = membership.change(self._node.members, command).unwrap()
        if self._propose(members):
            detail = f"{command.action} {command.name} {command.identity}"
            self._timeline.record("members_repair", detail=detail)

    def _next_replacement(self, now_ms):
        """The next change of an open cell that replaces a silent voter, or None."""
        return membership.next_replacement(
            self._node.members,
            self._wanted_voters,
            lambda identity: self._is_silent(identity, now_ms),
            lambda identity: raft_leader.is_caught_up(self._node, identity, now_ms),
        )

    def _propose(self, members):
        index = raft.propose_members(
            self._node, members, self._clock.wall_ms(), self._clock.monotonic_ms()
        )
        return index is not None


def describe_members(members):
    """Format a membership as one line of text."""
    return ", ".join(
        f"{member.name}{'' if member.voter else ' (learner)'}" for member in members
    )
