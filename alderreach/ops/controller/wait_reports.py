"""Log lines and metrics for steps that are ready to run but wait for a long time.

A step is reported once it has waited for ``FIRST_REPORT_MS`` and again each time its
wait has doubled. Each planning pass reports only a few steps, so that a cell full of
waiting steps writes a bounded number of lines and spends little time on them.
"""

import collections

from alderreach.core import cell_state
from alderreach.decisions.cell import choice, waiting

# Most steps start within a second on a calm day; an objective is seldom shorter.
FIRST_REPORT_MS = 2000
# A report looks at all workers, so a pass makes only a few.
MAX_REPORTS_PER_PASS = 4
# A report names this many of the queues whose runs hold the room.
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
        """A pass begins, which may report a few steps."""
        self._reports_left = MAX_REPORTS_PER_PASS

    def consider(self, job, group, pool, since_ms, now_ms):
        """Report a step that waits since ``since_ms`` if its report is due.

        ``pool`` are the workers that it may use, by their permission and health.
        """
        if now_ms < self.next_ms(group, since_ms) or not self._reports_left:
            return
        self._reports_left -= 1
        waited_ms = now_ms - since_ms
        self._due_ms[group] = now_ms + waited_ms
        standing = self._standing(job, group, pool, now_ms)
        cause = waiting.cause(standing)
        self._leader.environment.metrics.count("long_waits", cause)
        self._leader.environment.record(
            "step_waits",
            task=".".join(str(part) for part in group),
            cause=cause,
            waited_ms=waited_ms,
            held_by=self._holders(pool),
            **standing._asdict(),
        )

    def next_ms(self, group, since_ms):
        """When the next report on a group that waits is due."""
        return self._due_ms.get(group, since_ms + FIRST_REPORT_MS)

    def on_all_started(self, group):
        """Nothing of a group waits any more."""
        self._due_ms.pop(group, None)

    def tidy(self, since_ms, now_ms):
        """Show how many steps wait and for how long; forget those that have ended.

        ``since_ms`` are the moments since when the waiting steps wait.
        """
        self._leader.drop_ended(self._due_ms)
        metrics = self._leader.environment.metrics
        metrics.gauge("steps_waiting", len(since_ms))
        metrics.gauge("longest_wait_ms", now_ms - min(since_ms, default=now_ms))

    def _holders(self, pool):
        """The queues with most runs on some workers, as [queue, runs, urgency].

        A less urgent queue among them shows that preemption found nothing to stop.
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

    def _standing(self, job, group, pool, now_ms):
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
            unasked, denied = len(known.unasked(group, usable)), known.denied(group)
            granted = known.granted(group, usable)
        return waiting.Standing(
            waiting=sum(task.state == cell_state.WAITING for task in tasks),
            usable=len(usable),
            granted=granted,
            permitted=sum(choice.is_suitable(worker, step) for worker in pool),
            with_room=len(choice.candidates(pool, step, group, now_ms)),
            denied=denied,
            unasked=unasked,
            is_asking=leader.permissions.is_asking(group),
            is_gang=step.gang,
            is_partly_placed=any(task.state != cell_state.WAITING for task in tasks),
        )
