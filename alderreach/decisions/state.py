"""What runs, what waits and what it holds: the state that the policies share.

Thousands of tasks start and end per second, takeovers announce tasks before their jobs
are known, and workers disappear and return with their tasks running. If each policy
kept its own counts, one missed end would give out the same processor twice. Here all
counts change together, when a run is added (``start``, ``adopt``) or ``release`` ends
it.

A run whose worker is unknown stays counted until its end is reported, and is charged to
the worker once that is added. A run whose job is unknown is an *orphan*: the resources
that it holds are unknown, so its worker takes no work.
"""

import collections
import heapq
import itertools

from alderreach.core.generated import common
from alderreach.decisions import actions, backlog, jobs, pool, quotas, resources

# After a takeover the other tasks of a gang are announced within seconds. One that is
# missing after this time no longer runs, and the gang has to start again as a whole.
REGROUP_AFTER_MS = 10_000


class State:
    """The state of one failure domain."""

    def __init__(self, random):
        self.random = random
        self.cell = pool.Pool(random)
        self.ledger = quotas.Ledger()
        self.backlog = backlog.Backlog(self.cell, self.ledger.stop_saving)
        self.jobs = {}
        # By worker that fell silent, the jobs that may have crashed it.
        self.jobs_in_doubt = {}
        self.now_ms = 0
        self.tick = 0
        self.decisions = []
        self.stops = collections.deque()
        self.normal_used = resources.NOTHING
        self.reservations = []
        self.plan_at_ms = 0
        self._reviews = []
        self._sequence = itertools.count()
        self._runs_without_worker = {}
        self._orphans = {}
        self._uncertain = collections.Counter()

    def enqueue(self, job, first=False):
        """Queue a job's waiting tasks for placement, unless the job may not start."""
        if job.cancelled or job.parked or job.not_before_ms > self.now_ms:
            return
        if job.limit and len(job.runs) >= job.limit:
            return
        if job.is_gang() and job.runs:
            return
        self.backlog.add(job, first)

    def schedule_review(self, due_ms, job):
        """Schedule a review of a job at ``due_ms``."""
        heapq.heappush(self._reviews, (due_ms, next(self._sequence), job))

    def due_reviews(self, limit):
        """Yield the jobs whose review is due, at most ``limit``."""
        for _ in range(limit):
            if not self._reviews or self._reviews[0][0] > self.now_ms:
                return
            yield heapq.heappop(self._reviews)[2]

    def start(self, job, worker):
        """Start the next waiting task of a job on a worker that has capacity for it."""
        demand = job.spec.task
        if not self.cell.allocate(worker, demand):
            raise AssertionError(f"{worker.worker_id} lacks free capacity for {demand}")
        number = job.next_task()
        attempt = job.attempts.pop(number, 0) + 1
        run = jobs.Run(job, number, attempt, worker.worker_id, self.now_ms)
        self._charge_run(run, worker)
        self._attach(worker, run)
        if not job.waiting or (job.limit and len(job.runs) >= job.limit):
            self.backlog.remove(job)
        self.decisions.append(
            actions.Start(
                run.task_id(), attempt, job.spec.job_id, worker.worker_id, demand
            )
        )
        return run

    def stop(self, run, stop_kind="stop", first=False):
        """Queue a stop of a run, once; ``first`` puts it before all queued stops."""
        if run.stop:
            return
        run.stop = stop_kind
        if first:
            self.stops.appendleft(run)
        else:
            self.stops.append(run)

    def adopt(self, job, number, attempt, worker_id, started_ms=None):
        """Add a run of a known job that an earlier owner started, by default now."""
        if number in job.runs:
            return
        if number < job.spec.tasks and not job.cancelled:
            job.claim(number)
        if started_ms is None:
            started_ms = self.now_ms
        run = jobs.Run(job, number, attempt, worker_id, started_ms)
        worker = self.cell.workers.get(worker_id)
        self._charge_run(run, worker)
        if worker is None:
            self._runs_without_worker.setdefault(worker_id, {})[run] = None
        else:
            self.cell.charge(worker, job.spec.task)
            self._attach(worker, run)
        if job.cancelled or number >= job.spec.tasks:
            self.stop(run)
        if job.is_gang() and job.waiting:
            self.schedule_review(self.now_ms + REGROUP_AFTER_MS, job)
        if not job.waiting:
            self.backlog.remove(job)

    def release(self, run):
        """Remove a run and free all that it held."""
        job = run.job
        del job.runs[run.number]
        worker = self.cell.workers.get(run.worker_id)
        if worker is not None and run in worker.tasks:
            del worker.tasks[run]
            if job.is_pinned():
                worker.pinned = resources.minus(worker.pinned, job.spec.task)
            self.cell.release(worker, job.spec.task)
        else:
            self._forget_run_without_worker(run)
        if job.is_service():
            _decrease(job.workers_used, run.worker_id)
            _decrease(job.racks_used, run.rack)
        account = self.ledger.account(job.spec.team)
        self.ledger.refund(account, job.spec.task, self.cell.total)
        if not job.is_urgent():
            self.normal_used = resources.minus(self.normal_used, job.spec.task)

    def add_worker(self, worker_id, vm, rack, capacity):
        """Add a worker with the runs that are known to be on it."""
        self.remove_worker(worker_id)
        worker = self.cell.add(worker_id, vm, rack, capacity)
        for run in self._runs_without_worker.pop(worker_id, ()):
            self.cell.charge(worker, run.job.spec.task)
            self._attach(worker, run)
        worker.uncertain = self._uncertain[worker_id]
        self.cell.reindex(worker)
        return worker

    def remove_worker(self, worker_id):
        """Remove a worker; its runs stay counted until their end is reported."""
        worker = self.cell.workers.get(worker_id)
        if worker is None:
            return
        self.cell.remove(worker)
        if worker.tasks:
            self._runs_without_worker[worker_id] = worker.tasks

    def add_orphan(self, job_id, number, attempt, worker_id):
        """Record a run of a job that is not known yet."""
        orphans = self._orphans.setdefault(job_id, {})
        if number not in orphans:
            orphans[number] = (worker_id, attempt)
            self._change_uncertain(worker_id, 1)

    def adopt_orphans(self, job):
        """Add the runs that were reported before their job was known."""
        orphans = self._orphans.pop(job.spec.job_id, {})
        for number, (worker_id, attempt) in orphans.items():
            self._change_uncertain(worker_id, -1)
            self.adopt(job, number, attempt, worker_id)

    def end_orphan(self, job_id, number):
        """Record the end of a run of a job that is not known."""
        orphans = self._orphans.get(job_id, {})
        if number in orphans:
            worker_id, _ = orphans.pop(number)
            self._change_uncertain(worker_id, -1)
        if not orphans:
            self._orphans.pop(job_id, None)

    def _charge_run(self, run, worker):
        job = run.job
        job.runs[run.number] = run
        if worker is not None:
            run.rack = worker.rack
        if job.is_service():
            _increase(job.workers_used, run.worker_id)
            _increase(job.racks_used, run.rack)
        account = self.ledger.account(job.spec.team)
        self.ledger.charge(account, job.spec.task, self.cell.total)
        if not job.is_urgent():
            self.normal_used = resources.plus(self.normal_used, job.spec.task)

    def _attach(self, worker, run):
        job = run.job
        worker.tasks[run] = None
        if job.is_pinned():
            worker.pinned = resources.plus(worker.pinned, job.spec.task)
        if job.is_service() and run.rack != worker.rack:
            _decrease(job.racks_used, run.rack)
            _increase(job.racks_used, worker.rack)
        run.rack = worker.rack

    def _forget_run_without_worker(self, run):
        runs = self._runs_without_worker.get(run.worker_id)
        if runs is None:
            return
        runs.pop(run, None)
        if not runs:
            del self._runs_without_worker[run.worker_id]

    def _change_uncertain(self, worker_id, change):
        self._uncertain[worker_id] += change
        if not self._uncertain[worker_id]:
            del self._uncertain[worker_id]
        worker = self.cell.workers.get(worker_id)
        if worker is not None:
            worker.uncertain = self._uncertain[worker_id]
            self.cell.reindex(worker)


def job_status(job, state, reason):
    """Return a job's ``common.JobStatus``, with epoch and time zero."""
    return common.JobStatus(
        job.spec.job_id, state, reason, len(job.runs), job.finished, job.failed, 0, 0
    )


def _increase(counts, key):
    counts[key] = counts.get(key, 0) + 1


def _decrease(counts, key):
    counts[key] = counts.get(key, 0) - 1
    if counts[key] <= 0:
        del counts[key]
