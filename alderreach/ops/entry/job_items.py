"""Jobs as configuration items: building one from its workload, and its keys.

Pure functions, used alike by callers' and operators' HTTP. A job's id is made from the
submitter's idempotency key, so that a resend through any entry gives the same job.
"""

import hashlib
import typing

from alderreach.core.generated import common
from alderreach.parser import configuration

ID_SEPARATOR = "."
ID_CHARS = 16
PAYLOAD_CHARS_MAX = 65_536


class Submission(typing.NamedTuple):
    """What a submitter asks for; 0 tasks and an empty domain take the workload's."""

    team: str
    workload: str
    tasks: int
    payload: str
    failure_domain: str
    idempotency_key: str


def check(submission, workload, known_domains):
    """What is wrong with a submission: a list of (field, message)."""
    mistakes = []
    if workload.kind == "service":
        mistakes.append(("workload", "is a service; services run without submission"))
    if not 0 <= submission.tasks <= configuration.TASKS_MAX:
        limit = configuration.TASKS_MAX
        mistakes.append(("tasks", f"must be from 1 to {limit}; 0 takes the workload's"))
    if submission.failure_domain and submission.failure_domain not in known_domains:
        text = f"must be one of {', '.join(known_domains)}"
        mistakes.append(("failure_domain", text))
    if len(submission.payload) > PAYLOAD_CHARS_MAX:
        text = f"may have {PAYLOAD_CHARS_MAX} characters at most"
        mistakes.append(("payload", text))
    return mistakes


def job_item(submission, workload, receiving_domain, wall_ms):
    """The job that a submission asks for.

    Its domain is the one asked for, else the workload's home, else the one of the entry
    that received it.
    """
    domain = (
        submission.failure_domain or workload.home_failure_domain or receiving_domain
    )
    return common.Job(
        job_id=job_id(domain, submission.team, submission.idempotency_key),
        team=workload.team,
        workload=workload.name,
        kind=workload.kind,
        failure_domain=domain,
        task=workload.task,
        tasks=submission.tasks or workload.tasks,
        priority=workload.priority,
        when_cut_off=workload.when_cut_off,
        checkpoint=workload.checkpoint,
        expected_run_ms=workload.expected_run_ms,
        payload=submission.payload,
        submitted_wall_ms=wall_ms,
        idempotency_key=submission.idempotency_key,
    )


def job_id(domain, team, idempotency_key):
    """The id of a job: its failure domain, a dot and a digest.

    >>> domain_of(job_id("urubici", "serra-alta", "k1"))
    'urubici'
    """
    digest = hashlib.sha256(f"{team}\0{idempotency_key}".encode()).hexdigest()
    return f"{domain}{ID_SEPARATOR}{digest[:ID_CHARS]}"


def domain_of(own_id):
    """The failure domain in a job's id; empty if it has none."""
    return own_id.rpartition(ID_SEPARATOR)[0]


def job_key(own_id):
    """Key of the job's item."""
    return f"job/{domain_of(own_id)}/{own_id}"


def cancel_key(own_id):
    """Key of the item that cancels the job."""
    return f"cancel/{domain_of(own_id)}/{own_id}"


def status_key(own_id):
    """Key of the job's durable status."""
    return f"status/{domain_of(own_id)}/{own_id}"
