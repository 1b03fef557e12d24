"""Requests to a keeper: which are appended, which wait, and how each is answered.

``not_leader`` and ``no_quorum`` are only used for requests that were certainly not
appended. Once an entry is in the log, its request is answered by its result, or by
``uncertain`` if the leader loses its leadership before the entry is committed, since
another leader may still commit it.
"""

import typing

from result import Err

from alderreach.core import (
    codec,
    keeper_state,
    key_state,
    membership,
    owner_leases,
    raft,
    raft_leader,
)
from alderreach.core.generated import keeper


class Requester(typing.NamedTuple):
    """The sender of a request that waits for a reply."""

    address: str
    request_id: str


class _Read(typing.NamedTuple):
    """A read that waits for a round of voters and for the entries it has to see."""

    round: int
    index: int
    answer: typing.Callable
    refuse: typing.Callable


class Requests:
    """Pending requests of one keeper; used by its task only.

    ``get_state`` returns the state, which an installed snapshot replaces. While
    ``is_handing_over`` is True, new requests are refused.
    """

    def __init__(self, node, get_state, send, clock, durations):
        self._node = node
        self._get_state = get_state
        self._send = send
        self._clock = clock
        self._durations = durations
        self._requesters_by_index = {}
        self._in_flight = set()
        self._reads = []
        self._leases = owner_leases.Leases(0)
        self._term = 0
        self.is_handing_over = False

    def handle(self, message, address):
        """Handle a KeeperRequest or a RenewOwnership."""
        if isinstance(message, keeper.RenewOwnership):
            self._renew(message, address)
            return
        requester = Requester(address, message.request_id)
        if self._node.role != raft.LEADER or self.is_handing_over:
            self._refuse(requester)
        elif message.request_id not in self._in_flight:
            self._handle_as_leader(message, requester)

    def start_term(self):
        """Start a term of leadership if this node was elected since the last call."""
        if self._node.role == raft.LEADER and self._term != self._node.term:
            self._fail_pending()
            self._term = self._node.term
            self._leases = owner_leases.Leases(self._node.elected_ms)

    def on_applied(self, index, term, result):
        """Answer the request that waits for the entry at ``index``."""
        for domain, grant_index in list(self._leases.pending_grants.items()):
            if grant_index <= index:
                del self._leases.pending_grants[domain]
        requester = self._requesters_by_index.pop(index, None)
        if requester is None:
            return
        self._in_flight.discard(requester.request_id)
        if term != self._term or result is None:
            self._reply(requester, "uncertain")
        else:
            self._reply(requester, "ok", codec.pack(result))

    def resolve_pending(self, applied_index):
        """Answer confirmed reads; fail all pending requests if leadership was lost."""
        if self._node.role != raft.LEADER or self._term != self._node.term:
            self._fail_pending()
            return
        if not self._reads or not self._node.is_ready_leader:
            return
        confirmed = raft_leader.confirmed_round(self._node)
        waiting = []
        for read in self._reads:
            if read.round <= confirmed and read.index <= applied_index:
                read.answer()
            else:
                waiting.append(read)
        self._reads = waiting

    def _handle_as_leader(self, message, requester):
        unpacked = codec.unpack(message.command)
        if isinstance(unpacked, Err):
            self._reply(requester, "no_quorum")
            return
        command = unpacked.ok_value
        if type(command) in READS:
            self._read(requester, command)
        elif isinstance(command, keeper.ChangeMembers):
            self._change_members(requester, command)
        elif isinstance(command, keeper.GrantOwnership):
            self._grant(requester, command, message.command)
        elif isinstance(command, keeper_state.LOGGED_COMMANDS):
            self._append(requester, message.command)
        else:
            self._reply(requester, "no_quorum")

    def _append(self, requester, data):
        clock = self._clock
        index = raft.propose(
            self._node, "command", data, clock.wall_ms(), clock.monotonic_ms()
        )
        self._add_pending(requester, index)
        return index

    def _add_pending(self, requester, index):
        if index is None:
            self._reply(requester, "no_quorum")
            return
        self._requesters_by_index[index] = requester
        self._in_flight.add(requester.request_id)

    def _grant(self, requester, command, data):
        """Log a grant, or refuse it while the current owner's lease may still be valid.

        Before the first entry of its term is committed, the leader does not know which
        owner is current.
        """
        if not self._node.is_ready_leader:
            self._reply(requester, "no_quorum")
            return
        domain = command.failure_domain
        owner = keeper_state.owner_of(self._get_state(), domain)
        now_ms = self._clock.monotonic_ms()
        if not owner_leases.may_grant(
            self._leases, owner, command, self._durations, now_ms
        ):
            owner = owner or keeper_state.no_owner(domain)
            self._reply(requester, "ok", codec.pack(keeper.GrantResult("owned", owner)))
            return
        index = self._append(requester, data)
        if index is not None:
            self._leases.pending_grants[domain] = index

    def _change_members(self, requester, command):
        node = self._node
        changed = membership.change(node.members, command)
        reason = changed.err_value if isinstance(changed, Err) else ""
        now_ms = self._clock.monotonic_ms()
        lags = command.action == "promote" and not raft_leader.is_caught_up(
            node, command.identity, now_ms
        )
        if lags and not reason:
            reason = "the learner has not caught up yet"
        if reason:
            result = keeper.MembersResult("refused", reason, node.members)
            self._reply(requester, "ok", codec.pack(result))
            return
        index = raft.propose_members(
            node, changed.ok_value, self._clock.wall_ms(), now_ms
        )
        self._add_pending(requester, index)

    def _read(self, requester, command):
        def answer():
            result = READS[type(command)](self._node, self._get_state(), command)
            self._reply(requester, "ok", codec.pack(result))

        self.confirm(answer, lambda: self._reply(requester, "not_leader"))

    def confirm(self, answer, refuse):
        """Call ``answer`` once a round of voters has confirmed this leadership.

        If the leadership is lost first, ``refuse`` is called instead.
        """
        node = self._node
        index = max(node.commit_index, node.first_index_of_term)
        self._reads.append(
            _Read(raft_leader.request_round(node), index, answer, refuse)
        )

    def _renew(self, message, address):
        """Renew an owner's lease after a round of voters; record the request's time."""
        state = self._get_state()
        owner = keeper_state.owner_of(state, message.failure_domain)

        def may_renew():
            in_force = keeper_state.owner_of(self._get_state(), message.failure_domain)
            return owner_leases.may_renew(self._leases, in_force, message)

        def reply(granted, lease_ms=0):
            self._send(
                address,
                keeper.OwnershipRenewed(
                    message.request_id,
                    granted,
                    lease_ms,
                    owner,
                    self._node.leader_name,
                ),
            )

        if not self._node.is_ready_leader or not may_renew():
            reply(False)
            return
        if message.release:
            owner_leases.record_release(self._leases, message)
            reply(True)
            return
        owner_leases.record_renewal(
            self._leases, message.failure_domain, self._clock.monotonic_ms()
        )
        lease_ms = self._durations.owner_lease_ms
        self.confirm(
            lambda: reply(True, lease_ms) if may_renew() else reply(False),
            lambda: reply(False),
        )

    def _refuse(self, requester):
        self._reply(requester, "not_leader" if self._node.leader_name else "no_quorum")

    def _fail_pending(self):
        reads, self._reads = self._reads, []
        for read in reads:
            read.refuse()
        appended, self._requesters_by_index = self._requesters_by_index, {}
        self._in_flight = set()
        for requester in appended.values():
            self._reply(requester, "uncertain")

    def _reply(self, requester, status, result=b""):
        reply = keeper.KeeperReply(
            requester.request_id, status, self._node.leader_name, result
        )
        self._send(requester.address, reply)


def members_result(members):
    """Return a membership as the result of an accepted change."""
    return keeper.MembersResult("accepted", "", members)


READS = {
    keeper.ReadKey: lambda _node, state, command: key_state.read(
        state.keys, command.key
    ),
    keeper.ReadItems: lambda _node, state, command: keeper.ItemsPage(
        state.version, keeper_state.items_under(state, command.prefix)
    ),
    keeper.ReadMembers: lambda node, _state, _command: members_result(node.members),
}
