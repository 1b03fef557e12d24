"""Random events: no order breaks a guarantee, and all work that can run does."""

import os

import hypothesis
import hypothesis.stateful
from hypothesis import strategies

from alderreach.core.generated import common
from alderreach.decisions import resources
from tests import placement_session

SOAK = bool(os.environ.get("ALDERREACH_SOAK"))
SETTINGS = hypothesis.settings(
    max_examples=2000 if SOAK else 60,
    stateful_step_count=80 if SOAK else 40,
    deadline=None,
    derandomize=not SOAK,
    database=None,
    phases=[hypothesis.Phase.generate],
    suppress_health_check=list(hypothesis.HealthCheck),
)
TEAMS = ("a", "b", "c")
OUTCOMES = (
    "finished",
    "failed",
    "lost",
    "expired",
    "refused",
    "stopped",
    "checkpointed",
)
TASKS = (
    common.Resources(1000, 1024, 0),
    common.Resources(500, 6000, 0),
    common.Resources(8000, 8192, 0),
    common.Resources(2000, 1024, 1),
)
SIZES = (common.Resources(8000, 8192, 0), common.Resources(16000, 16384, 2))
QUOTAS = (
    placement_session.PLENTY,
    common.Resources(12000, 32768, 2),
    common.Resources(2000, 4096, 0),
)
pick = strategies.integers(0, 10**6)


class Machine(hypothesis.stateful.RuleBasedStateMachine):
    """Random events in a cell; the session checks its guarantees after each tick."""

    @hypothesis.stateful.initialize(seed=strategies.integers(0, 99))
    def begin(self, seed):
        self.session = placement_session.Session(seed, TEAMS)
        self.number = 0
        self.session.add_workers(3, SIZES[0])

    @hypothesis.stateful.rule(size=strategies.sampled_from(SIZES), rack=pick)
    def add_worker(self, size, rack):
        self.number += 1
        self.session.add_worker(f"x{self.number}", f"r{rack % 3}", size)

    @hypothesis.stateful.rule(
        kind=strategies.sampled_from(("batch", "batch", "gang", "service")),
        tasks=strategies.integers(1, 12),
        task=strategies.sampled_from(TASKS),
        team=strategies.sampled_from(TEAMS),
        priority=strategies.sampled_from((0, 3, 7, 9)),
        checkpoint=strategies.booleans(),
        workload=strategies.sampled_from(("", "x", "y")),
        expected_run_ms=strategies.sampled_from((0, 100, 10_000)),
    )
    def submit(self, tasks, **fields):
        self.number += 1
        tasks = min(tasks, 4) if fields["kind"] == "service" else tasks
        self.session.submit(f"j{self.number}", tasks, **fields)

    @hypothesis.stateful.rule(choice=pick)
    def resize(self, choice):
        services = [j for j in self.session.jobs.values() if j.kind == "service"]
        if services:
            job = services[choice % len(services)]._replace(tasks=1 + choice % 5)
            self.session.jobs[job.job_id] = job
            self.session.scheduler.submit(job, self.session.now_ms)

    @hypothesis.stateful.rule(choice=pick)
    def cancel(self, choice):
        if self.session.jobs:
            self.session.cancel(
                sorted(self.session.jobs)[choice % len(self.session.jobs)]
            )

    @hypothesis.stateful.rule(
        choice=pick, number=pick, outcome=strategies.sampled_from(OUTCOMES)
    )
    def end(self, choice, number, outcome):
        for task_id in sorted(self.session.running)[choice % 7 :][: number % 9]:
            self.session.end(task_id, outcome)

    @hypothesis.stateful.rule(choice=pick, has_crashed=strategies.booleans())
    def end_silence(self, choice, has_crashed):
        names = sorted(self.session.workers)
        self.session.scheduler.end_silence(
            names[choice % len(names)], has_crashed, self.session.now_ms
        )

    @hypothesis.stateful.rule()
    def end_stopped(self):
        self.session.end_stopped()

    @hypothesis.stateful.rule(choice=pick)
    def lose(self, choice):
        names = sorted(self.session.workers)
        if len(names) > 1:
            self.session.lose(names[choice % len(names)])

    @hypothesis.stateful.rule(choice=pick, is_open=strategies.booleans())
    def set_open(self, choice, is_open):
        names = sorted(self.session.workers)
        self.session.scheduler.set_open(names[choice % len(names)], is_open)

    @hypothesis.stateful.rule(
        choice=pick, cpu=strategies.integers(0, 20_000), reports=pick
    )
    def observe_usage(self, choice, cpu, reports):
        names = sorted(self.session.workers)
        used = common.Resources(cpu, cpu, 0)
        for _ in range(reports % 40):
            name = names[choice % len(names)]
            self.session.scheduler.observe_usage(name, used)

    @hypothesis.stateful.rule(seed=pick)
    def take_over(self, seed):
        self.session.take_over(seed)

    @hypothesis.stateful.rule(
        team=strategies.sampled_from(TEAMS), quota=strategies.sampled_from(QUOTAS)
    )
    def change_quota(self, team, quota):
        self.session.set_team(
            team, quota, 1, "waiting" if quota == QUOTAS[0] else "packing"
        )

    @hypothesis.stateful.rule(
        after_ms=strategies.sampled_from((0, 100, 1000, 20_000)),
        budget=strategies.sampled_from((1, 5, 1000)),
    )
    def tick(self, after_ms, budget):
        self.session.tick(after_ms, budget)

    def teardown(self):
        if hasattr(self, "session"):
            run_to_completion(self.session)


def run_to_completion(session):
    """Add capacity for everything and run for an hour: all that can run has to."""
    session.lose(*[name for name in session.workers if name.startswith("x")])
    session.add_workers(8, SIZES[1], prefix="big")
    for worker_id in session.workers:
        session.scheduler.set_open(worker_id, True)
        session.scheduler.observe_usage(worker_id, resources.NOTHING)
    for team in TEAMS:
        session.set_team(team)
    for job in session.jobs.values():
        if job.kind == "service":
            session.cancel(job.job_id)
    for _ in range(600):
        session.tick(6_000)
        session.end_stopped()
        session.end_all()
        if all(_is_over(session, job_id) for job_id in session.jobs):
            break
    for job_id, job in session.jobs.items():
        status = session.scheduler.job_status(job_id)
        assert _is_over(session, job_id), (job, status)
    assert not session.running
    for worker_id in session.workers:
        assert session.scheduler.allocated(worker_id) == (0, 0, 0)


def _is_over(session, job_id):
    status = session.scheduler.job_status(job_id)
    taken_down = status.reason.startswith("its tasks took down")
    return taken_down or status.state in ("finished", "failed", "cancelled")


Machine.TestCase.settings = SETTINGS
TestMachine = Machine.TestCase
