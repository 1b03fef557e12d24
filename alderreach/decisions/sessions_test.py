"""Whole sessions under load: a cell and its jobs, with the decisions as snapshots."""

import itertools

from alderreach.core.generated import common
from alderreach.decisions import draining, endings, poison_jobs
from tests import placement_session

SMALL = placement_session.SMALL
HALF = common.Resources(4000, 4096, 0)
WHOLE = placement_session.WORKER


def first_start_times(session):
    """Return by job when it first ran, None if it has not."""
    return {job_id: session.first_start_ms.get(job_id) for job_id in session.jobs}


def test_burst_of_one_team_does_not_delay_another(snapshot):
    """A team submits 300 tasks, and another team one job right after it.

    In order of arrival the second team would wait for 268 tasks of the first.
    """
    session = placement_session.Session().add_workers(4)
    session.submit("wave", 300)
    session.submit("single", 2, team="b")
    session.tick()
    assert first_start_times(session)["single"] == 100
    assert len(session.running) == 32
    assert session.log == snapshot


def test_few_teams_with_most_of_the_load_get_their_share_and_no_more():
    """Two of ten teams submit nine tenths of the work for a minute.

    In order of arrival the others' small jobs would wait behind theirs.
    """
    teams = [f"t{number}" for number in range(10)]
    session = placement_session.Session(teams=teams).add_workers(10)
    session.submit("heavy0", 2000, team="t0")
    session.submit("heavy1", 2000, team="t1")
    for second in range(1, 60):
        for number in range(2, 10):
            session.submit(f"light{second}-{number}", 1, team=f"t{number}")
        session.tick(1000)
        for task_id in list(session.running)[:20]:
            session.end(task_id)
    late = [
        job_id
        for job_id, start_ms in first_start_times(session).items()
        if job_id.startswith("light")
        and start_ms != 1000 * int(job_id[5:].partition("-")[0])
    ]
    assert late == []
    heavy = [session.finished[name] for name in ("heavy0", "heavy1")]
    assert min(heavy) > 0.9 * max(heavy)


def test_gang_among_small_tasks_starts(snapshot):
    """A gang of half the cell waits while small tasks fill each gap as it opens.

    Without a reservation it would wait until no more small tasks are submitted.
    """
    session = placement_session.Session().add_workers(4)
    session.submit("small", 32)
    session.tick()
    session.submit("gang", 16, kind="gang", team="b")
    waited_ms = play_small_work(session, "gang")
    assert waited_ms <= draining.RESERVE_AFTER_MS + 20_000
    assert session.log[-4:] == snapshot


def play_small_work(session, awaited):
    """End small tasks and submit new ones until ``awaited`` runs; return its wait."""
    began_ms = session.now_ms
    for round_number in range(200):
        session.submit(f"more{round_number}", 2, expected_run_ms=60_000)
        for task_id in list(session.running)[:2]:
            session.end(task_id)
        session.tick(1000)
        if session.tasks_of(awaited):
            return session.now_ms - began_ms
    raise AssertionError(f"{awaited} never started")


def test_backfill_that_runs_longer_than_declared_delays_no_gang():
    """Tasks that are declared to run for a second run for hours, beside long tasks.

    The short ones backfill gaps while a gang waits for its workers, and must be stopped
    once only their capacity is missing. The long ones are declared at ten hours.
    """
    session = placement_session.Session().add_workers(4)
    for number in range(4):
        session.submit(f"long{number}", 8, expected_run_ms=36_000_000)
        session.tick()
    session.submit("gang", 24, kind="gang", team="b")
    session.tick()
    session.tick(draining.RESERVE_AFTER_MS)
    session.submit("short", 40, expected_run_ms=1000, checkpoint=True)
    for task_id in list(session.running)[:4]:
        session.end(task_id)
    session.tick(1000)
    assert session.tasks_of("short")
    for _ in range(4):
        for task_id in [task for task in session.running if task[0] == "l"]:
            session.end(task_id)
        session.tick(1000)
        session.end_stopped()
    assert len(session.tasks_of("gang")) == 24


def test_two_gangs_that_each_want_more_than_half_run_in_turn(snapshot):
    """Two gangs each need three of four workers while small tasks run.

    If their tasks were placed one by one, each gang would hold two workers and wait for
    the other.
    """
    session = placement_session.Session().add_workers(4)
    session.submit("small", 32)
    session.tick()
    session.submit("first", 24, kind="gang", team="a")
    session.submit("second", 24, kind="gang", team="b")
    for _ in range(12):
        session.tick(1000)
        for task_id in session.tasks_of("small")[:4]:
            session.end(task_id)
    ran = {"first", "second"} & set(session.first_start_ms)
    assert len(ran) == 1
    session.end_all(job_id=ran.pop())
    session.tick(1000)
    assert {"first", "second"} <= set(session.first_start_ms)
    assert session.log == snapshot


def test_idle_teams_share_is_used_and_comes_back(snapshot):
    """A team fills the cell while others are idle; later they get their shares.

    With fixed shares three quarters of the cell would stay empty at first; without the
    order by shares the other teams would wait behind the backlog of the first.
    """
    session = placement_session.Session(teams=("a", "b", "c", "d")).add_workers(4)
    session.submit("a", 200)
    session.tick()
    assert len(session.tasks_of("a")) == 32
    for name in ("b", "c", "d"):
        session.submit(name, 20, team=name)
    for _ in range(6):
        for task_id in session.tasks_of("a")[:4]:
            session.end(task_id)
        session.tick()
    held = {name: len(session.tasks_of(name)) for name in ("a", "b", "c", "d")}
    assert held == {"a": 8, "b": 8, "c": 8, "d": 8}
    assert session.log == snapshot


def test_quota_is_kept_while_the_cell_is_idle(snapshot):
    session = placement_session.Session().add_workers(4)
    session.set_team("a", quota=common.Resources(5000, 99999, 0))
    session.submit("j", 20)
    session.submit("gang", 6, kind="gang")
    for _ in range(3):
        session.tick(6000)
    assert len(session.tasks_of("j")) == 5
    session.set_team("a", quota=common.Resources(12000, 99999, 0))
    session.tick(6000)
    session.end_all()
    session.tick(6000)
    assert session.log == snapshot


def test_job_that_no_worker_fits_is_named_and_costs_nothing(snapshot):
    """A task is declared ten times too large, and a gang is larger than the cell.

    They have to be reported as impossible; once a larger worker is added, they run.
    """
    session = placement_session.Session().add_workers(2)
    session.submit("huge", 1, task=common.Resources(80_000, 1024, 0))
    session.submit("crowd", 17, kind="gang")
    session.submit("fine", 1)
    session.tick()
    assert session.impossible == {}
    session.tick(10_000)
    assert set(session.impossible) == {"huge", "crowd"}
    assert session.scheduler.job_status("huge").state == "impossible"
    session.add_workers(1, common.Resources(96_000, 98_304, 0), prefix="large")
    session.tick(1000)
    assert {"huge", "crowd"} <= set(session.first_start_ms)
    assert session.log == snapshot


def test_cancellation_wave_is_bounded_and_starves_nothing():
    """A planner cancels 3,000 jobs with 400 running tasks, and submits new ones.

    If one tick handled all cancellations, the starts behind them would be late.
    """
    session = placement_session.Session().add_workers(50)
    for number in range(3000):
        session.submit(f"old{number}")
    session.tick()
    assert len(session.running) == 400
    for number in range(3000):
        session.cancel(f"old{number}")
    session.submit("new", 5, team="b")
    session.submit("urgent", 3, team="b", priority=9)
    sizes = [len(session.tick(budget=100))]
    session.end_stopped()
    sizes.append(len(session.tick(budget=100)))
    assert len(session.tasks_of("new")) == 5 and len(session.tasks_of("urgent")) == 3
    while session.tasks_of("old0") or len(session.running) > 8:
        sizes.append(len(session.tick(budget=100)))
        session.end_stopped()
    assert max(sizes) <= 100 and len(sizes) <= 10


def test_half_of_the_workers_gone_at_once(snapshot):
    """A failed switch cuts off half of the racks, with a service, a gang and a batch.

    What was lost starts again on the other workers, the gang as a whole. No job is
    blamed for the loss, although all of them had just started.
    """
    session = placement_session.Session().add_workers(8)
    session.submit("service", 4, kind="service", priority=8)
    session.submit("gang", 12, kind="gang", team="b")
    session.submit("batch", 40, checkpoint=True)
    session.tick()
    session.lose(*[name for name in session.workers if session.racks[name] == "r0"])
    for _ in range(6):
        session.tick(5000)
        session.end_stopped()
        session.end_all(job_id="batch")
    assert len(session.tasks_of("service")) == 4
    assert session.finished["batch"] == 40
    assert session.impossible == {}
    assert session.log == snapshot


def test_worker_that_fails_everything_is_shut_out_and_comes_back(snapshot):
    """A worker's disk is full: each task on it fails at once.

    It is always the emptiest, so it would attract all new work and use up its retries.
    """
    session = placement_session.Session().add_workers(6)
    failed = 0
    for number in range(40):
        session.submit(f"j{number}", 2, team="ab"[number % 2])
        session.tick(500)
        for task_id in session.tasks_on("w2"):
            session.end(task_id, "failed")
            failed += 1
        session.end_all()
    assert session.scheduler.worker_state("w2") == "quarantined"
    assert failed <= 16
    states = {session.scheduler.job_status(job_id).state for job_id in session.jobs}
    assert states == {"finished"}
    for number in range(80):
        session.submit(f"k{number}", 1)
        session.tick(1000)
        session.end_all()
    assert session.scheduler.worker_state("w2") == "open"
    assert session.log[:60] == snapshot


def test_job_that_fails_everywhere_shuts_out_no_worker():
    """A broken job fails at once on each worker, beside work that succeeds.

    By the number of failures alone, its workers would be quarantined one after another.
    """
    session = placement_session.Session().add_workers(6)
    for number in range(20):
        session.submit(f"broken{number % 2}-{number}", 8, team="a")
        session.submit(f"well{number}", 8, team="b")
        session.tick(500)
        for task_id in list(session.running):
            session.end(task_id, "failed" if task_id[0] == "b" else "finished")
    for _ in range(10):
        session.tick(500)
        session.end_all("failed")
    assert {session.scheduler.worker_state(name) for name in session.workers} == {
        "open"
    }
    states = [session.scheduler.job_status(name).state for name in session.jobs]
    assert states.count("failed") == 20 and states.count("finished") == 20


def test_job_that_kills_each_worker_is_stopped(snapshot):
    """Each worker that runs the job's task is lost within seconds.

    If the task were started again on other workers each time, one job would empty the
    cell. Other jobs that had just started on those workers must not be blamed.
    """
    session = placement_session.Session().add_workers(12, racks=3)
    session.submit("killer", 2)
    session.submit("bystander", 6, team="b")
    session.tick()
    lost = 0
    while lost < 12 and "killer" not in session.impossible:
        session.tick(poison_jobs.REVIEW_AFTER_MS)
        hit = {session.running[task_id][0] for task_id in session.tasks_of("killer")}
        lost += len(hit)
        if hit:
            session.lose(*sorted(hit))
    assert lost <= 4
    assert set(session.impossible) == {"killer"}
    session.tick(poison_jobs.WINDOW_MS)
    session.tick(poison_jobs.WINDOW_MS)
    assert len(session.tasks_of("bystander")) == 6
    assert session.log == snapshot


def test_failing_service_is_restarted_with_growing_pauses():
    session = placement_session.Session().add_workers(2)
    session.submit("s", 1, kind="service")
    starts_ms = []
    for _ in range(1200):
        session.tick(100)
        if session.tasks_of("s"):
            starts_ms.append(session.now_ms)
            session.end("s/0", "failed")
    pauses = [b - a for a, b in itertools.pairwise(starts_ms)]
    assert pauses[0] == endings.INITIAL_PAUSE_MS
    assert pauses == sorted(pauses)
    assert max(pauses) <= endings.MAX_PAUSE_MS
    assert len(starts_ms) < 15


def test_urgent_work_takes_the_place_of_batch_work(snapshot):
    """The weekly closure plan is submitted while the cell is full of long batch work.

    It must not wait for hours; tasks that can checkpoint are preempted before others.
    """
    session = placement_session.Session().add_workers(4)
    session.submit("plain", 16)
    session.submit("savable", 16, checkpoint=True, team="b")
    session.tick()
    session.submit("plan", 2, task=HALF, priority=9)
    session.tick()
    assert set(session.stopping.values()) == {"checkpoint"}
    session.end_stopped()
    session.tick()
    assert len(session.tasks_of("plan")) == 2
    assert session.log == snapshot


def test_urgent_gang_displaces_no_more_than_it_needs():
    session = placement_session.Session().add_workers(4)
    session.submit("batch", 32, checkpoint=True)
    session.tick()
    session.submit("gang", 3, kind="gang", task=WHOLE, priority=8, team="b")
    session.tick()
    assert len(session.stopping) == 24
    session.end_stopped()
    session.tick()
    assert len(session.tasks_of("gang")) == 3


def test_preemption_stops_at_its_floors():
    """A stream of urgent jobs arrives all day beside one small batch run.

    Without a limit its tasks would be preempted each time just before they end.
    """
    session = placement_session.Session().add_workers(1)
    session.submit("batch", 8, checkpoint=True)
    for number in range(40):
        session.tick(1000)
        session.submit(f"urgent{number}", 8, priority=9, team="b")
        session.tick(1000)
        session.end_stopped()
        session.tick(1000)
        session.end_all(job_id=f"urgent{number}")
    assert len(session.tasks_of("batch")) == 8
    assert max(session.attempts[f"batch/{n}"] for n in range(8)) == 4
