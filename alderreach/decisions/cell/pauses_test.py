"""The share of a leader's time that repeated work takes during a flood."""

from alderreach.decisions.cell import pauses


def test_work_that_takes_longer_with_each_waiting_step_takes_a_fifth_of_the_time():
    """Guards against a leader whose searches leave no time for its polls, so that the
    leases of its workers expire.
    """
    now_ms, busy_ms, from_ms = 0, 0, 0
    while now_ms < 60_000:
        if now_ms >= from_ms:
            took_ms = 1 + now_ms // 1000
            busy_ms += took_ms
            from_ms = pauses.after_work(now_ms, now_ms + took_ms)
            now_ms += took_ms
        now_ms += 1
    assert busy_ms <= 0.2 * from_ms


def test_work_that_takes_no_time_is_not_held_up():
    """Guards against pauses in a calm cell, where they only delay urgent steps."""
    assert pauses.after_work(100, 100) == 100
