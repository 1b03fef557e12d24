"""Random days on which leaders are frozen beside partitions, with all kinds of tasks.

The days of ``cell_random_test``, with controllers that are frozen for seconds, domains
that are cut off with their workers, workers cut off for about a lease, polls that are
carried out late, and clocks of workers that are 2 % slow. Heartbeats go to any
controller, which passes them on. Jobs have gangs and tasks that may run twice. Every
other day has a fourth controller, which takes the vote of one that is silent. On half
of the days an order without an answer holds up the next ones. CI runs fixed seeds;
with ALDERREACH_SOAK set, 200 seeds run.
"""

import os

import pytest

from alderreach.core import orders
from alderreach.core.generated import cell
from tests import cell_random_test, cell_sim

SEEDS = range(200) if os.environ.get("ALDERREACH_SOAK") else range(4)
LEASE_MS = 6000


class Chaos(cell_random_test.Chaos):
    """One random day."""

    def __init__(self, sim, seed):
        super().__init__(sim, seed)
        self.actions += [
            self.freeze_leader,
            self.freeze_leader,
            self.thaw_controllers,
            self.cut_domain,
            self.cut_worker_for_a_lease,
            self.restart_without_disk,
        ]
        self.announce_to_leader = sim.announce
        sim.announce = self.announce

    def call_delay_ms(self, call):
        if isinstance(call.order, orders.Poll) and self.rng.random() < 0.01:
            return self.rng.randrange(1000, 12_000)
        return super().call_delay_ms(call)

    def announce(self, worker, name=None):
        """Send a heartbeat to a random controller, which passes it on."""
        name = name or self.rng.choice(self.sim.names)
        controller = self.sim.keepers.get(name)
        is_reachable = (worker.name, name) not in self.sim.cut
        if controller is None or name in self.sim.frozen or not is_reachable:
            return None
        record = controller._state.cell.targets.get(worker.name)
        is_news = record is None or record.born_ms != worker.born_ms
        if worker.is_down or is_news:
            return self.announce_to_leader(worker)
        worker.sequence += 1
        heartbeat = cell.AnnounceTarget(record, worker.sequence, worker.clock_ms())
        return controller._extension.heartbeats.announce(heartbeat, 0)

    def _steps(self):
        return [
            step._replace(allow_duplicates=not step.gang and self.rng.random() < 0.3)
            for step in super()._steps()
        ]

    def crash_controller(self):
        if len(self.sim.keepers) == len(self.sim.names):
            super().crash_controller()

    def freeze_leader(self):
        leader = self.sim.leader()
        if leader and not self.sim.frozen:
            self.sim.tick(leader)
            self.sim.freeze(leader)

    def thaw_controllers(self):
        for name in list(self.sim.frozen):
            self.sim.thaw(name)

    def cut_domain(self):
        """Cut a controller off from the others, together with half of the workers."""
        inside = self.rng.choice(self.sim.names)
        outside = [name for name in self.sim.names if name != inside]
        for name in (inside, *self.rng.sample(sorted(self.sim.workers), 2)):
            self.sim.cut |= {(name, other) for other in outside}
            self.sim.cut |= {(other, name) for other in outside}

    def cut_worker_for_a_lease(self):
        self.cut_worker()
        self.sim.run(LEASE_MS + self.rng.randrange(-2000, 2000))
        self.restore_workers()

    def restart_without_disk(self):
        """Replace a controller; the next loss comes once it has caught up."""
        if len(self.sim.keepers) == len(self.sim.names):
            name = self.rng.choice(self.sim.names)
            self.sim.lose_disk(name)
            self.restore_controllers()

    def restore_controllers(self):
        """Repair the controllers, and run until all are members with equal logs."""
        self.thaw_controllers()
        self.sim.cut = {pair for pair in self.sim.cut if "w" in "".join(pair)}
        for name in self.sim.names:
            if name not in self.sim.keepers:
                self.sim.start(name)
        assert self.sim.run(15_000, self._is_cell_whole), self.sim.describe()

    def _is_cell_whole(self):
        nodes = [keeper._node for keeper in self.sim.keepers.values()]
        identities = {node.identity for node in nodes}
        return self.sim.leader() is not None and all(
            identities == {member.identity for member in node.members}
            and node.commit_index == node.log.last_index == nodes[0].log.last_index
            for node in nodes
        )

    def recover(self):
        self.thaw_controllers()
        self.sim.announce = self.announce_to_leader
        super().recover()


@pytest.mark.parametrize("seed", SEEDS)
def test_a_random_day_with_frozen_leaders(tmp_path, seed):
    """Guards against leases, ends and starts that a replaced leader still decides."""
    options = {"workers": 4, "cpu_millis": 3000, "clock_rate": 0.98}
    if seed % 2:
        options |= {"controllers": 4, "seeds": ("k1", "k2", "k3")}
    with cell_sim.running_cell(tmp_path, **options) as sim:
        if seed % 4 >= 2:
            sim.sends_in_sequence, sim.call_timeout_ms = True, 500
        Chaos(sim, seed).run()
