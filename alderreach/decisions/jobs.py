"""Waiting and running jobs, kept as counts wherever a count is enough.

Batch runs have tens of thousands of identical tasks, and cancellations come in waves of
that size. With an object per waiting task, both would cost as much as the placements.

A job stores the number of its waiting tasks and the few that were requeued; only a
running task has an object of its own. A task gets its number when it starts: first the
requeued ones (preempted, lost), then new ones, and last those that failed.
"""

URGENT_PRIORITY = 7


class Run:
    """One attempt of a task on a worker."""

    __slots__ = (
        "attempt",
        "job",
        "number",
        "rack",
        "started_ms",
        "stop",
        "worker_id",
    )

    def __init__(self, job, number, attempt, worker_id, started_ms):
        self.job = job
        self.number = number
        self.attempt = attempt
        self.worker_id = worker_id
        self.started_ms = started_ms
        self.stop = ""
        self.rack = ""

    def task_id(self):
        """Return the task's id, ``<job id>/<number>``."""
        return f"{self.job.spec.job_id}/{self.number}"

    def gentlest_stop(self):
        """Return checkpoint if the task supports it, else stop."""
        return "checkpoint" if self.job.spec.checkpoint else "stop"


class JobState:
    """The state of one job.

    ``limit`` bounds the running tasks of a job that is suspected of crashing workers; 0
    is no bound. ``parked`` is the reason why the job can't run at all. ``declared`` is
    the demand of a task as its team declared it, ``spec.task`` what a task is given.
    ``in_doubt`` lists the losses with workers that fell silent, by task and worker.
    ``final_numbers`` are the tasks that ended for good before ``next_number`` reached
    them, ``postponed`` those that failed and run last.
    """

    __slots__ = (
        "attempts",
        "avoided_worker_id",
        "blocked_since_ms",
        "cancelled",
        "consecutive_failures",
        "declared",
        "ended_runs",
        "failed",
        "failed_on",
        "failed_runs",
        "failures",
        "final_numbers",
        "finished",
        "given_up",
        "in_doubt",
        "limit",
        "line",
        "losses",
        "lost_on",
        "next_number",
        "not_before_ms",
        "overran",
        "parked",
        "postponed",
        "preempted",
        "racks_used",
        "report_ms",
        "reported",
        "requeued",
        "restarts",
        "retry_ms",
        "review_due_ms",
        "runs",
        "spec",
        "waiting",
        "workers_used",
    )

    def __init__(self, spec, declared):
        self.spec = spec
        self.declared = declared
        self.waiting = spec.tasks
        self.next_number = 0
        self.requeued = []
        self.postponed = []
        self.final_numbers = set()
        self.runs = {}
        self.attempts = {}
        self.failures = {}
        self.preempted = {}
        self.finished = 0
        self.failed = 0
        self.cancelled = False
        self.line = None
        self.racks_used = {}
        self.workers_used = {}
        self._init_suspicion()

    def _init_suspicion(self):
        self.not_before_ms = 0
        self.retry_ms = 0
        self.blocked_since_ms = None
        self.parked = ""
        self.report_ms = 0
        self.reported = False
        self.given_up = False
        self.overran = False
        self.limit = 0
        self.ended_runs = 0
        self.failed_runs = 0
        self.consecutive_failures = 0
        self.failed_on = set()
        self.avoided_worker_id = ""
        self.losses = {}
        self.in_doubt = []
        self.lost_on = []
        self.review_due_ms = None
        self.restarts = 0

    def is_gang(self):
        """Whether its tasks must all start together."""
        return self.spec.kind == "gang"

    def is_service(self):
        """Whether its tasks are restarted whenever they end."""
        return self.spec.kind == "service"

    def is_urgent(self):
        """Whether it runs before all normal work and may preempt it."""
        return self.spec.priority >= URGENT_PRIORITY

    def is_pinned(self):
        """Whether its tasks can't be expected to end soon or to be preempted."""
        return self.is_service() or self.is_urgent()

    def next_task(self):
        """Return the number of a waiting task and count it as no longer waiting.

        Failed tasks come last: by then other tasks have shown whether the worker or the
        task was at fault.
        """
        self.waiting -= 1
        if self.requeued:
            return self.requeued.pop()
        while self.next_number in self.final_numbers or self.next_number in self.runs:
            self.final_numbers.discard(self.next_number)
            self.next_number += 1
        if self.next_number >= self.spec.tasks and self.postponed:
            return self.postponed.pop()
        self.next_number += 1
        return self.next_number - 1

    def requeue(self, number, failed=False):
        """Count a task as waiting again; one that ``failed`` runs after all others."""
        self.waiting += 1
        if number < self.next_number:
            (self.postponed if failed else self.requeued).append(number)

    def claim(self, number):
        """Count the task of this number as no longer waiting."""
        self.waiting -= 1
        for numbers in (self.requeued, self.postponed):
            if number in numbers:
                numbers.remove(number)

    def resize(self, tasks):
        """Apply a service's new number of tasks."""
        self.spec = self.spec._replace(tasks=tasks)
        self.next_number = 0
        self.requeued.clear()
        self.postponed.clear()
        self.waiting = sum(1 for number in range(tasks) if number not in self.runs)

    def is_waiting(self, number):
        """Whether the task of this number waits for a start."""
        if number in self.requeued or number in self.postponed:
            return True
        is_new = self.next_number <= number < self.spec.tasks
        return is_new and number not in self.final_numbers and number not in self.runs

    def mark_final(self, number):
        """Record that a task which no longer waits has ended for good."""
        if number >= self.next_number:
            self.final_numbers.add(number)
        self.attempts.pop(number, None)
        self.failures.pop(number, None)
        self.preempted.pop(number, None)
        self.losses.pop(number, None)
        self.in_doubt = [loss for loss in self.in_doubt if loss[0] != number]

    def is_done(self):
        """Whether no task runs and none will start."""
        if self.runs:
            return False
        return self.cancelled or (not self.waiting and not self.is_service())
