"""Starts on workers that have shrunk before their leader could know, or did know."""

from alderreach.core.generated import common
from tests import cell_sim
from tools.standins import cell_worker

FULL = common.Resources(4000, 64_000, 0)
SMALL = common.Resources(1000, 64_000, 0)
# A start may still need what a worker had before, as long as no heartbeat was due that
# reached its leader: for the time in which the leader may rely on the previous one.
GRACE_MS = 4500
FOREVER = 1_000_000


def test_a_worker_that_answers_but_sends_no_heartbeats_gets_no_new_runs(tmp_path):
    """Guards against starts by the capacity of an old heartbeat: the worker shrinks
    while its heartbeats are lost, but polls and orders are answered.
    """
    with cell_sim.running_cell(tmp_path, workers=1) as sim:
        sim.capacity_grace_ms = GRACE_MS
        worker = _worker(sim, work_ms=700)
        cell_sim.submit_job(sim, "j1", cell_sim.step(80))
        sim.run(500)
        _lose_heartbeats(sim, worker)
        worker.capacity = SMALL
        sim.run(8000)
        sim.silent_heartbeats.clear()
        sim.run_until_state("j1", "completed", duration_ms=90_000)


def _worker(sim, work_ms):
    """The only worker of a cell, whose tasks take ``work_ms``."""
    (worker,) = sim.workers.values()
    worker.script = cell_worker.Script(work_ms=work_ms)
    return worker


def _lose_heartbeats(sim, worker):
    for name in sim.names:
        sim.silent_heartbeats[(worker.name, name)] = FOREVER
