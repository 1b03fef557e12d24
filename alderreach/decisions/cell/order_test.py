"""The order of waiting steps when urgent jobs arrive in a busy cell."""

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


def urgency(queue, job, step, due_ms, now_ms):
    return order.urgency(order.rank(queue, job, step, due_ms), now_ms)


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
