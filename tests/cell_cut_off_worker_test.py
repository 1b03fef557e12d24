"""Workers that can't be reached for a while, and are in good health afterwards."""

from tools import virtual_cell

CPU_MILLIS = 4_000
# A task that fills a worker.
WHOLE_MILLIS = 3_000


def cell_of(workers):
    """A cell of equal workers, each of which holds one of these tests' tasks."""
    records = [virtual_cell.worker(number, CPU_MILLIS) for number in range(workers)]
    return virtual_cell.VirtualCell([virtual_cell.queue("q")], records)


def work(tasks, work_ms, **options):
    """A step of tasks that each fill a worker."""
    step = virtual_cell.step(tasks, WHOLE_MILLIS, estimated_ms=work_ms, **options)
    return virtual_cell.Work(step, [work_ms] * tasks)


def state_of(made, job_id):
    return made.leading.books.state.jobs[job_id].state


def test_tasks_that_a_cut_cost_run_again_after_it():
    """A job stands still for ever although all workers are idle and in touch again.
    A cut between the leader and its workers outlasts the lease of what runs. The lapsed
    runs are taken off the workers, whose last look has failed; a worker without runs
    is not looked at, so nothing ever takes back that it is doubtful.
    """
    made = cell_of(2)
    made.submit_at(500, "q", "j1", [work(2, 2_000)])
    made.cut_off_at(1_000, ["w0", "w1"], for_ms=8_000)
    made.run_until(40_000)
    assert state_of(made, "j1") == "completed"


def test_one_lost_look_at_a_worker_that_just_became_idle_does_not_end_its_use():
    """A gang as wide as the cell never starts beside idle workers. The look that has a
    worker forget its last ends gets no answer; nothing runs there, so it is not looked
    at again, heartbeats do not count as answers, and it stays doubtful.
    """
    made = cell_of(2)
    made.submit_at(500, "q", "j1", [work(1, 1_000)])
    made.run_until(1_550)
    made.cut_off_at(1_551, ["w0", "w1"], for_ms=600)
    made.run_until(5_000)
    assert state_of(made, "j1") == "completed"
    made.submit("q", "j2", [work(2, 1_000, gang=True)])
    made.run_until(40_000)
    assert state_of(made, "j2") == "completed"
