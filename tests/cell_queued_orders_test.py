"""Orders that wait to be sent to a worker while what they are about changes."""

import contextlib

from alderreach.core import orders
from alderreach.core.generated import cell
from tests import cell_sim
from tools.standins import cell_worker

TASK = "j1.0.0.0"
DRAIN_MS = 2_000


def test_a_waiting_start_of_a_run_that_lapsed_is_not_sent_to_the_next_incarnation(
    tmp_path,
):
    """Guards against a task that runs on two workers at once. Its start waited while
    its worker was silent and the lease ended, and the task started elsewhere. The
    worker restarted under its id and got the start, whose lease is far ahead of the new
    clock; stops were sent only for starts that had been sent.
    """
    with _cell_with_a_silent_worker(tmp_path, waiting=20) as (sim, first):
        second = _add_worker(sim, "w2")
        assert sim.run(9_000, lambda: TASK in second.running)
        _restart_unannounced(sim, first)
        sim.run(3_000)


def test_a_waiting_start_grants_the_next_incarnation_no_longer_lease(tmp_path):
    """Guards against a task that runs on two workers at once. Its start waited until
    its worker had restarted under its id. By the new clock, the lease in the start
    began only then, and lasted longer than the leader waited.
    """
    with _cell_with_a_silent_worker(tmp_path, waiting=4) as (sim, first):
        sim.run(1_500)
        _restart_unannounced(sim, first)
        sim.run(300)
        del sim.announce
        sim.announce(first)
        assert sim.run(1_500, lambda: TASK in first.running)
        for name in sim.names:
            sim.cut |= {(name, first.name), (first.name, name)}
        _add_worker(sim, "w2")
        sim.run(9_000)


def test_a_waiting_start_is_not_sent_to_a_worker_that_has_long_been_draining(tmp_path):
    """Guards against a start on a worker that is about to end. It was placed before
    the worker drained, and waited behind orders without an answer.
    """
    with _cell_with_a_silent_worker(tmp_path, waiting=10) as (sim, first):
        first.state = "draining"
        sent = []
        is_start = lambda call: isinstance(call.order, orders.Start)
        call_delay_ms = sim.call_delay_ms

        def record(call):
            if is_start(call) and sim.time.now_ms > acknowledged_ms + DRAIN_MS:
                sent.append((sim.time.now_ms - acknowledged_ms, call.order.task))
            return call_delay_ms(call)

        sim.wait_for_answer(sim.announce(first))
        acknowledged_ms = sim.time.now_ms
        sim.call_delay_ms = record
        sim.run(6_000)
        assert not sent


def test_a_late_poll_of_an_earlier_incarnation_acknowledges_no_ends(tmp_path):
    """Guards against a task that starts again after its end was acknowledged. A poll
    was carried out seconds late, when its worker had restarted under its id. The cursor
    of the earlier incarnation covered ends that its leader had not seen.
    """
    with cell_sim.running_cell(tmp_path, workers=1, cpu_millis=64_000) as sim:
        (worker,) = sim.workers.values()
        sim.keeps_calls_over_restarts, sim.call_timeout_ms = True, 500
        cell_sim.submit_job(sim, "j0", cell_sim.step(20))
        sim.run_until_state("j0", "completed")
        late = []

        def hold_up_one_poll(call):
            if isinstance(call.order, orders.Poll) and call.order.cursor and not late:
                late.append(call)
                return 4_000
            return 0

        sim.call_delay_ms = hold_up_one_poll
        worker.script = cell_worker.Script(work_ms=20_000)
        cell_sim.submit_job(sim, "j2", cell_sim.step(1))
        assert sim.run(3_000, lambda: late)
        worker.crash()
        worker.restart()
        worker.script = cell_worker.Script(work_ms=500)
        sim.run(2_000)
        late_at_ms = late[0].due_ms + 4_000
        sim.run(late_at_ms - sim.time.now_ms - 540)
        cell_sim.submit_job(sim, "j1", cell_sim.step(1))
        sim.run(10_000)
        assert sim.read_job("j1").text == "completed"


def test_a_late_poll_of_an_earlier_incarnation_grants_no_longer_lease(tmp_path):
    """Guards against a task that runs on two workers at once. A poll was carried out
    seconds late by the next incarnation. The end of the lease in it lay far ahead of
    the new clock, so the lease lasted longer than the leader waited.
    """
    with cell_sim.running_cell(tmp_path, workers=1) as sim:
        (worker,) = sim.workers.values()
        worker.script = cell_worker.Script(work_ms=30_000)
        sim.run(20_000)
        sim.keeps_calls_over_restarts, sim.call_timeout_ms = True, 500
        sim.delivers_late_calls_in_cuts = True
        cell_sim.submit_job(sim, "j1", cell_sim.step(1))
        assert sim.run(2_000, lambda: worker.running)
        late = []

        def hold_up_one_grant(call):
            is_poll = isinstance(call.order, orders.Poll)
            if is_poll and call.order.lease_until_ms and not late:
                late.append(call)
                return 6_000
            return 0

        sim.call_delay_ms = hold_up_one_grant
        assert sim.run(2_000, lambda: late)
        worker.crash()
        worker.restart()
        sim.announce(worker)
        sim.run(4_000)
        for name in sim.names:
            sim.cut |= {(name, worker.name), (worker.name, name)}
        sim.run(12_000)


def test_stops_of_a_run_that_its_leader_does_not_know_do_not_pile_up(tmp_path):
    """Guards against orders that wait for minutes. Each poll that listed an unknown run
    added a stop to the queue, though the worker left the first one without an answer.
    """
    with cell_sim.running_cell(tmp_path, workers=1, cpu_millis=64_000) as sim:
        (worker,) = sim.workers.values()
        worker.script = cell_worker.Script(work_ms=30_000)
        sim.sends_in_sequence, sim.call_timeout_ms = True, 500
        cell_sim.submit_job(sim, "j1", cell_sim.step(6))
        sim.run(2_000)
        leader = sim.keepers[sim.elect()]._extension._term.leader
        known = leader.workers[worker.name]
        for run in list(known.runs.values())[:4]:
            known.remove(run)
        is_poll = lambda call: isinstance(call.order, orders.Poll)
        sim.call_delay_ms = lambda call: 0 if is_poll(call) else 60_000
        sim.run(8_000)
        assert len(leader.links[worker.name].waiting()) <= 4


def test_a_late_withdrawal_of_an_earlier_incarnation_ends_no_runs(tmp_path):
    """Guards against a task that runs on two workers at once. The withdrawal of an
    earlier incarnation arrived late. One poll of the next one that found no connection
    was then taken as its announced end.
    """
    with cell_sim.running_cell(tmp_path, workers=2) as sim:
        for worker in sim.workers.values():
            worker.crash()
            worker.restart()
            worker.script = cell_worker.Script(work_ms=20_000)
        sim.run(3_000)
        cell_sim.submit_job(sim, "j1", cell_sim.step(1))
        assert sim.run(1_000, lambda: any(w.running for w in sim.workers.values()))
        (first,) = (w for w in sim.workers.values() if w.running)
        sim.run(1_000)
        sim.wait_for_answer(sim.request(cell.WithdrawTarget(first.name)))
        sim.connects_in_cuts = False
        for name in sim.names:
            sim.cut |= {(name, first.name), (first.name, name)}
        sim.run(3_000)


def test_a_start_is_not_repeated_because_a_new_incarnation_took_another_one(tmp_path):
    """Guards against one counted run that crashes a worker again and again. The answer
    to another task's start, taken by the next incarnation, was taken as a sign that
    the incarnation that had got the start was still there.
    """
    with cell_sim.running_cell(tmp_path, workers=1, cpu_millis=64_000) as sim:
        (worker,) = sim.workers.values()
        worker.script = cell_worker.Script(work_ms=20_000)
        sim.run(20_000)
        culprit_runs = []

        def crashes(order):
            if order.task == TASK:
                culprit_runs.append(order.run)
            return order.task == TASK

        sim.crashes_worker = crashes
        sim.sends_in_sequence, sim.call_timeout_ms = True, 500
        is_poll = lambda call: isinstance(call.order, orders.Poll)
        sim.call_delay_ms = lambda call: 480 if is_poll(call) else 0
        sim.announce = lambda worker, name=None: None
        sim.restart_after_ms = 40
        cell_sim.submit_job(sim, "j1", cell_sim.step(3))
        sim.run(20_000)
        assert len(culprit_runs) == len(set(culprit_runs)), culprit_runs


def test_an_order_that_waits_as_its_worker_changes_its_address_is_sent_again(tmp_path):
    """Guards against a run that is never stopped nor ended. Its stop was dropped with
    the link to the old address, without a result that would have it sent again.
    """
    with _cell_with_a_silent_worker(tmp_path, waiting=4) as (sim, first):
        sim.request(cell.CancelJob(cell_sim.HOST, cell_sim.PREFIX + "j1", b""))
        sim.run(200)
        first.address = "w1:2"
        sim.call_delay_ms = lambda call: 0
        sim.announce(first)
        sim.run(30_000)
        leader = sim.keepers[sim.elect()]._extension._term.leader
        runs_left = [str(key) for key in leader.workers["w1"].runs if key[0] == "j1"]
        assert not runs_left


@contextlib.contextmanager
def _cell_with_a_silent_worker(folder, waiting):
    """Yield a cell and its only worker, which answers nothing from now on. The start of
    ``TASK`` waits behind ``waiting`` others.
    """
    with cell_sim.running_cell(folder, workers=1, cpu_millis=64_000) as sim:
        (first,) = sim.workers.values()
        first.script = cell_worker.Script(work_ms=20_000)
        sim.run(20_000)
        sim.sends_in_sequence, sim.call_timeout_ms = True, 500
        sim.call_delay_ms = lambda call: 60_000 if call.target_id == first.name else 0
        cell_sim.submit_job(sim, "j0", cell_sim.step(waiting))
        cell_sim.submit_job(sim, "j1", cell_sim.step(1))
        assert sim.run(300, lambda: _is_placed(sim, "j1"))
        yield sim, first


def _is_placed(sim, job_id):
    return sim.committed_state().jobs[job_id].groups[(0, 0)][0].run == 1


def _add_worker(sim, name):
    worker = cell_worker.Worker(sim, name, next(iter(sim.workers.values())).capacity)
    worker.script = cell_worker.Script(work_ms=20_000)
    sim.workers[name] = worker
    sim.announce(worker)
    return worker


def _restart_unannounced(sim, worker):
    """Restart a worker that answers calls again before its heartbeat arrives."""
    announce = sim.announce
    sim.announce = lambda each, name=None: each is not worker and announce(each, name)
    sim.call_delay_ms = lambda call: 0
    worker.crash()
    worker.restart()
