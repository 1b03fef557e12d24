"""Seeded random histories of a failure domain: never two owners, no task runs twice.

Hypothesis generates cuts (in both directions or one, with dropped or delayed messages),
frozen, killed and restarted processes, workers that lose their VM, new leaders,
cancellations and handovers for the simulated domain of ``placer_sim``. ``World.check``
must hold after every step of 10 ms. At the end all faults are healed, and then each job
must end, which shows that none was forgotten. `make soak` runs more examples.

Faults name the owner and the standby rather than processes, and a wait follows each,
since most bugs show only after several faults and after a lease has lapsed.
"""

import os

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from tests import placer_sim

SOAK = bool(os.environ.get("ALDERREACH_SOAK"))
ROLES = st.sampled_from(["owner", "standby"])
WORKERS = st.sampled_from(["w0", "w1", "w2"])
LINK_STATES = st.sampled_from(["drops", "holds", "passes"])
RATES = st.sampled_from([(0.995, 1.005), (1.005, 0.995)])
WAITS = st.sampled_from([10, 100, 400, 1000, 2300, 6000])
# The scheduler marks a job as impossible if its tasks seem to crash workers.
END_STATES = ("finished", "failed", "cancelled", "impossible")
MAX_RECOVERY_MS = 60_000


class Domain(stateful.RuleBasedStateMachine):
    """One domain under random faults."""

    @stateful.initialize(rates=RATES)
    def begin(self, rates):
        self.world = placer_sim.World(rates=rates)
        self.jobs = []
        self.last_owner = self.world.placers["a"]
        self.world.run(2500)

    def name(self, role):
        owner = self.world.owner() or self.last_owner
        self.last_owner = owner
        return owner.name if role == "owner" else owner.peer

    @stateful.rule(
        tasks=st.integers(1, 5),
        run_ms=st.sampled_from([20, 2000, 30_000]),
        when_cut_off=st.sampled_from(["move", "move", "stay"]),
        kind=st.sampled_from(["batch", "gang"]),
        wait_ms=WAITS,
    )
    def submit(self, tasks, run_ms, when_cut_off, kind, wait_ms):
        job_id = f"j{len(self.jobs)}"
        self.jobs.append(job_id)
        self.world.submit(job_id, tasks, run_ms, when_cut_off, kind)
        self.world.run(wait_ms)

    @stateful.rule(number=st.integers(0, 20), wait_ms=WAITS)
    def cancel(self, number, wait_ms):
        if self.jobs:
            self.world.cancel(self.jobs[number % len(self.jobs)])
        self.world.run(wait_ms)

    @stateful.rule(role=ROLES, wait_ms=WAITS)
    def freeze(self, role, wait_ms):
        self.world.placers[self.name(role)].frozen = True
        self.world.run(wait_ms)

    @stateful.rule(wait_ms=WAITS)
    def thaw(self, wait_ms):
        for placer in self.world.placers.values():
            placer.frozen = False
        self.world.run(wait_ms)

    @stateful.rule(role=ROLES, wait_ms=WAITS)
    def restart(self, role, wait_ms):
        self.world.placers[self.name(role)].start()
        self.world.run(wait_ms)

    @stateful.rule(role=ROLES, wait_ms=WAITS)
    def kill(self, role, wait_ms):
        self.world.placers[self.name(role)].kill()
        self.world.run(wait_ms)

    @stateful.rule(role=ROLES, state=LINK_STATES, wait_ms=WAITS)
    def cut_beats(self, role, state, wait_ms):
        placer = self.world.placers[self.name(role)]
        self.world.link(placer.name, placer.peer, state, both=False)
        self.world.run(wait_ms)

    @stateful.rule(role=ROLES, state=LINK_STATES, both=st.booleans(), wait_ms=WAITS)
    def cut_keepers(self, role, state, both, wait_ms):
        self.world.link("k", self.name(role), state, both=both)
        self.world.run(wait_ms)

    @stateful.rule(state=LINK_STATES, wait_ms=WAITS)
    def cut_domain(self, state, wait_ms):
        for name in self.world.placers:
            self.world.link("k", name, state)
        self.world.run(wait_ms)

    @stateful.rule(role=ROLES, worker=WORKERS, state=LINK_STATES, wait_ms=WAITS)
    def cut_commands(self, role, worker, state, wait_ms):
        self.world.link(self.name(role), worker, state, both=False)
        self.world.run(wait_ms)

    @stateful.rule(role=ROLES, worker=WORKERS, state=LINK_STATES, wait_ms=WAITS)
    def cut_announcements(self, role, worker, state, wait_ms):
        self.world.link(worker, self.name(role), state, both=False)
        self.world.run(wait_ms)

    @stateful.rule(worker=WORKERS, state=LINK_STATES, wait_ms=WAITS)
    def cut_worker(self, worker, state, wait_ms):
        for name in self.world.placers:
            self.world.link(name, worker, state)
        self.world.run(wait_ms)

    @stateful.rule(worker=WORKERS, wait_ms=WAITS)
    def lose_worker(self, worker, wait_ms):
        self.world.workers[worker].start()
        self.world.run(wait_ms)

    @stateful.rule(wait_ms=WAITS)
    def elect(self, wait_ms):
        self.world.keepers.elect()
        self.world.run(wait_ms)

    @stateful.rule(wait_ms=WAITS)
    def hand_over(self, wait_ms):
        placer = self.world.placers[self.name("owner")]
        if placer.alive and not placer.frozen:
            placer.drain()
        self.world.run(wait_ms)

    @stateful.rule(wait_ms=WAITS)
    def heal(self, wait_ms):
        self.world.heal()
        for placer in self.world.placers.values():
            if not placer.alive or placer.draining:
                placer.start()
        self.world.run(wait_ms)

    def teardown(self):
        if not hasattr(self, "world"):
            return
        world = self.world
        world.heal()
        for placer in world.placers.values():
            placer.frozen = False
            if not placer.alive or placer.draining:
                placer.start()
        world.run_until(self.all_ended, MAX_RECOVERY_MS + 30_000 * len(self.jobs))

    def all_ended(self):
        found = [self.world.status(job_id) for job_id in self.jobs]
        return all(status and status.state in END_STATES for status in found)


TestDomain = Domain.TestCase
TestDomain.settings = hypothesis.settings(
    max_examples=1000 if SOAK else 25,
    stateful_step_count=60 if SOAK else 40,
    deadline=None,
    derandomize=not SOAK,
    database=None,
    phases=(hypothesis.Phase.explicit, hypothesis.Phase.generate),
    suppress_health_check=list(hypothesis.HealthCheck),
    print_blob=True,
)
