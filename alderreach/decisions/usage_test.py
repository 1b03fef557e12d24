"""Declared sizes that are ten times too large or too small."""

from alderreach.core.generated import common
from alderreach.decisions import usage
from tests import placement_session

HALF = common.Resources(4000, 512, 0)
REPORTS = usage.MIN_REPORTS + 20


def report(session, used, reports=REPORTS):
    """Report the same usage for all workers, once a second."""
    for _ in range(reports):
        session.tick(1000)
        for worker_id in session.workers:
            session.scheduler.observe_usage(worker_id, used)


def test_declared_ten_times_too_large_is_given_less_next_time():
    """A workload declares 4 processors a task and uses 0.4.

    By the declared size, the cell would always be full at a tenth of its capacity.
    """
    session = placement_session.Session().add_workers(2)
    session.submit("first", 4, task=HALF, workload="big")
    report(session, common.Resources(800, 512, 0))
    assert len(session.running) == 4
    session.end_all()
    session.submit("second", 100, task=HALF, workload="big")
    session.submit("other", 1, task=HALF, workload="unseen", team="b")
    starts = {start.job_id: start.task for start in session.tick()}
    assert starts["second"].cpu_millis == int(4000 * 0.1 * (1 + usage.MARGIN))
    assert starts["second"].memory_mb == HALF.memory_mb
    assert starts["other"] == HALF
    assert len(session.tasks_of("second")) > 10


def test_declared_ten_times_too_small_keeps_room_free_and_makes_way():
    """Tasks declared at one processor use two each, with the report ten seconds late.

    By the declared sizes their workers are half empty, but more work would overload
    them.
    """
    session = placement_session.Session().add_workers(2)
    report(session, common.Resources(0, 0, 0), 1)
    session.submit("greedy", 8, checkpoint=True)
    session.tick()
    (full,) = {where for where, _ in session.running.values()}
    session.scheduler.observe_usage(full, common.Resources(16000, 16384, 0))
    session.submit("next", 20, team="b")
    for _ in range(3):
        session.tick(1000)
        session.scheduler.observe_usage(full, common.Resources(16000, 16384, 0))
    assert list(session.stopping.values()) == ["checkpoint"]
    session.end_stopped()
    session.tick(1000)
    assert len(session.tasks_on(full)) == 7
    assert session.scheduler.allocated(full) == (7000, 7168, 0)
    session.scheduler.observe_usage(full, common.Resources(7000, 7168, 0))
    session.tick(1000)
    assert len(session.tasks_on(full)) == 8


def test_worker_that_reports_a_full_vm_while_nothing_runs_gets_work():
    """A monitor reports the VM's capacity as its usage.

    If it were trusted, its worker would stay empty for ever, and the tasks that run
    there would be checkpointed.
    """
    session = placement_session.Session().add_workers(1)
    report(session, placement_session.WORKER, 3)
    session.submit("j", 8, checkpoint=True)
    report(session, placement_session.WORKER, 3)
    assert len(session.tasks_of("j")) == 8 and not session.stopping


def test_sizes_are_taken_as_declared_until_enough_is_known():
    session = placement_session.Session().add_workers(1)
    session.submit("first", 2, task=HALF, workload="big")
    report(session, common.Resources(800, 512, 0), usage.MIN_REPORTS // 2)
    session.end_all()
    session.submit("second", 1, task=HALF, workload="big")
    (start,) = session.tick()
    assert start.task == HALF
