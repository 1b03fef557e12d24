"""Leaders that are frozen, replaced, and resume beyond a network partition."""

import contextlib

from alderreach.core import orders
from alderreach.core.generated import keeper
from tests import cell_sim
from tools.standins import cell_worker

# Longer than an election, and shorter than the lease that the workers still have.
FROZEN_MS = 5400


def test_a_leader_that_resumes_with_old_replies_extends_no_lease(tmp_path):
    """Guards against a task that runs twice: a replaced leader resumed, took replies
    from before its freeze as proof of its leadership, and extended a worker's lease.
    """
    with _cell_with_two_busy_workers(tmp_path) as (sim, _first, second):
        old = sim.leader()
        _freeze_with_replies_under_way(sim, old)
        _cut_off(sim, old, second)
        sim.run(FROZEN_MS)
        assert sim.leader() != old
        sim.thaw(old)
        sim.run(15_000)


def test_a_leader_that_is_frozen_between_two_polls_extends_no_lease(tmp_path):
    """Guards against a task that runs twice: a leader checked its quorum, was frozen
    and replaced, and then granted a lease as of the time when it resumed.
    """
    with _cell_with_two_busy_workers(tmp_path) as (sim, first, second):
        old = sim.leader()

        def freeze(call):
            if isinstance(call.order, orders.Poll) and call.target_id == first:
                sim.call_delay_ms = lambda call: 0
                sim.freeze(old)
                _cut_off(sim, old, second)
                sim.run(FROZEN_MS)
                assert sim.leader() != old
            return 0

        sim.call_delay_ms = freeze
        assert sim.run(1000, lambda: old in sim.frozen)
        sim.thaw(old)
        sim.run(15_000)


@contextlib.contextmanager
def _cell_with_two_busy_workers(folder):
    """Yield a cell and the names of two of its workers, each with a long task."""
    with cell_sim.running_cell(folder, workers=3) as sim:
        for worker in sim.workers.values():
            worker.script = cell_worker.Script(work_ms=60_000)
        cell_sim.submit_job(sim, "j1", cell_sim.step(2, max_per_target=1))
        assert sim.run(1000, lambda: len(_busy_workers(sim)) == 2)
        yield sim, *_busy_workers(sim)


def _busy_workers(sim):
    return [worker.name for worker in sim.workers.values() if worker.running]


def _freeze_with_replies_under_way(sim, name):
    """Freeze a leader right after it has sent messages to the other controllers."""
    for _attempt in range(100):
        sim.tick(name)
        sim.freeze(name)
        sim.run(20)
        messages = [getattr(held, "message", None) for held in sim.frozen[name]]
        if any(isinstance(message, keeper.AppendReply) for message in messages):
            return
        sim.thaw(name)
    raise AssertionError("the leader sent nothing")


def _cut_off(sim, controller, worker):
    """Cut a controller and a worker off from all other controllers."""
    others = [name for name in sim.names if name != controller]
    for name in (controller, worker):
        sim.cut |= {(name, other) for other in others}
        sim.cut |= {(other, name) for other in others}
