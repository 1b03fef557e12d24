"""Index of placements: which attempt of a task is, or may start, on which worker.

A placement is one attempt of a task on one worker. A ``run`` command that was not
answered may still be delivered later. A worker refuses it once ``lease_ms`` have passed
since the worker sent the announcement that the command refers to. From
``may_start_until_ms`` on (sending time plus lease plus margin) no copy of the command
can start the attempt. Until then the attempt is not given up and its end is not
acknowledged, since a worker that discarded an ended attempt would start it again.
"""

from alderreach.core.generated import placer

ATTEMPTS_PER_EPOCH = 100_000


class Placement:
    """One attempt; ``state`` is held, starting, running or stopping.

    A ``held`` placement is known only from the previous owner's records.
    ``scheduler_attempt`` is the number used by the scheduler; the attempt number in the
    record increases across all owners. ``sent`` is True from the creation of a run
    command on, unless it is known that no copy of it has arrived.
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
        """The task id and the attempt number."""
        return self.record.task_id, self.record.attempt

    @property
    def is_known_not_begun(self):
        """Whether no copy of its run command arrived, or the worker has refused it."""
        return self.state == "starting" and (not self.sent or self.refused)


class Placements:
    """All placements, indexed by task, worker and job."""

    def __init__(self):
        self.by_task = {}
        self._by_worker = {}
        self._by_job = {}

    def add(self, placement):
        """Add a placement of a task that has none."""
        record = placement.record
        self.by_task[record.task_id] = placement
        self._by_worker.setdefault(record.worker_id, {})[record.task_id] = placement
        self._by_job.setdefault(record.job_id, {})[record.task_id] = placement

    def remove(self, placement):
        """Remove a placement that has certainly ended."""
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
        """Whether this is still the placement of its task."""
        return self.by_task.get(placement.record.task_id) is placement


def make_record(job, task_id, attempt, worker_id):
    """Return the record of a new attempt."""
    return placer.PlacementRecord(
        task_id, attempt, job.job_id, worker_id, job.when_cut_off, ""
    )


def next_attempt(epoch, last):
    """Return an attempt number above those of all owners so far.

    Epochs only increase, so numbers of a later owner are always higher.
    """
    return max(epoch * ATTEMPTS_PER_EPOCH, last) + 1


def with_outcome(record, outcome):
    """Return a copy of the record with the outcome of the attempt."""
    return record._replace(outcome=outcome)


def worker_item(worker, placements):
    """Return the WorkerPlacements item for these placements."""
    return placer.WorkerPlacements(worker, [p.record for p in placements])
