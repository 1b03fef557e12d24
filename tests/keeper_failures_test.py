"""Keepers' own code over real files and a fake clock, through one failure each."""

import pytest

from alderreach.core.generated import keeper
from tests import memory_cell


@pytest.fixture
def make(tmp_path):
    made = []

    def build(count, **options):
        made.append(memory_cell.MemoryCell(tmp_path, count, **options))
        return made[-1]

    yield build
    for each in made:
        each.close()


def test_a_fresh_cell_forms_and_commits(make):
    cell = make(3)
    assert cell.write("team/a", b"1", base=0).status == "accepted"
    cell.settle()
    assert {k._state.version for k in cell.keepers.values()} == {1}


def test_blank_keepers_found_nothing_while_one_is_silent(make):
    """Two of three disks are lost and the third keeper can't be reached.

    If the two blank ones founded a cell, there would be an empty one beside the old.
    They wait, and once the third is back they still do, since it says it is formed.
    """
    cell = make(3)
    cell.write("team/a", b"1", base=0)
    cell.settle()
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


def test_a_second_loss_right_after_the_repair_loses_nothing(make):
    """A voter's disk is lost, it comes back, and right after its repair a second goes.

    Back as its old self, it would have made a majority that lacks accepted writes.
    As a new identity it learns first, so each majority has them.
    """
    cell = make(5)
    cell.write("team/a", b"1", base=0)
    first, second = [name for name in cell.names if name != cell.elect()][:2]
    old = cell.keepers[first]._node.identity
    cell.lose_disk(first)
    cell.write("team/b", b"2", base=0)
    cell.start(first)
    cell.settle()
    members = cell.keepers[second]._node.members
    assert len(members) == 5 and old not in {m.identity for m in members}
    cell.lose_disk(second)
    cell.crash(cell.elect())
    assert cell.write("team/a", b"3", base=0).conflicts[0].author == "ana"
    items = cell.ask(keeper.ReadItems("team/")).items
    assert [item.value for item in items] == [b"1", b"2"]


def test_a_voter_back_from_a_long_cut_does_not_depose_the_leader(make):
    """A keeper is cut off for a minute and comes back while the others serve.

    Without the vote on trial it comes back in a much higher term and deposes the
    leader, though nothing was wrong with it.
    """
    cell = make(3)
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


def test_a_leader_without_quorum_steps_down_and_says_so(make):
    """The leader is cut off from both others, but not from its clients.

    If it went on taking writes, they would hang. It refuses as not appended.
    """
    cell = make(3)
    leader = cell.elect()
    cell.cut = {(leader, name) for name in cell.names}
    cell.cut |= {(name, leader) for name in cell.names}
    cell.run(3000)
    assert cell.ask(keeper.ReadItems(""), leader) == "no_quorum"
    assert cell.keepers[leader]._node.role != "leader"
    assert cell.leader() not in (None, leader)
