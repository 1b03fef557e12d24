"""Gangs that lose a member while the others end."""

from alderreach.core import cell_state
from tests import cell_sim
from tools import virtual_cell, virtual_parts
from tools.standins import cell_worker

WORK_MS = 1_000


def test_a_gang_that_loses_a_member_just_before_its_end_runs_again():
    """Guards against a gang that is never placed although workers are idle, while the
    log reports a lack of capacity. A worker disappears with one member just before the
    gang is done. The stop of the other member arrives too late: it is listed and
    counted as done, although the lost member waits again. A gang is placed only if all
    its tasks wait, so this one never is.
    """
    records = [virtual_parts.worker(number, 4_000) for number in range(4)]
    sim = virtual_cell.VirtualCell([virtual_parts.queue("q")], records)
    gang = virtual_parts.step(2, 3_000, estimated_ms=WORK_MS, gang=True)
    sim.submit_at(0, "q", "j1", [virtual_parts.Work(gang, [WORK_MS] * 2)])
    sim.run_until(500)
    running = [w for w in sim.term.leader.workers.values() if w.runs]
    began_ms = min(run.placed_ms for w in running for run in w.runs.values())
    sim.leave_at(began_ms + WORK_MS - 10, [running[0].target_id])
    sim.run_until(30_000)
    job = sim.term.leader.state.jobs["j1"]
    tasks = job.groups[(0, 0)]
    assert [task.state for task in tasks] == [cell_state.DONE] * 2, sim.waits[-1]


def test_a_gang_that_is_done_on_one_worker_and_lost_on_another(tmp_path):
    """Guards against a job that never ends because its gang is neither over nor
    restarted. A gang finishes while both its workers are cut off. One worker crashes
    and restarts, so its member counts as lost and the other member is to be stopped.
    Then the other worker is reachable again and reports its member as done, which
    leaves one member done and one waiting.
    """
    with cell_sim.running_cell(tmp_path, workers=2) as sim:
        workers = list(sim.workers.values())
        for worker in workers:
            worker.script = cell_worker.Script(work_ms=2000)
        cell_sim.submit_job(sim, "j1", cell_sim.step(2, gang=True, max_per_target=1))
        assert sim.run(1000, lambda: all(worker.running for worker in workers))
        sim.run(1500)
        for name in sim.names:
            sim.cut |= {(name, "w1"), ("w1", name), (name, "w2"), ("w2", name)}
        assert sim.run(1000, lambda: not any(worker.running for worker in workers))
        workers[0].crash()
        workers[0].restart()
        sim.cut = {pair for pair in sim.cut if "w1" not in pair}
        assert sim.run(2000, lambda: _is_waiting(sim, "j1"))
        sim.cut = set()
        sim.run_until_state("j1", "completed", duration_ms=10_000)


def _is_waiting(sim, job_id):
    """Whether a task of a job's only step waits to be started."""
    tasks = sim.committed_state().jobs[job_id].groups[(0, 0)]
    return any(task.state == cell_state.WAITING for task in tasks)
