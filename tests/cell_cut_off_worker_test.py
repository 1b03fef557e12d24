"""Workers that are unreachable for a while and healthy afterwards."""

from tools import virtual_cell, virtual_parts

CPU_MILLIS = 4_000
# More than half of a worker, so that each worker holds only one task.
TASK_MILLIS = 3_000
# (start, duration): longer than a lease; and across one poll of an idle worker.
PARTITIONS_MS = [(1_000, 8_000), (1_551, 600)]


def final_states(cut_at_ms, duration_ms):
    """Return the states of a job hit by a partition and of a later cell-wide gang."""
    records = [virtual_parts.worker(number, CPU_MILLIS) for number in range(2)]
    sim = virtual_cell.VirtualCell([virtual_parts.queue("q")], records)
    step = virtual_parts.step(2, TASK_MILLIS, estimated_ms=1_000)
    sim.submit_at(500, "q", "met", [virtual_parts.Work(step, [1_000, 1_000])])
    sim.cut_off_at(cut_at_ms, ["w0", "w1"], duration_ms)
    gang = virtual_parts.Work(step._replace(gang=True), [1_000, 1_000])
    sim.submit_at(15_000, "q", "gang", [gang])
    sim.run_until(40_000)
    jobs = sim.term.leader.state.jobs
    return jobs["met"].state, jobs["gang"].state


def test_workers_that_were_cut_off_get_tasks_again():
    """Guards against accepted work that waits forever although idle workers are
    reachable again. A poll without a response makes a worker suspect until its next
    response. If its runs lapse meanwhile, or it had none, it is not polled again: only
    workers with runs are, and heartbeats do not count as responses.
    """
    states = [final_states(*cut) for cut in PARTITIONS_MS]
    assert states == [("completed", "completed")] * len(PARTITIONS_MS)


def test_a_partition_of_four_seconds_ends_no_run():
    """Guards against leases too short for a typical partition, which would end healthy
    runs. A failure domain is cut off for four seconds while its workers are full of
    tasks that take longer and save no checkpoints.
    """
    records = [virtual_parts.worker(number, CPU_MILLIS) for number in range(4)]
    sim = virtual_cell.VirtualCell([virtual_parts.queue("q")], records)
    step = virtual_parts.step(4, TASK_MILLIS, estimated_ms=9_000)
    sim.submit_at(0, "q", "met", [virtual_parts.Work(step, [9_000] * 4)])
    sim.cut_off_at(2_000, ["w0", "w1"], 4_000)
    sim.run_until(12_000)
    assert sim.term.leader.state.jobs["met"].state == "completed"
    assert sim.starts == 4
