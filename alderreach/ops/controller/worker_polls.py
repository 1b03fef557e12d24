"""Polls of workers: their lists, the ends among them, and what the lists call for.

An end is acknowledged only once it is in the log: a worker may forget what it has been
acknowledged, and a new leader would start the task again.
"""

from alderreach.core import cell_state, orders
from alderreach.core.generated import cell
from alderreach.decisions.cell import health, pacing, workers
from alderreach.ops.controller import runs, worker_lifecycle

# How long the answer to a poll may wait for an end: a quarter of the time in which
# serving tasks may be disturbed by others; and three polls fit into a lease.
POLL_WAIT_MS = 1000
POLLS_PER_LEASE = 3
# A poll that failed is repeated after this, without extending the lease.
POLL_AGAIN_MS = 300
# Two reports of the tail lie between two changes of a share.
PACE_INTERVAL_MS = 1100


def poll(leader, worker, wait_ms=POLL_WAIT_MS):
    """Poll a worker now, unless a poll is under way.

    The lease is extended only while the worker answers and its clock is known.
    """
    if worker.poll_sent_ms is not None or worker.is_settling:
        return
    now_ms = leader.now_ms()
    until_ms = None
    if worker.shown and worker.failures == 0 and worker.offset_ms is not None:
        until_ms = worker.lease_until_ms(leader.lease_ms(), now_ms)
    is_urgent = (
        not worker.runs
        or not worker.shown
        or worker.failures
        or any(run.state == workers.CLOSED for run in worker.runs.values())
    )
    longest_ms = leader.lease_ms() // POLLS_PER_LEASE
    wait_ms = 0 if is_urgent else min(wait_ms, longest_ms)
    worker.poll_sent_ms = worker.polled_ms = now_ms
    worker.has_ends = False
    worker.poll = orders.Poll(leader.epoch, worker.cursor, until_ms, wait_ms)
    leader.links[worker.target_id].poll(worker.poll)


def poll_answered(leader, mail):
    """Take a worker's lists; an answer to another poll than the last is too old."""
    worker = leader.workers.get(mail.target_id)
    if worker is None or worker.poll_sent_ms is None or mail.poll is not worker.poll:
        return
    now_ms, result = leader.now_ms(), mail.result
    sent_ms, worker.poll_sent_ms = worker.poll_sent_ms, None
    if result.outcome == orders.OTHER_INCARNATION:
        worker_lifecycle.life_over(leader, worker)
    elif result.outcome != orders.OK:
        _poll_failed(leader, worker, result, now_ms)
    elif result.born_ms and result.born_ms < worker.record.born_ms:
        runs.poll_later(leader, worker, 0)
    else:
        _take_lists(leader, worker, result, sent_ms, now_ms)


def _take_lists(leader, worker, result, sent_ms, now_ms):
    if result.born_ms > worker.record.born_ms:
        worker_lifecycle.new_life(leader, worker)
        worker.record = worker.record._replace(born_ms=result.born_ms)
        leader.decide(targets=[worker.record])
    worker_lifecycle.clear_vanished(leader, worker)
    worker.note_clock(result.clock_ms, now_ms)
    worker.heard_ms = now_ms
    worker.note_answer(orders.OK, now_ms)
    if not worker.shown:
        worker.shown = True
        leader.is_stale = True
    has_ends = _take_ends(leader, worker, result.ended)
    if worker.awaits_list:
        worker_lifecycle.take_first_list(leader, worker, result, sent_ms)
    _take_running(leader, worker, result.running, sent_ms)
    _pace(leader, worker, now_ms)
    _move_on(leader, worker, now_ms)
    if has_ends:
        cursor = max(end.number for end in result.ended)
        life = worker.life
        worker.is_settling = True
        leader.after_commit(lambda: _forget_ends(leader, worker, cursor, life))
    else:
        runs.poll_later(leader, worker, 0)


def poll_if_due(leader, worker, now_ms):
    """Make the next poll if the worker needs one and its gap is over.

    A worker that missed an answer gets nothing new until the next one. If nothing runs
    there, only a poll brings that answer: heartbeats show that the worker is alive, not
    that it hears the leader.
    """
    is_needed = worker.runs or worker.has_ends
    wanted = is_needed or worker.failures or not worker.shown
    due_ms = worker.poll_due_ms
    if worker.failures:
        due_ms = worker.polled_ms + POLL_AGAIN_MS
    if wanted and now_ms >= due_ms:
        poll(leader, worker)


def _poll_failed(leader, worker, result, now_ms):
    worker.note_failure(now_ms)
    worker.is_refusing = result.outcome == orders.CONNECTION_REFUSED
    if worker.failures == 1:
        leader.environment.record(
            "worker_unresponsive", target=worker.target_id, outcome=result.outcome
        )
    if worker.is_leaving and result.outcome in orders.NOT_CONNECTED:
        # It said that it ends, and no connection to it is made any more.
        worker_lifecycle.life_over(leader, worker)


def _forget_ends(leader, worker, cursor, life):
    """The ends up to ``cursor`` are durable here, so the worker may forget them."""
    worker.is_settling = False
    if leader.workers.get(worker.target_id) is not worker:
        return
    if worker.life == life:
        worker.cursor = max(worker.cursor, cursor)
        worker.has_ends = True
    runs.poll_later(leader, worker)


def _take_ends(leader, worker, ended):
    """Record the ends that concern runs of ours; True if any was listed."""
    for end in sorted(ended):
        run = runs.run_of(worker, end.task)
        if run is not None and run.run == end.run:
            runs.end_run(leader, worker, run, end.how, end.checkpoint)
        elif end.how == "done":
            _take_late_success(leader, worker, end)
    return bool(ended)


def _take_late_success(leader, worker, end):
    """A run given up for lost is listed as done, and its success counts still."""
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


def _take_running(leader, worker, running, sent_ms):
    """Compare what a worker runs with what it should run."""
    now_ms = leader.now_ms()
    listed = {entry.task: entry for entry in running}
    for run in list(worker.runs.values()):
        entry = listed.pop(str(run.key), None)
        if entry is not None and entry.run == run.run:
            _note_progress(leader, worker, run, entry, now_ms)
        elif entry is not None:
            listed[entry.task] = entry
        elif sent_ms > run.answered_ms:
            _note_missing(leader, worker, run)
    for entry in listed.values():
        order = orders.Stop(entry.task, entry.run, leader.epoch)
        leader.links[worker.target_id].order(order)
        leader.environment.record(
            "unknown_run_stopped",
            task=entry.task,
            run=entry.run,
            target=worker.target_id,
        )


def _note_progress(leader, worker, run, entry, now_ms):
    run.is_confirmed = True
    worker.former_ends.pop((run.key, run.run), None)
    if run.state == workers.ORDERED:
        run.state = workers.RUNNING
        run.next_send_ms = None
        run.moved_ms = now_ms
    if entry.percent != run.percent:
        run.percent, run.moved_ms = entry.percent, now_ms
    if run.first_ms is None and entry.percent > 0:
        run.first_percent, run.first_ms = entry.percent, now_ms
    run.load = entry.load
    if run.abandoned:
        runs.close_run(leader, worker, run)
        return
    run.checkpoint = entry.checkpoint or run.checkpoint
    job = leader.state.jobs.get(run.key.job_id)
    if job is None or job.state != cell_state.ACTIVE:
        runs.close_run(leader, worker, run)


def _note_missing(leader, worker, run):
    """A run that a fresh poll does not list; only a confirmed stop makes it final."""
    if run.state == workers.ORDERED and run.sends == 0:
        return
    if run.state == workers.CLOSED:
        how = worker.former_ends.get((run.key, run.run), "stopped")
        runs.end_run(leader, worker, run, how, run.checkpoint)
    elif run.state == workers.RUNNING or run.order is None:
        runs.close_run(leader, worker, run)


def _pace(leader, worker, now_ms):
    if now_ms - worker.paced_ms < PACE_INTERVAL_MS:
        return
    for run, share in pacing.changes(list(worker.runs.values())):
        worker.paced_ms = now_ms
        order = orders.Pace(str(run.key), run.run, share, leader.epoch)
        leader.links[worker.target_id].order(order)


def _move_on(leader, worker, now_ms):
    """Stop what stands still here, and all that pays if the worker is slow."""
    ratios = {}
    for run in list(worker.runs.values()):
        if run.state != workers.RUNNING or run.is_long:
            continue
        if health.is_stalled(run, now_ms):
            _move(leader, worker, run, "stalled", now_ms)
            continue
        ratio = health.slowness(run, leader.durations.get(run.key[:3], ()))
        if ratio is not None:
            ratios[run] = ratio
    if not health.is_slow(list(ratios.values())):
        return
    for run, ratio in ratios.items():
        if health.pays_to_move(run, ratio, leader.durations[run.key[:3]]):
            _move(leader, worker, run, "slow", now_ms)


def _move(leader, worker, run, reason, now_ms):
    moves = leader.moves.get(run.key, 0)
    if moves >= health.MOVES_MOST:
        return
    leader.moves[run.key] = moves + 1
    leader.environment.record(
        "run_moved",
        task=str(run.key),
        run=run.run,
        target=worker.target_id,
        reason=reason,
        percent=run.percent,
        still_ms=now_ms - run.moved_ms,
    )
    runs.strike(leader, worker, run.key.job_id)
    runs.close_run(leader, worker, run)
