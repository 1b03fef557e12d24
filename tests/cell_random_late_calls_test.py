"""Random days on which late polls survive restarts and cuts of workers.

In spells a share of the polls gets no answer and is carried out 2 to 12 s later, by
whichever incarnation of the worker is there then. Workers restart under their ids, also
behind a cut. Late starts stay within an incarnation (``cell_random_test``): one that
reaches the next incarnation before its leader does can't be refused.
"""

import os

import pytest

from alderreach.core import orders
from tests import cell_random_test, cell_sim

# A late poll acknowledged the ends of the next incarnation.
REGRESSION_SEEDS = [59]
SEEDS = (
    range(200) if os.environ.get("ALDERREACH_SOAK") else [*range(3), *REGRESSION_SEEDS]
)


class LatePolls(cell_random_test.Chaos):
    """A random day with late polls and restarts."""

    def __init__(self, sim, seed):
        super().__init__(sim, seed)
        sim.keeps_calls_over_restarts = sim.delivers_late_calls_in_cuts = True
        self.late_share = 0
        self.actions += [
            self.begin_late_polls,
            self.begin_late_polls,
            self.end_late_polls,
            self.restart_worker,
            self.restart_worker,
            self.restart_worker_behind_cut,
            self.restart_worker_behind_cut,
        ]

    def call_delay_ms(self, call):
        """Delay a share of the polls."""
        share = self.late_share if isinstance(call.order, orders.Poll) else 0
        return self.rng.randrange(2000, 12_000) if self.rng.random() < share else 0

    def begin_late_polls(self):
        self.late_share = self.rng.choice([0.1, 0.5])

    def end_late_polls(self):
        self.late_share = 0

    def restart_worker(self):
        worker = self.rng.choice(list(self.sim.workers.values()))
        worker.crash()
        worker.restart()
        if self.rng.random() < 0.5:
            self.sim.announce(worker)

    def restart_worker_behind_cut(self):
        worker = self.rng.choice(list(self.sim.workers.values()))
        for controller in self.sim.names:
            self.sim.cut |= {(worker.name, controller), (controller, worker.name)}
        self.sim.run(self.rng.choice([100, 700, 2500]))
        worker.crash()
        worker.restart()

    def recover(self):
        """Wait for the last late polls, then recover as after any day."""
        self.late_share = 0
        self.sim.run(12_000)
        super().recover()


@pytest.mark.parametrize("seed", SEEDS)
def test_a_random_day_with_late_polls(tmp_path, seed):
    with cell_sim.running_cell(tmp_path, workers=4, cpu_millis=3000) as sim:
        LatePolls(sim, seed).run()
