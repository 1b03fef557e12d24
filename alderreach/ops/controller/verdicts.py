"""Crashes that would fail their task: judged once other losses of contact are known.

A worker without runs is not polled, so that it has crashed together with others is
known only from its next heartbeat. Until the heartbeats of all workers have had time to
arrive, the run counts as one in doubt and its task is not started again.
"""

import typing

from alderreach.core import cell_state, crashes
from alderreach.decisions.cell import contact_losses, crash_blame

# Added to the interval of heartbeats, for their delivery.
GRACE_MS = 500
# Crashes that count against a gang as a whole: at a start, while no others were lost.
GANG_CRASH_KINDS = (
    crashes.CRASHED_AT_START,
    crashes.CRASHED_AT_LONE_START,
    crashes.UNPROVED_AT_START,
)


class Verdict(typing.NamedTuple):
    """A crash to be judged at ``due_ms``, and when contact with its worker was lost."""

    due_ms: int
    key: cell_state.TaskKey
    run: int
    end_kind: str
    target_id: str
    from_ms: int
    to_ms: int
    was_lost_at_once: bool
    born_ms: int | None


class Evidence:
    """What a leader knows of recent crashes.

    ``losses`` are the recent losses of contact, ``pending`` the verdicts that are not
    due yet, and ``lost_at_once`` the (key, run number) of runs whose workers were lost
    at once after their start. ``probed_ms`` is when idle workers were polled last.
    """

    def __init__(self, now_ms):
        self.losses = contact_losses.ContactLosses()
        self.pending = []
        self.lost_at_once = set()
        self.probed_ms = now_ms

    def tidy(self, now_ms, is_over):
        """Drop what is old, or of jobs that have ended by ``is_over(key)``."""
        self.losses.tidy(now_ms)
        self.lost_at_once = {each for each in self.lost_at_once if not is_over(each[0])}


def fails(leader, key, end_kind):
    """Whether this end of a run fails its task for crashes of its workers.

    A lasting task never fails. In a gang with more crashes at its starts than members,
    the first member with two of them fails.
    """
    job = leader.state.jobs.get(key.job_id)
    if end_kind not in crashes.BLAME or job is None or job.state != cell_state.ACTIVE:
        return False
    step = job.record.steps[key.step]
    if step.long_running:
        return False
    task = cell_state.find_task(leader.state, key)
    blame = task.blame + crashes.BLAME[end_kind]
    if crash_blame.fails(blame, [*task.crash_kinds, end_kind]):
        return True
    if not step.gang:
        return False
    own = [*task.crash_kinds, end_kind]
    if sum(kind in GANG_CRASH_KINDS for kind in own) < crash_blame.MIN_PROVED_CRASHES:
        return False
    others = [
        kind
        for member in job.groups[(key.occurrence, key.step)]
        if member is not task
        for kind in member.crash_kinds
    ]
    limit = max(crash_blame.MAX_CRASHES, step.tasks + 1)
    return sum(kind in GANG_CRASH_KINDS for kind in [*own, *others]) >= limit


def defer(leader, key, run_number, end_kind, target_id, born_ms=None):
    """Judge a crash later, and pause its task until then.

    ``born_ms`` is that of the worker's incarnation, if it may answer again.
    """
    now_ms = leader.now_ms()
    due_ms = now_ms + leader.environment.settings.cell.worker_heartbeat_ms + GRACE_MS
    from_ms, to_ms = leader.evidence.losses.interval(target_id, now_ms)
    leader.evidence.pending.append(
        Verdict(
            due_ms,
            key,
            run_number,
            end_kind,
            target_id,
            from_ms,
            to_ms,
            (key, run_number) in leader.evidence.lost_at_once,
            born_ms,
        )
    )
    leader.pause(key, due_ms)


def pop_refuted(leader, worker):
    """Remove the verdicts on the current incarnation of a worker; returns them.

    It answers again, so it has not crashed.
    """
    pending = leader.evidence.pending
    refuted = [
        each
        for each in pending
        if each.target_id == worker.target_id and each.born_ms == worker.record.born_ms
    ]
    leader.evidence.pending = [each for each in pending if each not in refuted]
    return refuted


def are_due(leader, now_ms):
    """Whether a crash is due to be judged."""
    return any(each.due_ms <= now_ms for each in leader.evidence.pending)


def pop_due(leader, now_ms):
    """Yield (key, run number, end) of each crash that is due to be judged."""
    due = [each for each in leader.evidence.pending if each.due_ms <= now_ms]
    leader.evidence.pending = [
        each for each in leader.evidence.pending if each.due_ms > now_ms
    ]
    for each in due:
        may_be_fresh = each.end_kind != crashes.WORKER_CRASHED
        coincidence = leader.evidence.losses.coincidence(
            each.target_id,
            contact_losses.LostRun(each.key.job_id, each.end_kind in crashes.AT_START),
            each.from_ms,
            each.to_ms,
            now_ms,
        )
        end_kind = crash_blame.crash_kind_beside(
            each.end_kind, coincidence, may_be_fresh, each.was_lost_at_once
        )
        leader.environment.metrics.count("crashes_judged", coincidence)
        leader.environment.record(
            "crash_judged",
            task=str(each.key),
            run=each.run,
            target=each.target_id,
            noted_as=each.end_kind,
            counts_as=end_kind,
            losses=coincidence,
            lost_from_ms=each.from_ms,
            lost_to_ms=each.to_ms,
        )
        yield each.key, each.run, end_kind or "lost"
