"""A task that crashes each worker that starts it, in a simulated failure domain."""

import pytest

from alderreach.decisions import endings
from tests import placer_sim


def test_a_task_that_crashes_workers_fails_even_if_owners_change():
    """A new owner must not reset the count of workers that a task has crashed."""
    world = make_world(workers=4)
    world.submit("j1", run_ms=60_000)
    starts = 0
    while starts <= endings.MAX_LOSSES and _is_running(world):
        starts += 1
        worker = world.workers[world.workers_of("j1/0")[0]]
        worker.kill()
        world.run_until(lambda: not world.workers_of("j1/0"))
        worker.start()
        _replace_owner(world)
    assert starts == endings.MAX_LOSSES
    assert world.status("j1").state == "failed"


def test_a_start_that_was_never_sent_is_not_counted_as_a_loss():
    """Guards against a job that fails although none of its tasks was ever started.

    The standby does not confirm the records of the starts, so no start is sent before
    its worker restarts.
    """
    world = make_world()
    owner = world.owner()
    world.submit("j1", run_ms=500)
    for losses in range(1, endings.MAX_LOSSES + 1):
        world.link(owner.name, owner.peer, "drops")
        world.run_until(lambda n=losses: _count(owner, "task_placed") == n)
        worker = world.workers[owner.last_event("task_placed")["target_id"]]
        worker.kill()
        worker.start()
        world.run_until(lambda n=losses: _count(owner, "task_ended") == n)
        world.heal()
    assert not world.starts
    world.run_until(lambda: world.status("j1").state == "finished")


def test_a_start_that_did_not_reach_its_worker_is_not_counted_as_a_loss():
    """Guards against a job that fails although each start of its task was refused.

    The worker has restarted and refuses all commands to its previous boot, but its
    first report is late.
    """
    world = make_world()
    owner = world.owner()
    world.submit("j1", run_ms=500)
    for losses in range(1, endings.MAX_LOSSES + 1):
        world.link(owner.name, owner.peer, "drops")
        world.run_until(lambda n=losses: _count(owner, "task_placed") == n)
        worker = world.workers[owner.last_event("task_placed")["target_id"]]
        worker.kill()
        worker.start()
        worker.next_ms = worker.clock.monotonic_ms() + 500
        world.heal()
        world.run_until(lambda n=losses: _count(owner, "task_ended") == n)
    assert not world.starts
    world.run_until(lambda: world.status("j1").state == "finished")


def test_a_loss_after_a_takeover_does_not_count_against_an_old_task():
    """Guards against a job that fails for crashes long after its task had started: the
    new owner does not know when that was, and took the takeover for its start.
    """
    world = make_world()
    world.submit("j1", run_ms=600_000)
    for _loss in range(endings.MAX_LOSSES):
        world.run_until(lambda: world.workers_of("j1/0"))
        world.run(endings.EARLY_LOSS_MS + 1000)
        _replace_owner(world)
        worker = world.workers[world.workers_of("j1/0")[0]]
        worker.kill()
        worker.start()
        world.run_until(lambda: not world.workers_of("j1/0"))
        world.run(1000)
    assert world.status("j1").state == "running"


@pytest.mark.parametrize("last_state", ["leaving", "gone"])
def test_a_worker_that_leaves_does_not_count_against_its_tasks(last_state):
    """Guards against a job that fails although no worker has crashed: each of them had
    said that it leaves before it ended.
    """
    world = make_world()
    world.submit("j1", run_ms=60_000)
    for _loss in range(endings.MAX_LOSSES):
        world.run_until(lambda: world.workers_of("j1/0"))
        world.run(1000)
        worker = world.workers[world.workers_of("j1/0")[0]]
        worker.state, worker.next_ms = last_state, 0
        world.step()
        worker.kill()
        world.run(500)
        worker.start()
        worker.state = "ready"
        world.run(1000)
    assert world.status("j1").state == "running"


@pytest.mark.parametrize("has_takeover", [False, True])
def test_a_task_whose_workers_are_cut_off_does_not_fail(has_takeover):
    """Guards against partitions that are counted as crashes, also by a new owner."""
    world = make_world()
    world.submit("j1", run_ms=30_000)
    for _cut in range(2 * endings.MAX_LOSSES):
        world.run_until(lambda: world.workers_of("j1/0"))
        worker = world.workers[world.workers_of("j1/0")[0]]
        _cut_off(world, worker)
        world.run_until(lambda w=worker: not w.running())
        world.run(3000)
        if has_takeover:
            _replace_owner(world)
        world.heal()
        world.run(1000)
    world.run_until(lambda: world.status("j1").state == "finished")


@pytest.mark.parametrize("has_takeover", [False, True])
def test_a_crash_counts_though_its_worker_returns_after_its_lease(has_takeover):
    """Guards against crashes that are forgotten once a worker's lease has lapsed."""
    world = make_world()
    world.submit("j1", run_ms=30_000)
    starts = 0
    while starts <= endings.MAX_LOSSES and _is_running(world):
        starts += 1
        worker = world.workers[world.workers_of("j1/0")[0]]
        owner = world.owner()
        world.run(500)
        ended = _count(owner, "task_ended")
        worker.kill()
        world.run_until(lambda n=ended, o=owner: _count(o, "task_ended") > n)
        if has_takeover:
            _replace_owner(world)
        worker.start()
        world.run(1500)
    assert starts == endings.MAX_LOSSES
    assert world.status("j1").state == "failed"


def test_a_task_whose_workers_never_return_starts_ever_more_rarely():
    """Guards against a task that takes down all workers of a domain, and against a job
    that fails although it is not known whether its task was the cause.
    """
    world = make_world(workers=20)
    world.submit("j1", run_ms=600_000)
    world.submit("j2", tasks=4, run_ms=1000)
    for _second in range(120):
        for name in world.workers_of("j1/0"):
            world.workers[name].kill()
        world.run(1000)
    alive = [worker for worker in world.workers.values() if worker.alive]
    assert len(alive) >= 20 - endings.MAX_LOSSES - 5
    assert world.status("j1").state in ("waiting", "running")
    world.run_until(lambda: world.workers_of("j1/0"), endings.MAX_DOUBT_PAUSE_MS)


def make_world(workers=6):
    """Return a failure domain with an owner."""
    world = placer_sim.World(workers)
    world.run_until(lambda: world.owner() is not None)
    world.run(3000)
    return world


def _cut_off(world, worker):
    for name in world.placers:
        world.link(worker.name, name, "drops")


def _count(placer, kind):
    return sum(name == kind for _, name, _details in placer.events)


def _is_running(world):
    """Run until the task runs or its job has failed; return whether the task runs."""

    def is_settled():
        status = world.status("j1")
        return world.workers_of("j1/0") or (status and status.state == "failed")

    world.run_until(is_settled)
    return bool(world.workers_of("j1/0"))


def _replace_owner(world):
    old = world.owner()
    world.run(500)
    old.kill()
    world.run_until(lambda: world.owner() is not None)
    old.start()
    world.run(1000)
