"""The order in which waiting steps start.

The queue's priority decides first. Of one priority, jobs within their customers' shares
come before those beyond them (``fair_shares.py``). Urgent jobs of a flood are not held
back behind less urgent work of others: hundreds of them would wait, query, and let
tickets expire again and again. Then it matters whether a job can be worth anything yet:

- Steps that can still be on time are ordered by the latest time at which they can start
  and still meet the job's objective. That is the deadline minus the longest chain of
  the remaining steps, by their expected durations.
- Late steps come after them, those with the least remaining work first. They can't be
  on time any more, and in a full cell each of them would make another job late. With
  the shortest first, most of them are done before they are worthless.
- A job past three times its objective is worthless. Its steps come last, the oldest
  first, but they still run, since the job was accepted.

Expected durations may be far off, so a step counts as late only if its job would be so
too if all durations, which its objective follows, were ``DURATION_TOLERANCE`` times as
long.

A step's class changes with time. ``UrgencyQueue`` moves it then.
"""

import heapq
import math
import typing

import sortedcontainers

WORTHLESS_AFTER_OBJECTIVES = 3
# Submitters' estimates are off by up to 0.9 of the duration. Under a uniform error, one
# job in four takes more than 1.9 times its estimate and is wrongly counted as late.
# With 1.0 it would be one in two.
DURATION_TOLERANCE = 1.9
# The number of steps that a pass moves to their next classes, so that a backlog which
# ages at the same time delays no pass. The rest follows in the next pass.
MAX_MOVES_PER_REFRESH = 500
# Classes of steps.
IN_TIME = 0
LATE = 1
WORTHLESS = 2


class Rank(typing.NamedTuple):
    """The part of a step's urgency that changes only with its queue's configuration.

    The job is beyond its customer's share before ``eligible_ms``. ``late_from_ms`` is
    the time from which the step is late if it has not started, and ``late_end_ms`` the
    time from which its job is if it has not ended, both with the tolerance for wrong
    durations. ``remaining_work`` is the expected work of this step and of those that
    depend on it, in processor-milliseconds, ``after_ms`` the time that those take, and
    ``objective_ms`` and ``stretch`` belong to the job's objective.
    """

    priority: int
    worthless_from_ms: float
    latest_start_ms: float
    job_id: str
    eligible_ms: float = -math.inf
    late_from_ms: float = math.inf
    late_end_ms: float = math.inf
    remaining_work: float = 0
    after_ms: float = 0
    objective_ms: float = 0
    stretch: float = 1

    def is_beyond(self, now_ms):
        """Whether the job is beyond its customer's share."""
        return self.eligible_ms > now_ms


class Urgency(typing.NamedTuple):
    """Sorts the most urgent first.

    ``key`` is the latest start of a step that is not late, or of a worthless one, and
    the order of magnitude of the remaining work of a late one. Of late steps with about
    the same work, the one whose job is worthless first comes first (``until_ms``).
    """

    priority: int
    is_beyond_share: bool
    lateness: int
    key: float
    until_ms: float
    job_id: str


def estimates_ms(steps):
    """The submitter's estimates of the duration of a task of each step."""
    return [step.estimated_ms for step in steps]


def chain_ms(steps, durations_ms=None):
    """For each step, the longest chain of durations from its start to the job's end.

    ``steps`` are in topological order: each comes after those it depends on.
    ``durations_ms`` are the expected durations of a task of each step, the submitter's
    estimates by default.
    """
    durations_ms = durations_ms or estimates_ms(steps)
    tails = [0] * len(steps)
    for number in range(len(steps) - 1, -1, -1):
        tails[number] += durations_ms[number]
        for earlier in steps[number].after:
            tails[earlier] = max(tails[earlier], tails[number])
    return tails


def objective_ms(queue, steps, durations_ms=None):
    """The time from its submission after which a job counts as late."""
    return _allowed_ms(queue, max(chain_ms(steps, durations_ms), default=0))


def rank(
    queue,
    job,
    step,
    due_ms,
    eligible_ms=-math.inf,
    durations_ms=None,
    tolerance=DURATION_TOLERANCE,
):
    """The Rank of a step of a job that was due at ``due_ms``.

    ``eligible_ms`` is the time at which the customer's share covers the job, and
    ``durations_ms`` are as in ``chain_ms``; they may be wrong by the factor
    ``tolerance``.
    """
    steps = job.record.steps
    durations_ms = durations_ms or estimates_ms(steps)
    chains_ms = chain_ms(steps, durations_ms)
    longest_ms, tail_ms = max(chains_ms), chains_ms[step]
    allowed_ms = _allowed_ms(queue, longest_ms)
    late_end_ms = due_ms + _allowed_ms(queue, tolerance * longest_ms)
    return Rank(
        queue.priority,
        due_ms + WORTHLESS_AFTER_OBJECTIVES * allowed_ms,
        due_ms + allowed_ms - tail_ms,
        job.record.job_id,
        eligible_ms,
        late_end_ms - tolerance * tail_ms,
        late_end_ms,
        _remaining_work(steps, step, durations_ms),
        tail_ms - durations_ms[step],
        allowed_ms,
        queue.stretch,
    )


def urgency(ranked, now_ms):
    """The urgency of a step with this Rank at ``now_ms``."""
    lateness = _lateness(ranked, now_ms)
    return Urgency(
        ranked.priority,
        ranked.is_beyond(now_ms),
        lateness,
        _magnitude(ranked) if lateness == LATE else ranked.latest_start_ms,
        ranked.worthless_from_ms if lateness == LATE else 0,
        ranked.job_id,
    )


def _magnitude(ranked):
    return math.floor(math.log2(max(1, ranked.remaining_work)))


def next_change_ms(ranked, now_ms):
    """The time after ``now_ms`` at which a step's class changes; infinite if never."""
    times = (ranked.worthless_from_ms, ranked.eligible_ms, ranked.late_from_ms)
    return min((each for each in times if each > now_ms), default=math.inf)


class UrgencyQueue:
    """Waiting steps, kept sorted with the most urgent first."""

    def __init__(self):
        self._rows = sortedcontainers.SortedList()
        self._by_group = {}
        # A heap of (time, group), and the earliest time in it of each group.
        self._aging = []
        self._aging_ms = {}

    def add(self, group, ranked, now_ms):
        """Insert a step with this Rank, or move it if it is there already."""
        self.remove(group)
        row = (urgency(ranked, now_ms), group)
        self._rows.add(row)
        self._by_group[group] = (row, ranked)
        change_ms = next_change_ms(ranked, now_ms)
        if change_ms < self._aging_ms.get(group, math.inf):
            self._aging_ms[group] = change_ms
            heapq.heappush(self._aging, (change_ms, group))

    def remove(self, group):
        """Remove a step if it is there."""
        row, _ranked = self._by_group.pop(group, (None, None))
        if row is not None:
            self._rows.remove(row)

    def refresh(self, now_ms):
        """Move the steps whose classes have changed, up to MAX_MOVES_PER_REFRESH."""
        for _turn in range(MAX_MOVES_PER_REFRESH):
            if not self._aging or self._aging[0][0] > now_ms:
                return
            change_ms, group = heapq.heappop(self._aging)
            if self._aging_ms.get(group) != change_ms:
                continue
            del self._aging_ms[group]
            _row, ranked = self._by_group.get(group, (None, None))
            if ranked is not None:
                self.add(group, ranked, now_ms)

    def groups(self):
        """All steps in order, as a copy that later changes don't affect."""
        return [group for _urgency, group in self._rows]

    def first_rank(self):
        """The Rank of the most urgent step, or None if there is no step."""
        return self._by_group[self._rows[0][1]][1] if self._rows else None

    def is_before(self, group, other):
        """Whether a step comes before another; a step that is not queued comes last."""
        row, _ranked = self._by_group.get(group, (None, None))
        other_row, _ranked = self._by_group.get(other, (None, None))
        return row is not None and (other_row is None or row < other_row)


def _lateness(ranked, now_ms):
    if now_ms >= ranked.worthless_from_ms:
        return WORTHLESS
    return LATE if now_ms >= ranked.late_from_ms else IN_TIME


def _allowed_ms(queue, longest_ms):
    return queue.stretch * longest_ms + queue.target_latency_ms


def _remaining_work(steps, step, durations_ms):
    """The work of a step and of all that depend on it."""
    remaining = {step}
    for number in range(step + 1, len(steps)):
        if not remaining.isdisjoint(steps[number].after):
            remaining.add(number)
    return (
        sum(
            steps[number].tasks * steps[number].demand.cpu_millis * durations_ms[number]
            for number in remaining
        )
        / 1000
    )
