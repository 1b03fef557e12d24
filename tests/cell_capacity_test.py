"""Workers whose capacity shrinks and grows again while they run."""

from alderreach.core.generated import common
from tests import cell_sim
from tools.standins import cell_worker

FULL_CAPACITY = common.Resources(4000, 64_000, 0)
REDUCED_CAPACITY = common.Resources(1000, 64_000, 0)


def test_a_worker_with_reduced_capacity_gets_nothing_until_tasks_fit(tmp_path):
    """Guards against starts that assume the worker's previous capacity."""
    with cell_sim.running_cell(tmp_path, workers=1) as sim:
        (worker,) = sim.workers.values()
        worker.script = cell_worker.Script(work_ms=2_000)
        cell_sim.submit_job(sim, "j1", cell_sim.step(3))
        assert sim.run(1_000, lambda: len(worker.running) == 3)
        worker.capacity = REDUCED_CAPACITY
        sim.wait_for_answer(sim.announce(worker))
        cell_sim.submit_job(sim, "j2", cell_sim.step(4))
        sim.run_until_state("j1", "completed", duration_ms=4_000)
        for _ in range(20):
            sim.run(100)
            assert len(worker.running) <= 1
        worker.capacity = FULL_CAPACITY
        sim.wait_for_answer(sim.announce(worker))
        assert sim.run(500, lambda: len(worker.running) == 3)
        sim.run_until_state("j2", "completed", duration_ms=6_000)


def test_a_new_leader_uses_the_current_capacity_of_a_worker(tmp_path):
    """Guards against a takeover that restores the worker's previous capacity."""
    with cell_sim.running_cell(tmp_path, workers=1) as sim:
        (worker,) = sim.workers.values()
        worker.capacity = REDUCED_CAPACITY
        sim.wait_for_answer(sim.announce(worker))
        old = sim.leader()
        sim.crash(old)
        sim.elect()
        worker.script = cell_worker.Script(work_ms=1_000)
        cell_sim.submit_job(sim, "j1", cell_sim.step(3))
        for _ in range(30):
            sim.run(100)
            assert len(worker.running) <= 1
        sim.run_until_state("j1", "completed", duration_ms=10_000)
