"""What waits, in lines of equivalent tasks.

Load: tens of thousands of waiting tasks of a few kinds, and waves of as many
cancellations. Tried one by one in a full cell, each of them costs a vain search.

Tasks of the same team, priority, kind and demand are equivalent: they wait in one
*line*, as jobs with a number of waiting tasks. If one of them can't be placed, none
can, so a full cell costs one failed attempt per line. A cancelled job leaves its line
in one step, however many tasks it has.
"""

import collections

from alderreach.decisions import jobs

URGENT, NORMAL = 0, 1


class Line:
    """Jobs whose tasks are equivalent, oldest first.

    ``turn`` says which of the gangs far behind was tried last, and ``retry_ms`` from
    when on the next one may be.
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
        "vain_savings",
    )

    def __init__(self, key, shape):
        self.key = key
        self.team, self.priority, kind, self.demand = key
        self.is_gang = kind == "gang"
        self.is_urgent = self.priority >= jobs.URGENT_PRIORITY
        self.quota_since_ms = None
        self.vain_savings = 0
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
        """Whether it waits for room or for quota."""
        return self.blocked_since_ms is not None or self.quota_since_ms is not None

    def band(self):
        """Return URGENT or NORMAL."""
        return URGENT if self.is_urgent else NORMAL


class Backlog:
    """All lines, by band (urgent before normal) and team."""

    def __init__(self, cell, on_close):
        self._cell = cell
        self._on_close = on_close
        self._lines = {}
        self.bands = ({}, {})

    def add(self, job, first=False):
        """Let a job wait in its line, at the front if it had started before."""
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
        """Take a job out of its line."""
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
