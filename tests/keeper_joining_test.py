"""Keepers that know only the seeds join a cell, also one whose leader is no seed."""

import contextlib

from tests import memory_cell

SEEDS = ("k1", "k2", "k3")


def make_five_voters(folder):
    """Return a cell of five voters, three of them seeds, that tolerates two losses."""
    cell = memory_cell.MemoryCell(folder, 5, seeds=SEEDS, losses=2)
    cell.run_until_stable()
    return cell


def elect_non_seed(cell):
    """Let a keeper that is no seed become leader; returns its name."""
    for _round in range(20):
        leader = cell.elect()
        if leader not in SEEDS:
            return leader
        cell.crash(leader)
        cell.elect()
        cell.start(leader)
        cell.run_until_stable()
    raise AssertionError("only seeds were elected")


def test_a_seed_that_lost_its_disk_joins_a_cell_that_no_seed_leads(tmp_path):
    """All controllers lose power, and two of them lose their disks.

    No leader was elected any more: all callers were refused, the leases of long-running
    tasks lapsed and no configuration could be read. One controller had lost its disk
    some time before. It knew three seeds, none of which was the leader by then; they
    answered its hellos without passing them on. Cause: its old voter was therefore
    never replaced, and its vote was missing. The log of that cell shows no learner that
    was added.
    """
    with contextlib.closing(make_five_voters(tmp_path)) as cell:
        elect_non_seed(cell)
        cell.write("team/a", b"1", base=0)
        cell.lose_disk("k1")
        cell.start("k1")
        cell.run(4_000)
        leader = cell.elect()
        assert leader not in SEEDS
        lost = [name for name in cell.names if name not in (leader, "k1")][:2]
        for name in list(cell.keepers):
            cell.crash(name)
        for name in lost:
            cell.lose_disk(name)
        for name in cell.names:
            cell.start(name)
        assert cell.elect()
        cell.run_until_stable()
        assert cell.write("team/b", b"2", base=0).status == "accepted"


def isolate(cell, name):
    """Cut all links of a keeper, in both directions."""
    others = [other for other in cell.names if other != name]
    cell.cut = {(name, other) for other in others} | {(o, name) for o in others}


def test_an_unreachable_voter_is_reported_once_and_again_when_it_answers(tmp_path):
    with contextlib.closing(make_five_voters(tmp_path)) as cell:
        leader = cell.elect()
        follower = next(name for name in cell.names if name != leader)
        isolate(cell, follower)
        cell.run(6_000)
        assert cell.timelines[leader].events.count(("voter_silent", follower)) == 1
        cell.cut = set()
        events = cell.timelines[leader].events
        assert cell.run(5_000, lambda: ("voter_heard", follower) in events)


def test_a_blank_keeper_that_cannot_join_reports_it(tmp_path):
    """A controller loses its disk and reaches no other controller.

    Nothing reported that a vote was missing, until the next loss left no quorum.
    """
    with contextlib.closing(make_five_voters(tmp_path)) as cell:
        lost = next(name for name in cell.names if name != cell.elect())
        cell.lose_disk(lost)
        cell.start(lost)
        isolate(cell, lost)
        cell.run(11_000)
        kinds = [kind for kind, _detail in cell.timelines[lost].events]
        assert kinds.count("not_taken_in") == 2
        cell.cut = set()
        cell.run_until_stable()


def test_a_keeper_without_a_leader_reports_each_missing_vote(tmp_path):
    """Three of five voters are lost, and the others can't elect a leader.

    They wrote nothing then, so nobody saw which votes were missing.
    """
    with contextlib.closing(make_five_voters(tmp_path)) as cell:
        first, second, *lost = cell.names
        for name in lost:
            cell.crash(name)
        cell.run(12_000)
        reports_of = {
            name: [
                detail
                for kind, detail in cell.timelines[name].events
                if kind == "no_leader"
            ]
            for name in (first, second)
        }
        assert [len(reports) for reports in reports_of.values()] == [2, 2]
        for name, (_first, latest) in reports_of.items():
            assert "needs 3 votes" in latest and f"{name} itself" in latest
            assert all(f"{each} silent" in latest for each in lost)
        granted = (f"{second} granted", f"{first} granted")
        assert any(
            text in reports[-1]
            for text, reports in zip(granted, reports_of.values(), strict=True)
        )
        cell.start(lost[0])
        cell.elect()
        cell.run(1_000)
        kinds = [kind for kind, _detail in cell.timelines[first].events]
        assert kinds.count("leader_back") == 1
