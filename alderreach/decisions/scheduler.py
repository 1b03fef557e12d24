"""Decides which task starts where: the one object that a placer drives.

A placer feeds it with what it knows (teams, workers, jobs, what runs, what ended) and
calls ``tick`` several times a second; the decisions come back as a list and count as
carried out. The clock and the random generator are passed in, so that a session can be
replayed.

>>> import random
>>> from alderreach.core.generated import common
>>> scheduler = Scheduler(random.Random(1))
>>> scheduler.tick(0, 100)
[]

Load: thousands of placements a second. ``budget`` bounds the work of one tick: each
search, start and stop costs one of it, whatever is waiting.
"""

import collections
import heapq
import typing

from alderreach.core.generated import common
from alderreach.decisions import jobs, placement, pool, quotas

# A task that failed this often is given up on: a second try survives a fault of the
# worker, a third the bad luck of meeting two of them.
FAILURES_ALLOWED = 3
STATUSES_KEPT = 10_000


class Start(typing.NamedTuple):
    """Start an attempt of a task on a worker."""

    task_id: str
    attempt: int
    job_id: str
    worker_id: str
    task: common.Resources


class Stop(typing.NamedTuple):
    """Stop an attempt; ``how`` is stop or checkpoint."""

    task_id: str
    attempt: int
    worker_id: str
    how: str


class Impossible(typing.NamedTuple):
    """A job is parked, and why."""

    job_id: str
    reason: str


class Scheduler:
    """Placement of one failure domain."""

    def __init__(self, random):
        self._random = random
        self._cell = pool.Pool(random)
        self._ledger = quotas.Ledger()
        self._backlog = jobs.Backlog(self._cell)
        self._jobs = {}
        self._done = collections.OrderedDict()
        self._orphans = {}
        self._homeless = {}
        self._uncertain = collections.Counter()
        self._stops = collections.deque()
        self._tick = 0

    def set_team(self, team):
        """Take over a ``common.Team``."""
        self._ledger.set_team(team)

    def remove_team(self, name):
        """Start nothing more for a team."""
        self._ledger.remove_team(name)

    def add_worker(self, worker_id, vm, rack, capacity):
        """Take up a worker, with the tasks that are known to run on it."""
        if worker_id in self._cell.workers:
            self.remove_worker(worker_id)
        worker = self._cell.add(worker_id, vm, rack, capacity)
        for run in self._homeless.pop(worker_id, ()):
            self._settle_in(worker, run)
        worker.uncertain = self._uncertain[worker_id]
        self._cell.reindex(worker)

    def remove_worker(self, worker_id):
        """Forget a worker; its tasks are reported as lost one by one."""
        worker = self._cell.workers.get(worker_id)
        if worker is None:
            return
        self._cell.remove(worker)
        if worker.tasks:
            self._homeless[worker_id] = worker.tasks

    def set_open(self, worker_id, is_open):
        """Let a worker take new work or not."""
        worker = self._cell.workers.get(worker_id)
        if worker is not None:
            worker.is_open = is_open
            self._cell.reindex(worker)

    def submit(self, job, now_ms):
        """Let a job wait; a service submitted again takes the new number of tasks."""
        known = self._jobs.get(job.job_id)
        if known is not None:
            self._resize(known, job)
            return
        if job.job_id in self._done:
            return
        state = self._jobs[job.job_id] = jobs.JobState(job, now_ms)
        for number, (worker_id, attempt) in self._orphans.pop(job.job_id, {}).items():
            self._mark_uncertain(worker_id, -1)
            self._adopt(state, number, attempt, worker_id, now_ms)
        self._backlog.add(state)

    def cancel(self, job_id, now_ms):
        """Let nothing more of a job start; its running tasks are stopped."""
        job = self._jobs.get(job_id)
        if job is None or job.cancelled:
            return
        job.cancelled = True
        job.waiting = 0
        self._backlog.remove(job)
        self._stops.extend(job.runs.values())
        self._close_if_done(job)

    def restore(self, task_id, attempt, job_id, worker_id):
        """Take up a task that is known to run.

        While its job is unknown, so is what it holds: its worker takes no work until
        the job is submitted or the task has ended.
        """
        number = _number(task_id)
        job = self._jobs.get(job_id)
        if job is not None:
            self._adopt(job, number, attempt, worker_id, 0)
            return
        orphans = self._orphans.setdefault(job_id, {})
        if number not in orphans:
            orphans[number] = (worker_id, attempt)
            self._mark_uncertain(worker_id, 1)

    def task_started(self, task_id, now_ms):
        """Note that a worker has taken a task."""
        run = self._run(task_id)
        if run is not None:
            run.started_ms = now_ms

    def task_ended(self, task_id, attempt, outcome, now_ms):
        """Note how an attempt ended; it surely no longer runs.

        ``outcome`` is finished, failed, lost, refused, stopped or checkpointed.
        """
        job_id, _, _ = task_id.rpartition("/")
        number = _number(task_id)
        job = self._jobs.get(job_id)
        if job is None:
            self._end_orphan(job_id, number)
            return
        run = job.runs.get(number)
        if run is None:
            self._end_waiting(job, number, attempt, outcome)
        elif run.attempt == attempt:
            self._end_run(job, run, outcome)
        self._close_if_done(job)

    def observe_usage(self, worker_id, usage):
        """Take in what a worker reports that its tasks use."""

    def tick(self, now_ms, budget):
        """Return the next decisions, at most ``budget`` of them."""
        self._tick += 1
        self._cell.refresh()
        decisions = []
        self._emit_stops(decisions, budget // 2)
        left = budget - len(decisions)
        for band in self._backlog.bands:
            left = self._place_band(band, decisions, left, now_ms)
        return decisions

    def job_status(self, job_id):
        """Return a job's ``common.JobStatus``, None if it is unknown."""
        job = self._jobs.get(job_id)
        if job is None:
            return self._done.get(job_id)
        return _status(job, "running" if job.runs else "waiting")

    def reserved(self, worker_id):
        """Return what is given out on a worker."""
        worker = self._cell.workers.get(worker_id)
        if worker is None:
            return pool.NOTHING
        return pool.minus(worker.capacity, worker.free)

    def worker_state(self, worker_id):
        """Return open, closed or quarantined."""
        worker = self._cell.workers.get(worker_id)
        if worker is None or not worker.is_open:
            return "closed"
        return "quarantined" if worker.quarantined else "open"

    def _place_band(self, band, decisions, budget, now_ms):
        """Place by the teams' shares until the budget or the runnable work is used."""
        accounts = self._ledger.account
        teams = [(accounts(name).share, name) for name in band]
        heapq.heapify(teams)
        while teams and budget > 0:
            _, name = teams[0]
            account = accounts(name)
            line = self._runnable_line(band.get(name, ()), account)
            if line is None:
                heapq.heappop(teams)
                continue
            budget -= self._place_next(line, account, decisions, now_ms)
            heapq.heapreplace(teams, (account.share, name))
        return budget

    def _runnable_line(self, lines, account):
        for line in lines:
            if line.tried_tick == self._tick or line.shape.blocked:
                continue
            if self._ledger.allows(account, line.demand):
                return line
        return None

    def _place_next(self, line, account, decisions, now_ms):
        """Try the head of a line; returns what it cost of the budget."""
        job = line.head()
        if job.is_gang():
            line.tried_tick = self._tick
            return self._place_gang(job, line, account, decisions, now_ms)
        worker = self._choose(job, line.shape, account)
        if worker is not None:
            self._start(job, worker, account, decisions, now_ms)
        return 1

    def _place_gang(self, job, line, account, decisions, now_ms):
        wanted = job.waiting
        if not self._ledger.allows(account, pool.times(line.demand, wanted)):
            return 1
        chosen = []
        tries = 0
        while len(chosen) < wanted and not line.shape.blocked:
            tries += 1
            workers = self._cell.search(line.shape)
            if workers:
                worker = placement.pack(workers, line.demand)
                self._cell.take(worker, line.demand)
                chosen.append(worker)
        for worker in chosen:
            self._cell.give_back(worker, line.demand)
        if len(chosen) == wanted:
            for worker in chosen:
                self._start(job, worker, account, decisions, now_ms)
        return tries

    def _choose(self, job, shape, account):
        if job.is_service():
            worker = placement.spread(
                self._cell,
                self._random,
                shape.demand,
                job.racks_used,
                job.workers_used,
            )
            if worker is not None:
                return worker
        roomy = account.objective == "waiting"
        workers = self._cell.search(shape, roomy)
        if not workers:
            return None
        choose = placement.relax if roomy else placement.pack
        return choose(workers, shape.demand)

    def _start(self, job, worker, account, decisions, now_ms):
        demand = job.spec.task
        if not self._cell.take(worker, demand):
            raise AssertionError(f"{worker.worker_id} has no room for {demand}")
        number = job.next_task()
        attempt = job.attempts.pop(number, 0) + 1
        run = jobs.Run(job, number, attempt, worker.worker_id, now_ms)
        worker.tasks.add(run)
        self._count_run(job, run, worker)
        self._ledger.charge(account, demand, self._cell.total)
        if not job.waiting:
            self._backlog.remove(job)
        decisions.append(
            Start(run.task_id(), attempt, job.spec.job_id, worker.worker_id, demand)
        )

    def _count_run(self, job, run, worker):
        job.runs[run.number] = run
        if not job.is_service():
            return
        racks, workers = job.racks_used, job.workers_used
        workers[run.worker_id] = workers.get(run.worker_id, 0) + 1
        if worker is not None:
            run.rack = worker.rack
            racks[run.rack] = racks.get(run.rack, 0) + 1

    def _adopt(self, job, number, attempt, worker_id, now_ms):
        """Take up a run of a known job that some other owner started."""
        if number in job.runs:
            return
        run = jobs.Run(job, number, attempt, worker_id, now_ms)
        if number < job.spec.tasks and not job.cancelled:
            job.claim(number)
        worker = self._cell.workers.get(worker_id)
        self._count_run(job, run, worker)
        account = self._ledger.account(job.spec.team)
        self._ledger.charge(account, job.spec.task, self._cell.total)
        if worker is None:
            self._homeless.setdefault(worker_id, set()).add(run)
        else:
            self._settle_in(worker, run)
        if job.cancelled or number >= job.spec.tasks:
            self._stops.append(run)
        if not job.waiting:
            self._backlog.remove(job)

    def _settle_in(self, worker, run):
        worker.tasks.add(run)
        self._cell.charge(worker, run.job.spec.task)

    def _end_orphan(self, job_id, number):
        orphans = self._orphans.get(job_id, {})
        if number in orphans:
            worker_id, _ = orphans.pop(number)
            self._mark_uncertain(worker_id, -1)
        if not orphans:
            self._orphans.pop(job_id, None)

    def _end_waiting(self, job, number, attempt, outcome):
        """Note an end that an earlier owner saw of a task that runs nowhere now."""
        if job.is_service() or number >= job.spec.tasks or not job.waiting:
            return
        if outcome == "finished":
            job.claim(number)
            job.settle(number)
            job.finished += 1
            if not job.waiting:
                self._backlog.remove(job)
        else:
            job.attempts[number] = max(attempt, job.attempts.get(number, 0))

    def _end_run(self, job, run, outcome):
        self._release(job, run)
        number = run.number
        if job.cancelled or number >= job.spec.tasks:
            return
        if outcome == "finished" and not job.is_service():
            job.finished += 1
            job.settle(number)
            return
        if outcome == "failed" and not job.is_service():
            failures = job.failures.get(number, 0) + 1
            if failures >= FAILURES_ALLOWED:
                job.failed += 1
                job.settle(number)
                return
            job.failures[number] = failures
        job.attempts[number] = run.attempt
        job.return_task(number)
        self._backlog.add(job, first=True)

    def _release(self, job, run):
        del job.runs[run.number]
        worker = self._cell.workers.get(run.worker_id)
        if worker is not None and run in worker.tasks:
            worker.tasks.discard(run)
            self._cell.give_back(worker, job.spec.task)
        elif run.worker_id in self._homeless:
            self._homeless[run.worker_id].discard(run)
            if not self._homeless[run.worker_id]:
                del self._homeless[run.worker_id]
        if job.is_service():
            _decrease(job.workers_used, run.worker_id)
            if run.rack:
                _decrease(job.racks_used, run.rack)
        account = self._ledger.account(job.spec.team)
        self._ledger.refund(account, job.spec.task, self._cell.total)

    def _resize(self, job, spec):
        """Take over a service's new number of tasks."""
        if not job.is_service() or job.cancelled or spec.tasks == job.spec.tasks:
            return
        old = job.spec
        job.spec = old._replace(tasks=spec.tasks)
        self._backlog.remove(job)
        for number, run in job.runs.items():
            if spec.tasks <= number < old.tasks:
                self._stops.append(run)
        job.returned = [n for n in job.returned if n < spec.tasks]
        job.next_number = 0
        job.returned.clear()
        job.waiting = sum(1 for n in range(spec.tasks) if n not in job.runs)
        self._backlog.add(job)

    def _emit_stops(self, decisions, limit):
        while self._stops and len(decisions) < limit:
            run = self._stops.popleft()
            if run.stop or run.job.runs.get(run.number) is not run:
                continue
            run.stop = "stop"
            decisions.append(Stop(run.task_id(), run.attempt, run.worker_id, run.stop))

    def _mark_uncertain(self, worker_id, by):
        self._uncertain[worker_id] += by
        if not self._uncertain[worker_id]:
            del self._uncertain[worker_id]
        worker = self._cell.workers.get(worker_id)
        if worker is not None:
            worker.uncertain = self._uncertain[worker_id]
            self._cell.reindex(worker)

    def _run(self, task_id):
        job = self._jobs.get(task_id.rpartition("/")[0])
        return None if job is None else job.runs.get(_number(task_id))

    def _close_if_done(self, job):
        if not job.is_done():
            return
        state = "finished"
        if job.cancelled:
            state = "cancelled"
        elif job.failed:
            state = "failed"
        self._backlog.remove(job)
        del self._jobs[job.spec.job_id]
        self._done[job.spec.job_id] = _status(job, state)
        if len(self._done) > STATUSES_KEPT:
            self._done.popitem(last=False)


def _number(task_id):
    return int(task_id.rpartition("/")[2])


def _decrease(counts, key):
    counts[key] = counts.get(key, 0) - 1
    if counts[key] <= 0:
        del counts[key]


def _status(job, state):
    return common.JobStatus(
        job.spec.job_id,
        state,
        job.reason,
        len(job.runs),
        job.finished,
        job.failed,
        0,
        0,
    )
