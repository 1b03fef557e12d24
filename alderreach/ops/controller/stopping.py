"""Why and since when runs are to be stopped, for the log and the metrics only.

A run that is to be stopped gets a ``Stop``, which counts the orders that were sent for
it. Nothing here decides or sends anything. Each run is reported at most once for each
of these: it is still there long after it was to be stopped, and its stop is neither on
its way nor due to be sent.
"""

from alderreach.core import cell_state
from alderreach.decisions.cell import workers
from alderreach.ops.controller import job_runs

# A run that is still there after this time is reported. It is well below the time that
# any customer is promised for a cancel, and above that of an unanswered call.
OVERDUE_MS = 2000
# Interval at which the way of a stop is looked at. A stop counts as stranded at the
# second look, as it may wait for the event loop, or its answer for the leader's task.
LOOK_INTERVAL_MS = 500
# The most runs that one line names.
MAX_NAMED_RUNS = 20

CANCELLED = "cancelled"
JOB_FAILED = "job_failed"
JOB_OVER = "job_over"
EVACUATED = "evacuated"
MOVED = "moved"
PREEMPTED = "preempted"
ABANDONED = "abandoned"
DUPLICATE = "duplicate"
GANG = "gang"
# The worker has shrunk, and the start, which has no answer, does not fit any more.
SHRUNK = "shrunk"
# A start got an answer that does not prove that the run is not there.
START_UNCLEAR = "start_unclear"
# The worker does not list the run.
NOT_LISTED = "not_listed"
# A run that was to be stopped is there in the worker's next incarnation.
LISTED_AGAIN = "listed_again"


class Stop:
    """The stopping of one run.

    ``reasons`` maps each reason to the time at which it was first given, oldest first.
    ``order`` is the latest stop, and ``confirmed_ms`` the time at which the worker
    confirmed one. ``sends_when_missing`` is the number of stops sent when the last look
    found none on its way, or None if it found one.
    """

    __slots__ = (
        "confirmed_ms",
        "first_sent_ms",
        "is_overdue",
        "is_stranded",
        "next_look_ms",
        "order",
        "outcome",
        "reasons",
        "sends",
        "sends_when_missing",
    )

    def __init__(self, reason, now_ms):
        self.reasons = {reason: now_ms}
        self.sends = 0
        self.first_sent_ms = None
        self.order = None
        self.outcome = ""
        self.confirmed_ms = None
        self.next_look_ms = now_ms + LOOK_INTERVAL_MS
        self.sends_when_missing = None
        self.is_overdue = False
        self.is_stranded = False

    def began_ms(self):
        """The time since which the run is to be stopped."""
        return next(iter(self.reasons.values()))

    def text(self):
        """The reasons as text, oldest first.

        >>> stop = Stop(MOVED, 100)
        >>> stop.reasons[CANCELLED] = 250
        >>> stop.text(), stop.began_ms()
        ('moved+cancelled', 100)
        """
        return "+".join(self.reasons)


def reason_of_end(job):
    """Why the runs of a job that has ended are stopped; ``job`` may be None."""
    state = job.state if job is not None else ""
    reasons = {cell_state.CANCELLED: CANCELLED, cell_state.FAILED: JOB_FAILED}
    return reasons.get(state, JOB_OVER)


def begin(leader, run, reason):
    """Note that a run is to be stopped; later reasons are added to the first one."""
    if run.stop is None:
        run.stop = Stop(reason, leader.now_ms())
        leader.environment.metrics.count("runs_to_stop", reason)
    else:
        run.stop.reasons.setdefault(reason, leader.now_ms())


def note_sent(leader, run, order):
    """Note a stop that was handed to the worker's link."""
    stop = run.stop
    if stop is None:
        return
    stop.sends += 1
    stop.order = order
    if stop.first_sent_ms is None:
        stop.first_sent_ms = leader.now_ms()


def note_answer(leader, run, outcome):
    """Note the result of a stop."""
    leader.environment.metrics.count("stops", outcome)
    if run.stop is None:
        return
    run.stop.outcome = outcome
    if run.state == workers.CLOSED and run.stop.confirmed_ms is None:
        run.stop.confirmed_ms = leader.now_ms()


def fields_at_end(leader, run):
    """Fields for the line about a run's end: none if it was not to be stopped."""
    stop = run.stop
    if stop is None:
        return {}
    closing_ms = leader.now_ms() - stop.began_ms()
    leader.environment.metrics.observe_ms("run_stop", closing_ms)
    return {
        "stop_reason": stop.text(),
        "closing_ms": closing_ms,
        "stops": stop.sends,
        "first_stop_ms": _since_begin(stop, stop.first_sent_ms),
        "confirmed_after_ms": _since_begin(stop, stop.confirmed_ms),
    }


def check(leader, worker, run, now_ms):
    """Report a run that outlives its stop, and a stop that is not on its way."""
    stop = run.stop
    if not stop.is_overdue and now_ms - stop.began_ms() >= OVERDUE_MS:
        stop.is_overdue = True
        leader.environment.metrics.count("runs_outlive_stop", next(iter(stop.reasons)))
        _report(leader, "run_outlives_stop", worker, run, now_ms)
    if stop.is_stranded or now_ms < stop.next_look_ms:
        return
    stop.next_look_ms = now_ms + LOOK_INTERVAL_MS
    if _is_stranded(leader, worker, run):
        stop.is_stranded = True
        leader.environment.metrics.count("stops_stranded")
        _report(leader, "stop_stranded", worker, run, now_ms)


def record_cancel(leader, job_id, found, decided_ms):
    """Log an acknowledged cancel, and what it found of the job's runs."""
    commit_ms = leader.now_ms() - decided_ms
    leader.environment.metrics.observe_ms("cancel_commit", commit_ms)
    leader.environment.record(
        "cancel_acknowledged",
        job=job_id,
        commit_ms=commit_ms,
        runs_to_stop=len(found.known),
        runs_missing=len(found.missing),
        missing=found.missing[:MAX_NAMED_RUNS],
        runs_in_doubt=len(found.in_doubt),
        in_doubt=found.in_doubt[:MAX_NAMED_RUNS],
    )


def names(worker, runs):
    """The names of some runs on a worker, as many as one line may have."""
    return [job_runs.name_of(run.key, run.run, worker.target_id) for run in runs][
        :MAX_NAMED_RUNS
    ]


def fields_of_unknown(leader, key):
    """What the leader knows about the task of a run that it does not know."""
    job = leader.state.jobs.get(key.job_id) if key is not None else None
    task = cell_state.find_task(leader.state, key) if job is not None else None
    if task is None:
        return {"job_state": job.state if job is not None else "unknown"}
    return {
        "job_state": job.state,
        "task_state": task.state,
        "newest_run": task.run,
        "newest_target": task.target_id,
        "in_doubt": [[each.run, each.target_id] for each in task.in_doubt],
    }


def _is_stranded(leader, worker, run):
    """Whether two looks in a row found no stop on its way, and none due.

    The first list of a new incarnation has a stop sent again or ends the run.
    """
    stop = run.stop
    awaits_answer = run.state == workers.CLOSING and stop.sends > 0
    is_due = run.next_send_ms is not None or worker.awaits_list
    if (
        not awaits_answer
        or is_due
        or _orders_before(leader, worker, stop.order) is not None
    ):
        stop.sends_when_missing = None
        return False
    was_missing = stop.sends_when_missing == stop.sends
    stop.sends_when_missing = stop.sends
    return was_missing


def _report(leader, event, worker, run, now_ms):
    stop = run.stop
    next_send_ms = run.next_send_ms
    leader.environment.record(
        event,
        task=str(run.key),
        run=run.run,
        target=worker.target_id,
        state=run.state,
        stop_reason=stop.text(),
        closing_ms=now_ms - stop.began_ms(),
        stops=stop.sends,
        outcome=stop.outcome,
        next_stop_in_ms=None if next_send_ms is None else next_send_ms - now_ms,
        before_stop=_orders_before(leader, worker, stop.order),
        before_start=_orders_before(leader, worker, run.order),
        starts=run.sends,
        failures=worker.failures,
        unheard_ms=now_ms - worker.last_contact_ms,
        lease_left_ms=worker.lease_end_ms - now_ms,
        awaits_list=worker.awaits_list,
        worker_state=worker.record.state,
    )


def _orders_before(leader, worker, order):
    """How many orders are before one on its way; None if it is not on its way."""
    if order is None:
        return None
    return leader.links[worker.target_id].orders_before(order)


def _since_begin(stop, time_ms):
    return None if time_ms is None else time_ms - stop.began_ms()
