"""Bench: what callers get from a full cell with large customers, or uneven workers.

Two cells of 176 workers. In ``shared``, twenty customers compete for workers that are
nine tenths full, one of them sends several times its share for a while, and permission
queries about batches are slow. In ``uneven``, a third of the workers takes 2.4 times as
long, and some tasks take seven times as long as others. Both have bursts.

Run with ``python tools/bench.py contended``; CONTENDED_PARTS=shared,uneven (both by
default) chooses, CONTENDED_SEEDS=1,2 sets the seeds.
"""

import collections
import os
import time

from alderreach.core.generated import cell, common
from tools import virtual_cell, virtual_parts
from tools.benches import cell as cell_bench

PARTS = ("shared", "uneven")
SECONDS = 34
WORKERS = 176
HELPERS = 43
LATE_WORTH = 0.2
# The share of the jobs' objective that a tail task adds is not counted by the bench.
TAIL_SHARE, TAIL_FACTOR = 0.03, 7.0
HOT_FACTOR, HOT_MS = 6.6, (7_300, 14_200)
SHARED_CPU = 16_000
UNEVEN_CPU = 64_000
SIZES = (1.0, 1.0, 0.5, 2.0)
SLOWNESS = (0.7, 0.7, 1.7)


def _queues(quick, slow):
    queue = virtual_parts.queue
    return [
        queue("urgent", 0, 1.5, 250, permission=quick),
        queue("watch", 1, 2.2, 2_500, permission=slow._replace(decision_ms=830)),
        queue("plan", 2, 2.2, 1_200, permission=slow),
    ]


SHARED_QUEUES = _queues(
    cell.PermissionRule(53, 0.75, 2_500), cell.PermissionRule(717, 10.1, 2_500)
)
UNEVEN_QUEUES = _queues(
    cell.PermissionRule(37, 0.51, 2_500), cell.PermissionRule(717, 10.3, 2_500)
)
SHARED_MIX = cell_bench.Mix(
    {"work_ms": 1_000, "width": 10, "cpu": 2_200, "steps": 1.6, "memory": 3_200},
    {"work_ms": 3_800, "width": 21, "cpu": 4_500, "steps": 2.0, "memory": 6_400},
    {"work_ms": 10**9, "width": 20, "cpu": 4_500, "steps": 1.0, "memory": 8_200},
    11.5,
    2.95,
    0.121,
)
UNEVEN_MIX = cell_bench.Mix(
    {"work_ms": 540, "width": 10, "cpu": 8_900, "steps": 1.6, "memory": 26_000},
    {"work_ms": 3_200, "width": 21, "cpu": 18_000, "steps": 2.0, "memory": 38_000},
    {"work_ms": 10**9, "width": 20, "cpu": 18_000, "steps": 1.0, "memory": 51_000},
    19.5,
    1.98,
    0.142,
)


def main():
    chosen = os.environ.get("CONTENDED_PARTS", ",".join(PARTS)).split(",")
    seeds = [int(seed) for seed in os.environ.get("CONTENDED_SEEDS", "1,2").split(",")]
    for part in PARTS:
        for seed in seeds if part in chosen else ():
            report(f"{part}, seed {seed}", globals()[f"play_{part}"](seed))


class ContendedLoad(cell_bench.Load):
    """The load of ``cell_bench``, with a heavy tail and a customer that floods."""

    tail_share = 0.0
    hot = None

    def _work(self, kind, number, **options):
        made = super()._work(kind, number, **options)
        if options.get("long_running"):
            return made
        work_ms = [
            ms * (TAIL_FACTOR if self.rng.random() < self.tail_share else 1)
            for ms in made.work_ms
        ]
        may_repeat = kind is self.mix.urgent and self.rng.random() < 0.3
        return made._replace(
            step=made.step._replace(allow_duplicates=may_repeat), work_ms=work_ms
        )

    def flood(self, customer, times, began_ms, over_ms):
        """Submit ``times`` the usual jobs of a customer for a while."""
        total = sum(each.weight for each in self.customers)
        share = customer.weight / total * (times - 1)
        self.hot = customer
        for name, kind, per_s, options in (
            ("urgent", self.mix.urgent, self.mix.urgent_per_s, {}),
            ("plan", self.mix.plan, self.mix.plan_per_s, {"checkpointing": True}),
        ):
            now_ms = began_ms
            while (now_ms := now_ms + self._gap_ms(per_s * share)) < over_ms:
                self._submit(now_ms, name, kind, **options)
        self.hot = None

    def _gap_ms(self, per_s):
        return self.rng.expovariate(per_s) * 1000

    def _draw_customer(self):
        return self.hot.name if self.hot else super()._draw_customer()


def customers():
    """Twenty customers, a few of them large, each with a cap above its usual use."""
    total_rate = 14.6
    sizes = [1 / (rank + 1) for rank in range(20)]
    scale = 1.9 * total_rate / sum(sizes)
    cap = common.Resources(1_900_000, 2_700_000, 0)
    return [
        cell.CustomerConfig(f"c{n}", [f"c{n}".encode()], 1, size * scale, cap)
        for n, size in enumerate(sizes)
    ]


def play_shared(seed, hot_factor=HOT_FACTOR):
    """Play a day with customers; ``hot_factor`` 1 leaves out the flood."""
    everyone = customers()
    made = virtual_cell.VirtualCell(
        SHARED_QUEUES,
        _records(SHARED_CPU, 2 * SHARED_CPU, 20, 3),
        helpers=HELPERS,
        permitted_shares=cell_bench.PERMITTED_SHARES,
        seed=seed,
        customers=everyone,
    )
    load = ContendedLoad(made, seed, 1.0, SHARED_MIX, everyone)
    _fill(load, 6)
    if hot_factor > 1:
        load.flood(everyone[0], hot_factor, *HOT_MS)
    made.run_until(SECONDS * 1000 + 14_000)
    return made


def play_uneven(seed):
    """Play a day on workers of which a third is slow."""
    records = _records(UNEVEN_CPU, 4 * UNEVEN_CPU, 8, 4)
    slowness = {
        record.target_id: SLOWNESS[n % len(SLOWNESS)]
        for n, record in enumerate(records)
    }
    made = virtual_cell.VirtualCell(
        UNEVEN_QUEUES,
        records,
        helpers=HELPERS,
        permitted_shares=cell_bench.PERMITTED_SHARES,
        seed=seed,
        slowness=slowness,
    )
    load = ContendedLoad(made, seed, 1.0, UNEVEN_MIX)
    load.tail_share = TAIL_SHARE
    _fill(load, 6)
    made.run_until(SECONDS * 1000 + 14_000)
    return made


def _fill(load, services):
    for _service in range(services):
        load.serve_from_start()
    load.arrivals(SECONDS, 2.0, 1.8)


def _records(cpu_millis, memory_mb, rack_size, domains):
    kinds = ("a", "a", "b")
    records = []
    for n in range(WORKERS):
        size = SIZES[n % len(SIZES)]
        record = virtual_parts.worker(
            n,
            int(cpu_millis * size),
            int(memory_mb * size),
            f"r{n // rack_size}",
            domain=f"d{n % domains}",
        )
        labels = [kinds[n % len(kinds)], record.labels[-1]]
        records.append(record._replace(labels=labels))
    return records


def worth(made, may_count=lambda job_id: True):
    """The share of the jobs' worth that was earned, by queue; only timed jobs."""
    owed, earned = collections.Counter(), collections.Counter()
    for job_id, queue_name in made.timed_jobs():
        if may_count(job_id):
            outcome = made.outcome_of(job_id)
            owed[queue_name] += 1
            earned[queue_name] += {
                virtual_cell.ON_TIME: 1,
                virtual_cell.LATE: LATE_WORTH,
            }.get(outcome, 0)
    return {name: earned[name] / owed[name] for name in sorted(owed)}


def report(name, made):
    """Print one line of figures, with the worth of others than the largest customer."""
    of_others = lambda job_id: made.customer_of(job_id) != "c0"
    values = ", ".join(f"{queue} {value:.3f}" for queue, value in worth(made).items())
    others = ", ".join(
        f"{queue} {value:.3f}" for queue, value in worth(made, of_others).items()
    )
    print(
        f"{name}: worth {values}; without the largest customer {others}; "
        f"{made.starts} starts, {made.stops} preempted, {made.queries} queries, "
        f"{len(made.refusals)} jobs refused, "
        f"{1000 * made.cpu_s / max(1, made.starts):.2f} ms CPU/start, "
        f"{time.process_time():.0f} s"
    )
