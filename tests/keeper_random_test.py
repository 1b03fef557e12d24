"""Random schedules of failures of keepers, with invariants checked after each step.

CI uses a fixed seed; ALDERREACH_SOAK selects other seeds and many more examples.
"""

import contextlib
import os
import shutil
import tempfile

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from alderreach.core import codec, keeper_dump, key_state
from alderreach.core.generated import common, keeper
from tests import memory_cell, sim_links

SOAK = bool(os.environ.get("ALDERREACH_SOAK"))
DOMAIN = "urubici"
PLACERS = ("p1", "p2")
TORN = b"\xa1rch\x40\x00\x00\x00torn"
NAMES = st.integers(0, 4)
ITEMS = st.sampled_from(["team/a", "team/b"])
LEASE_MS = 2000


class Keepers(stateful.RuleBasedStateMachine):
    """Rules cause failures and send requests; the invariants hold after each rule."""

    @stateful.initialize(count=st.sampled_from([3, 3, 5]), seed=st.integers(0, 99))
    def form(self, count, seed):
        self.folder = tempfile.mkdtemp()
        self.cell = self.make_cell(count, seed)
        self.cell.run_until_stable()
        self.leaders = {}
        self.committed = {}
        self.digests = {}
        self.claims = {}
        self.writes = {}
        self.grants = {}
        self.renewals = {}

    def make_cell(self, count, seed):
        return memory_cell.MemoryCell(self.folder, count, seed, snapshot_entries=20)

    def name(self, number):
        return self.cell.names[number % len(self.cell.names)]

    def choose_keeper(self, number):
        """Return the keeper that a client asks: in most cases the leader."""
        leader = self.cell.leader()
        return leader if leader and number < 4 else self.name(number)

    # Failures

    @stateful.rule(number=NAMES, torn=st.booleans(), majority_draw=st.integers(0, 5))
    def crash(self, number, torn, majority_draw):
        """Crash a minority in most cases, since little can happen without a quorum."""
        name = self.choose_keeper(number)
        running = len(self.cell.keepers) * 2 > len(self.cell.names) + 1
        if name in self.cell.keepers and (running or majority_draw == 0):
            self.cell.crash(name, TORN if torn else b"")

    @stateful.rule(number=NAMES)
    def restart(self, number):
        if self.name(number) not in self.cell.keepers:
            assert self.cell.start(self.name(number)) is None

    @stateful.rule(number=NAMES)
    def lose_disk(self, number):
        """Lose the disks of a minority only: the rest must hold the accepted writes."""
        name = self.name(number)
        if len(self.lost_voters() | {name}) * 2 < len(self.cell.names):
            self.cell.lose_disk(name)
            assert self.cell.start(name) is None

    def lost_voters(self):
        """Return names that are down or whose voter, in any membership, has no disk."""
        disks = {m._node.identity for m in self.cell.keepers.values()}
        down = [name for name in self.cell.names if name not in self.cell.keepers]
        return {
            member.name
            for instance in self.cell.keepers.values()
            for member in instance._node.members
            if member.voter and member.identity not in disks
        } | set(down)

    @stateful.rule(number=NAMES, inward=st.booleans(), outward=st.booleans())
    def isolate(self, number, inward, outward):
        """Cut one keeper off from the others, in one direction or both."""
        name = self.choose_keeper(number)
        others = [other for other in self.cell.names if other != name]
        if inward:
            self.cell.cut |= {(other, name) for other in others}
        if outward:
            self.cell.cut |= {(name, other) for other in others}

    @stateful.rule()
    def lose_messages(self):
        self.cell.network.clear()

    @stateful.rule()
    def heal(self):
        self.cell.cut = set()

    @stateful.rule(places=st.lists(st.integers(0, 30), max_size=8))
    def deliver_out_of_order(self, places):
        for place in places:
            if self.cell.network:
                self.cell.deliver_one(place % len(self.cell.network))

    @stateful.rule()
    def tick_without_delivery(self):
        self.cell.time.advance(60)
        for name in list(self.cell.keepers):
            self.cell.tick(name)

    @stateful.rule(duration_ms=st.sampled_from([40, 400]))
    def run(self, duration_ms):
        self.cell.run(duration_ms)

    @stateful.rule()
    def run_past_an_election(self):
        self.cell.run(2500)

    # Requests

    @stateful.rule(number=NAMES, key=ITEMS, base=st.sampled_from([-1, 0, 1, 2]))
    def write(self, number, key, base):
        if base > 0:
            versions = [m._state.items.get(key) for m in self.cell.keepers.values()]
            base = max([v.version for v in versions if v], default=0)
        writes = [keeper.ItemWrite(key, base, b"v")]
        command = keeper.WriteItems("", "ana", writes, "", 0, 0)
        self.writes[self.cell.send(self.choose_keeper(number), command)] = (key, base)

    @stateful.rule(number=NAMES, key=st.sampled_from(["a/1", "a/2"]))
    def claim(self, number, key):
        request = f"q{len(self.claims)}"
        command = keeper.RecordIntent(key, "s", "d", "e", "b", request, 0)
        self.claims[self.cell.send(self.choose_keeper(number), command)] = (
            key,
            request,
        )

    @stateful.rule(number=NAMES, placer=st.sampled_from(PLACERS), at_once=st.booleans())
    def seek_ownership(self, number, placer, at_once):
        epochs = [
            codec.decode(item.value, common.Owner).epoch
            for instance in self.cell.keepers.values()
            if (item := instance._state.items.get(f"owner/{DOMAIN}"))
        ]
        command = keeper.GrantOwnership(
            DOMAIN, placer, "b", "", "", max(epochs, default=0), False
        )
        self.grants[self.cell.send(self.choose_keeper(number), command)] = placer
        if at_once:
            self.cell.run(60)
            self.renew_ownership(number, placer)
            self.cell.run(60)

    @stateful.rule(number=NAMES, placer=st.sampled_from(PLACERS))
    def renew_ownership(self, number, placer):
        epochs = [
            result.owner.epoch
            for request, result in self.cell.answers.items()
            if self.grants.get(request) == placer and has_status(result, "granted")
        ]
        if epochs:
            request_id = f"renewal-{len(self.renewals)}"
            renewal = keeper.RenewOwnership(
                request_id, DOMAIN, placer, "b", max(epochs), False
            )
            self.renewals[request_id] = (placer, max(epochs), self.cell.time.now_ms)
            self.cell.network.append(
                memory_cell.Message(
                    memory_cell.CLIENT, self.choose_keeper(number), codec.pack(renewal)
                )
            )

    # Invariants

    @stateful.invariant()
    def one_leader_per_term(self):
        for instance in self.cell.keepers.values():
            node = instance._node
            if node.role == "leader":
                known = self.leaders.setdefault(node.term, node.identity)
                assert known == node.identity

    @stateful.invariant()
    def committed_entries_never_change(self):
        for instance in self.cell.keepers.values():
            node = instance._node
            for index in range(node.log.base_index + 1, node.commit_index + 1):
                entry = node.log.entry(index)
                assert self.committed.setdefault(index, entry) == entry
            if node.is_ready_leader:
                assert node.commit_index <= max(self.committed)
                assert node.log.last_index >= max(self.committed)

    @stateful.invariant()
    def equal_logs_give_equal_states(self):
        for instance in self.cell.keepers.values():
            digest = key_state.digest_of(list(keeper_dump.dump(instance._state)))
            assert self.digests.setdefault(instance._state.index, digest) == digest

    @stateful.invariant()
    def one_winner_per_base_and_key(self):
        wins, versions, claimed = set(), set(), {}
        for request, result in self.cell.answers.items():
            if request in self.writes and has_status(result, "accepted"):
                assert result.version not in versions
                versions.add(result.version)
                if self.writes[request][1] >= 0:
                    assert self.writes[request] not in wins
                    wins.add(self.writes[request])
            elif request in self.claims and getattr(result, "state", "") == "claimed":
                key, claimant = self.claims[request]
                assert claimed.setdefault(key, claimant) == claimant

    @stateful.invariant()
    def check_leases(self):
        now_ms = self.cell.time.now_ms
        holders = {
            self.renewals[request][:2]
            for request, reply in self.cell.renewal_replies.items()
            if reply.granted and now_ms < self.renewals[request][2] + reply.lease_ms
        }
        assert len(holders) <= 1

    def teardown(self):
        """End all failures; the keepers must agree and accept a write."""
        cell = self.cell
        cell.cut = set()
        for name in cell.names:
            if name not in cell.keepers:
                assert cell.start(name) is None
        cell.run_until_stable(60_000)
        assert cell.write("team/z", b"end").status == "accepted"
        for check in (
            self.one_leader_per_term,
            self.committed_entries_never_change,
            self.equal_logs_give_equal_states,
        ):
            check()
        cell.close()
        shutil.rmtree(self.folder)


class SilentKeepers(Keepers):
    """The links between keepers also become silent, each way by itself.

    All are silent when the other failures end.
    """

    def make_cell(self, count, seed):
        self.stack = contextlib.ExitStack()
        links = self.stack.enter_context(sim_links.Links().installed())
        return memory_cell.MemoryCell(
            self.folder, count, seed, snapshot_entries=20, peer_links=links
        )

    @stateful.rule(number=NAMES, inward=st.booleans(), outward=st.booleans())
    def silence_one(self, number, inward, outward):
        name = self.choose_keeper(number)
        others = [other for other in self.cell.names if other != name]
        if inward:
            self.cell.peer_links.silence([(other, name) for other in others])
        if outward:
            self.cell.peer_links.silence([(name, other) for other in others])

    @stateful.rule(draws=st.lists(st.tuples(NAMES, NAMES), max_size=8))
    def silence_some(self, draws):
        pairs = [(self.name(sender), self.name(receiver)) for sender, receiver in draws]
        self.cell.peer_links.silence(pairs)

    def teardown(self):
        names = self.cell.names
        with self.stack:
            self.cell.peer_links.silence([(a, b) for a in names for b in names])
            super().teardown()


def has_status(result, status):
    return getattr(result, "status", "") == status


Keepers.TestCase.settings = SilentKeepers.TestCase.settings = hypothesis.settings(
    max_examples=400 if SOAK else 12,
    stateful_step_count=60 if SOAK else 40,
    derandomize=not SOAK,
    database=None,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
TestKeepers = Keepers.TestCase
TestSilentKeepers = SilentKeepers.TestCase
