"""How a new owner takes over the placements of the previous owner.

It restores the placements from the standby's copy of the records and from the items at
the keepers. Their workers are closed until each has reported to the new owner. The
records are complete if they belong to the epoch directly before. Otherwise no task is
started until the leases of all movable tasks that the previous owner started have
certainly expired.
"""

import math
import typing

from absl import logging

from alderreach.core import placements, target_membership
from alderreach.ops.placer import jobs

START_DELAY_HEARTBEATS = 1.2


class PredecessorRecord(typing.NamedTuple):
    """A record of the previous owner, and the boot id of the worker it was made for.

    ``seen_ms`` is since when this process has known the record, None if since now.
    """

    record: typing.Any
    boot_id: str
    seen_ms: int | None


def take_over(placing, copy, placed, now_ms):
    """Restore the placements in ``copy`` (a RecordCopy) and ``placed`` (from items).

    ``placed`` is a list of WorkerPlacements. Called once, after all items were applied.
    """
    placing.starts_from_ms = now_ms + _start_delay_ms(placing, copy)
    workers = {item.worker.worker_id: item.worker for item in placed}
    workers.update(copy.workers)
    for worker in workers.values():
        announcement = target_membership.from_worker_record(
            worker, placing.failure_domain
        )
        placing.add_expected(announcement, now_ms)
    for view in copy.runners.values():
        placing.add_expected(target_membership.from_runner_view(view), now_ms)
    for candidate in merge(copy, placed):
        _restore(placing, candidate, now_ms)
    # Must come last: the scheduler ends a cancelled job once none of its tasks run.
    for job_id, state in placing.jobs.items():
        if state.cancelled:
            placing.cancel(job_id, now_ms)


def _start_delay_ms(placing, copy):
    if placing.epoch == 1:
        return 0
    if copy.epoch == placing.epoch - 1:
        return int(START_DELAY_HEARTBEATS * placing.timing.target_heartbeat_ms)
    return placing.lease_expiry_ms


def merge(copy, placed):
    """Return one PredecessorRecord per task, with the highest attempt of both sources.

    Those known for the longest come first.
    A higher attempt exists only if the lower one had certainly ended.
    """
    candidates = [
        PredecessorRecord(
            record, copy.workers[record.worker_id].boot_id, copy.first_seen_ms(record)
        )
        for record in copy.placements.values()
        if record.worker_id in copy.workers
    ]
    candidates += [
        PredecessorRecord(record, item.worker.boot_id, copy.first_seen_ms(record))
        for item in placed
        for record in item.placements
    ]
    merged = {}
    for candidate in candidates:
        highest = merged.get(candidate.record.task_id)
        if highest is None or candidate.record.attempt > highest.record.attempt:
            merged[candidate.record.task_id] = candidate
    # The scheduler keeps the runs of a job in the order of their starts.
    return sorted(
        merged.values(),
        key=lambda each: math.inf if each.seen_ms is None else each.seen_ms,
    )


def _restore(placing, candidate, now_ms):
    record = candidate.record
    state = placing.jobs.get(record.job_id)
    number = jobs.number_of(record.task_id)
    if state is None or state.is_final or number in state.finished:
        return
    if record.outcome:
        if record.outcome == "finished":
            placing.record_finish(state, number, now_ms)
        return
    if record.worker_id not in placing.members.targets:
        logging.error("ignoring the record of a task on an unknown worker: %s", record)
        return
    placement = placements.Placement(
        record, record.attempt, candidate.boot_id, state.job.task, "held"
    )
    placing.restore(placement, state, candidate.seen_ms)
