"""Workers that do worse than their peers, and runs that get nowhere.

A worker may fail all it starts, let tasks stand still or be several times slower while
its heartbeats are good. One that fails at once is always empty, and would be given task
after task.

- Failed ends count against a worker only once for each job, and a success clears them.
  A job that has failed on two workers counts against neither, since a broken job fails
  everywhere. One strike makes a worker the last choice;
  ``STRIKES_OUT`` take it out for ``FIRST_OUT_MS``, doubled each time, and then it is
  tried again. At most ``OUT_SHARE`` of a service's workers are out at once: if more
  seem bad, it is not the workers.
- A run whose progress has not moved for ``STALL_MS`` is stopped and started elsewhere;
  its worker gets a strike. Progress is whole percents and seen at every poll, so a task
  of three minutes still moves in that time.
- Runs leave a worker that is slow: one whose runs, by their pace, take ``SLOW_RATIO``
  times as long as their finished siblings at the median, or ``LONE_RATIO`` times if
  only one can be compared. Single runs say little: tasks of one step differ several
  times by themselves, and the same ones are long wherever they go. Moved for their own
  length alone, they would do their work twice. A run is moved only if what is
  left of it there is longer than all of it elsewhere. The pace is taken between two
  polls, since a start with a restore, or a gang that gathers, makes the first percents
  slow on a healthy worker.
"""

import collections
import statistics

STRIKES_OUT = 2
# The usual trouble of a worker lasts some seconds; a healthy one loses little by this.
FIRST_OUT_MS = 3000
MAX_OUT_MS = 30_000
MAX_OUT_SHARE = 0.34
# More broken jobs than fail on one worker at a time.
MAX_EXCUSED_JOBS = 16
STALL_MS = 1800
SLOW_RATIO = 3.0
SINGLE_RUN_SLOW_RATIO = 5.0
# Below this share of done siblings their durations say little of the step's.
MIN_SIBLINGS = 2
# What moving a run costs beside doing the work again: a stop, a commit, a start.
MOVE_COST_MS = 800
# A task moved this often is left where it is: its progress may just not show.
MAX_MOVES = 2
# Less progress between two polls than this is too rough to project from, unless this
# much time has passed.
MIN_PROGRESS_PERCENT = 10
MIN_OBSERVED_MS = 1500


class Record:
    """What speaks against one worker, and until when it is out for that.

    ``excused`` are the last jobs whose failure here turned out to be their own fault.

    The moment is its own: shared with the short wait after a refused start, the refusal
    brought a bad worker back early, and refusals for want of room kept bad workers in.
    """

    __slots__ = ("excused", "out_ms", "out_until_ms", "strikes")

    def __init__(self):
        self.strikes = set()
        self.excused = collections.deque(maxlen=MAX_EXCUSED_JOBS)
        self.out_until_ms = 0
        self.out_ms = FIRST_OUT_MS


def record_success(worker):
    """A run was done: the worker is well."""
    worker.health.strikes.clear()
    worker.health.out_ms = FIRST_OUT_MS


def add_strike(worker, job_id, workers, now_ms):
    """Count a failure or stall of a job against a worker; True if it is now out.

    ``workers`` are all that are known, of every service.
    """
    record = worker.health
    if now_ms < record.out_until_ms:
        # It started before; only what fails after the return says that it is still bad.
        return False
    peers = [w for w in workers if w.record.service == worker.record.service]
    if _is_excused(job_id, worker, peers):
        return False
    record.strikes.add(job_id)
    if len(record.strikes) < STRIKES_OUT:
        return False
    others_out = sum(
        peer is not worker and now_ms < peer.health.out_until_ms for peer in peers
    )
    if others_out + 1 > MAX_OUT_SHARE * len(peers):
        return False
    record.out_until_ms = now_ms + record.out_ms
    record.out_ms = min(2 * record.out_ms, MAX_OUT_MS)
    # One more failure after its return takes it out again.
    record.strikes = {job_id}
    return True


def _is_excused(job_id, worker, peers):
    """Whether a job's failures count against no worker: it has failed on two.

    A worker that is out with a strike for such a job is back.
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
    """How long all the work of a run that is done now takes, or None if unknown.

    Of a run that a new leader found, or that resumed from a checkpoint, only a part was
    seen; it stands for the rest by its pace, or its siblings would look slow beside it.
    """
    if run.is_fully_observed:
        return now_ms - run.placed_ms
    if run.first_ms is None or 100 - run.first_percent < MIN_PROGRESS_PERCENT:
        return None
    return (now_ms - run.first_ms) * 100 / (100 - run.first_percent)


def is_stalled(run, now_ms):
    """Whether a run that should get on has not moved for too long."""
    return (
        run.pace == 100
        and run.percent < 100
        and now_ms - run.last_progress_ms >= STALL_MS
    )


def slowness(run, durations_ms):
    """How many times as long as its done siblings a run takes, or None if unknown.

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
    # A run may be done in the millisecond in which it was first seen to have begun.
    usual_ms = max(1, statistics.median(durations_ms))
    return observed_ms * 100 / progress / usual_ms


def remaining_ms(run, now_ms):
    """How long a run will still take by its pace, or None if that is not known."""
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


def is_slow(ratios):
    """Whether a worker is slow, by the slowness of those of its runs that have one."""
    if len(ratios) == 1:
        return ratios[0] >= SINGLE_RUN_SLOW_RATIO
    return bool(ratios) and statistics.median(ratios) >= SLOW_RATIO


def is_worth_moving(run, ratio, durations_ms):
    """Whether a run on a slow worker would be done sooner elsewhere, all of it anew."""
    usual_ms = statistics.median(durations_ms)
    left_ms = ratio * usual_ms * (100 - run.percent) / 100
    return left_ms > usual_ms + MOVE_COST_MS
