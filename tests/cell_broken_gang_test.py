"""Gangs that lose a member while the others end."""

from alderreach.core import cell_state
from tools import virtual_cell

WORK_MS = 1_000


def test_a_gang_that_lost_a_member_just_before_its_end_runs_again():
    """A gang stands still for ever beside idle workers, and the log says it lacks room.
    A worker goes with one member just before the gang is done. The other member's stop
    comes too late: it is listed as done, and counts as done although the lost one waits
    again. A gang is placed only if all its tasks wait, so it never is.
    """
    records = [virtual_cell.worker(number, 4_000) for number in range(4)]
    made = virtual_cell.VirtualCell([virtual_cell.queue("q")], records)
    gang = virtual_cell.step(2, 3_000, estimated_ms=WORK_MS, gang=True)
    made.submit_at(0, "q", "j1", [virtual_cell.Work(gang, [WORK_MS] * 2)])
    made.run_until(500)
    running = [w for w in made.leading.books.workers.values() if w.runs]
    began_ms = min(run.placed_ms for w in running for run in w.runs.values())
    made.leave_at(began_ms + WORK_MS - 10, [running[0].target_id])
    made.run_until(30_000)
    job = made.leading.books.state.jobs["j1"]
    tasks = job.groups[(0, 0)]
    assert [task.state for task in tasks] == [cell_state.DONE] * 2, made.waits[-1]
