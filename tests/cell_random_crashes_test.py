"""Random failures of a whole cell while some tasks crash every worker they start on.

The days of ``cell_random_test``, with lost controllers, disks and workers; every third
job has such a task. CI runs fixed seeds; with ALDERREACH_SOAK set, 60 seeds run.
"""

import collections
import os

import pytest

from tests import cell_random_test, cell_sim

SEEDS = range(60) if os.environ.get("ALDERREACH_SOAK") else range(3)
# The third crash fails a task, and two more starts may be in flight. A start does not
# count if it was decided by a leader that was lost before sending it.
MAX_STARTS = 5
RESTART_AFTER_MS = 2500


class Chaos(cell_random_test.Chaos):
    """One random day; the first task of every third job crashes its workers."""

    def __init__(self, sim, seed):
        super().__init__(sim, seed)
        self.starts = collections.Counter()
        sim.crashes_worker = self.crashes_worker
        sim.restart_after_ms = RESTART_AFTER_MS
        sim.refuses_when_down = True

    def crashes_worker(self, order):
        """Whether a start crashes its worker; counts the starts that do."""
        if not self.is_culprit(order.task):
            return False
        self.starts[order.task] += 1
        return True

    def is_culprit(self, task):
        job_id, *number = task.split(".")
        return int(job_id[1:]) % 3 == 0 and number == ["0", "0", "0"]

    def expected_state(self, job_id):
        return "failed" if int(job_id[1:]) % 3 == 0 else "completed"


@pytest.mark.parametrize("seed", SEEDS)
def test_a_random_day_with_tasks_that_crash_workers(tmp_path, seed):
    """Guards against such a task that keeps starting as leaders and disks are lost."""
    with cell_sim.running_cell(tmp_path, workers=6, cpu_millis=3000) as sim:
        day = Chaos(sim, seed)
        day.run()
        assert max(day.starts.values(), default=0) <= MAX_STARTS
