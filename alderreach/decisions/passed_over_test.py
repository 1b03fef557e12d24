"""Work that could run but was passed over for a long time or forever."""

import random

from alderreach.core.generated import common, placer
from alderreach.decisions import (
    impossible,
    poison_jobs,
    quarantine,
    quotas,
    resources,
    serving,
)
from tests import placement_session

SMALL = placement_session.SMALL
WHOLE = placement_session.WORKER


def quarantine_workers(session, *bad):
    """Fail all tasks on the workers ``bad`` until these are quarantined."""
    rounds = 0
    while any(session.scheduler.worker_state(each) != "quarantined" for each in bad):
        rounds += 1
        session.submit(f"j{rounds}", len(session.workers), task=WHOLE)
        session.tick()
        for task_id, (worker_id, _attempt) in list(session.running.items()):
            session.end(task_id, "failed" if worker_id in bad else "finished")
    while session.tick():
        session.end_all()
    return session


def test_two_probes_due_in_one_tick():
    """Guards against an exception in the placer's tick. Two workers are quarantined in
    one tick, so their probes are due in one tick too. The first probe takes the only
    waiting task of a team; the iteration over the waiting lines was then continued for
    the second probe.
    """
    session = placement_session.Session(teams=("a", "b", "c"))
    quarantine_workers(session.add_workers(8), "w0", "w1")
    session.submit("fill", 6, task=WHOLE)
    session.tick()
    for team in ("a", "b", "c"):
        session.submit(f"one-{team}", team=team)
    session.tick(quarantine.PROBE_AFTER_MS)
    assert len(session.tasks_on("w0")) == len(session.tasks_on("w1")) == 1


def test_a_service_parked_on_probation_gets_all_its_tasks_again():
    """Guards against a service that runs one of its three tasks until its placer
    restarts. It was put on probation (one task at a time, until one has run for a
    minute) and parked meanwhile, as its team's quota was below one task. The review
    that ends the probation found it parked, and no other review followed.
    """
    session = placement_session.Session().add_workers(6)
    session.submit("service", 3, kind="service")
    session.tick()
    session.lose(session.running["service/0"][0])
    session.tick(poison_jobs.REVIEW_AFTER_MS)
    session.end_all("stopped")
    session.set_team("a", quota=common.Resources(1, 1, 0))
    session.tick()
    session.tick(impossible.CONFIRM_AFTER_MS)
    session.tick(poison_jobs.REVIEW_INTERVAL_MS)
    session.set_team("a")
    session.tick()
    assert len(session.tasks_of("service")) == 1
    for _review in range(2 * poison_jobs.WINDOW_MS // poison_jobs.REVIEW_INTERVAL_MS):
        session.tick(poison_jobs.REVIEW_INTERVAL_MS)
    assert len(session.tasks_of("service")) == 3


def test_a_gang_gets_a_quarantined_worker_that_nothing_else_can_probe():
    """Guards against a gang that waits forever for all four workers. One of them is in
    quarantine, which only a task of a batch run or a service ends, and none is
    submitted. The worker still counts as one that the gang could use, so the gang isn't
    reported as impossible.
    """
    session = quarantine_workers(placement_session.Session().add_workers(4), "w0")
    session.submit("gang", 4, kind="gang", task=WHOLE)
    for _second in range(2 * quarantine.PROBE_AFTER_MS // 1000):
        session.tick(1000)
    assert len(session.tasks_of("gang")) == 4


def test_gangs_that_can_not_run_yet_do_not_block_others():
    """Guards against a gang of two that waits forever beside nine idle workers. Four
    gangs ahead of it in its line need ten workers, one of which a service holds. Gangs
    behind these four were not tried, however long the four waited.
    """
    session = placement_session.Session().add_workers(10)
    session.submit("service", kind="service", task=WHOLE, priority=5)
    session.tick()
    for number in range(4):
        session.submit(f"large{number}", 10, kind="gang", task=WHOLE)
    session.submit("small", 2, kind="gang", task=WHOLE)
    for _second in range(60):
        session.tick(1000)
    assert len(session.tasks_of("small")) == 2


def test_a_gang_that_draining_can_not_help_does_not_block_other_reservations():
    """Guards against a gang of four that waits forever among small tasks, which take
    all freed capacity. Another team, which runs nothing yet, submits a gang of eight
    that services leave no capacity for. While that gang waits, the first team is above
    the mean share of the waiting teams and gets no reservation.
    """
    session = placement_session.Session().add_workers(8)
    session.submit("services", 2, kind="service", task=WHOLE)
    session.tick()
    session.submit("small", 48)
    session.tick()
    session.submit("never", 8, kind="gang", task=WHOLE, team="b")
    large = WHOLE._replace(memory_mb=8000)
    session.submit("could", 4, kind="gang", task=large)
    for number in range(100):
        session.submit(f"more{number}", 2)
        small = [task for task in session.running if "services" not in task]
        for task_id in small[:2]:
            session.end(task_id)
        session.tick(1000)
    assert "never" not in session.first_start_ms
    assert "could" in session.first_start_ms


def test_quota_saved_for_a_gang_that_lacks_capacity_does_not_stop_its_team():
    """Guards against a team that is stalled forever in a mostly empty cell. Its gang
    waited for quota, which has been saved for it since. Now it has the quota but lacks
    capacity: services hold workers that it needs. The saved quota holds back all other
    work of the team.
    """
    session = placement_session.Session().add_workers(10)
    session.submit("services", 3, kind="service", task=WHOLE, team="b")
    session.set_team("a", quota=resources.times(WHOLE, 8))
    session.submit("first", 56)
    session.tick()
    session.submit("gang", 8, kind="gang", task=WHOLE)
    session.tick()
    session.tick(quotas.SAVE_AFTER_MS)
    session.end_all(job_id="first")
    session.submit("later", 8)
    for _second in range(60):
        session.tick(1000)
    assert "gang" not in session.first_start_ms
    assert "later" in session.first_start_ms


def test_a_retry_that_waits_for_another_runner_does_not_block_its_team():
    """Guards against requests of a team that time out in the queue beside an idle
    runner. The oldest was refused there and waits for the other runner, which is busy.
    Later requests could use the idle runner, but only a team's oldest was considered.
    """
    service = serving.Service(serving.EntryLocation("d", 1, 1), 100, random.Random(1))
    service.set_runners([_runner("r1"), _runner("r2")])

    def arrive(name, now_ms, avoided=(), attempt=1):
        request = serving.Request(name, "a", 5, 0, 10_000, attempt, serving.UNREACHABLE)
        return [
            (each.request_id, each.runner.runner_id)
            for each in service.submit(request, now_ms, avoided)
        ]

    at_runner = {runner: name for name, runner in arrive("q1", 0) + arrive("q2", 0)}
    assert set(at_runner) == {"r1", "r2"}
    assert arrive("again", 0, avoided=("r1",), attempt=2) == []
    assert arrive("q3", 0) == []
    ended = serving.AttemptEnded(at_runner["r1"], "r1", serving.ANSWERED, 200, 10)
    granted = service.on_attempt_ended(ended, 20)
    assert [(each.request_id, each.runner.runner_id) for each in granted] == [
        ("q3", "r1")
    ]


def _runner(name):
    return placer.RunnerView(name, "boot", "s", "", "vm", "r", "d", 1, 8, "ready")
