"""A cell on a virtual clock for the placement bench, and the baselines to compare with.

A baseline implements the part of the scheduler's interface that the bench uses:

- ``FirstFit(strict=True)``: first in, first out; a job that doesn't fit blocks all jobs
  behind it; a task goes to the first worker that it fits on.
- ``FirstFit(strict=False)``: the same, but jobs that don't fit are skipped.
"""

import collections
import heapq
import itertools
import random

from alderreach.core.generated import common
from alderreach.decisions import actions, resources, scheduler

PLENTY = common.Resources(10**9, 10**9, 10**6)
WORKER = common.Resources(32_000, 65_536, 0)
TICK_MS = 100
STOP_DURATION_MS = 1_000
BUDGET = 500


def make_job(job_id, tasks, kind, team, task, priority=3, checkpoint=True, run_ms=0):
    return common.Job(
        job_id,
        team,
        "",
        kind,
        "",
        task,
        tasks,
        priority,
        "move",
        checkpoint,
        run_ms,
        "",
        0,
        "",
    )


def make_scheduler(workers, teams=73, objective="packing", capacity=WORKER, seed=1):
    made = scheduler.Scheduler(random.Random(seed))
    for number in range(teams):
        made.set_team(common.Team(f"t{number}", PLENTY, 1, objective))
    add_workers(made, workers, capacity)
    return made


def add_workers(made, workers, capacity=WORKER):
    for number in range(workers):
        made.add_worker(f"w{number}", f"v{number}", f"r{number // 6}", capacity)


class FirstFit:
    """First in, first out; each task goes to the first worker that it fits on."""

    def __init__(self, strict):
        self._strict = strict
        self._free = {}
        self._waiting = collections.OrderedDict()
        self._running = {}

    def add_worker(self, worker_id, _vm, _rack, capacity):
        self._free[worker_id] = capacity

    def submit(self, job, _now_ms):
        self._waiting[job.job_id] = [job, 0]

    def task_ended(self, task_id, _attempt, _outcome, _now_ms):
        worker_id, demand = self._running.pop(task_id)
        self._free[worker_id] = resources.plus(self._free[worker_id], demand)

    def tick(self, _now_ms, budget):
        decisions = []
        for job_id, entry in list(self._waiting.items()):
            if len(decisions) >= budget:
                break
            job, started = entry
            placed = self._place(job, started, decisions)
            entry[1] += placed
            if entry[1] == job.tasks:
                del self._waiting[job_id]
            elif self._strict:
                break
        return decisions

    def _place(self, job, started, decisions):
        chosen = []
        for worker_id, free in self._free.items():
            copies = min(
                resources.copies(job.task, free), job.tasks - started - len(chosen)
            )
            chosen.extend([worker_id] * copies)
            if len(chosen) == job.tasks - started:
                break
        if job.kind == "gang" and len(chosen) < job.tasks:
            return 0
        for number, worker_id in enumerate(chosen, started):
            task_id = f"{job.job_id}/{number}"
            self._free[worker_id] = resources.minus(self._free[worker_id], job.task)
            self._running[task_id] = (worker_id, job.task)
            decisions.append(actions.Start(task_id, 1, job.job_id, worker_id, job.task))
        return len(chosen)


class Simulation:
    """Simulates arrivals and run times with a scheduler on a virtual clock."""

    def __init__(self, made, capacity_cpu_millis):
        self.made = made
        self.now_ms = 0
        self.waits_ms = collections.defaultdict(list)
        self.lost_ms = 0
        self.used_share_sum = 0.0
        self.ticks = 0
        self.stops = 0
        self._capacity = capacity_cpu_millis
        self._used = 0
        self._ends = []
        self._jobs = {}
        self._remaining_ms = {}
        self._started = {}
        self._sequence = itertools.count()

    def submit(self, label, job, run_ms):
        """Submit a job whose tasks run for ``run_ms``; waits are kept by label."""
        self._jobs[job.job_id] = (label, job, run_ms, self.now_ms)
        self.made.submit(job, self.now_ms)

    def step(self):
        """Advance the time by one tick."""
        self.now_ms += TICK_MS
        while self._ends and self._ends[0][0] <= self.now_ms:
            _, _, task_id, attempt, outcome = heapq.heappop(self._ends)
            self._end(task_id, attempt, outcome)
        for decision in self.made.tick(self.now_ms, BUDGET):
            if isinstance(decision, actions.Start):
                self._start(decision)
            elif isinstance(decision, actions.Stop):
                self._stop(decision)
        self.used_share_sum += self._used / self._capacity
        self.ticks += 1

    def waits_so_far_ms(self):
        """Return the waits by label, including those of tasks that still wait."""
        waits = {label: list(values) for label, values in self.waits_ms.items()}
        for job_id, (label, job, _, submitted_ms) in self._jobs.items():
            for number in range(job.tasks):
                if f"{job_id}/{number}" not in self._remaining_ms:
                    waits.setdefault(label, []).append(self.now_ms - submitted_ms)
        return waits

    def _start(self, start):
        label, job, run_ms, submitted_ms = self._jobs[start.job_id]
        if start.task_id not in self._remaining_ms:
            self._remaining_ms[start.task_id] = run_ms
            self.waits_ms[label].append(self.now_ms - submitted_ms)
        self._used += job.task.cpu_millis
        self._started[start.task_id] = (start.attempt, self.now_ms)
        due_ms = self.now_ms + self._remaining_ms[start.task_id]
        self._push(due_ms, start.task_id, start.attempt, "finished")

    def _stop(self, stop):
        self.stops += 1
        outcome = "checkpointed" if stop.how == "checkpoint" else "stopped"
        self._push(self.now_ms + STOP_DURATION_MS, stop.task_id, stop.attempt, outcome)

    def _push(self, due_ms, task_id, attempt, outcome):
        event = (due_ms, next(self._sequence), task_id, attempt, outcome)
        heapq.heappush(self._ends, event)

    def _end(self, task_id, attempt, outcome):
        current = self._started.get(task_id)
        if current is None or current[0] != attempt:
            return
        del self._started[task_id]
        job_id = task_id.rpartition("/")[0]
        job = self._jobs[job_id][1]
        self._used -= job.task.cpu_millis
        ran_ms = self.now_ms - current[1]
        if outcome == "checkpointed":
            self._remaining_ms[task_id] = max(0, self._remaining_ms[task_id] - ran_ms)
        elif outcome == "stopped":
            self.lost_ms += ran_ms
        self.made.task_ended(task_id, attempt, outcome, self.now_ms)


def percentile(values, share):
    """Return the value below which ``share`` of the values lie."""
    ordered = sorted(values) or [0]
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
