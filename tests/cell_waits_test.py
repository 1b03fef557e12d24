"""Reports about steps that wait long."""

from tools import virtual_cell, virtual_parts


def test_a_report_names_what_occupies_the_capacity():
    """An urgent step waits while all workers are full. The report must say what
    occupies them, so that operators see whether it is other urgent work, or work that
    may not be stopped.
    """
    queues = [virtual_parts.queue("urgent", 0), virtual_parts.queue("plan", 2)]
    records = [virtual_parts.worker(number, 4000) for number in range(2)]
    sim = virtual_cell.VirtualCell(queues, records)
    plan = virtual_parts.step(2, 3000)
    sim.submit("plan", "p", [virtual_parts.Work(plan, [9000, 9000])])
    urgent = virtual_parts.step(1, 2000)
    sim.submit_at(500, "urgent", "u", [virtual_parts.Work(urgent, [100])])
    sim.run_until(4000)
    assert [report["cause"] for report in sim.waits] == ["room"]
    assert sim.waits[0]["held_by"] == [["plan", 2, 2]]
