"""Applies a worker's reports and answers to the placements on it.

Reports and answers can cross: a report created before a run was accepted may arrive
after the acceptance and does not list the task. A missing task therefore counts as
ended only if an earlier report listed it, or if the worker answered that it does not
know the task.
"""

from alderreach.ops.placer import jobs


def handle_running_task(placing, announcement, task, now_ms):
    """Handle a running task in a report: placed there, to be adopted, or astray."""
    placement = placing.placements.by_task.get(task.task_id)
    if placement is not None and _is_same_attempt(placement, announcement, task):
        placement.reported = True
        placing.on_task_started(placement, now_ms)
        return
    state = placing.jobs.get(jobs.job_of(task.task_id))
    if state is None:
        placing.add_orphan(announcement.target_id, task.task_id)
        if task.task_id.startswith(jobs.SERVICE_PREFIX):
            # The service was deleted or changed while the domain had no owner.
            placing.commands.stop_stray(
                announcement.target_id, task.task_id, task.attempt
            )
        return
    is_ended = state.is_final or jobs.number_of(task.task_id) in state.finished
    is_unsent = placement is not None and placement.state == "starting"
    if is_unsent and not placement.sent and not is_ended:
        placing.end_attempt(placement, "stopped", now_ms)
        placement = None
    if is_ended or placement is not None:
        placing.add_orphan(announcement.target_id, task.task_id)
        placing.commands.stop_stray(announcement.target_id, task.task_id, task.attempt)
        return
    placing.adopt(announcement, task, state, now_ms)


def _is_same_attempt(placement, announcement, task):
    record = placement.record
    return record.attempt == task.attempt and record.worker_id == announcement.target_id


def handle_ended_task(placing, announcement, task, now_ms):
    """Handle an ended task in a report; returns whether the worker may forget it.

    A finish may be forgotten once the keepers store it: otherwise a takeover would run
    the task again. No attempt may be forgotten while a copy of its run command can
    still arrive, since the worker would start it again.
    """
    placement = placing.placements.by_task.get(task.task_id)
    if placement is not None and _is_same_attempt(placement, announcement, task):
        placing.end_attempt(placement, _outcome(placement, task.state), now_ms)
        placement = None
    key = (task.task_id, task.attempt)
    if placing.may_run_arrive(key, now_ms):
        return False
    state = placing.jobs.get(jobs.job_of(task.task_id))
    if state is None:
        return placing.knows_all_jobs
    if state.final_durable or state.is_service or task.state != "finished":
        return True
    number = jobs.number_of(task.task_id)
    if number not in state.finished:
        if placement is not None:
            return True
        placing.record_finish(state, number, now_ms)
    return number in state.durable_finished


def _outcome(placement, reported_state):
    """Return the outcome; an unrequested stop, as at a lease end, is no failure."""
    if reported_state == "stopped":
        return placement.outcome or "stopped"
    return reported_state


def handle_missing_task(placing, placement, now_ms):
    """Handle a placed task missing in the report of a worker that knows this epoch."""
    if now_ms < placement.may_start_until_ms:
        return
    if placement.state == "held":
        placing.end_attempt(placement, "stopped", now_ms)
    elif placement.state == "running":
        if placement.reported:
            placing.end_attempt(placement, "stopped", now_ms)
        elif now_ms - placement.accepted_ms > placing.lease_expiry_ms:
            placing.stop(placement, "stop", "stopped", now_ms)
    elif placement.state == "stopping":
        if placement.reported or not placement.sent:
            placing.end_attempt(placement, placement.outcome, now_ms)


def handle_command_answer(placing, placement, command, answer, now_ms):
    """Handle a worker's answer to one command."""
    if command == "run":
        _handle_run_answer(placing, placement, answer, now_ms)
        return
    if not answer.accepted:
        if command == "checkpoint":
            placement.end_command = "stop"
        else:
            placement.reported = True
    placing.commands.push_due(placement, now_ms + placing.timing.target_heartbeat_ms)


def _handle_run_answer(placing, placement, answer, now_ms):
    if answer.accepted:
        placing.on_task_started(placement, now_ms)
        return
    if placement.state != "starting":
        return
    placement.refused = True
    placing.record_task_event("task_refused", placement.record, answer.reason)
    placing.commands.push_due(placement, max(now_ms, placement.may_start_until_ms))
