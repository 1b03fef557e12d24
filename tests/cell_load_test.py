"""A cell's decisions under load, in virtual time and without a network."""

from alderreach.core.generated import cell
from alderreach.ops.controller import permission_queries
from tools import virtual_cell, virtual_parts

RULE = cell.PermissionRule(20, 0.2, 2_000)


def plan_and_urgent(plan_tasks=8, **options):
    """Return a cell of two workers with ten-second plan tasks, and an urgent queue."""
    queues = [
        virtual_parts.queue("urgent", 0, 1.5, 700),
        virtual_parts.queue("plan", 2, 2.2, 8_000),
    ]
    records = [virtual_parts.worker(number, 8_000) for number in (1, 2)]
    sim = virtual_cell.VirtualCell(queues, records)
    step = virtual_parts.step(plan_tasks, 2_000, estimated_ms=10_000, **options)
    works = [virtual_parts.Work(step, [10_000] * plan_tasks)]
    sim.submit_at(0, "plan", "p1", works)
    return sim


def urgent(tasks=4, work_ms=500, **options):
    step = virtual_parts.step(tasks, 1_000, estimated_ms=work_ms, **options)
    return [virtual_parts.Work(step, [work_ms] * tasks)]


def test_urgent_work_preempts_plans_that_save_their_progress():
    """All workers are full of tasks that run for ten seconds when an urgent job with an
    objective of 1.5 s arrives. Without preemption it would finish after ten seconds.
    The plan pays for a stop and a restore, and still finishes within its own objective.
    """
    sim = plan_and_urgent(checkpointing=True)
    sim.submit_at(2_000, "urgent", "u1", urgent())
    sim.run_until(30_000)
    outcomes = sim.outcomes()
    assert outcomes["urgent"].on_time == 1
    assert outcomes["plan"].on_time == 1
    assert 1 <= sim.stops <= 2


def test_free_capacity_that_a_step_may_not_use_does_not_prevent_preemption():
    """An urgent step may have one task on each of two workers. One worker runs its
    first task and has free capacity; the other is full of plan tasks. If the capacity
    beside the first task counted as available for the second, nothing would be
    preempted until the first had ended.
    """
    sim = plan_and_urgent(plan_tasks=7, checkpointing=True)
    works = urgent(tasks=2, work_ms=2_000, max_per_target=1)
    sim.submit_at(2_000, "urgent", "u1", works)
    sim.run_until(30_000)
    assert sim.outcomes()["urgent"].on_time == 1
    assert sim.stops == 1


def test_work_without_checkpoints_is_not_preempted():
    sim = plan_and_urgent()
    sim.submit_at(2_000, "urgent", "u1", urgent())
    sim.run_until(30_000)
    assert sim.stops == 0
    assert sim.outcomes()["plan"].on_time == 1


def test_a_stream_of_urgent_work_does_not_preempt_the_same_tasks_forever():
    """Urgent jobs keep arriving for a minute. Each of the plan's tasks is preempted a
    few times and then runs to its end.
    """
    sim = plan_and_urgent(checkpointing=True)
    for number in range(60):
        sim.submit_at(2_000 + 1_000 * number, "urgent", f"u{number}", urgent(8))
    sim.run_until(120_000)
    assert sim.stops <= 8 * 2
    assert sim.outcomes()["plan"].never == 0


def test_steps_that_wait_for_capacity_do_not_sort_the_workers_in_each_pass(monkeypatch):
    """Forty steps with fresh tickets wait for capacity on full workers. If each pass
    sorted all workers for each of them, only to find that there is nothing to query,
    this would take most of a busy leader's time.
    """
    sorts = []
    suitable = permission_queries.PermissionQueries._suitable

    def counting_suitable(self, job, group, now_ms):
        sorts.append(group)
        return suitable(self, job, group, now_ms)

    monkeypatch.setattr(
        permission_queries.PermissionQueries, "_suitable", counting_suitable
    )
    queues = [virtual_parts.queue("q", permission=RULE._replace(valid_ms=60_000))]
    sim = virtual_cell.VirtualCell(queues, [virtual_parts.worker(1, 1_000)])
    for number in range(40):
        work = virtual_parts.Work(virtual_parts.step(1, 1_000), [400])
        sim.submit_at(10 * number, "q", f"j{number}", [work])
    sim.run_until(3_000)
    assert sim.queries == 40
    passes_of_100_ms = 30
    assert len(sorts) <= 40 * passes_of_100_ms
    before = len(sorts)
    sim.term.planner.plan(3_000)
    assert len(sorts) == before


def test_a_query_that_permits_no_worker_is_not_repeated():
    """The permission service lets a step run nowhere, and is queried only once."""
    queues = [virtual_parts.queue("q", permission=RULE)]
    records = [virtual_parts.worker(number, 8_000) for number in range(5)]
    sim = virtual_cell.VirtualCell(queues, records, permitted_shares={"q": 0.0})
    work = virtual_parts.Work(virtual_parts.step(3, 1_000), [400] * 3)
    sim.submit_at(0, "q", "j1", [work])
    sim.run_until(10_000)
    assert sim.queries == 1
    assert sim.starts == 0
