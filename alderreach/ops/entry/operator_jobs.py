"""Operators' view of jobs: submit, show, list and cancel."""

import concurrent.futures

from result import Err, Ok

from alderreach.core import codec, plain_objects
from alderreach.core.generated import common, errors, placer
from alderreach.ops.entry import (
    job_items,
    job_submission,
    operator_changes,
    operator_http,
    operator_maintenance,
    operator_targets,
)
from alderreach.parser import configuration

PEER_TIMEOUT_MS = 1500
JOBS_DEFAULT = 100
JOBS_MAX = 10_000
DEFAULTS = {"tasks": 0, "payload": "", "failure_domain": ""}


def submit(deps, request):
    """POST /v1/jobs: start a batch run or gang job of a workload."""
    settings = deps.context.settings
    key = operator_http.check_key(request, settings.limits.key_chars)
    if isinstance(key, Err):
        return key
    body = operator_http.read_object(request)
    if isinstance(body, Err):
        return body
    value = DEFAULTS | body.ok_value | {"idempotency_key": key.ok_value}
    submission, found = plain_objects.from_object(job_items.Submission, value)
    if submission is None:
        return _refuse_fields(errors.Kind.MALFORMED_REQUEST, found)
    workload = _workload(deps, submission)
    if isinstance(workload, Err):
        return workload
    known = operator_maintenance.failure_domains(settings)
    found = job_items.check(submission, workload.ok_value, known)
    if found:
        return _refuse_fields(errors.Kind.MALFORMED_REQUEST, found)
    job = job_items.job_item(
        submission,
        workload.ok_value,
        settings.process.failure_domain,
        request.asked_wall_ms or deps.context.clock.wall_ms(),
    )
    accepted = job_submission.submit(
        deps.gateway, submission, job, request.operator, known
    )
    if isinstance(accepted, Err):
        return accepted
    job = accepted.ok_value
    deps.context.timeline.record("job_accepted", job_id=job.job_id, team=job.team)
    return Ok(plain_objects.to_object(job))


def _refuse_fields(kind, found):
    shown = [{"field": field, "message": message} for field, message in found]
    detail = "; ".join(f"{field}: {message}" for field, message in found)
    return operator_http.refuse(kind, detail, mistakes=shown)


def _workload(deps, submission):
    """The workload that is submitted, from this entry's copy or a current read."""
    team_key = configuration.team_key(submission.team)
    key = configuration.workload_key(submission.team, submission.workload)
    item = deps.gateway.items.items.get(key)
    if item is None:
        _version, items, _current = operator_changes.read(deps.gateway, key)
        item = items.get(key)
    if item is not None:
        return Ok(codec.decode(item.value, common.Workload))
    _version, teams, _current = operator_changes.read(deps.gateway, team_key)
    if team_key not in teams:
        detail = f"no team {submission.team!r}"
        return operator_http.refuse(errors.Kind.UNKNOWN_TEAM, detail)
    detail = f"team {submission.team} has no workload {submission.workload!r}"
    return operator_http.refuse(errors.Kind.UNKNOWN_WORKLOAD, detail)


def show_all(deps, request):
    """GET /v1/jobs?team=&state=&failure_domain=&limit= : newest first.

    The state comes from the owner of each domain, and where none answers, from the
    last durable one.
    """
    limit = operator_http.read_count(request, "limit", JOBS_DEFAULT, JOBS_MAX)
    if isinstance(limit, Err):
        return limit
    known = operator_maintenance.failure_domains(deps.context.settings)
    asked = request.query.get("failure_domain", "")
    if asked and asked not in known:
        detail = f"failure_domain must be one of {', '.join(known)}"
        return operator_http.refuse(errors.Kind.MALFORMED_REQUEST, detail)
    domains = [asked] if asked else known
    with concurrent.futures.ThreadPoolExecutor(len(domains)) as pool:
        replies = pool.map(lambda domain: _ask_owner(deps, domain, ""), domains)
        replies = dict(zip(domains, replies, strict=True))
    rows, current = [], True
    for domain in domains:
        found, read_current = _jobs_of(deps, domain, replies[domain])
        rows += found
        current = current and read_current
    rows = [row for row in rows if _wanted(row, request.query)]
    rows.sort(key=lambda row: row["submitted_wall_ms"], reverse=True)
    silent = [domain for domain in domains if replies[domain] is None]
    shown = rows[: limit.ok_value]
    return Ok({"jobs": shown, "current": current, "unreachable": silent})


def _wanted(row, query):
    return all(
        query.get(name, "") in ("", row[name]) for name in ("team", "state", "workload")
    )


def _jobs_of(deps, domain, reply):
    _version, jobs, current = operator_changes.read(deps.gateway, f"job/{domain}/")
    _version, durable, _current = operator_changes.read(
        deps.gateway, f"status/{domain}/"
    )
    states = {}
    for item in durable.values():
        status = codec.decode(item.value, common.JobStatus)
        states[status.job_id] = status
    for status in reply.statuses if reply is not None else ():
        states[status.job_id] = status
    rows = []
    for item in jobs.values():
        job = codec.decode(item.value, common.Job)
        rows.append(_row(job, states.get(job.job_id)))
    return rows, current


def _row(job, status):
    row = plain_objects.to_object(job)
    if status is None:
        status = common.JobStatus(job.job_id, "waiting", "", 0, 0, 0, 0, 0)
    return row | {
        "state": status.state,
        "reason": status.reason,
        "running": status.running,
        "finished": status.finished,
        "failed": status.failed,
    }


def _ask_owner(deps, domain, own_id):
    for address in operator_targets.owner_addresses(deps, domain):
        query = placer.JobQuery("", own_id)
        reply = deps.gateway.ask_peer(address, query, PEER_TIMEOUT_MS)
        if reply is not None and reply.owned:
            return reply
    return None


def show(deps, request):
    """GET /v1/jobs/<id>: the job, its state and its tasks."""
    own_id = request.names["job_id"]
    job = _find(deps, own_id)
    if isinstance(job, Err):
        return job
    domain = job_items.domain_of(own_id)
    reply = _ask_owner(deps, domain, own_id)
    if reply is not None and reply.statuses:
        status, tasks = reply.statuses[0], reply.tasks
    else:
        status, tasks = _durable_status(deps, own_id), []
    row = _row(job.ok_value, status)
    shown = [plain_objects.to_object(task) for task in tasks]
    return Ok(row | {"task_views": shown, "owner_answered": reply is not None})


def _find(deps, own_id):
    found = job_submission.read_job(deps.gateway, own_id)
    if found.is_ok() and found.ok_value is None:
        return operator_http.refuse(errors.Kind.NOT_FOUND, f"no job {own_id!r}")
    return found


def _durable_status(deps, own_id):
    key = job_items.status_key(own_id)
    _version, items, _current = operator_changes.read(deps.gateway, key)
    item = items.get(key)
    return None if item is None else codec.decode(item.value, common.JobStatus)


def cancel(deps, request):
    """DELETE /v1/jobs/<id>: cancel a job; to cancel it again does no harm."""
    own_id = request.names["job_id"]
    job = _find(deps, own_id)
    if isinstance(job, Err):
        return job
    wall_ms = request.asked_wall_ms or deps.context.clock.wall_ms()
    done = job_submission.cancel(deps.gateway, own_id, request.operator, wall_ms)
    if isinstance(done, Err):
        return done
    team = job.ok_value.team
    deps.context.timeline.record("job_cancel_accepted", job_id=own_id, team=team)
    return Ok({"job_id": own_id, "result": "cancelled"})
