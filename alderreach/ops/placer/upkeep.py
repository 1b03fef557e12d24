"""Clears VMs before maintenance windows: closes workers, moves runners and tasks."""

from alderreach.decisions import maintenance

RUNNER_LEAVE_MS = 3000


def apply_windows(placing, windows, wall_ms, now_ms, leaving_since_ms):
    """Close the workers that windows cover, and clear them when it is time.

    ``leaving_since_ms`` maps VMs to the time when their runners began to leave; the
    caller keeps it between calls. A service's task is stopped only ``RUNNER_LEAVE_MS``
    after that time: entries are told of a leaving runner at once, and those that missed
    the message learn of it from the reply to their next request.
    """
    closed, leaving, clearing = set(), set(), []
    for target_id, target in placing.members.targets.items():
        announcement = target.announced
        phase = maintenance.phase_of(
            windows, announcement.vm, announcement.rack, wall_ms
        )
        if _is_being_stopped(placing, announcement):
            leaving.add(target_id)
        if phase not in ("closed", "clearing"):
            leaving_since_ms.pop(announcement.vm, None)
        elif announcement.kind == "worker":
            closed.add(target_id)
            if phase == "clearing":
                clearing.append(announcement)
        elif phase == "clearing":
            leaving.add(target_id)
    placing.workers.set_closed(closed)
    placing.members.set_leaving(leaving)
    for announcement in clearing:
        since_ms = leaving_since_ms.setdefault(announcement.vm, now_ms)
        remaining_ms = maintenance.time_left_ms(
            windows, announcement.vm, announcement.rack, wall_ms
        )
        may_stop_runner = now_ms - since_ms >= RUNNER_LEAVE_MS
        for placement in placing.placements.on_worker(announcement.target_id):
            _clear(placing, placement, remaining_ms, may_stop_runner, now_ms)


def _is_being_stopped(placing, announcement):
    """Whether a runner's own task is being stopped, as when a service shrinks.

    Such a runner is shown as leaving during the grace period of the stop, so that it
    gets no request that the stop would interrupt.
    """
    placement = placing.placements.by_task.get(announcement.task_id)
    return placement is not None and placement.state == "stopping"


def _clear(placing, placement, remaining_ms, may_stop_runner, now_ms):
    """Stop one task so that it starts elsewhere with the least lost work."""
    if placement.state not in ("running", "starting"):
        return
    state = placing.jobs[placement.job_id]
    if state.is_service:
        if may_stop_runner:
            placing.stop(placement, "stop", "stopped", now_ms)
    elif state.job.checkpoint:
        placing.stop(placement, "checkpoint", "checkpointed", now_ms)
    elif remaining_ms <= maintenance.STOP_LEAD_MS:
        placing.stop(placement, "stop", "stopped", now_ms)
