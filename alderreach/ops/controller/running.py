"""Takeover of workers and runs by a new leader, and their periodic checks."""

import collections

from absl import logging

from alderreach.core import cell_state, crashes
from alderreach.decisions.cell import crash_blame, workers
from alderreach.ops.controller import (
    lost_calls,
    lost_contact,
    order_answers,
    runs,
    stopping,
    verdicts,
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
    restarted, over = [], []
    for job in leader.state.jobs.values():
        for (occurrence, number), tasks in job.groups.items():
            for index, task in enumerate(tasks):
                if task.state != cell_state.PLACED and not task.in_doubt:
                    continue
                key = cell_state.TaskKey(job.record.job_id, occurrence, number, index)
                if task.state == cell_state.PLACED:
                    run = _adopt(leader, key, task, job.record.steps[number], now_ms)
                    if run is not None and _has_restarted(leader, task):
                        restarted.append((leader.workers[task.target_id], run))
                step = job.record.steps[number]
                over += _adopt_in_doubt(leader, key, task, step, now_ms)
    for key, in_doubt in over:
        # The previous leader had not judged the crash yet.
        end_kind = crash_blame.weakened(in_doubt.crash_kind)
        runs.record_resolved(leader, key, in_doubt.run, end_kind)
    _judge_restarted(leader, restarted)
    adopted = leader.workers.values()
    leader.environment.record(
        "runs_adopted",
        runs=sum(len(worker.runs) for worker in adopted),
        in_doubt=sum(len(worker.runs_in_doubt) for worker in adopted),
        noted=sum(len(worker.noted_ends) for worker in adopted),
        resolved=len(over),
        restarted=len(restarted),
    )
    for worker in leader.workers.values():
        if worker.runs:
            worker_polls.poll(leader, worker)


def tick(leader, now_ms):
    """Resend unanswered orders, poll, and act on expired leases and silent workers."""
    if verdicts.are_due(leader, now_ms):
        lost_contact.record_overdue(leader, now_ms)
        for key, run_number, end_kind in verdicts.pop_due(leader, now_ms):
            runs.record_resolved(leader, key, run_number, end_kind)
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
    hold resources of its worker and count against its customer's cap. What it knew of
    the run tells how much a crash of the worker counts. Returns those whose worker is
    known to have crashed, with their key.
    """
    over = []
    for in_doubt in task.in_doubt:
        run_number, target_id, born_ms, crash_kind = in_doubt
        worker = leader.workers.get(target_id)
        if worker is None or worker.record.born_ms != born_ms:
            over.append((key, in_doubt))
            continue
        worker.runs_in_doubt[(key, run_number)] = crash_kind or "lost"
        worker.adopted_in_doubt.add((key, run_number))
        if step.allow_duplicates and not step.gang and key not in worker.runs:
            run = _add_started(leader, worker, key, run_number, step, now_ms)
            run.abandoned = True
    return over


def _adopt(leader, key, task, step, now_ms):
    """Take over the run that a task is placed in; returns it, or None."""
    worker = leader.workers.get(task.target_id)
    if worker is None:
        logging.error("run of %s on unknown worker %s", key, task.target_id)
        return None
    run = _add_started(leader, worker, key, task.run, step, now_ms)
    if task.noted is not None and task.noted.run == task.run:
        worker.noted_ends[(key, task.run)] = task.noted.crash_kind
    job = leader.state.jobs[key.job_id]
    if job.state != cell_state.ACTIVE:
        stopping.begin(leader, run, stopping.reason_of_end(job))
    return run


def _has_restarted(leader, task):
    """Whether a task's worker has restarted, and the end of its run is not logged."""
    return task.born_ms < leader.workers[task.target_id].record.born_ms


def _judge_restarted(leader, restarted):
    """Note how the runs on workers that have restarted ended.

    The previous leader knew of the restarts. It is not known whether a run had begun,
    or when its worker crashed, so several such workers may have crashed together.
    """
    by_worker = collections.Counter(worker.target_id for worker, _run in restarted)
    by_job = collections.Counter(run.key.job_id for _worker, run in restarted)
    by_both = collections.Counter(
        (worker.target_id, run.key.job_id) for worker, run in restarted
    )
    for worker, run in restarted:
        target_id, job_id = worker.target_id, run.key.job_id
        known = by_worker[target_id] + by_job[job_id] - by_both[(target_id, job_id)]
        is_alone = known == len(restarted)
        noted_end = worker.noted_ends.get((run.key, run.run))
        unproved = crashes.UNPROVED if is_alone else crashes.UNPROVED_WITH_OTHERS
        worker.previous_ends[(run.key, run.run)] = noted_end or unproved


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
