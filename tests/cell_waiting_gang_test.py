"""Members of a gang that make no progress until all of its members run."""

from alderreach.core import orders
from tests import cell_sim
from tools.standins import cell_worker

HELD_UP_MS = 3000


def test_workers_of_members_that_wait_for_others_are_not_blamed(tmp_path):
    """Guards against a sound worker that gets no tasks and gangs that are stopped: the
    starts of the other members are held up, so the members there make no progress.
    """
    with cell_sim.running_cell(tmp_path, workers=3, cpu_millis=8000) as sim:
        for worker in sim.workers.values():
            worker.script = cell_worker.Script(is_stalled=True)
        sim.call_delay_ms = lambda call: HELD_UP_MS if _is_late_start(call) else 0
        for name in ("j1", "j2"):
            gang = cell_sim.step(2, cpu_millis=1000, gang=True, max_per_target=1)
            cell_sim.submit_job(sim, name, gang)
        sim.run(HELD_UP_MS)
        assert not sim.events_of("worker_out")
        assert not sim.events_of("run_moved")


def _is_late_start(call):
    return isinstance(call.order, orders.Start) and call.order.task.endswith(".1")


def test_members_that_stall_in_a_complete_gang_are_moved(tmp_path):
    """Guards against a gang that stays on a worker where it makes no progress."""
    with cell_sim.running_cell(tmp_path, workers=3, cpu_millis=8000) as sim:
        for worker in sim.workers.values():
            worker.script = cell_worker.Script(is_stalled=True)
        gang = cell_sim.step(2, cpu_millis=1000, gang=True, max_per_target=1)
        cell_sim.submit_job(sim, "j1", gang)
        assert sim.run(HELD_UP_MS, lambda: sim.events_of("run_moved"))
