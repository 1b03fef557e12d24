"""Runs on workers: orders and their answers, looks, ends, lapsed leases.

Failures answered, and why the guards hold:

- *An order gets no answer* (lost, or carried out seconds later). The same run is sent
  again; a worker that has it says so. It is placed elsewhere only after a confirmed
  stop and a look sent later than that, or after the lease has lapsed: the order names
  the lease's end, so a worker refuses it afterwards.
- *A worker is cut off one way:* it hears us and we don't hear it. Nothing extends its
  lease while its answers are missing, so its runs end before they are started anew.
- *A worker starts again under its id.* Its looks name the life; what the new life does
  not list is over.
"""

from absl import logging

from alderreach.core import cell_state, orders
from alderreach.core.generated import cell
from alderreach.decisions.cell import health, pacing, workers

# An order without an answer is sent again after this; the call itself has waited
# longer than any healthy worker takes.
RESEND_AFTER_MS = 50
# How long the answer to a look may wait for an end. Half of the shortest lease, and
# below the time in which serving tasks may be disturbed.
LOOK_WAIT_MS = 1000
# A look that failed is repeated after this, without extending the lease.
LOOK_AGAIN_MS = 300
# After ends, the next look waits this long, so that ends that come close together are
# listed by one look. Looks cost the worker and us; without a gap a day of short tasks
# took one and a half for each run. At 50 ms the steps that follow were late more often.
LOOK_GAP_MS = 15
# A worker on which nothing runs any more has only its ends to forget.
IDLE_LOOK_GAP_MS = 250
# Refusals for want of health or room say that our view is behind; waiting lets a look
# or a heartbeat come first.
HOLD_BACK_MS = 500
# A worker without runs that neither announces itself nor answers for ten heartbeats.
FORGOTTEN_AFTER_MS = 15_000
# Tasks that may run twice are started elsewhere once their worker has been silent for
# this: two looks that failed. The others have to wait for the lease.
ABANDON_AFTER_MS = 1500
# Two reports of the tail lie between two changes of a share.
PACE_INTERVAL_MS = 1100


def take_over(books):
    """Take up all workers and every run that the state has placed on them."""
    for record in books.state.targets.values():
        books.add_worker(record)
    now_ms = books.now_ms()
    for job in books.state.jobs.values():
        for (occurrence, number), tasks in job.groups.items():
            for index, task in enumerate(tasks):
                if task.state == cell_state.PLACED:
                    key = cell_state.TaskKey(
                        job.record.job_id, occurrence, number, index
                    )
                    _adopt(books, key, task, job.record.steps[number], now_ms)
    for worker in books.workers.values():
        look(books, worker)


def _adopt(books, key, task, step, now_ms):
    worker = books.workers.get(task.target_id)
    if worker is None:
        logging.error("run of %s on unknown worker %s", key, task.target_id)
        return
    run = workers.Run(key, task.run, step, now_ms)
    run.sends = 1
    run.next_send_ms = None
    worker.add(run)


def place(books, worker, key, run_number, step, ticket, checkpoint):
    """Decide a start; the worker hears of it once that is durable."""
    now_ms = books.now_ms()
    run = workers.Run(key, run_number, step, now_ms, ticket)
    run.next_send_ms = None
    run.checkpoint = checkpoint
    worker.add(run)
    record = worker.record
    placed = cell.RunPlaced(*key, run_number, record.target_id, record.born_ms)
    books.decide(lambda: _start(books, worker, run), placed=[placed])


def close_job(books, job):
    """Stop all that runs of a job."""
    for (occurrence, number), tasks in job.groups.items():
        for index, task in enumerate(tasks):
            if task.state == cell_state.PLACED:
                key = cell_state.TaskKey(job.record.job_id, occurrence, number, index)
                worker = books.workers.get(task.target_id)
                run = worker.runs.get(key) if worker else None
                if run is not None:
                    close_run(books, worker, run)


def close_run(books, worker, run):
    """Have a run stopped, also one whose start may still be on its way."""
    if run.state in (workers.CLOSING, workers.CLOSED):
        return
    if run.state == workers.ORDERED and run.sends == 0:
        # Its start waits for the commit, which then finds it closing.
        run.state = workers.CLOSING
        return
    run.state = workers.CLOSING
    run.next_send_ms = None
    _send_stop(books, worker, run)


def tick(books, now_ms):
    """Send again what was not answered, look again, and give up on lapsed leases."""
    for worker in list(books.workers.values()):
        if now_ms >= worker.lapses_ms:
            _lapse(books, worker)
        for run in list(worker.runs.values()):
            if run.next_send_ms is not None and now_ms >= run.next_send_ms:
                run.next_send_ms = None
                _send_again(books, worker, run)
        if worker.failures and now_ms - worker.heard_ms >= ABANDON_AFTER_MS:
            _abandon(books, worker)
        if worker.look is None:
            _look_if_due(books, worker, now_ms)
        if not worker.runs and _is_forgotten(worker, now_ms):
            books.environment.record("worker_forgotten", target=worker.target_id)
            books.drop_worker(worker.target_id)
            books.decide(gone=[worker.target_id])


def order_answered(books, mail):
    """Take the answer to a Start, Stop or Pace."""
    worker = books.workers.get(mail.target_id)
    if worker is None:
        return
    now_ms, result = books.now_ms(), mail.result
    if result.clock_ms is not None:
        worker.note_clock(result.clock_ms, now_ms)
        worker.heard_ms = now_ms
    if result.outcome in (orders.UNKNOWN, orders.UNREACHABLE):
        worker.failures += 1
    elif result.outcome == orders.OK:
        worker.failures = 0
    if result.outcome == orders.OTHER_LIFE:
        _life_over(books, worker)
        return
    run = _run_of(worker, mail.order.task)
    if run is None or run.run != mail.order.run:
        return
    if isinstance(mail.order, orders.Start):
        _start_answered(books, worker, run, mail, now_ms)
    elif isinstance(mail.order, orders.Stop):
        _stop_answered(run, result, now_ms)
        look(books, worker)
    elif result.outcome == orders.OK:
        run.pace = mail.order.percent


def look_answered(books, mail):
    """Take a worker's lists."""
    worker = books.workers.get(mail.target_id)
    if worker is None or worker.look is None:
        return
    now_ms, result = books.now_ms(), mail.result
    sent_ms, worker.look = worker.look, None
    if result.outcome == orders.OTHER_LIFE:
        _life_over(books, worker)
        return
    if result.outcome != orders.OK:
        _look_failed(books, worker, result, now_ms)
        return
    worker.note_clock(result.clock_ms, now_ms)
    worker.heard_ms = now_ms
    worker.failures = 0
    if not worker.shown:
        worker.shown = True
        books.is_stale = True
    if result.born_ms and result.born_ms != worker.record.born_ms:
        _note_new_life(books, worker, result)
    has_ends = _take_ends(books, worker, result.ended)
    _take_running(books, worker, result.running, sent_ms)
    _pace(books, worker, now_ms)
    _move_on(books, worker, now_ms)
    if has_ends:
        cursor = max(end.number for end in result.ended)
        life = worker.record.born_ms
        worker.is_settling = True
        books.after_commit(lambda: _forget_ends(books, worker, cursor, life))
    else:
        look_later(books, worker, 0)


def announced(books, worker, clock_ms, now_ms):
    """A heartbeat of a known life arrived."""
    worker.announced_ms = now_ms
    if clock_ms >= 0:
        worker.note_clock(clock_ms, now_ms)


def new_life(books, worker, record):
    """A newer life bears a known id: what the old one ran is over."""
    books.environment.record(
        "worker_reborn", target=worker.target_id, born_ms=record.born_ms
    )
    worker.cursor = 0
    _refuse_late_starts(books, worker)
    for run in list(worker.runs.values()):
        if run.state == workers.ORDERED and run.sends:
            close_run(books, worker, run)
        elif run.sends:
            end_run(books, worker, run, "lost", run.checkpoint)


def look_later(books, worker, gap_ms=LOOK_GAP_MS):
    """Have the next look made after a gap, in which more ends may gather."""
    if not worker.runs:
        gap_ms = IDLE_LOOK_GAP_MS
    worker.look_due_ms = books.now_ms() + gap_ms


def look(books, worker, wait_ms=LOOK_WAIT_MS):
    """Look at a worker now, unless a look is under way.

    The lease is extended only while the worker answers and its clock is known.
    """
    if worker.look is not None or worker.is_settling:
        return
    now_ms = books.now_ms()
    until_ms = None
    if worker.shown and worker.failures == 0 and worker.offset_ms is not None:
        lease_ms = books.environment.settings.cell.worker_lease_ms
        until_ms = worker.lease_until_ms(lease_ms, now_ms)
    is_urgent = (
        not worker.runs
        or not worker.shown
        or any(run.state == workers.CLOSED for run in worker.runs.values())
    )
    wait_ms = 0 if is_urgent else wait_ms
    worker.look = worker.looked_ms = now_ms
    worker.has_ends = False
    books.links[worker.target_id].look(
        orders.Look(books.epoch, worker.cursor, until_ms, wait_ms)
    )


def end_run(books, worker, run, how, checkpoint=""):
    """Record the end of a run and give its room back."""
    worker.remove(run)
    key = run.key
    job = books.state.jobs.get(key.job_id)
    if job is None:
        return
    _judge(books, worker, run, how)
    step = job.record.steps[key.step]
    is_final = False
    if how == "failed" and not step.long_running:
        failed = cell_state.failures_of(job, *key[1:]) + 1
        is_final = failed >= books.queue_of(job).max_attempts
    ended = cell.RunEnded(*key, run.run, how, checkpoint, is_final)
    books.decide(ended=[ended])
    books.on_run_ended(key.job_id, key.occurrence, key.step)
    books.environment.record(
        "run_ended", task=str(key), run=run.run, how=how, target=worker.target_id
    )
    if job.state == cell_state.FAILED:
        close_job(books, job)
    elif step.gang:
        _end_gang(books, job, key, run.run, how, checkpoint)


def _end_gang(books, job, key, run_number, how, checkpoint):
    """One end of a gang's run stands for all: all are done, or the others stop."""
    tasks = job.groups[(key.occurrence, key.step)]
    for index, task in enumerate(tasks):
        if task.state != cell_state.PLACED or task.run != run_number:
            continue
        worker = books.workers.get(task.target_id)
        run = worker.runs.get(key._replace(index=index)) if worker else None
        if run is None:
            continue
        if how == "done":
            end_run(books, worker, run, how, checkpoint)
        else:
            close_run(books, worker, run)


def _start(books, worker, run):
    """Send a start that is durable now, unless its job ended meanwhile."""
    if worker.runs.get(run.key) is not run:
        return
    job = books.state.jobs[run.key.job_id]
    if run.state == workers.CLOSING or job.state != cell_state.ACTIVE:
        end_run(books, worker, run, "stopped")
        return
    lease_ms = books.environment.settings.cell.worker_lease_ms
    now_ms = books.now_ms()
    run.order = orders.Start(
        str(run.key),
        run.run,
        job.record.spec,
        worker.lease_until_ms(lease_ms, now_ms),
        books.epoch,
        run.checkpoint,
        run.ticket,
    )
    _send_start(books, worker, run)
    look_later(books, worker)


def _send_start(books, worker, run):
    run.sends += 1
    books.links[worker.target_id].order(run.order)


def _send_stop(books, worker, run):
    order = orders.Stop(str(run.key), run.run, books.epoch)
    books.links[worker.target_id].order(order)


def _send_again(books, worker, run):
    if run.state == workers.CLOSING:
        _send_stop(books, worker, run)
    elif run.state == workers.ORDERED and run.order is not None:
        _send_start(books, worker, run)


def _start_answered(books, worker, run, mail, now_ms):
    """Act on the answer to a start; only OK and proofs that nothing ran settle it."""
    result = mail.result
    if run.state != workers.ORDERED:
        return
    if result.outcome == orders.OK:
        run.state = workers.RUNNING
        run.answered_ms = run.moved_ms = now_ms
        return
    books.environment.record(
        "start_not_taken",
        task=str(run.key),
        run=run.run,
        target=worker.target_id,
        outcome=result.outcome,
        sends=run.sends,
    )
    books.environment.metrics.count("starts_not_taken", result.outcome)
    if result.outcome == orders.NO_TICKET:
        books.permissions.refuse(run.key[:3], worker.target_id)
    elif result.outcome in (orders.NO_ROOM, orders.REFUSED):
        worker.held_back_until_ms = now_ms + HOLD_BACK_MS
    if result.outcome in orders.NOT_CARRIED_OUT and run.sends == 1:
        end_run(books, worker, run, "refused")
    elif result.outcome == orders.UNKNOWN:
        worker.may_arrive_late(run, now_ms)
        run.next_send_ms = now_ms + RESEND_AFTER_MS
    elif result.outcome == orders.FENCED:
        logging.warning("worker %s saw a higher epoch", worker.target_id)
    else:
        close_run(books, worker, run)


def _stop_answered(run, result, now_ms):
    if run.state != workers.CLOSING:
        return
    if result.outcome in (orders.OK, orders.STALE_RUN):
        run.state = workers.CLOSED
        run.answered_ms = now_ms
    else:
        run.next_send_ms = now_ms + RESEND_AFTER_MS


def _look_failed(books, worker, result, now_ms):
    worker.failures += 1
    if worker.failures == 1:
        books.environment.record(
            "worker_doubtful", target=worker.target_id, outcome=result.outcome
        )
    if worker.is_leaving and result.outcome == orders.UNREACHABLE:
        # It said that it ends, and nothing listens there any more.
        _life_over(books, worker)


def _look_if_due(books, worker, now_ms):
    wanted = worker.runs or worker.has_ends or not worker.shown
    due_ms = worker.look_due_ms
    if worker.failures:
        due_ms = worker.looked_ms + LOOK_AGAIN_MS
    if wanted and now_ms >= due_ms:
        look(books, worker)


def _forget_ends(books, worker, cursor, life):
    """The ends up to ``cursor`` are durable here, so the worker may forget them."""
    worker.is_settling = False
    if books.workers.get(worker.target_id) is not worker:
        return
    if worker.record.born_ms == life:
        worker.cursor = max(worker.cursor, cursor)
        worker.has_ends = True
    look_later(books, worker)


def _take_ends(books, worker, ended):
    """Record the ends that concern runs of ours; True if any was listed."""
    for end in sorted(ended):
        run = _run_of(worker, end.task)
        if run is not None and run.run == end.run:
            end_run(books, worker, run, end.how, end.checkpoint)
        elif end.how == "done":
            _take_late_success(books, worker, end)
    return bool(ended)


def _take_late_success(books, worker, end):
    """A run given up for lost is listed as done, and nothing runs in its place."""
    key = _key_of(end.task)
    task = cell_state.task_of(books.state, key) if key else None
    if task is None or not cell_state.is_late_success(task, end.run, end.how):
        return
    job = books.state.jobs[key.job_id]
    step = job.record.steps[key.step]
    if step.long_running:
        return
    keys = [key]
    if step.gang:
        tasks = job.groups[(key.occurrence, key.step)]
        keys = [key._replace(index=index) for index in range(len(tasks))]
        if any(not cell_state.is_late_success(t, end.run, end.how) for t in tasks):
            return
    books.decide(
        ended=[cell.RunEnded(*each, end.run, end.how, "", False) for each in keys]
    )
    books.on_run_ended(key.job_id, key.occurrence, key.step)
    books.environment.record(
        "late_success", task=end.task, run=end.run, target=worker.target_id
    )


def _take_running(books, worker, running, sent_ms):
    """Compare what a worker runs with what it should run."""
    now_ms = books.now_ms()
    listed = {entry.task: entry for entry in running}
    for run in list(worker.runs.values()):
        entry = listed.pop(str(run.key), None)
        if entry is not None and entry.run == run.run:
            _note_progress(books, worker, run, entry, now_ms)
        elif entry is not None:
            listed[entry.task] = entry
        elif sent_ms > run.answered_ms:
            _note_missing(books, worker, run)
    for entry in listed.values():
        order = orders.Stop(entry.task, entry.run, books.epoch)
        books.links[worker.target_id].order(order)
        books.environment.record(
            "unknown_run_stopped",
            task=entry.task,
            run=entry.run,
            target=worker.target_id,
        )


def _note_progress(books, worker, run, entry, now_ms):
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
        close_run(books, worker, run)
        return
    run.checkpoint = entry.checkpoint or run.checkpoint
    job = books.state.jobs.get(run.key.job_id)
    if job is None or job.state != cell_state.ACTIVE:
        close_run(books, worker, run)


def _note_missing(books, worker, run):
    """A run that a fresh look does not list; only a confirmed stop makes it final."""
    if run.state == workers.ORDERED and run.sends == 0:
        return
    if run.state == workers.CLOSED:
        end_run(books, worker, run, "stopped", run.checkpoint)
    elif run.state == workers.RUNNING or run.order is None:
        close_run(books, worker, run)


def _pace(books, worker, now_ms):
    if now_ms - worker.paced_ms < PACE_INTERVAL_MS:
        return
    for run, share in pacing.changes(list(worker.runs.values())):
        worker.paced_ms = now_ms
        order = orders.Pace(str(run.key), run.run, share, books.epoch)
        books.links[worker.target_id].order(order)


def _abandon(books, worker):
    """Start tasks that may run twice elsewhere; what may still run here keeps its room.

    Failure answered: a worker falls silent, and a task that could have been repeated at
    once waits for the whole lease.
    """
    for run in worker.runs.values():
        if not run.allow_duplicates or run.abandoned or not run.sends or run.is_long:
            continue
        job = books.state.jobs.get(run.key.job_id)
        if job is None or job.record.steps[run.key.step].gang:
            continue
        run.abandoned = True
        ended = cell.RunEnded(*run.key, run.run, "abandoned", run.checkpoint, False)
        books.decide(ended=[ended])
        books.on_run_ended(run.key.job_id, run.key.occurrence, run.key.step)
        books.environment.record(
            "run_abandoned", task=str(run.key), run=run.run, target=worker.target_id
        )


def _is_forgotten(worker, now_ms):
    return now_ms - max(worker.announced_ms, worker.heard_ms) > FORGOTTEN_AFTER_MS


def _move_on(books, worker, now_ms):
    """Stop what stands still here, and all that pays if the worker is slow."""
    ratios = {}
    for run in list(worker.runs.values()):
        if run.state != workers.RUNNING or run.is_long:
            continue
        if health.is_stalled(run, now_ms):
            _move(books, worker, run, "stalled", now_ms)
            continue
        ratio = health.slowness(run, books.durations.get(run.key[:3], ()))
        if ratio is not None:
            ratios[run] = ratio
    if not health.is_slow(list(ratios.values())):
        return
    for run, ratio in ratios.items():
        if health.pays_to_move(run, ratio, books.durations[run.key[:3]]):
            _move(books, worker, run, "slow", now_ms)


def _move(books, worker, run, reason, now_ms):
    moves = books.moves.get(run.key, 0)
    if moves >= health.MOVES_MOST:
        return
    books.moves[run.key] = moves + 1
    books.environment.record(
        "run_moved",
        task=str(run.key),
        run=run.run,
        target=worker.target_id,
        reason=reason,
        percent=run.percent,
        still_ms=now_ms - run.moved_ms,
    )
    _strike(books, worker, run.key.job_id)
    close_run(books, worker, run)


def _strike(books, worker, job_id):
    everyone = list(books.workers.values())
    if health.strike(worker, job_id, everyone, books.now_ms()):
        books.environment.record(
            "worker_out",
            target=worker.target_id,
            until_in_ms=worker.held_back_until_ms - books.now_ms(),
        )


def _judge(books, worker, run, how):
    """What an end says of its worker, and of how long such tasks take."""
    if how == "done":
        health.ended_well(worker)
        durations = books.durations.setdefault(run.key[:3], [])
        durations.append(books.now_ms() - run.placed_ms)
    elif how == "failed":
        _strike(books, worker, run.key.job_id)


def _lapse(books, worker):
    """The lease is over without an answer: whatever ran there was killed.

    A run whose start waits for its commit is not concerned: its start brings a lease.
    """
    sent = [run for run in worker.runs.values() if run.sends]
    if not sent:
        return
    books.environment.record("lease_lapsed", target=worker.target_id, runs=len(sent))
    for run in sent:
        end_run(books, worker, run, "lapsed", run.checkpoint)


def _life_over(books, worker):
    """This life of the worker is over for certain."""
    books.environment.record("worker_gone", target=worker.target_id)
    for run in list(worker.runs.values()):
        end_run(books, worker, run, "lost", run.checkpoint)
    books.drop_worker(worker.target_id)
    books.decide(gone=[worker.target_id])


def _note_new_life(books, worker, result):
    """A new life under the old id: only what it lists still runs."""
    listed = {(entry.task, entry.run) for entry in result.running}
    books.environment.record(
        "worker_reborn", target=worker.target_id, born_ms=result.born_ms
    )
    worker.cursor = 0
    _refuse_late_starts(books, worker)
    for run in list(worker.runs.values()):
        if (str(run.key), run.run) in listed:
            continue
        if run.state == workers.ORDERED:
            close_run(books, worker, run)
        else:
            end_run(books, worker, run, "lost", run.checkpoint)
    worker.record = worker.record._replace(born_ms=result.born_ms)
    books.decide(targets=[worker.record])


def _refuse_late_starts(books, worker):
    """Have a new life refuse what was sent to the one before and may arrive only now.

    The new life's clock starts anew, so the lease that the start names, long over on
    the old clock, seems to lie ahead; and it has seen no epoch. A run that was stopped
    there is refused.
    """
    for task, run in worker.late_starts(books.now_ms()):
        books.links[worker.target_id].order(orders.Stop(task, run, books.epoch))


def _run_of(worker, task):
    return worker.runs.get(_key_of(task))


def _key_of(task):
    """The key that a task's name spells, or None for a name of another kind."""
    parts = task.split(".")
    try:
        return cell_state.TaskKey(parts[0], *(int(part) for part in parts[1:]))
    except (TypeError, ValueError):
        return None
