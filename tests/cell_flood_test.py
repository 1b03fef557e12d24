"""A leader with hundreds of waiting steps, in virtual time without a network."""

from alderreach.ops.controller import placing
from tools import virtual_cell, virtual_load, virtual_parts

WORKERS = 16
STEPS = 300
VISIT_MS = 1.0
WINDOW_MS = (500, 4_500)
# Planning passes may take this share of the leader's time.
MAX_PASS_SHARE = 0.5


class BusyLoop(virtual_load.Loop):
    """Virtual time that the leader's own work uses up as well."""

    def run_until(self, end_ms):
        while self._events and self._events[0][0] <= end_ms:
            time_ms, _, callback = virtual_load.heapq.heappop(self._events)
            self.now_ms = max(self.now_ms, time_ms)
            callback()
        self.now_ms = max(self.now_ms, end_ms)


def flooded(steps, queue_options=None):
    """Return a cell of full workers, and the jobs of one customer's flood waiting."""
    queues = [virtual_parts.queue("q", **(queue_options or {}))]
    records = [virtual_parts.worker(n, 1_000) for n in range(WORKERS)]
    made = virtual_cell.VirtualCell(queues, records)
    for number in range(steps):
        work = virtual_parts.Work(virtual_parts.step(1, 1_000), [400])
        made.submit_at(0, "q", f"j{number}", [work])
    return made


def test_passes_over_a_flood_leave_half_of_the_leaders_time(monkeypatch):
    """Pattern: 300 waiting steps, each visit of which takes 1 ms.

    Guards against a leader that plans without a pause when many steps wait, so that its
    polls are late and its workers' leases expire.
    """
    monkeypatch.setattr(virtual_load, "Loop", BusyLoop)
    made = flooded(STEPS)
    spent_ms = []
    for name in ("_consider_in_full", "_consider_freed"):
        visit = getattr(placing.Planner, name)

        def slow_visit(self, *args, visit=visit):
            made.loop.now_ms += VISIT_MS
            spent_ms.append(VISIT_MS)
            return visit(self, *args)

        monkeypatch.setattr(placing.Planner, name, slow_visit)
    made.run_until(WINDOW_MS[0])
    began_ms = made.loop.now_ms
    spent_ms.clear()
    made.run_until(WINDOW_MS[1])
    elapsed_ms = made.loop.now_ms - began_ms
    assert sum(spent_ms) <= MAX_PASS_SHARE * elapsed_ms + placing.MAX_PASS_MS
    assert made.starts > WORKERS
