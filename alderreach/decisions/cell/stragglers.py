"""Stragglers: which runs get a duplicate on another worker, and how many may.

A step is done with its last task. One run on a worker that has become slow delays the
whole job, while its siblings are done and other workers are idle. If the step allows
duplicates, a second run is started elsewhere once it would end clearly sooner. The
first run to end counts, and the other is stopped.

A duplicate repeats work, so it is limited: to the last tasks of a step, to one for each
task, to jobs that can be on time only with it, and to a share of all recent work.

>>> limit = WorkLimit()
>>> limit.record_started(100_000, now_ms=0)
>>> limit.allows(4_000, now_ms=500), limit.allows(6_000, now_ms=500)
(True, False)
"""

import collections
import statistics

from alderreach.decisions.cell import health

# A duplicate has to end sooner by this. It costs a commit and a start, and the expected
# ends of both runs are estimates.
MIN_GAIN_MS = 300
# The time from the decision until a new run begins to work.
START_MS = 60
# A duplicate is for the last tasks of a step: with many left, the step is not held up
# by one of them.
LAST_TASKS_SHARE = 0.1
# The duplicates' share of the work that was started in WINDOW_MS.
MAX_WORK_SHARE = 0.05
WINDOW_MS = 10_000
BUCKET_MS = 1_000


def may_be_duplicated(step, unfinished):
    """Whether tasks of a step with ``unfinished`` tasks left may get a duplicate."""
    allows = step.allow_duplicates and not step.gang and not step.long_running
    return allows and 0 < unfinished <= max(1, int(step.tasks * LAST_TASKS_SHARE))


def usual_ms(durations_ms):
    """The usual duration of a step's tasks, None with too few finished siblings."""
    if len(durations_ms) < health.MIN_SIBLINGS:
        return None
    return statistics.median(durations_ms)


def expected_remaining_ms(run, task_ms, now_ms):
    """The time until a run ends, by its progress, or by the usual duration of its step.

    A run without progress for longer than ``task_ms`` is expected to take as long again
    as it has already taken.
    """
    by_progress_ms = health.remaining_ms(run, now_ms)
    if by_progress_ms is not None:
        return max(0.0, by_progress_ms)
    elapsed_ms = now_ms - run.placed_ms
    return task_ms - elapsed_ms if elapsed_ms < task_ms else elapsed_ms


def is_worth_duplicating(remaining_ms, new_run_ms, spare_ms):
    """Whether a duplicate ends clearly sooner and makes the difference for its job.

    ``new_run_ms`` is the expected duration of a new run. ``spare_ms`` is the time in
    which the task has to end for its job to be on time.
    """
    gain_ms = remaining_ms - (START_MS + new_run_ms)
    return gain_ms >= MIN_GAIN_MS and START_MS + new_run_ms <= spare_ms < remaining_ms


class WorkLimit:
    """Limits the work of duplicates to a share of all work that was started recently.

    Work is the processors of a run in thousandths, times its expected duration in
    milliseconds.
    """

    def __init__(self):
        self._started = collections.Counter()
        self._duplicated = collections.Counter()

    def record_started(self, work, now_ms):
        """Record the work of runs that were started."""
        self._started[now_ms // BUCKET_MS] += work
        self._forget_before(now_ms)

    def record_duplicated(self, work, now_ms):
        """Record the work of a duplicate that was started."""
        self._duplicated[now_ms // BUCKET_MS] += work

    def allows(self, work, now_ms):
        """Whether a duplicate with this much work may be started now."""
        self._forget_before(now_ms)
        limit = MAX_WORK_SHARE * self._started.total()
        return self._duplicated.total() + work <= limit

    def _forget_before(self, now_ms):
        oldest = (now_ms - WINDOW_MS) // BUCKET_MS
        for counts in (self._started, self._duplicated):
            for bucket in [bucket for bucket in counts if bucket < oldest]:
                del counts[bucket]
