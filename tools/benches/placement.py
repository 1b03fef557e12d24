"""Bench: cost of placement by size, packing, waiting times against baselines, memory.

Times are processor times, since other processes may run on the machine.

Run one part with ``python tools/bench.py placement`` and PLACEMENT_PARTS=cost,packing,
waiting,memory (all by default). The sweeps are ``placement_sweeps``.
"""

import gc
import os
import random
import time
import tracemalloc

from hdrh.histogram import HdrHistogram

from alderreach.core.generated import common
from tools.benches import _placement_cell as cells

SIZES = (24, 240, 2_400, 10_000)
CPU_MILLIS = (500, 1_000, 2_000, 4_000)
MEMORY_MB = (512, 1_024, 4_096, 8_192)
PARTS = ("cost", "packing", "waiting", "memory")


def main():
    chosen = os.environ.get("PLACEMENT_PARTS", ",".join(PARTS)).split(",")
    for part in PARTS:
        if part in chosen:
            print(f"-- {part}")
            globals()[f"measure_{part}"]()


def random_task(rng):
    return common.Resources(rng.choice(CPU_MILLIS), rng.choice(MEMORY_MB), 0)


class Churn:
    """A cell that is kept nearly full: as random tasks end, new jobs are submitted."""

    def __init__(self, workers, objective="packing", fill=0.9, seed=2):
        self.rng = random.Random(seed)
        self.made = cells.make_scheduler(workers, objective=objective)
        self.running = []
        self.number = 0
        self.now_ms = 0
        self.cost_s = 0.0
        remaining_millis = workers * cells.WORKER.cpu_millis * fill
        while remaining_millis > 0:
            remaining_millis -= self.submit(200 if workers > 1_000 else 20)
        while self.tick(2_000):
            pass
        self.cost_s = 0.0

    def submit(self, tasks):
        self.number += 1
        task = random_task(self.rng)
        team = f"t{self.rng.randrange(73)}"
        job = cells.make_job(f"j{self.number}", tasks, "batch", team, task)
        began_s = time.process_time()
        self.made.submit(job, self.now_ms)
        self.cost_s += time.process_time() - began_s
        return tasks * task.cpu_millis

    def end(self, number):
        for _ in range(min(number, len(self.running))):
            place = self.rng.randrange(len(self.running))
            self.running[place], self.running[-1] = (
                self.running[-1],
                self.running[place],
            )
            start = self.running.pop()
            began_s = time.process_time()
            self.made.task_ended(start.task_id, start.attempt, "finished", self.now_ms)
            self.cost_s += time.process_time() - began_s

    def tick(self, budget):
        self.now_ms += cells.TICK_MS
        began_s = time.process_time()
        decisions = self.made.tick(self.now_ms, budget)
        self.cost_s += time.process_time() - began_s
        self.running.extend(d for d in decisions if hasattr(d, "task"))
        return len(decisions)


def measure_cost():
    """Placements/s in ticks of 89 and 500 tasks, and the cost of single decisions."""
    print("workers  placements/s (89 a tick)  (500 a tick)  decision p50/p99/max us")
    for workers in SIZES:
        rates = [churn_rate(workers, tasks) for tasks in (89, 500)]
        p50, p99, most = decision_us(workers)
        print(
            f"{workers:7}  {rates[0]:24,.0f}  {rates[1]:12,.0f}"
            f"  {p50:.0f} / {p99:.0f} / {most:.0f}"
        )


def churn_rate(workers, tasks, ticks=60):
    """Placements per second, including the cost of submissions and ends."""
    churn = Churn(workers)
    placed = 0
    gc.disable()
    for _ in range(ticks):
        churn.end(tasks)
        for _ in range(tasks // 4):
            churn.submit(4)
        placed += churn.tick(2 * tasks)
    gc.enable()
    return placed / churn.cost_s


def decision_us(workers, ticks=3_000):
    """p50, p99 and maximum cost of ticks with one decision each, in microseconds."""
    churn = Churn(workers)
    histogram = HdrHistogram(1, 60_000_000, 3)
    for _ in range(ticks):
        churn.end(1)
        churn.submit(1)
        before_s = churn.cost_s
        placed = churn.tick(1)
        if placed:
            histogram.record_value(int((churn.cost_s - before_s) * 1e6))
    return (
        histogram.get_value_at_percentile(50),
        histogram.get_value_at_percentile(99),
        histogram.get_max_value(),
    )


def measure_packing():
    """Share of processors and memory in use when the first task has to wait."""
    for workers in (24, 240):
        print(
            f"{workers} workers: share of cpu + memory in use at the first wait, of 5"
        )
        for name in ("first fit", "packing", "waiting"):
            shares = [packed_share(name, workers, seed) for seed in range(5)]
            print(f"  {name:10} mean {sum(shares) / 5:.3f}, worst {min(shares):.3f}")
        bound = [demand_bound(workers, seed) for seed in range(5)]
        print(f"  sum of demands (bound) mean {sum(bound) / 5:.3f}")


def packed_share(name, workers, seed):
    if name == "first fit":
        made = cells.FirstFit(strict=True)
        cells.add_workers(made, workers)
    else:
        made = cells.make_scheduler(workers, 1, objective=name, seed=seed)
    rng = random.Random(seed)
    used = [0, 0]
    for number in range(10**6):
        task = random_task(rng)
        made.submit(cells.make_job(f"j{number}", 1, "batch", "t0", task), number)
        if not any(made.tick(number, 100) for _ in range(1)):
            break
        used = [used[0] + task.cpu_millis, used[1] + task.memory_mb]
    return share_of(used, workers)


def demand_bound(workers, seed):
    rng = random.Random(seed)
    used = [0, 0]
    while True:
        task = random_task(rng)
        after = [used[0] + task.cpu_millis, used[1] + task.memory_mb]
        if (
            max(after[0] / cells.WORKER.cpu_millis, after[1] / cells.WORKER.memory_mb)
            > workers
        ):
            return share_of(used, workers)
        used = after


def share_of(used, workers):
    cpu = used[0] / (workers * cells.WORKER.cpu_millis)
    memory = used[1] / (workers * cells.WORKER.memory_mb)
    return (cpu + memory) / 2


def measure_waiting():
    """Waiting times by class at loads of 0.8 and 1.1 of the cell, 20 minutes each."""
    for load in (0.8, 1.1):
        print(f"load {load}: waiting p50 / p99 / max in s; share of processors in use")
        for name in ("FIFO first fit", "FIFO skipping", "alderreach"):
            print(f"  {name:15}", show_waits(play(name, load)))


def show_waits(played):
    waits = played.waits_so_far_ms()
    parts = []
    for label in ("urgent", "gang", "batch"):
        values = waits.get(label, [])
        figures = [cells.percentile(values, share) for share in (0.5, 0.99, 1.0)]
        parts.append(f"{label} " + " / ".join(f"{f / 1000:.1f}" for f in figures))
    used = played.used_share_sum / played.ticks
    lost = played.lost_ms / 1000
    return ", ".join(parts) + f"; {used:.3f} in use, {lost:.0f} s of work lost"


def play(name, load, minutes=20, workers=100, seed=3):
    """Simulate a mix of small batch tasks, gangs of 32 to 640 tasks and urgent jobs."""
    if name == "alderreach":
        made = cells.make_scheduler(workers, 8)
    else:
        made = cells.FirstFit(strict=name == "FIFO first fit")
        cells.add_workers(made, workers)
    capacity = workers * cells.WORKER.cpu_millis
    played = cells.Simulation(made, capacity)
    rng = random.Random(seed)
    arrivals = Arrivals(rng, capacity * load)
    for _ in range(minutes * 60_000 // cells.TICK_MS):
        for label, job, run_ms in arrivals.due(played.now_ms):
            played.submit(label, job, run_ms)
        played.step()
    return played


class Arrivals:
    """Poisson arrivals: 60% of the load small tasks, 35% gangs, 5% urgent jobs."""

    MIX = (("batch", 0.60), ("gang", 0.35), ("urgent", 0.05))

    def __init__(self, rng, load_millis):
        self._rng = rng
        self._load = load_millis
        self._next_ms = {label: 0.0 for label, _ in self.MIX}
        self._number = 0

    def due(self, now_ms):
        for label, share in self.MIX:
            while self._next_ms[label] <= now_ms:
                job, run_ms = self._make(label)
                work = job.tasks * job.task.cpu_millis * run_ms
                mean_ms = work / (self._load * share)
                self._next_ms[label] += self._rng.expovariate(1 / mean_ms)
                yield label, job, run_ms

    def _make(self, label):
        rng = self._rng
        self._number += 1
        name, team = f"{label}{self._number}", f"t{rng.randrange(8)}"
        if label == "batch":
            run_ms = int(rng.lognormvariate(10.5, 1))
            # Declared run times are off by up to a factor of ten in both directions.
            declared_ms = int(run_ms * 10 ** rng.uniform(-1, 1))
            tasks, task = rng.randrange(1, 40), random_task(rng)
            checkpoint = rng.random() < 0.5
            job = cells.make_job(
                name, tasks, "batch", team, task, 3, checkpoint, declared_ms
            )
            return job, run_ms
        if label == "gang":
            task = common.Resources(2_000, 2_048, 0)
            tasks = rng.choice((32, 64, 128, 640))
            return cells.make_job(name, tasks, "gang", team, task), 60_000
        task = common.Resources(4_000, 4_096, 0)
        return cells.make_job(name, 8, "batch", team, task, 9), 15_000


def measure_memory():
    """Bytes per worker, waiting task, waiting job and running task."""
    for workers in (1_000, 5_000, 10_000):
        used = traced(lambda n=workers: cells.make_scheduler(n))
        print(f"{workers} workers: {used / workers:.0f} bytes per worker")
    for tasks in (10_000, 50_000, 100_000):
        print(f"{tasks} tasks: " + memory_of_tasks(tasks))


def traced(make):
    gc.collect()
    tracemalloc.start()
    kept = make()
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return used


def memory_of_tasks(tasks):
    task = common.Resources(100, 100, 0)
    one = cells.make_scheduler(1)
    waiting = traced(
        lambda: one.submit(cells.make_job("j", tasks, "batch", "t0", task), 0)
    )
    many = cells.make_scheduler(1)
    jobs = [
        cells.make_job(f"j{number}", 1, "batch", "t0", task) for number in range(tasks)
    ]
    waiting_jobs = traced(lambda: [many.submit(job, 0) for job in jobs])
    full = cells.make_scheduler(max(1, tasks // 100))
    full.submit(cells.make_job("j", tasks, "batch", "t0", task), 0)
    running = traced(lambda: [full.tick(n, 10_000) and None for n in range(60)])
    return (
        f"{waiting / tasks:.2f} bytes per waiting task of one job,"
        f" {waiting_jobs / tasks:.0f} per waiting job of one task,"
        f" {running / tasks:.0f} per running task"
    )


if __name__ == "__main__":
    main()
