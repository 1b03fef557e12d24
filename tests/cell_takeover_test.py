"""A new leader and the runs that it did not start itself."""

import pytest

from alderreach.ops.controller import running
from tools import virtual_cell, virtual_parts

WORKERS = 8
WORK_MS = 4000


@pytest.mark.parametrize("checkpointing", [True, False])
def test_no_run_is_moved_for_being_slow_after_a_takeover(checkpointing):
    """Guards against healthy runs that are stopped as slow. A leader is lost while a
    plan's tasks are in progress. Its successor took the time since the takeover as the
    run time of the tasks that end first. By that measure their siblings were slow, were
    stopped, and their healthy workers got no new work for seconds.
    """
    records = [virtual_parts.worker(n, 4000) for n in range(WORKERS)]
    sim = virtual_cell.VirtualCell([virtual_parts.queue("q")], records)
    work_ms = [WORK_MS * (1 + index / 40) for index in range(4 * WORKERS)]
    step = virtual_parts.step(len(work_ms), 1000, checkpointing=checkpointing)
    sim.submit("q", "plan", [virtual_parts.Work(step, work_ms)])
    sim.lose_leader_at(WORK_MS * 0.9, 300)
    sim.run_until(4 * WORK_MS)
    assert sim.outcomes()["q"].on_time == 1
    assert sim.moves == 0


def test_a_new_leader_does_not_call_thousands_of_idle_workers_at_once():
    """Pattern: a change of leader in a cell of many workers, most of them idle.

    Guards against leaders that are deposed one after the other: each opened connections
    to all workers as its first act, and meanwhile the other controllers heard nothing
    of it. Workers with runs are called at once, since their leases end.
    """
    records = [virtual_parts.worker(n, 4000) for n in range(1000)]
    sim = virtual_cell.VirtualCell([virtual_parts.queue("q")], records)
    work = virtual_parts.Work(virtual_parts.step(30, 4000), [WORK_MS] * 30)
    sim.submit("q", "plan", [work])
    sim.run_until(1500)
    sim.lose_leader_at(1600, 300)
    sim.run_until(1901)
    workers = sim.term.leader.workers.values()
    called = [worker for worker in workers if worker.poll_sent_ms is not None]
    assert all(worker in called for worker in workers if worker.runs)
    assert len(called) <= 30 + running.MAX_FIRST_POLLS_PER_TICK
    sim.run_until(3500)
    assert all(worker.has_seen_epoch for worker in workers)
