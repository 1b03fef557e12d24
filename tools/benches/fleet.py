"""Bench: the leader's processor time for decisions as the size of a cell grows.

The load is urgent short jobs, wide plans that save their progress, and services, on
nearly full workers of 64 processors, with bursts that leave a backlog of plans. Jobs
and helpers grow with the number of workers, so the CPU time per start shows any cost
that grows faster than the number of starts.

Run with ``python tools/bench.py fleet``; FLEET_WORKERS=27,270 takes some sizes only,
and FLEET_CUSTOMERS=20,1000 parts the work among so many customers with caps.
"""

import itertools
import os

from alderreach.core.generated import cell
from tools import virtual_cell, virtual_parts
from tools.benches import cell as cell_bench

SIZES = (27, 135, 270, 540, 1080)
SECONDS = 14
# The number of workers for which the load below is defined.
REFERENCE_WORKERS = 270
HELPERS_PER_WORKER = 0.38
DOMAINS = 6
RACK = 20
URGENT = {"work_ms": 1_000, "width": 6, "cpu": 14_000, "steps": 1.6, "memory": 26_000}
PLAN = {"work_ms": 3_800, "width": 20, "cpu": 18_000, "steps": 2.0, "memory": 33_000}
SERVICE = {
    "work_ms": 10**9, "width": 20, "cpu": 18_000, "steps": 1.0, "memory": 25_000
}  # fmt: skip
MIX = cell_bench.Mix(URGENT, PLAN, SERVICE, 23.5, 3.67, 0.255)
SERVICES_AT_START = 12
# The caps of all customers together, as a share of the workers' capacity.
CAPS_SHARE = 1.2


def queues():
    """The queues of the cell bench, with rules that are slower for more workers."""
    queue = virtual_parts.queue
    quick = cell.PermissionRule(43, 0.61, 2_500)
    slow = cell.PermissionRule(560, 8.0, 2_500)
    return [
        queue("urgent", 0, 1.5, 250, permission=quick),
        queue("watch", 1, 2.2, 2_500, permission=slow),
        queue("plan", 2, 2.2, 1_200, permission=slow),
    ]


def customers(records, number):
    """So many customers, of which a few are large; None for 0."""
    if not number:
        return None
    weights = [1 / (1 + position) for position in range(number)]
    totals = [
        CAPS_SHARE * sum(record.capacity[kind] for record in records) / sum(weights)
        for kind in (0, 1)
    ]
    return [
        virtual_parts.customer(
            f"c{position}", int(weight * totals[0]), int(weight * totals[1]), weight
        )
        for position, weight in enumerate(weights)
    ]


def play(workers, seed=1, seconds=SECONDS, customer_count=0):
    """Simulate one day on ``workers`` workers; returns the VirtualCell."""
    sizes = (64_000, 64_000, 32_000, 128_000)
    records = [
        virtual_parts.worker(
            n,
            sizes[n % 4],
            2 * sizes[n % 4],
            f"r{n // RACK}",
            domain=f"d{n % DOMAINS}",
        )
        for n in range(workers)
    ]
    configured = customers(records, customer_count)
    made = virtual_cell.VirtualCell(
        queues(),
        records,
        helpers=max(6, round(HELPERS_PER_WORKER * workers)),
        permitted_shares=cell_bench.PERMITTED_SHARES,
        seed=seed,
        customers=configured,
    )
    scale = workers / REFERENCE_WORKERS
    load = cell_bench.Load(made, seed, scale, MIX, configured or ())
    for _ in range(max(1, round(SERVICES_AT_START * scale))):
        load.serve_from_start()
    load.arrivals(seconds, urgent_burst=2.0, plan_burst=1.8)
    made.run_until(seconds * 1000)
    return made


def main():
    chosen = os.environ.get("FLEET_WORKERS", "")
    sizes = [int(size) for size in chosen.split(",")] if chosen else SIZES
    counts = os.environ.get("FLEET_CUSTOMERS", "0").split(",")
    for workers, count in itertools.product(sizes, map(int, counts)):
        made = play(workers, customer_count=count)
        cell_bench.row(f"{workers} workers, {count} customers", made)
        busiest_s = max(made.cpu_by_second.values())
        print(f"    busiest second {busiest_s:.2f} s of processor time")
