"""The leader's answers to callers, operators and workers.

What changes something is answered once it is committed. What only tells something is
answered after a round of voters confirmed the leadership, so that a deposed leader,
frozen and woken, neither denies a job that its successor accepted nor shows an old
configuration.
"""

import functools

from absl import logging

from alderreach.core import cell_state
from alderreach.core.generated import cell
from alderreach.decisions.cell import choice
from alderreach.ops.controller import runs, worker_lifecycle, worker_polls

# When to come back while the cell can't answer: about an election.
RETRY_AFTER_MS = 1000
# Why a job is turned away as invalid: more tasks than this in one job.
TASKS_PER_JOB_MAX = 20_000

ACCEPTED = "accepted"
STATE = "state"
PENDING = "pending"
CONFIG = "config"
NO_QUEUE = "no_queue"
NO_JOB = "no_job"
INVALID = "invalid"
NOT_READY = "not_ready"


def answer(kind, text="", number=0, retry_after_ms=0, body=b""):
    """A ``cell.CellAnswer``, with what its kind does not need left empty."""
    return cell.CellAnswer(kind, text, number, retry_after_ms, body)


def not_ready():
    """The answer while nothing can be known or changed."""
    return answer(NOT_READY, retry_after_ms=RETRY_AFTER_MS)


def handle(leading, request, reply):
    """Take one request; ``reply`` is called once with its ``cell.CellAnswer``."""
    handler = HANDLERS.get(type(request))
    if handler is None:
        logging.error("no request: %s", type(request).__name__)
        reply(answer(INVALID))
        return
    handler(leading, request, reply)


def find_queue(config, host, path):
    """The queue with the longest prefix that fits, and what follows the prefix.

    Returns (None, "") if no queue has this address.
    """
    fitting = [
        queue
        for queue in config.queues
        if queue.host == host and path.startswith(queue.path_prefix)
    ]
    if not fitting:
        return None, ""
    queue = max(fitting, key=lambda queue: len(queue.path_prefix))
    return queue, path[len(queue.path_prefix) :]


def _at_queue(handler):
    """Find the queue first; without a configuration or a queue, say so."""

    @functools.wraps(handler)
    def with_queue(leading, request, reply):
        config = leading.leader.state.config
        if config is None:
            reply(not_ready())
            return
        queue, rest = find_queue(config, request.host, request.path)
        if queue is None:
            leading.confirm(lambda: reply(answer(NO_QUEUE)))
            return
        handler(leading, request, reply, queue, rest)

    return with_queue


@_at_queue
def _submit(leading, request, reply, queue, job_id):
    leader = leading.leader
    if job_id in leader.state.jobs:
        leader.after_commit(lambda: reply(answer(ACCEPTED)))
        return
    reason = _why_invalid(request, job_id)
    if reason:
        leading.record("job_invalid", job=job_id, reason=reason)
        reply(answer(INVALID, reason))
        return
    record = cell.CellJob(
        job_id,
        queue,
        queue.service,
        request.spec,
        request.steps,
        request.repeat_count,
        request.first_due_ms,
        request.interval_ms,
    )
    accepted = cell.JobAccepted(record, leader.cell_ms())
    leader.decide(lambda: reply(answer(ACCEPTED)), accepted=[accepted])
    leading.planner.job_added(leader.state.jobs[job_id])
    leading.record(
        "job_accepted",
        job=job_id,
        queue=queue.name,
        tasks=sum(step.tasks for step in request.steps),
        config_version=leader.state.config.version,
        is_placeable=_is_placeable(leader, record),
    )


def _why_invalid(request, job_id):
    if not job_id or "/" in job_id or "." in job_id:
        return "the path names no job"
    if not request.steps:
        return "a job needs a step"
    tasks = sum(step.tasks for step in request.steps) * max(1, request.repeat_count)
    if tasks > TASKS_PER_JOB_MAX:
        return f"more than {TASKS_PER_JOB_MAX} tasks"
    for number, step in enumerate(request.steps):
        if step.tasks < 1:
            return f"step {number} has no task"
        if any(not 0 <= earlier < number for earlier in step.after):
            return f"step {number} waits for one that is not earlier"
    return ""


def _is_placeable(leader, record):
    """Whether some worker known now could hold a task of each step, for the log."""
    pool = [w for w in leader.workers.values() if w.record.service == record.service]
    return all(
        any(choice.is_suitable(worker, step) for worker in pool)
        for step in record.steps
    )


@_at_queue
def _read(leading, request, reply, queue, job_id):
    if not job_id:
        leading.confirm(
            lambda: reply(answer(PENDING, number=leading.planner.pending(queue.name)))
        )
        return
    leading.confirm(lambda: reply(_state_of(leading, job_id)))


def _state_of(leading, job_id):
    """What is committed; a job that is about to be counts as queued."""
    job = leading.committed().jobs.get(job_id)
    if job is not None:
        return answer(STATE, cell_state.public_state(job))
    if job_id in leading.leader.state.jobs:
        return answer(STATE, "queued")
    return answer(NO_JOB)


@_at_queue
def _cancel(leading, request, reply, _queue, job_id):
    leader = leading.leader
    job = leader.state.jobs.get(job_id)
    if job is None:
        leading.confirm(lambda: reply(answer(NO_JOB)))
        return
    if job.state != cell_state.ACTIVE:
        leader.after_commit(lambda: reply(answer(ACCEPTED)))
        return

    def cancelled():
        reply(answer(ACCEPTED))
        runs.close_job(leader, job)

    leader.decide(cancelled, cancelled=[job_id])
    leading.record("job_cancelled", job=job_id)


def _put_config(leading, request, reply):
    leader = leading.leader
    held = leader.state.config
    if held is not None and request.config.version <= held.version:
        leader.after_commit(lambda: reply(answer(ACCEPTED)))
        return
    leader.decide(lambda: reply(answer(ACCEPTED)), configs=[request.config])
    leading.record("config_accepted", version=request.config.version)


def _read_config(leading, _request, reply):
    def tell():
        config = leading.committed().config
        if config is None:
            reply(not_ready())
        else:
            reply(answer(CONFIG, number=config.version, body=config.body))

    leading.confirm(tell)


def _announce(leading, request, reply):
    """A worker's heartbeat; anything new in it is durable before it is acknowledged.

    An older life under a known id is answered and left alone: its heartbeat was held up
    on the way.
    """
    leader, record = leading.leader, request.record
    worker = leader.workers.get(record.target_id)
    done = answer(ACCEPTED, leading.contact())
    if worker is not None and record.born_ms < worker.record.born_ms:
        reply(done)
        return
    is_new = worker is None or worker.record.born_ms != record.born_ms
    if worker is not None and not is_new:
        if request.sequence < worker.sequence:
            reply(done)
            return
        worker.sequence = request.sequence
        if record.state == "ready":
            # Who ends drains first and is not ready again: the goodbye was that of the
            # life before, held up on its way. Believed, it would bar this one for ever.
            worker.is_leaving = False
    if worker is None:
        worker = leader.add_worker(record)
    is_restarted = worker.record.born_ms != record.born_ms
    if is_restarted or record.address != worker.record.address:
        leader.move_link(record)
        worker.poll_sent_ms = None
    if is_restarted:
        worker_lifecycle.new_life(leader, worker)
    worker_lifecycle.announced(leader, worker, request.clock_ms, leader.now_ms())
    if not is_new and record == worker.record:
        reply(done)
        return
    worker.record = record
    leader.pools.worker_changed(worker.target_id)
    leader.decide(lambda: reply(done), targets=[record])
    leading.record(
        "worker_changed",
        target=record.target_id,
        state=record.state,
        address=record.address,
        is_new=is_new,
    )
    worker_polls.poll(leader, worker)


def _withdraw(leading, request, reply):
    """A worker that drained ends; it gets nothing more, and is looked at until gone."""
    worker = leading.leader.workers.get(request.target_id)
    if worker is not None:
        worker.is_leaving = True
        leading.record("worker_leaves", target=request.target_id)
        worker_polls.poll(leading.leader, worker)
    reply(answer(ACCEPTED))


HANDLERS = {
    cell.SubmitJob: _submit,
    cell.ReadJob: _read,
    cell.CancelJob: _cancel,
    cell.PutConfig: _put_config,
    cell.ReadConfig: _read_config,
    cell.AnnounceTarget: _announce,
    cell.WithdrawTarget: _withdraw,
}
