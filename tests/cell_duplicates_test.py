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


def test_a_start_without_an_answer_is_not_repeated_once_its_task_ran_elsewhere(
    tmp_path,
):
    """Guards against a task that starts again after its end was acknowledged. A start
    is lost, the task, which may run twice, is started elsewhere and is done there. The
    leader went on to send the lost start until the worker could be reached again.
    """
    with cell_sim.running_cell(tmp_path, workers=2) as sim:

        def cut_off_on_first_start(call):
            if isinstance(call.order, orders.Start) and not sim.cut:
                for name in sim.names:
                    sim.cut |= {(name, call.target_id), (call.target_id, name)}
            return 0

        sim.call_delay_ms = cut_off_on_first_start
        cell_sim.submit_job(sim, "j1", cell_sim.step(1, allow_duplicates=True))
        assert sim.run(4_000, lambda: "j1.0.0.0" in sim.acknowledged)
        sim.call_delay_ms = lambda call: 0
        sim.cut = set()
        sim.run(2_000)
        assert sim.read_job("j1").text == "completed"


def test_a_start_that_waits_behind_others_is_not_sent_once_its_task_is_done(tmp_path):
    """Guards against a task that starts again after its end was acknowledged. Its first
    worker was silent, and the task, which may run twice, was to start elsewhere. There
    its start waited behind orders without an answer until long after the first run was
    listed as done; the stop that followed waited behind it.
    """
    with cell_sim.running_cell(tmp_path, workers=2, cpu_millis=16_000) as sim:
        sim.sends_in_sequence, sim.call_timeout_ms = True, 500
        cell_sim.submit_job(sim, "j1", cell_sim.step(1, allow_duplicates=True))
        assert sim.run(1_000, lambda: _running_on(sim, "j1.0.0.0"))
        first = _running_on(sim, "j1.0.0.0")
        sim.loses_answer = lambda call: call.target_id == first
        sim.run(1_300)
        is_held_up = lambda order: (
            isinstance(order, orders.Start) and "j2" in order.task
        )
        sim.call_delay_ms = lambda call: 20_000 if is_held_up(call.order) else 0
        cell_sim.submit_job(sim, "j2", cell_sim.step(6))
        assert sim.run(1_000, lambda: _latest_run(sim, "j1") == 2)
        sim.loses_answer = lambda call: False
        assert sim.run(1_500, lambda: "j1.0.0.0" in sim.acknowledged)
        assert _running_on(sim, "j1.0.0.0") is None
        sim.run(6_000)


def test_failures_of_runs_that_were_given_up_count_as_attempts(tmp_path):
    """Guards against a task that starts again after as many failed runs as its queue
    allows. One of them was on a worker that was unreachable for a while, so the task,
    which may run twice, had started elsewhere. Only failures of the newest run counted.
    """
    with cell_sim.running_cell(tmp_path, workers=3) as sim:
        assert sim.configure(2, max_attempts=2).kind == "accepted"
        for worker in sim.workers.values():
            worker.script = cell_worker.Script(work_ms=2_000, how="failed")
        cell_sim.submit_job(sim, "j1", cell_sim.step(1, allow_duplicates=True))
        assert sim.run(1_000, lambda: _running_on(sim, "j1.0.0.0"))
        first = _running_on(sim, "j1.0.0.0")
        for name in sim.names:
            sim.cut |= {(name, first), (first, name)}
        assert sim.run(4_000, lambda: _latest_run(sim, "j1") == 2)
        assert sim.run(1_000, lambda: not sim.workers[first].running)
        sim.cut = set()
        sim.run_until_state("j1", "failed", duration_ms=6_000)
        assert _latest_run(sim, "j1") == 2


def _running_on(sim, task):
    """Return the name of the worker that runs a task, or None."""
    names = [each.name for each in sim.workers.values() if task in each.running]
    return names[0] if names else None


def _latest_run(sim, job_id):
    """Return the number of the newest committed run of a job's first task."""
    return sim.committed_state().jobs[job_id].groups[(0, 0)][0].run
