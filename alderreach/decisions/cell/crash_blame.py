"""Which tasks a crash of their worker speaks against, and when one is given up.

Load: a task that crashes each worker that starts it. Started anew as soon as its worker
is lost, it takes down a whole cell within seconds, and those beside it with it.

Such a task mostly takes its worker down as it starts. So a crash counts most against a
run that was fresh, and twice as much if no other was and it surely got there. It counts
somewhat against one that had run for less than a minute, and not at all against an
older one. A worker that had said that it drains or ends has not crashed. At
``BLAME_LIMIT`` the task is given up and its job fails: after two crashes at the least,
after five at most.

Whatever starts together with such a task goes on to the next worker with it, and is
blamed with it. So a suspect starts apart: where nothing has just started if possible,
and nothing else starts beside it for a moment. A crash under a fresh suspect is not
counted against the others that were there.
"""

from alderreach.core import crashes
from alderreach.decisions.cell import workers

# A run is fresh until so long after it was placed, and while its worker has not
# confirmed it.
FRESH_MS = 500
# A run that has lived for so long has not crashed its worker by being started.
YOUNG_MS = 60_000
# A connection that ends so soon after a start was ended by a crash. One that ends later
# was ended by a link that is reached again: the start may never have got there.
CRASH_DISCONNECT_MS = 200
# With so many runs in doubt a task waits until it is known what became of one.
MAX_RUNS_IN_DOUBT = 3
# Nothing else starts beside a suspect for so long; a culprit crashes a worker at once.
SUSPECT_ISOLATION_MS = 250
# Two crashes under a lone fresh run, three under fresh runs, five under young ones.
BLAME_LIMIT = 9
# From so much on a task starts apart: a crash under a fresh run, two under young ones.
SUSPECT_BLAME = 3


def is_suspect(blame):
    """Whether a task with so much blame starts apart from others."""
    return blame >= SUSPECT_BLAME


def reaches_blame_limit(blame):
    """Whether a task with so much blame is given up."""
    return blame >= BLAME_LIMIT


def ends_after_crash(worker, now_ms, is_known_suspect=lambda key: False):
    """How each run on a worker ended that is found gone, by (key, number of the run).

    Runs that the worker never heard of are left out, since they have not been there. So
    are all others if one was fresh whose task ``is_known(key)`` to be a suspect: it
    explains the crash.
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
    for run in suspects or present:
        if lost_ms - run.placed_ms > YOUNG_MS:
            continue
        end_kind = crashes.WORKER_CRASHED
        if run in fresh:
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
    """Whether something has only just started on a worker."""
    return any(now_ms - run.placed_ms < FRESH_MS for run in worker.runs.values())


def _was_fresh(run, worker, is_polled, lost_ms):
    """Whether a run had only just started, or was not known to have, at a crash.

    A start into a silence that was long by then may never have got there; a worker on
    which nothing else runs is not polled, so its silence says nothing. Of a run that
    this leader found nothing is known.
    """
    if run.order is None:
        return False
    if run.is_confirmed:
        return lost_ms - run.placed_ms < FRESH_MS
    had_contact = run.placed_ms - worker.last_contact_ms < FRESH_MS
    return run.lost_connection_at_start or had_contact or not is_polled
