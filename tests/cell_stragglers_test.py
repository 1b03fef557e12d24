"""Duplicates of runs on workers that became slow, and what becomes of both runs."""

from tests import cell_sim
from tools.standins import cell_worker

TASK = cell_worker.Script(work_ms=300)
SLOW_TASK = cell_worker.Script(work_ms=4_000)
OBJECTIVE_MS = 1_500


def _submit_with_straggler(sim, **options):
    """Submit a job of 24 tasks, one of them on a slow worker; return that worker."""
    workers = list(sim.workers.values())
    for worker in workers:
        worker.script = cell_worker.Script(work_ms=20_000)
    cell_sim.submit_job(sim, "j0", cell_sim.step(7))
    assert sim.run(1_000, lambda: any(len(w.running) == 7 for w in workers))
    for worker in workers:
        worker.script = SLOW_TASK if len(worker.running) == 7 else TASK
    cell_sim.submit_job(sim, "j1", cell_sim.step(24, **options))
    return next(worker for worker in workers if worker.running)


def _tasks_of(worker, job_id):
    return [task for task in worker.running if task.startswith(job_id)]


def test_the_last_run_on_a_slow_worker_gets_a_duplicate(tmp_path):
    """Guards against a job that waits for one run on a slow worker, while its other
    tasks are done and workers are idle.
    """
    with cell_sim.running_cell(tmp_path, workers=4, cpu_millis=8_000) as sim:
        slow = _submit_with_straggler(sim, allow_duplicates=True)
        sim.run_until_state("j1", "completed", duration_ms=OBJECTIVE_MS)
        assert [kind for _name, kind, _fields in sim.events if "duplicated" in kind]
        assert sim.run(1_500, lambda: not _tasks_of(slow, "j1"))
        sim.run(5_000)
        assert sim.read_job("j1").text == "completed"


def test_a_run_that_may_not_be_repeated_gets_no_duplicate(tmp_path):
    """Guards against a second run of a task that must not run in two places."""
    with cell_sim.running_cell(tmp_path, workers=4, cpu_millis=8_000) as sim:
        _submit_with_straggler(sim)
        sim.run_until_state("j1", "completed", duration_ms=6_000)
        assert not [kind for _name, kind, _fields in sim.events if "duplicated" in kind]


def test_a_leader_lost_beside_a_duplicate_completes_the_job_once(tmp_path):
    """Guards against a successor that does not know the older of two runs: it has to
    stop one of them and must start no third one after the task's acknowledged end.
    """
    with cell_sim.running_cell(tmp_path, workers=4, cpu_millis=8_000) as sim:
        _submit_with_straggler(sim, allow_duplicates=True)
        is_duplicated = lambda: any("duplicated" in kind for _n, kind, _f in sim.events)
        assert sim.run(OBJECTIVE_MS, is_duplicated)
        sim.crash(sim.leader())
        sim.elect()
        sim.run_until_state("j1", "completed", duration_ms=12_000)
        sim.run(6_000)
        assert max(run for key, run in sim.newest_runs.items() if "j1" in str(key)) == 2
