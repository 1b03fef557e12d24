"""Cancelled jobs whose runs have to go soon after the cancellation is acknowledged.

The simulation checks at each step that they do (``cell_cancels``).
"""

import contextlib

import pytest

from alderreach.core import orders
from alderreach.core.generated import cell
from tests import cell_cancels, cell_sim
from tools.standins import cell_worker

HELD_UP_MS = 12_000
GONE_AFTER_MS = cell_cancels.CANCEL_MS + cell_cancels.STOP_TIMEOUT_MS


@pytest.mark.parametrize("answered_share", [0, 0.5])
def test_stops_do_not_wait_behind_unanswered_stops_of_other_runs(
    tmp_path, answered_share
):
    """Guards against runs that go on after their cancellation. Orders to a worker were
    sent one after the other, and those to runs of another cancelled job hung.
    """
    with _busy_worker(tmp_path, {"j1": 20, "j2": 1}) as (sim, worker):
        hold_up_orders_of(sim, "j1", answered_share)
        cancel(sim, "j1")
        cancel(sim, "j2")
        sim.run(5_000)
        assert not running_tasks(worker, "j2")


def test_stops_do_not_wait_behind_unanswered_starts_of_other_runs(tmp_path):
    """Guards against a run that goes on after its cancellation. Its stop was sent only
    after the starts of other tasks, each of which hung.
    """
    with _busy_worker(tmp_path, {"j2": 1}) as (sim, worker):
        hold_up_orders_of(sim, "j1")
        cell_sim.submit_job(sim, "j1", cell_sim.step(10))
        sim.run(100)
        cancel(sim, "j2")
        sim.run(5_000)
        assert not running_tasks(worker, "j2")


def test_stops_of_a_wide_job_are_sent_beside_unanswered_ones(tmp_path):
    """Guards against runs that go on after their cancellation. The first stops of half
    of a wide job's runs hung, and the others were sent only between them.
    """
    with _busy_worker(tmp_path, {"j1": 30}) as (sim, worker):
        held_up = set()

        def hold_up_first_stops(call):
            is_held_up = isinstance(call.order, orders.Stop) and (
                int(call.order.task.rpartition(".")[2]) % 2 == 0
                and call.order.task not in held_up
            )
            if is_held_up:
                held_up.add(call.order.task)
            return HELD_UP_MS if is_held_up else 0

        sim.call_delay_ms = hold_up_first_stops
        cancel(sim, "j1")
        sim.run(4_000)
        assert not worker.running


@pytest.mark.parametrize("refused_stops", [0, 3])
def test_a_run_of_a_worker_that_was_taken_as_gone_is_stopped(tmp_path, refused_stops):
    """Guards against a run that goes on after its cancellation. Its worker drained and
    could not be connected to for a moment, so its leader no longer had the run, and
    stopped it only once although the worker refused that.
    """
    with _busy_worker(tmp_path, {"j1": 2}) as (sim, worker):
        worker.state = "draining"
        sim.wait_for_answer(sim.announce(worker))
        sim.wait_for_answer(sim.request(cell.WithdrawTarget(worker.name)))
        sim.connects_in_cuts = False
        pairs = {(name, worker.name) for name in sim.names}
        sim.cut = pairs | {(worker.name, name) for name in sim.names}
        is_gone = lambda: not leader_of(sim).workers
        assert sim.run(1_000, is_gone)
        cancel(sim, "j1")
        sim.cut = set()
        refuse_stops(worker, refused_stops)
        sim.announce(worker)
        sim.run(GONE_AFTER_MS)
        assert not worker.running


@pytest.mark.parametrize("lost_polls", [0, 2])
@pytest.mark.parametrize("late_ms", [300, 1_500, 2_500, 4_000, 5_500])
def test_a_new_leader_stops_runs_of_a_job_that_its_predecessor_cancelled(
    tmp_path, late_ms, lost_polls
):
    """Guards against a run that goes on after its cancellation. Its leader was lost as
    it acknowledged that, before any stop arrived. The start was carried out late,
    before or after the next leader's first list, and first polls went unanswered.
    """
    with _busy_worker(tmp_path, {"j0": 2}) as (sim, worker):
        old = sim.leader()
        lost = []

        def delay_ms(call):
            if isinstance(call.order, orders.Start):
                return late_ms
            if isinstance(call.order, orders.Stop) and call.controller == old:
                return 60_000
            is_poll = isinstance(call.order, orders.Poll) and call.controller != old
            if is_poll and len(lost) < lost_polls:
                lost.append(call)
                return 60_000
            return 0

        sim.call_delay_ms = delay_ms
        cell_sim.submit_job(sim, "j1", cell_sim.step(1))
        sim.run(100)
        cancel(sim, "j1")
        started_ms = sim.time.now_ms - 100 + late_ms
        sim.crash(old)
        sim.elect()
        sim.start(old)
        gone_ms = max(sim.time.now_ms, started_ms) + GONE_AFTER_MS
        sim.run(gone_ms - sim.time.now_ms)
        for _step in range(8_000 // 20):
            assert not running_tasks(worker, "j1")
            sim.run(20)
        assert len(running_tasks(worker, "j0")) == 2
        assert not [key for key in leader_of(sim).workers["w1"].runs if key[0] == "j1"]


def test_an_abandoned_run_of_a_cancelled_job_is_stopped(tmp_path):
    """Guards against a run that goes on after its cancellation. Its task may run twice
    and was started elsewhere while its worker was silent; other tasks there kept the
    worker's lease afterwards.
    """
    with _busy_worker(tmp_path, {"j0": 2}) as (sim, worker):
        cell_sim.submit_job(sim, "j1", cell_sim.step(1, allow_duplicates=True))
        sim.run(1_000)
        other = cell_worker.Worker(sim, "w2", worker.capacity)
        other.script = worker.script
        sim.workers["w2"] = other
        sim.announce(other)
        sim.call_delay_ms = lambda call: 60_000 if call.target_id == "w1" else 0
        assert sim.run(5_000, lambda: running_tasks(other, "j1"))
        assert running_tasks(worker, "j1")
        cancel(sim, "j1")
        sim.call_delay_ms = lambda call: 0
        sim.run(GONE_AFTER_MS)
        assert not running_tasks(worker, "j1") + running_tasks(other, "j1")
        assert len(running_tasks(worker, "j0")) == 2


def test_a_start_that_waits_is_not_sent_once_its_run_has_lapsed(tmp_path):
    """Guards against a start of a cancelled job. It waited behind others without an
    answer until the lease of its worker had expired, and the job was cancelled while
    its task had no run, so nothing replaced the start.
    """
    with cell_sim.running_cell(tmp_path, workers=1, cpu_millis=64_000) as sim:
        sim.sends_in_sequence, sim.call_timeout_ms = True, 500
        sim.call_delay_ms = lambda call: 60_000
        cell_sim.submit_job(sim, "j0", cell_sim.step(25))
        cell_sim.submit_job(sim, "j1", cell_sim.step(1))
        has_lapsed = lambda: not leader_of(sim).workers["w1"].runs
        assert sim.run(300, lambda: not has_lapsed())
        assert sim.run(9_000, has_lapsed)
        cancel(sim, "j1")
        sim.run(12_000)


@contextlib.contextmanager
def _busy_worker(folder, tasks):
    """Yield a cell and its only worker, with ``tasks`` running of each of these jobs.
    An order without an answer takes half a second.
    """
    with cell_sim.running_cell(folder, workers=1, cpu_millis=64_000) as sim:
        (worker,) = sim.workers.values()
        worker.script = cell_worker.Script(work_ms=60_000)
        sim.sends_in_sequence, sim.call_timeout_ms = True, 500
        for job_id, count in tasks.items():
            cell_sim.submit_job(sim, job_id, cell_sim.step(count))
        total = sum(tasks.values())
        assert sim.run(2_000, lambda: len(worker.running) == total)
        sim.run(1_000)
        yield sim, worker


def hold_up_orders_of(sim, job_id, answered_share=0):
    """Have the orders of a job's runs be carried out late, but for a share of them."""
    count = 0

    def delay_ms(call):
        nonlocal count
        task = getattr(call.order, "task", "")
        if not task.startswith(f"{job_id}."):
            return 0
        count += 1
        is_answered = int(count * answered_share) > int((count - 1) * answered_share)
        return 0 if is_answered else HELD_UP_MS

    sim.call_delay_ms = delay_ms


def cancel(sim, job_id):
    """Cancel a job and wait for the acknowledgement."""
    request = cell.CancelJob(cell_sim.HOST, cell_sim.PREFIX + job_id)
    assert sim.wait_for_answer(sim.request(request)).kind == "accepted"


def running_tasks(worker, job_id):
    """The tasks of a job that run on a worker."""
    return [task for task in worker.running if task.startswith(f"{job_id}.")]


def leader_of(sim):
    """The state of the leader."""
    return sim.keepers[sim.elect()]._extension._term.leader


def refuse_stops(worker, count):
    """Have a worker refuse this many stops, as an unhealthy one does."""
    carry_out = worker.carry_out

    def carry_out_or_refuse(order):
        nonlocal count
        if isinstance(order, orders.Stop) and count:
            count -= 1
            return orders.OrderResult(orders.REFUSED, worker.clock_ms())
        return carry_out(order)

    worker.carry_out = carry_out_or_refuse
