"""Single failures in a failure domain, simulated by placer_sim."""

import pytest

from tests import placer_sim

LAPSE_MS = placer_sim.TIMING.target_lease_ms + placer_sim.TIMING.lease_margin_ms
MAX_TAKEOVER_MS = 3000


@pytest.fixture
def world():
    world = placer_sim.World()
    world.run_until(lambda: world.owner() is not None)
    world.run(3000)
    return world


def start_one(world, **details):
    """Submit a long job with one task; returns the worker that runs it."""
    world.submit("j1", run_ms=details.pop("run_ms", 60_000), **details)
    world.run_until(lambda: world.workers_of("j1/0"))
    return world.workers[world.workers_of("j1/0")[0]]


def worker_states(world, job_id="j1"):
    return [
        (name, task["attempt"])
        for name, worker in world.workers.items()
        for task in worker.tasks.values()
        if task["job_id"] == job_id
    ]


def test_killed_owner_is_replaced_and_nothing_is_restarted(world):
    """The owner's VM fails while a batch runs, and new work waits until the takeover.

    The standby may take over once its promise and the keepers' lease have lapsed. It
    must know the running tasks: one that it did not know would be run a second time.
    """
    world.submit("j1", tasks=6, run_ms=8000)
    world.run_until(lambda: len(worker_states(world)) == 6)
    before = sorted(worker_states(world))
    old = world.owner()
    old.kill()
    took_ms = world.run_until(lambda: world.owner() is not None)
    assert took_ms < MAX_TAKEOVER_MS
    world.run(4000)
    assert sorted(worker_states(world)) == before
    world.run_until(lambda: world.status("j1").state == "finished")
    assert len({attempt for _, attempt in before}) == 1


def test_owner_cut_off_from_the_quorum_stays_owner(world):
    """The domain's uplink fails; its owner and standby still reach each other.

    The standby keeps renewing its promise, so the owner continues to place tasks and to
    renew leases. No other placer is granted the domain, although the keepers' lease has
    lapsed.
    """
    world.submit("j1", tasks=1, run_ms=3000, fail=True)
    world.run_until(lambda: world.workers_of("j1/0"))
    for name in world.placers:
        world.link("k", name, "drops")
    owner = world.owner()
    world.run(10_000)
    assert world.owner() is owner
    assert [kind for _, kind, _ in owner.events].count("task_started") == 3
    world.heal()
    world.run_until(lambda: world.status("j1").state == "failed")


def test_standby_that_reaches_the_keepers_does_not_take_a_served_domain(world):
    """Only the link between the owner and the keepers is cut.

    The standby could be granted the domain after two seconds, while the owner, which
    relies on the standby's promise, still commands its workers: two owners at once.
    """
    owner = world.owner()
    world.link("k", owner.name, "drops")
    world.run(10_000)
    assert world.owner() is owner


def test_restarted_standby_honours_its_earlier_promise(world):
    """The standby promises, crashes and restarts while only the owner is cut off.

    It has no record of its promise. If it requested ownership at once, the keepers
    would grant it, since their lease has lapsed, while the owner still acts on the
    promise.
    """
    owner = world.owner()
    standby = world.placers[owner.peer]
    world.link("k", owner.name, "drops")
    world.run(5000)
    world.link(owner.name, standby.name, "drops")
    standby.start()
    world.run(1500)
    assert world.owner() is owner
    world.run_until(lambda: world.owner() is standby)


def test_owner_that_was_frozen_does_not_act(world):
    """The owner's VM is paused for longer than all leases, with commands in its queue.

    It does not notice the pause. If it sent the commands under its old epoch, a worker
    that has no message from the new owner yet would start a task twice.
    """
    world.submit("j1", tasks=1, run_ms=20_000)
    old = world.owner()
    world.run_until(lambda: any(kind == "task_placed" for _, kind, _ in old.events))
    old.frozen = True
    world.run_until(lambda: world.owner() not in (None, old))
    old.frozen = False
    old.step()
    assert not old.service.may_act
    world.run_until(lambda: world.workers_of("j1/0"))
    world.run(10_000)
    assert len(world.workers_of("j1/0")) == 1


def test_delayed_run_does_not_start_a_task_placed_elsewhere(world):
    """A run command is delayed in a link; the worker is cut off until its lease lapses.

    The task starts elsewhere. Then the link is healed, and the old command arrives at a
    worker whose lease has been renewed and whose epoch still matches.
    """
    owner = world.owner()
    for name in world.workers:
        world.link(owner.name, name, "holds", both=False)
    world.submit("j1", tasks=1, run_ms=60_000)
    placed = world.run_until(
        lambda: any(kind == "task_placed" for _, kind, _ in owner.events)
    )
    assert placed < 5000
    target = owner.last_event("task_placed")["target_id"]
    world.link(target, owner.name, "drops", both=False)
    for name in set(world.workers) - {target}:
        world.link(owner.name, name, "passes")
    world.run_until(lambda: world.workers_of("j1/0"))
    late = world.network.pop_held(owner.name, target)
    world.heal()
    world.run(3000)
    for call in late:
        call()
    world.run(3000)
    assert len(world.workers_of("j1/0")) == 1
    assert world.workers_of("j1/0") != [target]


def test_second_copy_of_a_run_does_not_repeat_a_finished_task(world):
    """The first copy of a run command is delayed; the second copy runs and finishes.

    If the owner acknowledged the end, the worker would forget the attempt and accept
    the first copy as a new one: two crews at the same anchor inspection.
    """
    owner = world.owner()
    for name in world.workers:
        world.link(owner.name, name, "holds", both=False)
    world.submit("j1", tasks=1, run_ms=100)
    world.run(2500)
    held = [world.network.pop_held(owner.name, name) for name in world.workers]
    world.heal()
    world.run_until(lambda: world.status("j1").state == "finished")
    world.run(1000)
    for call in [call for calls in held for call in calls]:
        call()
    assert not world.workers_of("j1/0")


def test_task_that_stays_is_held_until_its_worker_is_known(world):
    """A worker with a task that stays (``when_cut_off="stay"``) is cut off for long.

    The task keeps running, and must not start elsewhere however much time passes. When
    the worker is back, the task is still placed there; a reboot of the worker frees it.
    """
    worker = start_one(world, when_cut_off="stay")
    for name in world.placers:
        world.link(name, worker.name, "drops")
    world.run(4 * LAPSE_MS)
    assert world.workers_of("j1/0") == [worker.name]
    world.heal()
    world.run(3000)
    assert world.workers_of("j1/0") == [worker.name]
    worker.start()
    world.run_until(lambda: world.workers_of("j1/0"))


def test_task_that_stays_is_known_after_the_loss_of_both_placers(world):
    """Both placers' VMs are lost while the worker of a task that stays is cut off.

    Only the keepers still know the task: without their item the new owner would start
    it a second time while it still runs.
    """
    worker = start_one(world, when_cut_off="stay")
    world.run(1000)
    for name in world.placers:
        world.link(name, worker.name, "drops")
        world.placers[name].start()
    world.run(4 * LAPSE_MS)
    assert world.workers_of("j1/0") == [worker.name]
    world.heal()
    world.run(5000)
    assert world.workers_of("j1/0") == [worker.name]


def test_operator_who_declares_a_target_dead_frees_a_task_that_stays(world):
    """The VM of a task that stays is destroyed, and an operator declares it dead.

    Otherwise the task would be held for ever, since no timeout proves that it ended.
    """
    worker = start_one(world, when_cut_off="stay")
    worker.kill()
    world.run(2 * LAPSE_MS)
    assert not world.workers_of("j1/0")
    world.keepers.write(f"target/{worker.name}", b"dead")
    world.run_until(lambda: world.workers_of("j1/0"))
    key = f"target/{worker.name}"
    world.run_until(lambda: world.keepers.state.items[key].value is None, 1000)


def test_lost_records_delay_starts_until_leases_lapse(world):
    """The owner fails right after the standby restarted, before it has any records.

    Workers that can't reach the new owner run tasks that it has no record of. It must
    not start them again before the workers have stopped them.
    """
    worker = start_one(world)
    owner = world.owner()
    for name in world.placers:
        world.link(name, worker.name, "drops")
    owner.kill()
    world.placers[owner.peer].start()
    world.run(3 * LAPSE_MS)
    assert len(world.workers_of("j1/0")) == 1
    assert world.workers_of("j1/0") != [worker.name]


def test_cancellations_during_a_takeover_stop_every_task(world):
    """Several jobs are cancelled while the domain has no owner.

    The new owner reads the cancellations with the jobs. It must stop tasks that are
    restored as running, and must not start tasks that wait.
    """
    for number in range(6):
        world.submit(f"j{number}", tasks=3, run_ms=60_000)
    world.run_until(lambda: any(world.workers_of(f"j{n}/0") for n in range(6)))
    world.run(1000)
    world.owner().kill()
    for number in range(6):
        world.cancel(f"j{number}")
    states = {f"j{n}": "cancelled" for n in range(6)}
    world.run_until(lambda: {j: world.status(j).state for j in states} == states)
    assert not any(worker.running() for worker in world.workers.values())


def test_cancellations_during_a_takeover_interrupt_no_other_job(world):
    """Jobs are cancelled while the domain has no owner, beside one that continues.

    The takeover must be over before the leases of the targets lapse: its tasks must
    neither stop nor start a second time.
    """
    world.submit("kept", tasks=6, run_ms=20_000)
    for number in range(3):
        world.submit(f"j{number}", tasks=2, run_ms=60_000)
    jobs = {"kept": 6, "j0": 2, "j1": 2, "j2": 2}
    world.run_until(
        lambda: all(len(worker_states(world, job)) == jobs[job] for job in jobs)
    )
    before = sorted(worker_states(world, "kept"))
    world.owner().kill()
    for number in range(3):
        world.cancel(f"j{number}")
    states = {f"j{n}": "cancelled" for n in range(3)}
    world.run_until(lambda: {j: world.status(j).state for j in states} == states)
    world.run(LAPSE_MS)
    assert sorted(worker_states(world, "kept")) == before
    running = [task for w in world.workers.values() for task in w.running()]
    assert len(running) == 6
    world.run_until(lambda: world.status("kept").state == "finished")


def test_handover_leaves_no_gap(world):
    """The owner's VM is stopped for maintenance; entries must see an owner at once.

    The last heartbeat tells the standby to take over without waiting for any lease.
    """
    worker = start_one(world)
    old = world.owner()
    old.drain()
    took_ms = world.run_until(lambda: world.owner() not in (None, old))
    assert took_ms < placer_sim.TIMING.owner_beat_ms
    world.run(5000)
    assert worker_states(world) == [(worker.name, worker.tasks["j1/0"]["attempt"])]


def test_record_precedes_the_run_command(world):
    """The owner's messages don't reach the standby while a task is placed.

    If the run command were sent before another process holds its record and the owner
    then failed, the task would run unknown to the next owner.
    """
    owner = world.owner()
    world.link(owner.name, owner.peer, "drops", both=False)
    world.submit("j1")
    world.run_until(lambda: "task_placed" in [kind for _, kind, _ in owner.events])
    world.link(owner.name, "k", "drops", both=False)
    world.run(1000)
    assert not world.starts
