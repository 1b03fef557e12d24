"""What runs where, what waits and what it holds: the state that the policies share.

Load: starts and ends by the thousand a second, takeovers in which tasks are announced
before their jobs are known, workers that vanish and return with their tasks running.
If each policy kept its own count, one missed end would hand out the same processor
twice. Here one pair of methods, ``hold`` and ``release``, moves all counts together.

A run whose worker is unknown is *homeless*: it keeps its place until its end is
reported, and holds its room again as soon as the worker is taken up. A run whose job is
unknown is an *orphan*: what it holds can't be known, so its worker takes no work.
"""

import collections
import heapq
import itertools

from alderreach.core.generated import common
from alderreach.decisions import actions, backlog, jobs, pool, quotas, resources

# After a takeover the other tasks of a gang are announced within seconds; what is still
# missing then is gone, and the gang has to start again as a whole.
REGROUP_AFTER_MS = 10_000


class State:
    """The state of one failure domain."""

    def __init__(self, random):
        self.random = random
        self.cell = pool.Pool(random)
        self.ledger = quotas.Ledger()
        self.backlog = backlog.Backlog(self.cell, self.ledger.stop_saving)
        self.jobs = {}
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
        """Let a job's waiting tasks be placed, unless something holds the job back."""
        if job.cancelled or job.parked or job.not_before_ms > self.now_ms:
            return
        if job.limit and len(job.runs) >= job.limit:
            return
        if job.is_gang() and job.runs:
            return
        self.backlog.add(job, first)

    def schedule_review(self, due_ms, job):
        """Have a job looked at again at ``due_ms``."""
        heapq.heappush(self._reviews, (due_ms, next(self._sequence), job))

    def due_reviews(self, limit):
        """Yield the jobs that are due to be looked at, at most ``limit``."""
        for _ in range(limit):
            if not self._reviews or self._reviews[0][0] > self.now_ms:
                return
            yield heapq.heappop(self._reviews)[2]

    def start(self, job, worker):
        """Start the next waiting task of a job on a worker with room for it."""
        demand = job.spec.task
        if not self.cell.take(worker, demand):
            raise AssertionError(f"{worker.worker_id} has no room for {demand}")
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
        """Queue a stop of a run, once; ``first`` goes before a cancellation wave."""
        if run.stop:
            return
        run.stop = stop_kind
        if first:
            self.stops.appendleft(run)
        else:
            self.stops.append(run)

    def adopt(self, job, number, attempt, worker_id):
        """Take up a run of a known job that an earlier owner started."""
        if number in job.runs:
            return
        if number < job.spec.tasks and not job.cancelled:
            job.claim(number)
        run = jobs.Run(job, number, attempt, worker_id, self.now_ms)
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
        """Give back all that a run held."""
        job = run.job
        del job.runs[run.number]
        worker = self.cell.workers.get(run.worker_id)
        if worker is not None and run in worker.tasks:
            del worker.tasks[run]
            if job.pins():
                worker.pinned = resources.minus(worker.pinned, job.spec.task)
            self.cell.give_back(worker, job.spec.task)
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
        """Take up a worker with the runs that are known to be on it."""
        self.remove_worker(worker_id)
        worker = self.cell.add(worker_id, vm, rack, capacity)
        for run in self._runs_without_worker.pop(worker_id, ()):
            self.cell.charge(worker, run.job.spec.task)
            self._attach(worker, run)
        worker.uncertain = self._uncertain[worker_id]
        self.cell.reconsider(worker)
        return worker

    def remove_worker(self, worker_id):
        """Forget a worker; its runs stay until their end is reported."""
        worker = self.cell.workers.get(worker_id)
        if worker is None:
            return
        self.cell.remove(worker)
        if worker.tasks:
            self._runs_without_worker[worker_id] = worker.tasks

    def add_orphan(self, job_id, number, attempt, worker_id):
        """Note a run of a job that is not known yet."""
        orphans = self._orphans.setdefault(job_id, {})
        if number not in orphans:
            orphans[number] = (worker_id, attempt)
            self._change_uncertain(worker_id, 1)

    def adopt_orphans(self, job):
        """Take up the runs that were waiting for a job to be known."""
        orphans = self._orphans.pop(job.spec.job_id, {})
        for number, (worker_id, attempt) in orphans.items():
            self._change_uncertain(worker_id, -1)
            self.adopt(job, number, attempt, worker_id)

    def end_orphan(self, job_id, number):
        """Note the end of a run of a job that is not known."""
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
        if job.pins():
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
            self.cell.reconsider(worker)


def job_status(job, state, reason):
    """Return a job's counts as a ``common.JobStatus``, without epoch and time."""
    return common.JobStatus(
        job.spec.job_id, state, reason, len(job.runs), job.finished, job.failed, 0, 0
    )


def _increase(counts, key):
    counts[key] = counts.get(key, 0) + 1


def _decrease(counts, key):
    counts[key] = counts.get(key, 0) - 1
    if counts[key] <= 0:
        del counts[key]
