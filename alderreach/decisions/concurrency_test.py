"""The limit follows run times, in both directions, and stays within its bounds."""

from alderreach.decisions import concurrency

DECLARED_SLOTS = 48
REAL_SLOTS = 8
RUN_MS = 5


def run_rounds(limit, rounds, run_ms, start_ms=0):
    """Keep the limit full; ``run_ms(in_flight)`` says how long requests take then."""
    now_ms = start_ms
    for _ in range(rounds * 20):
        now_ms += concurrency.ROUND_MS / 20
        limit.observe(run_ms(limit.value), limit.value, now_ms)
    return now_ms


def contended_run_ms(in_flight):
    """Runners that declared 48 slots, but get slower beyond 8."""
    return RUN_MS * max(1, in_flight / REAL_SLOTS)


def make_limit():
    limit = concurrency.Limit()
    limit.set_bounds(2, DECLARED_SLOTS)
    return limit


def test_full_speed_keeps_the_declared_slots():
    limit = make_limit()
    run_rounds(limit, 50, lambda in_flight: RUN_MS)
    assert limit.value == DECLARED_SLOTS


def test_runners_that_crowd_get_less_at_once():
    """Run times double when more than eight requests are under way, and so on.

    The best time is known from a quiet spell. Left at 48 each request would take six
    times as long, for the same number of answers a second.
    """
    limit = make_limit()
    now_ms = run_rounds(limit, 5, lambda in_flight: RUN_MS)
    run_rounds(limit, 100, contended_run_ms, now_ms)
    assert contended_run_ms(limit.value) <= 1.5 * concurrency.TOLERANCE * RUN_MS


def test_limit_grows_back_when_the_crowding_ends():
    limit = make_limit()
    now_ms = run_rounds(limit, 5, lambda in_flight: RUN_MS)
    now_ms = run_rounds(limit, 100, contended_run_ms, now_ms)
    run_rounds(limit, 100, lambda in_flight: RUN_MS, now_ms)
    assert limit.value == DECLARED_SLOTS


def test_service_that_became_slower_for_good_is_not_held_down():
    """The best time of long ago is forgotten after ``BASE_WINDOWS`` rounds."""
    limit = make_limit()
    now_ms = run_rounds(limit, 5, lambda in_flight: RUN_MS)
    now_ms = run_rounds(limit, 20, lambda in_flight: 10 * RUN_MS, now_ms)
    assert limit.value < DECLARED_SLOTS / 2
    run_rounds(
        limit, concurrency.BASELINE_ROUNDS + 100, lambda in_flight: 10 * RUN_MS, now_ms
    )
    assert limit.value == DECLARED_SLOTS


def test_bounds_follow_the_runners():
    limit = make_limit()
    limit.set_bounds(2, 10)
    assert limit.value == 10
    limit.set_bounds(2, 20)
    assert limit.value == 20
