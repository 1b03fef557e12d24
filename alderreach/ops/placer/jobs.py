"""State of the jobs that an owner places, and the encoding of their items."""

import xxhash

from alderreach.core import codec
from alderreach.core.generated import common, placer

SERVICE_PREFIX = "service-"
FINAL_STATES = ("finished", "failed", "cancelled")


class JobState:
    """One job or service; ``finished`` and ``failed`` hold numbers of its tasks.

    ``losses`` maps task numbers to how often the task was lost soon after its start,
    ``in_doubt`` lists further losses with workers that may not have crashed.

    ``durable_finished`` are the finished numbers stored by the keepers: workers may
    forget only those. ``attempts`` maps task numbers to the last attempt assigned.
    ``final_durable`` is True once the keepers store the final status.
    """

    def __init__(self, job, is_service=False, service=""):
        self.job = job
        self.is_service = is_service
        self.service = service
        self.finished = set()
        self.failed = set()
        self.losses = {}
        self.in_doubt = []
        self.durable_finished = frozenset()
        self.attempts = {}
        self.cancelled = False
        self.status = None
        self.final_durable = False

    @property
    def is_final(self):
        """Whether the job has reached a final state."""
        return self.status is not None and self.status.state in FINAL_STATES


def job_of(task_id):
    """Return the job's id within a task id ``<job_id>/<number>``."""
    return task_id.rpartition("/")[0]


def number_of(task_id):
    """Return the task's number, or -1 if the id does not have this form."""
    number = task_id.rpartition("/")[2]
    return int(number) if number.isdigit() else -1


def to_ranges(numbers):
    """Return numbers as a flat list of ranges: first, last, first, last.

    >>> to_ranges({1, 2, 3, 7})
    [1, 3, 7, 7]
    """
    ranges = []
    for number in sorted(numbers):
        if ranges and ranges[-1] == number - 1:
            ranges[-1] = number
        else:
            ranges += [number, number]
    return ranges


def from_ranges(ranges):
    """Return the set of numbers that ``to_ranges`` encoded."""
    numbers = set()
    for first, last in zip(ranges[::2], ranges[1::2], strict=True):
        numbers.update(range(first, last + 1))
    return numbers


def ended_item(state):
    """Return the encoded EndedTasks of a job."""
    return codec.encode(
        placer.EndedTasks(
            state.job.job_id, to_ranges(state.finished), to_ranges(state.failed)
        )
    )


def load_ended(state, value):
    """Load an EndedTasks item read from the keepers into the state."""
    item = codec.decode(value, placer.EndedTasks)
    state.finished |= from_ranges(item.finished)
    state.failed |= from_ranges(item.failed)
    state.durable_finished = frozenset(state.finished)


def lost_item(state):
    """Return the encoded LostTasks of a job."""
    pairs = [part for pair in sorted(state.losses.items()) for part in pair]
    return codec.encode(placer.LostTasks(state.job.job_id, pairs, state.in_doubt))


def load_lost(state, value):
    """Load a LostTasks item read from the keepers into the state."""
    item = codec.decode(value, placer.LostTasks)
    pairs = item.losses
    state.losses = dict(zip(pairs[::2], pairs[1::2], strict=True))
    state.in_doubt = item.in_doubt


def service_job(workload, failure_domain, tasks):
    """Return the Job that represents a service in a failure domain.

    Its id contains a digest of the content without the number of tasks, so that every
    owner gives the same id to the same service, while a change that requires replacing
    the tasks leads to a new id.
    """
    job = common.Job(
        "",
        workload.team,
        workload.name,
        "service",
        failure_domain,
        workload.task,
        0,
        0,
        workload.when_cut_off,
        workload.checkpoint,
        0,
        "",
        0,
        "",
    )
    digest = xxhash.xxh32_hexdigest(codec.encode(job))
    name = f"{SERVICE_PREFIX}{failure_domain}-{workload.team}-{workload.name}-{digest}"
    return job._replace(
        job_id=name,
        tasks=tasks,
        priority=workload.priority,
        expected_run_ms=workload.expected_run_ms,
    )


def service_share(workload, failure_domain, failure_domains):
    """Return how many of a service's tasks this failure domain runs.

    A service without a home failure domain is spread evenly; the first domains by name
    run the remainder.
    """
    home = workload.home_failure_domain
    if home:
        return workload.tasks if home == failure_domain else 0
    order = sorted(failure_domains)
    share, remainder = divmod(workload.tasks, len(order))
    return share + (order.index(failure_domain) < remainder)
