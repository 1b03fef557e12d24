"""Placing, starting, stopping and ending runs of tasks.

An order without an answer may be lost, or may be carried out seconds later. The same
run is sent again, and a worker that already has it says so. The task is placed on
another worker only after a confirmed stop followed by a poll, or after the lease has
expired: the order contains the end of the lease, and the worker refuses it afterwards.
"""

from alderreach.core import cell_state, crashes, orders
from alderreach.core.generated import cell
from alderreach.decisions.cell import crash_blame, health, workers
from alderreach.ops.controller import job_runs, stopping, verdicts

# Delay of the next poll after a run has ended, so that one poll lists several ends
# that are close together. Polls cost the worker and the leader processor time, but a
# longer gap would delay the steps that follow.
POLL_GAP_MS = 15
# The gap for a worker without runs, which only has to learn that it may forget its
# ends.
IDLE_POLL_GAP_MS = 250


def place(leader, worker, key, run_number, step, ticket, checkpoint):
    """Place a run; its start is sent once the decision is committed."""
    now_ms = leader.now_ms()
    run = workers.Run(key, run_number, step, now_ms, ticket)
    run.next_send_ms = None
    run.checkpoint = checkpoint
    run.is_fully_observed = not checkpoint
    task = cell_state.find_task(leader.state, key)
    run.is_watched = bool(task.crash_kinds or task.in_doubt)
    add(leader, worker, run)
    record = worker.record
    placed = cell.RunPlaced(*key, run_number, record.target_id, record.born_ms)
    leader.decide(lambda: _send_committed_start(leader, worker, run), placed=[placed])


def add(leader, worker, run):
    """Add a run to a worker and to what its customer has running."""
    run.customer = leader.state.jobs[run.key.job_id].record.customer
    worker.add(run)
    leader.customers.charge(worker, run)


def close_job(leader, job):
    """Stop all runs of a job that has ended; returns its ``job_runs.JobRuns``."""
    found = job_runs.find(leader, job)
    for worker, run in found.known:
        close_run(leader, worker, run, stopping.reason_of_end(job))
    return found


def close_run(leader, worker, run, reason):
    """Stop a run, even if its start may still be on its way.

    ``reason`` is one of those in ``stopping``, for the log.
    """
    stopping.begin(leader, run, reason)
    if run.state in (workers.CLOSING, workers.CLOSED):
        return
    if run.state == workers.ORDERED and run.sends == 0:
        # The start is not committed yet; it will not be sent for a closing run.
        run.state = workers.CLOSING
        return
    run.state = workers.CLOSING
    run.next_send_ms = None
    send_stop(leader, worker, run)


def end_run(leader, worker, run, end_kind, checkpoint=""):
    """Record the end of a run and release its resources.

    A start that still waits is not sent any more. It may be a repeated one, or that of
    a run whose worker's lease has expired.
    """
    worker.remove(run)
    if run.sends:
        leader.links[worker.target_id].withdraw(str(run.key), run.run)
    leader.customers.refund(run)
    leader.pools.mark_freed(worker.target_id)
    key = run.key
    job = leader.state.jobs.get(key.job_id)
    if job is None:
        return
    _update_health(leader, worker, run, end_kind)
    step = job.record.steps[key.step]
    is_noted = bool(worker.noted_ends.get((key, run.run)))
    if not is_noted and verdicts.fails(leader, key, end_kind):
        has_restarted = worker.is_of_previous_incarnation(run)
        born_ms = None if has_restarted else worker.record.born_ms
        verdicts.defer(leader, key, run.run, end_kind, worker.target_id, born_ms)
        end_kind = crashes.in_doubt(crashes.EXPIRED, end_kind)
    is_final = _is_final(leader, job, key, run.run, end_kind)
    ended = cell.RunEnded(*key, run.run, end_kind, checkpoint, is_final)
    leader.decide(ended=[ended])
    if step.long_running and end_kind in crashes.BLAME:
        _pause_if_blamed(leader, run)
    elif crashes.is_doubtful(end_kind) and not step.long_running:
        leader.pause_in_doubt(key)
    if end_kind == "done":
        stop_duplicate(leader, key, run.run)
        _stop_duplicated(leader, key, run.run)
    leader.on_run_ended(key.job_id, key.occurrence, key.step)
    leader.environment.record(
        "run_ended",
        task=str(key),
        run=run.run,
        how=end_kind,
        target=worker.target_id,
        age_ms=leader.now_ms() - run.placed_ms,
        **stopping.fields_at_end(leader, run),
    )
    if job.state == cell_state.FAILED:
        close_job(leader, job)
    elif step.gang:
        _end_gang(leader, job, key, run.run, end_kind, checkpoint)


def resolve(leader, key, run_number, end_kind, target_id):
    """Record the end of a run that was in doubt."""
    if verdicts.fails(leader, key, end_kind):
        verdicts.defer(leader, key, run_number, end_kind, target_id)
        return
    record_resolved(leader, key, run_number, end_kind)


def record_resolved(leader, key, run_number, end_kind):
    """Record the end of a run that was in doubt, without waiting for a verdict."""
    job = leader.state.jobs.get(key.job_id)
    if job is None:
        return
    is_final = _is_final(leader, job, key, run_number, end_kind)
    ended = cell.RunEnded(*key, run_number, end_kind, "", is_final)
    leader.decide(ended=[ended])
    leader.on_run_ended(key.job_id, key.occurrence, key.step)
    leader.environment.record(
        "run_settled", task=str(key), run=run_number, how=end_kind
    )
    if job.state == cell_state.FAILED:
        close_job(leader, job)


def stop_duplicate(leader, key, done_run):
    """Stop a newer run of a task if an older run is done."""
    task = cell_state.find_task(leader.state, key)
    worker = leader.workers.get(task.target_id)
    run = worker.runs.get(key) if worker else None
    if run is not None and run.run > done_run:
        close_run(leader, worker, run, stopping.DUPLICATE)


def _stop_duplicated(leader, key, done_run):
    """Stop the older run of a task if its duplicate is done."""
    for each in cell_state.find_task(leader.state, key).in_doubt:
        worker = leader.workers.get(each.target_id)
        run = worker.runs.get(key) if worker else None
        if run is not None and run.run == each.run < done_run and run.has_duplicate:
            close_run(leader, worker, run, stopping.DUPLICATE)


def repeat_start(leader, worker, run):
    """Send another copy of a start, with the newest lease and ticket there are.

    Without a valid report of the worker's capacity, the lease stays as it is.
    """
    now_ms, valid_until_ms = leader.now_ms(), worker.capacity_valid_until_ms()
    group = cell_state.GroupKey(*run.key[:3])
    ticket = leader.permissions.ticket(group, worker.target_id, now_ms)
    run.order = run.order._replace(ticket=ticket or run.order.ticket)
    if now_ms < valid_until_ms and worker.clock_offset_ms is not None:
        lease_until_ms = leader.grant_lease(worker, valid_until_ms)
        run.order = run.order._replace(
            lease_until_ms=max(lease_until_ms, run.order.lease_until_ms)
        )
    send_start(leader, worker, run)


def send_start(leader, worker, run):
    """Send a start, and count the sends, since each of them may arrive late."""
    run.sends += 1
    run.sent_ms = leader.now_ms()
    if run.sends > 1:
        leader.environment.metrics.count("starts_repeated")
        leader.environment.record(
            "start_repeated",
            task=str(run.key),
            run=run.run,
            target=worker.target_id,
            sends=run.sends,
            used=list(worker.used),
            capacity=list(worker.record.capacity),
            heartbeat_age_ms=leader.now_ms() - worker.announced_ms,
        )
    leader.links[worker.target_id].order(run.order)


def send_stop(leader, worker, run):
    """Send a stop."""
    order = orders.Stop(str(run.key), run.run, worker.fence)
    leader.links[worker.target_id].order(order)
    stopping.note_sent(leader, run, order)


def confirm(leader, worker, run, now_ms):
    """Record that a worker has listed a run, or answered its start."""
    if not run.is_confirmed:
        run.confirmed_ms = now_ms
        worker.needs_list = worker.needs_list or run.is_watched
    leader.confirm_run(run)
    worker.previous_ends.pop((run.key, run.run), None)
    if run.state in (workers.ORDERED, workers.REFUSED):
        leader.environment.metrics.observe_ms("start_confirm", now_ms - run.placed_ms)
        run.state = workers.RUNNING
        run.next_send_ms = None
        run.last_progress_ms = now_ms


def end_unlisted(leader, worker, run):
    """End a run that a list sent after its last confirmation does not contain."""
    if run.state == workers.REFUSED:
        end_run(leader, worker, run, "refused")
        return
    end_kind = worker.previous_ends.get((run.key, run.run), "stopped")
    end_run(leader, worker, run, end_kind, run.checkpoint)


def schedule_poll(leader, worker, gap_ms=POLL_GAP_MS):
    """Schedule the next poll after a gap in which more runs may end."""
    if not worker.runs:
        gap_ms = IDLE_POLL_GAP_MS
    worker.poll_due_ms = leader.now_ms() + gap_ms


def strike(leader, worker, job_id):
    """Count a failure or stall against a worker."""
    all_workers = list(leader.workers.values())
    if health.add_strike(worker, job_id, all_workers, leader.now_ms()):
        leader.environment.record(
            "worker_out",
            target=worker.target_id,
            until_in_ms=worker.health.out_until_ms - leader.now_ms(),
        )


def run_of(worker, task):
    """The run of the task with this name on a worker, or None."""
    return worker.runs.get(key_of(task))


def key_of(task):
    """The key of the task with this name, or None for a name of another form."""
    parts = task.split(".")
    try:
        return cell_state.TaskKey(parts[0], *(int(part) for part in parts[1:]))
    except (TypeError, ValueError):
        return None


def _is_final(leader, job, key, run_number, end_kind):
    """Whether a task is given up after this run, which ended so.

    A lasting task never is: it is restarted until its job is cancelled.
    """
    if end_kind in crashes.BLAME:
        leader.environment.metrics.count("crashes_under_runs", end_kind)
    if job.record.steps[key.step].long_running:
        return False
    if end_kind == "failed":
        failed = cell_state.failure_count_with(job, key, run_number)
        return failed >= leader.queue_of(job).max_attempts
    if not verdicts.fails(leader, key, end_kind):
        return False
    task = cell_state.find_task(leader.state, key)
    leader.environment.record(
        "task_given_up",
        task=str(key),
        blame=task.blame + crashes.BLAME[end_kind],
        crashes=[*task.crash_kinds, end_kind],
    )
    return True


def _pause_if_blamed(leader, run):
    """Pause a lasting task that keeps crashing workers, after a run of it has ended."""
    task = cell_state.find_task(leader.state, run.key)
    if crash_blame.reaches_blame_limit(task.blame):
        leader.pause(run.key, run.placed_ms + crash_blame.LASTING_RESTART_MS)


def _send_committed_start(leader, worker, run):
    """Send a start after its commit, unless that is not wanted or possible any more.

    The lease in it ends with the validity of the capacity that it relies on. A worker
    refuses a start whose lease is over, so it is not carried out later than that,
    however long it is on its way. The next poll extends the lease.
    """
    if worker.runs.get(run.key) is not run:
        return
    job = leader.state.jobs[run.key.job_id]
    is_unwanted = run.state == workers.CLOSING or job.state != cell_state.ACTIVE
    valid_until_ms = worker.capacity_valid_until_ms()
    is_outdated = leader.now_ms() >= valid_until_ms
    if is_unwanted or is_outdated or worker.clock_offset_ms is None:
        # If a new incarnation began in the meantime, neither its capacity nor its clock
        # is known yet.
        end_run(leader, worker, run, "stopped")
        return
    run.order = orders.Start(
        str(run.key),
        run.run,
        job.record.spec,
        leader.grant_lease(worker, valid_until_ms),
        worker.fence,
        run.checkpoint,
        run.ticket,
    )
    leader.environment.metrics.observe_ms(
        "start_commit", leader.now_ms() - run.placed_ms
    )
    send_start(leader, worker, run)
    schedule_poll(leader, worker)


def _end_gang(leader, job, key, run_number, end_kind, checkpoint):
    """Apply the end of one gang member: all are done, or the others are stopped."""
    tasks = job.groups[(key.occurrence, key.step)]
    if end_kind == "done":
        _end_lost_members(leader, job, key, run_number)
    for index, task in enumerate(tasks):
        if task.state != cell_state.PLACED or task.run != run_number:
            continue
        worker = leader.workers.get(task.target_id)
        run = worker.runs.get(key._replace(index=index)) if worker else None
        if run is None:
            continue
        if end_kind == "done":
            end_run(leader, worker, run, end_kind, checkpoint)
            worker.gang_ends[(str(run.key), run.run)] = leader.now_ms()
        else:
            close_run(leader, worker, run, stopping.GANG)


def _end_lost_members(leader, job, key, run_number):
    """Record members given up before the gang was done as done.

    A gang that is partly done is never started again, so a member whose worker crashed
    just as the gang was done has to count as done too.
    """
    if job.record.steps[key.step].long_running:
        return
    tasks = job.groups[(key.occurrence, key.step)]
    lost = [
        key._replace(index=index)
        for index, task in enumerate(tasks)
        if cell_state.is_late_success(task, run_number, "done")
    ]
    if lost:
        leader.decide(
            ended=[cell.RunEnded(*each, run_number, "done", "", False) for each in lost]
        )
        leader.on_run_ended(key.job_id, key.occurrence, key.step)


def _update_health(leader, worker, run, end_kind):
    """Update the worker's health, and what is learned of its speed, after an end."""
    if end_kind == "done":
        health.record_success(worker)
        leader.learned.on_run_done(worker, run, leader.state.jobs[run.key.job_id])
    elif end_kind == "failed":
        strike(leader, worker, run.key.job_id)
