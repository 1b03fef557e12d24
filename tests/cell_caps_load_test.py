"""Load on customers at their caps, played in virtual time without a network."""

import math
import random

from alderreach.decisions.cell import preemption
from tools import virtual_cell, virtual_parts

CAP_MILLIS = 400_000
URGENT_JOBS = 40
PLANS = 24


def play_plans_beside_urgent_jobs(seed):
    """Play a customer whose plans need twice its cap, beside one without plans.

    Both send the same urgent jobs, and a quarter of the cell stays free.
    """
    rng = random.Random(seed)
    records = [
        virtual_parts.worker(n, 64_000, 256_000, f"r{n // 12}", domain=f"d{n % 4}")
        for n in range(24)
    ]
    queues = [
        virtual_parts.queue("urgent", 0, 1.5, 300),
        virtual_parts.queue("plan", 2, 2.2, 1200),
    ]
    customers = [virtual_parts.customer(name, CAP_MILLIS) for name in ("full", "light")]
    made = virtual_cell.VirtualCell(
        queues, records, customers=customers, seed=seed, restore_ms=100.0
    )

    def work(mean_ms, tasks, cpu, memory, **options):
        step = virtual_parts.step(tasks, cpu, memory, mean_ms, [], **options)
        times = [mean_ms * rng.lognormvariate(0, 0.3) for _ in range(tasks)]
        return virtual_parts.Work(step, times)

    for number in range(PLANS):
        plan = work(3800, 21, 18_000, 38_000, checkpointing=True)
        due_ms = rng.uniform(0, 12_000)
        made.submit_at(due_ms, "plan", f"plan{number}", [plan], "full")
    for number in range(URGENT_JOBS):
        due_ms = rng.uniform(1000, 20_000)
        for name in ("full", "light"):
            job = work(800, 8, 8_900, 18_000)
            made.submit_at(due_ms, "urgent", f"{name}{number}", [job], name)
    made.run_until(150_000)
    return made


def count_in_time(made, name):
    outcomes = [made.outcome_of(f"{name}{number}") for number in range(URGENT_JOBS)]
    return outcomes.count(virtual_cell.ON_TIME)


def is_completed(made, job_id):
    return made.completed_ms(job_id) is not None


def test_urgent_jobs_of_a_customer_whose_plans_fill_its_cap(monkeypatch):
    """Pattern: plans keep a customer at its cap while its own urgent jobs arrive.

    Guards against urgent jobs that wait until a plan's tasks end, though these would
    yield to the urgent jobs of any other customer.
    """
    seeds = (1, 2, 3)
    days = [play_plans_beside_urgent_jobs(seed) for seed in seeds]
    monkeypatch.setattr(preemption, "PATIENCE_MS", math.inf)
    patient_days = [play_plans_beside_urgent_jobs(seed) for seed in seeds]
    for made, patient in zip(days, patient_days, strict=True):
        assert count_in_time(made, "full") > count_in_time(patient, "full")
        assert count_in_time(made, "light") == URGENT_JOBS
        assert all(is_completed(made, f"plan{number}") for number in range(PLANS))
