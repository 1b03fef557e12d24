"""The lifecycle of workers: heartbeats, silence, expired leases, restarts, drains.

A worker's lease is not extended while its answers are missing. So the runs on a worker
that is cut off end before their tasks are started again. A worker that restarts under
the same id begins a new incarnation, and runs that this incarnation does not list are
over.
"""

from alderreach.core import cell_state, crashes, stored_numbers
from alderreach.core.generated import cell
from alderreach.decisions.cell import contact_losses, crash_blame, health, workers
from alderreach.ops.controller import lost_contact, runs, stopping, verdicts

# A worker without runs is forgotten after ten heartbeats without contact.
FORGET_AFTER_MS = 15_000
# With runs in doubt a worker is kept for longer, since its next incarnation may
# announce itself later and prove a crash.
FORGET_IN_DOUBT_AFTER_MS = 60_000
# A draining worker continues for at least 2 s; the rest is the delay until its leader
# knows of the drain.
MIN_DRAIN_MS = 1500
# A task that waits for a run in doubt does so for this time. A worker that has been
# silent for ten heartbeats is taken as crashed then.
DECIDE_DOUBT_AFTER_MS = FORGET_AFTER_MS
# Tasks that allow duplicates are started on another worker after this time without
# contact, about two failed polls. They are started immediately if nothing listens at
# the worker's address, which usually means that it has crashed. This is no proof, so
# other tasks have to wait until the lease expires.
ABANDON_AFTER_MS = 1500


def record_latest(leader, worker, report, state, received_ms):
    """Record the latest heartbeat of a known incarnation, and when it was received.

    ``report`` is a ``cell.AnnounceTarget`` or ``cell.Heartbeat``. If its clock is ahead
    of the worker's own answers, it counts as unknown until the worker was asked.
    """
    worker.sequence, clock_ms = report.sequence, report.clock_ms
    if worker.is_ahead(clock_ms, received_ms):
        leader.environment.metrics.count("reported_clocks_ahead")
        worker.needs_clock = True
        clock_ms = -1
    worker.reported_clock_ms = clock_ms
    worker.record_heartbeat(clock_ms, received_ms)
    if not worker.failures:
        leader.evidence.losses.forget(worker.target_id)
    if state == "ready":
        # A worker drains before it ends and is not ready again. So the withdrawal came
        # from the previous incarnation and was delayed on its way. Kept, it would bar
        # this incarnation from new runs forever.
        worker.is_leaving = False


def refusal_of_report(leader, record):
    """Why a heartbeat names no worker to use; empty if it does.

    A worker that is known with its service keeps it when a configuration drops that.
    """
    worker = leader.workers.get(record.target_id)
    if stored_numbers.target_in_range(record) != record:
        return "a number is out of range"
    if leader.state.config is None or _has_service(leader, record.service):
        return ""
    if worker is not None and worker.record.service == record.service:
        return ""
    return f"service: the configuration has no {record.service}"


def with_lasting_fields(leader, worker, record):
    """A heartbeat's record with the fields of the known one that an incarnation keeps.

    These are its failure domain, its service and the address at which it answers. A
    known service that the configuration doesn't have came from another writer, so it
    may change.
    """
    known = worker.record
    is_same = record.born_ms and record.born_ms == known.born_ms
    if not is_same or not worker.has_answered():
        return record
    record = record._replace(address=known.address, failure_domain=known.failure_domain)
    if _has_service(leader, known.service):
        record = record._replace(service=known.service)
    return record


def _has_service(leader, service):
    config = leader.state.config
    return config is not None and any(each.name == service for each in config.services)


def apply_heartbeats(leader, batch):
    """Apply the heartbeats that another controller acknowledged; returns its reply.

    None of them has news, so only the time of the last sign of life and the worker's
    clock are updated. One that another heartbeat has overtaken, or of an incarnation
    that is over, is ignored.
    """
    now_ms = leader.now_ms()
    for row in batch.heartbeats:
        worker = leader.workers.get(row.target_id)
        if worker is None or worker.record.born_ms != row.born_ms:
            continue
        is_later = row.clock_ms > worker.reported_clock_ms
        if row.sequence > worker.sequence or is_later:
            received_ms = now_ms - row.age_ms
            record_latest(leader, worker, row, worker.record.state, received_ms)
    return cell.HeartbeatBatchReply(batch.number)


def begin_new_incarnation(leader, worker):
    """Begin a new incarnation of a known worker.

    Its clock and the numbers of its ends and heartbeats start again, and a withdrawal
    applies to the previous incarnation only. Runs are not ended before the first list
    arrives, since the new incarnation may have accepted a start before its first
    heartbeat arrived here. Late heartbeats of the previous incarnation are recognized
    by their earlier ``born_ms``.
    """
    _record_incarnation_end(leader, worker, "worker_restarted")
    _begin_incarnation(leader, worker)
    worker.noted_ends, worker.is_loss_noted = {}, False
    worker.sequence = worker.reported_clock_ms = -1
    worker.is_leaving = False


def suspect_new_incarnation(leader, worker):
    """Begin an incarnation that is not announced yet, as a clock far behind shows."""
    leader.environment.record("worker_clock_behind", target=worker.target_id)
    _begin_incarnation(leader, worker)


def apply_first_list(leader, worker, result):
    """End the runs that the first list of an incarnation does not name.

    The poll had a new fence, so the incarnation refuses all earlier starts that are
    still on their way. Runs whose starts have the new fence too may be missing.
    """
    worker.awaits_list = False
    listed = {(entry.task, entry.run) for entry in result.running}
    lost = []
    for run in list(worker.runs.values()):
        if (str(run.key), run.run) in listed:
            if run.is_closing():
                # Only the previous incarnation was told to stop it.
                run.state = workers.RUNNING
                runs.close_run(leader, worker, run, stopping.LISTED_AGAIN)
        elif worker.is_of_previous_incarnation(run):
            lost.append(run)
            end_kind = worker.previous_ends.get((run.key, run.run), "lost")
            runs.end_run(leader, worker, run, end_kind, run.checkpoint)
    if lost:
        leader.environment.record(
            "runs_not_listed",
            target=worker.target_id,
            runs=len(lost),
            tasks=stopping.names(worker, lost),
        )


def withdraw_starts(leader, worker):
    """Withdraw the starts without an answer that exceed a worker's new capacity.

    They may still be carried out, or would be sent again.
    """
    for run in worker.starts_beyond_capacity():
        leader.environment.metrics.count("starts_withdrawn")
        runs.close_run(leader, worker, run, stopping.SHRUNK)


def expire_lease(leader, worker):
    """End the runs of a worker whose lease has expired; it has stopped them itself.

    It is in doubt whether the worker has crashed, unless it refuses connections. A run
    whose start waits for its commit stays, since the start will grant a lease.
    """
    sent = [run for run in worker.runs.values() if run.sends]
    if not sent:
        return
    leader.environment.record(
        "lease_expired",
        target=worker.target_id,
        runs=len(sent),
        tasks=stopping.names(worker, sent),
    )
    ends = lost_contact.ends_of_runs(leader, worker)
    for run in sent:
        # A restart before the first list proves the end of the previous incarnation.
        proved_kind = worker.previous_ends.get((run.key, run.run))
        end_kind = proved_kind or ends.get((run.key, run.run), "lapsed")
        is_proved = proved_kind is not None or worker.is_refusing
        if end_kind in crashes.BLAME and not is_proved:
            worker.runs_in_doubt.setdefault((run.key, run.run), end_kind)
            end_kind = crashes.in_doubt(crashes.EXPIRED, end_kind)
        runs.end_run(leader, worker, run, end_kind, run.checkpoint)


def end_incarnation(leader, worker):
    """Drop a worker whose incarnation is known to be over, and end its runs."""
    _record_incarnation_end(leader, worker, "worker_gone")
    if not worker.failures:
        lost_contact.record(leader, worker, leader.now_ms())
    leader.evidence.losses.keep(worker.target_id)
    ends = lost_contact.ends_of_runs(leader, worker)
    _resolve_runs_in_doubt(leader, worker)
    for run in list(worker.runs.values()):
        end_kind = ends.get((run.key, run.run), "lost")
        runs.end_run(leader, worker, run, end_kind, run.checkpoint)
    leader.drop_worker(worker.target_id)
    leader.decide(gone=[worker.target_id])


def abandon(leader, worker):
    """Give up runs of tasks that allow duplicates, so that these start elsewhere.

    The runs may still be active and keep their resources. Those whose start has no
    answer yet are stopped, or the start would be repeated although the task may be done
    elsewhere by then. A task that is suspected to have crashed a worker waits until the
    end of its run is known. Otherwise it would crash one worker after the other in the
    meantime.
    """
    ends = None
    for run in worker.runs.values():
        if not run.allow_duplicates or run.abandoned or not run.sends or run.is_long:
            continue
        job = leader.state.jobs.get(run.key.job_id)
        if job is None or job.record.steps[run.key.step].gang:
            continue
        if leader.may_have_crashed_workers(cell_state.find_task(leader.state, run.key)):
            continue
        run.abandoned = True
        ends = lost_contact.ends_of_runs(leader, worker) if ends is None else ends
        crash_kind = ends.get((run.key, run.run), "")
        end_kind = crashes.in_doubt(crashes.ABANDONED, crash_kind)
        ended = cell.RunEnded(*run.key, run.run, end_kind, run.checkpoint, False)
        leader.decide(ended=[ended])
        leader.pause_in_doubt(run.key)
        leader.on_run_ended(run.key.job_id, run.key.occurrence, run.key.step)
        leader.environment.record(
            "run_abandoned",
            task=str(run.key),
            run=run.run,
            target=worker.target_id,
            counts_as=crash_kind,
        )
        if run.state == workers.ORDERED:
            runs.close_run(leader, worker, run, stopping.ABANDONED)


def check(leader, worker, now_ms):
    """Act on an expired lease, missing answers and the begin of a drain."""
    if now_ms >= worker.lease_end_ms:
        expire_lease(leader, worker)
    if worker.failures and worker.runs and not worker.is_loss_noted:
        lost_contact.note(leader, worker, now_ms)
    is_silent = worker.failures and now_ms - worker.last_contact_ms >= ABANDON_AFTER_MS
    if is_silent or worker.is_refusing:
        abandon(leader, worker)
    is_draining = worker.record.state == "draining" and worker.has_seen_epoch
    if is_draining and not worker.is_evacuated:
        evacuate(leader, worker, now_ms)
    worker.is_evacuated = is_draining


def evacuate(leader, worker, now_ms):
    """Move checkpointing, long-running and unconfirmed tasks off a draining worker.

    The worker may end some seconds later without notice, and the tasks on it would have
    to wait until the lease expires. Tasks without checkpoints stay, since most of them
    are done before that, and so do those that are predicted to be done soon. A start
    without an answer is not to be sent any more.
    """
    for run in list(worker.runs.values()):
        job = leader.state.jobs.get(run.key.job_id)
        if job is None or not run.sends:
            continue
        step = job.record.steps[run.key.step]
        remaining_ms = health.remaining_ms(run, now_ms)
        is_done_soon = remaining_ms is not None and remaining_ms < MIN_DRAIN_MS
        saves_work = step.long_running or (step.checkpointing and not is_done_soon)
        if saves_work or run.state == workers.ORDERED:
            leader.environment.record(
                "run_evacuated",
                task=str(run.key),
                run=run.run,
                target=worker.target_id,
            )
            runs.close_run(leader, worker, run, stopping.EVACUATED)


def forget_if_silent(leader, worker, now_ms):
    """Drop a worker without runs that has been silent for too long."""
    silent_ms = now_ms - max(worker.announced_ms, worker.last_contact_ms)
    if worker.runs_in_doubt and silent_ms > DECIDE_DOUBT_AFTER_MS:
        _decide_doubt(leader, worker)
    timeout_ms = FORGET_IN_DOUBT_AFTER_MS if worker.runs_in_doubt else FORGET_AFTER_MS
    if worker.runs or silent_ms <= timeout_ms:
        return
    leader.environment.record("worker_forgotten", target=worker.target_id)
    clear_runs_in_doubt(leader, worker)
    leader.drop_worker(worker.target_id)
    leader.decide(gone=[worker.target_id])


def clear_runs_in_doubt(leader, worker):
    """Resolve the runs in doubt on a worker as lost, without blame for a crash.

    They did not crash the worker, or it will never be known whether they did. One that
    may still be there stays in doubt until its end is known: a new leader would not
    know it otherwise.
    """
    for key, run_number in worker.runs_in_doubt:
        run = worker.runs.get(key)
        if run is None or run.run != run_number:
            runs.resolve(leader, key, run_number, "lost", worker.target_id)
    worker.runs_in_doubt, worker.adopted_in_doubt = {}, set()


def _decide_doubt(leader, worker):
    """Resolve the runs in doubt that their tasks wait for and that fail them.

    That this worker fell silent proves nothing, but counts against a task that has
    crashed others.
    """
    for (key, run_number), end_kind in list(worker.runs_in_doubt.items()):
        task = cell_state.find_task(leader.state, key)
        if task is None or end_kind not in crashes.BLAME or key in worker.runs:
            continue
        end_kind = crashes.UNPROVED_WITH_OTHERS
        if leader.waits_for_doubt(task) and verdicts.fails(leader, key, end_kind):
            del worker.runs_in_doubt[(key, run_number)]
            runs.record_resolved(leader, key, run_number, end_kind)


def _begin_incarnation(leader, worker):
    """Keep the ends of the previous incarnations' runs until these end.

    A run that was closed after one crash may not have ended before the next one.
    """
    if not worker.failures and not worker.awaits_list:
        lost_contact.record(leader, worker, leader.now_ms())
    leader.evidence.losses.keep(worker.target_id)
    if not worker.awaits_list:
        present = {(run.key, run.run) for run in worker.runs.values()}
        earlier_ends = {
            run: end_kind
            for run, end_kind in worker.previous_ends.items()
            if run in present
        }
        worker.previous_ends = lost_contact.ends_of_runs(leader, worker) | earlier_ends
    _resolve_runs_in_doubt(leader, worker)
    worker.begin_incarnation(leader.next_fence(worker.target_id))


def _resolve_runs_in_doubt(leader, worker):
    """Resolve the runs in doubt on an incarnation that is over.

    They were lost with it or, if its end was not planned, have crashed it.
    """
    is_planned = worker.is_planned_to_end()
    for (key, run_number), end_kind in worker.runs_in_doubt.items():
        is_adopted = (key, run_number) in worker.adopted_in_doubt
        if is_planned:
            end_kind = "lost"
        elif is_adopted:
            lost_run = contact_losses.LostRun(key.job_id, was_fresh=False)
            coincidence = lost_contact.coincidence(leader, worker, lost_run)
            if coincidence != contact_losses.ALONE:
                end_kind = crash_blame.weakened(end_kind)
        if is_adopted:
            runs.record_resolved(leader, key, run_number, end_kind)
        else:
            runs.resolve(leader, key, run_number, end_kind, worker.target_id)
    worker.runs_in_doubt, worker.adopted_in_doubt = {}, set()


def _record_incarnation_end(leader, worker, event):
    """Log the end of an incarnation, and whether the worker had announced it."""
    is_planned = worker.is_planned_to_end()
    leader.environment.record(
        event,
        target=worker.target_id,
        is_planned=is_planned,
        runs=len(worker.runs),
        tasks=stopping.names(worker, worker.runs.values()),
        unheard_ms=leader.now_ms() - worker.last_contact_ms,
    )
    leader.environment.metrics.count("workers_ended", "planned" if is_planned else "")
