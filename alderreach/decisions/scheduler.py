"""Decides which task starts where: the object that a placer drives.

A placer passes in what it knows (teams, workers, jobs, running tasks, ends of tasks)
and calls ``tick`` several times a second. ``tick`` returns a list of decisions, which
count as carried out. The clock and the random generator are passed in, so that a
session can be replayed.

>>> import random
>>> from alderreach.core.generated import common
>>> scheduler = Scheduler(random.Random(1))
>>> scheduler.tick(0, 100)
[]

It has to make thousands of placements a second, and as many cancellations in waves.
``budget`` bounds the work of one tick, however much is waiting: each search, start and
stop uses one unit of it. Stops get at most half of it, so that a wave of cancellations
can't delay new work; only a gang, which is always placed as a whole, may exceed it.
"""

import collections

from alderreach.decisions import (
    actions,
    backfill,
    backlog,
    draining,
    endings,
    impossible,
    jobs,
    poison_jobs,
    preemption,
    quarantine,
    reservations,
    resources,
    rounds,
    state,
    usage,
)

Start = actions.Start
Stop = actions.Stop
Impossible = actions.Impossible

MAX_REVIEWS_PER_TICK = 64
# Ended jobs whose status can still be queried.
MAX_STATUSES_KEPT = 10_000


class Scheduler:
    """Placement of one failure domain."""

    def __init__(self, random):
        self._state = state.State(random)
        self._quarantine = quarantine.WorkerQuarantine(self._state)
        self._parking = impossible.Parking(self._state)
        self._poison_jobs = poison_jobs.PoisonJobs(
            self._state, self._parking.park_permanently
        )
        self._observer = usage.Observer(self._state)
        self._done = collections.OrderedDict()

    def set_team(self, team):
        """Add or replace a ``common.Team``."""
        self._state.ledger.set_team(team)
        self._parking.on_supply_changed()

    def remove_team(self, name):
        """Start nothing more for a team."""
        self._state.ledger.remove_team(name)

    def add_worker(self, worker_id, vm, rack, capacity):
        """Add a worker, with the tasks that are known to run on it."""
        known = self._state.cell.workers.get(worker_id)
        if known is not None and known.capacity == capacity:
            return
        worker = self._state.add_worker(worker_id, vm, rack, capacity)
        self._quarantine.on_worker_added(worker)
        self._parking.on_supply_changed()

    def remove_worker(self, worker_id):
        """Remove a worker; its tasks are reported as lost one by one."""
        self._state.remove_worker(worker_id)
        self._quarantine.on_worker_removed(worker_id)
        self._poison_jobs.on_worker_removed(worker_id)
        self._observer.forget(worker_id)

    def set_open(self, worker_id, is_open):
        """Set whether a worker takes new work."""
        worker = self._state.cell.workers.get(worker_id)
        if worker is not None and worker.is_open != is_open:
            worker.is_open = is_open
            self._state.cell.reindex(worker)

    def submit(self, job, now_ms):
        """Add a job; a service that is submitted again gets the new number of tasks."""
        self._state.now_ms = now_ms
        known = self._state.jobs.get(job.job_id)
        if known is not None:
            self._resize(known, job.tasks)
            return
        if job.job_id in self._done:
            return
        sized = self._observer.with_learned_size(job)
        job_state = self._state.jobs[job.job_id] = jobs.JobState(sized, job.task)
        self._state.adopt_orphans(job_state)
        self._parking.admit(job_state)

    def cancel(self, job_id, now_ms):
        """Start nothing more of a job, and stop its running tasks."""
        self._state.now_ms = now_ms
        job = self._state.jobs.get(job_id)
        if job is None or job.cancelled:
            return
        job.cancelled = True
        job.waiting = 0
        self._state.backlog.remove(job)
        self._parking.forget(job)
        for run in job.runs.values():
            self._state.stop(run)
        self._close_if_done(job)

    def restore(self, task_id, attempt, job_id, worker_id, started_ms=None):
        """Add a task that is known to run, since ``started_ms`` or for longer.

        Without it the task counts as started now, so a loss within the next minute
        counts against it. While its job is unknown, so are the resources that it holds:
        its worker takes no work until the job is submitted or the task has ended.
        """
        number = _task_number(task_id)
        job = self._state.jobs.get(job_id)
        if job is None:
            self._state.add_orphan(job_id, number, attempt, worker_id)
        else:
            self._state.adopt(job, number, attempt, worker_id, started_ms)

    def losses_of(self, job_id):
        """Return by task number how often tasks were lost soon after their start."""
        job = self._state.jobs.get(job_id)
        return dict(job.losses) if job else {}

    def losses_in_doubt(self, job_id):
        """Return the losses with workers that fell silent: task numbers and workers."""
        job = self._state.jobs.get(job_id)
        return list(job.in_doubt) if job else []

    def restore_losses(self, job_id, losses, in_doubt=()):
        """Restore what ``losses_of`` and ``losses_in_doubt`` told an earlier owner."""
        job = self._state.jobs.get(job_id)
        if job is not None and (losses or in_doubt):
            endings.restore_losses(self._state, job, losses, in_doubt)
            self._close_if_done(job)

    def end_silence(self, worker_id, has_crashed, now_ms):
        """Record whether a silent worker had crashed or was only cut off.

        Returns the ids of the jobs with tasks that had expired there.
        """
        self._state.now_ms = now_ms
        self._poison_jobs.on_silence_ended(worker_id, has_crashed)
        ended = []
        for job in self._state.jobs_in_doubt.pop(worker_id, ()):
            if self._state.jobs.get(job.spec.job_id) is job:
                endings.end_silence(self._state, job, worker_id, has_crashed)
                self._close_if_done(job)
                ended.append(job.spec.job_id)
        return ended

    def task_started(self, task_id, now_ms):
        """Record that a worker has started a task; its run time counts from now."""
        self._state.now_ms = now_ms
        job = self._state.jobs.get(_job_id(task_id))
        run = job and job.runs.get(_task_number(task_id))
        if run:
            run.started_ms = now_ms

    def task_ended(self, task_id, attempt, outcome, now_ms):
        """Record how an attempt ended; it must no longer run.

        ``outcome`` is finished, failed, lost, expired, refused, stopped or
        checkpointed. A task has expired if its worker fell silent; ``end_silence`` is
        called once it is known whether the worker had crashed.
        """
        self._state.now_ms = now_ms
        number = _task_number(task_id)
        job = self._state.jobs.get(_job_id(task_id))
        if job is None:
            self._state.end_orphan(_job_id(task_id), number)
            return
        run = job.runs.get(number)
        if run is None:
            endings.record_past_end(self._state, job, number, attempt, outcome)
        elif run.attempt == attempt:
            endings.handle_end(
                self._state, self._quarantine, self._poison_jobs, run, outcome
            )
        self._close_if_done(job)

    def observe_usage(self, worker_id, used):
        """Record the usage of its tasks that a worker reports, with a lag."""
        worker = self._state.cell.workers.get(worker_id)
        if worker is not None:
            self._observer.observe(worker, used)

    def tick(self, now_ms, budget):
        """Return the next decisions, at most about ``budget`` of them."""
        cell_state = self._state
        cell_state.now_ms = now_ms
        cell_state.decisions = decisions = []
        cell_state.cell.index.refresh()
        self._emit_stops(budget // 2)
        self._review()
        self._parking.check_parked()
        reservations.serve(cell_state)
        self._place_urgent(budget)
        self._quarantine.start_probes(cell_state.backlog.lines)
        self._place_normal(budget)
        self._plan_ahead()
        self._emit_stops(budget - len(decisions))
        return decisions

    def is_known(self, job_id):
        """Whether a job was submitted and has not ended."""
        return job_id in self._state.jobs

    def job_status(self, job_id):
        """Return a job's ``common.JobStatus``, None if it is unknown."""
        job = self._state.jobs.get(job_id)
        if job is None:
            return self._done.get(job_id)
        if job.parked:
            state_name = "impossible" if job.reported else "waiting"
            return state.job_status(job, state_name, job.parked)
        if job.runs:
            return state.job_status(job, "running", "")
        return state.job_status(job, "waiting", self._why_waiting(job))

    def allocated(self, worker_id):
        """Return the resources that are allocated on a worker."""
        worker = self._state.cell.workers.get(worker_id)
        if worker is None:
            return resources.NOTHING
        given = resources.minus(worker.capacity, worker.free)
        return resources.minus(given, worker.excess)

    def worker_state(self, worker_id):
        """Return open, closed or quarantined."""
        worker = self._state.cell.workers.get(worker_id)
        if worker is None or not worker.is_open:
            return "closed"
        return "quarantined" if worker.quarantined else "open"

    def _why_waiting(self, job):
        account = self._state.ledger.account(job.spec.team)
        if not self._state.ledger.allows(account, job.spec.task):
            return f"the quota of {job.spec.team} is used"
        if job.limit:
            return "on probation after the loss of its worker"
        return "no room" if job.line is not None else "pausing after a failure"

    def _place_urgent(self, budget):
        cell_state = self._state
        band = cell_state.backlog.bands[backlog.URGENT]
        rounds.place_band(cell_state, band, budget - len(cell_state.decisions))
        backfill.use_reserved(cell_state, rounds.blocked_lines(cell_state, band))
        preemption.plan(cell_state, rounds.blocked_lines(cell_state, band))

    def _place_normal(self, budget):
        cell_state = self._state
        band = cell_state.backlog.bands[backlog.NORMAL]
        rounds.place_band(cell_state, band, budget - len(cell_state.decisions))
        backfill.fill(cell_state, rounds.blocked_lines(cell_state, band))

    def _plan_ahead(self):
        """Reserve capacity for skipped lines, and park jobs that can't run at all."""
        cell_state = self._state
        for band in cell_state.backlog.bands:
            self._parking.check_lines(rounds.stuck_lines(band))
        self._parking.report_due()
        blocked = [
            line
            for band in cell_state.backlog.bands
            for line in rounds.blocked_lines(cell_state, band)
        ]
        draining.plan(cell_state, blocked)
        draining.end_unused_savings(cell_state, blocked)

    def _review(self):
        for job in self._state.due_reviews(MAX_REVIEWS_PER_TICK):
            if self._state.jobs.get(job.spec.job_id) is job:
                self._poison_jobs.review(job)
                endings.review(self._state, job)

    def _resize(self, job, tasks):
        if not job.is_service() or job.cancelled or tasks == job.spec.tasks:
            return
        self._state.backlog.remove(job)
        job.resize(tasks)
        for number, run in job.runs.items():
            if number >= tasks:
                self._state.stop(run)
        self._state.enqueue(job)

    def _emit_stops(self, limit):
        stops, decisions = self._state.stops, self._state.decisions
        for _ in range(min(limit, len(stops))):
            run = stops.popleft()
            if run.job.runs.get(run.number) is run:
                decisions.append(
                    Stop(run.task_id(), run.attempt, run.worker_id, run.stop)
                )

    def _close_if_done(self, job):
        if not job.is_done():
            return
        state_name = "failed" if job.failed else "finished"
        if job.cancelled:
            state_name = "cancelled"
        self._state.backlog.remove(job)
        self._parking.forget(job)
        self._poison_jobs.forget(job)
        del self._state.jobs[job.spec.job_id]
        self._done[job.spec.job_id] = state.job_status(job, state_name, "")
        if len(self._done) > MAX_STATUSES_KEPT:
            self._done.popitem(last=False)


def _job_id(task_id):
    return task_id.rpartition("/")[0]


def _task_number(task_id):
    return int(task_id.rpartition("/")[2])
