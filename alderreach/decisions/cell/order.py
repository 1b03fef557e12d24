"""Whose tasks go first.

Load answered: a burst doubles the urgent queue while wide plans fill the workers.

Without it: in order of arrival a plan of sixty tasks takes every hole as it opens, and
an urgent job with an objective of two seconds waits for all of it.

Steps are ordered by their queue's priority, then by the latest moment at which they can
start and still meet the job's objective: what is left of the chain of steps, by the
submitter's estimates, is taken off the deadline. A job past three times its objective
earns nothing any more and goes behind those that do; it is still run, since it was
accepted.

Behind those that can be in time go the jobs that would be late whatever follows.
Failure answered: in an overload the step with least slack is one that is late already.
It takes the room of the next, which is late then too, and so on, until every job is.
"""

import typing

WORTHLESS_AFTER_OBJECTIVES = 3
# A job counts as late once this share of what is left of it, by its estimates, no
# longer fits before its objective. Not all of it: estimates are often twice the truth.
LATE_SHARE = 0.5


class Rank(typing.NamedTuple):
    """What of a step's urgency does not change while its queue is configured alike."""

    priority: int
    late_from_ms: float
    worthless_from_ms: float
    latest_start_ms: float
    job_id: str


class Urgency(typing.NamedTuple):
    """Sorts the most urgent first."""

    priority: int
    is_worthless: bool
    is_late: bool
    latest_start_ms: float
    job_id: str


def chain_ms(steps):
    """For each step, the longest chain of estimates from its start to the job's end.

    The steps stand in an order in which each follows those it waits for.
    """
    tails = [0] * len(steps)
    for number in range(len(steps) - 1, -1, -1):
        tails[number] += steps[number].estimated_ms
        for earlier in steps[number].after:
            tails[earlier] = max(tails[earlier], tails[number])
    return tails


def objective_ms(queue, steps):
    """How long a job may take from its submission until it counts as late."""
    longest = max(chain_ms(steps), default=0)
    return queue.stretch * longest + queue.target_latency_ms


def rank(queue, job, step, due_ms):
    """The Rank of a step of a job that was due at ``due_ms``."""
    steps = job.record.steps
    allowed_ms = objective_ms(queue, steps)
    left_ms = chain_ms(steps)[step]
    return Rank(
        queue.priority,
        due_ms + allowed_ms - LATE_SHARE * left_ms,
        due_ms + WORTHLESS_AFTER_OBJECTIVES * allowed_ms,
        due_ms + allowed_ms - left_ms,
        job.record.job_id,
    )


def urgency(ranked, now_ms):
    """The urgency now of a step with this Rank."""
    is_worthless = now_ms > ranked.worthless_from_ms
    is_late = now_ms > ranked.late_from_ms
    return Urgency(
        ranked.priority, is_worthless, is_late, ranked.latest_start_ms, ranked.job_id
    )
