"""Steps under a permission rule whose permitted workers join and leave."""

import itertools

from alderreach.core.generated import cell
from alderreach.decisions.cell import waiting
from alderreach.ops.controller import permission_queries
from tools import virtual_cell, virtual_parts

RULE = cell.PermissionRule(600, 5, 1_500)
WORKERS = 60
PERMITTED_SHARE = 0.45
FIRST_WORK_MS = 5_000
# One query permits about eleven workers, each of which fits three of these tasks.
TASKS = 60


def chain(**options):
    """Return a cell with a one-task step, then a wide step for which few workers are
    permitted.
    """
    records = [
        virtual_parts.worker(number, 64_000, 128_000) for number in range(WORKERS)
    ]
    sim = virtual_cell.VirtualCell(
        [virtual_parts.queue("q", permission=RULE)],
        records,
        permitted_shares={"q": PERMITTED_SHARE},
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
    """Return the workers with a ticket for a step of the job."""
    group = ("j1", 0, step)
    return sim.term.leader.permissions.permitted_ids(group, int(sim.loop.now_ms))


def test_a_gang_is_placed_after_some_of_its_permitted_workers_disappear():
    """Guards against a gang that waits forever although workers are idle. Two of its
    permitted workers, queried ahead of time, ended before the gang became ready; the
    others had fresh tickets, but not enough capacity. Tickets of workers that had
    disappeared counted as stale. There was nothing to renew for them, and this also
    suspended the query about further workers, in every pass. The queries named the same
    workers each time and no others.
    """
    sim = chain(gang=True)
    sim.run_until(5_500)
    running = [w.target_id for w in sim.term.leader.workers.values() if w.runs]
    sim.leave_at(5_501, [*running, *sorted(permitted_workers(sim, 1))[:2]])
    sim.run_until(11_000)
    assert sim.term.leader.state.jobs["j1"].unfinished_by_group[(0, 1)] == TASKS
    sim.run_until(20_000)
    assert sim.term.leader.state.jobs["j1"].state == "completed"


def test_a_step_whose_permitted_workers_drain_queries_others_at_once():
    """All permitted workers of a step, queried ahead of time, drain just before it
    becomes ready, while idle workers were never queried. If the fresh tickets of the
    draining workers counted as sufficient, the next query would wait until they expire.
    """
    sim = chain()
    sim.run_until(5_500)
    workers = sim.term.leader.workers
    for target_id in permitted_workers(sim, 1):
        worker = workers[target_id]
        worker.record = worker.record._replace(state="draining")
    sim.run_until(5_900)
    assert sim.term.leader.permissions.has_open_query(("j1", 0, 1))


def test_a_step_that_waits_long_reports_the_cause():
    """Both workers are full for 30 s; reports become rarer as the step waits."""
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


def test_in_a_large_cell_queries_continue_until_some_worker_may_run_the_step(
    monkeypatch,
):
    """Guards against a step for which only workers that were denied are considered.

    The cell has more workers than one query considers, and few may run the step.
    """
    monkeypatch.setattr(permission_queries, "MAX_CANDIDATE_WORKERS", 20)
    records = [virtual_parts.worker(n, 8_000) for n in range(300)]
    sim = virtual_cell.VirtualCell(
        [virtual_parts.queue("q", permission=cell.PermissionRule(20, 0.1, 2_000))],
        records,
        permitted_shares={"q": 0.02},
    )
    step = virtual_parts.step(6, 4_000, max_per_target=1)
    sim.submit_at(0, "q", "j1", [virtual_parts.Work(step, [3_000] * 6)])
    sim.run_until(20_000)
    assert sim.term.leader.state.jobs["j1"].state == "completed"


def test_a_step_that_suits_no_worker_runs_once_one_has_grown():
    """Guards against a step that waits for good beside an idle worker. It suited none
    as it came, since that one had little capacity for a while, and nobody asked for the
    permission to run there when it had more.
    """
    small = virtual_parts.worker(0, 1_000, 128_000)
    sim = virtual_cell.VirtualCell(
        [virtual_parts.queue("q", permission=RULE)],
        [small],
        permitted_shares={"q": 1.0},
    )
    step = virtual_parts.step(1, 4_000, estimated_ms=1_000)
    sim.submit_at(0, "q", "j1", [virtual_parts.Work(step, [1_000])])
    sim.run_until(5_000)
    sim.join_at(5_001, [virtual_parts.worker(0, 8_000, 128_000)])
    sim.run_until(10_000)
    assert sim.term.leader.state.jobs["j1"].state == "completed"
