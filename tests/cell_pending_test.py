"""The count of jobs that wait in a queue, as callers read it."""

from alderreach.core import orders
from alderreach.core.generated import cell
from tests import cell_sim
from tools.standins import cell_worker


def test_a_job_waits_until_a_worker_has_confirmed_a_start(tmp_path):
    """Guards against a queue that seems empty while all its starts are held up."""
    with cell_sim.running_cell(tmp_path, workers=2) as sim:
        for worker in sim.workers.values():
            worker.script = cell_worker.Script(work_ms=5_000)
        is_start = lambda call: isinstance(call.order, orders.Start)
        sim.call_delay_ms = lambda call: 2_500 if is_start(call) else 0
        cell_sim.submit_job(sim, "j1", cell_sim.step(2))
        sim.run(2_000)
        assert _count_waiting_jobs(sim) == 1
        assert sim.run(4_000, lambda: any(w.running for w in sim.workers.values()))
        sim.run(1_500)
        assert _count_waiting_jobs(sim) == 0


def test_a_job_that_has_run_does_not_wait_after_a_takeover(tmp_path):
    """Guards against jobs in progress that a new leader counts as waiting."""
    with cell_sim.running_cell(tmp_path, workers=2) as sim:
        for worker in sim.workers.values():
            worker.script = cell_worker.Script(work_ms=3_000)
        cell_sim.submit_job(sim, "j1", cell_sim.step(1))
        cell_sim.submit_job(sim, "j2", cell_sim.step(1), cell_sim.step(1, after=[0]))
        sim.run(3_400)
        sim.crash(sim.leader())
        sim.elect()
        sim.run(500)
        assert _count_waiting_jobs(sim) == 0


def _count_waiting_jobs(sim):
    """Return the leader's answer to a query for the jobs that wait in the queue."""
    request = cell.ReadJob(cell_sim.HOST, cell_sim.PREFIX, b"")
    return sim.wait_for_answer(sim.request(request)).number
