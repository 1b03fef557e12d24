"""Random failures of a cell whose customers have caps; see ``cell_random_test``.

Beside the other failures, caps are raised and lowered and keys are replaced. At each
start the simulation checks that its customer has no more running than the highest cap
that may be in force allows.
"""

import os

import pytest

from alderreach.core.generated import cell
from tests import cell_random_test, cell_sim

SEEDS = range(200) if os.environ.get("ALDERREACH_SOAK") else range(8)
NAMES = ("a", "b")
CAPS_MILLIS = (2000, 3000, 5000, 8000)
LARGEST_GANG_MILLIS = 3000


class Chaos(cell_random_test.Chaos):
    """One random day of a cell with customers."""

    def __init__(self, sim, seed):
        super().__init__(sim, seed)
        self.version = 1
        self.caps = dict.fromkeys(NAMES, 5000)
        self.open_configurations = {}
        self.change_caps()
        self.sim.run(2000)
        self.actions = [*self.actions, self.change_caps, self.change_caps]

    def change_caps(self, choices=CAPS_MILLIS):
        """Send new caps; until the answer arrives the former ones may hold as well."""
        leader = self.sim.leader()
        if leader is None:
            return
        self.version += 1
        self.caps = {name: self.rng.choice(choices) for name in NAMES}
        for name, cap_millis in self.caps.items():
            self.sim.caps_in_force.setdefault(name, []).append(cap_millis)
        customers = [cell_sim.customer(name, cap) for name, cap in self.caps.items()]
        config = self.sim.configuration(self.version, customers)
        request_id = self.sim.request(cell.PutConfig(config), leader)
        self.open_configurations[request_id] = self.caps

    def make_request(self, job_id, steps):
        owner = self.sim.owners.setdefault(job_id, self.rng.choice(NAMES))
        return cell_sim.job_request(job_id, steps, owner.encode())

    def make_cancellation(self, job_id):
        digest = self.sim.owners[job_id].encode()
        return cell.CancelJob(cell_sim.HOST, cell_sim.PREFIX + job_id, digest)

    def collect_replies(self):
        super().collect_replies()
        for request_id, caps in list(self.open_configurations.items()):
            reply = self.sim.replies.get(request_id)
            if getattr(reply, "kind", "") == "accepted":
                del self.open_configurations[request_id]
                if caps == self.caps:
                    self.sim.caps_in_force = {name: [caps[name]] for name in NAMES}

    def recover(self):
        self.restore_controllers()
        self.sim.elect()
        self.change_caps([cap for cap in CAPS_MILLIS if cap >= LARGEST_GANG_MILLIS])
        super().recover()


@pytest.mark.parametrize("seed", SEEDS)
def test_a_random_day_with_customers(tmp_path, seed):
    with cell_sim.running_cell(tmp_path, workers=4, cpu_millis=3000) as sim:
        Chaos(sim, seed).run()
