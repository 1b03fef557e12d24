"""Checks after the faults of a day: the cell serves, and all accepted jobs end."""

import time

from tools.soak import cancels

# Time to recover after the last fault: elections, leases of 4.5 s, connections whose
# data the kernel buffers.
RECOVERY_S = 60
# During recovery, accepted work counts as lost if nothing at all starts for this time.
STILL_S = 20
POLL_S = 0.05


def check_service(calling, promises, accepted):
    """Check that jobs are accepted after the faults, and not ``accepted`` only."""
    deadline_s = time.monotonic() + STILL_S
    while len(calling.accepted) == accepted:
        if time.monotonic() > deadline_s:
            promises.violations.append("no job is accepted after the faults")
            return
        time.sleep(POLL_S)


def check_cancelled(calling, promises):
    """Check that nothing of cancelled jobs is left, late starts included."""
    bound_ms = cancels.STABLE_WINDOW_MS + cancels.CANCEL_MS + cancels.STOP_TIMEOUT_MS
    deadline_s = time.monotonic() + bound_ms / 1000
    running = lambda: [j for j in calling.cancelled if promises.running(j)]
    while running() and time.monotonic() < deadline_s:
        time.sleep(POLL_S)
    for job_id in running():
        promises.violations.append(f"{job_id} was cancelled and runs on")


def check_recovery(calling, promises):
    """Check that accepted jobs end as expected."""
    session = calling.session()
    starts, started_s = promises.starts, time.monotonic()
    left = [job_id for job_id in calling.accepted if job_id not in calling.cancelled]
    given_up = set()
    deadline_s = time.monotonic() + RECOVERY_S
    while left and time.monotonic() < min(deadline_s, started_s + STILL_S):
        left = [j for j in left if not is_as_expected(calling, promises, session, j)]
        given_up |= {
            j for j in left if is_excused_failure(calling, promises, session, j)
        }
        left = [job_id for job_id in left if job_id not in given_up]
        if promises.starts != starts:
            starts, started_s = promises.starts, time.monotonic()
        time.sleep(0.2)
    for job_id in left:
        first = next(iter(promises.unfinished(job_id)), "nothing")
        wanted = "running" if promises.is_long_running(job_id) else "completed"
        if promises.must_fail(job_id):
            wanted = "failed"
        promises.violations.append(f"{job_id} is not {wanted}: {first} is left")
    for job_id in calling.accepted:
        if job_id in {*calling.cancelled, *given_up, *left}:
            continue
        if promises.must_fail(job_id):
            continue
        if promises.unfinished(job_id):
            if not is_excused_failure(calling, promises, session, job_id):
                promises.violations.append(f"{job_id} is shown as completed and is not")


def is_excused_failure(calling, promises, session, job_id):
    """Whether a job is shown as failed, and workers crashed while running its tasks."""
    is_allowed = promises.may_fail(job_id) and not promises.must_fail(job_id)
    return is_allowed and calling.state(session, job_id) == "failed"


def is_as_expected(calling, promises, session, job_id):
    """Whether a job is in its expected state.

    That is completed, failed for jobs whose tasks crash their workers, and running with
    all its tasks for long-running ones. A cancellation that never got a clear answer
    may have taken effect or not; if it has, the job counts as cancelled from then on.
    """
    state = calling.state(session, job_id)
    if state == "cancelled" and job_id in calling.unclear:
        calling.cancelled.add(job_id)
        return True
    if promises.must_fail(job_id):
        return state == "failed"
    if not promises.is_long_running(job_id):
        return state == "completed"
    return state == "running" and not promises.unfinished(job_id)
