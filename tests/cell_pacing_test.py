"""Throttling of best-effort tasks when orders and leaders are lost."""

from alderreach.core import orders
from tests import cell_sim
from tools.standins import cell_worker

LOW_LOAD = cell_worker.Script(work_ms=10_000_000, load=10.0)
HIGH_LOAD = LOW_LOAD._replace(load=100.0)


def start_filler(sim):
    """Start a best-effort task beside a serving task; return its run on the worker."""
    worker = sim.workers["w1"]
    worker.script = LOW_LOAD
    serving = cell_sim.step(1, long_running=True, tail_target_ms=80)
    filler = cell_sim.step(1, long_running=True, best_effort=True)
    cell_sim.submit_job(sim, "j1", serving, filler)
    assert sim.run(5_000, lambda: len(worker.running) == 2)
    return worker.running["j1.0.1.0"]


def test_a_new_leader_releases_a_task_that_its_predecessor_throttled(tmp_path):
    """Guards against a best-effort task that never runs again. It is throttled to
    zero while a serving task beside it is slow, and the leader is lost. The successor
    assumed that all tasks ran at full speed and saw no reason to change that.
    """
    with cell_sim.running_cell(tmp_path, workers=1) as sim:
        filler = start_filler(sim)
        sim.workers["w1"].script = HIGH_LOAD
        assert sim.run(5_000, lambda: filler.share == 0)
        sim.crash(sim.leader())
        sim.workers["w1"].script = LOW_LOAD
        assert sim.run(15_000, lambda: filler.share == 100)


def test_a_pace_order_without_a_response_is_corrected(tmp_path):
    """Guards against a best-effort task that never runs again. The order that throttles
    it is executed, but the response is lost. The serving task is fast again at once.
    The leader assumed that the best-effort task ran at full speed, and sent no further
    order.
    """
    with cell_sim.running_cell(tmp_path, workers=1) as sim:
        filler = start_filler(sim)
        sim.loses_answer = lambda call: isinstance(call.order, orders.Pace)
        sim.workers["w1"].script = HIGH_LOAD
        assert sim.run(5_000, lambda: filler.share == 0)
        sim.workers["w1"].script = LOW_LOAD
        sim.loses_answer = lambda call: False
        assert sim.run(15_000, lambda: filler.share == 100)
