"""The order and the times in which refused jobs come back."""

from alderreach.decisions.cell import load_forecast, retry_places

FLOOD = load_forecast.ClassKey(0, True)


def job(number=0, share_ms=100.0):
    name = ("a", f"j{number}")
    return load_forecast.Job(name, "pool", FLOOD, 2000, 1000, share_ms)


def test_refused_jobs_return_spread_and_in_the_order_of_their_refusal():
    """Two hundred jobs of 0.1 s of the pool each are refused within two seconds."""
    places, returns = retry_places.Places(), []
    for number in range(200):
        now_ms, offered = 10 * number, job(number)
        base = load_forecast.Delay(6000, 6000)
        delay = places.delay_with_places(offered, base, now_ms)
        wait_ms = places.refuse(offered, delay.expected_ms, now_ms)
        assert 1000 <= wait_ms <= 30_000
        assert wait_ms % 1000 == 0
        assert wait_ms >= delay.expected_ms
        returns.append(now_ms + wait_ms)
    assert returns == sorted(returns)
    most_in_a_second = max(
        sum(start <= time_ms < start + 1000 for time_ms in returns) for start in returns
    )
    assert most_in_a_second <= 100
    assert returns[-1] - returns[0] >= 5000


def test_a_job_that_comes_back_goes_before_those_refused_after_it():
    """Guards against a second refusal in favour of jobs that came later."""
    places = retry_places.Places()
    for number in range(50):
        places.refuse(job(number), 5000, 0)
    base = load_forecast.Delay(4900, 4900)
    first = places.delay_with_places(job(0), base, 5000)
    new = places.delay_with_places(job(99), base, 5000)
    assert first == base
    assert new.expected_ms >= base.expected_ms + 50 * 100 / 2


def test_a_job_that_is_refused_again_keeps_its_place():
    places = retry_places.Places()
    for number in range(10):
        places.refuse(job(number), 5000, 0)
    assert places.refuse(job(0), 2000, 1000) == 4000
    again_ms = places.refuse(job(0), 2000, 6000)
    assert again_ms == 2000
    assert places.refuse(job(11), 2000, 6000) >= again_ms


def test_places_that_are_not_used_lapse_and_count_less():
    """Guards against room that is kept for callers who have given up."""
    places = retry_places.Places()
    for number in range(1500):
        places.refuse(job(number, share_ms=10), 5000, 0)
    base = load_forecast.Delay(6000, 6000)
    before = places.delay_with_places(job(9999), base, 0).expected_ms
    assert before > base.expected_ms
    places.expire(5000 + retry_places.PLACE_GRACE_MS)
    assert job(1400).name in places
    assert job(1).name not in places
    places.expire(5001 + retry_places.PLACE_GRACE_MS)
    assert job(1400).name not in places
    for number in range(1500):
        places.refuse(job(number, share_ms=10), 5000, 20_000)
    after = places.delay_with_places(job(9999), base, 20_000).expected_ms
    assert after - base.expected_ms <= (before - base.expected_ms) / 50
