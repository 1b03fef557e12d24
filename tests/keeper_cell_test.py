"""Failures of keepers as real processes, seen by operators, owners and followers."""

import pathlib
import shutil
import signal
import sys

import pytest

from alderreach.core.generated import keeper
from alderreach.ops.keeper import disk
from tests import keeper_support
from tools import cell

MAX_FILE_BYTES = 60_000
RUN_KEEPER_WITH_FILE_LIMIT = (
    "import resource, runpy, sys; "
    f"resource.setrlimit(resource.RLIMIT_FSIZE, ({MAX_FILE_BYTES},) * 2); "
    "sys.argv = sys.argv[1:]; "
    "runpy.run_module('alderreach.scripts.keeper', run_name='__main__')"
)


def others(running, name):
    return [plan.name for plan in running.of_role("keeper") if plan.name != name]


def freeze(running, name):
    """Send a process SIGSTOP and wait until all of its threads are stopped.

    A thread that still runs could send a round of messages. The answers to it wait in
    the sockets until the process resumes, and correctly confirm a renewal that was sent
    before the freeze.
    """
    running.pause(name)
    tasks = pathlib.Path(f"/proc/{running.processes[name].pid}/task")

    def is_stopped():
        stats = [(task / "stat").read_text() for task in tasks.iterdir()]
        return all(stat.rpartition(")")[2].split()[0] == "T" for stat in stats)

    cell.wait_until(is_stopped, f"{name} is stopped")


def wait_caught_up(client, name):
    version = client.ask(keeper.ReadItems("none/")).version

    def has_version():
        status = client.status(name)
        return status and status.version_in_force >= version

    cell.wait_until(has_version, f"{name} has version {version}")


def test_a_write_reaches_a_follower_and_a_second_writer_loses(tmp_path):
    with keeper_support.running_keepers(tmp_path) as (_running, client):
        first = client.write("team/a", b"1", base=0, author="ana")
        second = client.write("team/a", b"2", base=0, author="rui")
        assert second.conflicts == [keeper.ItemConflict("team/a", first.version, "ana")]
        client.follow("keeper-2")
        cell.wait_until(lambda: "team/a" in client.replica.items, "the item arrives")


def test_a_leader_killed_during_writes_restarts_and_catches_up_by_snapshot(tmp_path):
    """The leader is killed during writes and restarts hundreds of changes later.

    Each write is answered once and no accepted write is lost. No log still holds the
    entries that the restarted keeper needs next, so it catches up by a snapshot.
    """
    settings = keeper_support.FAST_SETTINGS | {"limits": {"snapshot_entries": 100}}
    with keeper_support.running_keepers(tmp_path, overrides=settings) as (
        running,
        client,
    ):
        leader = client.leader()
        with keeper_support.writing(client) as done:
            cell.wait_until(lambda: len(done) > 20, "writes before the kill")
            running.kill(leader)
            cell.wait_until(lambda: len(done) > 420, "writes after the kill")
        running.start([leader])
        wait_caught_up(client, leader)
        keeper_support.assert_writes_kept(client, done)
        timeline = running.folder / "data" / leader / f"{leader}.timeline.0.jsonl"
        assert "snapshot_installed" in timeline.read_text()


def test_a_leader_that_was_frozen_confirms_no_old_renewal(tmp_path):
    """The leader is frozen for longer than all leases and then receives old renewals.

    Meanwhile another placer is granted the domain. If the old leader confirmed the
    renewals that waited in its sockets, two owners would act at the same time.
    """
    with keeper_support.running_keepers(tmp_path) as (running, client):
        grant = keeper.GrantOwnership("d", "p1", "b", "", "", 0, False)
        assert client.ask(grant).owner.epoch == 1
        leader = client.leader()
        assert client.renew(leader, "p1", 1).wait(5000).granted
        freeze(running, leader)
        waiting = client.renew(leader, "p1", 1)
        client.leader(others(running, leader))
        successor = grant._replace(placer="p2", expected_epoch=1)
        cell.wait_until(
            lambda: client.ask(successor).status == "granted", "the successor's grant"
        )
        running.resume(leader)
        assert not waiting.wait(10_000).granted
        wait_caught_up(client, leader)
        assert not client.renew(leader, "p1", 1).wait(5000).granted


def test_a_leader_whose_messages_are_dropped_is_replaced(tmp_path):
    """The network drops all messages from the leader to other keepers, but none to it.

    The others elect a new leader. The old one steps down, follows the new leader once
    the links are healed, and no accepted write is lost.
    """
    keeper_links = keeper_support.KeeperLinks()
    with keeper_support.running_keepers(
        tmp_path, address_of=keeper_links.address_of
    ) as (
        running,
        client,
    ):
        old = client.leader()
        rest = others(running, old)
        links = [(old, name) for name in rest]
        with keeper_support.writing(client) as done:
            keeper_links.relay.cut(links)
            client.leader(rest)
            count = len(done)
            cell.wait_until(lambda: len(done) > count + 20, "writes during the cut")
            cell.wait_until(
                lambda: client.status(old).state != "leader",
                "the old leader steps down",
            )
            keeper_links.relay.heal(links)
            wait_caught_up(client, old)
        keeper_support.assert_writes_kept(client, done)
    keeper_links.relay.close()


def test_a_lost_disk_and_a_second_loss_right_after_the_repair(tmp_path):
    """A keeper's disk is replaced by an empty one; after the repair a second is lost.

    The first keeper restarts under a new identity and becomes a voter again without an
    operator. With its vote the writes survive the second loss.
    """
    with keeper_support.running_keepers(tmp_path) as (running, client):
        old = {member.identity for member in client.ask(keeper.ReadMembers()).members}
        first, second = others(running, client.leader())
        with keeper_support.writing(client) as done:
            running.kill(first)
            shutil.rmtree(tmp_path / "data" / first)
            running.start([first])

            def is_repaired():
                members = client.ask(keeper.ReadMembers()).members
                new = [m for m in members if m.identity not in old]
                return len(members) == 3 and [m.voter for m in new] == [True]

            cell.wait_until(is_repaired, "the keeper votes under its new identity")
            running.kill(second)
            shutil.rmtree(tmp_path / "data" / second)
            count = len(done)
            cell.wait_until(lambda: len(done) > count + 20, "writes after the loss")
        keeper_support.assert_writes_kept(client, done)


def test_a_full_disk_and_a_damaged_log_stop_one_keeper_with_a_clear_error(tmp_path):
    """A keeper's disk is full: the keeper stops voting at once, the others continue.

    After a restart it reads what it had synced. If a bit of that data is flipped, it
    does not start, and its error names the file and the offset.
    """
    with keeper_support.running_keepers(tmp_path) as (running, client):
        bad = others(running, client.leader())[0]
        running.kill(bad)
        settings = str(running.plan(bad).settings)
        running.run(
            bad, [sys.executable, "-c", RUN_KEEPER_WITH_FILE_LIMIT, "keeper", settings]
        )
        running.wait_ready([bad])
        with keeper_support.writing(client) as done:
            cell.wait_until(
                lambda: running.processes[bad].poll() == disk.EXIT_STORAGE,
                "the keeper exits",
            )
        keeper_support.assert_writes_kept(client, done)
        assert "does not vote" in running.log(bad)
        running.start([bad])
        wait_caught_up(client, bad)
        running.kill(bad)
        log = tmp_path / "data" / bad / "log"
        data = bytearray(log.read_bytes())
        data[len(data) // 2] ^= 1
        log.write_bytes(data)
        running.start([bad])
        assert running.processes[bad].wait(timeout=20) == disk.EXIT_STORAGE
        assert f"{log}: the record at offset" in running.log(bad)


@pytest.mark.parametrize("voters", [1, 3])
def test_a_planned_stop_of_the_leader_hands_over(tmp_path, voters):
    """The leader's VM is stopped for maintenance; the leader hands over first."""
    options = {"voters": voters}
    with keeper_support.running_keepers(tmp_path, **options) as (running, client):
        leader = client.leader()
        assert client.write("team/a", b"1").status == "accepted"
        running.processes[leader].send_signal(signal.SIGTERM)
        assert running.processes[leader].wait(timeout=20) == 0
        if voters > 1:
            new = client.leader(others(running, leader))
            timeline = running.folder / "data" / new / f"{new}.timeline.0.jsonl"
            assert "took_over" in timeline.read_text()
