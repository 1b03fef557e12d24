"""Numbers that earlier versions accepted, in logs and snapshots."""

import pytest

from alderreach.core import cell_state, codec, ranges
from alderreach.core.generated import cell, common
from tools import virtual_cell, virtual_parts

EXTREMES = [-1, -(2**63), 2**63 - 1, 2**64 - 1]


def stored_job(number, job_id="j"):
    """A job of an earlier version in which each number is the same."""
    demand = common.Resources(number, number, number)
    step = cell.Step(2, demand, number, [], *cell_state.NO_STEP_OPTIONS)
    step = step._replace(
        max_per_target=number, tail_target_ms=number, max_unavailable=number
    )
    return cell.CellJob(
        job_id, stored_queue(number), "pool", "run", [step], 0, number, number
    )


def stored_queue(number):
    rule = cell.PermissionRule(number, float(number), number)
    queue = virtual_parts.queue("q", number, float(number), number, permission=rule)
    return queue._replace(max_attempts=number, timeout_ms=number)


def stored_change(number):
    """What the log of an earlier version may contain."""
    customer = virtual_parts.customer("c", number, number, number)
    config = cell.CellConfig(3, [stored_queue(number)], [], b"{}", [customer])
    return cell_state.empty_change()._replace(
        configs=[config],
        targets=[virtual_parts.worker(1, number, number)],
        accepted=[cell.JobAccepted(stored_job(number), 1000)],
    )


@pytest.mark.parametrize("number", EXTREMES)
def test_numbers_of_an_earlier_versions_log_are_brought_into_range(number):
    """Guards against sums of stored numbers that no message can hold."""
    state = cell_state.CellState()
    batch = cell.CellBatch(1000, [stored_change(number)])
    cell_state.apply_batch(state, codec.unpack(codec.pack(batch)).unwrap())
    again = cell_state.CellState()
    for kind, data in cell_state.dump(state):
        cell_state.load_part(again, kind, data)
    for each in (state, again):
        job, worker = each.jobs["j"].record, each.targets["w1"]
        assert 0 <= min(worker.capacity) <= max(worker.capacity) <= ranges.RESOURCE_MAX
        demand = job.steps[0].demand
        assert 0 <= min(demand) <= max(demand) <= ranges.RESOURCE_MAX
        assert 0 <= job.first_due_ms <= ranges.INSTANT_MS_MAX
        assert 0 <= job.steps[0].estimated_ms <= ranges.DURATION_MS_MAX
        assert 0 <= each.config.queues[0].stretch <= ranges.STRETCH_MAX
        assert 0 <= max(each.config.customers[0].cap) <= ranges.CAP_MAX
    assert again.jobs["j"].record == state.jobs["j"].record


def test_a_leader_serves_beside_demands_of_an_earlier_version_that_add_up_to_nothing():
    """Guards against a stored job at which each new leader's process ends: the forecast
    divided by what the waiting steps need together.
    """
    workers = [virtual_parts.worker(each, 1000) for each in range(2)]
    made = virtual_cell.VirtualCell([virtual_parts.queue("ok")], workers)
    queue = virtual_parts.queue("ok")
    for name, cpu_millis in (("less", -500), ("more", 500)):
        steps = [
            virtual_parts.step(1, 900, 0, 12_000),
            virtual_parts.step(1, cpu_millis, 0, 12_000, [0]),
        ]
        job = cell.CellJob(name, queue, "pool", "run", steps, 0, 0, 0)
        made.restore(job, [virtual_parts.Work(step, [12_000]) for step in steps])
    made.lose_leader_at(100, 100)
    work = virtual_parts.Work(virtual_parts.step(2, 300), [300, 300])
    made.submit_at(8000, "ok", "new", [work])
    made.run_until(40_000)
    assert made.completed_ms("new") is not None
    assert made.term.leader.state.jobs["less"].state == cell_state.COMPLETED
