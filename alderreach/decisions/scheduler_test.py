"""Small sessions with the whole scheduler: its inputs and its decisions."""

import random

from alderreach.core.generated import common
from alderreach.decisions import scheduler
from tests import placement_session

WORKER = placement_session.WORKER
job = placement_session.make_job


def make_scheduler(workers=4):
    subject = scheduler.Scheduler(random.Random(1))
    for name in ("a", "b"):
        subject.set_team(common.Team(name, placement_session.PLENTY, 1, "packing"))
    for number in range(workers):
        subject.add_worker(f"w{number}", f"vm{number}", f"r{number % 2}", WORKER)
    return subject


def starts(decisions):
    return [each for each in decisions if isinstance(each, scheduler.Start)]


def test_batch_fills_every_worker_and_no_more():
    subject = make_scheduler()
    subject.submit(job("j", tasks=40), 0)
    placed = starts(subject.tick(0, 1000))
    assert len(placed) == 32
    assert all(subject.allocated(f"w{n}") == WORKER for n in range(4))
    assert subject.job_status("j").running == 32
    subject.task_ended(placed[0].task_id, 1, "finished", 1)
    again = starts(subject.tick(1, 1000))
    assert [each.worker_id for each in again] == [placed[0].worker_id]


def test_gang_waits_for_room_for_all():
    subject = make_scheduler(workers=1)
    subject.submit(job("first", tasks=1), 0)
    (first,) = starts(subject.tick(0, 100))
    subject.submit(job("gang", tasks=8, kind="gang"), 0)
    assert subject.tick(1, 100) == []
    subject.task_ended(first.task_id, 1, "finished", 2)
    assert len(starts(subject.tick(2_000, 100))) == 8


def test_service_is_spread_and_kept_running():
    subject = make_scheduler()
    subject.submit(job("s", tasks=4, kind="service"), 0)
    placed = starts(subject.tick(0, 100))
    assert sorted(each.worker_id for each in placed) == ["w0", "w1", "w2", "w3"]
    subject.task_ended("s/2", 1, "failed", 5)
    (again,) = starts(subject.tick(60_000, 100))
    assert (again.task_id, again.attempt) == ("s/2", 2)


def test_service_takes_a_new_number_of_tasks():
    subject = make_scheduler()
    subject.submit(job("s", tasks=4, kind="service"), 0)
    subject.tick(0, 100)
    subject.submit(job("s", tasks=2, kind="service"), 1)
    stops = subject.tick(1, 100)
    assert sorted(each.task_id for each in stops) == ["s/2", "s/3"]
    for each in stops:
        subject.task_ended(each.task_id, 1, "stopped", 2)
    subject.submit(job("s", tasks=3, kind="service"), 3)
    (again,) = starts(subject.tick(3, 100))
    assert (again.task_id, again.attempt) == ("s/2", 2)


def test_attempts_grow_over_a_takeover():
    """A service's task is lost in its third attempt just before a takeover.

    If it were started as attempt 1 again, a worker that ran it before would treat the
    command as a duplicate and start nothing.
    """
    subject = make_scheduler()
    subject.submit(job("s", tasks=1, kind="service"), 0)
    subject.task_ended("s/0", 3, "lost", 0)
    (again,) = starts(subject.tick(0, 100))
    assert again.attempt == 4


def test_restored_task_holds_its_room_before_its_job_is_known():
    """A placer takes over while a worker is full.

    The targets announce their tasks before the job arrives from the keepers. If the
    worker accepted work in between, its VM would be overcommitted.
    """
    subject = make_scheduler(workers=1)
    subject.restore("old/5", 3, "old", "w0")
    subject.submit(job("new", tasks=8), 0)
    assert subject.tick(0, 100) == []
    subject.submit(job("old", tasks=6, task=common.Resources(8000, 8192, 0)), 1)
    assert subject.tick(1, 100) == []
    assert subject.allocated("w0") == WORKER
    subject.task_ended("old/5", 3, "lost", 2)
    subject.cancel("new", 2)
    ids = [(each.task_id, each.attempt) for each in starts(subject.tick(3, 100))]
    assert ids == [("old/0", 1)]


def test_cancelled_job_stops_what_runs_and_starts_no_more():
    subject = make_scheduler(workers=1)
    subject.submit(job("j", tasks=20), 0)
    assert len(starts(subject.tick(0, 100))) == 8
    subject.cancel("j", 1)
    stops = subject.tick(1, 100)
    assert len(stops) == 8 and {each.how for each in stops} == {"stop"}
    for each in stops:
        subject.task_ended(each.task_id, 1, "stopped", 2)
    assert subject.job_status("j").state == "cancelled"
    assert subject.tick(2, 100) == []


def test_lost_worker_that_returns_still_holds_its_tasks():
    """A worker is cut off, is removed and comes back with its tasks running.

    They were not reported as lost, so they still run. If the returned worker counted as
    empty, its VM would get twice the work that it can hold.
    """
    subject = make_scheduler(workers=1)
    subject.submit(job("j", tasks=9), 0)
    subject.tick(0, 100)
    subject.remove_worker("w0")
    subject.add_worker("w0", "vm0", "r0", WORKER)
    assert subject.allocated("w0") == WORKER
    assert subject.tick(1, 100) == []


def test_rest_of_a_gang_starts_again_after_its_last_task_has_finished():
    """A gang loses a task and is being stopped; one of its tasks finishes instead.

    If only stopped tasks led to a new start, the rest would wait for ever.
    """
    subject = make_scheduler()
    subject.submit(job("g", tasks=3, kind="gang"), 0)
    subject.tick(0, 100)
    subject.task_ended("g/0", 1, "lost", 1)
    subject.task_ended("g/1", 1, "stopped", 2)
    assert starts(subject.tick(1000, 100)) == []
    subject.task_ended("g/2", 1, "finished", 2000)
    assert len(starts(subject.tick(2000, 100))) == 2
