"""Single failures of keepers: the production code over real files and a fake clock."""

import errno
import pathlib

import pytest

from alderreach.core import codec
from alderreach.core.generated import keeper
from alderreach.ops.keeper import service
from tests import memory_cell


@pytest.fixture
def make_cell(tmp_path):
    cells = []

    def build(count, **options):
        cells.append(memory_cell.MemoryCell(tmp_path, count, **options))
        return cells[-1]

    yield build
    for cell in cells:
        cell.close()


def test_a_fresh_cell_forms_and_commits(make_cell):
    cell = make_cell(3)
    assert cell.write("team/a", b"1", base=0).status == "accepted"
    cell.run_until_stable()
    assert {k._state.version for k in cell.keepers.values()} == {1}


def test_blank_keepers_found_no_cell_while_one_is_unreachable(make_cell):
    """Two of three disks are lost and the third keeper is unreachable.

    If the two blank keepers founded a cell, an empty cell would exist next to the old
    one. They wait, also after the third is back, since it reports a formed cell.
    """
    cell = make_cell(3)
    cell.write("team/a", b"1", base=0)
    cell.run_until_stable()
    cell.crash("k3")
    for name in ("k1", "k2"):
        cell.lose_disk(name)
        cell.start(name)
    cell.run(10_000)
    assert cell.leader() is None
    cell.start("k3")
    cell.run(10_000)
    assert cell.leader() is None
    assert not cell.keepers["k1"]._node.members


def test_a_second_loss_right_after_the_repair_loses_nothing(make_cell):
    """A voter's disk is lost, and right after its repair that of another.

    If the first came back under its old identity, a majority without the accepted
    writes would be possible. Under a new identity it is a learner first, so that each
    majority has them.
    """
    cell = make_cell(5)
    cell.write("team/a", b"1", base=0)
    first, second = [name for name in cell.names if name != cell.elect()][:2]
    old = cell.keepers[first]._node.identity
    cell.lose_disk(first)
    cell.write("team/b", b"2", base=0)
    cell.start(first)
    cell.run_until_stable()
    members = cell.keepers[second]._node.members
    assert len(members) == 5 and old not in {m.identity for m in members}
    cell.lose_disk(second)
    cell.crash(cell.elect())
    assert cell.write("team/a", b"3", base=0).conflicts[0].author == "ana"
    items = cell.ask(keeper.ReadItems("team/")).items
    assert [item.value for item in items] == [b"1", b"2"]


@pytest.mark.parametrize("seed", range(8))
def test_voters_that_start_together_elect_one_without_a_split_vote(make_cell, seed):
    """All keepers lose power and restart at the same time, one without its disk.

    Callers got no answers for seconds: the two remaining voters started elections at
    the same time, each voted for itself, and this repeated term after term.
    """
    cell = make_cell(3, seed=seed)
    cell.run_until_stable()
    term = cell.keepers[cell.leader()]._node.term
    for name in list(cell.keepers):
        cell.crash(name)
    for name in ("k1", "k2"):
        cell.start(name)
    timeout_ms = cell.keepers["k1"]._node.rules.election_timeout_ms
    assert cell.run(timeout_ms, lambda: cell.leader() is not None), cell.describe()
    assert cell.keepers[cell.leader()]._node.term == term + 1


def test_a_voter_back_from_a_long_cut_does_not_depose_the_leader(make_cell):
    """A keeper is cut off for a minute and comes back while the others serve.

    Without the pre-vote it comes back with a much higher term and deposes a leader that
    works correctly.
    """
    cell = make_cell(3)
    leader = cell.elect()
    away = next(name for name in cell.names if name != leader)
    others = [name for name in cell.names if name != away]
    cell.cut = {pair for o in others for pair in ((away, o), (o, away))}
    cell.run(60_000)
    term = cell.keepers[leader]._node.term
    cell.cut = set()
    cell.run(10_000)
    assert cell.leader() == leader
    assert {k._node.term for k in cell.keepers.values()} == {term}


def test_a_leader_without_quorum_steps_down_and_refuses_requests(make_cell):
    """The leader is cut off from both other keepers, but not from its clients.

    If it still accepted writes, they would hang. It refuses them as ``no_quorum``.
    """
    cell = make_cell(3)
    leader = cell.elect()
    cell.cut = {(leader, name) for name in cell.names}
    cell.cut |= {(name, leader) for name in cell.names}
    cell.run(3000)
    assert cell.ask(keeper.ReadItems(""), leader) == "no_quorum"
    assert cell.keepers[leader]._node.role != "leader"
    assert cell.leader() not in (None, leader)


def grant(placer, epoch, handover=False):
    return keeper.GrantOwnership("d", placer, "b", "", "", epoch, handover)


def renew(cell, name, placer="p1", epoch=1, release=False):
    """Send a renewal; returns a function that tells whether it was granted."""
    request_id = f"renewal-{len(cell.renewal_replies)}"
    renewal = keeper.RenewOwnership(request_id, "d", placer, "b", epoch, release)
    cell.network.append(
        memory_cell.Message(memory_cell.CLIENT, name, codec.pack(renewal))
    )
    cell.run(100)
    return lambda: (
        request_id in cell.renewal_replies and cell.renewal_replies[request_id].granted
    )


def isolate(cell, name):
    """Cut a keeper off from the other keepers, but not from its clients."""
    others = [other for other in cell.names if other != name]
    cell.cut = {pair for o in others for pair in ((name, o), (o, name))}


def test_a_cut_off_leader_confirms_no_lease(make_cell):
    """The leader is cut off, and the others elect a new one.

    The new leader may later grant the domain to another placer. If the old leader still
    confirmed the owner's lease, two owners would act at the same time.
    """
    cell = make_cell(3)
    cell.ask(grant("p1", 0))
    leader = cell.elect()
    assert renew(cell, leader)()
    isolate(cell, leader)
    granted = renew(cell, leader)
    cell.run(5000)
    assert not granted()
    assert cell.leader() != leader


def test_a_new_leader_grants_only_after_a_lease_that_it_may_not_know(make_cell):
    """The leader crashes right after it confirms the owner's lease."""
    cell = make_cell(3)
    cell.ask(grant("p1", 0))
    leader = cell.elect()
    assert renew(cell, leader)()
    lease_end_ms = cell.time.now_ms + 2000
    cell.crash(leader)
    while cell.ask(grant("p2", 1)).status == "owned":
        cell.run(50)
    assert cell.time.now_ms > lease_end_ms
    assert not renew(cell, cell.elect())()


def test_a_released_domain_is_granted_at_once(make_cell):
    cell = make_cell(3)
    cell.ask(grant("p1", 0))
    assert cell.ask(grant("p2", 1)).status == "owned"
    assert renew(cell, cell.elect(), release=True)()
    assert cell.ask(grant("p2", 1)).owner.epoch == 2


def test_a_keeper_far_behind_catches_up_by_snapshot_chunks(make_cell):
    """More writes are accepted while a keeper is down than the others' logs keep."""
    cell = make_cell(3, snapshot_entries=20)
    away = next(name for name in cell.names if name != cell.elect())
    cell.crash(away)
    for number in range(60):
        cell.write(f"team/{number}", b"x" * 20_000)
    base = cell.keepers[cell.elect()]._node.log.base_index
    assert base > 20
    cell.start(away)
    cell.run_until_stable()
    assert cell.keepers[away]._state.version == 60
    assert ("snapshot_installed", f"index {base + 10}") in cell.timelines[away].events
    cell.crash(away)
    assert cell.start(away) is None
    cell.run_until_stable()
    assert cell.keepers[away]._state.version == 60


def test_a_failed_sync_stops_the_keeper_before_it_answers(make_cell, monkeypatch):
    """The disk reports an error once; a second sync would report success.

    The follower must not acknowledge data that may be lost: it exits and reports why.
    """
    cell = make_cell(3)
    leader = cell.elect()
    bad = next(name for name in cell.names if name != leader)

    def fail(_write):
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(cell.keepers[bad]._disk._log_file, "append", fail)
    assert cell.write("team/a", b"1").status == "accepted"
    cell.run(200)
    assert bad not in cell.keepers
    kind, detail = cell.timelines[bad].events[-1]
    assert kind == "storage_failed" and "No space left" in detail


@pytest.mark.parametrize("taken", [0, 7])
def test_a_keeper_waits_while_its_disk_is_full(make_cell, monkeypatch, taken):
    """A follower's disk is full for some seconds.

    Operators saw the process exit and restart three times in two seconds, and no event
    that gave the reason. The write fails with none or with a part of a record written.
    The rest of the cell continues, the keeper stays up, and it acknowledges nothing
    that is not in its file.
    """
    cell = make_cell(3)
    leader = cell.elect()
    bad = next(name for name in cell.names if name != leader)
    log_file = cell.keepers[bad]._disk._log_file
    real_file = log_file._file
    waits = []

    class FullFile:
        """A file on a full disk, which accepts at most the first bytes of a record."""

        def __getattr__(self, name):
            return getattr(real_file, name)

        def write(self, data):
            if len(data) > taken and taken:
                return real_file.write(data[:taken])
            raise OSError(errno.ENOSPC, "No space left on device")

    def wait(seconds):
        waits.append(seconds)
        if len(waits) == 20:
            log_file._file = real_file

    log_file._file, cell.wait = FullFile(), wait
    size = pathlib.Path(real_file.name).stat().st_size
    assert cell.write("team/a", b"1").status == "accepted"
    cell.run(200)
    kinds = [kind for kind, _detail in cell.timelines[bad].events]
    assert len(waits) == 20 and size < pathlib.Path(real_file.name).stat().st_size
    assert kinds.count("disk_full") == kinds.count("disk_has_room") == 1
    cell.run_until_stable()
    cell.crash(bad)
    assert cell.start(bad) is None
    cell.run_until_stable()
    assert cell.keepers[bad]._state.version == 1


def test_a_write_in_progress_when_leadership_is_lost_is_uncertain(make_cell):
    """The leader appends a write, but is cut off before any other keeper has it.

    The write may be discarded, or committed by the next leader, so neither ``accepted``
    nor ``no_quorum`` is a correct answer.
    """
    cell = make_cell(3)
    leader = cell.elect()
    isolate(cell, leader)
    assert cell.ask(grant("p1", 0), leader) == "uncertain"
    assert cell.ask(grant("p1", 0), leader) == "no_quorum"


def test_a_leader_that_hands_over_answers_pending_writes_first(make_cell):
    """The leader's VM is stopped for maintenance while a write is being replicated.

    The message with the write is lost, and is resent with the next heartbeat. If the
    leader handed over before that, the write would be ``uncertain`` although no process
    failed.
    """
    cell = make_cell(3)
    leader = cell.elect()
    first = cell.send(leader, grant("p1", 0))
    cell.deliver_one()
    cell.network.clear()
    cell._deliver(leader, service.TRANSFER)
    second = cell.send(leader, grant("p2", 1))
    cell.run(1000)
    assert cell.answers[first].status == "granted"
    assert cell.answers[second] == "not_leader"
    assert cell.elect() != leader


def test_a_leader_whose_first_request_to_take_over_is_lost_hands_over_all_the_same(
    make_cell,
):
    """Guards against a planned stop that leaves the cell without a leader until the
    next election, as the one request to its successor was lost.
    """
    cell = make_cell(3)
    leader = cell.elect()
    cell.run_until_stable()
    cell._deliver(leader, service.TRANSFER)
    cell.tick(leader)
    assert any("TakeOver" in str(message.packed) for message in cell.network)
    cell.network.clear()
    timeout_ms = cell.keepers[leader]._node.rules.election_timeout_ms
    assert cell.run(timeout_ms // 2, lambda: cell.leader() not in (leader, None))


def test_keepers_that_stop_together_hand_over_once_each(make_cell):
    """Guards against leadership that passes back and forth between two keepers, as
    both hand over, until their drain ends.
    """
    cell = make_cell(3)
    term = cell.keepers[cell.elect()]._node.term
    cell.run_until_stable()
    for name in cell.names:
        cell._deliver(name, service.TRANSFER)
    cell.run(1000)
    assert cell.keepers[cell.elect()]._node.term <= term + len(cell.names)


def test_a_follower_gets_chunks_but_no_answer_from_a_cut_off_keeper(make_cell):
    """An entry follows a keeper that was cut off and has no newer items.

    If the keeper answered, the entry would take its copy for current. Without an answer
    it tries another keeper.
    """
    cell = make_cell(3, items_per_push=2)
    for number in range(5):
        cell.write(f"team/{number}", b"x")
    cell.run_until_stable()
    name = next(name for name in cell.names if name != cell.elect())

    def follow(version):
        cell.pushes.clear()
        message = codec.pack(keeper.Follow(version, ["team/"], "entry"))
        cell.network.append(memory_cell.Message(memory_cell.CLIENT, name, message))
        cell.run(100)
        return [push for _sender, push in cell.pushes]

    assert [p[:3] for p in follow(0)] == [(0, 2, 5)]
    assert [p[:3] for p in follow(5)] == [(5, 5, 5)]
    cell.write("team/9", b"x")
    cell.run(100)
    assert [p[:3] for _sender, p in cell.pushes][-1] == (5, 6, 6)
    isolate(cell, name)
    cell.run(5000)
    assert follow(6) == []
    assert [p[:3] for p in follow(4)] == [(4, 6, 6)]


def test_a_follower_away_for_longer_than_tombstones_gets_the_full_map(make_cell):
    """An entry is down for two days; a team is deleted and its tombstone is dropped.

    If the entry got changes only, the deletion would be missing, and the team would
    stay in force on that entry.
    """
    cell = make_cell(3, key_lifetime_ms=60_000, items_per_push=1)
    cell.write("team/a", b"1")
    cell.write("team/b", b"2")
    cell.write("team/a", None)
    cell.run(61_000)
    cell.write("team/c", b"3")
    cell.run(100)

    def follow(version):
        cell.pushes.clear()
        message = codec.pack(keeper.Follow(version, ["team/"], "entry"))
        cell.network.append(memory_cell.Message(memory_cell.CLIENT, "k1", message))
        cell.run(100)
        return cell.pushes[0][1]

    replacement = follow(2)
    assert [item.key for item in replacement.items] == ["team/b", "team/c"]
    assert isinstance(replacement, keeper.ItemsReplaced)
    assert isinstance(follow(0), keeper.ItemsPush)
    assert isinstance(follow(2), keeper.ItemsPush)


def test_a_removed_keeper_learns_that_it_is_not_a_member(make_cell):
    """Operators remove a keeper that is down; it comes back months later."""
    cell = make_cell(3)
    cell.run_until_stable()
    away = next(name for name in cell.names if name != cell.elect())
    identity = cell.keepers[away]._node.identity
    cell.crash(away)
    removal = keeper.ChangeMembers("remove", identity, "", "")
    assert cell.ask(removal).status == "accepted"
    cell.start(away)
    cell.run(20_000)
    assert cell.keepers[away].status().state == "removed"
    assert cell.leader() not in (None, away)


def test_an_added_keeper_is_a_learner_until_an_operator_promotes_it(make_cell):
    cell = make_cell(3)
    cell.run_until_stable()
    cell.crash("k3")
    identity = cell.keepers["k1"]._node.members[2].identity
    assert cell.ask(keeper.ChangeMembers("remove", identity, "", "")).status
    cell.lose_disk("k3")
    cell.start("k3")
    cell.run(2000)
    learner = cell.ask(keeper.ReadMembers()).members[-1]
    assert (learner.name, learner.voter) == ("k3", False)
    promotion = keeper.ChangeMembers("promote", learner.identity, "", "")
    assert cell.ask(promotion).members[-1].voter
    cell.run_until_stable()


class BrokenConnections:
    """Each way between two keepers loses what is sent in the first 250 ms of its use.

    The transport needs that time to replace a connection that became silent.
    """

    def __init__(self, cell):
        self._cell = cell
        self._first_use_ms = {}
        self._deliver_one = cell.deliver_one
        cell.deliver_one = self.deliver_one

    def deliver_one(self, place=0):
        message, now_ms = self._cell.network[place], self._cell.time.now_ms
        way = (message.sender, message.receiver)
        if now_ms - self._first_use_ms.setdefault(way, now_ms) < 250:
            del self._cell.network[place]
        else:
            self._deliver_one(place)


@pytest.mark.parametrize("seed", range(8))
def test_a_leader_is_elected_soon_over_connections_that_went_silent(make_cell, seed):
    """Guards against elections that fail one after the other, as each loses the first
    messages between two voters: requests of the first one, votes of the second.

    After 3 s calm processes are taken as in touch with a leader.
    """
    cell = make_cell(4, seed=seed)
    leader = cell.elect()
    cell.run(3000)
    BrokenConnections(cell)
    cell.crash(leader)
    assert cell.run(3000, lambda: cell.leader() is not None), cell.describe()
