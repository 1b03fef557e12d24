"""An entry's decisions under load in virtual time, and the results for callers.

Unless a test changes it, the cell has one failure domain with 2 entries and 6 runners
of 8 slots, and requests take 20 ms.
"""

import pytest

from alderreach.decisions import outliers, retries
from tools import virtual_load

WORK_MS = 20.0
DEADLINE_MS = 1000.0
CAPACITY_PER_S = 48 / ((WORK_MS + 2 * virtual_load.HOP_MS) / 1000)


def cell(**changes):
    return virtual_load.Cell(virtual_load.make_service(), **changes)


def make_calls(team="a", work_ms=WORK_MS, deadline_ms=DEADLINE_MS, urgent_share=0.0):
    def make(rng):
        priority = 8 if rng.random() < urgent_share else 5
        run_ms = rng.expovariate(1 / work_ms)
        return virtual_load.Call(team, run_ms, deadline_ms, priority)

    return make


def add_steady_load(running, load, start_ms=0, end_ms=2000, make=None):
    running.arrivals(load * CAPACITY_PER_S, make or make_calls(), start_ms, end_ms)


def sent_between(running, start_ms, end_ms):
    return [result for result in running.results if start_ms <= result.sent_ms < end_ms]


def goodput(results, span_ms):
    return sum(each.is_good for each in results) / (span_ms / 1000) / CAPACITY_PER_S


def share(results, condition):
    return sum(map(condition, results)) / max(1, len(results))


@pytest.fixture(scope="module")
def saturated():
    """Twice the capacity from 0 to 2 s, then half of it until 3 s."""
    running = cell()
    add_steady_load(running, 2.0, make=make_calls(urgent_share=0.2))
    add_steady_load(running, 0.5, 2000, 3000, make=make_calls(urgent_share=0.2))
    return running.run(4000)


def test_goodput_holds_at_twice_the_capacity(saturated):
    assert goodput(sent_between(saturated, 500, 2000), 1500) > 0.9


def test_latency_of_urgent_work_stays_low_at_twice_the_capacity(saturated):
    urgent = lambda results: [
        g.took_ms for g in results if g.call.priority == 8 and g.is_good
    ]
    busy = virtual_load.quantile(urgent(sent_between(saturated, 500, 2000)), 0.99)
    quiet = virtual_load.quantile(urgent(sent_between(saturated, 2300, 3000)), 0.99)
    assert busy < 2 * quiet


def test_routine_work_keeps_its_minimum_share_under_urgent_load():
    """Urgent requests alone need three times the capacity, for two seconds.

    With strict priority the routine requests of the same team would get no capacity.
    """
    running = cell()
    add_steady_load(running, 3.0, make=make_calls("a", urgent_share=1.0))
    add_steady_load(running, 0.5, make=make_calls("a"))
    results = sent_between(running.run(3000), 500, 2000)
    routine = [each for each in results if each.call.priority == 5]
    assert goodput(routine, 1500) > 0.15


def test_no_stale_requests_remain_after_saturation(saturated):
    """The load drops to half the capacity after two seconds at twice the capacity.

    With an unbounded queue, callers would keep getting late responses for another two
    seconds.
    """
    assert (
        share(sent_between(saturated, 2100, 3000), lambda result: result.is_good) > 0.99
    )


def test_refusals_come_at_once_with_a_retry_time(saturated):
    refused = [g for g in sent_between(saturated, 0, 2000) if g.outcome == "not-run"]
    assert len(refused) > 1000
    assert share(refused, lambda result: result.took_ms <= 10) > 0.9
    assert all(200 <= result.retry_after_ms <= 3000 for result in refused)


def test_no_request_runs_long_after_its_deadline(saturated):
    late = [g for g in saturated.results if g.outcome == "ran" and not g.is_good]
    assert share(late, lambda result: result.took_ms > 3 * DEADLINE_MS) == 0
    assert len(late) < 0.01 * len(saturated.results)


def test_ten_times_the_load_costs_no_goodput():
    running = cell()
    add_steady_load(running, 10.0, end_ms=1000)
    assert goodput(sent_between(running.run(2000), 300, 1000), 700) > 0.9


def test_a_burst_is_answered_as_far_as_its_deadline_allows():
    """Two hundred requests arrive at once: more than the slots and queues hold.

    The requests that fit are answered in time; the others are refused at once as not
    run.
    """
    running = cell()
    running.burst(200, make_calls(), 10)
    running.run(1000)
    answered = [result for result in running.results if result.outcome == "ran"]
    refused = [result for result in running.results if result.outcome == "not-run"]
    assert len(answered) >= 48 + 2 * 64
    assert all(result.is_good for result in answered)
    assert all(result.took_ms < 1 for result in refused)


def test_heavy_callers_do_not_starve_the_others():
    """Team a needs five times the capacity, three other teams a fifth of it each."""
    running = cell()
    add_steady_load(running, 5.0, make=make_calls("a"))
    for team in "bcd":
        add_steady_load(running, 0.2, make=make_calls(team))
    results = sent_between(running.run(3000), 500, 2000)
    for team in "bcd":
        own = [each for each in results if each.call.team == team]
        assert share(own, lambda each: each.is_good) > 0.95


def test_marking_everything_urgent_gains_no_more_than_the_fair_share():
    """Team a needs five times the capacity and marks all its requests urgent."""
    running = cell()
    add_steady_load(running, 5.0, end_ms=1500, make=make_calls("a", urgent_share=1.0))
    add_steady_load(running, 0.4, end_ms=1500, make=make_calls("b"))
    results = sent_between(running.run(2500), 500, 1500)
    own = [each for each in results if each.call.team == "b"]
    assert share(own, lambda each: each.is_good) > 0.9


def test_long_requests_do_not_displace_short_requests():
    """One team's requests occupy a slot twenty times as long as the other team's.

    Fair shares by number of requests would give that team twenty times the slot time.
    """
    running = cell()
    add_steady_load(running, 0.45, make=make_calls("short"))
    running.arrivals(CAPACITY_PER_S / 20, make_calls("long", 400.0, 4000.0), 0, 2000)
    results = sent_between(running.run(6000), 500, 2000)
    short = [each for each in results if each.call.team == "short"]
    assert share(short, lambda each: each.is_good) > 0.95


def test_slow_runner_loses_its_share_gradually_and_regains_it():
    """One of six runners takes ten times as long for three seconds.

    Its share must decrease in steps, the latency of requests must soon be normal
    again, and it must regain its share once it has recovered.
    """
    running = cell()
    add_steady_load(running, 0.6, end_ms=12_000)
    slow = running.runners[0]
    running.loop.at(500, lambda: setattr(slow, "mode", "slow"))
    running.run(2500)
    served = slow.served
    running.run(3500)
    others = sum(each.served for each in running.runners[1:]) / 5
    assert slow.served - served < 0.2 * others / 3.5
    slow.mode = "ok"
    running.run(10_000)
    before = [each.served for each in running.runners]
    running.run(12_000)
    newly_served = [e.served - b for e, b in zip(running.runners, before, strict=True)]
    assert newly_served[0] > 0.5 * sum(newly_served[1:]) / 5


def test_runner_that_fails_at_once_does_not_attract_the_load():
    """One of six runners answers 500 after 0.1 ms.

    It is never busy, so a rule that prefers idle runners would send it nearly all
    requests.
    """
    running = cell()
    running.runners[0].mode = "error"
    add_steady_load(running, 0.6, end_ms=4000)
    results = sent_between(running.run(5000), 1500, 4000)
    assert share(results, lambda each: each.status == 500) < 0.02


def test_half_of_the_runners_disappear_at_once():
    """Half of the runners stop accepting connections at 90 % of the capacity.

    An attempt on one of them certainly did not run, so it may be retried elsewhere. The
    remaining runners answer what they have capacity for; other requests are refused.
    """
    running = cell()
    add_steady_load(running, 0.9, end_ms=4000)

    def stop_runners():
        for runner in running.runners[:3]:
            runner.mode = "gone"

    running.loop.at(1000, stop_runners)
    running.run(5000)
    after = sent_between(running, 1100, 4000)
    assert goodput(after, 2900) > 0.42
    assert all(result.outcome in ("ran", "not-run") for result in after)
    assert share(after, lambda result: result.attempts) < 1.3


def test_excess_load_of_one_domain_spills_over():
    """The callers of one domain exceed its capacity while the other domain is idle."""
    running = cell(domains=2)
    running.arrivals(1.6 * CAPACITY_PER_S, make_calls(), 0, 2000, running.entries[:2])
    results = sent_between(running.run(3000), 500, 2000)
    assert goodput(results, 1500) > 1.4


def test_work_stays_in_its_own_domain_while_that_has_capacity():
    running = cell(domains=2)
    running.arrivals(0.5 * CAPACITY_PER_S, make_calls(), 0, 1000, running.entries[:2])
    running.run(2000)
    foreign = [r for r in running.runners if r.view.failure_domain == "domain-1"]
    assert sum(each.served for each in foreign) < 0.01 * len(running.results)


def test_entries_within_their_share_rarely_call_a_full_runner():
    running = cell()
    add_steady_load(running, 0.5)
    running.run(3000)
    assert sum(each.full_hits for each in running.runners) < 0.01 * len(running.results)


def test_service_that_was_slow_is_tried_again_when_idle():
    """The entry learned a run time longer than every deadline while a service was slow.

    If it refused all requests because of that, it would never learn a new run time.
    """
    running = cell(entries=1)
    running.entries[0].policy._run_times.observe("a", 10_000)
    running.burst(1, make_calls(), 5)
    assert running.run(1000).results[0].outcome == "ran"


def test_retries_are_a_share_of_requests_and_never_join_a_queue():
    budget = retries.Budget()
    spent = 0
    while budget.try_spend(2, False, False):
        spent += 1
    assert spent == retries.BURST
    for _ in range(100):
        budget.earn()
    assert budget.try_spend(2, False, False)
    assert not budget.try_spend(2, False, others_wait=True)
    assert not budget.try_spend(retries.MAX_ATTEMPTS + 1, True, False)


def test_no_more_than_the_maximum_fraction_is_ejected():
    outlier_detector = outliers.Outliers()
    targets = [f"r{number}" for number in range(9)]
    outlier_detector.set_targets(targets)
    for _ in range(50):
        for number, target in enumerate(targets):
            outlier_detector.observe(target, 5, is_error=number < 4)
    changes = outlier_detector.tick(0)
    assert len(changes) == int(outliers.MAX_EJECTED_FRACTION * 9)
