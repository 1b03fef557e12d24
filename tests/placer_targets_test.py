"""Runners, services and maintenance windows, simulated by placer_sim."""

import json

import pytest

from alderreach.core import codec
from alderreach.core.generated import common, placer
from alderreach.ops import target_wire
from tests import placer_sim


@pytest.fixture
def world():
    world = placer_sim.World()
    world.run_until(lambda: world.owner() is not None)
    world.run(3000)
    return world


def test_leaving_runner_is_shown_at_once(world):
    """A runner announces that it leaves; entries must stop sending to it at once."""
    owner = world.owner()
    views = []
    world.on_entry_message = views.append
    owner.receive_message("entry", placer.WatchTargets(0, 0))
    for sequence, state in enumerate(("ready", "leaving"), 1):
        announce_runner(owner, sequence, state)
        world.run_until(lambda state=state: runner_states(views) == {"r1": state}, 1000)


def test_window_is_cleared_before_it_starts(world):
    """A window stops a VM in 40 s; the task that runs there must not be interrupted.

    Since the start is near, the VM gets no new tasks after the declaration. Its task is
    stopped half a minute before the start and runs elsewhere, and the target's row
    shows when the VM is ready.
    """
    world.submit("j1", run_ms=300_000)
    world.run_until(lambda: world.workers_of("j1/0"))
    worker = world.workers[world.workers_of("j1/0")[0]]
    owner = world.owner()
    start_ms = owner.clock.wall_ms() + 40_000
    window = common.MaintenanceWindow(
        "m1", placer_sim.DOMAIN, [worker.name], [], start_ms, start_ms + 60_000
    )
    world.keepers.write("maintenance/m1", codec.encode(window))
    world.run(1000)
    assert note_of(world, worker.name).startswith("maintenance clearing: not ready")
    world.submit("j2", tasks=4, run_ms=100_000)
    world.run_until(lambda: world.workers_of("j2/3"))
    assert len(worker.running()) == 1
    world.run_until(lambda: world.workers_of("j1/0") not in ([], [worker.name]))
    assert owner.clock.wall_ms() < start_ms - 20_000
    world.run(1000)
    assert note_of(world, worker.name) == "maintenance clearing: ready, nothing runs"


def test_service_task_that_ends_is_restarted_once(world):
    """A runner's process exits by itself with code 0 and is started again.

    If the task counted as finished, the new process would be stopped at its first
    report.
    """
    task = start_service(world)
    world.run(1500)
    task["state"] = "finished"
    world.run_until(lambda: world.starts[task["task_id"]] == 2)
    world.run(5000)
    assert world.workers_of(task["task_id"])
    assert world.starts[task["task_id"]] == 2
    world.keepers.write("workload/a/s", None)
    world.run_until(lambda: not world.workers_of(task["task_id"]))


def test_runner_of_a_stopped_task_is_shown_as_leaving(world):
    """Operators remove a service; the worker gives its runner a grace period to end.

    Entries that still saw the runner as ready would send it requests that the stop
    interrupts.
    """
    task = start_service(world)
    views, owner = [], world.owner()
    world.on_entry_message = views.append
    owner.receive_message("entry", placer.WatchTargets(0, 0))
    announce_runner(owner, 1, "ready", task["task_id"])
    world.run_until(lambda: runner_states(views) == {"r1": "ready"}, 1000)
    for name in world.workers:
        world.link(name, owner.name, "drops", both=False)
    world.keepers.write("workload/a/s", None)
    world.run_until(lambda: runner_states(views) == {"r1": "leaving"}, 1000)


def start_service(world):
    """Declare a service with one task; returns its worker's record of the task."""
    workload = common.Workload(
        "a",
        "s",
        "service",
        common.Resources(1000, 1000, 0),
        1,
        5,
        8,
        64,
        1000,
        False,
        "stay",
        False,
        0,
        placer_sim.DOMAIN,
    )
    world.keepers.write("workload/a/s", codec.encode(workload))
    world.run_until(lambda: any(w.running() for w in world.workers.values()))
    return next(task for w in world.workers.values() for task in w.running())


def note_of(world, target_id):
    """Return the note in a target's row, as operators see it."""
    replies = []
    world.on_entry_message = replies.append
    world.owner().receive_message("entry", placer.TargetQuery("q"))
    world.run_until(lambda: replies)
    rows = {row.target_id: row for row in replies[0].targets}
    return rows[target_id].note


def announce_runner(owner, sequence, state, task_id=""):
    content = {
        "kind": "runner",
        "boot_id": "b1",
        "sequence": sequence,
        "state": state,
        "vm": "v9",
        "rack": "r1",
        "failure_domain": placer_sim.DOMAIN,
        "address": "127.0.0.1:2",
        "service": "s",
        "slots": 8,
        "connections": 64,
        "task_id": task_id,
    }
    announcement = target_wire.parse_announcement("r1", json.dumps(content).encode())
    owner.on_announcement(announcement.unwrap(), lambda status, answer: None)


def runner_states(views):
    """Return the runners' states that an entry knows once it has applied the views."""
    states = {}
    for view in views:
        if view.from_sequence == 0:
            states = {}
        states.update({runner.runner_id: runner.state for runner in view.runners})
    return states
