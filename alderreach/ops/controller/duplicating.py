"""Duplicates of runs that hold up their step; see ``decisions/cell/stragglers.py``.

To the replicated state the first run is abandoned, as on a silent worker: it is in
doubt until its end is known, and its success still counts. So a new leader adopts both
runs. Unlike there, the leader lets the first run work on until one of the two is done.
"""

from alderreach.core import cell_state, crashes
from alderreach.core.generated import cell
from alderreach.decisions.cell import choice, stragglers, workers
from alderreach.ops.controller import starting

CHECK_INTERVAL_MS = 50


class Duplicates:
    """The steps of one term of leadership whose last tasks may get a duplicate.

    ``pool_of(job, group, now_ms)`` returns the usable workers for a group's tasks,
    ``has_room(job, group)`` whether its customer may start a task, and
    ``rank_of(job, group)`` its ``order.Rank``.
    """

    def __init__(self, leader, pool_of, has_room, rank_of):
        self._leader = leader
        self._pool_of = pool_of
        self._has_room = has_room
        self._rank_of = rank_of
        self._groups = {}
        self._duplicated = {}
        self._limit = stragglers.WorkLimit()
        self._next_check_ms = 0

    def on_run_ended(self, job, group):
        """Consider the tasks of a group from now on if they are its last ones."""
        step = job.record.steps[group.step]
        unfinished = job.unfinished_by_group[group[1:]]
        if stragglers.may_be_duplicated(step, unfinished):
            self._groups[group] = None

    def on_started(self, job, group, tasks, now_ms):
        """Count the work of tasks that were started."""
        step = job.record.steps[group.step]
        work = tasks * step.demand.cpu_millis * step.estimated_ms
        self._limit.record_started(work, now_ms)

    def consider(self, first_waiting, now_ms):
        """Start duplicates for steps that are more urgent than all that wait.

        ``first_waiting`` is the ``order.Rank`` of the most urgent waiting step, None if
        there is none. Otherwise work would be done twice while the same kind of work
        lacks capacity.
        """
        if not self._groups or now_ms < self._next_check_ms:
            return
        self._next_check_ms = now_ms + CHECK_INTERVAL_MS
        for group in list(self._groups):
            job = self._leader.state.jobs.get(group.job_id)
            if self._leader.is_over(group) or not job.unfinished_by_group[group[1:]]:
                del self._groups[group]
                continue
            rank = self._rank_of(job, group)
            if first_waiting and first_waiting.priority <= rank.priority:
                continue
            for index, task in enumerate(job.groups[group[1:]]):
                if task.state == cell_state.PLACED:
                    latest_ms = rank.latest_start_ms
                    self._consider_task(job, group, index, task, latest_ms, now_ms)

    def tidy(self):
        """Drop the records of jobs that have ended."""
        self._leader.drop_ended(self._groups)
        self._leader.drop_ended(self._duplicated)

    def _consider_task(self, job, group, index, task, latest_start_ms, now_ms):
        leader = self._leader
        key = cell_state.TaskKey(*group, index)
        worker = leader.workers.get(task.target_id)
        run = worker.runs.get(key) if worker else None
        if run is None or run.run != task.run or run.state != workers.RUNNING:
            return
        if key in self._duplicated or leader.may_have_crashed_workers(task):
            return
        task_ms = stragglers.usual_ms(leader.durations.get(group, ()))
        if task_ms is None:
            return
        step = job.record.steps[group.step]
        remaining_ms = stragglers.expected_remaining_ms(run, task_ms, now_ms)
        spare_ms = latest_start_ms + task_ms - leader.cell_ms()
        if not stragglers.is_worth_duplicating(remaining_ms, task_ms, spare_ms):
            return
        work = step.demand.cpu_millis * task_ms
        if not self._limit.allows(work, now_ms) or not self._has_room(job, group):
            return
        pool = [
            each for each in self._pool_of(job, group, now_ms) if each is not worker
        ]
        if choice.candidates(pool, step, group, now_ms):
            self._limit.record_duplicated(work, now_ms)
            self._duplicated[key] = None
            self._duplicate(group, key, run, worker, pool, remaining_ms, now_ms)

    def _duplicate(self, group, key, run, worker, pool, remaining_ms, now_ms):
        leader = self._leader
        run.abandoned = run.has_duplicate = True
        crash_kind = crashes.WORKER_CRASHED if run.is_confirmed else ""
        end_kind = crashes.in_doubt(crashes.ABANDONED, crash_kind)
        ended = cell.RunEnded(*key, run.run, end_kind, run.checkpoint, False)
        leader.decide(ended=[ended])
        leader.environment.metrics.count("duplicates_started")
        leader.environment.record(
            "run_duplicated",
            task=str(key),
            run=run.run,
            target=worker.target_id,
            percent=run.percent,
            remaining_ms=int(remaining_ms),
        )
        waited_ms = now_ms - run.placed_ms
        if not starting.start_tasks(
            leader, group, [key.index], pool, waited_ms, now_ms
        ):
            leader.on_run_ended(*group)
