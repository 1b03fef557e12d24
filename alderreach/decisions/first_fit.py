"""The baseline scheduler of the benchmarks: first job, first worker with free capacity.

It has the interface of the scheduler that it is compared with, but no fairness, no
packing, no preemption and no retry delay, and it ignores how long work has waited.
"""

from alderreach.core.generated import common
from alderreach.decisions import actions

NOTHING = common.Resources(0, 0, 0)
FINAL = ("finished", "failed")
MAX_FAILURES = 3


class _Task:
    """One task of a job."""

    def __init__(self, job_id):
        self.job_id = job_id
        self.attempt = 0
        self.state = "waiting"
        self.worker_id = ""
        self.failures = 0


class _Worker:
    """One worker and its free capacity."""

    def __init__(self, capacity):
        self.capacity = capacity
        self.free = capacity
        self.open = True


def minus(left, right):
    """Subtract resources kind by kind."""
    return common.Resources(*(a - b for a, b in zip(left, right, strict=True)))


def fits(task, free):
    """Whether ``task`` fits into ``free``."""
    return all(a <= b for a, b in zip(task, free, strict=True))


class Scheduler:
    """Places jobs in order of arrival on workers in order of id."""

    def __init__(self, random):
        self._random = random
        self._workers = {}
        self._jobs = {}
        self._tasks = {}
        self._cancelled = set()
        self._stopped = set()

    def set_team(self, team):
        """Ignore quotas and weights: the baseline has none."""

    def remove_team(self, name):
        """Ignore teams."""

    def add_worker(self, worker_id, vm, rack, capacity):
        """Add an open worker; tasks already restored on it use its capacity."""
        worker = self._workers[worker_id] = _Worker(capacity)
        for task in self._tasks.values():
            if task.worker_id == worker_id:
                worker.free = minus(worker.free, self._jobs[task.job_id].task)

    def remove_worker(self, worker_id):
        """Remove a worker; ``task_ended`` reports the end of its tasks."""
        self._workers.pop(worker_id, None)

    def set_open(self, worker_id, is_open):
        """Open or close a worker for new tasks."""
        if worker_id in self._workers:
            self._workers[worker_id].open = is_open

    def submit(self, job, now_ms):
        """Add a job with all its tasks waiting."""
        self._jobs[job.job_id] = job
        for number in range(job.tasks):
            self._tasks.setdefault(f"{job.job_id}/{number}", _Task(job.job_id))

    def cancel(self, job_id, now_ms):
        """Start no more tasks of a job and stop the running ones."""
        self._cancelled.add(job_id)

    def restore(self, task_id, attempt, job_id, worker_id):
        """Record a task that already runs."""
        task = self._tasks[task_id]
        task.attempt, task.state, task.worker_id = attempt, "running", worker_id
        self._reserve(worker_id, self._jobs[job_id].task)

    def task_started(self, task_id, now_ms):
        """Record that a worker runs the task."""
        self._tasks[task_id].state = "running"

    def task_ended(self, task_id, attempt, outcome, now_ms):
        """Record how an attempt ended; any outcome but finished may be retried."""
        task = self._tasks.get(task_id)
        if task is None or (task.worker_id and task.attempt != attempt):
            return
        if not task.worker_id and outcome != "finished":
            return
        worker = self._workers.get(task.worker_id)
        if worker is not None:
            demand = self._jobs[task.job_id].task
            worker.free = minus(worker.free, minus(NOTHING, demand))
        task.worker_id = ""
        task.failures += outcome == "failed"
        given_up = task.failures >= MAX_FAILURES
        task.state = "failed" if given_up else "waiting"
        if outcome == "finished":
            task.state = "finished"

    def observe_usage(self, worker_id, usage):
        """Ignore usage: the baseline trusts what jobs declare."""

    def tick(self, now_ms, budget):
        """Return the next decisions, about ``budget`` of Start and Stop."""
        decided = []
        for job in self._jobs.values():
            if len(decided) >= budget:
                break
            if job.job_id in self._cancelled:
                decided += self._stops(job)
            else:
                decided += self._starts(job, budget - len(decided))
        return decided

    def worker_state(self, worker_id):
        """Return open or closed; the baseline has no quarantine."""
        worker = self._workers.get(worker_id)
        return "open" if worker is not None and worker.open else "closed"

    def job_status(self, job_id):
        """Return the job's JobStatus; the caller fills in epoch and time."""
        job = self._jobs[job_id]
        states = [self._tasks[f"{job_id}/{n}"].state for n in range(job.tasks)]
        running = sum(state in ("starting", "running") for state in states)
        finished, failed = states.count("finished"), states.count("failed")
        state = "running" if running or finished else "waiting"
        if finished + failed == job.tasks:
            state = "failed" if failed else "finished"
        elif job_id in self._cancelled and not running:
            state = "cancelled"
        return common.JobStatus(job_id, state, "", running, finished, failed, 0, 0)

    def _stops(self, job):
        for number in range(job.tasks):
            task_id = f"{job.job_id}/{number}"
            task = self._tasks[task_id]
            key = (task_id, task.attempt)
            if task.worker_id and key not in self._stopped:
                self._stopped.add(key)
                yield actions.Stop(task_id, task.attempt, task.worker_id, "stop")

    def _starts(self, job, budget):
        waiting = [
            f"{job.job_id}/{number}"
            for number in range(job.tasks)
            if self._tasks[f"{job.job_id}/{number}"].state == "waiting"
        ]
        chosen = []
        for task_id in waiting[: max(budget, 0)]:
            worker_id = self._find_worker(job.task)
            if worker_id is None:
                break
            self._reserve(worker_id, job.task)
            chosen.append((task_id, worker_id))
        if job.kind == "gang" and len(chosen) < len(waiting):
            for _, worker_id in chosen:
                self._reserve(worker_id, minus(NOTHING, job.task))
            return []
        return [self._start(job, *choice) for choice in chosen]

    def _start(self, job, task_id, worker_id):
        task = self._tasks[task_id]
        task.attempt += 1
        task.state, task.worker_id = "starting", worker_id
        return actions.Start(task_id, task.attempt, job.job_id, worker_id, job.task)

    def _find_worker(self, demand):
        for worker_id, worker in sorted(self._workers.items()):
            if worker.open and fits(demand, worker.free):
                return worker_id
        return None

    def _reserve(self, worker_id, demand):
        worker = self._workers.get(worker_id)
        if worker is not None:
            worker.free = minus(worker.free, demand)
