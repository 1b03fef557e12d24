"""Workers that can't be reached for a while, and are in good health afterwards."""

from tools import virtual_cell, virtual_parts

CPU_MILLIS = 4_000
# A task that fills a worker.
WHOLE_MILLIS = 3_000
# Over a lease, and over one poll of a worker on which nothing runs any more.
CUTS_MS = [(1_000, 8_000), (1_551, 600)]


def states_after(cut_at_ms, for_ms):
    """What became of a job that a cut met, and of a gang as wide as the cell later."""
    records = [virtual_parts.worker(number, CPU_MILLIS) for number in range(2)]
    made = virtual_cell.VirtualCell([virtual_parts.queue("q")], records)
    step = virtual_parts.step(2, WHOLE_MILLIS, estimated_ms=1_000)
    made.submit_at(500, "q", "met", [virtual_parts.Work(step, [1_000, 1_000])])
    made.cut_off_at(cut_at_ms, ["w0", "w1"], for_ms)
    gang = virtual_parts.Work(step._replace(gang=True), [1_000, 1_000])
    made.submit_at(15_000, "q", "gang", [gang])
    made.run_until(40_000)
    jobs = made.term.leader.state.jobs
    return jobs["met"].state, jobs["gang"].state


def test_workers_that_were_cut_off_get_tasks_again():
    """Accepted work stands still for ever beside idle workers that are in touch again.
    A poll that gets no answer makes a worker doubtful until the next answer. If its
    runs lapse meanwhile, or none was left, it is not looked at again: only workers with
    runs are, and heartbeats do not count as answers.
    """
    states = [states_after(*cut) for cut in CUTS_MS]
    assert states == [("completed", "completed")] * len(CUTS_MS)


def test_a_partition_of_four_seconds_costs_no_running_work():
    """Guards against leases so short that a usual partition kills healthy runs.

    Pattern: a failure domain is cut off for four seconds while its workers are full of
    tasks that take longer and save nothing.
    """
    records = [virtual_parts.worker(number, CPU_MILLIS) for number in range(4)]
    made = virtual_cell.VirtualCell([virtual_parts.queue("q")], records)
    step = virtual_parts.step(4, WHOLE_MILLIS, estimated_ms=9_000)
    made.submit_at(0, "q", "met", [virtual_parts.Work(step, [9_000] * 4)])
    made.cut_off_at(2_000, ["w0", "w1"], 4_000)
    made.run_until(12_000)
    assert made.term.leader.state.jobs["met"].state == "completed"
    assert made.starts == 4
