"""A worker that refuses the tickets that the permission service grants it."""

from alderreach.core import orders
from alderreach.core.generated import cell
from tools import virtual_cell, virtual_parts, virtual_workers

RULE = cell.PermissionRule(825, 7, 2_500)
WORKERS = 40
PERMITTED = ("w0", "w35")


class OnlySome(virtual_cell.VirtualCell):
    """A cell whose permission service lets steps run on two workers."""

    def _may_run(self, job, group, target_id):
        return target_id in PERMITTED


def test_a_step_whose_permitted_worker_refuses_its_tickets_queries_others(
    monkeypatch,
):
    """Guards against a step that waits forever beside idle workers that were never
    queried. The first query permits one worker, which refuses each ticket. In each pass
    the task fits there, so its step does not count as short of workers, and the
    worker's stale ticket counts as one to renew. Further workers are queried only for
    steps that are short of workers or have no ticket to renew.
    """
    carry_out = virtual_workers.Machine.carry_out

    def refusing(machine, order):
        if machine.record.target_id == "w0" and isinstance(order, orders.Start):
            return orders.OrderResult(orders.NO_TICKET)
        return carry_out(machine, order)

    monkeypatch.setattr(virtual_workers.Machine, "carry_out", refusing)
    records = [virtual_parts.worker(number, 4_000) for number in range(WORKERS)]
    sim = OnlySome([virtual_parts.queue("q", permission=RULE)], records)
    step = virtual_parts.step(1, 3_000)
    sim.submit_at(0, "q", "j1", [virtual_parts.Work(step, [500])])
    sim.run_until(40_000)
    assert sim.term.leader.state.jobs["j1"].state == "completed", sim.starts
