"""Processes that put the leader's questions to the permission service, or fail to."""

from alderreach.core.generated import cell
from tools import virtual_cell

RULE = cell.PermissionRule(825, 7, 2_500)


def state_with(kind):
    """What becomes of a job if the first of twelve helpers is of a bad kind."""
    records = [virtual_cell.worker(number, 4_000) for number in range(30)]
    made = virtual_cell.VirtualCell([virtual_cell.queue("q", permission=RULE)], records)
    getattr(made, kind).add("helper-0")
    step = virtual_cell.step(1, 3_000)
    made.submit_at(0, "q", "j1", [virtual_cell.Work(step, [500])])
    made.run_until(30_000)
    return made.leading.books.state.jobs["j1"].state


def test_a_question_that_got_no_answer_is_put_by_another_process():
    """A step stands still for ever though eleven processes could ask for it.
    The first process in the list is in touch with the leader and not with the
    permission service. Its question is given up, which makes it idle, and the first
    idle process is chosen: the same question goes to it again, each time.
    """
    states = {kind: state_with(kind) for kind in ("silent_helpers", "cut_helpers")}
    assert states == {"silent_helpers": "completed", "cut_helpers": "completed"}
