"""Which task is where, and what may still be on its way there.

A placement is one attempt of a task on one worker. A ``run`` command whose answer never
came may still arrive: a worker refuses it once ``lease_ms`` have passed since the
worker sent the announcement the command names, so ``may_start_until_ms`` (sending plus
lease plus margin) is when no copy can start anything any more. Until then the attempt
is not given up and its end is not acknowledged, since a worker that forgot an ended
attempt would start it again.
"""

from alderreach.core.generated import placer

ATTEMPTS_PER_EPOCH = 100_000


class Placement:
    """One attempt; ``state`` is held, starting, running or stopping.

    ``held`` is known from a predecessor only. ``scheduler_attempt`` is the number the
    scheduler counts with; the record's grows over all owners.
    """

    __slots__ = (
        "accepted_ms",
        "boot_id",
        "end_command",
        "job_id",
        "may_start_until_ms",
        "outcome",
        "record",
        "record_sequence",
        "refused",
        "reported",
        "scheduler_attempt",
        "sent",
        "state",
        "task",
    )

    def __init__(self, record, scheduler_attempt, boot_id, task, state):
        self.record = record
        self.scheduler_attempt = scheduler_attempt
        self.boot_id = boot_id
        self.task = task
        self.state = state
        self.job_id = record.job_id
        self.record_sequence = 0
        self.sent = False
        self.reported = False
        self.refused = False
        self.accepted_ms = None
        self.may_start_until_ms = 0
        self.end_command = ""
        self.outcome = ""

    @property
    def key(self):
        """Task and attempt."""
        return self.record.task_id, self.record.attempt


class Placements:
    """All placements, by task, by worker and counted by job."""

    def __init__(self):
        self.by_task = {}
        self._by_worker = {}
        self._by_job = {}

    def add(self, placement):
        """Add the task's only placement."""
        record = placement.record
        self.by_task[record.task_id] = placement
        self._by_worker.setdefault(record.worker_id, {})[record.task_id] = placement
        self._by_job.setdefault(record.job_id, {})[record.task_id] = placement

    def remove(self, placement):
        """Remove a placement that has surely ended."""
        record = placement.record
        del self.by_task[record.task_id]
        for index, key in (
            (self._by_worker, record.worker_id),
            (self._by_job, record.job_id),
        ):
            del index[key][record.task_id]
            if not index[key]:
                del index[key]

    def on_worker(self, worker_id):
        """Return the placements on a worker, as a list."""
        return list(self._by_worker.get(worker_id, {}).values())

    def of_job(self, job_id):
        """Return the placements of a job, as a list."""
        return list(self._by_job.get(job_id, {}).values())

    def workers(self):
        """Return the ids of all workers that have a placement."""
        return list(self._by_worker)

    def is_current(self, placement):
        """Whether the placement is still its task's."""
        return self.by_task.get(placement.record.task_id) is placement


def make_record(job, task_id, attempt, worker_id):
    """Return the record of an attempt that may run from now on."""
    return placer.PlacementRecord(
        task_id, attempt, job.job_id, worker_id, job.when_cut_off, ""
    )


def next_attempt(epoch, last):
    """Return an attempt number above all that any owner gave: epochs only grow."""
    return max(epoch * ATTEMPTS_PER_EPOCH, last) + 1


def with_outcome(record, outcome):
    """Return the record of the same attempt once it has ended."""
    return record._replace(outcome=outcome)


def worker_item(worker, placements):
    """Return the WorkerPlacements of these placements."""
    return placer.WorkerPlacements(worker, [p.record for p in placements])
