"""Tasks that may run twice and start elsewhere while their worker is unreachable."""

from alderreach.core import orders
from tests import cell_sim
from tools.standins import cell_worker


def test_a_task_that_is_done_on_an_unreachable_worker_is_not_started_again(tmp_path):
    """Guards against a task that runs again after its end was acknowledged. Its worker
    was unreachable and the task, which may run twice, was started elsewhere. Then the
    first run was listed as done. Only the end of the newest run counted, so when that
    run ended without success (a refused start in the failure first seen) the task was
    started again.
    """
    with cell_sim.running_cell(tmp_path, workers=2) as sim:
        first, second = sim.workers.values()
        for worker in (first, second):
            worker.script = cell_worker.Script(work_ms=2_000)
        cell_sim.submit_job(sim, "j1", cell_sim.step(1, allow_duplicates=True))
        assert sim.run(1_000, lambda: first.running or second.running)
        if second.running:
            first, second = second, first
        second.script = cell_worker.Script(work_ms=1_200, how="failed")
        for name in sim.names:
            sim.cut |= {(name, first.name), (first.name, name)}
        assert sim.run(4_000, lambda: second.running and not first.running)
        sim.cut = set()
        assert sim.run(2_000, lambda: "j1.0.0.0" in sim.acknowledged)
        sim.run_until_state("j1", "completed", duration_ms=3_000)
        sim.run(3_000)
        assert not first.running and not second.running


def test_an_abandoned_start_is_not_sent_again(tmp_path):
    """Guards against a task that starts again after its end was acknowledged: its first
    worker was cut off before the start arrived, and the start was repeated after the
    task was done elsewhere.
    """
    with cell_sim.running_cell(tmp_path, workers=2) as sim:
        cut_off = []

        def cut_off_first(call):
            if isinstance(call.order, orders.Start) and not cut_off:
                cut_off.append(call.target_id)
                for name in sim.names:
                    sim.cut |= {(name, call.target_id), (call.target_id, name)}
            return 0

        sim.call_delay_ms = cut_off_first
        cell_sim.submit_job(sim, "j1", cell_sim.step(1, allow_duplicates=True))
        assert sim.run(5_000, lambda: "j1.0.0.0" in sim.acknowledged)
        sim.cut = set()
        sim.run(8_000)
        assert sim.workers[cut_off[0]].next_end == 1
