"""What a leader learns of the loss of contact with workers, as evidence of its cause.

When a worker is lost, its runs may have crashed it, or something that took others as
well. So each loss is recorded with its time (``contact_losses``), some idle workers are
polled to know whether they were lost too, and what the runs count as if the worker has
crashed (``crash_blame``) is noted in the log for a new leader.
"""

from alderreach.core import cell_state, crashes
from alderreach.core.generated import cell
from alderreach.decisions.cell import contact_losses, crash_blame
from alderreach.ops.controller import runs, verdicts

# When a worker with runs has crashed, so many idle workers are polled that have given
# no sign of life for some time. Otherwise only their next heartbeats would show that
# they have crashed as well.
MAX_PROBES = 8
PROBE_AFTER_MS = 100
# Workers that were lost at the same time are known this long after a loss.
NOTE_AFTER_MS = 100


def on_failed_call(leader, worker, is_closed=False, due_ms=None):
    """Record that contact with a worker was lost, after a call without an answer.

    ``is_closed`` tells that the connection of a call closed while the worker held it,
    and ``due_ms`` is when the answer to a poll was due.
    """
    now_ms, before = leader.now_ms(), worker.silent_from_ms
    is_known_better = worker.failures == 1
    if due_ms is not None and (before is None or due_ms < before):
        worker.silent_from_ms, is_known_better = due_ms, True
    if is_closed and worker.closed_ms is None:
        worker.closed_ms, is_known_better = now_ms, True
    if (is_closed or worker.is_refusing) and worker.down_by_ms is None:
        worker.down_by_ms, is_known_better = now_ms, True
    if is_known_better:
        record(leader, worker, now_ms)
        if worker.runs and worker.down_by_ms is not None:
            _probe_idle_workers(leader, now_ms)


def _probe_idle_workers(leader, now_ms):
    """Poll some idle workers, to know whether they were lost at this moment too."""
    if now_ms - leader.evidence.probed_ms < PROBE_AFTER_MS:
        return
    leader.evidence.probed_ms = now_ms
    count = 0
    for worker in leader.workers.values():
        last_sign_ms = max(worker.announced_ms, worker.last_contact_ms)
        is_idle = not worker.runs and not worker.failures and worker.has_seen_epoch
        if is_idle and now_ms - last_sign_ms > PROBE_AFTER_MS:
            worker.needs_contact, worker.poll_due_ms = True, now_ms
            count += 1
            if count >= MAX_PROBES:
                return


def record_overdue(leader, now_ms):
    """Record the loss of contact with workers whose heartbeats are overdue."""
    latest_ms = now_ms - contact_losses.OVERDUE_AFTER_MS
    for worker in leader.workers.values():
        is_overdue = max(worker.announced_ms, worker.last_contact_ms) < latest_ms
        if is_overdue and not leader.evidence.losses.is_recorded(worker.target_id):
            record(leader, worker, now_ms)


def record(leader, worker, now_ms):
    """Record when contact with a worker was lost, unless it had announced its end."""
    if worker.is_planned_to_end():
        return
    from_ms, to_ms = contact_losses.interval(worker, now_ms)
    fresh = crash_blame.possibly_fresh(worker, now_ms)
    is_down = worker.down_by_ms is not None
    leader.evidence.losses.record(
        contact_losses.Loss(
            worker.target_id,
            from_ms,
            to_ms,
            frozenset(key.job_id for key in fresh),
            any(_is_suspect(leader, key) for key in fresh),
            is_down,
        )
    )
    leader.environment.metrics.count("contact_losses", "down" if is_down else "silent")
    leader.environment.record(
        "contact_lost",
        target=worker.target_id,
        lost_from_ms=from_ms,
        lost_to_ms=to_ms,
        is_down=is_down,
        runs=len(worker.runs),
        fresh_runs=len(fresh),
    )


def note(leader, worker, now_ms):
    """Note how runs that had just started, or are in doubt, ended if it was a crash.

    A new leader would not know that they had begun, or when the worker was lost.
    """
    is_down = worker.down_by_ms is not None
    after_ms = NOTE_AFTER_MS if is_down else contact_losses.SILENT_AFTER_MS
    if now_ms - worker.first_failure_ms < after_ms:
        return
    worker.is_loss_noted = True
    ends = ends_of_runs(leader, worker)
    noted = []
    for run in worker.runs.values():
        end_kind = ends.get((run.key, run.run), "")
        is_new = run.order is not None and end_kind in crashes.AT_START
        if is_new or run.abandoned:
            noted.append(cell.CrashNoted(*run.key, run.run, end_kind))
    if noted:
        leader.note(noted=noted)


def _is_suspect(leader, key):
    task = cell_state.find_task(leader.state, key)
    return task is not None and leader.must_start_alone(task)


def ends_of_runs(leader, worker):
    """How a worker's runs ended if its incarnation is over, by (key, run number)."""
    now_ms = leader.now_ms()
    leader.evidence.lost_at_once |= {
        (run.key, run.run)
        for run in worker.runs.values()
        if not run.is_long and crash_blame.was_lost_at_once(run, worker, now_ms)
    }
    return crash_blame.ends_after_crash(
        worker,
        now_ms,
        lambda key: _is_suspect(leader, key),
        lambda lost_run: coincidence(leader, worker, lost_run),
    )


def coincidence(leader, worker, lost_run):
    """Whether contact with others was lost at the same time as with a worker."""
    now_ms = leader.now_ms()
    interval_ms = contact_losses.interval(worker, now_ms)
    return leader.evidence.losses.coincidence(
        worker.target_id, lost_run, *interval_ms, now_ms
    )


def forget(leader, worker):
    """Drop what was noted of a worker that answers again."""
    leader.evidence.losses.forget(worker.target_id)
    worker.noted_ends = {}
    for each in verdicts.pop_refuted(leader, worker):
        runs.record_resolved(leader, each.key, each.run, "lost")
    if not worker.is_loss_noted:
        return
    worker.is_loss_noted = False
    noted = [
        cell.CrashNoted(*run.key, run.run, "")
        for run in worker.runs.values()
        if cell_state.find_task(leader.state, run.key).noted
    ]
    if noted:
        leader.note(noted=noted)
