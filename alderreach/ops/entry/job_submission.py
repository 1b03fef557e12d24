"""Submitting and cancelling jobs through the keepers, for callers and operators alike.

A resend never makes a second job: the keepers remember the submitter's idempotency key
whatever entry it came through. An entry of another failure domain would give the job
another id, so a key that was used before is looked up in all domains.
"""

from result import Err, Ok

from alderreach.core import codec
from alderreach.core.generated import common, errors, keeper
from alderreach.ops.entry import job_items, operator_changes, operator_http

ANY_VERSION = -1


def submit(gateway, submission, job, author, known_domains):
    """Write a job: ``Ok(Job)`` as accepted, by this attempt or an earlier one."""
    key = job_items.job_key(job.job_id)
    command = keeper.WriteItems(
        f"job/{submission.team}/{submission.idempotency_key}",
        author,
        [keeper.ItemWrite(key, 0, codec.encode(job))],
        "",
        0,
        job.submitted_wall_ms,
    )
    outcome = gateway.ask_keepers(command, operator_changes.KEEPER_TIMEOUT_MS)
    if outcome.status == "no_quorum":
        return operator_changes.no_quorum()
    if outcome.status != "ok":
        detail = "resend with the same Idempotency-Key to learn whether it was accepted"
        return operator_http.refuse(errors.Kind.WRITE_UNCONFIRMED, detail)
    result = codec.unpack(outcome.result).unwrap()
    if result.status == "accepted":
        return Ok(job)
    return _earlier(gateway, submission, job, known_domains)


def _earlier(gateway, submission, job, known_domains):
    """The job that an earlier attempt with this key made, if it asked for the same."""
    for domain in known_domains:
        own_id = job_items.job_id(domain, submission.team, submission.idempotency_key)
        found = read_job(gateway, own_id)
        if isinstance(found, Err):
            return found
        if found.ok_value is not None and _same(found.ok_value, job):
            return found
    detail = "this Idempotency-Key was used for another submission; make a fresh one"
    return operator_http.refuse(errors.Kind.KEY_REUSED, detail)


def _same(one, other):
    """Whether two jobs ask for the same, wherever and whenever they were submitted."""
    return _asked(one) == _asked(other)


def _asked(job):
    return (job.team, job.workload, job.tasks, job.payload)


def read_job(gateway, own_id):
    """A current read of a job: ``Ok(Job)``, ``Ok(None)``, or no quorum."""
    key = job_items.job_key(own_id)
    _version, items, current = operator_changes.read(gateway, key)
    if not current:
        detail = "the keepers can't be asked now"
        return operator_http.refuse(errors.Kind.NO_QUORUM, detail)
    item = items.get(key)
    return Ok(None if item is None else codec.decode(item.value, common.Job))


def cancel(gateway, own_id, author, wall_ms):
    """Write the cancellation of a job: ``Ok(None)``; to repeat it does no harm."""
    write = keeper.ItemWrite(job_items.cancel_key(own_id), ANY_VERSION, b"")
    command = keeper.WriteItems("", author, [write], "", 0, wall_ms)
    outcome = gateway.ask_keepers(command, operator_changes.KEEPER_TIMEOUT_MS)
    if outcome.status == "ok":
        return Ok(None)
    if outcome.status == "no_quorum":
        return operator_changes.no_quorum()
    detail = "ask again to make sure that it is cancelled"
    return operator_http.refuse(errors.Kind.WRITE_UNCONFIRMED, detail)
