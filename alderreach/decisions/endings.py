"""What follows the end of an attempt: done, tried again, or given up on.

Load: tasks that fail at once, by the thousand. Retried at once and without end, a
broken batch run takes as many placements as the whole rest of the cell, and a broken
service starts and stops several times a second.

A batch task is given up on after ``FAILURES_ALLOWED`` failures, and a job after
``FAILURES_IN_A_ROW`` on at least ``WORKERS_TO_BLAME_JOB`` workers without one success
in between. A service is restarted for ever, with a pause that doubles if its tasks end,
or are lost with their workers soon after they start. A gang that
loses a task is stopped as a whole and starts again as a whole.
"""

# A second try survives a fault of the worker, a third the bad luck of two of them.
FAILURES_ALLOWED = 3
# A task lost so often with its worker has probably caused it.
LOSSES_ALLOWED = 4
FAILURES_IN_A_ROW = 32
WORKERS_TO_BLAME_JOB = 3
FIRST_PAUSE_MS = 100
LONGEST_PAUSE_MS = 30_000
# A service that ran for this long has recovered.
HEALTHY_MS = 60_000
YOUNG_MS = 60_000


def end(state, judge, poison_jobs, run, outcome):
    """Take in how a run ended."""
    job = run.job
    state.release(run)
    _count_end(job, run, outcome)
    if outcome == "finished":
        judge.on_finished(run)
    elif outcome in ("failed", "refused"):
        judge.on_failed(run, outcome)
    else:
        judge.on_ended_otherwise(run)
    if outcome == "lost":
        poison_jobs.lost(run)
    elif outcome in ("finished", "failed"):
        poison_jobs.survived(job)
    if job.is_service():
        # Also of a task that is no longer wanted: the service may grow again, and a
        # worker takes a repeated attempt for one that it has started already.
        job.attempts[run.number] = run.attempt
    if job.cancelled or run.number >= job.spec.tasks:
        return
    if job.is_service():
        _end_service(state, run, outcome)
    else:
        _end_task(state, run, outcome)


def end_unseen(state, job, number, attempt, outcome):
    """Note an end that an earlier owner saw of a task that runs nowhere now."""
    if job.is_service() or outcome != "finished":
        job.attempts[number] = max(attempt, job.attempts.get(number, 0))
    elif number < job.spec.tasks and job.waiting and number not in job.settled:
        job.claim(number)
        job.settle(number)
        job.finished += 1
        if not job.waiting:
            state.backlog.remove(job)


def restore_losses(state, job, losses):
    """Take up how often tasks were lost under earlier owners, and who was given up."""
    for number, count in losses.items():
        job.losses[number] = count
        is_open = job.waiting and number not in job.settled and number not in job.runs
        if count >= LOSSES_ALLOWED and is_open:
            job.claim(number)
            _give_up_lost(job, number)
    if not job.waiting:
        state.backlog.remove(job)


def review(state, job):
    """Let a job wait again whose pause is over; stop a gang that is left in part."""
    if job.is_gang() and job.runs and job.waiting and not job.cancelled:
        _regroup(state, job)
    state.enqueue(job)


def _count_end(job, run, outcome):
    if outcome == "finished":
        job.ends += 1
        job.failed_in_a_row = 0
        job.failed_on.clear()
        job.avoid = ""
    elif outcome == "failed":
        job.ends += 1
        job.failed_ends += 1
        job.failed_in_a_row += 1
        job.avoid = run.worker_id
        if len(job.failed_on) < WORKERS_TO_BLAME_JOB:
            job.failed_on.add(run.worker_id)
    elif outcome == "refused":
        job.avoid = run.worker_id


def _end_service(state, run, outcome):
    job = run.job
    is_pausing = state.now_ms < job.not_before_ms
    if outcome in ("finished", "failed"):
        _pause(state, run)
    elif _is_lost_young(state, run, outcome) and not is_pausing:
        # Once for all that a rack takes with it.
        _pause(state, run)
    job.return_task(run.number)
    state.enqueue(job, first=True)


def _pause(state, run):
    job = run.job
    if state.now_ms - run.started_ms > HEALTHY_MS:
        job.restarts = 0
    pause_ms = min(FIRST_PAUSE_MS << min(job.restarts, 16), LONGEST_PAUSE_MS)
    job.restarts += 1
    job.not_before_ms = state.now_ms + pause_ms
    state.backlog.remove(job)
    state.schedule_review(job.not_before_ms, job)


def _end_task(state, run, outcome):
    job, number = run.job, run.number
    if outcome == "finished":
        job.finished += 1
        job.settle(number)
        # The rest of a gang may have been waiting for this one to end.
        state.enqueue(job, first=True)
        return
    if job.given_up or _is_given_up(state, run, outcome):
        if outcome == "lost":
            _give_up_lost(job, number)
        else:
            job.failed += 1
            job.settle(number)
        if job.is_gang() or _is_hopeless(state, job):
            _give_up_rest(state, job)
        return
    job.attempts[number] = run.attempt
    job.return_task(number, failed=outcome == "failed")
    if _is_hopeless(state, job):
        _give_up_rest(state, job)
    elif job.is_gang() and job.runs:
        _regroup(state, job)
    else:
        state.enqueue(job, first=True)


def _give_up_lost(job, number):
    """Give up a task that was lost too often; the count stays for the next owner."""
    job.failed += 1
    job.settle(number)
    job.losses[number] = LOSSES_ALLOWED


def _is_given_up(state, run, outcome):
    job, number = run.job, run.number
    if outcome == "failed":
        job.failures[number] = job.failures.get(number, 0) + 1
        return job.failures[number] >= FAILURES_ALLOWED
    if _is_lost_young(state, run, outcome):
        job.losses[number] = job.losses.get(number, 0) + 1
        return job.losses[number] >= LOSSES_ALLOWED
    return False


def _is_lost_young(state, run, outcome):
    return outcome == "lost" and state.now_ms - run.started_ms <= YOUNG_MS


def _is_hopeless(state, job):
    enough = min(WORKERS_TO_BLAME_JOB, len(state.cell.workers))
    return job.failed_in_a_row >= FAILURES_IN_A_ROW and len(job.failed_on) >= enough


def _give_up_rest(state, job):
    job.given_up = True
    job.failed += job.waiting
    job.waiting = 0
    state.backlog.remove(job)
    if job.is_gang():
        for run in job.runs.values():
            state.stop(run)


def _regroup(state, job):
    """Stop what is left of a gang; it starts again as a whole."""
    state.backlog.remove(job)
    for run in job.runs.values():
        state.stop(run, run.gentlest_stop())
