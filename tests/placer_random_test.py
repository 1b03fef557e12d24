"""Seeded random histories of a failure domain: never two owners, never a task twice.

Hypothesis plays cuts (both ways, one way, silent and with late delivery), frozen,
killed and restarted processes, workers that lose their VM, new leaders, cancellations
and handovers over the simulated domain of ``placer_sim``. ``World.check`` holds after
every step of 5 ms. At the end everything is healed: then each job must end, so that
none was forgotten. `make soak` plays more.
"""

import os

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from tests import placer_sim

SOAK = bool(os.environ.get("ALDERREACH_SOAK"))
PLACERS = st.sampled_from(["a", "b"])
WORKERS = st.sampled_from(["w0", "w1", "w2"])
LINK_STATES = st.sampled_from(["drops", "holds", "passes"])
RATES = st.sampled_from([(0.995, 1.005), (1.005, 0.995), (1.0, 1.0)])
FINAL = ("finished", "failed", "cancelled")
END_LIMIT_MS = 60_000


class Domain(stateful.RuleBasedStateMachine):
    """One domain under random faults."""

    @stateful.initialize(rates=RATES)
    def begin(self, rates):
        self.world = placer_sim.World(rates=rates)
        self.jobs = []
        self.world.run(200)

    @stateful.rule(duration_ms=st.sampled_from([5, 50, 300, 1000, 2500, 6000]))
    def wait(self, duration_ms):
        self.world.run(duration_ms)

    @stateful.rule(
        tasks=st.integers(1, 5),
        run_ms=st.sampled_from([20, 700, 9000]),
        when_cut_off=st.sampled_from(["move", "move", "stay"]),
        kind=st.sampled_from(["batch", "gang"]),
    )
    def submit(self, tasks, run_ms, when_cut_off, kind):
        job_id = f"j{len(self.jobs)}"
        self.jobs.append(job_id)
        self.world.submit(job_id, tasks, run_ms, when_cut_off, kind)
        self.world.run(100)

    @stateful.rule(number=st.integers(0, 20))
    def cancel(self, number):
        if self.jobs:
            self.world.cancel(self.jobs[number % len(self.jobs)])

    @stateful.rule(name=PLACERS)
    def freeze(self, name):
        self.world.placers[name].frozen = True

    @stateful.rule(name=PLACERS)
    def thaw(self, name):
        self.world.placers[name].frozen = False

    @stateful.rule(name=PLACERS)
    def restart(self, name):
        self.world.placers[name].start()

    @stateful.rule(name=PLACERS)
    def kill(self, name):
        self.world.placers[name].kill()

    @stateful.rule(name=PLACERS, other=st.sampled_from("ab"), state=LINK_STATES)
    def cut_placers(self, name, other, state):
        self.world.link(name, other, state, both=False)

    @stateful.rule(name=PLACERS, state=LINK_STATES, both=st.booleans())
    def cut_keepers(self, name, state, both):
        self.world.link("k", name, state, both=both)

    @stateful.rule(name=PLACERS, state=LINK_STATES)
    def cut_towards_keepers(self, name, state):
        self.world.link(name, "k", state, both=False)

    @stateful.rule(name=PLACERS, worker=WORKERS, state=LINK_STATES)
    def cut_commands(self, name, worker, state):
        self.world.link(name, worker, state, both=False)

    @stateful.rule(name=PLACERS, worker=WORKERS, state=LINK_STATES)
    def cut_announcements(self, name, worker, state):
        self.world.link(worker, name, state, both=False)

    @stateful.rule(worker=WORKERS, state=LINK_STATES)
    def cut_worker(self, worker, state):
        for name in self.world.placers:
            self.world.link(name, worker, state)

    @stateful.rule(worker=WORKERS)
    def lose_worker(self, worker):
        self.world.workers[worker].start()

    @stateful.rule()
    def elect(self):
        self.world.keepers.elect()

    @stateful.rule(name=PLACERS)
    def hand_over(self, name):
        placer = self.world.placers[name]
        if placer.alive and not placer.frozen:
            placer.drain()
            self.world.run(300)

    @stateful.rule()
    def heal(self):
        self.world.heal()

    def teardown(self):
        if not hasattr(self, "world"):
            return
        world = self.world
        world.heal()
        for placer in world.placers.values():
            if placer.alive and not placer.draining:
                placer.frozen = False
            else:
                placer.start()
        world.run_until(lambda: self._all_ended(), END_LIMIT_MS)

    def _all_ended(self):
        found = [self.world.status(job_id) for job_id in self.jobs]
        return all(status and status.state in FINAL for status in found)


TestDomain = Domain.TestCase
TestDomain.settings = hypothesis.settings(
    max_examples=2000 if SOAK else 60,
    stateful_step_count=60 if SOAK else 40,
    deadline=None,
    derandomize=not SOAK,
    suppress_health_check=list(hypothesis.HealthCheck),
    print_blob=True,
)
