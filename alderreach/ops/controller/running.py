"""Takeover of workers and runs by a new leader, and their periodic checks."""

from absl import logging

from alderreach.core import cell_state, crashes
from alderreach.decisions.cell import workers
from alderreach.ops.controller import order_answers, worker_lifecycle, worker_polls

# The number of workers checked in one tick. In larger cells the checks are spread over
# several ticks, which leaves the leader time for decisions.
MAX_CHECKS_PER_TICK = 600


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
                _adopt_in_doubt(leader, key, task)
    for worker in leader.workers.values():
        worker_polls.poll(leader, worker)


def tick(leader, now_ms):
    """Resend unanswered orders, poll, and act on expired leases and silent workers."""
    for worker in leader.next_to_check(MAX_CHECKS_PER_TICK):
        worker_lifecycle.check(leader, worker, now_ms)
        for run in list(worker.runs.values()):
            if run.next_send_ms is not None and now_ms >= run.next_send_ms:
                run.next_send_ms = None
                order_answers.resend(leader, worker, run)
        if worker.poll_sent_ms is None:
            worker_polls.poll_if_due(leader, worker, now_ms)
        worker_lifecycle.forget_if_silent(leader, worker, now_ms)


def _adopt_in_doubt(leader, key, task):
    """Take over the runs of a task whose ends are not known yet."""
    for run, target_id, born_ms in task.in_doubt:
        worker = leader.workers.get(target_id)
        if worker is not None and worker.record.born_ms == born_ms:
            worker.runs_in_doubt[(key, run)] = crashes.CRASHED_AT_START


def _adopt(leader, key, task, step, now_ms):
    worker = leader.workers.get(task.target_id)
    if worker is None:
        logging.error("run of %s on unknown worker %s", key, task.target_id)
        return
    run = workers.Run(key, task.run, step, now_ms)
    run.sends = 1
    run.is_fully_observed = False
    run.next_send_ms = None
    if run.best_effort:
        run.pace = None
    worker.add(run)
