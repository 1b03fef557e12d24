"""Random days on which open connections become silent, permanently, each way by itself.

The days of ``cell_random_test``, beside whose failures links between controllers,
connections for calls to workers or their answers, and those for heartbeats become
silent while new ones work. All are silent as the failures end, and none is healed. CI
runs fixed seeds; with ALDERREACH_SOAK set, 200 seeds run.
"""

import os

import pytest

from tests import cell_random_test, cell_sim, sim_links

SEEDS = range(200) if os.environ.get("ALDERREACH_SOAK") else range(4)
SHARES = (1 / 3, 0.7, 1.0)
# The open connections of a controller to a worker, at most.
CONNECTIONS = 8


class Chaos(cell_random_test.Chaos):
    """One random day."""

    def __init__(self, sim, seed):
        super().__init__(sim, seed)
        self.actions += [
            self.silence_controllers,
            self.silence_controllers,
            self.silence_leader,
            self.silence_calls,
            self.silence_heartbeats,
        ]

    def silence_controllers(self, share=None):
        names = self.sim.names
        self._silence_links([(a, b) for a in names for b in names if a != b], share)

    def silence_leader(self):
        """Silence the leader's links to the others, or theirs to it."""
        leader = self.sim.leader()
        others = [name for name in self.sim.names if name != leader]
        pairs = [(leader, other) for other in others]
        if self.rng.random() < 0.5:
            pairs = [(other, leader) for other in others]
        self._silence_links(pairs, 1.0)

    def silence_calls(self, share=None):
        """Silence connections to workers: what is lost are requests or answers."""
        for controller in self.sim.names:
            for worker in self._sample(sorted(self.sim.workers), share):
                pair = (controller, worker)
                if self.rng.random() < 0.5:
                    pair = pair[::-1]
                self.sim.silent_calls[pair] = self.rng.randrange(1, CONNECTIONS + 1)

    def silence_heartbeats(self, share=None):
        for controller in self.sim.names:
            for worker in self._sample(sorted(self.sim.workers), share):
                self.sim.silent_heartbeats[worker, controller] = 1

    def recover(self):
        self.silence_controllers(1.0)
        self.silence_calls(1.0)
        self.silence_heartbeats(1.0)
        super().recover()

    def _silence_links(self, pairs, share):
        self.sim.peer_links.silence(self._sample(pairs, share))

    def _sample(self, items, share):
        share = share or self.rng.choice(SHARES)
        return self.rng.sample(items, round(share * len(items)))


@pytest.mark.parametrize("seed", SEEDS)
def test_a_random_day_with_silent_connections(tmp_path, seed):
    """Guards against a cell that stays without a leader, loses accepted jobs or runs
    tasks twice while messages are lost one way, and none of the other.
    """
    with sim_links.Links().installed() as links:
        options = {"workers": 4, "cpu_millis": 3000, "peer_links": links}
        with cell_sim.running_cell(tmp_path, **options) as sim:
            Chaos(sim, seed).run()
            assert links.losses


def test_a_silent_link_loses_messages_until_it_is_replaced(tmp_path):
    """Guards against a simulated fault without effect, and one that lasts for ever."""
    with sim_links.Links().installed() as links:
        with cell_sim.running_cell(tmp_path, peer_links=links) as sim:
            leader = sim.elect()
            term = sim.keepers[leader]._node.term
            assert not links.losses
            links.silence([(leader, name) for name in sim.names if name != leader])
            assert sim.run(1000, lambda: len(links.losses) >= 2)
            sim.run(2000)
            assert sim.leader() == leader
            assert sim.keepers[leader]._node.term == term
            given_up = len(links.losses)
            sim.run(5000)
            assert len(links.losses) == given_up
