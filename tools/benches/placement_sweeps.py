"""Sweeps over the main thresholds of placement; a star marks the value in use."""

import random
import time

from alderreach.decisions import (
    backfill,
    draining,
    gangs,
    placement,
    preemption,
    quarantine,
    search,
    shapes,
)
from tools.benches import _placement_cell as cells
from tools.benches import _settings
from tools.benches import placement as placement_bench

SWEEP_MINUTES = 10


def main():
    """Run all sweeps."""
    sweep_search()
    sweep_packing()
    sweep_play()
    sweep_quarantine()


def packed_shares(seeds):
    """The share of the cell that is filled, for each of ``seeds`` seeds."""
    return [placement_bench.packed_share("packing", 240, seed) for seed in range(seeds)]


def sweep_search():
    for module, name, values in (
        (search, "SAMPLES_PER_BUCKET", (1, 2, 4, 8, 16)),
        (shapes, "MAX_CANDIDATES", (1, 4, 8, 16, 32)),
        (search, "SCAN_LIMIT", (32, 256, 2_048)),
    ):
        for value in values:
            mark = _settings.star(module, name, value)
            with _settings.setting(module, name, value):
                shares = [
                    placement_bench.packed_share("packing", 240, seed)
                    for seed in range(3)
                ]
                rate = placement_bench.churn_rate(2_400, 89, 30)
                worst_us = placement_bench.decision_us(10_000, 1_000)[2]
            print(
                f"{mark} {name} {value}: packed {sum(shares) / 3:.3f},"
                f" {rate:,.0f} placements/s, slowest decision {worst_us} us"
            )


def sweep_packing():
    for value in (0.0, 1.0, 4.0, 8.0, 16.0, 64.0):
        mark = _settings.star(placement, "IMBALANCE_WEIGHT", value)
        with _settings.setting(placement, "IMBALANCE_WEIGHT", value):
            shares = packed_shares(5)
        print(f"{mark} IMBALANCE_WEIGHT {value}: packed {sum(shares) / 5:.4f}")


def sweep_play():
    for module, name, values in (
        (draining, "RESERVE_AFTER_MS", (0, 1_000, 5_000, 20_000, 10**9)),
        (draining, "MAX_RESERVATIONS", (1, 2, 4, 8)),
        (draining, "MAX_RESERVED_SHARE", (0.1, 0.25, 0.5, 1.0)),
        (gangs, "RETRY_MS", (100, 250, 1_000)),
        (backfill, "MARGIN", (0.5, 1, 2, 4, 10**9)),
        (preemption, "MAX_PREEMPTIONS", (0, 1, 3, 10)),
        (preemption, "MIN_NORMAL_SHARE", (0.0, 0.1, 0.5, 1.0)),
    ):
        for value in values:
            mark = _settings.star(module, name, value)
            with _settings.setting(module, name, value):
                began_s = time.process_time()
                played = placement_bench.play("alderreach", 1.1, minutes=SWEEP_MINUTES)
                spent_s = time.process_time() - began_s
            waits = placement_bench.show_waits(played)
            print(f"{mark} {name} {value}: {waits}; ran {spent_s:.1f} s")


def sweep_quarantine():
    for odds in (10, 100, 1_000, 10**5, 10**9):
        value = quarantine.math.log(odds)
        mark = _settings.star(quarantine, "SUSPICION_LIMIT", value)
        with _settings.setting(quarantine, "SUSPICION_LIMIT", value):
            bad, good = play_failures()
        print(
            f"{mark} SUSPICION_LIMIT log {odds}: {bad} failures on the bad worker in"
            f" 200 s, good workers in quarantine for {good} s of 19 * 200"
        )


def play_failures():
    """One of 20 workers fails all tasks; 10% of the jobs and 1% of other tasks fail."""
    made = cells.make_scheduler(20, 4)
    rng = random.Random(5)
    running, bad, good = [], 0, 0
    for second in range(200):
        now_ms = second * 1_000
        for start in running:
            broken = start.job_id.startswith("b") or rng.random() < 0.01
            fails = broken or start.worker_id == "w0"
            bad += start.worker_id == "w0"
            outcome = "failed" if fails else "finished"
            made.task_ended(start.task_id, start.attempt, outcome, now_ms)
        for number in range(5):
            kind = "b" if rng.random() < 0.1 else "g"
            task = placement_bench.random_task(rng)
            name, team = f"{kind}{second}-{number}", f"t{number % 4}"
            tasks = rng.choice((1, 1, 4, 16))
            made.submit(cells.make_job(name, tasks, "batch", team, task), now_ms)
        running = [d for d in made.tick(now_ms, 1_000) if hasattr(d, "task")]
        good += sum(
            made.worker_state(f"w{number}") == "quarantined" for number in range(1, 20)
        )
    return bad, good


if __name__ == "__main__":
    main()
