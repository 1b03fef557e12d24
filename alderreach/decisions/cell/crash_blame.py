"""Blame for worker crashes: which tasks a crash counts against, and when one fails.

A poison job has a task that crashes every worker that starts it. If it were restarted
each time its worker is lost, it would take down a whole cell within seconds, and with
it the tasks on the same workers.

Such a task mostly crashes its worker right at its start. So a crash counts most against
a fresh run, and twice as much if that was the only fresh run and its start certainly
reached the worker. It counts less against a run that is younger than a minute, and not
at all against an older one. A worker that had announced that it drains or ends has not
crashed. A task whose blame reaches ``BLAME_LIMIT`` fails, and its job with it. That
takes at least two crashes and at most five. A task that lasts never fails: its starts
are ``LASTING_RESTART_MS`` apart from then on.

Tasks that start together with a poison task would move to the next worker with it and
be blamed with it. So a suspect starts alone: if possible on a worker where nothing has
just started and no start is unanswered, and nothing else starts there for
``SUSPECT_ISOLATION_MS`` and until its own start is answered. A start that is held up
may arrive seconds later, and suspects that meet are blamed together. A crash under
a fresh suspect does not count against the other runs that the worker had confirmed. It
counts least against one that it had not: two poison tasks may meet on a worker if the
start of one is held up, and each crash has to count against its cause.
"""

from alderreach.core import crashes
from alderreach.decisions.cell import workers

# A run is fresh for this time after it was placed, and until its worker confirms it.
FRESH_MS = 500
# The start of a run that is older than this did not cause its worker's crash.
YOUNG_MS = 60_000
# A worker sends a heartbeat every 1.5 s. One that is silent for longer may well have
# crashed before a start that it leaves unanswered.
HEARTBEAT_OVERDUE_MS = 2500
# If the connection closes within this time after a start, the worker has crashed. If it
# closes later, a broken link was restored, and the start may not have arrived at all.
CRASH_DISCONNECT_MS = 200
# With this many runs in doubt a task pauses before each further start, first for
# ``DOUBT_PAUSE_MS`` and each time twice as long. Workers that never return prove
# nothing, so a task that did not crash them must not wait for that. The pauses limit
# how many workers a task can crash meanwhile.
MAX_RUNS_IN_DOUBT = 3
DOUBT_PAUSE_MS = 2000
LONGEST_DOUBT_PAUSE_MS = 60_000
# Nothing else starts on a suspect's worker for this time; a poison task crashes its
# worker at once.
SUSPECT_ISOLATION_MS = 250
# Reached by two crashes with a single fresh run, three with several fresh runs, or five
# with young runs.
BLAME_LIMIT = 9
# With this blame a task starts alone: after one crash under a fresh run, or two under
# young ones.
SUSPECT_BLAME = 3
# Time between two starts of a lasting task with the blame at which others fail. Such a
# task has to run again at most 6 s after its last run.
LASTING_RESTART_MS = 5000


def is_suspect(blame):
    """Whether a task with this blame has to start alone on its worker."""
    return blame >= SUSPECT_BLAME


def reaches_blame_limit(blame):
    """Whether a task with this blame fails instead of being restarted."""
    return blame >= BLAME_LIMIT


def has_to_wait(blame, runs_in_doubt):
    """Whether a task is not started before the end of one of its runs is known.

    Each run in doubt may prove to be a crash, and adds the least blame of one then. A
    task with crashes that this would fail is not started: it would crash one worker
    more.

    >>> has_to_wait(blame=0, runs_in_doubt=5), has_to_wait(blame=8, runs_in_doubt=1)
    (False, True)
    """
    least_blame = min(crashes.BLAME.values())
    may_fail = reaches_blame_limit(blame + least_blame * runs_in_doubt)
    return blame > 0 and runs_in_doubt > 0 and may_fail


def doubt_pause_ms(runs_in_doubt, earlier_pauses):
    """How long a task pauses after one more of its runs is in doubt.

    >>> [doubt_pause_ms(3, pauses) for pauses in range(3)], doubt_pause_ms(2, 0)
    ([2000, 4000, 8000], 0)
    """
    if runs_in_doubt < MAX_RUNS_IN_DOUBT:
        return 0
    return min(DOUBT_PAUSE_MS * 2**earlier_pauses, LONGEST_DOUBT_PAUSE_MS)


def ends_after_crash(worker, now_ms, is_known_suspect=lambda key: False):
    """How each run on a lost worker ended if it crashed, by (key, number of the run).

    Runs that were never sent to the worker are left out, since they were not there. If
    the task of a fresh run is a suspect, by ``is_known_suspect(key)``, it explains the
    crash, and other runs that the worker has confirmed are left out as well, unless
    they were placed after the suspect's isolation.
    """
    present = [
        run
        for run in worker.runs.values()
        if run.sends and run.state != workers.CLOSED and not worker.is_planned_to_end()
    ]
    lost_ms = now_ms if worker.first_failure_ms is None else worker.first_failure_ms
    is_polled = len(present) > 1
    fresh = [run for run in present if _was_fresh(run, worker, is_polled, lost_ms)]
    suspects = [run for run in fresh if is_known_suspect(run.key)]
    ends = {}
    for run in present:
        is_explained = run not in suspects and any(
            run.placed_ms - suspect.placed_ms < SUSPECT_ISOLATION_MS
            for suspect in suspects
        )
        if lost_ms - run.placed_ms > YOUNG_MS or (is_explained and run.is_confirmed):
            continue
        end_kind = crashes.WORKER_CRASHED
        if run in fresh and not is_explained:
            is_certain = len(fresh) == 1 and (
                run.is_confirmed or run.lost_connection_at_start
            )
            end_kind = (
                crashes.CRASHED_AT_LONE_START
                if is_certain
                else crashes.CRASHED_AT_START
            )
        ends[(run.key, run.run)] = end_kind
    return ends


def has_fresh_run(worker, now_ms):
    """Whether a worker has a run that was just placed, or whose start may arrive."""
    return any(
        now_ms - run.placed_ms < FRESH_MS or run.is_start_unanswered()
        for run in worker.runs.values()
    )


def _was_fresh(run, worker, is_polled, lost_ms):
    """Whether a run had just started at a crash, or may have done so.

    A start that was sent long after the last contact may never have reached the worker.
    A worker that runs nothing else is not polled, though, so only a missing heartbeat
    shows that it was silent before. A run that this leader did not start itself is
    never fresh, since its start is not known.
    """
    if run.order is None:
        return False
    if run.is_confirmed:
        return lost_ms - run.placed_ms < FRESH_MS
    had_contact = run.placed_ms - worker.last_contact_ms < FRESH_MS
    is_heard = run.placed_ms - worker.announced_ms < HEARTBEAT_OVERDUE_MS
    return run.lost_connection_at_start or had_contact or (is_heard and not is_polled)
