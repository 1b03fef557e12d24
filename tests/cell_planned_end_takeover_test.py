"""A worker that ends as announced, and a leader that is lost in the same moment."""

import pytest

from tests import cell_sim
from tools.standins import cell_worker


@pytest.mark.parametrize("has_takeover", [False, True])
def test_a_planned_end_is_not_blamed(tmp_path, has_takeover):
    """Guards against tasks that are blamed for a crash although their worker had said
    that it drains: the leader has logged its next incarnation, but not the run's end.
    """
    with cell_sim.running_cell(tmp_path, workers=1) as sim:
        (worker,) = sim.workers.values()
        worker.script = cell_worker.Script(work_ms=60_000)
        cell_sim.submit_job(sim, "j1", cell_sim.step(1))
        assert sim.run(1000, lambda: worker.running)
        sim.run(3000)
        worker.state = "draining"
        assert sim.run(3000, lambda: _record(sim, worker).state == "draining")
        sim.loses_answer = lambda call: True
        worker.crash()
        worker.restart()
        worker.state = "ready"
        assert sim.run(5000, lambda: _record(sim, worker).born_ms == worker.born_ms)
        if has_takeover:
            old = sim.leader()
            sim.crash(old)
            sim.elect()
            sim.start(old)
        sim.loses_answer = lambda call: False
        find_task = lambda: sim.committed_state().jobs["j1"].groups[(0, 0)][0]
        assert sim.run(20_000, lambda: find_task().run > 1)
        assert find_task().blame == 0


def _record(sim, worker):
    return sim.committed_state().targets[worker.name]
