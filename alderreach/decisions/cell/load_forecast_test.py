"""The forecast of one pool, and which jobs are refused for it."""

import math

from alderreach.core.generated import cell
from alderreach.decisions.cell import load_forecast
from tools import virtual_parts

URGENT, PLAN = load_forecast.ClassKey(0, False), load_forecast.ClassKey(2, False)
FLOOD = load_forecast.ClassKey(0, True)


def full_pool(waiting, capacity=10_000):
    """Return a full pool whose runs of one second end one after the other."""
    ends = [load_forecast.End(100 * n, capacity / 10) for n in range(1, 11)]
    return load_forecast.Pool(capacity, 0, ends, waiting)


def steps(key, seconds_of_pool, count=100, **options):
    """Return ``count`` waiting steps that fill the pool for some seconds together."""
    amount = 10_000 * seconds_of_pool / count
    return [load_forecast.Waiting(key, amount, 1000, **options) for _ in range(count)]


def job(number=0, key=FLOOD, share_ms=100.0, objective_ms=2000, path_ms=1000):
    name = ("a", f"j{number}")
    return load_forecast.Job(name, "pool", key, objective_ms, path_ms, share_ms)


def test_saturation_delays_new_work_by_the_work_ahead():
    pool = full_pool(steps(PLAN, 20))
    assert math.isclose(
        load_forecast.start_delay(pool, PLAN).expected_ms, 20_000, rel_tol=0.1
    )
    assert load_forecast.start_delay(pool, URGENT).expected_ms <= 150


def test_a_flood_delays_no_work_within_the_shares():
    """Guards against small customers that are refused because of a large one."""
    pool = full_pool(steps(FLOOD, 60))
    assert load_forecast.start_delay(pool, URGENT).expected_ms <= 150
    plans = full_pool(steps(load_forecast.ClassKey(2, True), 60))
    assert load_forecast.start_delay(plans, PLAN).expected_ms <= 150
    assert load_forecast.start_delay(pool, FLOOD).expected_ms >= 50_000


def test_late_work_delays_only_what_is_late_as_well():
    pool = full_pool(steps(PLAN, 20, latest_start_ms=-1))
    assert load_forecast.start_delay(pool, PLAN, 500).expected_ms <= 150
    late = load_forecast.start_delay(pool, PLAN, 500, includes_late=True)
    assert late.expected_ms >= 18_000


def test_work_that_may_start_later_delays_no_work_that_is_due_earlier():
    """Guards against refusals of short jobs because of long ones that can wait."""
    pool = full_pool(steps(PLAN, 20, latest_start_ms=5000))
    assert load_forecast.start_delay(pool, PLAN, 1000).expected_ms <= 150
    assert load_forecast.start_delay(pool, PLAN, 6000).expected_ms >= 18_000


def test_work_that_starts_out_of_turn_is_not_expected_to_wait_for_it():
    """Guards against refusals of small tasks, which fit into gaps of a full pool."""
    waiting = steps(PLAN, 60) + steps(FLOOD, 0.1)
    pool = full_pool(waiting)._replace(started={FLOOD: 5000})
    assert load_forecast.start_delay(pool, FLOOD).expected_ms <= 250


def test_a_run_that_yields_frees_room_for_more_urgent_work_only():
    ends = [load_forecast.End(60_000, 10_000, yields_below=2)]
    pool = load_forecast.Pool(10_000, 0, ends, [])
    assert load_forecast.start_delay(pool, URGENT).expected_ms <= 500
    assert load_forecast.start_delay(pool, PLAN).expected_ms >= 10_000


def test_later_steps_of_jobs_delay_new_work_once_they_open():
    pool = full_pool(steps(PLAN, 8) + steps(PLAN, 8, is_later=True))
    delay_ms = load_forecast.start_delay(pool, PLAN).expected_ms
    assert math.isclose(delay_ms, 16_000, rel_tol=0.1)
    idle = load_forecast.Pool(10_000, 100, [], steps(PLAN, 8, is_later=True))
    assert load_forecast.start_delay(idle, PLAN).expected_ms == 0


def test_the_sum_of_few_estimates_is_hardly_certain():
    """Guards against a refusal because of one wrong estimate."""
    one = load_forecast.start_delay(full_pool(steps(PLAN, 20, count=1)), PLAN)
    many = load_forecast.start_delay(full_pool(steps(PLAN, 20, count=400)), PLAN)
    assert one.certain_ms <= 0.11 * one.expected_ms
    assert many.certain_ms >= 0.95 * many.expected_ms


def test_a_job_that_looks_short_is_judged_as_a_usual_one():
    """Guards against the refusal of a job whose own estimate is a tenth of the truth:
    its objective looks ten times as short as it is.
    """
    usual = load_forecast.UsualPaths()
    for path_ms in (8000, 4000, 6000) * 30:
        usual.observe("plan", path_ms)
    assert 5500 <= usual.longest_ms("plan", 600) <= 6500
    assert usual.longest_ms("plan", 20_000) == 20_000


def test_the_critical_path_includes_a_permission_query_for_each_step():
    """Guards against objectives that are too short for queues with slow queries."""
    rule = cell.PermissionRule(717, 10.1, 2500)
    queue = virtual_parts.queue("q", permission=rule)
    chain = [
        virtual_parts.step(1, 100, estimated_ms=500),
        virtual_parts.step(1, 100, estimated_ms=700, after=[0]),
    ]
    assert load_forecast.path_ms(queue, chain, [500, 700]) == 1.5 * 1200 + 2 * (
        717 + 303
    )


def test_within_its_share_a_job_is_refused_only_far_later():
    """The limits are three objectives beyond the share and six within it."""
    assert load_forecast.is_beyond_serving(job(), 5100)
    assert not load_forecast.is_beyond_serving(job(), 4900)
    assert not load_forecast.is_beyond_serving(job(key=URGENT), 10_900)
    assert load_forecast.is_beyond_serving(job(key=URGENT), 11_100)
    assert not load_forecast.is_beyond_serving(job(), math.inf)
