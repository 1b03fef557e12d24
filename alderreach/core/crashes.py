"""Counts, per task, the worker crashes that its runs may have caused.

When contact with a worker is lost, its runs are *in doubt* until the worker responds
again. A response of the same incarnation clears the runs, a later incarnation proves a
crash. Runs in doubt and proved crashes are both part of the replicated state, so that a
new leader continues with them. The leader's policy decides how much blame fails a task
(``decisions/cell/crash_blame.py``).
"""

import typing

# Kinds of run ends that concern the worker. After the first two the task is started on
# another worker although it is not known yet whether the first one crashed.
ABANDONED = "abandoned"
EXPIRED = "expired"
WORKER_CRASHED = "worker_crashed"
CRASHED_AT_START = "worker_crashed_at_start"
CRASHED_AT_LONE_START = "worker_crashed_at_lone_start"

IN_DOUBT_END_KINDS = (ABANDONED, EXPIRED)
# How much each kind of crash adds to a task's blame. All controllers must apply the
# same values, so they are part of the format of the replicated state.
BLAME = {WORKER_CRASHED: 2, CRASHED_AT_START: 3, CRASHED_AT_LONE_START: 6}
MAX_IN_DOUBT_RUNS = 4


class InDoubtRun(typing.NamedTuple):
    """A run that was lost, and the incarnation of the worker that it was on."""

    run: int
    target_id: str
    born_ms: int


def is_in_doubt(task, run):
    """Whether the outcome of a run is still unknown."""
    return any(each.run == run for each in task.in_doubt)


def record_run_end(task, run, end_kind, is_newest):
    """Record the end of a run in its task; a crash counts once per run.

    >>> import types
    >>> task = types.SimpleNamespace(
    ...     run=1, target_id="w1", born_ms=5, blame=0, in_doubt=()
    ... )
    >>> record_run_end(task, 1, ABANDONED, True)
    >>> record_run_end(task, 1, CRASHED_AT_START, False)
    >>> record_run_end(task, 1, CRASHED_AT_START, False)
    >>> task.blame, task.in_doubt
    (3, ())
    """
    was_in_doubt = is_in_doubt(task, run)
    if end_kind in IN_DOUBT_END_KINDS:
        if is_newest and not was_in_doubt:
            in_doubt_run = InDoubtRun(task.run, task.target_id, task.born_ms)
            task.in_doubt = (*task.in_doubt, in_doubt_run)[-MAX_IN_DOUBT_RUNS:]
        return
    if was_in_doubt:
        task.in_doubt = tuple(each for each in task.in_doubt if each.run != run)
    if is_newest or was_in_doubt:
        task.blame += BLAME.get(end_kind, 0)
