"""Workers that return after calls to them failed must get work again."""

from alderreach.core import orders
from alderreach.core.generated import cell
from tests import cell_sim
from tools.standins import cell_worker


def test_a_worker_that_was_cut_off_gets_work_again(tmp_path):
    """Guards against tasks that wait forever although a healthy worker is idle. The
    worker was cut off until its lease lapsed, so nothing runs there. The leader polled
    only workers with runs or ends, and only a poll with a response ends its suspicion
    of a worker. On a loaded day, 42 of 43 workers whose leases had lapsed in a
    partition of five seconds got no work in the remaining 23 s.
    """
    with cell_sim.running_cell(tmp_path, workers=2) as sim:
        for worker in sim.workers.values():
            worker.script = cell_worker.Script(work_ms=60_000)
        cell_sim.submit_job(sim, "j1", cell_sim.step(6))
        sim.run(1_000)
        cut_off = sim.workers["w1"]
        assert cut_off.running
        for name in sim.names:
            sim.cut |= {(name, "w1"), ("w1", name)}
        assert sim.run(20_000, lambda: not cut_off.running)
        assert sim.run(20_000, lambda: _count_waiting_tasks(sim, "j1") == 2)
        sim.cut = set()
        assert sim.run(10_000, lambda: _count_waiting_tasks(sim, "j1") == 0)


def test_a_worker_whose_last_response_was_lost_gets_work_again(tmp_path):
    """Guards against a new job that waits forever although the only worker is idle. All
    tasks there were done, and the response to the poll that acknowledged their ends was
    lost. Nothing was left to poll for, and only a poll with a response ends the
    leader's suspicion of a worker.
    """
    with cell_sim.running_cell(tmp_path, workers=1) as sim:
        sim.loses_answer = lambda call: (
            isinstance(call.order, orders.Poll) and call.order.cursor > 0
        )
        cell_sim.submit_job(sim, "j1", cell_sim.step(1))
        sim.run_until_state("j1", "completed")
        assert sim.run(5_000, lambda: sim.acknowledged == {"j1.0.0.0"})
        sim.loses_answer = lambda call: False
        cell_sim.submit_job(sim, "j2", cell_sim.step(1))
        sim.run_until_state("j2", "completed", duration_ms=10_000)


def test_a_worker_that_left_and_restarts_gets_work(tmp_path):
    """Guards against a restarted worker that is listed as ready but gets no work. A
    worker withdraws, ends, and restarts under its id. The leader got no response from
    it in between, so it still knew the worker, and treated the new incarnation as
    leaving forever.
    """
    with cell_sim.running_cell(tmp_path, workers=1) as sim:
        worker = sim.workers["w1"]
        sim.wait_for_answer(sim.request(cell.WithdrawTarget("w1")))
        worker.crash()
        sim.run(1_000)
        worker.restart()
        cell_sim.submit_job(sim, "j1", cell_sim.step(1))
        sim.run_until_state("j1", "completed", duration_ms=10_000)


def test_a_delayed_withdrawal_does_not_affect_the_next_incarnation(tmp_path):
    """Guards against a worker that gets no work although it sends heartbeats. A
    worker's withdrawal is delayed in transit. The worker has restarted under its id and
    is listed as ready when the leader receives the withdrawal and treats it as leaving.
    """
    with cell_sim.running_cell(tmp_path, workers=1) as sim:
        worker = sim.workers["w1"]
        worker.restart()
        sim.wait_for_answer(sim.announce(worker))
        sim.wait_for_answer(sim.request(cell.WithdrawTarget("w1")))
        cell_sim.submit_job(sim, "j1", cell_sim.step(1))
        sim.run_until_state("j1", "completed", duration_ms=10_000)


def test_the_first_heartbeats_of_a_new_incarnation_are_processed(tmp_path):
    """A worker restarts after a minute and numbers its heartbeats from the start again.
    If they were taken for delayed old heartbeats, they would be acknowledged but
    ignored. The worker would appear unreachable and get no work, and its draining would
    go unnoticed.
    """
    with cell_sim.running_cell(tmp_path, workers=1) as sim:
        sim.run(60_000)
        worker = sim.workers["w1"]
        worker.restart()
        sim.run(8_000)
        cell_sim.submit_job(sim, "j1", cell_sim.step(1))
        sim.run_until_state("j1", "completed", duration_ms=2_000)
        worker.state = "draining"
        sim.wait_for_answer(sim.announce(worker))
        assert sim.committed_state().targets["w1"].state == "draining"


def test_a_worker_that_was_cut_off_for_longer_than_its_lease_is_used_again(tmp_path):
    """Guards against short partitions of a failure domain that exclude its workers
    forever. A worker is cut off until its lease has lapsed, and is reachable again soon
    after in the same incarnation. Its heartbeats arrive, but it gets no more work: the
    leader abandoned its runs, polls only workers with runs, and uses no worker whose
    last poll failed.
    """
    with cell_sim.running_cell(tmp_path, workers=1) as sim:
        worker = sim.workers["w1"]
        worker.script = cell_worker.Script(work_ms=20_000)
        cell_sim.submit_job(sim, "j1", cell_sim.step(2))
        assert sim.run(1000, lambda: worker.running)
        for name in sim.names:
            sim.cut |= {(name, "w1"), ("w1", name)}
        sim.run(8000)
        assert not worker.running
        sim.cut = set()
        worker.script = cell_worker.Script()
        sim.run_until_state("j1", "completed", duration_ms=5000)


def test_an_idle_worker_is_used_again_after_a_poll_without_a_response(tmp_path):
    """Guards against an idle worker that stays suspect forever. The poll that
    acknowledges its last ends gets no response. Nothing runs there, so the worker was
    never polled again.
    """
    with cell_sim.running_cell(tmp_path, workers=1) as sim:
        cell_sim.submit_job(sim, "j1", cell_sim.step(1))
        sim.run_until_state("j1", "completed")
        lost = []

        def is_first_poll(call):
            if isinstance(call.order, orders.Poll) and not lost:
                lost.append(call)
                return True
            return False

        sim.loses_answer = is_first_poll
        assert sim.run(1000, lambda: lost)
        cell_sim.submit_job(sim, "j2", cell_sim.step(1))
        sim.run_until_state("j2", "completed", duration_ms=5000)


def test_a_repeated_start_that_reaches_the_next_incarnation_runs_no_task_twice(
    tmp_path,
):
    """Guards against a task that starts again after its end was acknowledged. The first
    start of a run is held up in the network, and a repeated one is answered. The worker
    restarts, and the task was started elsewhere at once, as the first list of the new
    incarnation did not name it. That incarnation then gets the first start before the
    stop that would have had it refused.
    """
    with cell_sim.running_cell(tmp_path, workers=2) as sim:
        starts = []

        def delay_ms(call):
            if isinstance(call.order, orders.Stop):
                return 3000
            if isinstance(call.order, orders.Start):
                starts.append(call)
            return 2500 if starts == [call] else 0

        sim.call_delay_ms = delay_ms
        for worker in sim.workers.values():
            worker.script = cell_worker.Script(work_ms=800)
        cell_sim.submit_job(sim, "j1", cell_sim.step(1))
        assert sim.run(1000, lambda: len(starts) == 2)
        sim.run(100)
        sim.keeps_calls_over_restarts = True
        restarted = sim.workers[starts[0].target_id]
        restarted.restart()
        restarted.state = "draining"
        sim.wait_for_answer(sim.announce(restarted))
        sim.run_until_state("j1", "completed", duration_ms=15_000)
        sim.run(5000)


def _count_waiting_tasks(sim, job_id):
    """Return the number of waiting tasks of a job in the committed state."""
    groups = sim.committed_state().jobs[job_id].groups
    return sum(task.state == "waiting" for tasks in groups.values() for task in tasks)
