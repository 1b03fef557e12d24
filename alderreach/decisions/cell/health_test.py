"""Strikes, time out and slowness of workers, and failures that are not theirs."""

from alderreach.core import cell_state
from alderreach.core.generated import cell, common
from alderreach.decisions.cell import health, workers


def worker(name):
    record = cell.TargetRecord(
        name, 1, "pool", "", "d", common.Resources(8, 8, 0), ["a", "r1"], "ready", ""
    )
    return workers.Worker(record, 0, 0)


def run(percent, observed_ms, first_percent=0):
    step = cell.Step(1, common.Resources(1, 1, 0), 500, [], *cell_state.NO_STEP_OPTIONS)
    result = workers.Run(cell_state.TaskKey("j", 0, 0, 0), 1, step, 0)
    result.first_ms, result.first_percent = 0, first_percent
    result.percent, result.last_progress_ms = percent, observed_ms
    return result


SIBLINGS = [1000, 1100, 900]


def test_a_long_task_on_a_healthy_worker_is_left_there():
    """Guards against moving a task that is long on every worker.

    Durations within one step differ by several times. Moving a task that takes four
    times as long as its siblings would only do its work twice.
    """
    ratios = [health.slowness(run(25, 1000), SIBLINGS)]
    ratios += [health.slowness(run(95, 1000), SIBLINGS) for _ in range(3)]
    assert ratios[0] == 4.0
    assert not health.is_slow(ratios)
    assert not health.is_slow(ratios[:1])


def test_a_slow_worker_loses_runs_that_end_sooner_elsewhere():
    early, late = run(12, 800), run(80, 5000)
    ratios = [health.slowness(each, SIBLINGS) for each in (early, late)]
    assert health.is_slow(ratios)
    assert health.is_worth_moving(early, ratios[0], SIBLINGS)
    assert not health.is_worth_moving(late, ratios[1], SIBLINGS)


def test_a_restore_before_the_first_percents_is_not_slowness():
    assert health.slowness(run(14, 100, first_percent=2), SIBLINGS) < 1.0
    assert health.slowness(run(5, 100, first_percent=2), SIBLINGS) is None


def test_siblings_with_a_duration_of_zero():
    """Guards against a division by zero that ended the leader.

    A new leader adopts runs that have just ended, so their durations are zero.
    """
    assert health.slowness(run(50, 500), [0, 0]) == 1000.0


def test_failures_on_a_worker_that_is_out_do_not_extend_its_time_out():
    """Guards against a time out that several failures at once make too long.

    A long-running task waited for seven seconds although its only permitted worker was
    idle. Three runs had failed there within half a second: the first put the worker out
    for three seconds, and the others, which had started before, each doubled that time.
    """
    all_workers = [worker(f"w{number}") for number in range(6)]
    bad = all_workers[0]
    health.add_strike(bad, "j1", all_workers, 0)
    assert health.add_strike(bad, "j2", all_workers, 100)
    assert not health.add_strike(bad, "j3", all_workers, 300)
    assert bad.health.out_until_ms == 100 + health.FIRST_OUT_MS
    back_ms = bad.health.out_until_ms
    assert health.add_strike(bad, "j1", all_workers, back_ms)
    assert bad.health.out_until_ms == back_ms + 2 * health.FIRST_OUT_MS


def test_failures_of_one_broken_job_do_not_put_a_worker_out():
    all_workers = [worker(f"w{number}") for number in range(6)]
    assert not any(
        health.add_strike(all_workers[0], "j1", all_workers, 0) for _ in range(9)
    )
    assert health.add_strike(all_workers[0], "j2", all_workers, 0)
    assert not all_workers[0].is_usable(100)


def test_no_more_than_a_third_of_the_workers_is_out():
    """When every worker fails its tasks, the workers are not the cause."""
    all_workers = [worker(f"w{number}") for number in range(6)]
    out = [
        health.add_strike(each, f"j{number}", all_workers, 0)
        or health.add_strike(each, f"k{number}", all_workers, 0)
        for number, each in enumerate(all_workers)
    ]
    assert sum(out) == 2


def test_jobs_that_fail_on_two_workers_put_none_out():
    """Guards against broken jobs that take away another job's only worker.

    Two broken jobs are tried on three workers in turn. One of these is the only worker
    permitted to run a third job, whose callers would wait while it is out.
    """
    all_workers = [worker(f"w{number}") for number in range(6)]
    for _attempt in range(3):
        for each in all_workers[:3]:
            health.add_strike(each, "j1", all_workers, 0)
            health.add_strike(each, "j2", all_workers, 0)
    assert not any(each.health.out_until_ms for each in all_workers)
    assert not health.add_strike(all_workers[4], "j3", all_workers, 0)
    assert health.add_strike(all_workers[4], "j4", all_workers, 0)


def test_a_success_clears_the_strikes_of_a_worker():
    all_workers = [worker(f"w{number}") for number in range(6)]
    health.add_strike(all_workers[0], "j1", all_workers, 0)
    health.record_success(all_workers[0])
    assert not health.add_strike(all_workers[0], "j2", all_workers, 0)


def test_workers_held_back_for_lack_of_capacity_do_not_keep_a_bad_one_in_use():
    """Guards against a worker that fails every task and still gets more in a full cell.

    Workers that have just refused a start for lack of capacity are held back for half a
    second. They were counted in the third that may be out for bad health.
    """
    all_workers = [worker(f"w{number}") for number in range(6)]
    for other in all_workers[1:4]:
        other.held_back_until_ms = 500
    health.add_strike(all_workers[0], "j1", all_workers, 0)
    assert health.add_strike(all_workers[0], "j2", all_workers, 0)
    assert not all_workers[0].is_usable(100)


def test_a_small_pool_is_never_out_as_a_whole():
    """Guards against a service that loses all its workers to broken jobs.

    A service has six of a cell's thirty workers, and broken jobs fail on all six. With
    a limit of a third of the whole cell, all of them were out, and the service's other
    jobs waited for up to half a minute although its workers were idle.
    """
    pool = [worker(f"w{number}") for number in range(6)]
    others = [worker(f"o{number}") for number in range(24)]
    for other in others:
        other.record = other.record._replace(service="other")
    all_workers = pool + others
    for turn in ("first", "second"):
        for each in pool:
            health.add_strike(each, f"{turn}-on-{each.target_id}", all_workers, 0)
    assert sum(100 < each.health.out_until_ms for each in pool) == 2


def test_the_known_pace_of_a_slow_worker_is_no_reason_to_move_its_runs():
    """Load: a third of the workers is 2.4 times slower. Guards against strikes that put
    them out of use for that, and against a worker ten times slower that keeps its runs.
    """
    slow, broken = worker("w1"), worker("w2")
    slow.slowness, broken.slowness = 2.4, 10.0
    for each, ratios in ((slow, [2.6, 3.4, 3.2]), (broken, [9.0, 11.0])):
        usual = health.usual_slowness(each)
        assert health.is_slow([r / usual for r in ratios]) == (each is broken)


def test_a_long_task_beside_runs_of_usual_duration_is_left_there():
    """Load: three in a hundred tasks take seven times as long. Guards against moving
    them twice, which repeats all of their work and strikes two healthy workers.
    """
    healthy, long_run = worker("w1"), run(20, 1400)
    assert not health.is_long_by_itself(healthy, long_run)
    assert health.is_of_usual_duration(healthy, 1200, SIBLINGS)
    assert not health.is_of_usual_duration(healthy, 7000, SIBLINGS)
    assert not health.is_of_usual_duration(healthy, 1200, SIBLINGS[:1])
    healthy.usual_pace_ms = 1300
    assert health.is_long_by_itself(healthy, long_run)
    long_run.first_ms = 1350
    assert not health.is_long_by_itself(healthy, long_run)


def test_only_a_long_task_leaves_a_known_slow_worker_and_only_early():
    """Guards against a step that ends late for one long task on a slow worker, and
    against work repeated for tasks that are slow only because their worker is.
    """
    slow = worker("w1")
    slow.slowness = 2.4
    for percent, ratio, expected in ((10, 17, True), (70, 17, False), (10, 3, False)):
        each = run(percent, 10)
        assert health.ends_sooner_on_quick(slow, each, ratio, SIBLINGS) == expected
