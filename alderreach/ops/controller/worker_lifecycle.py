"""The lifecycle of workers: heartbeats, silence, expired leases, restarts, drains.

Nothing extends a worker's lease while its answers are missing, so whatever runs on one
that is cut off ends before it is started anew. A worker that starts again under its id
begins a new life, and what that life does not list is over.
"""

from alderreach.core import cell_state, crashes, orders
from alderreach.core.generated import cell
from alderreach.decisions.cell import crash_blame, health, workers
from alderreach.ops.controller import runs

# A worker without runs that neither announces itself nor answers for ten heartbeats.
FORGOTTEN_AFTER_MS = 15_000
# Where runs are in doubt, its next life may come later and prove a crash.
DOUBTED_FOR_MS = 60_000
# A draining worker serves for 2 s at least, less the time until its leader knows.
DRAIN_LEAST_MS = 1500
# Tasks that may run twice are started elsewhere once their worker has been silent for
# this: two polls that failed; at once if nothing listens there, which mostly means that
# it has crashed. That is no proof, so the others have to wait for the lease.
ABANDON_AFTER_MS = 1500


def announced(leader, worker, clock_ms, now_ms):
    """A heartbeat of a known life arrived."""
    worker.announced_ms = now_ms
    if clock_ms >= 0:
        worker.note_clock(clock_ms, now_ms)


def new_life(leader, worker):
    """A newer life bears a known id; which runs it has, only its list can tell.

    Its clock, its ends and its heartbeats are numbered anew, and only the former life
    said that it leaves. The new life may have taken a start before its first heartbeat
    came here, so its runs are not over yet. Heartbeats of the former life do not come
    between, since they name an earlier birth.
    """
    _record_end(leader, worker, "worker_restarted")
    _begin_life(leader, worker)
    worker.sequence = -1
    worker.is_leaving = False
    _refuse_late_starts(leader, worker)


def suspect_new_life(leader, worker):
    """An answer's clock is far behind: it is that of a life not yet heard of."""
    leader.environment.record("worker_clock_behind", target=worker.target_id)
    _begin_life(leader, worker)


def take_first_list(leader, worker, result, sent_ms):
    """What the first list of a life does not name is over.

    Starts that were answered after the poll was sent may be missing there, and so may
    those still on their way, which are closed.
    """
    worker.awaits_list = False
    listed = {(entry.task, entry.run) for entry in result.running}
    for run in list(worker.runs.values()):
        if (str(run.key), run.run) in listed:
            continue
        if run.state == workers.ORDERED:
            runs.close_run(leader, worker, run)
        elif run.answered_ms <= sent_ms:
            how = worker.former_ends.get((run.key, run.run), "lost")
            runs.end_run(leader, worker, run, how, run.checkpoint)


def expire_lease(leader, worker):
    """The lease is over without an answer: whatever ran there was killed.

    Whether the worker has crashed is in doubt, unless it refuses connections.
    A run whose start waits for its commit is not concerned: its start brings a lease.
    """
    sent = [run for run in worker.runs.values() if run.sends]
    if not sent:
        return
    leader.environment.record("lease_expired", target=worker.target_id, runs=len(sent))
    ends = _ends_of_runs(leader, worker)
    for run in sent:
        how = ends.get((run.key, run.run), "lapsed")
        if how in crashes.BLAME and not worker.is_refusing:
            worker.vanished[(run.key, run.run)] = how
            how = crashes.EXPIRED
        runs.end_run(leader, worker, run, how, run.checkpoint)


def life_over(leader, worker):
    """This life of the worker is over for certain."""
    _record_end(leader, worker, "worker_gone")
    ends = _ends_of_runs(leader, worker)
    _settle_vanished(leader, worker)
    for run in list(worker.runs.values()):
        how = ends.get((run.key, run.run), "lost")
        runs.end_run(leader, worker, run, how, run.checkpoint)
    leader.drop_worker(worker.target_id)
    leader.decide(gone=[worker.target_id])


def abandon(leader, worker):
    """Start tasks that may run twice elsewhere; what may still run keeps its room.

    A task that is suspected to have crashed a worker waits until it is known what
    became of its run, or it would crash one worker after the other in the meantime.
    """
    for run in worker.runs.values():
        if not run.allow_duplicates or run.abandoned or not run.sends or run.is_long:
            continue
        job = leader.state.jobs.get(run.key.job_id)
        if job is None or job.record.steps[run.key.step].gang:
            continue
        if leader.may_have_crashed_workers(cell_state.find_task(leader.state, run.key)):
            continue
        run.abandoned = True
        ended = cell.RunEnded(
            *run.key, run.run, crashes.ABANDONED, run.checkpoint, False
        )
        leader.decide(ended=[ended])
        leader.on_run_ended(run.key.job_id, run.key.occurrence, run.key.step)
        leader.environment.record(
            "run_abandoned", task=str(run.key), run=run.run, target=worker.target_id
        )


def watch(leader, worker, now_ms):
    """What silence and draining call for as time passes."""
    if now_ms >= worker.lapses_ms:
        expire_lease(leader, worker)
    is_silent = worker.failures and now_ms - worker.heard_ms >= ABANDON_AFTER_MS
    if is_silent or worker.is_refusing:
        abandon(leader, worker)
    is_draining = worker.record.state == "draining" and worker.shown
    if is_draining and not worker.is_evacuated:
        evacuate(leader, worker, now_ms)
    worker.is_evacuated = is_draining


def evacuate(leader, worker, now_ms):
    """A worker drains: what saves its progress, or starts anew anyway, leaves at once.

    The worker may end some seconds later without a word, and whatever ran there would
    wait for its lease. Tasks that save nothing stay, since most of them are done before
    that; so do those that will be.
    """
    for run in list(worker.runs.values()):
        job = leader.state.jobs.get(run.key.job_id)
        if job is None or not run.sends:
            continue
        step = job.record.steps[run.key.step]
        left_ms = health.left_ms(run, now_ms)
        is_done_soon = left_ms is not None and left_ms < DRAIN_LEAST_MS
        if step.long_running or (step.checkpointing and not is_done_soon):
            leader.environment.record(
                "run_evacuated",
                task=str(run.key),
                run=run.run,
                target=worker.target_id,
            )
            runs.close_run(leader, worker, run)


def forget_if_silent(leader, worker, now_ms):
    """Drop a worker on which nothing runs and that nobody heard of for long."""
    silent_ms = now_ms - max(worker.announced_ms, worker.heard_ms)
    patience_ms = DOUBTED_FOR_MS if worker.vanished else FORGOTTEN_AFTER_MS
    if worker.runs or silent_ms <= patience_ms:
        return
    leader.environment.record("worker_forgotten", target=worker.target_id)
    clear_vanished(leader, worker)
    leader.drop_worker(worker.target_id)
    leader.decide(gone=[worker.target_id])


def clear_vanished(leader, worker):
    """What vanished here did not crash it, or nobody will ever know."""
    for key, run_number in worker.vanished:
        runs.settle(leader, key, run_number, "lost")
    worker.vanished = {}


def _ends_of_runs(leader, worker):
    """How the runs of a worker ended if its life has, by (key, number of the run)."""

    def is_known(key):
        task = cell_state.find_task(leader.state, key)
        return task is not None and leader.starts_apart(task)

    return crash_blame.ends_of(worker, leader.now_ms(), is_known)


def _begin_life(leader, worker):
    """Keep how the runs of the life before ended, until its next list."""
    if not worker.awaits_list:
        worker.former_ends = _ends_of_runs(leader, worker)
    _settle_vanished(leader, worker)
    worker.begin_life()


def _settle_vanished(leader, worker):
    """This life is over: what vanished there ended with it, or crashed it."""
    is_planned = worker.is_planned_to_end()
    for (key, run_number), how in worker.vanished.items():
        runs.settle(leader, key, run_number, "lost" if is_planned else how)
    worker.vanished = {}


def _record_end(leader, worker, event):
    """Tell that a life is over, and whether the worker had said that it would end."""
    is_planned = worker.is_planned_to_end()
    leader.environment.record(
        event,
        target=worker.target_id,
        is_planned=is_planned,
        runs=len(worker.runs),
        unheard_ms=leader.now_ms() - worker.heard_ms,
    )
    leader.environment.metrics.count("workers_ended", "planned" if is_planned else "")


def _refuse_late_starts(leader, worker):
    """Have a new life refuse what was sent to the one before and may arrive only now.

    The new life's clock starts anew, so the lease that the start names, long over on
    the old clock, seems to lie ahead; and it has seen no epoch. A run that was stopped
    there is refused.
    """
    for task, run in worker.late_starts(leader.now_ms()):
        leader.links[worker.target_id].order(orders.Stop(task, run, leader.epoch))
