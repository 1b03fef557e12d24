"""Polls of workers, and the actions that follow from their lists of runs and ends.

An end is acknowledged only once it is committed, since a worker may forget an
acknowledged end. A new leader that does not know the end would start the task again.
"""

from alderreach.core import cell_state, orders
from alderreach.core.generated import cell
from alderreach.decisions.cell import health, pacing, workers
from alderreach.ops.controller import (
    lost_calls,
    lost_contact,
    runs,
    starting,
    stopping,
    worker_lifecycle,
)

# A worker may hold its answer to a poll for this time until a run ends. It is a quarter
# of the time for which serving tasks may be disturbed by others.
MAX_POLL_WAIT_MS = 1000
# The wait is shortened so that this many polls fit into a lease.
POLLS_PER_LEASE = 3
# Delay before a failed poll is repeated, without extending the lease.
POLL_RETRY_MS = 300
# A call in progress for this time has reached the worker, so that a connection that
# closes then was closed by a crash at that moment.
HELD_AFTER_MS = 20
# A worker is polled without a wait for this time after the start of a run whose task
# may have crashed another one.
WATCH_MS = 150
# Between two changes of a share there are two reports of the tail latency.
MIN_PACE_INTERVAL_MS = 1100


def poll(leader, worker, wait_ms=MAX_POLL_WAIT_MS):
    """Poll a worker now, unless a poll is in progress.

    The lease is extended only while the worker answers and its clock is known, and not
    if all that it has are runs that it should not have. Ends are acknowledged only
    while it answers: otherwise it may have restarted, and the cursor would count for
    the ends of an incarnation that the leader has not heard from.
    """
    if worker.poll_sent_ms is not None or worker.is_recording_ends:
        return
    now_ms = leader.now_ms()
    worker.needs_contact = False
    until_ms, cursor = None, 0
    if (
        worker.has_seen_epoch
        and worker.failures == 0
        and worker.clock_offset_ms is not None
        and (worker.runs or not worker.has_unknown_runs)
    ):
        until_ms = leader.grant_lease(worker)
    if worker.failures == 0:
        cursor = worker.cursor
        worker.has_ends_to_acknowledge = False
    is_urgent = (
        not worker.runs
        or not worker.has_seen_epoch
        or worker.failures
        or worker.has_unknown_runs
        or worker.losses.is_losing(now_ms)
        or leader.links[worker.target_id].slow_orders()
        or any(
            run.awaits_list() or _is_watched(run, now_ms)
            for run in worker.runs.values()
        )
    )
    longest_ms = leader.lease_ms() // POLLS_PER_LEASE
    wait_ms = 0 if is_urgent else min(wait_ms, longest_ms)
    wanted = orders.Poll(worker.fence, cursor, until_ms, wait_ms)
    lost_calls.send_poll(leader, worker, wanted, now_ms)


def handle_poll_answer(leader, message):
    """Handle the answer to a worker's latest poll; ignore answers to older polls."""
    worker = leader.workers.get(message.target_id)
    if worker is None:
        return
    now_ms, result = leader.now_ms(), message.result
    if lost_calls.is_superseded(worker, message.poll):
        sent_ms = lost_calls.sent_ms(worker, message.poll)
        if lost_calls.on_superseded_answer(worker, message.poll, result, now_ms):
            due_ms = sent_ms + message.poll.wait_ms + HELD_AFTER_MS
            _poll_failed(leader, worker, result, now_ms, False, due_ms)
        return
    if worker.poll_sent_ms is None or message.poll is not worker.poll:
        return
    sent_ms, worker.poll_sent_ms = worker.poll_sent_ms, None
    if result.outcome == orders.OTHER_INCARNATION:
        worker_lifecycle.end_incarnation(leader, worker)
    elif result.outcome != orders.OK:
        was_held = now_ms - sent_ms > HELD_AFTER_MS
        is_closed = was_held and _is_closed(result)
        due_ms = sent_ms + message.poll.wait_ms + HELD_AFTER_MS
        _poll_failed(leader, worker, result, now_ms, is_closed, due_ms)
    elif result.born_ms and result.born_ms < worker.record.born_ms:
        runs.schedule_poll(leader, worker, 0)
    elif result.born_ms > worker.record.born_ms:
        _begin_listed_incarnation(leader, worker, result, now_ms)
    else:
        _apply_lists(leader, worker, result, sent_ms, now_ms)


def _begin_listed_incarnation(leader, worker, result, now_ms):
    """Begin an incarnation of which an answer to a poll is the first sign.

    Its lists are requested again, with a fence that it has not seen: calls for the
    previous incarnation may still arrive there.
    """
    worker_lifecycle.begin_new_incarnation(leader, worker)
    worker.record = worker.record._replace(born_ms=result.born_ms)
    leader.decide(targets=[worker.record])
    worker.update_clock_offset(result.clock_ms, now_ms)
    poll(leader, worker)


def _apply_lists(leader, worker, result, sent_ms, now_ms):
    worker_lifecycle.clear_runs_in_doubt(leader, worker)
    lost_contact.forget(leader, worker)
    worker.update_clock_offset(result.clock_ms, now_ms)
    worker.last_contact_ms = now_ms
    worker.record_call_outcome(orders.OK, now_ms)
    if not worker.has_seen_epoch:
        worker.has_seen_epoch = True
        leader.needs_planning = True
    has_ends = _apply_ends(leader, worker, result.ended)
    if worker.awaits_list and not result.has_more_ends:
        worker_lifecycle.apply_first_list(leader, worker, result)
    _apply_running(leader, worker, result, sent_ms)
    lost_calls.on_list(leader, worker, sent_ms, result)
    _adjust_pace(leader, worker, now_ms)
    _move_from_bad_worker(leader, worker, now_ms)
    if has_ends:
        cursor = max(end.number for end in result.ended)
        incarnation = worker.incarnation
        worker.is_recording_ends = True
        leader.after_commit(lambda: _forget_ends(leader, worker, cursor, incarnation))
    else:
        gap_ms = lost_calls.poll_gap_ms(leader, worker, now_ms)
        runs.schedule_poll(leader, worker, gap_ms)


def poll_if_due(leader, worker, now_ms):
    """Poll a worker if it needs a poll and the gap since the last one is over.

    A worker that did not answer gets no new runs until its next answer. If it has no
    runs, only a poll can bring that answer: heartbeats show that the worker is running,
    but not that the leader can reach it. A worker that listed unknown runs is polled
    until it lists none, since their stops may be lost or refused, and one whose clock
    seems to be ahead is asked for it, as are some when others were lost.
    """
    is_needed = worker.runs or worker.has_ends_to_acknowledge or worker.has_unknown_runs
    is_needed = is_needed or worker.needs_clock or worker.needs_contact
    wanted = is_needed or worker.failures or not worker.has_seen_epoch
    due_ms = worker.poll_due_ms
    if worker.failures:
        due_ms = worker.polled_ms + POLL_RETRY_MS
    if wanted and now_ms >= due_ms:
        poll(leader, worker)


def _is_watched(run, now_ms):
    """Whether the next sign of life tells if a run has crashed its worker at once."""
    return run.is_watched and now_ms - run.placed_ms < WATCH_MS


def _is_closed(result):
    return result.lost_connection or result.outcome == orders.CONNECTION_REFUSED


def _poll_failed(leader, worker, result, now_ms, is_closed=False, due_ms=None):
    worker.record_failed_call(now_ms)
    worker.is_refusing = result.outcome == orders.CONNECTION_REFUSED
    lost_contact.on_failed_call(leader, worker, is_closed, due_ms)
    if worker.failures == 1:
        leader.environment.record(
            "worker_unresponsive", target=worker.target_id, outcome=result.outcome
        )
    has_left = worker.is_leaving and worker.record.state == "draining"
    if has_left and result.outcome in orders.NOT_CONNECTED:
        # It has announced its end and accepts no connections. A withdrawal alone may be
        # that of the previous incarnation, delayed on its way, as it names none.
        worker_lifecycle.end_incarnation(leader, worker)


def _forget_ends(leader, worker, cursor, incarnation):
    """Let the worker forget its ends up to ``cursor``, which are committed now."""
    worker.is_recording_ends = False
    if leader.workers.get(worker.target_id) is not worker:
        return
    if worker.incarnation == incarnation:
        worker.cursor = max(worker.cursor, cursor)
        worker.has_ends_to_acknowledge = True
    runs.schedule_poll(leader, worker)


def _apply_ends(leader, worker, ended):
    """Record the ends of known runs; returns whether any end was listed."""
    for end in sorted(ended):
        run = runs.run_of(worker, end.task)
        if run is not None and run.run == end.run:
            runs.end_run(leader, worker, run, end.how, end.checkpoint)
        elif end.how == "done":
            _apply_late_success(leader, worker, end)
    return bool(ended)


def _apply_late_success(leader, worker, end):
    """Count the success of a run that was given up as lost but is listed as done."""
    key = runs.key_of(end.task)
    task = cell_state.find_task(leader.state, key) if key else None
    if task is None:
        return
    job = leader.state.jobs[key.job_id]
    step = job.record.steps[key.step]
    is_counted = cell_state.is_late_success(task, end.run, end.how, step)
    if step.long_running or not is_counted:
        return
    keys = [key]
    if step.gang:
        tasks = job.groups[(key.occurrence, key.step)]
        keys = [key._replace(index=index) for index in range(len(tasks))]
        if any(not cell_state.is_late_success(t, end.run, end.how) for t in tasks):
            return
    leader.decide(
        ended=[cell.RunEnded(*each, end.run, end.how, "", False) for each in keys]
    )
    runs.stop_duplicate(leader, key, end.run)
    leader.on_run_ended(key.job_id, key.occurrence, key.step)
    leader.environment.record(
        "late_success", task=end.task, run=end.run, target=worker.target_id
    )


def _apply_running(leader, worker, result, sent_ms):
    """Compare the runs that a worker lists with those that it should have."""
    now_ms = leader.now_ms()
    listed = {entry.task: entry for entry in result.running}
    for run in list(worker.runs.values()):
        entry = listed.pop(str(run.key), None)
        if entry is not None and entry.run == run.run:
            _update_progress(leader, worker, run, entry, now_ms)
        elif entry is not None:
            listed[entry.task] = entry
        elif sent_ms > run.answered_ms and not result.has_more_ends:
            _handle_missing(leader, worker, run)
    _drop_ended_with_gang(worker, listed, sent_ms)
    # The stops below have no result here. Their runs are listed until they are gone.
    worker.has_unknown_runs = bool(listed)
    for entry in listed.values():
        order = orders.Stop(entry.task, entry.run, worker.fence)
        leader.links[worker.target_id].order(order)
        leader.environment.record(
            "unknown_run_stopped",
            task=entry.task,
            run=entry.run,
            target=worker.target_id,
            **stopping.fields_of_unknown(leader, runs.key_of(entry.task)),
        )


def _drop_ended_with_gang(worker, listed, sent_ms):
    """Drop the listed runs that have ended with their gang since the poll was sent."""
    for (task, run_number), ended_ms in worker.gang_ends.items():
        entry = listed.get(task)
        if entry is not None and entry.run == run_number and sent_ms <= ended_ms:
            del listed[task]
    worker.gang_ends = {}


def _update_progress(leader, worker, run, entry, now_ms):
    runs.confirm(leader, worker, run, now_ms)
    if entry.percent != run.percent:
        run.percent, run.last_progress_ms = entry.percent, now_ms
    if run.first_ms is None and entry.percent > 0:
        run.first_percent, run.first_ms = entry.percent, now_ms
    run.load = entry.load
    if run.abandoned and not run.has_duplicate:
        runs.close_run(leader, worker, run, stopping.ABANDONED)
        return
    run.checkpoint = entry.checkpoint or run.checkpoint
    job = leader.state.jobs.get(run.key.job_id)
    if job is None or job.state != cell_state.ACTIVE:
        runs.close_run(leader, worker, run, stopping.reason_of_end(job))


def _handle_missing(leader, worker, run):
    """Handle a run that is missing in the list; it ends only after a confirmed stop."""
    if run.state == workers.ORDERED and run.sends == 0:
        return
    if run.awaits_list():
        runs.end_unlisted(leader, worker, run)
    elif run.state == workers.RUNNING or run.order is None:
        runs.close_run(leader, worker, run, stopping.NOT_LISTED)


def _adjust_pace(leader, worker, now_ms):
    if now_ms - worker.paced_ms < MIN_PACE_INTERVAL_MS:
        return
    for run, share in pacing.share_changes(list(worker.runs.values())):
        worker.paced_ms = now_ms
        order = orders.Pace(str(run.key), run.run, share, worker.fence)
        leader.links[worker.target_id].order(order)


def _move_from_bad_worker(leader, worker, now_ms):
    """Move stalled runs away and, if the worker is slow, all for which that pays."""
    ratios = {}
    for run in list(worker.runs.values()):
        if run.state != workers.RUNNING or run.is_long:
            continue
        if health.is_stalled(run, now_ms):
            if not _may_wait_for_gang(leader, run, now_ms):
                _move_run(leader, worker, run, "stalled", now_ms)
            continue
        ratio = health.slowness(run, leader.durations.get(run.key[:3], ()))
        if ratio is None:
            continue
        if _is_better_on_quick(leader, worker, run, ratio):
            _move_run(leader, worker, run, "long", now_ms)
        elif not health.is_long_by_itself(worker, run):
            ratios[run] = ratio
    usual = health.usual_slowness(worker)
    if not health.is_slow([ratio / usual for ratio in ratios.values()]):
        return
    for run, ratio in ratios.items():
        if health.is_worth_moving(run, ratio, leader.durations[run.key[:3]]):
            _move_run(leader, worker, run, "slow", now_ms)


def _may_wait_for_gang(leader, run, now_ms):
    """Whether a run makes no progress since its gang has not been complete for long."""
    job = leader.state.jobs.get(run.key.job_id)
    if job is None or not job.record.steps[run.key.step].gang:
        return False
    complete_ms = 0
    for index, task in enumerate(job.groups[(run.key.occurrence, run.key.step)]):
        worker = leader.workers.get(task.target_id)
        member = worker.runs.get(run.key._replace(index=index)) if worker else None
        if member is None or member.run != run.run or member.state != workers.RUNNING:
            return True
        began_ms = (
            member.last_progress_ms if member.first_ms is None else member.first_ms
        )
        complete_ms = max(complete_ms, began_ms)
    return now_ms - complete_ms < health.STALL_MS


def _is_better_on_quick(leader, worker, run, ratio):
    """Whether a long task would end sooner on a quick worker that has room for it."""
    if worker.slowness < health.KNOWN_SLOW or run.key in leader.moves:
        return False
    job = leader.state.jobs.get(run.key.job_id)
    if job is None or job.record.steps[run.key.step].gang:
        return False
    durations_ms = leader.durations[run.key[:3]]
    if not health.ends_sooner_on_quick(worker, run, ratio, durations_ms):
        return False
    return starting.has_quick_room(leader, job, cell_state.GroupKey(*run.key[:3]))


def _move_run(leader, worker, run, reason, now_ms):
    moves = leader.moves.get(run.key, 0)
    limit = health.MAX_MOVES if reason == "stalled" else health.MAX_SLOW_MOVES
    if moves >= limit:
        return
    leader.moves[run.key] = moves + 1
    leader.environment.record(
        "run_moved",
        task=str(run.key),
        run=run.run,
        target=worker.target_id,
        reason=reason,
        percent=run.percent,
        still_ms=now_ms - run.last_progress_ms,
    )
    if reason != "long":
        runs.strike(leader, worker, run.key.job_id)
    runs.close_run(leader, worker, run, stopping.MOVED)
