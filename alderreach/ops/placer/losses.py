"""Losses of tasks with their workers, which count against the tasks.

A task can't be the cause of a loss if it never began on the worker, nor if the worker
had said that it leaves. If a worker falls silent, its tasks have expired: they count
only once a later boot of the worker, or an operator, proves that it has crashed.
"""

from alderreach.core.generated import placer


def lose(placing, placement, announced, now_ms, outcome="lost"):
    """End an attempt with its worker, of which ``announced`` was the last report.

    ``outcome`` is ``expired`` for a worker that is only silent.
    """
    if announced.state != "ready" or placement.is_known_not_begun:
        outcome = "stopped"
    if outcome == "expired":
        placing.silent_boots[announced.target_id] = placement.boot_id
    placing.end_attempt(placement, outcome, now_ms)


def end_silence(placing, worker_id, has_crashed, now_ms):
    """Settle the losses of tasks that had expired on a worker."""
    if placing.silent_boots.pop(worker_id, None) is None:
        return
    for job_id in placing.scheduler.end_silence(worker_id, has_crashed, now_ms):
        record(placing, placing.jobs[job_id])
        placing.ledger.mark_job(placing.jobs[job_id])


def record(placing, state):
    """Schedule the write of a job's losses, unless the job has ended."""
    job_id = state.job.job_id
    if not placing.scheduler.is_known(job_id):
        return
    in_doubt = [
        placer.LossInDoubt(number, worker_id, placing.silent_boots[worker_id])
        for number, worker_id in placing.scheduler.losses_in_doubt(job_id)
    ]
    placing.ledger.record_losses(state, placing.scheduler.losses_of(job_id), in_doubt)


def restore(placing, state):
    """Restore a job's losses under previous owners."""
    for loss in state.in_doubt:
        placing.silent_boots[loss.worker_id] = loss.boot_id
    in_doubt = [(loss.number, loss.worker_id) for loss in state.in_doubt]
    placing.scheduler.restore_losses(state.job.job_id, state.losses, in_doubt)
