"""The order of waiting steps when urgent jobs arrive in a busy cell."""

import pytest

from alderreach.core import cell_state
from alderreach.core.generated import cell, common
from alderreach.decisions.cell import order


def queue(priority, stretch=1.5, target_latency_ms=250):
    return cell.QueueConfig(
        "q", "h", "/q/", "pool", priority, 2, stretch, target_latency_ms, 3000, None
    )


def job(name, *estimates_ms, accepted_ms=0):
    steps = [
        cell.Step(
            1,
            common.Resources(1, 1, 0),
            estimate_ms,
            [number - 1] if number else [],
            *cell_state.NO_STEP_OPTIONS,
        )
        for number, estimate_ms in enumerate(estimates_ms)
    ]
    record = cell.CellJob(name, queue(0), "pool", "", steps, 0, 0, 0)
    return cell_state.Job(record, accepted_ms)


def urgency(queue, job, step, due_ms, now_ms, **options):
    return order.urgency(order.rank(queue, job, step, due_ms, **options), now_ms)


def test_the_chain_is_summed_from_each_step_to_the_end():
    assert order.chain_ms(job("j", 100, 200, 300).record.steps) == [600, 500, 300]


def test_priority_outweighs_slack():
    plan, urgent = job("plan", 4000, 4000), job("urgent", 600, accepted_ms=5000)
    late = urgency(queue(2), plan, 0, plan.accepted_ms, 5000)
    fresh = urgency(queue(0), urgent, 0, urgent.accepted_ms, 5000)
    assert sorted([late, fresh]) == [fresh, late]


def test_within_a_priority_the_least_slack_goes_first():
    long_chain = urgency(queue(0), job("long", 900, 900), 0, 0, 100)
    short_chain = urgency(queue(0), job("short", 300), 0, 0, 100)
    assert sorted([long_chain, short_chain]) == [short_chain, long_chain]
    resumed = urgency(queue(0), job("long", 900, 900), 1, 0, 100)
    assert resumed > long_chain


def test_a_worthless_job_goes_last_of_its_priority():
    """Guards against jobs that are too late after an outage and delay the others."""
    hopeless = urgency(queue(0), job("old", 300), 0, 0, 60_000)
    fresh = urgency(queue(0), job("new", 300), 0, 59_000, 60_000)
    assert sorted([hopeless, fresh]) == [fresh, hopeless]


def test_of_one_priority_work_within_the_share_goes_first():
    """Guards against a flood that delays other customers' work of the same urgency,
    however much later that came, and against other work before urgent work.
    """
    flood = urgency(queue(0), job("flood", 300), 0, 0, 100, eligible_ms=101)
    urgent = urgency(queue(0), job("urgent", 300), 0, 99, 100, eligible_ms=100)
    plan = urgency(queue(2), job("plan", 300), 0, 0, 100, eligible_ms=100)
    plans = urgency(queue(2), job("plans", 300), 0, 0, 100, eligible_ms=101)
    assert sorted([plans, flood, plan, urgent]) == [urgent, flood, plan, plans]


def test_late_work_goes_after_work_in_time_and_the_shortest_first():
    """Pattern: long work among short after an overload.

    Guards against late steps that make those late which could still be in time.
    """
    now_ms = 1_500
    fresh = urgency(queue(0), job("fresh", 900), 0, 1_400, now_ms)
    late_long = urgency(queue(0), job("long", 800), 0, 0, now_ms)
    late_short = urgency(queue(0), job("short", 700), 0, 100, now_ms)
    assert sorted([late_long, late_short, fresh]) == [fresh, late_short, late_long]


def test_a_step_is_not_late_while_its_estimate_may_be_too_short():
    """Guards against jobs given up as late whose estimates are wrong by 0.9."""
    short, wrong = job("j", 100, 100), [190, 190]
    ranked = order.rank(queue(0), short, 1, 0)
    actual = order.rank(queue(0), short, 1, 0, durations_ms=wrong)
    assert actual.latest_start_ms == pytest.approx(ranked.late_from_ms)
    assert ranked.late_from_ms > ranked.latest_start_ms


def test_expected_durations_replace_the_estimates():
    steps = job("j", 100, 200).record.steps
    assert order.chain_ms(steps, [50, 400]) == [450, 400]
    assert order.objective_ms(queue(0), steps, [50, 400]) == 1.5 * 450 + 250


def ranked(name, eligible_ms=0, late_from_ms=9e9, worthless_from_ms=9e9):
    return order.Rank(
        0, worthless_from_ms, 0, name, eligible_ms, late_from_ms, late_from_ms
    )


def test_waiting_steps_move_when_their_classes_change():
    """Guards against steps that stay beyond the share, or in time, for ever."""
    waiting = order.UrgencyQueue()
    waiting.add("covered", ranked("a", eligible_ms=100), 0)
    waiting.add("plain", ranked("b"), 0)
    waiting.add("aging", ranked("0", late_from_ms=50, worthless_from_ms=150), 0)
    assert waiting.groups() == ["aging", "plain", "covered"]
    waiting.refresh(60)
    assert waiting.groups() == ["plain", "aging", "covered"]
    waiting.refresh(120)
    assert waiting.groups() == ["covered", "plain", "aging"]
    waiting.remove("covered")
    waiting.refresh(200)
    assert waiting.groups() == ["plain", "aging"]


def test_a_backlog_that_ages_at_once_is_moved_in_several_passes(monkeypatch):
    """Guards against a pass that moves thousands of steps before it starts any, and
    against a list of changes that grows whenever a step is queued again.
    """
    monkeypatch.setattr(order, "MAX_MOVES_PER_REFRESH", 10)
    waiting = order.UrgencyQueue()
    for _turn in range(3):
        for n in range(25):
            waiting.add(n, ranked(f"j{n:02}", late_from_ms=50), 0)
    assert len(waiting._aging) == 25
    moved = []
    for _turn in range(3):
        waiting.refresh(60)
        moved.append(sum(u.lateness == order.LATE for u, _group in waiting._rows))
    assert moved == [10, 20, 25]
