"""The waiting tasks, grouped into lines of equivalent tasks.

The backlog may hold tens of thousands of tasks of a few kinds, and cancellations come
in waves of that size. Trying the tasks one by one in a full cell would cost a failed
search for each of them.

Tasks of the same team, priority, kind and demand are equivalent. They wait in one
*line*: a queue of jobs, each with its number of waiting tasks. If one task of a line
can't be placed, none can, so a full cell costs one failed attempt per line. A cancelled
job leaves its line in one step, however many tasks it has.
"""

import collections

from alderreach.decisions import jobs

URGENT, NORMAL = 0, 1


class Line:
    """Jobs whose tasks are equivalent, oldest first.

    Gangs far from the head are tried in turn: ``turn`` is the position of the one tried
    last, ``retry_ms`` the earliest time of the next try.
    """

    __slots__ = (
        "blocked_since_ms",
        "checked_ms",
        "demand",
        "is_gang",
        "is_urgent",
        "jobs",
        "key",
        "priority",
        "quota_since_ms",
        "reservation",
        "retry_ms",
        "shape",
        "team",
        "turn",
        "unused_savings",
    )

    def __init__(self, key, shape):
        self.key = key
        self.team, self.priority, kind, self.demand = key
        self.is_gang = kind == "gang"
        self.is_urgent = self.priority >= jobs.URGENT_PRIORITY
        self.quota_since_ms = None
        self.unused_savings = 0
        self.shape = shape
        self.jobs = collections.OrderedDict()
        self.blocked_since_ms = None
        self.checked_ms = 0
        self.reservation = None
        self.retry_ms = 0
        self.turn = -1

    def head(self):
        """Return the oldest job."""
        return next(iter(self.jobs.values()))

    def is_stuck(self):
        """Whether it waits for capacity or for quota."""
        return self.blocked_since_ms is not None or self.quota_since_ms is not None

    def band(self):
        """Return URGENT or NORMAL."""
        return URGENT if self.is_urgent else NORMAL


class Backlog:
    """All lines, by priority band (urgent, normal) and team."""

    def __init__(self, cell, on_close):
        self._cell = cell
        self._on_close = on_close
        self._lines = {}
        self.bands = ({}, {})

    def add(self, job, first=False):
        """Enqueue a job; ``first`` puts one that had started before at the front."""
        if job.line is not None or not job.waiting:
            return
        spec = job.spec
        key = (spec.team, spec.priority, spec.kind, spec.task)
        line = self._lines.get(key)
        if line is None:
            line = self._open(key)
        line.jobs[spec.job_id] = job
        if first:
            line.jobs.move_to_end(spec.job_id, last=False)
        job.line = line

    def lines(self):
        """Yield all lines, normal before urgent."""
        for band in reversed(self.bands):
            for lines in band.values():
                yield from lines

    def remove(self, job):
        """Remove a job from its line."""
        line = job.line
        if line is None:
            return
        job.line = None
        del line.jobs[job.spec.job_id]
        if not line.jobs:
            self._close(line)

    def _open(self, key):
        line = self._lines[key] = Line(key, self._cell.index.acquire_shape(key[3]))
        lines = self.bands[line.band()].setdefault(line.team, [])
        lines.append(line)
        lines.sort(key=lambda each: -each.priority)
        return line

    def _close(self, line):
        del self._lines[line.key]
        self._on_close(line)
        self._cell.index.release_shape(line.shape)
        lines = self.bands[line.band()]
        lines[line.team].remove(line)
        if not lines[line.team]:
            del lines[line.team]
