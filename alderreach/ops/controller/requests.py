"""The leader's answers to callers, operators and workers.

A request that changes the state is answered once the change is committed. A read is
answered after a round of voters has confirmed the leadership. Otherwise a deposed
leader that resumes after being frozen might deny a job that its successor accepted, or
return an old configuration.
"""

import functools
import typing

from absl import logging

from alderreach.core import cell_state, stored_numbers
from alderreach.core.generated import cell
from alderreach.decisions.cell import choice
from alderreach.ops.controller import (
    admitting,
    job_runs,
    runs,
    stopping,
    worker_lifecycle,
    worker_polls,
)

# Suggested retry delay while the cell can't answer: about the duration of an election.
RETRY_AFTER_MS = 1000
# A job with more tasks than this is rejected as invalid.
TASKS_PER_JOB_MAX = 20_000

ACCEPTED = "accepted"
STATE = "state"
PENDING = "pending"
CONFIG = "config"
NO_QUEUE = "no_queue"
NO_JOB = "no_job"
INVALID = "invalid"
UNKNOWN_KEY = "unknown_key"
OTHER_CUSTOMER = "other_customer"
OVERLOADED = "overloaded"
NOT_READY = "not_ready"
# Refusals that another attempt of the same request might not get, since they depend on
# the configuration or on the load.
REFUSALS = (NO_QUEUE, UNKNOWN_KEY, OTHER_CUSTOMER, OVERLOADED)


def answer(kind, text="", number=0, retry_after_ms=0, body=b""):
    """A ``cell.CellAnswer``; fields that its kind does not need stay empty."""
    return cell.CellAnswer(kind, text, number, retry_after_ms, body)


def not_ready():
    """The answer while the cell can neither be read nor changed."""
    return answer(NOT_READY, retry_after_ms=RETRY_AFTER_MS)


def handle(term, request, reply):
    """Handle one request; ``reply`` is called once with its ``cell.CellAnswer``."""
    handler = HANDLERS.get(type(request))
    if handler is None:
        logging.error("unknown type of request: %s", type(request).__name__)
        reply(answer(INVALID))
        return
    handler(term, request, reply)


def find_queue(config, host, path):
    """The queue with the longest matching prefix, and the path after the prefix.

    Returns (None, "") if no queue matches.
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


class _Subject(typing.NamedTuple):
    """What a request is about: a queue, a job of it, and the customer who asks.

    ``customer`` is empty if the request has no key or the cell has no customers.
    """

    queue: cell.QueueConfig
    job_id: str
    customer: str


def _requires_queue(handler):
    """Decorate a handler that needs the queue of a request and a caller with a key.

    Requests are answered here if there is no configuration or no matching queue, if
    their key is unknown, and if their job belongs to another customer.
    """

    @functools.wraps(handler)
    def with_queue(term, request, reply):
        config = term.leader.state.config
        if config is None:
            reply(not_ready())
            return
        queue, job_id = find_queue(config, request.host, request.path)
        refusal, customer = _authorize(term.leader, queue, job_id, request.key_digest)
        if refusal:
            term.leader.environment.metrics.count("requests_refused", refusal)
            term.record(
                "request_refused",
                path=request.path,
                reason=refusal,
                customer=customer,
                config_version=config.version,
            )
            term.confirm(lambda: reply(answer(refusal)))
            return
        handler(term, request, reply, _Subject(queue, job_id, customer))

    return with_queue


def _authorize(leader, queue, job_id, key_digest):
    """The refusal of a request, empty if there is none, and its customer.

    A key that nobody has is refused on every queue, since its sender believes to act
    for a customer. A job without a customer may be read and cancelled by anyone who
    knows its id, and so may any job through a queue that needs no key.
    """
    if queue is None:
        return NO_QUEUE, ""
    if not leader.customers.needs_keys:
        return "", ""
    if not key_digest:
        return ("", "") if queue.allows_anonymous else (UNKNOWN_KEY, "")
    customer = leader.customers.identify(key_digest)
    if customer is None:
        return UNKNOWN_KEY, ""
    job = leader.state.jobs.get(job_id)
    owner = job.record.customer if job else ""
    if owner and owner != customer:
        return OTHER_CUSTOMER, customer
    return "", customer


@_requires_queue
def _submit(term, request, reply, subject):
    leader, queue, job_id = term.leader, subject.queue, subject.job_id
    if job_id in leader.state.jobs:
        leader.after_commit(lambda: reply(answer(ACCEPTED)))
        return
    reason = _invalid_reason(request, job_id)
    if reason:
        term.record("job_invalid", job=job_id, reason=reason)
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
        subject.customer,
    )
    if stored_numbers.job_in_range(record) is not record:
        # A process of an earlier version has passed it on unchecked.
        reply(answer(INVALID, "a number is out of range"))
        return
    refusal = term.admission.consider(record)
    if refusal is not None:
        _refuse_for_load(term, record, refusal, reply)
        return
    accepted = cell.JobAccepted(record, leader.cell_ms())
    leader.decide(lambda: reply(answer(ACCEPTED)), accepted=[accepted])
    term.planner.job_added(leader.state.jobs[job_id])
    term.admission.accepted(leader.state.jobs[job_id])
    term.record(
        "job_accepted",
        job=job_id,
        queue=queue.name,
        customer=subject.customer,
        tasks=sum(step.tasks for step in request.steps),
        config_version=leader.state.config.version,
        is_placeable=_is_placeable(leader, record),
    )


def _refuse_for_load(term, record, refusal, reply):
    """Refuse a job that can't be served in time, and log its first refusal.

    Nothing is decided, so nothing of it will run. The leadership is confirmed first:
    a deposed leader might refuse a job that its successor has accepted.
    """
    metrics = term.leader.environment.metrics
    metrics.count("requests_refused", OVERLOADED)
    if refusal.is_first:
        metrics.count("jobs_refused", admitting.label(refusal.key))
        term.record(
            "job_refused",
            job=record.job_id,
            queue=record.queue.name,
            customer=record.customer,
            is_beyond_share=refusal.key.is_beyond_share,
            expected_delay_ms=refusal.expected_delay_ms,
            retry_after_ms=refusal.retry_after_ms,
        )
    answered = answer(OVERLOADED, retry_after_ms=refusal.retry_after_ms)
    term.confirm(lambda: reply(answered))


def _invalid_reason(request, job_id):
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
    """Whether the known workers suit a task of each step; only for the log."""

    def suits(worker, step):
        is_of_pool = worker.record.service == record.service
        return is_of_pool and choice.is_suitable(worker, step)

    return all(
        any(suits(worker, step) for worker in leader.workers.values())
        for step in record.steps
    )


@_requires_queue
def _read(term, request, reply, subject):
    if not subject.job_id:
        queue_name = subject.queue.name
        term.confirm(
            lambda: reply(
                answer(PENDING, number=job_runs.count_pending(term.leader, queue_name))
            )
        )
        return
    term.confirm(lambda: reply(_job_state_answer(term, subject.job_id)))


def _job_state_answer(term, job_id):
    """The answer with a job's committed state, "queued" if it is not committed yet."""
    job = term.committed().jobs.get(job_id)
    if job is not None:
        return answer(STATE, cell_state.public_state(job))
    if job_id in term.leader.state.jobs:
        return answer(STATE, "queued")
    return answer(NO_JOB)


@_requires_queue
def _cancel(term, request, reply, subject):
    leader, job_id = term.leader, subject.job_id
    job = leader.state.jobs.get(job_id)
    if job is None:
        term.confirm(lambda: reply(answer(NO_JOB)))
        return
    if job.state != cell_state.ACTIVE:
        leader.after_commit(lambda: reply(answer(ACCEPTED)))
        return

    decided_ms = leader.now_ms()

    def cancelled():
        reply(answer(ACCEPTED))
        found = runs.close_job(leader, job)
        stopping.record_cancel(leader, job_id, found, decided_ms)

    leader.decide(cancelled, cancelled=[job_id])
    term.record("job_cancelled", job=job_id)


def _put_config(term, request, reply):
    leader = term.leader
    current = leader.state.config
    if current is not None and request.config.version <= current.version:
        leader.after_commit(lambda: reply(answer(ACCEPTED)))
        return
    if stored_numbers.config_in_range(request.config) != request.config:
        # A process of an earlier version has passed it on unchecked.
        reply(answer(INVALID, "a number is out of range"))
        return
    leader.decide(lambda: reply(answer(ACCEPTED)), configs=[request.config])
    term.record("config_accepted", version=request.config.version)


def _read_config(term, _request, reply):
    def reply_config():
        config = term.committed().config
        if config is None:
            reply(not_ready())
        else:
            reply(answer(CONFIG, number=config.version, body=config.body))

    term.confirm(reply_config)


def _announce(term, request, reply):
    """Handle a worker's heartbeat; changes are committed before it is acknowledged.

    A heartbeat of an older incarnation of a known worker was delayed on its way: it is
    acknowledged and otherwise ignored. One that names no worker to use is refused.
    """
    leader, record = term.leader, request.record
    refusal = worker_lifecycle.refusal_of_report(leader, record)
    if refusal:
        reply(answer(INVALID, refusal))
        return
    worker = leader.workers.get(record.target_id)
    done = answer(ACCEPTED)
    if worker is not None and record.born_ms < worker.record.born_ms:
        reply(done)
        return
    is_new = worker is None or worker.record.born_ms != record.born_ms
    if worker is not None and not is_new:
        if worker.is_overtaken(request.sequence, request.clock_ms):
            reply(done)
            return
        record = worker_lifecycle.with_lasting_fields(leader, worker, record)
    if worker is None:
        worker = leader.add_worker(record)
    is_restarted = worker.record.born_ms != record.born_ms
    if is_restarted or record.address != worker.record.address:
        leader.replace_link(record)
        worker.poll_sent_ms = None
    if is_restarted:
        worker_lifecycle.begin_new_incarnation(leader, worker)
    worker_lifecycle.record_latest(
        leader, worker, request, record.state, leader.now_ms()
    )
    if not is_new and record == worker.record:
        reply(done)
        return
    worker.record = record
    worker_lifecycle.withdraw_starts(leader, worker)
    leader.pools.on_worker_changed(worker.target_id)
    leader.decide(lambda: reply(done), targets=[record])
    term.record(
        "worker_changed",
        target=record.target_id,
        state=record.state,
        address=record.address,
        is_new=is_new,
        heartbeat=request.sequence,
        capacity=list(record.capacity),
        used=list(worker.used),
        unanswered_starts=sum(
            run.is_start_unanswered() for run in worker.runs.values()
        ),
    )
    worker_polls.poll(leader, worker)


def _withdraw(term, request, reply):
    """Handle the withdrawal of a worker that has drained and is about to end.

    It gets no new runs, and is polled until it is gone.
    """
    worker = term.leader.workers.get(request.target_id)
    if worker is not None:
        worker.is_leaving = True
        term.record("worker_leaves", target=request.target_id)
        worker_polls.poll(term.leader, worker)
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
