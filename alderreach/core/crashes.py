"""Records, per task, the worker crashes that its runs may have caused.

When contact with a worker is lost, its runs are *in doubt* until the worker responds
again. A response of the same incarnation clears the runs, a later incarnation proves a
crash. Runs in doubt and proved crashes are both part of the replicated state, so that a
new leader continues with them. So is what was *noted* of a run when contact with its
worker was lost. The leader's policy decides which crashes count and how
many fail a task (``decisions/cell/crash_blame.py``).
"""

import typing

# Kinds of run ends that concern the worker. After the first two the task is started on
# another worker although it is not known yet whether the first one crashed.
ABANDONED = "abandoned"
EXPIRED = "expired"
# The worker crashed under a run that had certainly begun.
WORKER_CRASHED = "worker_crashed"
CRASHED_AT_START = "worker_crashed_at_start"
CRASHED_AT_LONE_START = "worker_crashed_at_lone_start"
# The same, and other workers were lost at about that time.
CRASHED_WITH_OTHERS = "worker_crashed_with_others"
# The worker crashed, and nothing proves that the run had begun there.
UNPROVED = "worker_crashed_run_unproved"
UNPROVED_AT_START = "worker_crashed_start_unproved"
UNPROVED_WITH_OTHERS = "worker_crashed_with_others_unproved"

IN_DOUBT_END_KINDS = (ABANDONED, EXPIRED)
# How much each kind of crash adds to a task's blame. All controllers must apply the
# same values, so they are part of the format of the replicated state.
BLAME = {
    WORKER_CRASHED: 2,
    CRASHED_AT_START: 3,
    CRASHED_AT_LONE_START: 6,
    CRASHED_WITH_OTHERS: 2,
    UNPROVED: 2,
    UNPROVED_AT_START: 3,
    UNPROVED_WITH_OTHERS: 2,
}
PROVED = (
    WORKER_CRASHED,
    CRASHED_AT_START,
    CRASHED_AT_LONE_START,
    CRASHED_WITH_OTHERS,
)
AT_START = (
    CRASHED_AT_START,
    CRASHED_AT_LONE_START,
    CRASHED_WITH_OTHERS,
    UNPROVED_AT_START,
    UNPROVED_WITH_OTHERS,
)
# What is kept of a task.
MAX_IN_DOUBT_RUNS = 4
MAX_KEPT_CRASHES = 16


class InDoubtRun(typing.NamedTuple):
    """A run that was lost, and the incarnation of the worker that it was on.

    ``crash_kind`` is the kind of crash that it counts as if the worker has crashed;
    empty if it does not count then.
    """

    run: int
    target_id: str
    born_ms: int
    crash_kind: str = ""


class NotedRun(typing.NamedTuple):
    """A run, and the kind of crash that it counts as if its worker has crashed."""

    run: int
    crash_kind: str


def in_doubt(end_kind, crash_kind):
    """The end of a run in doubt that counts as ``crash_kind`` if its worker crashed.

    >>> in_doubt(EXPIRED, WORKER_CRASHED), in_doubt(ABANDONED, "")
    ('expired:worker_crashed', 'abandoned')
    """
    return f"{end_kind}:{crash_kind}" if crash_kind else end_kind


def is_doubtful(end_kind):
    """Whether a run that ended so may not be over.

    >>> is_doubtful("expired:worker_crashed"), is_doubtful("done")
    (True, False)
    """
    return end_kind.partition(":")[0] in IN_DOUBT_END_KINDS


def is_in_doubt(task, run):
    """Whether the outcome of a run is still unknown."""
    return any(each.run == run for each in task.in_doubt)


def record_run_end(task, run, end_kind, is_newest):
    """Record the end of a run in its task; a crash counts once per run.

    >>> import types
    >>> task = types.SimpleNamespace(
    ...     run=1, target_id="w1", born_ms=5, blame=0, crash_kinds=(), in_doubt=()
    ... )
    >>> record_run_end(task, 1, ABANDONED, True)
    >>> record_run_end(task, 1, CRASHED_AT_START, False)
    >>> record_run_end(task, 1, CRASHED_AT_START, False)
    >>> task.blame, task.crash_kinds, task.in_doubt
    (3, ('worker_crashed_at_start',), ())
    """
    was_in_doubt = is_in_doubt(task, run)
    if is_doubtful(end_kind):
        if is_newest and not was_in_doubt:
            crash_kind = end_kind.partition(":")[2]
            in_doubt_run = InDoubtRun(
                task.run, task.target_id, task.born_ms, crash_kind
            )
            task.in_doubt = (*task.in_doubt, in_doubt_run)[-MAX_IN_DOUBT_RUNS:]
        return
    if was_in_doubt:
        task.in_doubt = tuple(each for each in task.in_doubt if each.run != run)
    if (is_newest or was_in_doubt) and end_kind in BLAME:
        task.blame += BLAME[end_kind]
        task.crash_kinds = (*task.crash_kinds, end_kind)[-MAX_KEPT_CRASHES:]
