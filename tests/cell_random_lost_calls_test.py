"""Random days on which workers lose calls beside all other failures.

In spells a share of all calls, orders and polls, gets no answer and is carried out 2 to
12 s later, unless its worker has restarted by then. The leader sends calls to such a
worker in several copies, each of which may be lost.
"""

import os

import pytest

from tests import cell_random_test, cell_sim

SEEDS = range(200) if os.environ.get("ALDERREACH_SOAK") else range(6)


class LostCalls(cell_random_test.Chaos):
    """A random day with spells of lost calls, to one worker or to all."""

    def __init__(self, sim, seed):
        super().__init__(sim, seed)
        sim.sends_in_sequence, sim.call_timeout_ms = True, 500
        self.lost_share, self.losing = 0, set()
        self.actions += [self.begin_losses, self.begin_losses, self.end_losses]

    def call_delay_ms(self, call):
        """Hold up a share of the calls."""
        is_losing = call.target_id in self.losing
        share = self.lost_share if is_losing else 0.02
        return self.rng.randrange(2000, 12_000) if self.rng.random() < share else 0

    def begin_losses(self):
        self.lost_share = self.rng.choice([0.2, 0.55, 0.8])
        names = sorted(self.sim.workers)
        self.losing = set(self.rng.choice([names, names, names[:1], names[1:]]))

    def end_losses(self):
        self.losing = set()

    def recover(self):
        """Wait for the last calls that were held up, then recover as after any day."""
        self.end_losses()
        self.sim.call_delay_ms = lambda call: 0
        self.sim.run(12_000)
        super().recover()


@pytest.mark.parametrize("seed", SEEDS)
def test_a_random_day_with_lost_calls(tmp_path, seed):
    with cell_sim.running_cell(tmp_path, workers=4, cpu_millis=3000) as sim:
        LostCalls(sim, seed).run()
