"""Messages that arrive late or out of order, simulated by placer_sim."""

import pytest

from tests import placer_sim


def make_world(rates=(0.995, 1.005)):
    world = placer_sim.World(rates=rates)
    world.run_until(lambda: world.owner() is not None)
    world.run(3000)
    return world


@pytest.fixture
def world():
    return make_world()


def placements(owner):
    return [details for _, kind, details in owner.events if kind == "task_placed"]


def hold_runs(world, state="holds"):
    """Set the links that carry the owner's commands to all workers."""
    for name in world.workers:
        world.link(world.owner().name, name, state, both=False)


def test_grant_appended_late_does_not_make_a_second_owner(world):
    """The standby misses heartbeats, requests ownership, then gets heartbeats again.

    Its request is delayed in the network. When it is granted, the standby has already
    renewed its promise, and both placers would command the same workers.
    """
    owner = world.owner()
    standby = world.placers[owner.peer]
    world.link(owner.name, "k", "drops", both=False)
    world.link(owner.name, standby.name, "drops", both=False)
    world.link(standby.name, "k", "holds", both=False)
    world.run(2600)
    assert world.owner() is None
    world.link(owner.name, standby.name, "passes", both=False)
    world.run_until(lambda: world.owner() is owner)
    world.link(standby.name, owner.name, "drops", both=False)
    world.link(standby.name, "k", "passes", both=False)
    world.run_until(lambda: world.owner() is standby)


@pytest.mark.parametrize("source", ["standby", "keepers"])
def test_lease_counts_from_sending(world, source):
    """An answer to an owner's renewal is delayed in the network for two seconds.

    Its lease has lapsed since, and the domain has another owner. If the lease counted
    from the arrival of the answer, the old and the new owner would both act.
    """
    owner = world.owner()
    standby = world.placers[owner.peer]
    sender = standby.name if source == "standby" else "k"
    other = "k" if source == "standby" else standby.name
    world.link(other, owner.name, "drops", both=False)
    world.run(500)
    world.link(sender, owner.name, "holds", both=False)
    world.run(400)
    late = world.network.pop_held(sender, owner.name)
    world.link(owner.name, standby.name, "drops")
    world.link(owner.name, "k", "drops")
    world.run_until(lambda: world.owner() is standby)
    for call in late:
        call()
        world.step()
    assert world.owner() is standby


@pytest.mark.parametrize("rates", [(0.995, 1.005), (1.005, 0.995)])
def test_cut_off_task_stops_before_it_starts_elsewhere(rates):
    """A worker is cut off; its clock is 1% slower, or faster, than the owner's.

    The worker stops its task when the lease lapses by its own clock. The owner waits
    for the lease and a margin by its own clock before it starts the task elsewhere.
    """
    world = make_world(rates)
    world.submit("j1", tasks=3, run_ms=60_000)
    world.run_until(lambda: all(world.workers_of(f"j1/{n}") for n in range(3)))
    world.run(1000)
    cut = world.workers_of("j1/0")[0]
    for name in world.placers:
        world.link(name, cut, "drops")
    world.run_until(lambda: world.workers_of("j1/0") not in ([], [cut]))


def test_deposed_owner_renews_no_lease(world):
    """A worker reaches only the old owner, which lost both leases but still runs.

    The new owner treats the worker's lease as lapsed and starts its task elsewhere. If
    the old owner still answered, the worker would never stop the task.
    """
    world.submit("j1", run_ms=90_000)
    world.run_until(lambda: world.workers_of("j1/0"))
    world.run(1000)
    owner, worker = world.owner(), world.workers_of("j1/0")[0]
    world.link(owner.name, "k", "drops")
    world.link(owner.name, owner.peer, "drops")
    world.link(owner.peer, worker, "drops")
    world.run_until(lambda: world.workers_of("j1/0") not in ([], [worker]))


def test_report_made_before_a_run_does_not_end_it(world):
    """A worker sends a report, then a run command arrives; its answer arrives first.

    The report does not list the task. If the owner took that for the task's end, it
    would start the task a second time while it runs.
    """
    owner = world.owner()
    hold_runs(world)
    world.submit("j1", run_ms=60_000)
    world.run_until(lambda: placements(owner))
    worker = world.workers[placements(owner)[0]["target_id"]]
    world.run(100)
    world.link(worker.name, owner.name, "holds", both=False)
    sequence = worker.sequence
    world.run_until(lambda: worker.sequence > sequence)
    report = world.network.pop_held(worker.name, owner.name)
    world.link(owner.name, worker.name, "passes", both=False)
    world.run(50)
    world.link(worker.name, owner.name, "passes", both=False)
    world.run(50)
    assert world.workers_of("j1/0") == [worker.name]
    for call in report:
        call()
    world.heal()
    world.run(5000)
    assert world.starts["j1/0"] == 1


def test_finish_is_forgotten_only_when_the_keepers_hold_it(world):
    """A task finishes while the owner can't reach the keepers; then both placers fail.

    If the owner had acknowledged the end to the worker, no process would know that the
    task ran, and it would run a second time.
    """
    owner = world.owner()
    world.submit("j1", run_ms=1500)
    world.run_until(lambda: world.workers_of("j1/0"))
    world.link(owner.name, "k", "drops", both=False)
    world.run_until(lambda: not world.workers_of("j1/0"))
    world.run(1000)
    for placer in world.placers.values():
        placer.start()
    world.heal()
    world.run_until(lambda: world.status("j1").state == "finished")
    assert world.starts["j1/0"] == 1


def test_late_copy_of_a_write_does_not_bring_back_an_old_status(world):
    """The first copy of a status write is delayed and arrives after the job's end.

    If it were applied, the finished job would be shown as running for ever, and the
    next owner would run it again.
    """
    owner = world.owner()
    world.submit("j1", run_ms=500)
    world.run_until(lambda: placements(owner))
    world.link(owner.name, "k", "holds", both=False)
    world.run_until(lambda: world.workers_of("j1/0"))
    world.run(200)
    late = world.network.pop_held(owner.name, "k")
    world.heal()
    world.run_until(lambda: getattr(world.status("j1"), "state", "") == "finished")
    for call in late:
        call()
    assert world.status("j1").state == "finished"


def test_refusal_counts_only_when_no_other_copy_is_in_transit(world):
    """The first copy of a run command is delayed; a leaving worker refuses the second.

    If the task were placed elsewhere at once, it would run twice when the first copy
    arrives at a worker that accepts tasks again.
    """
    owner = world.owner()
    hold_runs(world)
    world.submit("j1", run_ms=60_000)
    world.run_until(lambda: placements(owner))
    worker = world.workers[placements(owner)[0]["target_id"]]
    world.run(2200)
    late = world.network.pop_held(owner.name, worker.name)
    worker.refuses, worker.state = True, "leaving"
    world.heal()
    world.run(2000)
    worker.refuses, worker.state = False, "ready"
    for call in late:
        call()
    world.run(10_000)
    assert len(world.workers_of("j1/0")) == 1


def test_report_under_an_older_epoch_does_not_free_a_task(world):
    """The owner fails while a run command is in transit to a worker at its epoch.

    The worker's first report to the new owner does not list the task, and the answer
    with the new epoch is lost. If the report were taken for the task's end, the task
    would start elsewhere, and then the old run command would arrive.
    """
    owner = world.owner()
    hold_runs(world)
    world.submit("j1", run_ms=60_000, when_cut_off="stay")
    world.run_until(lambda: placements(owner))
    worker = world.workers[placements(owner)[0]["target_id"]]
    world.run(100)
    world.link(owner.peer, worker.name, "drops", both=False)
    owner.kill()
    world.run_until(lambda: world.owner() is not None)
    successor = world.owner()
    world.run_until(
        lambda: successor.last_event("target_renewed")["target_id"] == worker.name
    )
    world.run(500)
    world.link(owner.name, worker.name, "passes", both=False)
    world.run(50)
    assert world.workers_of("j1/0") == [worker.name]
    world.run(3000)
    world.heal()
    world.run(10_000)
    assert len(world.workers_of("j1/0")) == 1
