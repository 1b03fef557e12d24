"""The blame that runs get for a crash of their worker."""

import pytest

from alderreach.core import cell_state, crashes, orders
from alderreach.core.generated import cell, common
from alderreach.decisions.cell import contact_losses, crash_blame, workers

CRASH_MS = 100_000


def worker_with(*runs):
    record = cell.TargetRecord(
        "w1", 1, "pool", "", "d", common.Resources(8, 8, 0), ["a", "r1"], "ready", ""
    )
    result = workers.Worker(record, 0, 0)
    for run in runs:
        result.add(run)
    result.last_contact_ms = CRASH_MS - 100
    result.record_failed_call(CRASH_MS)
    return result


def run(index, age_ms, is_confirmed=True, sends=1, state=workers.RUNNING, broken=False):
    step = cell.Step(1, common.Resources(1, 1, 0), 500, [], *cell_state.NO_STEP_OPTIONS)
    key = cell_state.TaskKey("j", 0, 0, index)
    result = workers.Run(key, 1, step, CRASH_MS - age_ms)
    result.is_confirmed, result.sends, result.state = is_confirmed, sends, state
    result.lost_connection_at_start = broken
    result.order = orders.Start(str(key), 1, "", 0, 1, "", "")
    return result


def ends(worker):
    found = crash_blame.ends_after_crash(worker, CRASH_MS + 3000)
    return {key.index: end_kind for (key, _run), end_kind in found.items()}


def test_the_only_fresh_run_is_blamed_most():
    worker = worker_with(run(0, 20), run(1, 2_000), run(2, 90_000))
    assert ends(worker) == {
        0: crashes.CRASHED_AT_LONE_START,
        1: crashes.WORKER_CRASHED,
    }


def test_runs_that_started_together_share_the_blame():
    worker = worker_with(run(0, 20), run(1, 30))
    assert set(ends(worker).values()) == {crashes.CRASHED_AT_START}


def test_an_unconfirmed_start_is_fresh_however_late_the_crash_is_noticed():
    """Guards against a poison task that looks old, as its crash was noticed late."""
    worker = worker_with(run(0, 1_600, is_confirmed=False), run(1, 4_000))
    assert ends(worker)[0] == crashes.UNPROVED_AT_START


def test_a_start_whose_connection_was_lost_is_fresh_but_not_proved():
    """Guards against a start that is taken as begun on a worker that had crashed."""
    worker = worker_with(run(0, 20, is_confirmed=False, broken=True), run(1, 4_000))
    worker.last_contact_ms = CRASH_MS - 900
    assert ends(worker)[0] == crashes.UNPROVED_AT_START


def test_a_start_on_an_idle_silent_worker_is_not_the_certain_cause():
    """Guards against full blame on a task for a crash that preceded its start."""
    worker = worker_with(run(0, 20, is_confirmed=False))
    assert ends(worker)[0] == crashes.UNPROVED_AT_START


def test_a_start_on_an_idle_worker_without_heartbeats_gets_the_least_blame():
    """Guards against tasks that are blamed for a crash that preceded their start."""
    worker = worker_with(run(0, 20, is_confirmed=False))
    worker.last_contact_ms = CRASH_MS - 9_000
    worker.announced_ms = CRASH_MS - 1_500
    assert ends(worker)[0] == crashes.UNPROVED_AT_START
    worker.announced_ms = CRASH_MS - 3_000
    assert ends(worker)[0] == crashes.UNPROVED


def test_a_start_after_a_long_silence_gets_the_least_blame():
    """Guards against tasks that are blamed for a crash that preceded their start."""
    worker = worker_with(run(0, 20, is_confirmed=False), run(1, 4_000))
    worker.last_contact_ms = CRASH_MS - 900
    assert ends(worker)[0] == crashes.UNPROVED


def test_a_crash_under_a_fresh_suspect_is_not_counted_against_others():
    """Guards against long tasks that fail because others crashed their workers."""
    worker = worker_with(run(0, 20), run(1, 2_000), run(2, 40))
    found = crash_blame.ends_after_crash(worker, CRASH_MS, lambda key: key.index == 0)
    assert {key.index for key, _run in found} == {0}
    assert set(found.values()) == {crashes.CRASHED_AT_START}


def test_a_crash_under_a_fresh_suspect_counts_least_against_an_unconfirmed_run():
    """Guards against two tasks that crash workers, and one of them is never blamed."""
    worker = worker_with(run(0, 20), run(1, 2_000), run(2, 1_000, is_confirmed=False))
    worker.last_contact_ms = CRASH_MS - 1_600
    found = crash_blame.ends_after_crash(worker, CRASH_MS, lambda key: key.index != 1)
    assert {key.index: end for (key, _run), end in found.items()} == {
        0: crashes.CRASHED_AT_LONE_START,
        2: crashes.UNPROVED,
    }


def test_a_suspect_does_not_explain_a_crash_under_a_run_placed_after_its_isolation():
    """Guards against a culprit that is never blamed beside another task's retry."""
    worker = worker_with(run(0, 269), run(1, 5), run(2, 2_000), run(3, 100))
    found = crash_blame.ends_after_crash(worker, CRASH_MS, lambda key: key.index == 0)
    assert {key.index: end for (key, _run), end in found.items()} == {
        0: crashes.CRASHED_AT_START,
        1: crashes.CRASHED_AT_START,
    }


def test_a_suspect_without_an_answer_does_not_explain_a_crash_under_a_fresh_run():
    """Guards against a culprit that is excused by starts sent after its crash."""
    worker = worker_with(run(0, 60), run(1, 20, is_confirmed=False), run(2, 30_000))
    found = crash_blame.ends_after_crash(worker, CRASH_MS, lambda key: key.index == 1)
    assert {key.index: end for (key, _run), end in found.items()} == {
        0: crashes.CRASHED_AT_START,
        1: crashes.UNPROVED_AT_START,
    }


def test_a_run_started_by_a_previous_leader_is_not_fresh():
    """Guards against a running task that is blamed as if it had just started."""
    found = run(0, 20, is_confirmed=False)
    found.order = None
    assert ends(worker_with(found))[0] == crashes.UNPROVED
    found.is_confirmed = True
    assert ends(worker_with(found))[0] == crashes.WORKER_CRASHED


def test_runs_that_were_not_on_the_worker_are_not_blamed():
    worker = worker_with(run(0, 20, sends=0), run(1, 900, state=workers.CLOSED))
    assert ends(worker) == {}


def test_a_worker_takes_nothing_beside_a_suspect_whose_start_may_still_arrive():
    """Guards against suspects that meet, as the start of one is held up."""
    suspect = run(0, 2_000, is_confirmed=False)
    worker = worker_with(suspect)
    worker.has_seen_epoch, worker.failures = True, 0
    worker.record_heartbeat(clock_ms=-1, received_ms=CRASH_MS)
    assert worker.is_usable(CRASH_MS)
    worker.isolated_run = suspect
    assert not worker.is_usable(CRASH_MS)
    suspect.is_confirmed = True
    assert worker.is_usable(CRASH_MS)
    suspect.is_confirmed, suspect.state = False, workers.CLOSED
    assert worker.is_usable(CRASH_MS)
    suspect.state = workers.CLOSING
    assert not worker.is_usable(CRASH_MS)
    worker.remove(suspect)
    assert worker.is_usable(CRASH_MS)


def test_a_suspect_avoids_workers_where_a_start_may_still_arrive():
    """Guards against a suspect that meets a run whose start is held up."""
    has_fresh_run = lambda *runs: crash_blame.has_fresh_run(
        worker_with(*runs), CRASH_MS
    )
    assert has_fresh_run(run(0, 20))
    assert has_fresh_run(run(0, 2_000, is_confirmed=False))
    assert not has_fresh_run(run(0, 2_000))
    closed = run(0, 2_000, is_confirmed=False, state=workers.CLOSED)
    assert not has_fresh_run(closed)


def test_a_worker_that_announced_its_end_has_not_crashed():
    """Guards against jobs that fail during a rolling replacement of the workers."""
    draining = worker_with(run(0, 20))
    draining.record = draining.record._replace(state="draining")
    leaving = worker_with(run(0, 20))
    leaving.is_leaving = True
    assert ends(draining) == ends(leaving) == {}


def test_one_crash_never_fails_a_task_and_five_always_do():
    worst, least = max(crashes.BLAME.values()), min(crashes.BLAME.values())
    assert not crash_blame.reaches_blame_limit(worst)
    assert crash_blame.reaches_blame_limit(2 * worst)
    assert crash_blame.reaches_blame_limit(5 * least)
    for kind, blame in crashes.BLAME.items():
        assert not crash_blame.fails(blame, [kind])
        is_counted = kind != crashes.UNPROVED_WITH_OTHERS
        assert crash_blame.fails(5 * blame, 5 * [kind]) == is_counted


def test_fewer_than_two_proved_crashes_fail_no_task_before_the_fifth():
    """Guards against jobs that fail for starts that never reached their workers."""
    worst = crashes.CRASHED_AT_LONE_START
    unproved = [crashes.UNPROVED_AT_START, crashes.UNPROVED]
    for kinds in ([worst, *unproved], [worst, *unproved, unproved[0]], 2 * unproved):
        blame = sum(crashes.BLAME[kind] for kind in kinds)
        assert crash_blame.reaches_blame_limit(blame)
        assert not crash_blame.fails(blame, kinds)


@pytest.mark.parametrize(
    "coincidence, expected",
    [
        (contact_losses.ALONE, {0: 3, 1: 2, 2: 3, 3: 2}),
        (contact_losses.UNCLEAR, {0: 2, 2: 2, 3: 2}),
        (contact_losses.SHARED, {2: 2, 3: 2}),
    ],
)
def test_a_crash_at_the_same_time_as_others_counts_least_or_not_at_all(
    coincidence, expected
):
    """Guards against jobs that fail since a rack or many workers crashed at once."""
    adopted = run(3, 30, is_confirmed=False)
    adopted.order = None
    worker = worker_with(
        run(0, 120), run(1, 2_000), run(2, 140, is_confirmed=False), adopted
    )
    found = crash_blame.ends_after_crash(
        worker, CRASH_MS, coincidence=lambda lost_run: coincidence
    )
    blame = {key.index: crashes.BLAME[end] for (key, _run), end in found.items()}
    assert blame == expected
