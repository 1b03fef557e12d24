"""Gangs that need almost all workers that the permission service lets them use."""

from alderreach.core.generated import cell
from tools import virtual_cell, virtual_parts

# A query about thirty workers takes about 1 s; tickets are valid for 2.5 s.
RULE = cell.PermissionRule(825, 7, 2_500)
WORKERS = 120
PERMITTED_SHARE = 0.33
TASKS = 30


def test_a_gang_that_needs_concurrent_tickets_of_several_queries_starts():
    """Guards against a gang that waits forever although all workers are idle and more
    of them are permitted than it has tasks. Its tickets come from several queries, so
    they expire at different times. Each batch was renewed separately once it had
    expired, and only one query was in flight at a time. The renewals followed each
    other forever, and one batch was always stale.
    """
    records = [virtual_parts.worker(number, 4_000) for number in range(WORKERS)]
    sim = virtual_cell.VirtualCell(
        [virtual_parts.queue("q", permission=RULE)],
        records,
        permitted_shares={"q": PERMITTED_SHARE},
    )
    gang = virtual_parts.step(TASKS, 3_000, gang=True)
    sim.submit_at(0, "q", "j1", [virtual_parts.Work(gang, [500] * TASKS)])
    sim.run_until(60_000)
    waits = [wait["permitted"] for wait in sim.waits]
    assert sim.term.leader.state.jobs["j1"].state == "completed", waits
