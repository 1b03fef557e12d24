"""Whose tasks go first.

Load answered: a burst doubles the urgent queue while wide plans fill the workers.

Without it: in order of arrival a plan of sixty tasks takes every hole as it opens, and
an urgent job with an objective of two seconds waits for all of it.

Steps are ordered by their queue's priority, then by the latest moment at which they can
start and still meet the job's objective: what is left of the chain of steps, by the
submitter's estimates, is taken off the deadline. A job past three times its objective
earns nothing any more and goes behind those that do; it is still run, since it was
accepted.
"""

import typing

WORTHLESS_AFTER_OBJECTIVES = 3


class Rank(typing.NamedTuple):
    """What of a step's urgency does not change while its queue is configured alike."""

    priority: int
    worthless_from_ms: float
    latest_start_ms: float
    job_id: str


class Urgency(typing.NamedTuple):
    """Sorts the most urgent first."""

    priority: int
    is_worthless: bool
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
    return Rank(
        queue.priority,
        due_ms + WORTHLESS_AFTER_OBJECTIVES * allowed_ms,
        due_ms + allowed_ms - chain_ms(steps)[step],
        job.record.job_id,
    )


def urgency(ranked, now_ms):
    """The urgency now of a step with this Rank."""
    is_worthless = now_ms > ranked.worthless_from_ms
    return Urgency(ranked.priority, is_worthless, ranked.latest_start_ms, ranked.job_id)
