"""Bench: large and small tasks that share a few machines with accelerators.

Two kinds of tasks fill a handful of workers: large ones, each of which needs half of a
worker's processors, most of its memory and two to all of its accelerators, and may run
on the third of the workers that the permission service allows; and small, less urgent
ones with one accelerator each, most of which save their progress. Run time estimates
are off by up to 50 % for the large and 90 % for the small tasks.

Each row is one variant of the decisions over the same seeded days: the share of the
worth of a kind's jobs that was earned (the worth grows with the work of a job, and is a
fifth if the job is late), and the difference to the variant in use, paired by seed,
with its confidence interval.
"""

import contextlib
import os
import random
import statistics

from alderreach.core.generated import cell
from alderreach.decisions.cell import permissions, preemption
from alderreach.ops.controller import preempting
from tools import paired, virtual_cell, virtual_parts
from tools.benches import _settings

NEVER_MS = 10**9

SEEDS = int(os.environ.get("ACCELERATOR_SEEDS", "12"))
SECONDS = 45
DRAIN_SECONDS = 60
WORKERS = 7
# The capacity of a worker, and the demand of the tasks of each kind.
WORKER = {"cpu": 128_000, "memory": 524_288, "accelerators": 8}
LARGE = {
    "queue": "large", "per_s": 0.59, "width": 1.5, "spread": 0.8, "widest": 9,
    "cpu": 62_000, "memory": 320_000, "accelerators": (2, 4, 8, 8), "work_ms": 5_600,
    "estimate_off": 0.5, "saves": 0.9,
}  # fmt: skip
SMALL = {
    "queue": "small", "per_s": 0.95, "width": 4.1, "spread": 0.6, "widest": 20,
    "cpu": 11_000, "memory": 59_000, "accelerators": (1,), "work_ms": 3_800,
    "estimate_off": 0.9, "saves": 0.8,
}  # fmt: skip
PERMITTED_SHARES = {"large": 0.3, "small": 0.45}
LATE_WORTH = 0.2
LARGEST_WORTH = 4.0


def queues():
    """Large tasks have priority; both queues have a slow permission rule."""
    large = cell.PermissionRule(560, 8.0, 2_000)
    small = cell.PermissionRule(140, 2.0, 2_000)
    return [
        virtual_parts.queue("large", 1, 2.2, 1_000, permission=large),
        virtual_parts.queue("small", 2, 4.0, 3_000, permission=small),
    ]


def play(seed, burst=1.0, workers=WORKERS):
    """Simulate one day; returns the share of its worth that each queue earned."""
    records = [
        virtual_parts.worker(
            n,
            WORKER["cpu"],
            WORKER["memory"],
            f"r{n // 3}",
            WORKER["accelerators"],
        )
        for n in range(workers)
    ]
    made = virtual_cell.VirtualCell(
        queues(),
        records,
        permitted_shares=PERMITTED_SHARES,
        seed=seed,
        restore_ms=100.0,
    )
    worths = {}
    rng = random.Random(seed)
    for kind in (LARGE, SMALL):
        _arrivals(made, rng, kind, workers / WORKERS, burst, worths)
    made.run_until((SECONDS + DRAIN_SECONDS) * 1000)
    return earned(made, worths)


def earned(made, worths):
    """The share of the total worth that the jobs of each queue earned."""
    total, earned_worth = {}, {}
    for job_id, (queue, worth) in worths.items():
        total[queue] = total.get(queue, 0.0) + worth
        share = {"on_time": 1.0, "late": LATE_WORTH}.get(made.outcome_of(job_id), 0.0)
        earned_worth[queue] = earned_worth.get(queue, 0.0) + share * worth
    return {queue: earned_worth[queue] / total[queue] for queue in total}


def _arrivals(made, rng, kind, scale, burst, worths):
    now_ms, number = 0.0, 0
    while True:
        rate = kind["per_s"] * scale * (burst if 15_000 <= now_ms < 19_000 else 1)
        now_ms += rng.expovariate(rate) * 1000
        if now_ms >= SECONDS * 1000:
            return
        number += 1
        job_id = f"{kind['queue']}{number}"
        work = _work(rng, kind)
        mean = kind["work_ms"] * kind["width"]
        worth = min(LARGEST_WORTH, 0.3 + 0.7 * sum(work.work_ms) / mean)
        worths[job_id] = (kind["queue"], worth)
        made.submit_at(now_ms, kind["queue"], job_id, [work])


def _work(rng, kind):
    tasks = round(kind["width"] * rng.lognormvariate(-0.2, kind["spread"]))
    tasks = max(1, min(kind["widest"], tasks))
    mean_ms = kind["work_ms"] * min(2.5, rng.lognormvariate(-0.12, 0.5))
    off = kind["estimate_off"]
    work_ms = [mean_ms * rng.lognormvariate(0, 0.15) for _ in range(tasks)]
    step = virtual_parts.step(
        tasks,
        kind["cpu"],
        kind["memory"],
        int(mean_ms * rng.uniform(1 - off, 1 + off)),
        accelerators=rng.choice(kind["accelerators"]),
        checkpointing=rng.random() < kind["saves"],
    )
    return virtual_parts.Work(step, work_ms)


def compare(name, ways):
    """Print a row per variant: (title, context manager that applies the variant).

    The first variant is the baseline of the others.
    """
    print(f"-- {name}: {SEEDS} seeds")
    first = None
    for title, way in ways:
        with way():
            days = [play(seed, burst) for seed in range(SEEDS) for burst in (1.0, 1.8)]
        row = {queue: [day[queue] for day in days] for queue in days[0]}
        means = ", ".join(f"{q} {statistics.fmean(row[q]):.3f}" for q in sorted(row))
        if first is None:
            first = row
            print(f"{title}: {means}")
            continue
        gains = ", ".join(f"{q} {paired.difference(first[q], row[q])}" for q in row)
        print(f"{title}: {means}; {gains}")


def main():
    """Compare with variants that lack a mechanism that helps large tasks."""
    compare(
        "room for large tasks",
        [
            ("as it is", contextlib.nullcontext),
            ("no preemption", _with(preemption, "PATIENCE_MS", NEVER_MS)),
            (
                "no worker held",
                _with(preempting.Preemptions, "held_for", lambda *_any: ()),
            ),
            ("no early renewal", _with(permissions, "MIN_IDLE_SHARE", 2.0)),
        ],
    )


def _with(owner, name, value):
    return lambda: _settings.setting(owner, name, value)
