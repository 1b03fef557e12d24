"""Handles the end of an attempt: the task is done, is retried or is given up.

Tasks may fail immediately, by the thousand. Retried at once and without a limit, a
broken batch run takes as many placements as all other work of the cell, and a broken
service starts and stops several times a second.

A batch task is given up after ``MAX_FAILURES`` failures, and a job after
``MAX_CONSECUTIVE_FAILURES`` failures on at least ``MIN_FAILING_WORKERS`` workers
without a success in between. A service is restarted indefinitely, after a pause that
doubles each time a task ends, or is lost with its worker soon after its start. A gang
that loses a task is stopped completely and all its tasks start again together.

A task on a worker that fell silent has *expired*: the worker may have crashed or only
be cut off. Its loss is *in doubt* until the worker reports again, and counts only if
that is another boot. A task is not given up for losses in doubt. With ``MAX_LOSSES`` of
them and others its job pauses before each further start, since workers that never
return prove nothing, and the task may still have crashed them.
"""

# A second attempt survives a faulty worker, a third one two of them in a row.
MAX_FAILURES = 3
# A task lost this often together with its worker is probably the cause.
MAX_LOSSES = 4
MAX_CONSECUTIVE_FAILURES = 32
MIN_FAILING_WORKERS = 3
INITIAL_PAUSE_MS = 100
MAX_PAUSE_MS = 30_000
# A service task that ran for this long resets the pause.
HEALTHY_MS = 60_000
# A loss this soon after the start counts against the task.
EARLY_LOSS_MS = 60_000
# The pause before a start with ``MAX_LOSSES`` losses, some of them in doubt; it doubles
# with each further one.
DOUBT_PAUSE_MS = 2000
MAX_DOUBT_PAUSE_MS = 60_000
# How a task ends whose worker is lost; the worker of an expired one is only silent.
LOST, EXPIRED = "lost", "expired"


def handle_end(state, quarantine, poison_jobs, run, outcome):
    """Release what a run held and, by its outcome, finish or retry its task."""
    job = run.job
    state.release(run)
    _update_counts(job, run, outcome)
    if outcome == "finished":
        quarantine.on_finished(run)
    elif outcome in ("failed", "refused"):
        quarantine.on_failed(run, outcome)
    else:
        quarantine.on_ended_otherwise(run)
    if outcome in (LOST, EXPIRED):
        poison_jobs.on_run_lost(run, outcome == EXPIRED)
    elif outcome in ("finished", "failed"):
        poison_jobs.clear_suspicion(job)
    if job.is_service():
        # Kept also for a task that is no longer wanted: the service may grow again, and
        # a worker takes a repeated attempt number for one that it has already started.
        job.attempts[run.number] = run.attempt
    if job.cancelled or run.number >= job.spec.tasks:
        return
    if job.is_service():
        _end_service(state, run, outcome)
    else:
        _end_task(state, run, outcome)


def record_past_end(state, job, number, attempt, outcome):
    """Record an end that a previous owner saw, of a task that runs nowhere now."""
    if job.is_service() or outcome != "finished":
        job.attempts[number] = max(attempt, job.attempts.get(number, 0))
    elif number < job.spec.tasks and job.waiting and number not in job.final_numbers:
        job.claim(number)
        job.mark_final(number)
        job.finished += 1
        if not job.waiting:
            state.backlog.remove(job)


def restore_losses(state, job, losses, in_doubt):
    """Restore the losses of tasks under previous owners; give up those at the limit."""
    for number, worker_id in in_doubt:
        _add_doubt(state, job, number, worker_id)
    for number, count in losses.items():
        job.losses[number] = count
        _give_up_if_due(state, job, number)
    if not job.waiting:
        state.backlog.remove(job)
    for number in dict(job.in_doubt):
        _pause_in_doubt(state, job, number)


def end_silence(state, job, worker_id, has_crashed):
    """Settle a job's losses in doubt with a worker: they count if it has crashed."""
    numbers = [number for number, where in job.in_doubt if where == worker_id]
    job.in_doubt = [loss for loss in job.in_doubt if loss[1] != worker_id]
    if not has_crashed:
        job.not_before_ms = state.now_ms
        state.enqueue(job)
        return
    for number in numbers:
        job.losses[number] = job.losses.get(number, 0) + 1
        _give_up_if_due(state, job, number)


def _add_doubt(state, job, number, worker_id):
    job.in_doubt.append((number, worker_id))
    state.jobs_in_doubt.setdefault(worker_id, {})[job] = None


def _give_up_if_due(state, job, number):
    """Give up a waiting task at the limit, and with it the rest of a gang."""
    if job.losses[number] < MAX_LOSSES or not job.is_waiting(number):
        return
    job.claim(number)
    _give_up_lost(job, number)
    if job.is_gang():
        _give_up_rest(state, job)
    elif not job.waiting:
        state.backlog.remove(job)


def review(state, job):
    """Enqueue a job whose pause is over; restart a gang that runs only in part."""
    if job.is_gang() and job.runs and job.waiting and not job.cancelled:
        _restart_gang(state, job)
    state.enqueue(job)


def _update_counts(job, run, outcome):
    if outcome == "finished":
        job.ended_runs += 1
        job.consecutive_failures = 0
        job.failed_on.clear()
        job.avoided_worker_id = ""
    elif outcome == "failed":
        job.ended_runs += 1
        job.failed_runs += 1
        job.consecutive_failures += 1
        job.avoided_worker_id = run.worker_id
        if len(job.failed_on) < MIN_FAILING_WORKERS:
            job.failed_on.add(run.worker_id)
    elif outcome == "refused":
        job.avoided_worker_id = run.worker_id


def _end_service(state, run, outcome):
    job = run.job
    is_pausing = state.now_ms < job.not_before_ms
    if outcome in ("finished", "failed"):
        _pause(state, run)
    elif _is_early_loss(state, run, outcome) and not is_pausing:
        # One pause for all tasks lost with a rack.
        _pause(state, run)
    job.requeue(run.number)
    state.enqueue(job, first=True)


def _pause(state, run):
    job = run.job
    if state.now_ms - run.started_ms > HEALTHY_MS:
        job.restarts = 0
    pause_ms = min(INITIAL_PAUSE_MS << min(job.restarts, 16), MAX_PAUSE_MS)
    job.restarts += 1
    job.not_before_ms = state.now_ms + pause_ms
    state.backlog.remove(job)
    state.schedule_review(job.not_before_ms, job)


def _end_task(state, run, outcome):
    job, number = run.job, run.number
    if outcome == "finished":
        job.finished += 1
        job.mark_final(number)
        # The other tasks of a gang may have been waiting for this one to end.
        state.enqueue(job, first=True)
        return
    if job.given_up or _exhausts_attempts(state, run, outcome):
        if outcome == LOST:
            _give_up_lost(job, number)
        else:
            job.failed += 1
            job.mark_final(number)
        if job.is_gang() or _is_broken(state, job):
            _give_up_rest(state, job)
        return
    job.attempts[number] = run.attempt
    job.requeue(number, failed=outcome == "failed")
    if _is_broken(state, job):
        _give_up_rest(state, job)
        return
    if outcome == EXPIRED:
        _pause_in_doubt(state, job, number)
    if job.is_gang() and job.runs:
        _restart_gang(state, job)
    else:
        state.enqueue(job, first=True)


def _pause_in_doubt(state, job, number):
    """Pause a job if a task of it has too many losses, some of them in doubt."""
    doubts = sum(each == number for each, _worker_id in job.in_doubt)
    excess = doubts + job.losses.get(number, 0) - MAX_LOSSES
    if excess < 0:
        return
    pause_ms = min(DOUBT_PAUSE_MS << min(excess, 16), MAX_DOUBT_PAUSE_MS)
    job.not_before_ms = state.now_ms + pause_ms
    state.backlog.remove(job)
    state.schedule_review(job.not_before_ms, job)


def _give_up_lost(job, number):
    """Give up a task that was lost too often; keep its count for the next owner."""
    job.failed += 1
    job.mark_final(number)
    job.losses[number] = MAX_LOSSES


def _exhausts_attempts(state, run, outcome):
    job, number = run.job, run.number
    if outcome == "failed":
        job.failures[number] = job.failures.get(number, 0) + 1
        return job.failures[number] >= MAX_FAILURES
    if not _is_early_loss(state, run, outcome):
        return False
    if outcome == EXPIRED:
        _add_doubt(state, job, number, run.worker_id)
        return False
    job.losses[number] = job.losses.get(number, 0) + 1
    return job.losses[number] >= MAX_LOSSES


def _is_early_loss(state, run, outcome):
    is_lost = outcome in (LOST, EXPIRED)
    return is_lost and state.now_ms - run.started_ms <= EARLY_LOSS_MS


def _is_broken(state, job):
    min_workers = min(MIN_FAILING_WORKERS, len(state.cell.workers))
    return (
        job.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
        and len(job.failed_on) >= min_workers
    )


def _give_up_rest(state, job):
    job.given_up = True
    job.failed += job.waiting
    job.waiting = 0
    state.backlog.remove(job)
    if job.is_gang():
        for run in job.runs.values():
            state.stop(run)


def _restart_gang(state, job):
    """Stop the running tasks of a gang, so that all its tasks start again together."""
    state.backlog.remove(job)
    for run in job.runs.values():
        state.stop(run, run.gentlest_stop())
