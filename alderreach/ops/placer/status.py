"""Statuses of an owner's jobs and targets, and its replies to queries."""

from alderreach.core import codec
from alderreach.core.generated import common, placer
from alderreach.decisions import maintenance

NOTHING = common.Resources(0, 0, 0)
MAX_NAMED_TASKS = 3


def current_status(placing, state, wall_ms=0):
    """Return a job's current JobStatus."""
    if state.is_final:
        return state.status
    job_id, tasks = state.job.job_id, state.job.tasks
    placed = placing.placements.of_job(job_id)
    running = sum(p.state != "starting" for p in placed)
    job_progress = placing.scheduler.job_status(job_id)
    finished, failed = len(state.finished), job_progress.failed if job_progress else 0
    name, reason = "waiting", job_progress.reason if job_progress else ""
    if (
        job_progress
        and job_progress.state == "impossible"
        and not placed
        and not state.cancelled
    ):
        name = "impossible"
    elif finished >= tasks:
        name, reason = "finished", ""
    elif state.cancelled and not placed:
        name, reason = "cancelled", ""
    elif not placed and finished + failed >= tasks:
        name = "failed"
    elif placed or finished:
        name = "running"
    return common.JobStatus(
        job_id, name, reason, running, finished, failed, placing.epoch, wall_ms
    )


def make_item(placing, state):
    """Return the status item's value for ``item_writer.ItemWriter.mark``."""
    state.status = current_status(placing, state, placing.wall_ms())

    def durable():
        state.final_durable = state.is_final

    return codec.encode(state.status), durable


def counts(placing):
    """Return the owner's counts for the process's status."""
    return {
        "targets": len(placing.members.targets),
        "placements": len(placing.placements.by_task),
        "jobs": len(placing.jobs),
    }


def job_reply(placing, query):
    """Answer a JobQuery."""
    if query.job_id:
        states = [placing.jobs[query.job_id]] if query.job_id in placing.jobs else []
    else:
        states = list(placing.jobs.values())
    statuses = [current_status(placing, state, placing.wall_ms()) for state in states]
    tasks = _task_views(placing, states[0]) if query.job_id and states else []
    return placer.JobReply(query.request_id, True, statuses, tasks)


def _task_views(placing, state):
    views = []
    for number in range(state.job.tasks):
        task_id = f"{state.job.job_id}/{number}"
        placement = placing.placements.by_task.get(task_id)
        attempt = state.attempts.get(number, 0)
        if placement is not None:
            name = "running" if placement.state == "held" else placement.state
            views.append(
                placer.TaskView(task_id, attempt, name, placement.record.worker_id)
            )
            continue
        name = "finished" if number in state.finished else "waiting"
        if name == "waiting" and state.is_final:
            name = "failed"
        views.append(placer.TaskView(task_id, attempt, name, ""))
    return views


def target_reply(placing, request_id, windows, wall_ms):
    """Answer a TargetQuery."""
    rows = [
        target_row(placing, target, windows, wall_ms)
        for _, target in sorted(placing.members.targets.items())
    ]
    return placer.TargetReply(request_id, True, rows)


def target_row(placing, target, windows, wall_ms):
    """Return one target's row for operators."""
    announcement = target.announced
    placements = placing.placements.on_worker(announcement.target_id)
    reserved = common.Resources(
        *(
            sum(kind)
            for kind in zip(NOTHING, *(p.task for p in placements), strict=True)
        )
    )
    tasks = len(placements) if announcement.kind == "worker" else announcement.slots
    state = target.state
    quarantined = (
        placing.scheduler.worker_state(announcement.target_id) == "quarantined"
    )
    if state == "ready" and quarantined:
        state = "quarantined"
    note = _describe_state(placing, target, placements, windows, wall_ms, quarantined)
    return placer.TargetRow(
        announcement.target_id,
        announcement.kind,
        announcement.vm,
        announcement.rack,
        announcement.failure_domain,
        state,
        announcement.capacity,
        reserved,
        tasks,
        note,
    )


def _describe_state(placing, target, placements, windows, wall_ms, quarantined):
    announcement = target.announced
    phase = maintenance.phase_of(windows, announcement.vm, announcement.rack, wall_ms)
    if phase:
        return f"maintenance {phase}: {_describe_readiness(placements)}"
    if not target.reported:
        return "known from the owner before, not reported yet"
    if target.state == "suspect":
        return "silent, or fell too often lately"
    if quarantined:
        return "most of what it started failed"
    if target.state == "dead" and placements:
        return f"silent; held until its fate is known: {_list_tasks(placements)}"
    if announcement.kind == "worker" and not placing.workers.is_confirmed(
        announcement.target_id
    ):
        return "has not confirmed this owner's epoch"
    return ""


def _describe_readiness(placements):
    if not placements:
        return "ready, nothing runs"
    return f"not ready, {len(placements)} tasks run: {_list_tasks(placements)}"


def _list_tasks(placements):
    names = sorted(placement.record.task_id for placement in placements)
    more = ", ..." if len(names) > MAX_NAMED_TASKS else ""
    return ", ".join(names[:MAX_NAMED_TASKS]) + more
