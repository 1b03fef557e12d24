"""What speaks against a task: workers that crashed under its runs.

A run that vanished with its worker is *in doubt* until the worker is heard again: the
same life clears it, a later one proves a crash. Both what is in doubt and what is
proved are part of the agreed state, so that a new leader goes on where the one before
was. How much is too much, the leader decides (``decisions/cell/crash_blame.py``).
"""

import typing

# Ends of runs that say what became of the worker. The task goes on elsewhere after the
# first two, although nobody knows yet.
ABANDONED = "abandoned"
EXPIRED = "expired"
WORKER_CRASHED = "worker_crashed"
CRASHED_AT_START = "worker_crashed_at_start"
CRASHED_AT_LONE_START = "worker_crashed_at_lone_start"

IN_DOUBT_END_KINDS = (ABANDONED, EXPIRED)
# What each kind of crash adds to a task's blame. All controllers count alike, so these
# are part of the agreed state's format.
BLAME = {WORKER_CRASHED: 2, CRASHED_AT_START: 3, CRASHED_AT_LONE_START: 6}
MAX_IN_DOUBT_RUNS = 4


class InDoubtRun(typing.NamedTuple):
    """A run that vanished, and the life of the worker that it was on."""

    run: int
    target_id: str
    born_ms: int


def is_in_doubt(task, run):
    """Whether nobody knows yet what became of a run of a task."""
    return any(each.run == run for each in task.in_doubt)


def record_run_end(task, run, end_kind, is_newest):
    """Note in a task how a run ended; a crash counts once for each run.

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
            vanished = InDoubtRun(task.run, task.target_id, task.born_ms)
            task.in_doubt = (*task.in_doubt, vanished)[-MAX_IN_DOUBT_RUNS:]
        return
    if was_in_doubt:
        task.in_doubt = tuple(each for each in task.in_doubt if each.run != run)
    if is_newest or was_in_doubt:
        task.blame += BLAME.get(end_kind, 0)
