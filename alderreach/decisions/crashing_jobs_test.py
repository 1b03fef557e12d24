"""Scheduler sessions in which tasks crash the workers that they run on."""

import collections

import pytest

from alderreach.core.generated import common
from alderreach.decisions import endings, poison_jobs
from tests import placement_session

SMALL = placement_session.SMALL
HALF = common.Resources(4000, 4096, 0)
WHOLE = placement_session.WORKER


def test_a_lost_task_stays_given_up_after_a_takeover():
    """A new owner must not retry from zero a task that crashes its workers."""
    session = placement_session.Session().add_workers(10)
    session.submit("half", 2, task=WHOLE)
    starts = 0
    for round_number in range(8):
        session.tick(1000)
        if "half/0" in session.running:
            starts += 1
            session.lose(session.running["half/0"][0])
        session.take_over(round_number)
    assert starts == endings.MAX_LOSSES
    session.end_all(job_id="half")
    assert session.scheduler.job_status("half").state == "failed"


def test_services_that_crash_their_workers_are_restarted_with_growing_pauses():
    """Several such services run at once, so none of them is found to be the cause."""
    session = placement_session.Session().add_workers(12)
    names = [f"s{number}" for number in range(5)]
    for name in names:
        session.submit(name, 1, kind="service", task=WHOLE)
    starts = collections.Counter()
    for second in range(600):
        session.tick(1000)
        for task_id, (worker_id, _attempt) in list(session.running.items()):
            starts[task_id] += 1
            session.lose(worker_id)
            session.add_worker(f"back{second}{task_id}", "r0", WHOLE)
    assert sorted(starts) == [f"{name}/0" for name in names]
    assert max(starts.values()) < 30


def test_a_lost_rack_delays_a_young_service_once():
    """The pause must not grow with the number of tasks lost at once."""
    session = placement_session.Session().add_workers(12, racks=2)
    session.submit("s", 8, kind="service", task=WHOLE)
    session.tick()
    session.lose(*(name for name, rack in session.racks.items() if rack == "r0"))
    session.tick(2 * endings.INITIAL_PAUSE_MS)
    assert len(session.tasks_of("s")) == 6


@pytest.mark.parametrize("size", [HALF, SMALL])
def test_a_gang_that_crashes_its_workers_is_condemned_alone(size):
    """Workers that the gang crashed before must not make its next loss look random."""
    session = placement_session.Session().add_workers(40)
    session.submit("bystander", 6, kind="service")
    session.submit("gang", 4, kind="gang", task=size)
    for round_number in range(12):
        session.tick(poison_jobs.REVIEW_AFTER_MS)
        hit = sorted(
            {session.running[task_id][0] for task_id in session.tasks_of("gang")}
        )
        session.lose(*hit)
        for worker_id in hit:
            session.add_worker(f"{worker_id}-{round_number}", "r0", WHOLE)
    assert set(session.impossible) == {"gang"}
    assert not session.tasks_of("gang")
    session.tick(poison_jobs.WINDOW_MS)
    assert len(session.tasks_of("bystander")) == 6


def test_a_service_whose_workers_are_cut_off_is_not_condemned():
    """Guards against a service that is parked permanently though no worker crashed."""
    session = placement_session.Session().add_workers(12)
    session.submit("s", 1, kind="service", task=WHOLE)
    for _cut in range(2 * poison_jobs.INCIDENT_LIMIT):
        session.tick(endings.MAX_PAUSE_MS)
        worker_id, _attempt = session.running["s/0"]
        session.lose(worker_id, outcome="expired")
        session.tick(poison_jobs.REVIEW_AFTER_MS)
        session.add_worker(worker_id, "r0", WHOLE)
        session.scheduler.end_silence(worker_id, False, session.now_ms)
    assert not session.impossible


def test_a_service_that_crashes_workers_is_condemned_once_they_return():
    """A crash must count although its worker was only silent at first."""
    session = placement_session.Session().add_workers(12)
    session.submit("s", 1, kind="service", task=WHOLE)
    silent = []
    for _crash in range(poison_jobs.INCIDENT_LIMIT):
        session.tick(endings.MAX_PAUSE_MS)
        silent.append(session.running["s/0"][0])
        session.lose(silent[-1], outcome="expired")
        session.tick(poison_jobs.REVIEW_AFTER_MS)
    assert not session.impossible
    for worker_id in silent:
        session.scheduler.end_silence(worker_id, True, session.now_ms)
        session.tick()
    assert set(session.impossible) == {"s"}
