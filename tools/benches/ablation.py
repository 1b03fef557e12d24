"""Bench: each mechanism of a cell's decisions switched off in turn, over the same days.

There are two loads: machines with accelerators that large and small tasks share (see
``accelerators.py``), and a cell of 24 workers in four failure domains with urgent jobs,
plans and services (see ``cell.py``), where a domain is cut off, a worker drains and the
leader is lost; a twentieth of the runs fail. A row gives the share of the worth that
the jobs of each queue earned, minus the share with all mechanisms on, paired by seed,
with its confidence interval. A negative value means that the mechanism helps.

Run with ``python tools/bench.py ablation``; ABLATION_SEEDS sets the days per row,
ABLATION_ONLY selects mechanisms whose name contains it.
"""

import os

from alderreach.decisions.cell import (
    choice,
    health,
    permissions,
    preemption,
    query_planning,
)
from alderreach.ops.controller import permission_queries, preempting, worker_lifecycle
from tools import paired, virtual_cell, virtual_parts
from tools.benches import _settings, accelerators
from tools.benches import cell as cell_bench

SEEDS = int(os.environ.get("ABLATION_SEEDS", "6"))
NEVER_MS = 10**9
SECONDS = 30
DOMAINS = 4
WORKERS = 24
FAIL_SHARE = 0.05
COPIES_SHARE = 0.3
CUT_AT_MS, CUT_FOR_MS = 10_000, 6000
DRAIN_AT_MS, DRAIN_FOR_MS = 5000, 3000
LEADER_LOST_AT_MS, LEADERLESS_MS = 22_000, 1000

MECHANISMS = {
    "preemption": (preemption, "PATIENCE_MS", NEVER_MS),
    "workers held for who had runs stopped": (
        preempting.Preemptions,
        "held_for",
        lambda _self, _group, _now_ms: (),
    ),
    "a step in one domain": (choice, "preferred_domains", lambda *_any: ()),
    "best fit": (choice, "_leftover_share", lambda _worker, _step: 0.0),
    "tickets renewed early": (permissions, "MIN_IDLE_SHARE", 2.0),
    "permission ahead": (
        permission_queries.PermissionQueries,
        "prefetch",
        lambda _self, _now_ms: None,
    ),
    "helpers for quick questions": (query_planning, "RESERVED_HELPER_SHARE", 0.0),
    "out for bad health": (health, "MAX_STRIKES", NEVER_MS),
    "broken jobs excused": (health, "_is_excused", lambda *_any: False),
    "slow workers lose runs": (health, "is_slow", lambda _ratios: False),
    "copies of silent runs": (
        worker_lifecycle,
        "abandon",
        lambda _leader, _worker: None,
    ),
    "draining workers are left": (worker_lifecycle, "evacuate", lambda *_any: None),
}


class Load(cell_bench.Load):
    """The load of the cell bench, with failing runs and tasks that allow duplicates."""

    def _work(self, kind, number, **options):
        if not options.get("long_running") and self.rng.random() < COPIES_SHARE:
            options["allow_duplicates"] = True
        work = super()._work(kind, number, **options)
        return work._replace(fail_share=FAIL_SHARE)


def play_cell(seed):
    """Simulate a day with a cut, a drain and a takeover; returns worth by queue."""
    sizes = (32_000, 32_000, 16_000, 64_000)
    records = [
        virtual_parts.worker(
            n, sizes[n % 4], 2 * sizes[n % 4], f"r{n // 6}", domain=f"d{n // 6}"
        )
        for n in range(WORKERS)
    ]
    made = virtual_cell.VirtualCell(
        cell_bench.queues(),
        records,
        permitted_shares=cell_bench.PERMITTED_SHARES,
        seed=seed,
    )
    Load(made, seed).fill(SECONDS)
    names = [record.target_id for record in records]
    cut = seed % DOMAINS * WORKERS // DOMAINS
    made.cut_off_at(CUT_AT_MS, names[cut : cut + WORKERS // DOMAINS], CUT_FOR_MS)
    made.drain_at(DRAIN_AT_MS, [names[(cut + WORKERS // 2) % WORKERS]], DRAIN_FOR_MS)
    made.lose_leader_at(LEADER_LOST_AT_MS, LEADERLESS_MS)
    made.run_until((SECONDS + 30) * 1000)
    return {
        queue: (outcome.on_time + accelerators.LATE_WORTH * outcome.late) / outcome.jobs
        for queue, outcome in made.outcomes().items()
        if queue != "watch"
    }


def main():
    loads = {
        "accelerators": lambda seed: accelerators.play(seed, burst=1.8),
        "cell": play_cell,
    }
    only = os.environ.get("ABLATION_ONLY", "")
    for name, play in loads.items():
        baseline = _days(play)
        print(
            f"-- {name}: {SEEDS} seeds; with everything {_means(baseline)}", flush=True
        )
        for mechanism, (owner, attribute, off) in MECHANISMS.items():
            if only in mechanism:
                with _settings.setting(owner, attribute, off):
                    row = _against(baseline, _days(play))
                print(f"without {mechanism}: {row}", flush=True)


def _days(play):
    return [play(seed) for seed in range(SEEDS)]


def _means(days):
    return ", ".join(
        f"{queue} {sum(day[queue] for day in days) / len(days):.3f}"
        for queue in sorted(days[0])
    )


def _against(baseline, without):
    return "; ".join(
        f"{queue} "
        + str(
            paired.difference([d[queue] for d in baseline], [d[queue] for d in without])
        )
        for queue in sorted(baseline[0])
    )
