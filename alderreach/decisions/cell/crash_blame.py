"""Blame for worker crashes: which tasks a crash counts against, and when one fails.

A poison job has a task that crashes every worker that starts it. If it were restarted
each time its worker is lost, it would take down a whole cell within seconds, and with
it the tasks on the same workers.

A crash is evidence against a task only as far as these are known:

- Whether its run had begun: the worker answered its start or listed it. The lack of an
  answer proves nothing, nor does a connection that closes: the worker may have crashed
  before the start reached it.
- How old the run was. A poison task mostly crashes its worker right at its start. So a
  crash counts most against the only fresh run, less if several were fresh, least
  against a run that is younger than a minute, and not at all against an older one.
- Whether contact with other workers was lost at the same time (``contact_losses``).
  Such a crash has another cause and does not count, unless the worker was lost at once
  after the start: waves of crashes seldom meet the same task so. If it is unclear
  whether it was the same time, it counts least against a run that had just started.

A worker that had announced that it drains or ends has not crashed. A task fails, and
its job with it, once its blame reaches ``BLAME_LIMIT`` and two of the crashes are
proved to have happened under its runs, or after ``MAX_CRASHES`` while no others were
lost. A task that lasts never fails: its starts are ``LASTING_RESTART_MS`` apart from
then on.

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
from alderreach.decisions.cell import contact_losses, workers

# A run is fresh for this time after it was placed, and until its worker confirms it.
FRESH_MS = 500
# A poison task mostly crashes its worker within this time of its start.
AT_ONCE_MS = 75
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
# with young runs. It fails a task if two of the crashes are proved.
BLAME_LIMIT = 9
MIN_PROVED_CRASHES = 2
# Without that proof so many crashes fail a task. One that crashes its workers may be
# started twice after its third crash at most.
MAX_CRASHES = 5
# With this blame a task starts alone: after one crash that counts.
SUSPECT_BLAME = 2
# Time between two starts of a lasting task with the blame at which others fail. Such a
# task has to run again at most 6 s after its last run.
LASTING_RESTART_MS = 5000


def is_suspect(blame):
    """Whether a task with this blame has to start alone on its worker."""
    return blame >= SUSPECT_BLAME


def reaches_blame_limit(blame):
    """Whether crashes of this weight fail a task, if they are proved to be its own."""
    return blame >= BLAME_LIMIT


def fails(blame, crash_kinds):
    """Whether a task with this blame, from crashes of these kinds, fails.

    >>> proved, unproved = crashes.CRASHED_AT_LONE_START, crashes.UNPROVED_AT_START
    >>> fails(12, [proved, proved]), fails(9, [proved, unproved])
    (True, False)
    >>> fails(9, 3 * [unproved]), fails(15, 5 * [unproved])
    (False, True)
    """
    proved = sum(kind in crashes.PROVED for kind in crash_kinds)
    is_enough = proved >= MIN_PROVED_CRASHES or count(crash_kinds) >= MAX_CRASHES
    return reaches_blame_limit(blame) and is_enough


def count(crash_kinds):
    """How many crashes are likely to have been under a run of their task."""
    return sum(kind != crashes.UNPROVED_WITH_OTHERS for kind in crash_kinds)


def has_to_wait(crash_count, runs_in_doubt):
    """Whether a task is not started before the end of one of its runs is known.

    Each run in doubt may prove to be a crash. A task whose workers may have crashed
    ``MAX_CRASHES`` times is not started: it would crash one worker more.

    >>> has_to_wait(crash_count=0, runs_in_doubt=5)
    False
    >>> has_to_wait(crash_count=4, runs_in_doubt=1)
    True
    """
    may_have_crashed = crash_count + runs_in_doubt
    return crash_count > 0 < runs_in_doubt and may_have_crashed >= MAX_CRASHES


def doubt_pause_ms(runs_in_doubt, earlier_pauses):
    """How long a task pauses after one more of its runs is in doubt.

    >>> [doubt_pause_ms(3, pauses) for pauses in range(3)], doubt_pause_ms(2, 0)
    ([2000, 4000, 8000], 0)
    """
    if runs_in_doubt < MAX_RUNS_IN_DOUBT:
        return 0
    return min(DOUBT_PAUSE_MS * 2**earlier_pauses, LONGEST_DOUBT_PAUSE_MS)


def ends_after_crash(
    worker,
    now_ms,
    is_known_suspect=lambda key: False,
    coincidence=lambda lost_run: contact_losses.ALONE,
):
    """How each run on a lost worker ended if it crashed, by (key, number of the run).

    Runs that were never sent to the worker are left out, since they were not there. If
    the task of a fresh run is a suspect, by ``is_known_suspect(key)``, it explains the
    crash, and other runs that the worker has confirmed are left out as well, unless
    they were placed after the suspect's isolation. ``coincidence(lost_run)`` tells, for
    a ``contact_losses.LostRun``, whether others were lost at the same time. What a
    previous leader has noted of a run takes precedence, since only that leader knew
    when it had begun.
    """
    present = [
        run
        for run in worker.runs.values()
        if run.sends and run.state != workers.CLOSED and not worker.is_planned_to_end()
    ]
    lost_ms = _lost_ms(worker, now_ms)
    is_polled = len(present) > 1
    fresh = [run for run in present if _was_fresh(run, worker, is_polled, lost_ms)]
    suspects = [run for run in fresh if is_known_suspect(run.key)]
    ends = {}
    for run in present:
        is_explained = run not in suspects and any(
            _explains(suspect, run, worker) for suspect in suspects
        )
        if lost_ms - run.placed_ms > YOUNG_MS or (is_explained and run.is_confirmed):
            continue
        noted_end = worker.noted_ends.get((run.key, run.run))
        if noted_end and not run.is_confirmed:
            ends[(run.key, run.run)] = noted_end
            continue
        may_be_fresh = run in fresh or _may_have_just_started(run, worker)
        lost_run = contact_losses.LostRun(run.key.job_id, may_be_fresh)
        is_blamed_as_fresh = run in fresh and not is_explained
        end_kind = crash_kind_beside(
            _crash_kind(run, is_blamed_as_fresh, may_be_fresh, len(fresh) == 1),
            coincidence(lost_run),
            may_be_fresh,
            was_lost_at_once(run, worker, now_ms),
        )
        if end_kind:
            ends[(run.key, run.run)] = end_kind
    return ends


def crash_kind_beside(end_kind, coincidence, may_be_fresh, was_lost_at_once):
    """The kind that a crash counts as beside losses of others; empty if it doesn't.

    >>> proved, losses = crashes.CRASHED_AT_LONE_START, contact_losses
    >>> crash_kind_beside(proved, losses.UNCLEAR, True, was_lost_at_once=False)
    'worker_crashed_with_others'
    >>> crash_kind_beside(proved, losses.SHARED, True, was_lost_at_once=False)
    ''
    >>> crash_kind_beside(proved, losses.SHARED, True, was_lost_at_once=True)
    'worker_crashed_at_start'
    """
    if coincidence == contact_losses.ALONE:
        return end_kind
    if not may_be_fresh:
        return ""
    if end_kind not in crashes.PROVED:
        return crashes.UNPROVED_WITH_OTHERS
    if was_lost_at_once:
        return crashes.CRASHED_AT_START
    is_unclear = coincidence == contact_losses.UNCLEAR
    return crashes.CRASHED_WITH_OTHERS if is_unclear else ""


def weakened(end_kind):
    """The kind that a crash counts as if it may have had another cause.

    >>> weakened(crashes.CRASHED_AT_LONE_START), weakened("lost")
    ('worker_crashed_with_others', 'lost')
    """
    if end_kind not in crashes.BLAME or end_kind == crashes.WORKER_CRASHED:
        return "lost"
    if end_kind in crashes.PROVED:
        return crashes.CRASHED_WITH_OTHERS
    return crashes.UNPROVED_WITH_OTHERS


def was_lost_at_once(run, worker, now_ms):
    """Whether contact with a worker was lost at once after the start of a run."""
    if run.order is None or not run.sends:
        return False
    begun_ms = run.confirmed_ms if run.is_confirmed else run.sent_ms
    _from_ms, to_ms = contact_losses.interval(worker, now_ms)
    return to_ms - begun_ms <= AT_ONCE_MS


def possibly_fresh(worker, now_ms):
    """The keys of tasks that may just have started when contact with a worker was lost.

    These are also the runs that the worker has not confirmed to this leader: a previous
    one may have started them a moment before.
    """
    lost_ms = _lost_ms(worker, now_ms)
    keys = [key for key, _run in worker.runs_in_doubt]
    keys += [
        run.key
        for run in worker.runs.values()
        if run.sends and not (run.is_confirmed and lost_ms - run.placed_ms >= FRESH_MS)
    ]
    return keys


def has_fresh_run(worker, now_ms):
    """Whether a worker has a run that was just placed, or whose start may arrive."""
    return any(
        now_ms - run.placed_ms < FRESH_MS or run.is_start_unanswered()
        for run in worker.runs.values()
    )


def _lost_ms(worker, now_ms):
    return now_ms if worker.first_failure_ms is None else worker.first_failure_ms


def _crash_kind(run, was_fresh, may_be_fresh, is_only_fresh):
    if not run.is_confirmed:
        return crashes.UNPROVED_AT_START if was_fresh else crashes.UNPROVED
    if not was_fresh:
        return crashes.CRASHED_AT_START if may_be_fresh else crashes.WORKER_CRASHED
    if is_only_fresh:
        return crashes.CRASHED_AT_LONE_START
    return crashes.CRASHED_AT_START


def _explains(suspect, run, worker):
    """Whether a fresh run of a suspect explains a crash under another run.

    A suspect without an answer may have been sent to a worker that the other run had
    just crashed.
    """
    has_begun = suspect.is_confirmed or suspect.lost_connection_at_start
    may_be_cause = run.is_confirmed and _may_have_just_started(run, worker)
    is_isolated = run.placed_ms - suspect.placed_ms >= SUSPECT_ISOLATION_MS
    return not is_isolated and (has_begun or not may_be_cause)


def _may_have_just_started(run, worker):
    """Whether a run gave no sign of life long after its start.

    It is not known when a run that a previous leader started had begun.
    """
    if not run.is_confirmed:
        return True
    return run.order is not None and worker.last_contact_ms - run.placed_ms < FRESH_MS


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
