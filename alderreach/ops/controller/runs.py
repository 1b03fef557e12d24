"""Runs of tasks: decided, started, stopped and ended.

An order that gets no answer may be lost, or be carried out seconds later. The same run
is sent again; a worker that has it says so. It is placed elsewhere only after a
confirmed stop and a poll sent later than that, or after the lease has expired: the
order names the lease's end, so a worker refuses it afterwards.
"""

from alderreach.core import cell_state, crashes, orders
from alderreach.core.generated import cell
from alderreach.decisions.cell import crash_blame, health, workers

# After ends, the next poll waits this long, so that ends that come close together are
# listed by one poll. Polls cost the worker and us; a long gap holds up the steps that
# follow.
POLL_GAP_MS = 15
# A worker on which nothing runs any more has only its ends to forget.
IDLE_POLL_GAP_MS = 250


def place(leader, worker, key, run_number, step, ticket, checkpoint):
    """Decide a start; the worker hears of it once that is durable."""
    now_ms = leader.now_ms()
    run = workers.Run(key, run_number, step, now_ms, ticket)
    run.next_send_ms = None
    run.checkpoint = checkpoint
    run.is_whole = not checkpoint
    worker.add(run)
    record = worker.record
    placed = cell.RunPlaced(*key, run_number, record.target_id, record.born_ms)
    leader.decide(lambda: _start(leader, worker, run), placed=[placed])


def close_job(leader, job):
    """Stop all that runs of a job."""
    for (occurrence, number), tasks in job.groups.items():
        for index, task in enumerate(tasks):
            if task.state == cell_state.PLACED:
                key = cell_state.TaskKey(job.record.job_id, occurrence, number, index)
                worker = leader.workers.get(task.target_id)
                run = worker.runs.get(key) if worker else None
                if run is not None:
                    close_run(leader, worker, run)


def close_run(leader, worker, run):
    """Have a run stopped, also one whose start may still be on its way."""
    if run.state in (workers.CLOSING, workers.CLOSED):
        return
    if run.state == workers.ORDERED and run.sends == 0:
        # Its start waits for the commit, which then finds it closing.
        run.state = workers.CLOSING
        return
    run.state = workers.CLOSING
    run.next_send_ms = None
    send_stop(leader, worker, run)


def end_run(leader, worker, run, how, checkpoint=""):
    """Record the end of a run and give its room back."""
    worker.remove(run)
    leader.pools.gained_room(worker.target_id)
    key = run.key
    job = leader.state.jobs.get(key.job_id)
    if job is None:
        return
    _judge(leader, worker, run, how)
    step = job.record.steps[key.step]
    is_final = _is_final(leader, job, key, how)
    ended = cell.RunEnded(*key, run.run, how, checkpoint, is_final)
    leader.decide(ended=[ended])
    if how == "done":
        stop_duplicate(leader, key, run.run)
    leader.on_run_ended(key.job_id, key.occurrence, key.step)
    leader.environment.record(
        "run_ended",
        task=str(key),
        run=run.run,
        how=how,
        target=worker.target_id,
        age_ms=leader.now_ms() - run.placed_ms,
    )
    if job.state == cell_state.FAILED:
        close_job(leader, job)
    elif step.gang:
        _end_gang(leader, job, key, run.run, how, checkpoint)


def settle(leader, key, run_number, how):
    """Record what became of a run that was in doubt."""
    job = leader.state.jobs.get(key.job_id)
    if job is None:
        return
    is_final = _is_final(leader, job, key, how)
    ended = cell.RunEnded(*key, run_number, how, "", is_final)
    leader.decide(ended=[ended])
    leader.on_run_ended(key.job_id, key.occurrence, key.step)
    leader.environment.record("run_settled", task=str(key), run=run_number, how=how)
    if job.state == cell_state.FAILED:
        close_job(leader, job)


def stop_duplicate(leader, key, done_run):
    """Stop a newer run of a task of which an older one is done."""
    task = cell_state.find_task(leader.state, key)
    worker = leader.workers.get(task.target_id)
    run = worker.runs.get(key) if worker else None
    if run is not None and run.run > done_run:
        close_run(leader, worker, run)


def send_start(leader, worker, run):
    """Send a start; how often is counted, since each copy may arrive late."""
    run.sends += 1
    leader.links[worker.target_id].order(run.order)


def send_stop(leader, worker, run):
    """Send a stop."""
    order = orders.Stop(str(run.key), run.run, leader.epoch)
    leader.links[worker.target_id].order(order)


def poll_later(leader, worker, gap_ms=POLL_GAP_MS):
    """Have the next poll made after a gap, in which more ends may gather."""
    if not worker.runs:
        gap_ms = IDLE_POLL_GAP_MS
    worker.poll_due_ms = leader.now_ms() + gap_ms


def strike(leader, worker, job_id):
    """Count a failure or stall against a worker."""
    everyone = list(leader.workers.values())
    if health.strike(worker, job_id, everyone, leader.now_ms()):
        leader.environment.record(
            "worker_out",
            target=worker.target_id,
            until_in_ms=worker.health.out_until_ms - leader.now_ms(),
        )


def run_of(worker, task):
    """The run here that a task names, or None."""
    return worker.runs.get(key_of(task))


def key_of(task):
    """The key that a task's name spells, or None for a name of another kind."""
    parts = task.split(".")
    try:
        return cell_state.TaskKey(parts[0], *(int(part) for part in parts[1:]))
    except (TypeError, ValueError):
        return None


def _is_final(leader, job, key, how):
    """Whether a task is given up after an end like this."""
    if how == "failed" and not job.record.steps[key.step].long_running:
        failed = cell_state.failure_count(job, *key[1:]) + 1
        return failed >= leader.queue_of(job).max_attempts
    if how not in crashes.BLAME:
        return False
    blame = cell_state.find_task(leader.state, key).blame + crashes.BLAME[how]
    leader.environment.metrics.count("crashes_under_runs", how)
    if not crash_blame.is_too_much(blame):
        return False
    leader.environment.record("task_given_up", task=str(key), blame=blame)
    return True


def _start(leader, worker, run):
    """Send a start that is durable now, unless its job ended meanwhile."""
    if worker.runs.get(run.key) is not run:
        return
    job = leader.state.jobs[run.key.job_id]
    is_unwanted = run.state == workers.CLOSING or job.state != cell_state.ACTIVE
    if is_unwanted or worker.offset_ms is None:
        # Without a clock, since a new life began meanwhile, no lease can be named.
        end_run(leader, worker, run, "stopped")
        return
    now_ms = leader.now_ms()
    run.order = orders.Start(
        str(run.key),
        run.run,
        job.record.spec,
        worker.lease_until_ms(leader.lease_ms(), now_ms),
        leader.epoch,
        run.checkpoint,
        run.ticket,
    )
    send_start(leader, worker, run)
    poll_later(leader, worker)


def _end_gang(leader, job, key, run_number, how, checkpoint):
    """One end of a gang's run stands for all: all are done, or the others stop."""
    tasks = job.groups[(key.occurrence, key.step)]
    if how == "done":
        _end_lost_members(leader, job, key, run_number)
    for index, task in enumerate(tasks):
        if task.state != cell_state.PLACED or task.run != run_number:
            continue
        worker = leader.workers.get(task.target_id)
        run = worker.runs.get(key._replace(index=index)) if worker else None
        if run is None:
            continue
        if how == "done":
            end_run(leader, worker, run, how, checkpoint)
        else:
            close_run(leader, worker, run)


def _end_lost_members(leader, job, key, run_number):
    """Members of a run that was done count as done, also those given up before.

    A gang that is partly done is never started again, so a member whose worker crashed
    as the gang was done has to count as done too.
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


def _judge(leader, worker, run, how):
    """What an end says of its worker, and of how long such tasks take."""
    if how == "done":
        health.ended_well(worker)
        whole_ms = health.whole_ms(run, leader.now_ms())
        if whole_ms is not None:
            leader.durations.setdefault(run.key[:3], []).append(whole_ms)
    elif how == "failed":
        strike(leader, worker, run.key.job_id)
