"""The forecast of room on workers that steps claim in order."""

import math

from alderreach.core import cell_state
from alderreach.decisions.cell import room_forecast, workers
from tools import virtual_parts

GROUP = cell_state.GroupKey("j", 0, 0)


def make_worker(number, runs, cpu_millis=1_000):
    """A worker of 4,000 millis with runs that end after the given times."""
    worker = workers.Worker(virtual_parts.worker(number, 4_000), 0, 0)
    for index, end_ms in enumerate(runs):
        key = cell_state.TaskKey("other", 0, number, index)
        run = workers.Run(key, 1, virtual_parts.step(1, cpu_millis), 0)
        run.load = end_ms
        worker.add(run)
    return worker


def forecast_of(*members, until_ms=2_000):
    ends = room_forecast.RunEnds(lambda run, now_ms: run.load - now_ms)
    return room_forecast.RoomForecast(members, ends, 0, until_ms)


def test_only_runs_that_end_in_time_leave_room():
    """Guards against queries for room that is there only after the tickets expire."""
    worker = make_worker(1, [500, 1_500, 2_500, math.inf])
    forecast = forecast_of(worker)
    step = virtual_parts.step(4, 1_000)
    assert forecast.fits(worker.target_id, step, GROUP) == 0
    assert forecast.ready_ms(worker.target_id, step) == math.inf
    forecast.extend()
    forecast.extend()
    assert forecast.fits(worker.target_id, step, GROUP) == 2
    assert forecast.ready_ms(worker.target_id, step) == 500


def test_room_that_more_urgent_steps_claim_is_not_offered_again():
    """Guards against fifty waiting steps that all query for the room of one."""
    first, second = make_worker(1, []), make_worker(2, [])
    forecast = forecast_of(first, second)
    step = virtual_parts.step(3, 1_000)
    assert forecast.claim([first.target_id], step, GROUP, 3) == 3
    assert forecast.fits(first.target_id, step, GROUP) == 1
    options = forecast.options(
        [(w.target_id, 1.0) for w in (first, second)], step, GROUP
    )
    assert [(option.fits, option.claims) for option in options] == [(1, 1), (4, 0)]


def test_a_run_that_has_ended_is_not_counted_twice():
    """Guards against room that is counted as free and as freed soon."""
    worker = make_worker(1, [500, 500, 500, 500])
    ends = room_forecast.RunEnds(lambda run, now_ms: run.load - now_ms)
    assert len(ends.of(worker, 0)) == 4
    worker.remove(next(iter(worker.runs.values())))
    assert len(ends.of(worker, 100)) == 3


def test_steps_behind_one_that_found_no_room_are_checked_without_the_workers():
    """Guards against a cost of waiting steps times workers in a full cell."""
    members = [make_worker(number, [math.inf] * 4) for number in range(20)]
    forecast = forecast_of(*members)
    forecast.extend()
    step = virtual_parts.step(5, 2_000)
    forecast.claim_anywhere(step, GROUP, 5)
    assert not forecast.may_fit(step)
    assert not forecast.may_fit(virtual_parts.step(1, 3_000))
    assert forecast.may_fit(virtual_parts.step(1, 500))


def test_a_sample_of_a_large_pool_carries_its_part_of_each_claim():
    """Guards against a forecast of 300 of 3,000 workers that is full too early."""
    ends = room_forecast.RunEnds(lambda run, now_ms: math.inf)
    members = [make_worker(number, []) for number in range(3)]
    forecast = room_forecast.RoomForecast(members, ends, 0, 0, scale=10)
    step = virtual_parts.step(30, 1_000)
    forecast.claim_anywhere(step, GROUP, forecast.scaled(60))
    total = forecast.sum_fits(forecast.target_ids(), step, GROUP)
    assert total == 3 * 4 - 6
