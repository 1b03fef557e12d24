"""Steps under a permission rule, while the workers that they may use come and go."""

import itertools

from alderreach.core.generated import cell
from alderreach.decisions.cell import waiting
from alderreach.ops.controller import permission_queries
from tools import virtual_cell, virtual_parts

RULE = cell.PermissionRule(600, 5, 1_500)
WORKERS = 60
GOOD_SHARE = 0.45
FIRST_WORK_MS = 5_000
# Each of eleven workers that one question finds holds three of these tasks.
TASKS = 60


def chain(**options):
    """A job of one task and then a wide step, on workers of which few are permitted."""
    records = [
        virtual_parts.worker(number, 64_000, 128_000) for number in range(WORKERS)
    ]
    sim = virtual_cell.VirtualCell(
        [virtual_parts.queue("q", permission=RULE)],
        records,
        good_shares={"q": GOOD_SHARE},
    )
    first = virtual_parts.step(1, 1_000, estimated_ms=FIRST_WORK_MS)
    wide = virtual_parts.step(TASKS, 16_900, 16_832, after=(0,), **options)
    works = [
        virtual_parts.Work(first, [FIRST_WORK_MS]),
        virtual_parts.Work(wide, [1_000] * TASKS),
    ]
    sim.submit_at(0, "q", "j1", works)
    return sim


def permitted_workers(sim, step):
    """Workers with a ticket for a step of the job."""
    group = ("j1", 0, step)
    return sim.leading.leader.permissions.permitted_ids(group, int(sim.loop.now_ms))


def test_a_gang_finds_room_after_some_of_its_permitted_workers_are_gone():
    """A gang stood still for ever beside idle workers. Two of the workers that it was
    permitted to use, asked for ahead of time, ended before it opened; the others had
    fresh tickets, but not room for it. Cause: finding nothing to renew paused the
    question about further workers too, in every pass, as tickets of workers that were
    gone counted as stale. Proved by the questions: the same workers, nobody else.
    """
    sim = chain(gang=True)
    sim.run_until(5_500)
    running = [w.target_id for w in sim.leading.leader.workers.values() if w.runs]
    sim.leave_at(5_501, [*running, *sorted(permitted_workers(sim, 1))[:2]])
    sim.run_until(11_000)
    assert sim.leading.leader.state.jobs["j1"].unfinished_by_group[(0, 1)] == TASKS
    sim.run_until(20_000)
    assert sim.leading.leader.state.jobs["j1"].state == "completed"


def test_a_step_whose_permitted_workers_drain_asks_about_others_at_once():
    """All workers that a step may use, asked for ahead of time, drain just before it
    opens. Idle ones that nobody asked about stand by. Their tickets, still fresh, used
    to count as enough, so the next question waited until they had run out.
    """
    sim = chain()
    sim.run_until(5_500)
    workers = sim.leading.leader.workers
    for target_id in permitted_workers(sim, 1):
        worker = workers[target_id]
        worker.record = worker.record._replace(state="draining")
    sim.run_until(5_900)
    assert sim.leading.leader.permissions.has_open_query(("j1", 0, 1))


def test_a_step_that_waits_for_long_says_what_for():
    """Both workers are full for half a minute; the lines grow rarer as it waits."""
    records = [virtual_parts.worker(number, 8_000) for number in range(2)]
    sim = virtual_cell.VirtualCell([virtual_parts.queue("q")], records)
    full = virtual_parts.Work(virtual_parts.step(2, 8_000), [30_000] * 2)
    sim.submit_at(0, "q", "j1", [full])
    sim.submit_at(100, "q", "j2", [virtual_parts.Work(virtual_parts.step(1, 1), [10])])
    sim.run_until(29_000)
    assert [report["cause"] for report in sim.waits] == [waiting.ROOM] * 4
    assert {report["task"] for report in sim.waits} == {"j2.0.0"}
    waited_ms = [report["waited_ms"] for report in sim.waits]
    assert all(2 * a <= b for a, b in itertools.pairwise(waited_ms))
    assert sim.waits[0]["with_room"] == 0


def test_in_a_large_cell_a_step_is_asked_about_until_somebody_may_run_it(monkeypatch):
    """Guards against a step for which only the workers denied already are considered.

    Pattern: more workers than one question considers, few of which may run the step.
    """
    monkeypatch.setattr(permission_queries, "MAX_CANDIDATE_WORKERS", 20)
    records = [virtual_parts.worker(n, 8_000) for n in range(300)]
    sim = virtual_cell.VirtualCell(
        [virtual_parts.queue("q", permission=cell.PermissionRule(20, 0.1, 2_000))],
        records,
        good_shares={"q": 0.02},
    )
    step = virtual_parts.step(6, 4_000, max_per_target=1)
    sim.submit_at(0, "q", "j1", [virtual_parts.Work(step, [3_000] * 6)])
    sim.run_until(20_000)
    assert sim.leading.leader.state.jobs["j1"].state == "completed"
