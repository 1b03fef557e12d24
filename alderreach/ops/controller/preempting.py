"""Preemption of runs for urgent steps; see ``decisions/cell/preemption.py``.

A worker on which runs were stopped is held for the urgent step until the stops are
complete. Otherwise the preempted tasks would take the freed capacity back.
"""

import math
import typing

from alderreach.core import cell_state
from alderreach.decisions import resources
from alderreach.decisions.cell import pauses, preemption, workers
from alderreach.ops.controller import runs, stopping


class Hold(typing.NamedTuple):
    """The group for which a worker is held, and the end of the hold."""

    group: cell_state.GroupKey
    until_ms: int


class Preemptions:
    """The preempted runs and the held workers of one term of leadership.

    ``rank_of(job, group)`` returns the ``order.Rank`` of a group.
    """

    def __init__(self, leader, rank_of):
        self._leader = leader
        self._rank_of = rank_of
        self._preemption_counts = {}
        self._next_ms = {}
        # The pause after each group's last search, and the time of the next search.
        self._pauses_ms = {}
        self._searches_from_ms = 0
        self._holds = {}

    def hold_of(self, target_id):
        """The group for which a worker is held, or None.

        Less urgent groups may not start anything there.
        """
        hold = self._holds.get(target_id)
        return hold.group if hold else None

    def release_holds(self, is_waiting, now_ms):
        """Release holds that are over, and offer the workers to other groups."""
        for target_id, hold in list(self._holds.items()):
            if now_ms >= hold.until_ms or not is_waiting(hold.group):
                del self._holds[target_id]
                self._leader.pools.mark_freed(target_id)

    def release(self, group):
        """Release the holds for a group that waits no longer; returns the workers.

        Groups after it may use them in this pass already, and all in the next one.
        """
        ended = [name for name, hold in self._holds.items() if hold.group == group]
        for target_id in ended:
            del self._holds[target_id]
            self._leader.pools.mark_freed(target_id)
        return [self._leader.workers[t] for t in ended if t in self._leader.workers]

    def next_ms(self, job, group, since_ms):
        """When runs may next be preempted for a group that waits since ``since_ms``."""
        if self._leader.queue_of(job).priority >= self._leader.least_urgent():
            return math.inf
        return max(since_ms + preemption.PATIENCE_MS, self._next_ms.get(group, 0))

    def consider(self, job, group, pool, wanted, since_ms, now_ms):
        """Preempt runs on workers of ``pool`` for ``wanted`` tasks of a group.

        Nothing happens before the group has waited for ``preemption.PATIENCE_MS``, or
        while earlier stops for the group may still be in progress.
        """
        if now_ms < self.next_ms(job, group, since_ms):
            return
        began_ms = self._leader.now_ms()
        if began_ms < self._searches_from_ms:
            self._next_ms[group] = self._searches_from_ms
            return
        chosen = self._choose(job, group, pool, wanted, now_ms)
        self._searches_from_ms = pauses.after_work(began_ms, self._leader.now_ms())
        pause_ms = preemption.STOP_MS
        if not chosen:
            # A full cell without victims stays so for a while.
            pause_ms = min(
                preemption.STOP_MS,
                2 * self._pauses_ms.get(group, preemption.RETRY_MS // 2),
            )
        self._pauses_ms[group] = preemption.RETRY_MS if chosen else pause_ms
        self._next_ms[group] = now_ms + pause_ms
        for victims in chosen:
            hold = Hold(group, now_ms + pause_ms)
            self._holds[victims.worker.target_id] = hold
            for run in victims.runs:
                self._stop(victims.worker, run, group)

    def _choose(self, job, group, pool, wanted, now_ms):
        """The victims for ``wanted`` tasks of a group, worker by worker.

        Runs beyond their customers' shares come first, and others only where these free
        too little.
        """
        step, urgent = job.record.steps[group.step], self._rank_of(job, group)
        shares, cell_ms = self._leader.shares, self._leader.cell_ms()
        may_yield = lambda run: self._may_yield(run, urgent, now_ms)
        chosen = []
        if shares.has_beyond():
            gives_way = lambda run: (
                shares.is_beyond(run.key.job_id, cell_ms) and may_yield(run)
            )
            chosen = preemption.choose_victims(pool, step, wanted, gives_way, group)
            wanted -= sum(victims.fitting for victims in chosen)
            taken = {victims.worker.target_id for victims in chosen}
            pool = [worker for worker in pool if worker.target_id not in taken]
        if wanted > 0:
            chosen += preemption.choose_victims(pool, step, wanted, may_yield, group)
        return chosen

    def consider_cap(self, job, group, wanted, since_ms, now_ms):
        """Preempt a customer's own runs for ``wanted`` tasks of a group at its cap."""
        if now_ms < self.next_ms(job, group, since_ms):
            return
        leader, customer = self._leader, job.record.customer
        urgent = self._rank_of(job, group)
        workers_of = {
            run: worker
            for worker, run in leader.customers.yielding_runs(customer)
            if self._may_yield(run, urgent, now_ms)
        }
        free = leader.customers.free_after_stops(customer)
        demand = resources.times(job.record.steps[group.step].demand, wanted)
        chosen = preemption.choose_for_cap(free, demand, list(workers_of))
        pause_ms = preemption.STOP_MS if chosen else preemption.RETRY_MS
        self._next_ms[group] = now_ms + pause_ms
        for run in chosen:
            self._stop(workers_of[run], run, group)

    def tidy(self):
        """Drop the records of jobs that have ended."""
        self._leader.drop_ended(self._preemption_counts)
        self._leader.drop_ended(self._next_ms)
        self._leader.drop_ended(self._pauses_ms)

    def _may_yield(self, run, urgent, now_ms):
        if not run.may_yield or run.state != workers.RUNNING:
            return False
        if self._preemption_counts.get(run.key, 0) >= preemption.MAX_YIELDS:
            return False
        job = self._leader.state.jobs.get(run.key.job_id)
        if job is None:
            return False
        rank = self._rank_of(job, cell_state.GroupKey(*run.key[:3]))
        expected_ms = self._leader.learned.task_ms(job, run.key.step)
        cell_ms = self._leader.cell_ms()
        return preemption.may_yield(
            preemption.Situation(run, rank, urgent, expected_ms, now_ms, cell_ms)
        )

    def _stop(self, worker, run, group):
        self._preemption_counts[run.key] = self._preemption_counts.get(run.key, 0) + 1
        self._leader.environment.record(
            "run_preempted",
            task=str(run.key),
            run=run.run,
            target=worker.target_id,
            percent=run.percent,
            urgent=".".join(str(part) for part in group),
        )
        runs.close_run(self._leader, worker, run, stopping.PREEMPTED)
