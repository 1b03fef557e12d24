"""Cancelled jobs: soon after the acknowledgement nothing of them runs or starts."""

import contextlib

from alderreach.core import orders
from alderreach.core.generated import cell
from tests import cell_sim
from tools.standins import cell_worker

TASK = "j1.0.0.0"
CANCEL_MS = 3_000
STOP_TIMEOUT_MS = 400


def test_a_waiting_start_is_not_sent_once_its_job_is_cancelled(tmp_path):
    """Guards against a task of a cancelled job that starts seconds after the
    acknowledgement. Its start waited behind orders without an answer.
    """
    with _cell_with_late_orders(tmp_path) as (sim, worker):
        cell_sim.submit_job(sim, "j0", cell_sim.step(8))
        cell_sim.submit_job(sim, "j1", cell_sim.step(1))
        assert sim.run(300, lambda: _is_placed(sim, "j1"))
        starts = _record_starts(sim)
        _cancel(sim, "j1")
        sim.run(8_000)
        assert (worker.name, TASK) not in starts


def test_a_stop_that_waits_for_a_former_address_is_sent_again(tmp_path):
    """Guards against a run of a cancelled job that goes on for good. Its stop was
    dropped with the link to the address that its worker had before.
    """
    with _cell_with_late_orders(tmp_path) as (sim, worker):
        cell_sim.submit_job(sim, "j1", cell_sim.step(1))
        assert sim.run(1_000, lambda: TASK in worker.running)
        cell_sim.submit_job(sim, "j0", cell_sim.step(4))
        sim.run(200)
        _cancel(sim, "j1")
        worker.address = "w1:2"
        sim.call_delay_ms = lambda call: 0
        sim.announce(worker)
        sim.run(CANCEL_MS + STOP_TIMEOUT_MS)
        assert TASK not in worker.running


def test_a_stop_does_not_wait_behind_repeated_stops_of_unknown_runs(tmp_path):
    """Guards against a run of a cancelled job that goes on for seconds. Its stop waited
    behind hundreds for runs that the leader did not know, one from each poll.
    """
    with _cell_with_late_orders(tmp_path) as (sim, worker):
        sim.call_delay_ms = lambda call: 0
        cell_sim.submit_job(sim, "j0", cell_sim.step(4))
        cell_sim.submit_job(sim, "j1", cell_sim.step(1))
        assert sim.run(2_000, lambda: len(worker.running) == 5)
        leader = sim.keepers[sim.elect()]._extension._term.leader
        known = leader.workers[worker.name]
        for run in [run for run in known.runs.values() if run.key.job_id == "j0"]:
            known.remove(run)
        _hold_up_orders(sim, lambda order: "j0" in order.task)
        sim.run(5_000)
        _cancel(sim, "j1")
        sim.run(CANCEL_MS + STOP_TIMEOUT_MS)
        assert TASK not in worker.running


def test_an_abandoned_start_is_not_repeated_once_its_job_is_cancelled(tmp_path):
    """Guards against a task of a cancelled job that starts seconds after the
    acknowledgement. A first start was lost with its worker, and the task, which may run
    twice, was at work elsewhere; only that run was stopped.
    """
    with cell_sim.running_cell(tmp_path, workers=2) as sim:

        def cut_off_on_first_start(call):
            if isinstance(call.order, orders.Start) and not sim.cut:
                for name in sim.names:
                    sim.cut |= {(name, call.target_id), (call.target_id, name)}
            return 0

        sim.call_delay_ms = cut_off_on_first_start
        for worker in sim.workers.values():
            worker.script = cell_worker.Script(work_ms=30_000)
        cell_sim.submit_job(sim, "j1", cell_sim.step(1, allow_duplicates=True))
        running = lambda: any(TASK in each.running for each in sim.workers.values())
        assert sim.run(4_000, running)
        _cancel(sim, "j1")
        sim.run(CANCEL_MS)
        starts = _record_starts(sim)
        sim.call_delay_ms = lambda call: 0
        sim.cut = set()
        sim.run(6_000)
        assert not starts


def test_a_stop_does_not_wait_behind_starts_of_other_jobs(tmp_path):
    """Guards against a run of a cancelled job that goes on for seconds. Its stop waited
    behind starts of other jobs, which its worker left without an answer.
    """
    with _cell_with_late_orders(tmp_path) as (sim, worker):
        cell_sim.submit_job(sim, "j1", cell_sim.step(1))
        assert sim.run(1_000, lambda: TASK in worker.running)
        cell_sim.submit_job(sim, "j0", cell_sim.step(10))
        sim.run(200)
        _cancel(sim, "j1")
        sim.run(CANCEL_MS + STOP_TIMEOUT_MS)
        assert TASK not in worker.running


def test_a_stop_does_not_wait_behind_other_stops_of_its_job(tmp_path):
    """Guards against a run of a cancelled job that goes on for seconds. Its stop waited
    behind those of the job's other tasks, which its worker left without an answer.
    """
    with _cell_with_late_orders(tmp_path) as (sim, worker):
        cell_sim.submit_job(sim, "j1", cell_sim.step(9))
        assert sim.run(1_000, lambda: len(worker.running) == 9)
        last = "j1.0.0.8"
        _hold_up_orders(sim, lambda order: order.task != last)
        _cancel(sim, "j1")
        sim.run(CANCEL_MS + STOP_TIMEOUT_MS)
        assert last not in worker.running


@contextlib.contextmanager
def _cell_with_late_orders(folder):
    """Yield a cell and its only worker. It leaves orders of ``j0`` without an answer,
    each of which takes half a second.
    """
    with cell_sim.running_cell(folder, workers=1, cpu_millis=64_000) as sim:
        (worker,) = sim.workers.values()
        worker.script = cell_worker.Script(work_ms=30_000)
        sim.run(10_000)
        sim.sends_in_sequence, sim.call_timeout_ms = True, 500
        _hold_up_orders(sim, lambda order: "j0" in order.task)
        yield sim, worker


def _hold_up_orders(sim, is_late):
    """Have the workers leave the orders that a predicate names without an answer."""
    is_held_up = lambda order: not isinstance(order, orders.Poll) and is_late(order)
    sim.call_delay_ms = lambda call: 60_000 if is_held_up(call.order) else 0


def _cancel(sim, job_id):
    """Cancel a job and wait for the acknowledgement."""
    request = cell.CancelJob(cell_sim.HOST, cell_sim.PREFIX + job_id, b"")
    assert sim.wait_for_answer(sim.request(request)).kind == "accepted"


def _record_starts(sim):
    """Return a list that gets the worker and task of each start from now on."""
    starts, check_start = [], sim.check_start

    def record(worker, order):
        starts.append((worker.name, order.task))
        check_start(worker, order)

    sim.check_start = record
    return starts


def _is_placed(sim, job_id):
    return sim.committed_state().jobs[job_id].groups[(0, 0)][0].run == 1
