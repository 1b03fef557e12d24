"""Which runs get a duplicate: only the last of a step, and only if it helps its job."""

import types

from alderreach.decisions.cell import stragglers
from tools import virtual_parts

STEP = virtual_parts.step(10, 1_000, allow_duplicates=True)


def test_only_the_last_tasks_of_a_step_that_allows_it_get_duplicates():
    """Guards against repeated work that does not end the step earlier."""
    assert stragglers.may_be_duplicated(STEP, unfinished=1)
    assert not stragglers.may_be_duplicated(STEP, unfinished=3)
    assert not stragglers.may_be_duplicated(STEP, unfinished=0)
    for options in (
        {"allow_duplicates": False},
        {"gang": True},
        {"long_running": True},
    ):
        assert not stragglers.may_be_duplicated(STEP._replace(**options), 1)


def test_a_duplicate_has_to_make_its_job_be_on_time():
    """Guards against duplicates of runs that are on time anyway, or of lost jobs."""
    assert stragglers.is_worth_duplicating(2_000, 500, spare_ms=900)
    assert not stragglers.is_worth_duplicating(2_000, 500, spare_ms=2_100)
    assert not stragglers.is_worth_duplicating(2_000, 500, spare_ms=400)
    assert not stragglers.is_worth_duplicating(800, 500, spare_ms=700)


def test_a_run_without_progress_is_expected_to_take_as_long_again():
    """Guards against a run on a stuck worker that counts as done any moment."""
    run = types.SimpleNamespace(placed_ms=0, first_ms=None, pace=100)
    assert stragglers.expected_remaining_ms(run, 500, now_ms=200) == 300
    assert stragglers.expected_remaining_ms(run, 500, now_ms=900) == 900


def test_duplicates_stay_a_small_share_of_recent_work():
    """Guards against slow workers everywhere, when all work would be done twice."""
    limit = stragglers.WorkLimit()
    limit.record_started(1_000_000, now_ms=0)
    for now_ms in range(0, 500, 50):
        if limit.allows(10_000, now_ms):
            limit.record_duplicated(10_000, now_ms)
    assert not limit.allows(10_000, now_ms=600)
    limit.record_started(1_000_000, now_ms=12_000)
    assert limit.allows(50_000, now_ms=12_000)
