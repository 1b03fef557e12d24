"""Log lines and metrics for steps that are ready to run but wait for a long time.

A step is reported once it has waited for ``FIRST_REPORT_MS`` and again each time its
wait has doubled. Each planning pass reports only a few steps, so that a cell full of
waiting steps writes a bounded number of lines and spends little time on them.
"""

import collections

from alderreach.core import cell_state
from alderreach.decisions.cell import choice, waiting

# Most steps start within a second under normal load, and few objectives are shorter.
FIRST_REPORT_MS = 2000
# A report examines all workers, so each pass makes only a few.
MAX_REPORTS_PER_PASS = 4
# The number of queues that a report names as holders of the capacity.
MAX_HOLDERS = 3


class WaitReports:
    """The reports of one leadership term.

    ``begin_pass`` has to be called first in each planning pass.
    """

    def __init__(self, leader):
        self._leader = leader
        self._due_ms = {}
        self._reports_left = 0

    def begin_pass(self):
        """Begin a planning pass with its allowance of reports."""
        self._reports_left = MAX_REPORTS_PER_PASS

    def consider(self, job, group, pool, since_ms, now_ms):
        """Report a step that has waited since ``since_ms`` if its report is due.

        ``pool`` are the usable workers that the permission service lets it use.
        """
        if now_ms < self.next_ms(group, since_ms) or not self._reports_left:
            return
        self._reports_left -= 1
        waited_ms = now_ms - since_ms
        self._due_ms[group] = now_ms + waited_ms
        wait_state = self._wait_state(job, group, pool, now_ms)
        cause = waiting.cause(wait_state)
        self._leader.environment.metrics.count("long_waits", cause)
        self._leader.environment.record(
            "step_waits",
            task=".".join(str(part) for part in group),
            cause=cause,
            waited_ms=waited_ms,
            held_by=self._holders(pool),
            **wait_state._asdict(),
        )

    def consider_cap(self, job, group, since_ms, now_ms):
        """Report a step whose customer is at its cap, if its report is due."""
        if now_ms < self.next_ms(group, since_ms) or not self._reports_left:
            return
        self._reports_left -= 1
        waited_ms = now_ms - since_ms
        self._due_ms[group] = now_ms + waited_ms
        customer = job.record.customer
        use, cap = self._leader.customers.use_and_cap(customer)
        self._leader.environment.metrics.count("long_waits", waiting.CAP)
        self._leader.environment.record(
            "step_waits",
            task=".".join(str(part) for part in group),
            cause=waiting.CAP,
            waited_ms=waited_ms,
            customer=customer,
            use=use._asdict(),
            cap=cap._asdict(),
            held_by=self._holding_jobs(customer),
        )

    def _holding_jobs(self, customer):
        """The jobs of a customer with most runs, as [job, runs]."""
        counts = collections.Counter(
            run.key.job_id
            for worker in self._leader.workers.values()
            for run in worker.runs.values()
            if run.customer == customer
        )
        return [list(row) for row in counts.most_common(MAX_HOLDERS)]

    def next_ms(self, group, since_ms):
        """When the next report on a waiting group is due."""
        return self._due_ms.get(group, since_ms + FIRST_REPORT_MS)

    def on_all_started(self, group):
        """Reset the reports of a group that has no waiting tasks left."""
        self._due_ms.pop(group, None)

    def tidy(self, since_ms, now_ms):
        """Update the gauges of waiting steps, and drop the records of ended jobs.

        ``since_ms`` are the times at which the waiting steps began to wait.
        """
        self._leader.drop_ended(self._due_ms)
        metrics = self._leader.environment.metrics
        metrics.gauge("steps_waiting", len(since_ms))
        metrics.gauge("longest_wait_ms", now_ms - min(since_ms, default=now_ms))

    def _holders(self, pool):
        """The queues with most runs on a pool, as [queue, runs, priority].

        If a less urgent queue is among them, preemption found no runs to stop.
        """
        counts = collections.Counter()
        for worker in pool:
            for run in worker.runs.values():
                job = self._leader.state.jobs.get(run.key.job_id)
                if job is not None:
                    queue = self._leader.queue_of(job)
                    counts[(queue.name, queue.priority)] += 1
        return [
            [name, runs, priority]
            for (name, priority), runs in counts.most_common(MAX_HOLDERS)
        ]

    def _wait_state(self, job, group, pool, now_ms):
        leader = self._leader
        step = job.record.steps[group.step]
        tasks = job.groups[group[1:]]
        usable = [
            worker.target_id
            for worker in leader.workers.values()
            if worker.record.service == job.record.service
            and choice.is_suitable(worker, step)
            and worker.is_usable(now_ms)
        ]
        unasked = denied = 0
        granted = len(usable)
        if leader.queue_of(job).permission is not None:
            known = leader.permissions
            unasked, denied = (
                len(known.not_yet_queried(group, usable)),
                known.count_denied(group),
            )
            granted = known.count_permitted(group, usable)
        return waiting.WaitState(
            waiting=sum(task.state == cell_state.WAITING for task in tasks),
            usable=len(usable),
            granted=granted,
            permitted=sum(choice.is_suitable(worker, step) for worker in pool),
            with_room=len(choice.candidates(pool, step, group, now_ms)),
            denied=denied,
            unasked=unasked,
            is_asking=leader.permissions.has_open_query(group),
            is_gang=step.gang,
            is_partly_placed=any(task.state != cell_state.WAITING for task in tasks),
        )
