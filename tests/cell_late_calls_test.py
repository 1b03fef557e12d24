"""Calls that reach a worker late, after it has restarted under its id.

A new incarnation has seen no epoch, has no record of ended runs, and its clock begins
again, so a call for the previous incarnation may look valid to it.
"""

import contextlib
import itertools

import pytest

from alderreach.core import orders
from alderreach.core.generated import cell
from tests import cell_sim
from tools.standins import cell_worker


def test_a_late_poll_acknowledges_no_ends_of_the_next_incarnation(tmp_path):
    """Guards against a task that starts again after its end was acknowledged: a poll
    with the cursor of the previous incarnation arrives late, and acknowledges ends of
    the next one that the leader has not seen.
    """
    with _cell_with_late_calls(tmp_path, workers=1) as sim:
        worker = sim.workers["w1"]
        late = _delay_once(sim, 3000, lambda order: _cursor_of(order) >= 3)
        cell_sim.submit_job(sim, "j1", cell_sim.step(3))
        assert sim.run(5000, lambda: late)
        _restart(sim, "w1")
        _run_to(sim, late[0].due_ms + 2400)
        cell_sim.submit_job(sim, "j2", cell_sim.step(1))
        assert sim.run(500, lambda: worker.running)
        sim.loses_answer = lambda call: isinstance(call.order, orders.Poll)
        sim.run(1000)
        sim.loses_answer = lambda call: False
        sim.run_until_state("j2", "completed", duration_ms=10_000)


def test_a_worker_that_does_not_answer_forgets_no_ends(tmp_path):
    """Guards against a task that starts again after its end was acknowledged: a worker
    has restarted and its answers are lost, so that its leader does not learn of it.
    Polls with the cursor of the previous incarnation acknowledge ends of the next one.
    """
    with _cell_with_late_calls(tmp_path, workers=1) as sim:
        worker = sim.workers["w1"]
        cell_sim.submit_job(sim, "j1", cell_sim.step(3))
        assert sim.run(3000, lambda: len(sim.acknowledged) == 3)
        sim.cut = {("w1", name) for name in sim.names}
        worker.restart()
        cell_sim.submit_job(sim, "j2", cell_sim.step(1))
        assert sim.run(1000, lambda: worker.running)
        sim.run(1500)
        sim.cut = set()
        sim.run_until_state("j2", "completed", duration_ms=10_000)


def test_a_late_poll_extends_no_lease_of_the_next_incarnation(tmp_path):
    """Guards against a task that runs in two places: a poll by the clock of the
    previous incarnation arrives late at the next one, and extends the lease there after
    the leader has stopped doing so.
    """
    with _cell_with_late_calls(tmp_path, workers=2) as sim:
        sim.run(30_000)
        late = _delay_once(sim, 8000, _grants_lease, each_worker=True)
        cell_sim.submit_job(sim, "j1", cell_sim.step(2, cpu_millis=4000))
        assert sim.run(2000, lambda: len(late) == 2)
        for name in sim.workers:
            _restart(sim, name)
        sim.run_until_state("j1", "completed")
        due_ms = late[0].due_ms + 8000
        _run_to(sim, due_ms - 3000)
        _run_job_beside_cut(sim)


def test_a_late_answer_of_the_previous_incarnation_does_not_set_the_clock(tmp_path):
    """Guards against a task that runs in two places: the answer of the previous
    incarnation, whose clock is far ahead, arrives after the heartbeat of the next one.
    A poll with a lease by that clock, carried out late, ends later than its leader
    counts.
    """
    with _cell_with_late_calls(tmp_path, workers=2) as sim:
        _cut_off(sim, "w2")
        sim.run(30_000)
        starts = []

        def answer_delay_ms(call):
            if _is_start(call.order):
                starts.append(call)
            return 400 if starts == [call] else 0

        sim.answer_delay_ms = answer_delay_ms
        _set_work_ms(sim, 15_000)
        cell_sim.submit_job(sim, "j1", cell_sim.step(1))
        assert sim.run(1000, lambda: sim.late_answers)
        _restart(sim, "w1")
        assert sim.run(300, lambda: len(starts) == 2)
        sim.cut = set()
        assert sim.run(1000, lambda: not sim.late_answers)
        late = _delay_once(sim, 4000, _grants_lease)
        assert sim.run(3000, lambda: late)
        _cut_off(sim, "w1")
        sim.run_until_state("j1", "completed", duration_ms=60_000)


@pytest.mark.parametrize(
    "events", list(itertools.permutations(["takeover", "restart", "late start"]))
)
def test_a_late_start_meets_a_restart_and_a_takeover_in_any_order(tmp_path, events):
    """Guards against a task that runs in two places: the first start of a run arrives
    late, its worker restarts and its leader is lost, in any order.
    """
    with _cell_with_late_calls(tmp_path, workers=2) as sim:
        _set_work_ms(sim, 15_000)
        late = _delay_once(sim, 8000, _is_start)
        cell_sim.submit_job(sim, "j1", cell_sim.step(1))
        assert sim.run(1000, lambda: _running_on(sim))
        for event in events:
            if event == "takeover":
                sim.crash(sim.leader())
                sim.elect()
            elif event == "restart":
                _restart(sim, late[0].target_id)
            else:
                _run_to(sim, late[0].due_ms + 8000)
            sim.run(500)
        sim.run_until_state("j1", "completed", duration_ms=60_000)


def test_a_worker_that_a_delayed_withdrawal_names_keeps_its_lease(tmp_path):
    """Guards against a task that runs in two places: the withdrawal of the previous
    incarnation arrives late, and a poll of the next one, which is cut off, makes no
    connection.
    """
    with _cell_with_late_calls(tmp_path, workers=2) as sim:
        _set_work_ms(sim, 5000)
        cell_sim.submit_job(sim, "j1", cell_sim.step(1))
        assert sim.run(1000, lambda: _running_on(sim))
        name = _running_on(sim)
        sim.wait_for_answer(sim.request(cell.WithdrawTarget(name)))
        _cut_off(sim, name)
        sim.connects_in_cuts = False
        sim.run_until_state("j1", "completed", duration_ms=30_000)


def test_the_tasks_of_a_worker_that_has_drained_and_left_start_elsewhere_at_once(
    tmp_path,
):
    """Guards against tasks that wait for the lease of a worker that is gone: it has
    drained and withdrawn, and refuses connections.
    """
    with cell_sim.running_cell(tmp_path, workers=2) as sim:
        _set_work_ms(sim, 5000)
        cell_sim.submit_job(sim, "j1", cell_sim.step(1))
        assert sim.run(1000, lambda: _running_on(sim))
        leaving = sim.workers[_running_on(sim)]
        leaving.state = "draining"
        sim.wait_for_answer(sim.announce(leaving))
        sim.wait_for_answer(sim.request(cell.WithdrawTarget(leaving.name)))
        sim.refuses_when_down = True
        leaving.crash()
        assert sim.run(2500, lambda: _running_on(sim))


def test_a_start_held_up_runs_no_task_twice_on_a_restarted_worker(tmp_path):
    """Guards against a task that starts again after its end was acknowledged: a start
    is held up, and the next incarnation of its worker gets it before any call of the
    leader. Meanwhile the task has ended elsewhere, as the worker had crashed and its
    lease was over; or there, as the repeated start was answered.
    """
    with _cell_with_late_calls(tmp_path / "lease_over", workers=2) as sim:
        late = _delay_once(sim, 11_000, _is_start)
        cell_sim.submit_job(sim, "j1", cell_sim.step(1))
        assert sim.run(1000, lambda: late)
        _crash_until_late_call(sim, late[0].target_id, late[0].due_ms + 11_000)
        sim.run(5000)
        sim.cut = set()
        sim.run_until_state("j1", "completed", duration_ms=10_000)
    with _cell_with_late_calls(tmp_path / "repeated", workers=2) as sim:
        late = _delay_once(sim, 6000, _is_start)
        cell_sim.submit_job(sim, "j1", cell_sim.step(1))
        assert sim.run(3000, lambda: sim.acknowledged)
        name = late[0].target_id
        _cut_off(sim, name)
        sim.run(500)
        sim.workers[name].restart()
        sim.run(15_000)


@contextlib.contextmanager
def _cell_with_late_calls(folder, **options):
    """Yield a cell in which delayed calls survive restarts and cuts of workers."""
    with cell_sim.running_cell(folder, **options) as sim:
        sim.keeps_calls_over_restarts = sim.delivers_late_calls_in_cuts = True
        yield sim


def _delay_once(sim, delay_ms, matches, each_worker=False):
    """Delay the first call that matches, to any worker or to each; returns a list."""
    delayed = []

    def call_delay_ms(call):
        if not matches(call.order):
            return 0
        if any(not each_worker or c.target_id == call.target_id for c in delayed):
            return 0
        delayed.append(call)
        return delay_ms

    sim.call_delay_ms = call_delay_ms
    return delayed


def _run_job_beside_cut(sim):
    """Run a job, and cut off its worker until it has ended elsewhere."""
    _set_work_ms(sim, 15_000)
    cell_sim.submit_job(sim, "j2", cell_sim.step(1))
    assert sim.run(1000, lambda: _running_on(sim))
    sim.run(300)
    _cut_off(sim, _running_on(sim))
    sim.run_until_state("j2", "completed", duration_ms=60_000)


def _crash_until_late_call(sim, name, due_ms):
    """Crash a worker, and restart it behind a cut as a late call arrives."""
    sim.workers[name].crash()
    _run_to(sim, due_ms - 200)
    _cut_off(sim, name)
    sim.workers[name].restart()
    sim.run(400)


def _restart(sim, name):
    sim.workers[name].restart()
    sim.wait_for_answer(sim.announce(sim.workers[name]))


def _cut_off(sim, name):
    for controller in sim.names:
        sim.cut |= {(controller, name), (name, controller)}


def _run_to(sim, time_ms):
    sim.run(time_ms - sim.time.now_ms)


def _set_work_ms(sim, work_ms):
    for worker in sim.workers.values():
        worker.script = cell_worker.Script(work_ms=work_ms)


def _jobs_on(sim, name):
    return [task.split(".")[0] for task in sim.workers[name].running]


def _running_on(sim):
    """Return the name of a worker that runs something, or None."""
    names = [name for name, worker in sim.workers.items() if worker.running]
    return names[0] if names else None


def _is_start(order):
    return isinstance(order, orders.Start)


def _cursor_of(order):
    return order.cursor if isinstance(order, orders.Poll) else 0


def _grants_lease(order):
    return isinstance(order, orders.Poll) and order.lease_until_ms is not None
