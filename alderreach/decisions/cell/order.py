"""The order in which waiting steps start.

Steps are ordered by their queue's priority, then by the latest time at which they can
start and still meet the job's objective. That is the deadline minus the longest chain
of the remaining steps, by the submitter's estimates. A job past three times its
objective is worthless: it comes after all others of its priority, but it still runs,
since it was accepted.
"""

import heapq
import typing

import sortedcontainers

WORTHLESS_AFTER_OBJECTIVES = 3


class Rank(typing.NamedTuple):
    """The part of a step's urgency that changes only with its queue's configuration."""

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

    ``steps`` are in topological order: each comes after those it depends on.
    """
    tails = [0] * len(steps)
    for number in range(len(steps) - 1, -1, -1):
        tails[number] += steps[number].estimated_ms
        for earlier in steps[number].after:
            tails[earlier] = max(tails[earlier], tails[number])
    return tails


def objective_ms(queue, steps):
    """The time from its submission after which a job counts as late."""
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
    """The urgency of a step with this Rank at ``now_ms``."""
    is_worthless = now_ms > ranked.worthless_from_ms
    return Urgency(ranked.priority, is_worthless, ranked.latest_start_ms, ranked.job_id)


class UrgencyQueue:
    """Waiting steps, kept sorted with the most urgent first."""

    def __init__(self):
        self._rows = sortedcontainers.SortedList()
        self._by_group = {}
        self._aging = []

    def add(self, group, ranked, now_ms):
        """Insert a step with this Rank, or move it if it is there already."""
        self.remove(group)
        row = (urgency(ranked, now_ms), group)
        self._rows.add(row)
        self._by_group[group] = (row, ranked)
        if not row[0].is_worthless:
            heapq.heappush(self._aging, (ranked.worthless_from_ms, group))

    def remove(self, group):
        """Remove a step if it is there."""
        row, _ranked = self._by_group.pop(group, (None, None))
        if row is not None:
            self._rows.remove(row)

    def refresh(self, now_ms):
        """Move the steps of jobs that have become worthless behind the others."""
        while self._aging and self._aging[0][0] < now_ms:
            group = heapq.heappop(self._aging)[1]
            _row, ranked = self._by_group.get(group, (None, None))
            if ranked is not None and ranked.worthless_from_ms < now_ms:
                self.add(group, ranked, now_ms)

    def groups(self):
        """All steps in order, as a copy that later changes don't affect."""
        return [group for _urgency, group in self._rows]

    def is_before(self, group, other):
        """Whether a step comes before another; a step that is not queued comes last."""
        row, _ranked = self._by_group.get(group, (None, None))
        other_row, _ranked = self._by_group.get(other, (None, None))
        return row is not None and (other_row is None or row < other_row)
