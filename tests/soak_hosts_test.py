"""Tests of the soak test's faulty machines and lost disks, with real controllers."""

import contextlib
import json
import shutil
import time

import urllib3

from tools import cell
from tools.soak import faulty_controller, linked_cell

HOUR_MS = 3_600_000


def events(running, name, kind):
    lines = running.log(name).splitlines()
    found = [line for line in lines if f'"event":"{kind}"' in line]
    return [json.loads(line[line.index("{") :]) for line in found]


def leader_beside_changes(running):
    """The leader, after a change to the configuration that it may have written."""
    config = {"version": time.time_ns(), "routes": [], "services": []}
    with contextlib.suppress(urllib3.exceptions.HTTPError):
        url = f"http://{running.plan('controller-1').control}/-/config"
        running.http.request("PUT", url, json=config, timeout=0.5)
    return running.leader()


def test_faulty_machines_have_effect_on_their_controllers(tmp_path):
    """Guards against clocks and disks of the soak test that are sound in truth.

    Only the wall clock steps; a leader that can't write is replaced, and votes again.
    """
    with linked_cell.LinkedCell(tmp_path) as running:
        running.set_host(running.plan("controller-1"), clock_offset_ms=HOUR_MS)
        running.start()
        for disk in (faulty_controller.FULL, faulty_controller.STALLED):
            first = cell.wait_until(running.leader, "a leader is elected")
            cell.wait_until(running.has_all_voters, "all controllers vote")
            plan = running.plan(first)
            running.set_host(plan, disk=disk)
            cell.wait_until(
                lambda f=first: leader_beside_changes(running) != f,
                f"{disk}: another controller leads",
            )
            running.set_host(plan)
            cell.wait_until(running.has_all_voters, f"{disk}: the controller votes")
        assert all(process.poll() is None for process in running.processes.values())
        offsets_ms = [
            event["wall_ms"] - time.time_ns() // 10**6
            for name in ("controller-1", "controller-2")
            for event in events(running, name, "process_started")
        ]
        assert [round(offset_ms / HOUR_MS) for offset_ms in offsets_ms] == [1, 0]


def test_a_controller_without_its_disk_counts_as_lost_until_it_votes_again(tmp_path):
    """Guards against a second lost disk that the cell does not tolerate.

    The controller's former identity stays a voter for a while, also after a restart.
    """
    with linked_cell.LinkedCell(tmp_path) as running:
        running.start()
        cell.wait_until(running.has_all_voters, "the cell has three voters")
        running.kill("controller-2")
        shutil.rmtree(tmp_path / "data" / "controller-2")
        assert not running.has_all_voters()
        running.start(["controller-2"])
        assert not running.has_all_voters()
        cell.wait_until(running.has_all_voters, "the controller votes again")
