"""Gangs that are done on several workers, whose lists of runs arrive one by one."""

from alderreach.core import orders
from tests import cell_sim
from tools.standins import cell_worker


def test_a_list_from_before_the_end_of_a_gang_has_no_unknown_runs(tmp_path):
    """Guards against stops of runs that are done, and a worker that gets nothing until
    its next list: another worker lists the end of its gang before the answer to an
    earlier poll arrives.
    """
    with cell_sim.running_cell(tmp_path, workers=2) as sim:
        for worker in sim.workers.values():
            worker.script = cell_worker.Script(work_ms=900)
        sim.answer_delay_ms = lambda call: 80 if _is_poll_of(call, "w2") else 0
        gang = cell_sim.step(2, cpu_millis=3000, gang=True)
        cell_sim.submit_job(sim, "j1", gang)
        sim.run_until_state("j1", "completed")
        sim.run(500)
        assert not sim.events_of("unknown_run_stopped")


def _is_poll_of(call, target_id):
    return isinstance(call.order, orders.Poll) and call.target_id == target_id
