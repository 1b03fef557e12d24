"""The limit adapts to run times in both directions and stays within its bounds."""

from alderreach.decisions import concurrency

DECLARED_SLOTS = 48
REAL_SLOTS = 8
RUN_MS = 5


def run_rounds(limit, rounds, run_ms, start_ms=0):
    """Observe answers at the full limit; requests take ``run_ms(in_flight)``."""
    now_ms = start_ms
    for _ in range(rounds * 20):
        now_ms += concurrency.ROUND_MS / 20
        limit.observe(run_ms(limit.value), limit.value, now_ms)
    return now_ms


def contended_run_ms(in_flight):
    """Run time on runners that declare 48 slots but slow down beyond 8."""
    return RUN_MS * max(1, in_flight / REAL_SLOTS)


def make_limit():
    limit = concurrency.Limit()
    limit.set_bounds(2, DECLARED_SLOTS)
    return limit


def test_limit_stays_at_the_declared_slots_without_contention():
    limit = make_limit()
    run_rounds(limit, 50, lambda in_flight: RUN_MS)
    assert limit.value == DECLARED_SLOTS


def test_limit_shrinks_under_contention():
    """Run times grow in proportion once more than eight requests are in flight.

    The best time is known from a period of low load. With the limit left at 48, each
    request would take six times as long, at the same rate of answers.
    """
    limit = make_limit()
    now_ms = run_rounds(limit, 5, lambda in_flight: RUN_MS)
    run_rounds(limit, 100, contended_run_ms, now_ms)
    assert contended_run_ms(limit.value) <= 1.5 * concurrency.TOLERANCE * RUN_MS


def test_limit_recovers_when_contention_ends():
    limit = make_limit()
    now_ms = run_rounds(limit, 5, lambda in_flight: RUN_MS)
    now_ms = run_rounds(limit, 100, contended_run_ms, now_ms)
    run_rounds(limit, 100, lambda in_flight: RUN_MS, now_ms)
    assert limit.value == DECLARED_SLOTS


def test_limit_recovers_for_a_service_that_stays_slower():
    """An old best time is forgotten after ``BASELINE_ROUNDS`` rounds."""
    limit = make_limit()
    now_ms = run_rounds(limit, 5, lambda in_flight: RUN_MS)
    now_ms = run_rounds(limit, 20, lambda in_flight: 10 * RUN_MS, now_ms)
    assert limit.value < DECLARED_SLOTS / 2
    run_rounds(
        limit, concurrency.BASELINE_ROUNDS + 100, lambda in_flight: 10 * RUN_MS, now_ms
    )
    assert limit.value == DECLARED_SLOTS


def test_limit_follows_its_bounds():
    limit = make_limit()
    limit.set_bounds(2, 10)
    assert limit.value == 10
    limit.set_bounds(2, 20)
    assert limit.value == 20
