"""Bench: which jobs of a cell complete in time, and the leader's processor time.

Three kinds of work share workers that are about 80 % full: urgent short jobs, wide
plans that save their progress, and long-running services. There are bursts in addition.
Each row is one variant of the decisions or one size, over the same seeded jobs.

Run some parts with ``python tools/bench.py cell`` and CELL_PARTS=baselines,patience,
sizes (all by default).
"""

import os
import random
import typing

from alderreach.core.generated import cell
from alderreach.decisions.cell import order, preemption
from tools import virtual_cell, virtual_parts
from tools.benches import _settings

PARTS = ("baselines", "patience", "sizes")
SEEDS = (1, 2)
BURSTS = {"urgent_burst": 4.0, "plan_burst": 4.0}
NEVER_MS = 10**9
SECONDS = 40
# Medians of the run time, the width and the demand of a kind's steps, for workers of 32
# processors.
URGENT = {"work_ms": 640, "width": 6, "cpu": 2_500, "steps": 1.6, "memory": 3_600}
PLAN = {"work_ms": 4_800, "width": 10, "cpu": 5_500, "steps": 2.0, "memory": 7_800}
SERVICE = {"work_ms": 10**9, "width": 8, "cpu": 6_700, "steps": 1.0, "memory": 12_000}
QUICK_RULE = cell.PermissionRule(18, 0.25, 2_000)
SLOW_RULE = cell.PermissionRule(430, 6.1, 2_000)
PERMITTED_SHARES = {"urgent": 0.7, "watch": 0.35, "plan": 0.35}


def main():
    chosen = os.environ.get("CELL_PARTS", ",".join(PARTS)).split(",")
    for part in PARTS:
        if part in chosen:
            print(f"-- {part}")
            globals()[f"measure_{part}"]()


def queues():
    """Urgent jobs have the highest priority, then services, then plans."""
    queue = virtual_parts.queue
    return [
        queue("urgent", 0, 1.5, 250, permission=QUICK_RULE),
        queue("watch", 1, 2.2, 2_500, permission=SLOW_RULE),
        queue("plan", 2, 2.2, 1_200, permission=SLOW_RULE),
    ]


class Mix(typing.NamedTuple):
    """The properties of the three kinds of jobs, and their arrivals per second."""

    urgent: dict
    plan: dict
    service: dict
    urgent_per_s: float
    plan_per_s: float
    service_per_s: float


SMALL_CELL = Mix(URGENT, PLAN, SERVICE, 9.1, 0.75, 0.03)


class Load:
    """Seeded jobs of the three kinds, at ``scale`` times the rates of ``mix``."""

    def __init__(self, made, seed, scale=1.0, mix=SMALL_CELL, customers=()):
        self.made, self.scale, self.mix = made, scale, mix
        self.rng = random.Random(seed)
        self.customer_rng = random.Random(f"customers {seed}")
        self.customers = customers
        self.number = 0

    def fill(self, seconds, urgent_burst=2.2, plan_burst=1.8):
        """Submit all jobs of a day, with a burst of urgent jobs and one of plans."""
        for _service in range(round(self.scale)):
            self.serve_from_start()
        self.arrivals(seconds, urgent_burst, plan_burst)

    def serve_from_start(self):
        """Submit a service at the start of the day."""
        self._submit(0, "watch", self.mix.service, long_running=True)

    def arrivals(self, seconds, urgent_burst, plan_burst):
        """Submit the jobs that arrive during the day."""
        mix, end_ms = self.mix, seconds * 1000
        burst = (7_000, 11_000, urgent_burst)
        self._arrivals("urgent", mix.urgent, mix.urgent_per_s, burst, end_ms)
        options = {"checkpointing": True}
        burst = (17_000, 21_000, plan_burst)
        self._arrivals("plan", mix.plan, mix.plan_per_s, burst, end_ms, **options)
        options = {"long_running": True}
        burst = (0, 0, 1)
        self._arrivals(
            "watch", mix.service, mix.service_per_s, burst, end_ms, **options
        )

    def _arrivals(self, name, kind, per_s, burst, end_ms, **options):
        began_ms, over_ms, times = burst
        now_ms = 0.0
        while True:
            rate = per_s * self.scale
            if began_ms <= now_ms < over_ms:
                rate *= times
            now_ms += self.rng.expovariate(rate) * 1000
            if now_ms >= end_ms:
                return
            self._submit(now_ms, name, kind, **options)

    def _submit(self, time_ms, name, kind, **options):
        self.number += 1
        steps = max(1, round(self.rng.lognormvariate(0, 0.4) * kind["steps"]))
        works = [self._work(kind, n, **options) for n in range(steps)]
        customer = self._draw_customer()
        self.made.submit_at(time_ms, name, f"{name}{self.number}", works, customer)

    def _draw_customer(self):
        """The name of a customer, drawn by weight; empty if there are none."""
        if not self.customers:
            return ""
        weights = [customer.weight for customer in self.customers]
        return self.customer_rng.choices(self.customers, weights)[0].name

    def _work(self, kind, number, **options):
        rng = self.rng
        tasks = max(1, round(kind["width"] * rng.lognormvariate(-0.3, 0.7)))
        cpu = int(kind["cpu"] * min(3.0, rng.lognormvariate(-0.1, 0.45)))
        memory = int(kind["memory"] * min(3.0, rng.lognormvariate(-0.15, 0.6)))
        mean_ms = kind["work_ms"] * min(2.5, rng.lognormvariate(-0.12, 0.5))
        work_ms = [mean_ms * rng.lognormvariate(0, 0.3) for _ in range(tasks)]
        if options.get("long_running"):
            work_ms = [kind["work_ms"]] * tasks
        step = virtual_parts.step(
            tasks,
            cpu,
            memory,
            int(min(mean_ms, 1000) * rng.lognormvariate(0, 0.9)),
            [number - 1] if number else [],
            **options,
        )
        return virtual_parts.Work(step, work_ms)


def play(workers, seed=1, seconds=SECONDS, **bursts):
    """Simulate one day on ``workers`` workers; returns the VirtualCell."""
    sizes = (32_000, 32_000, 16_000, 64_000)
    records = [
        virtual_parts.worker(n, sizes[n % 4], 2 * sizes[n % 4], f"r{n // 6}")
        for n in range(workers)
    ]
    made = virtual_cell.VirtualCell(
        queues(), records, permitted_shares=PERMITTED_SHARES, seed=seed
    )
    Load(made, seed, workers / 24).fill(seconds, **bursts)
    made.run_until(seconds * 1000 + 60_000)
    return made


def row(name, made):
    """Print one line of figures."""
    outcomes = made.outcomes()
    parts = [
        f"{queue} {o.on_time}+{o.late}+{o.never}/{o.jobs}"
        for queue, o in sorted(outcomes.items())
    ]
    cost_ms = 1000 * made.cpu_s / max(1, made.starts)
    print(
        f"{name}: {', '.join(parts)} (in time + late + never); {made.starts} starts, "
        f"{made.stops} preempted, {made.polls} polls, {made.queries} queries, "
        f"{cost_ms:.2f} ms CPU/start"
    )


def first_come(_queue, job, _step, due_ms, _eligible_ms):
    """The baseline's order: by submission, regardless of the queue."""
    return order.Rank(0, due_ms + NEVER_MS, due_ms, job.record.job_id)


def measure_baselines():
    """Compare first come, first served; priority and slack; and preemption."""
    for seed in SEEDS:
        with _settings.setting(preemption, "PATIENCE_MS", NEVER_MS):
            with _settings.setting(order, "rank", first_come):
                row(f"seed {seed}, first come", play(24, seed, **BURSTS))
            row(f"seed {seed}, by priority", play(24, seed, **BURSTS))
        row(f"seed {seed}, preempting", play(24, seed, **BURSTS))


def measure_patience():
    for patience_ms in (60, 150, 300, 600, NEVER_MS):
        with _settings.setting(preemption, "PATIENCE_MS", patience_ms):
            row(f"patience {patience_ms} ms", play(24, 1, **BURSTS))


def measure_sizes():
    for workers in (24, 72, 176):
        row(f"{workers} workers", play(workers, 1, 12))
