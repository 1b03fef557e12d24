"""Health of workers: failures, stalled runs and slowness compared to their peers.

A worker may fail every task, let tasks stall or be several times slower than others
while its heartbeats are good. A worker that fails tasks at once is always idle, so the
best fit would give it one task after another.

- A failed run counts as a strike against its worker, once for each job; a success
  clears all strikes. A job that has failed on two workers counts against neither, since
  a broken job fails everywhere. With one strike a worker is the last choice. With
  ``MAX_STRIKES`` strikes it gets no tasks for ``FIRST_OUT_MS``, doubled each time, and
  is then tried again. At most ``MAX_OUT_SHARE`` of a service's workers are out at once:
  if more seem bad, the workers are not the cause.
- A run whose progress has not changed for ``STALL_MS`` is stopped and started
  elsewhere, and its worker gets a strike. Progress is reported in whole percents at
  every poll, so a task of three minutes still advances within that time.
- Runs are moved away from a slow worker. A worker is slow if its runs, extrapolated
  from their progress, take ``SLOW_RATIO`` times as long as their finished siblings at
  the median, or ``SINGLE_RUN_SLOW_RATIO`` times if only one run can be compared. A
  single run says little: durations within one step differ by several times, and a long
  task is long on every worker. Moving it for its length alone would do its work twice.
  So a run is moved only if its remaining work takes longer there than all of its work
  elsewhere. Its speed is computed between two polls, since a restore at its start, or a
  gang that waits for its members, slows down the first percents on a healthy worker.
- A worker that is known to be slower than others is compared with its own usual speed,
  up to ``SLOW_RATIO``: its runs count as slow if they are ``SLOW_RATIO`` times slower
  than that. A worker slower than that loses its runs as before.
- A long task on a worker that is known to be slow is moved once to a quick one, if all
  of its work is done sooner there than the rest here. That is no strike.
- A run that began before another one ended there in the usual time is slow by itself:
  its task is long, and would be on any worker. So is a task that was moved for being
  slow and is slow again.
"""

import collections
import statistics

MAX_STRIKES = 2
# Most faults of a worker last some seconds; a healthy worker loses little in this time.
FIRST_OUT_MS = 3000
MAX_OUT_MS = 30_000
MAX_OUT_SHARE = 0.34
# More than the number of broken jobs that fail on one worker at a time.
MAX_EXCUSED_JOBS = 16
STALL_MS = 1800
SLOW_RATIO = 3.0
SINGLE_RUN_SLOW_RATIO = 5.0
# With fewer finished siblings, their durations say little about the step's.
MIN_SIBLINGS = 2
# Slowness from which a worker counts as known to be slow.
KNOWN_SLOW = 1.5
# What moving a run costs besides repeating its work: a stop, a commit and a start.
MOVE_COST_MS = 800
# A task that was moved this often stays where it is: it may make progress that it does
# not report.
MAX_MOVES = 2
# The same for moves from slow workers. Three in a hundred tasks of some customers take
# seven times as long as their siblings, and each move repeats all of their work.
MAX_SLOW_MOVES = 1
# Less progress between two polls is too coarse to extrapolate from, unless the run was
# observed for at least MIN_OBSERVED_MS.
MIN_PROGRESS_PERCENT = 10
MIN_OBSERVED_MS = 1500


class Record:
    """The strikes against one worker, and until when it is out because of them.

    ``excused`` are the last jobs whose failure here turned out to be their own fault.

    ``out_until_ms`` is separate from the short pause after a refused start. With one
    field for both, a refusal ended a bad worker's time out early, and workers that had
    refused a start for lack of capacity counted as out, which kept bad workers in use.
    """

    __slots__ = ("excused", "out_ms", "out_until_ms", "strikes")

    def __init__(self):
        self.strikes = set()
        self.excused = collections.deque(maxlen=MAX_EXCUSED_JOBS)
        self.out_until_ms = 0
        self.out_ms = FIRST_OUT_MS


def record_success(worker):
    """Clear the strikes of a worker on which a run succeeded."""
    worker.health.strikes.clear()
    worker.health.out_ms = FIRST_OUT_MS


def add_strike(worker, job_id, workers, now_ms):
    """Count a failure or stall of a job against a worker; True if it is out by that.

    ``workers`` are all known workers, of every service.
    """
    record = worker.health
    if now_ms < record.out_until_ms:
        # The run had started before that; only a failure after the worker's return
        # shows that it is still bad.
        return False
    peers = [w for w in workers if w.record.service == worker.record.service]
    if _is_excused(job_id, worker, peers):
        return False
    record.strikes.add(job_id)
    if len(record.strikes) < MAX_STRIKES:
        return False
    others_out = sum(
        peer is not worker and now_ms < peer.health.out_until_ms for peer in peers
    )
    if others_out + 1 > MAX_OUT_SHARE * len(peers):
        return False
    record.out_until_ms = now_ms + record.out_ms
    record.out_ms = min(2 * record.out_ms, MAX_OUT_MS)
    # One more failure after its return puts it out again.
    record.strikes = {job_id}
    return True


def _is_excused(job_id, worker, peers):
    """Whether a job has failed on two workers, so that it counts against neither.

    A worker that is out with a strike for such a job may be used again at once.
    """
    if any(job_id in peer.health.excused for peer in peers):
        return True
    others = [w for w in peers if w is not worker and job_id in w.health.strikes]
    for other in others:
        other.health.strikes.discard(job_id)
        other.health.excused.append(job_id)
        other.health.out_until_ms = 0
    return bool(others)


def full_duration_ms(run, now_ms):
    """The duration of all work of a run that is done now, or None if unknown.

    Only a part was observed of a run that a previous leader started or that resumed
    from a checkpoint. Its duration is extrapolated from that part; otherwise its
    siblings would look slow by comparison.
    """
    if run.is_fully_observed:
        return now_ms - run.placed_ms
    if run.first_ms is None or 100 - run.first_percent < MIN_PROGRESS_PERCENT:
        return None
    return (now_ms - run.first_ms) * 100 / (100 - run.first_percent)


def is_stalled(run, now_ms):
    """Whether a run at full pace has made no progress for ``STALL_MS``."""
    return (
        run.pace == 100
        and run.percent < 100
        and now_ms - run.last_progress_ms >= STALL_MS
    )


def slowness(run, durations_ms):
    """The ratio of a run's duration to that of its finished siblings, None if unknown.

    >>> class Run:
    ...     first_percent, first_ms, pace = 2, 0, 100
    ...     percent, last_progress_ms = 14, 1200
    >>> slowness(Run, [1000, 1200, 900])
    10.0
    """
    if len(durations_ms) < MIN_SIBLINGS or run.first_ms is None or run.pace != 100:
        return None
    progress, observed_ms = (
        run.percent - run.first_percent,
        run.last_progress_ms - run.first_ms,
    )
    if progress <= 0 or (
        progress < MIN_PROGRESS_PERCENT and observed_ms < MIN_OBSERVED_MS
    ):
        return None
    # A run may end within the millisecond in which its start was first observed.
    usual_ms = max(1, statistics.median(durations_ms))
    return observed_ms * 100 / progress / usual_ms


def remaining_ms(run, now_ms):
    """The remaining time of a run, extrapolated from its progress; None if unknown."""
    if run.first_ms is None or run.pace != 100:
        return None
    progress, observed_ms = (
        run.percent - run.first_percent,
        run.last_progress_ms - run.first_ms,
    )
    if progress <= 0:
        return None
    return observed_ms * (100 - run.percent) / progress - (
        now_ms - run.last_progress_ms
    )


def usual_slowness(worker):
    """The slowness that is usual for a worker and no reason to move its runs.

    A strike is for a sudden change. Placement already takes account of what is usual,
    and strikes for it would take a third of an uneven cell's workers out of use.
    """
    return worker.slowness if 1.0 < worker.slowness < SLOW_RATIO else 1.0


def is_of_usual_duration(worker, duration_ms, durations_ms):
    """Whether a run took about as long as is usual for its step and its worker."""
    if len(durations_ms) < MIN_SIBLINGS:
        return False
    usual_ms = max(1, statistics.median(durations_ms)) * usual_slowness(worker)
    return duration_ms < SLOW_RATIO * usual_ms


def is_long_by_itself(worker, run):
    """Whether another run has shown since its start that the worker is not slow."""
    return run.first_ms is not None and worker.usual_pace_ms > run.first_ms


def ends_sooner_on_quick(worker, run, ratio, durations_ms):
    """Whether a long task on a known slow worker would end sooner on a usual one.

    ``ratio`` is the run's ``slowness``. Its task is long if that exceeds the worker's
    usual slowness by ``SLOW_RATIO``; others are not worth their work being repeated.
    """
    own_ratio = ratio / worker.slowness
    if own_ratio < SLOW_RATIO:
        return False
    usual_ms = statistics.median(durations_ms)
    left_ms = ratio * usual_ms * (100 - run.percent) / 100
    return left_ms > own_ratio * usual_ms + MOVE_COST_MS


def is_slow(ratios):
    """Whether a worker is slow, given the slowness of its runs compared to its usual.

    >>> is_slow([2.4 / 2.4, 3.1 / 2.4]), is_slow([2.4, 3.1, 3.2])
    (False, True)
    """
    if len(ratios) == 1:
        return ratios[0] >= SINGLE_RUN_SLOW_RATIO
    return bool(ratios) and statistics.median(ratios) >= SLOW_RATIO


def is_worth_moving(run, ratio, durations_ms):
    """Whether a run on a slow worker would end sooner if restarted elsewhere."""
    usual_ms = statistics.median(durations_ms)
    left_ms = ratio * usual_ms * (100 - run.percent) / 100
    return left_ms > usual_ms + MOVE_COST_MS
