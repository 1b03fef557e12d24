"""Takeover of workers and runs by a new leader, and their periodic checks."""

from absl import logging

from alderreach.core import cell_state, crashes
from alderreach.decisions.cell import workers
from alderreach.ops.controller import (
    lost_calls,
    order_answers,
    runs,
    stopping,
    worker_lifecycle,
    worker_polls,
)

# The number of workers checked in one tick. In larger cells the checks are spread over
# several ticks, which leaves the leader time for decisions.
MAX_CHECKS_PER_TICK = 600
# A new leader opens connections to idle workers bit by bit. If it called thousands of
# them at once, it could not answer the other controllers in time and would be deposed.
MAX_FIRST_POLLS_PER_TICK = 40


def take_over(leader):
    """Take over all workers and the runs that the state has placed on them."""
    for record in leader.state.targets.values():
        leader.add_worker(record)
    now_ms = leader.now_ms()
    for job in leader.state.jobs.values():
        for (occurrence, number), tasks in job.groups.items():
            for index, task in enumerate(tasks):
                if task.state != cell_state.PLACED and not task.in_doubt:
                    continue
                key = cell_state.TaskKey(job.record.job_id, occurrence, number, index)
                if task.state == cell_state.PLACED:
                    _adopt(leader, key, task, job.record.steps[number], now_ms)
                _adopt_in_doubt(leader, key, task, job.record.steps[number], now_ms)
    for worker in leader.workers.values():
        if worker.runs:
            worker_polls.poll(leader, worker)


def tick(leader, now_ms):
    """Resend unanswered orders, poll, and act on expired leases and silent workers."""
    leader.end_pauses()
    first_polls = 0
    for worker in leader.next_to_check(MAX_CHECKS_PER_TICK):
        worker_lifecycle.check(leader, worker, now_ms)
        for run in list(worker.runs.values()):
            if run.next_send_ms is not None and now_ms >= run.next_send_ms:
                run.next_send_ms = None
                order_answers.resend(leader, worker, run)
            if run.stop is not None:
                stopping.check(leader, worker, run, now_ms)
        lost_calls.check(leader, worker, now_ms)
        is_first = not worker.has_seen_epoch and not worker.runs
        may_poll = not is_first or first_polls < MAX_FIRST_POLLS_PER_TICK
        if worker.poll_sent_ms is None and may_poll:
            worker_polls.poll_if_due(leader, worker, now_ms)
            first_polls += is_first and worker.poll_sent_ms is not None
        worker_lifecycle.forget_if_silent(leader, worker, now_ms)


def _adopt_in_doubt(leader, key, task, step, now_ms):
    """Take over the runs of a task whose ends are not known yet.

    The previous leader may have abandoned a run while its lease lasted, so it may still
    hold resources of its worker and count against its customer's cap.
    """
    for run_number, target_id, born_ms in task.in_doubt:
        worker = leader.workers.get(target_id)
        if worker is None or worker.record.born_ms != born_ms:
            continue
        worker.runs_in_doubt[(key, run_number)] = crashes.CRASHED_AT_START
        if step.allow_duplicates and not step.gang and key not in worker.runs:
            run = _add_started(leader, worker, key, run_number, step, now_ms)
            run.abandoned = True


def _adopt(leader, key, task, step, now_ms):
    worker = leader.workers.get(task.target_id)
    if worker is None:
        logging.error("run of %s on unknown worker %s", key, task.target_id)
        return
    if task.born_ms < worker.record.born_ms:
        # The previous leader knew of the restart, but has not recorded the run's end.
        worker.previous_ends[(key, task.run)] = crashes.WORKER_CRASHED
    run = _add_started(leader, worker, key, task.run, step, now_ms)
    job = leader.state.jobs[key.job_id]
    if job.state != cell_state.ACTIVE:
        stopping.begin(leader, run, stopping.reason_of_end(job))


def _add_started(leader, worker, key, run_number, step, now_ms):
    """Add a run that a previous leader may have started; returns it."""
    run = workers.Run(key, run_number, step, now_ms)
    run.sends = 1
    run.is_fully_observed = False
    run.next_send_ms = None
    if run.best_effort:
        run.pace = None
    runs.add(leader, worker, run)
    return run
