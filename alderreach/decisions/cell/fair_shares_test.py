"""The shares of customers: who is beyond its own, and from when on it is within it."""

import pytest

from alderreach.core import cell_state
from alderreach.core.generated import cell, common
from alderreach.decisions.cell import fair_shares

NO_CAP = common.Resources(0, 0, 0)


def config(**weights):
    customers = [
        cell.CustomerConfig(name, [name.encode()], 0, weight, NO_CAP)
        for name, weight in weights.items()
    ]
    return cell.CellConfig(1, [], [], b"{}", customers)


def shares_of(**weights):
    shares = fair_shares.Shares()
    shares.configure(config(**weights))
    return shares


def record(job_id, customer, priority=0):
    queue = cell.QueueConfig("q", "h", "/q/", "pool", priority, 2, 1.5, 250, 3000, None)
    return cell.CellJob(job_id, queue, "pool", "", [], 0, 0, 0, customer)


def send(shares, customer, per_s, began_ms, over_ms):
    """Send jobs at regular intervals; returns the ids of those beyond the share."""
    beyond = []
    for n in range(int((over_ms - began_ms) * per_s / 1000)):
        now_ms = began_ms + n * 1000 / per_s
        job_id = f"{customer}{now_ms}"
        shares.add_job(record(job_id, customer), now_ms)
        if shares.is_beyond(job_id, now_ms):
            beyond.append(job_id)
    return beyond


@pytest.mark.parametrize("weight", [0.2, 1, 7.7, 400])
def test_a_customer_that_sends_its_share_is_within_it(weight):
    """Guards against customers that are put last though they do as agreed."""
    assert send(shares_of(c=weight), "c", weight, 0, 120_000) == []


def test_a_burst_of_two_seconds_is_covered_by_the_credit():
    shares = shares_of(c=10)
    assert send(shares, "c", 20, 0, 2_000) == []


def test_two_jobs_in_a_row_of_a_small_customer_are_within_its_share():
    """Guards against a credit in seconds that holds less than one job."""
    assert send(shares_of(small=0.1), "small", 2, 0, 1_000) == []


def test_one_customer_floods():
    """Pattern: seven times the weight for 7 s, beside a customer that sends its share.

    By its end, as many of the jobs are within the share as weight and credit cover, and
    the last of the others is once the share covers all of them.
    """
    shares = shares_of(flood=10, calm=10)
    beyond = send(shares, "flood", 70, 0, 7_000)
    assert send(shares, "calm", 10, 0, 7_000) == []
    covered = 10 * (7 + fair_shares.CREDIT_MS / 1000)
    still = sum(shares.is_beyond(each, 7_000) for each in beyond)
    assert still == pytest.approx(490 - covered, abs=2)
    last_ms = max(map(shares.eligible_ms, beyond))
    assert last_ms == pytest.approx(490 / 10 * 1000 - fair_shares.CREDIT_MS, abs=200)
    assert shares.peek("flood", 10, 7_000) > last_ms
    assert not any(shares.is_beyond(each, last_ms) for each in beyond)


def test_a_weight_changed_under_load_applies_from_the_next_job_on():
    """Pattern: the weight of a flooding customer is doubled, then taken away."""
    shares = shares_of(c=1)
    beyond = send(shares, "c", 10, 0, 1_000)
    before = list(map(shares.eligible_ms, beyond))
    covered_ms = shares.peek("c", 1, 1_000)
    shares.configure(config(c=2))
    shares.add_job(record("next", "c"), 1_000)
    assert shares.eligible_ms("next") == covered_ms
    assert shares.peek("c", 2, 1_000) == covered_ms + 500
    assert list(map(shares.eligible_ms, beyond)) == before
    shares.configure(config())
    shares.add_job(record("free", "c"), 1_000)
    assert not shares.is_beyond("free", 1_000)


def test_a_flood_of_plans_leaves_the_share_to_the_same_customers_urgent_jobs():
    """Guards against urgent jobs that wait for their own customer's plans."""
    shares = shares_of(c=2)
    for n in range(100):
        shares.add_job(record(f"plan{n}", "c", priority=2), 100 * n)
        if n % 5 == 0:
            shares.add_job(record(f"urgent{n}", "c"), 100 * n)
            assert not shares.is_beyond(f"urgent{n}", 100 * n)
    assert shares.peek("c", 2, 10_000) == 120 * 500 - fair_shares.CREDIT_MS
    assert shares.peek("c", 2, 10_000, priority=0) <= 10_000


def test_work_without_customer_or_weight_is_always_within_the_share():
    shares = shares_of(unlimited=0)
    for customer in ("", "unlimited", "unknown"):
        assert send(shares, customer, 100, 0, 1_000) == []
    assert shares.use(9, 1_000) == {}


def test_a_new_leader_finds_the_same_shares():
    """Guards against a flood that is forgiven when the leader is lost."""
    shares, jobs = shares_of(flood=2, calm=3), []
    for n in range(60):
        made, now_ms = (
            record(f"j{n}", ("flood", "flood", "calm")[n % 3], n % 2),
            100 * n,
        )
        shares.add_job(made, now_ms)
        jobs.append(cell_state.Job(made, now_ms))
    again = fair_shares.rebuild(reversed(jobs), config(flood=2, calm=3))
    for n in range(60):
        assert again.eligible_ms(f"j{n}") == shares.eligible_ms(f"j{n}")
    assert again.peek("flood", 2, 6_000) == shares.peek("flood", 2, 6_000)


def test_each_flood_is_reported_once_when_it_begins_and_once_when_it_is_over():
    """Guards against a log line for each job, or for each moment within the share."""
    shares, told = shares_of(flood=10, calm=10), []
    for now_ms in range(0, 60_000, 300):
        per_s = 30 if now_ms < 6_000 else 9
        send(shares, "flood", per_s, now_ms, now_ms + 300)
        send(shares, "calm", 10, now_ms, now_ms + 300)
        told += shares.tidy(now_ms + 300)
        if now_ms == 5_700:
            use = shares.use(1, 6_000)
    assert [(each.customer, each.is_beyond) for each in told] == [
        ("flood", True),
        ("flood", False),
    ]
    assert list(use) == ["flood"] and use["flood"] > 1


def test_nothing_is_kept_of_jobs_and_customers_that_are_long_within_the_share():
    shares = shares_of(flood=10)
    send(shares, "flood", 70, 0, 7_000)
    shares.tidy(200_000)
    shares.tidy(300_000)
    assert not (shares._eligible_ms or shares._expiries or shares._accounts)
