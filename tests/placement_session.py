"""A cell of workers that carries out a scheduler's decisions and checks invariants.

The log is the session as text: its inputs and the scheduler's decisions. After each
tick the invariants are checked against the session's own records, not the scheduler's:
no worker exceeds its capacity, no task runs in two places, gangs are placed in full,
and no start exceeds a quota.
"""

import collections
import itertools
import random

from alderreach.core.generated import common
from alderreach.decisions import resources, scheduler

SMALL = common.Resources(1000, 1024, 0)
WORKER = common.Resources(8000, 8192, 0)
PLENTY = common.Resources(10**9, 10**9, 10**6)


def make_job(job_id, tasks=1, kind="batch", team="a", task=SMALL, **other):
    """Return a job with defaults for all fields that are not given."""
    fields = dict.fromkeys(common.Job._fields, "")
    fields.update(job_id=job_id, tasks=tasks, kind=kind, team=team, task=task)
    fields.update(priority=3, when_cut_off="move", checkpoint=False)
    fields.update(expected_run_ms=0, submitted_wall_ms=0)
    return common.Job(**(fields | other))


class Session:
    """A scheduler and the cell that it places tasks on."""

    def __init__(self, seed=1, teams=("a", "b")):
        self.scheduler = scheduler.Scheduler(random.Random(seed))
        self.now_ms = 0
        self.log = []
        self.workers = {}
        self.racks = {}
        self.quotas = {}
        self.jobs = {}
        self.running = {}
        self.allocated = {}
        self.stopping = {}
        self.attempts = {}
        self.ended = {}
        self.cancelled = set()
        self.finished = collections.Counter()
        self.first_start_ms = {}
        self.impossible = {}
        for name in teams:
            self.set_team(name)

    def log_line(self, text):
        """Add a line to the log."""
        self.log.append(f"{self.now_ms / 1000:7.1f} s  {text}")

    def set_team(self, name, quota=PLENTY, weight=1, objective="packing"):
        """Declare or change a team."""
        self.quotas[name] = quota
        self.scheduler.set_team(common.Team(name, quota, weight, objective))

    def add_workers(self, number, capacity=WORKER, racks=2, prefix="w"):
        """Add workers w0, w1, ... and assign them to racks r0, r1, ... in turn."""
        for each in range(number):
            self.add_worker(f"{prefix}{each}", f"r{each % racks}", capacity)
        self.log_line(f"{number} workers {prefix}* with {resources.describe(capacity)}")
        return self

    def add_worker(self, worker_id, rack, capacity):
        """Add one worker."""
        self.workers[worker_id] = capacity
        self.racks[worker_id] = rack
        self.scheduler.add_worker(worker_id, f"vm-{worker_id}", rack, capacity)

    def lose(self, *worker_ids, outcome="lost"):
        """Remove workers and report their tasks as lost, or as ``outcome``."""
        self.log_line(f"lost: {_ranges(worker_ids)}")
        for worker_id in worker_ids:
            del self.workers[worker_id]
            self.scheduler.remove_worker(worker_id)
        for task_id, (worker_id, _) in list(self.running.items()):
            if worker_id in worker_ids:
                self.end(task_id, outcome)

    def submit(self, job_id, tasks=1, kind="batch", **other):
        """Submit a job."""
        job = make_job(job_id, tasks, kind, **other)
        self.jobs[job_id] = job
        self.log_line(
            f"{job.team} submits {kind} {job_id}: {tasks} of {_describe(job.task)}"
        )
        self.scheduler.submit(job, self.now_ms)

    def cancel(self, job_id):
        """Cancel a job."""
        self.cancelled.add(job_id)
        self.scheduler.cancel(job_id, self.now_ms)

    def end(self, task_id, outcome="finished"):
        """End a running task."""
        _, attempt = self.running.pop(task_id)
        self.stopping.pop(task_id, None)
        self.ended[task_id] = (attempt, outcome)
        self.finished[job_of(task_id)] += outcome == "finished"
        self.scheduler.task_ended(task_id, attempt, outcome, self.now_ms)

    def end_all(self, outcome="finished", job_id=None, worker_id=None):
        """End all running tasks, or only those of a job or on a worker."""
        for task_id, (where, _) in list(self.running.items()):
            if job_id in (None, job_of(task_id)) and worker_id in (None, where):
                self.end(task_id, outcome)

    def end_stopped(self):
        """End all tasks that the scheduler decided to stop."""
        for task_id, end_kind in list(self.stopping.items()):
            self.end(task_id, "checkpointed" if end_kind == "checkpoint" else "stopped")

    def tick(self, after_ms=100, budget=1000):
        """Advance time, apply the scheduler's decisions, check the invariants."""
        self.now_ms += after_ms
        decisions = self.scheduler.tick(self.now_ms, budget)
        starts = [each for each in decisions if isinstance(each, scheduler.Start)]
        for decision in decisions:
            self._apply(decision)
        self._check_capacity()
        self._check_gangs(starts)
        self._log_decisions(decisions)
        return decisions

    def take_over(self, seed):
        """Replace the scheduler by one restored from records in random order."""
        rng = random.Random(seed)
        self.log_line("takeover")
        previous = self.scheduler
        successor = self.scheduler = scheduler.Scheduler(rng)
        self.stopping.clear()
        steps = [(successor.submit, (job, self.now_ms)) for job in self.jobs.values()]
        for task_id, (worker_id, attempt) in self.running.items():
            steps.append(
                (successor.restore, (task_id, attempt, job_of(task_id), worker_id))
            )
        rng.shuffle(steps)
        for name, quota in self.quotas.items():
            successor.set_team(common.Team(name, quota, 1, "packing"))
        # Workers are added last: none gets a task before its own tasks are restored.
        for worker_id, capacity in self.workers.items():
            rack = self.racks[worker_id]
            steps.append((successor.add_worker, (worker_id, "vm", rack, capacity)))
        for call, arguments in steps:
            call(*arguments)
        for task_id, (attempt, outcome) in self.ended.items():
            if task_id not in self.running:
                successor.task_ended(task_id, attempt, outcome, self.now_ms)
        for job_id in self.jobs:
            successor.restore_losses(job_id, previous.losses_of(job_id))
        for job_id in self.cancelled:
            successor.cancel(job_id, self.now_ms)

    def tasks_on(self, worker_id):
        """Return the ids of the tasks on a worker."""
        return [task for task, (where, _) in self.running.items() if where == worker_id]

    def tasks_of(self, job_id):
        """Return the ids of the running tasks of a job."""
        return [task for task in self.running if job_of(task) == job_id]

    def allocated_to(self, tasks):
        """Return the total resources that are allocated to some tasks."""
        total = resources.NOTHING
        for task_id in tasks:
            total = resources.plus(total, self.allocated[task_id])
        return total

    def _apply(self, decision):
        if isinstance(decision, scheduler.Impossible):
            self.impossible[decision.job_id] = decision.reason
        elif isinstance(decision, scheduler.Stop):
            where, attempt = self.running[decision.task_id]
            assert (where, attempt) == (decision.worker_id, decision.attempt)
            assert decision.task_id not in self.stopping, "stopped twice"
            self.stopping[decision.task_id] = decision.how
        else:
            self._apply_start(decision)

    def _apply_start(self, start):
        task_id = start.task_id
        assert task_id not in self.running, f"{task_id} runs twice"
        assert start.attempt > self.attempts.get(task_id, 0), (
            "attempt does not increase"
        )
        assert start.worker_id in self.workers, "started on a lost worker"
        self.attempts[task_id] = start.attempt
        self.running[task_id] = (start.worker_id, start.attempt)
        self.allocated[task_id] = start.task
        declared = self.jobs[start.job_id].task
        assert resources.fits(start.task, declared), "allocated more than declared"
        self.first_start_ms.setdefault(start.job_id, self.now_ms)
        team = self.jobs[start.job_id].team
        mine = [task for task in self.running if self.jobs[job_of(task)].team == team]
        assert resources.fits(self.allocated_to(mine), self.quotas[team]), (
            "above the quota"
        )

    def _check_capacity(self):
        tasks_by_worker = collections.defaultdict(list)
        for task_id, (worker_id, _) in self.running.items():
            tasks_by_worker[worker_id].append(task_id)
        for worker_id, tasks in tasks_by_worker.items():
            capacity = self.workers.get(worker_id, PLENTY)
            assert resources.fits(self.allocated_to(tasks), capacity), (
                f"{worker_id} too full"
            )

    def _check_gangs(self, starts):
        for job_id in {each.job_id for each in starts}:
            job = self.jobs[job_id]
            if job.kind != "gang":
                continue
            done = self.scheduler.job_status(job_id).finished
            assert len(self.tasks_of(job_id)) + done == job.tasks, (
                f"{job_id} is half placed"
            )

    def _log_decisions(self, decisions):
        for key, group in itertools.groupby(decisions, _group):
            tasks = [each.task_id.rpartition("/")[2] for each in group if key[0] != "!"]
            if key[0] == "!":
                self.log_line(f"  impossible {key[1]}: {key[2]}")
            else:
                self.log_line(f"  {key[0]} {key[1]} on {key[2]}: {' '.join(tasks)}")


def job_of(task_id):
    """Return the job of a task."""
    return task_id.rpartition("/")[0]


def _group(decision):
    if isinstance(decision, scheduler.Impossible):
        return "!", decision.job_id, decision.reason
    end_kind = getattr(decision, "how", "start")
    return end_kind, job_of(decision.task_id), decision.worker_id


def _describe(amount):
    return resources.describe(amount)


def _ranges(names):
    return " ".join(names) if len(names) <= 8 else f"{len(names)} workers"
