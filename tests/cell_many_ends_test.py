"""Workers with more ends than one list holds."""

from alderreach.core.generated import common
from tests import cell_sim
from tools.standins import cell_worker


def test_a_run_whose_end_is_beyond_the_list_is_not_started_again(tmp_path):
    """Guards against a task that starts again after its end was acknowledged: a list is
    cut at 500 ends, and a run that was in neither list was taken as stopped.
    """
    tasks = 4 * cell_worker.MAX_LISTED_ENDS
    with cell_sim.running_cell(tmp_path, workers=1) as sim:
        (worker,) = sim.workers.values()
        worker.script = cell_worker.Script(work_ms=4000)
        demand = common.Resources(1, 1, 0)
        cell_sim.submit_job(sim, "j1", cell_sim.step(tasks)._replace(demand=demand))
        sim.run_until_state("j1", "completed", duration_ms=10_000)
        sim.run(2000)
        assert worker.next_end - 1 == tasks
