"""The limit follows run times, in both directions, and stays within its bounds."""

from alderreach.decisions import concurrency

MOST = 48
REAL_SLOTS = 8
RUN_MS = 5


def play(limit, rounds, run_ms, start_ms=0):
    """Keep the limit full; ``run_ms(in_flight)`` says how long requests take then."""
    now_ms = start_ms
    for _ in range(rounds * 20):
        now_ms += concurrency.ROUND_MS / 20
        limit.observe(run_ms(limit.value), limit.value, now_ms)
    return now_ms


def crowded(in_flight):
    """Runners that declared 48 slots, but get slower beyond 8."""
    return RUN_MS * max(1, in_flight / REAL_SLOTS)


def made():
    limit = concurrency.Limit()
    limit.set_bounds(2, MOST)
    return limit


def test_full_speed_keeps_the_declared_slots():
    limit = made()
    play(limit, 50, lambda in_flight: RUN_MS)
    assert limit.value == MOST


def test_runners_that_crowd_get_less_at_once():
    """Run times double when more than eight requests are under way, and so on.

    The best time is known from a quiet spell. Left at 48 each request would take six
    times as long, for the same number of answers a second.
    """
    limit = made()
    now_ms = play(limit, 5, lambda in_flight: RUN_MS)
    play(limit, 100, crowded, now_ms)
    assert crowded(limit.value) <= 1.5 * concurrency.TOLERANCE * RUN_MS


def test_limit_grows_back_when_the_crowding_ends():
    limit = made()
    now_ms = play(limit, 5, lambda in_flight: RUN_MS)
    now_ms = play(limit, 100, crowded, now_ms)
    play(limit, 100, lambda in_flight: RUN_MS, now_ms)
    assert limit.value == MOST


def test_service_that_became_slower_for_good_is_not_held_down():
    """The best time of long ago is forgotten after ``BASE_WINDOWS`` rounds."""
    limit = made()
    now_ms = play(limit, 5, lambda in_flight: RUN_MS)
    now_ms = play(limit, 20, lambda in_flight: 10 * RUN_MS, now_ms)
    assert limit.value < MOST / 2
    play(limit, concurrency.BASE_WINDOWS + 100, lambda in_flight: 10 * RUN_MS, now_ms)
    assert limit.value == MOST


def test_bounds_follow_the_runners():
    limit = made()
    limit.set_bounds(2, 10)
    assert limit.value == 10
    limit.set_bounds(2, 20)
    assert limit.value == 20
