"""A new leader and the runs that it did not start itself."""

import pytest

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
