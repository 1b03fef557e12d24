"""Failures of controllers and workers, and their effects on callers and workers."""

from alderreach.core import orders
from alderreach.core.generated import cell
from tests import cell_sim
from tools.standins import cell_worker


def test_steps_run_in_order_and_the_job_completes_once_all_tasks_are_done(tmp_path):
    with cell_sim.running_cell(tmp_path) as sim:
        cell_sim.submit_job(sim, "j1", cell_sim.step(6), cell_sim.step(4, after=[0]))
        sim.run_until_state("j1", "completed")
        sim.run(1000)
        assert len(sim.acknowledged) == 10


def test_a_repeated_submission_joins_the_job(tmp_path):
    with cell_sim.running_cell(tmp_path) as sim:
        cell_sim.submit_job(sim, "j1", cell_sim.step(2))
        sim.run_until_state("j1", "completed")
        cell_sim.submit_job(sim, "j1", cell_sim.step(2))
        sim.run(3000)
        assert sim.read_job("j1").text == "completed"


def test_a_leader_crashes_while_tasks_run(tmp_path):
    """The leader crashes while some tasks run and others wait. A new leader is elected
    before the leases lapse. It learns the current runs from the log and the workers'
    lists, and starts nothing twice.
    """
    with cell_sim.running_cell(tmp_path) as sim:
        for worker in sim.workers.values():
            worker.script = cell_worker.Script(work_ms=2500)
        cell_sim.submit_job(sim, "j1", cell_sim.step(20))
        sim.run(400)
        sim.crash(sim.leader())
        sim.run_until_state("j1", "completed")
        sim.run(1000)
        assert len(sim.acknowledged) == 20


def test_a_takeover_while_a_worker_is_cut_off(tmp_path):
    """The leader crashes and its successor can't reach one worker, where tasks keep
    running under the old leader's lease. The tasks start elsewhere only once that lease
    has lapsed.
    """
    with cell_sim.running_cell(tmp_path) as sim:
        for worker in sim.workers.values():
            worker.script = cell_worker.Script(work_ms=5500)
        cell_sim.submit_job(sim, "j1", cell_sim.step(9))
        sim.run(300)
        assert sim.workers["w1"].running
        old = sim.leader()
        for name in sim.names:
            sim.cut |= {(name, "w1"), ("w1", name)}
        sim.crash(old)
        sim.run_until_state("j1", "completed")


def test_all_controllers_crash_at_once(tmp_path):
    """All controllers crash right after a job was accepted. They restart with their
    disks after the leases have lapsed; the job is still known and runs.
    """
    with cell_sim.running_cell(tmp_path) as sim:
        cell_sim.submit_job(sim, "j1", cell_sim.step(5))
        for name in list(sim.keepers):
            sim.crash(name)
        sim.run(8000)
        for name in sim.names:
            sim.start(name)
        sim.run_until_state("j1", "completed")


def test_orders_are_executed_late(tmp_path):
    """A fifth of the orders get no response and are executed seconds later, after the
    same run was sent again, has ended, or was assigned to another worker.
    """
    with cell_sim.running_cell(tmp_path) as sim:
        sim.call_delay_ms = lambda call: (
            0
            if isinstance(call.order, orders.Poll) or sim.rng.random() > 0.2
            else sim.rng.randrange(2000, 12_000)
        )
        cell_sim.submit_job(sim, "j1", cell_sim.step(20), cell_sim.step(10, after=[0]))
        sim.run_until_state("j1", "completed")
        sim.run(15_000)


def test_a_worker_receives_orders_but_its_responses_are_lost(tmp_path):
    """Orders reach a worker, but its responses are lost. If the orders kept extending
    its lease, its tasks would run forever and nobody would see their ends. The lease
    must lapse and the tasks run elsewhere, never twice at once.
    """
    with cell_sim.running_cell(tmp_path) as sim:
        for worker in sim.workers.values():
            worker.script = cell_worker.Script(work_ms=1500)
        cell_sim.submit_job(sim, "j1", cell_sim.step(9))
        sim.run(200)
        assert sim.workers["w1"].running
        sim.loses_answer = lambda call: call.target_id == "w1"
        sim.run_until_state("j1", "completed")


def test_a_worker_restarts_under_its_id(tmp_path):
    """A worker crashes and restarts under its id before its lease lapses. Its runs are
    lost; their tasks start again as soon as the new incarnation makes contact.
    """
    with cell_sim.running_cell(tmp_path) as sim:
        for worker in sim.workers.values():
            worker.script = cell_worker.Script(work_ms=2000)
        cell_sim.submit_job(sim, "j1", cell_sim.step(9))
        sim.run(200)
        sim.workers["w1"].crash()
        sim.run(500)
        sim.workers["w1"].restart()
        sim.run_until_state("j1", "completed", duration_ms=8000)


def test_a_worker_restarts_at_another_address(tmp_path):
    """A worker restarts under its id at another address. If the leader kept calling the
    old address, it would lose contact with the worker and give it no work.
    """
    with cell_sim.running_cell(tmp_path, workers=1) as sim:
        cell_sim.submit_job(sim, "j1", cell_sim.step(1))
        sim.run_until_state("j1", "completed")
        worker = sim.workers["w1"]
        worker.crash()
        sim.run(200)
        worker.address = "w1:2"
        worker.restart()
        cell_sim.submit_job(sim, "j2", cell_sim.step(1))
        sim.run_until_state("j2", "completed", duration_ms=6000)


def test_a_cancelled_job_leaves_no_runs(tmp_path):
    """A job is cancelled while some of its starts are delayed in transit. Once the
    cancellation is acknowledged, none of its tasks starts and running ones are stopped.
    """
    with cell_sim.running_cell(tmp_path) as sim:
        for worker in sim.workers.values():
            worker.script = cell_worker.Script(work_ms=60_000)
        sim.call_delay_ms = lambda call: (
            3000 if isinstance(call.order, orders.Start) and call.epoch % 2 else 0
        )
        cell_sim.submit_job(sim, "j1", cell_sim.step(30))
        sim.run(300)
        path = cell_sim.PREFIX + "j1"
        done = sim.wait_for_answer(sim.request(cell.CancelJob(cell_sim.HOST, path)))
        assert done.kind == "accepted"
        sim.run(4000)
        assert not any(worker.running for worker in sim.workers.values())
        assert sim.read_job("j1").text == "cancelled"


def test_failed_runs_are_counted_over_a_takeover(tmp_path):
    """Every run fails. After three failed runs the job is reported as failed, even if
    the leader changes in between; a count kept in memory would restart at zero with
    each leader.
    """
    with cell_sim.running_cell(tmp_path, workers=1) as sim:
        sim.workers["w1"].script = cell_worker.Script(work_ms=1200, how="failed")
        cell_sim.submit_job(sim, "j1", cell_sim.step(1))
        sim.run(1600)
        lost = sim.leader()
        sim.crash(lost)
        sim.start(lost)
        sim.run_until_state("j1", "failed")
        (tasks,) = sim.committed_state().jobs["j1"].groups.values()
        assert tasks[0].failures == 3


def test_a_worker_on_which_no_task_makes_progress(tmp_path):
    """Tasks on one worker make no progress although it responds normally. They are
    stopped and run elsewhere within seconds instead of blocking their job forever.
    """
    with cell_sim.running_cell(tmp_path) as sim:
        stalled = cell_worker.Script(work_ms=800, is_stalled=True)
        sim.workers["w1"].script = stalled
        cell_sim.submit_job(sim, "j1", cell_sim.step(9))
        sim.run_until_state("j1", "completed", duration_ms=8000)


def test_a_worker_fails_every_task_that_it_starts(tmp_path):
    """One worker of three fails each task at once, so it always has free capacity. A
    task may fail three times; no job fails because of that worker.
    """
    with cell_sim.running_cell(tmp_path) as sim:
        sim.workers["w1"].script = cell_worker.Script(work_ms=20, how="failed")
        for number in range(12):
            cell_sim.submit_job(sim, f"j{number}", cell_sim.step(3))
            sim.run(200)
        for number in range(12):
            sim.run_until_state(f"j{number}", "completed", duration_ms=8000)


def test_tasks_leave_a_draining_worker_before_it_ends(tmp_path):
    """A worker announces that it drains and may end seconds later without notice. A
    long-running task moves at once; otherwise it would be down until the lease lapses.
    """
    with cell_sim.running_cell(tmp_path) as sim:
        for worker in sim.workers.values():
            worker.script = cell_worker.Script(work_ms=10_000_000)
        long_running_step = cell_sim.step(1, long_running=True)
        checkpointing_step = cell_sim.step(1, checkpointing=True)
        cell_sim.submit_job(sim, "j1", long_running_step)
        cell_sim.submit_job(sim, "j2", checkpointing_step)
        cell_sim.submit_job(sim, "j3", cell_sim.step(1))
        sim.run(500)
        (leaving,) = [w for w in sim.workers.values() if w.running]
        assert len(leaving.running) == 3
        leaving.state = "draining"
        sim.announce(leaving)
        sim.run(500)
        assert list(leaving.running) == ["j3.0.0.0"]
        others = [w for w in sim.workers.values() if w is not leaving]
        assert sum(len(worker.running) for worker in others) == 2


def test_a_deposed_leader_reports_no_job_as_missing(tmp_path):
    """A leader is cut off from the other controllers, but callers still reach it. It
    does not know a job that its successor accepts, and must not report it as missing.
    """
    with cell_sim.running_cell(tmp_path) as sim:
        old = sim.leader()
        others = [name for name in sim.names if name != old]
        sim.cut = {(old, name) for name in others} | {(n, old) for n in others}
        first_request = sim.request(
            cell.ReadJob(cell_sim.HOST, cell_sim.PREFIX + "j1"), old
        )
        sim.run(5000)
        assert sim.replies.get(first_request) in (None, "not_leader")
        cell_sim.submit_job(sim, "j1", cell_sim.step(1))
        second_request = sim.request(
            cell.ReadJob(cell_sim.HOST, cell_sim.PREFIX + "j1"), old
        )
        sim.run(500)
        assert sim.replies.get(second_request) in (None, "not_leader")


def test_a_deposed_leader_does_not_name_itself(tmp_path):
    """The controllers are partitioned, and frontends still reach the leader on the
    minority side. If it kept naming itself as leader, the frontends would never
    discover its successor, which would then have no process to query the permission
    service.
    """
    with cell_sim.running_cell(tmp_path) as sim:
        old = sim.leader()
        others = [name for name in sim.names if name != old]
        assert sim.discover(old).leader == old
        sim.cut = {(old, name) for name in others} | {(n, old) for n in others}
        sim.run(5000)
        assert sim.discover(old).leader == ""
        new = sim.leader()
        assert {sim.discover(name).leader for name in others} == {new}


def test_a_new_incarnation_accepts_starts_before_its_first_heartbeat(tmp_path):
    """Guards against a task that is started twice. A worker's machine crashes and is
    back under its id at once. Before its first heartbeat reaches the leader, it accepts
    a start that was meant for its previous incarnation. The leader took the heartbeat
    as the end of all runs started there, and started the task a second time while the
    first run continued.
    """
    with cell_sim.running_cell(tmp_path, workers=2) as sim:
        for worker in sim.workers.values():
            worker.script = cell_worker.Script(work_ms=1500)
        sim.run(3000)
        sim.loses_answer = lambda call: isinstance(call.order, orders.Poll)
        for worker in sim.workers.values():
            worker.restart()
        cell_sim.submit_job(sim, "j1", cell_sim.step(6))
        sim.run(40)
        assert any(worker.running for worker in sim.workers.values())
        for worker in sim.workers.values():
            sim.announce(worker)
        sim.loses_answer = lambda call: False
        sim.run_until_state("j1", "completed")
        assert sum(worker.next_end - 1 for worker in sim.workers.values()) == 6


def test_the_lease_of_a_new_incarnation_uses_its_own_clock(tmp_path):
    """Guards against tasks that start elsewhere while their worker still runs them. A
    worker restarts, so its clock restarts too, and is later cut off while tasks run on
    it. Its lease was computed on the clock of its previous incarnation and ended far in
    the future. The worker kept its tasks for its maximum lease, but the leader started
    them elsewhere before that.
    """
    with cell_sim.running_cell(tmp_path, workers=3) as sim:
        sim.run(60_000)
        worker = sim.workers["w1"]
        worker.restart()
        sim.announce(worker)
        sim.run(1000)
        for other in sim.workers.values():
            other.script = cell_worker.Script(work_ms=20_000)
        cell_sim.submit_job(sim, "j1", cell_sim.step(8))
        sim.run(1000)
        assert worker.running
        for name in sim.names:
            sim.cut |= {(name, "w1"), ("w1", name)}
        sim.run(8_000)
        assert not worker.running


def test_an_old_cursor_discards_no_end_of_a_new_incarnation(tmp_path):
    """Guards against a task that runs twice. A worker restarts without the leader's
    knowledge, then accepts a start and finishes it before its first heartbeat. A poll
    that still acknowledged the ends of the previous incarnation made the worker discard
    this end, and the task ran a second time.
    """
    with cell_sim.running_cell(tmp_path, workers=1) as sim:
        cell_sim.submit_job(sim, "j1", cell_sim.step(4))
        sim.run_until_state("j1", "completed")
        sim.run(5_000)
        worker = sim.workers["w1"]
        worker.script = cell_worker.Script(work_ms=10)
        worker.restart()
        cell_sim.submit_job(sim, "j2", cell_sim.step(3))
        sim.run_until_state("j2", "completed")
        assert worker.next_end - 1 == 3


def _submit_job_due_in(sim, job_id, delay_ms):
    """Submit a job that is due once, ``delay_ms`` from now by the correct time."""
    sim.steps[job_id] = (cell_sim.step(2),)
    due_ms = sim.time.clock.wall_ms() + delay_ms
    request = cell_sim.job_request(job_id, sim.steps[job_id])
    request = request._replace(repeat_count=1, first_due_ms=due_ms)
    assert sim.wait_for_answer(sim.request(request)).kind == "accepted"


def _has_started(sim):
    return any(worker.next_end > 1 or worker.running for worker in sim.workers.values())


def test_a_job_is_due_by_the_time_of_its_cell_not_by_the_leaders_clock(tmp_path):
    """The leader's wall clock jumps an hour ahead, and one frontend's an hour back. A
    job that is due in five seconds still starts on time: the cell uses the median of
    its processes' clocks, which no single clock can move.
    """
    with cell_sim.running_cell(tmp_path) as sim:
        sim.wall_offsets_ms[sim.leader()] = 3_600_000
        clocks = {"f1": 0, "f2": 10, "f3": -3_600_000, "f4": -10}
        sim.run_with_discovery(1_500, clocks)
        _submit_job_due_in(sim, "j1", 5_000)
        sim.run_with_discovery(4_500, clocks)
        assert not _has_started(sim)
        sim.run_with_discovery(1_500, clocks)
        assert _has_started(sim)


def _run_with_wrong_clocks_of_followers(sim):
    """Run for a moment; returns the leader and how far frontends' clocks are ahead."""
    leader = sim.leader()
    for name in sim.names:
        if name != leader:
            sim.wall_offsets_ms[name] = 3_600_000
    clocks = {"f1": 0, "f2": 10, "f3": -10}
    sim.run_with_discovery(1_500, clocks)
    return leader, clocks


def test_a_takeover_by_a_controller_whose_clock_is_wrong(tmp_path):
    """The leader crashes while a job waits for its due time, and its successor's clock
    is an hour ahead. The job still starts when it is due.
    """
    with cell_sim.running_cell(tmp_path) as sim:
        old, clocks = _run_with_wrong_clocks_of_followers(sim)
        _submit_job_due_in(sim, "j1", 8_000)
        sim.crash(old)
        sim.run_with_discovery(6_000, clocks)
        assert not _has_started(sim)
        sim.run_with_discovery(3_000, clocks)
        assert _has_started(sim)


def test_a_new_leader_whose_clock_is_wrong_keeps_the_jobs_that_ended(tmp_path):
    """Guards against ended jobs that become unknown: a leader that had not yet received
    the clocks of other processes dropped them as past their retention by its own.
    """
    with cell_sim.running_cell(tmp_path) as sim:
        old, clocks = _run_with_wrong_clocks_of_followers(sim)
        cell_sim.submit_job(sim, "j1", cell_sim.step(1))
        sim.run_until_state("j1", "completed")
        sim.crash(old)
        sim.elect()
        cell_sim.submit_job(sim, "j2", cell_sim.step(1))
        sim.run_with_discovery(1_500, clocks)
        assert sim.read_job("j1").text == "completed"
