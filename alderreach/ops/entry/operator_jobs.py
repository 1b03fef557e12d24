"""The list of jobs for operators; single jobs are served as for callers."""

from result import Err, Ok

from alderreach.core import codec, plain_objects
from alderreach.core.generated import common, errors, placer
from alderreach.ops.entry import (
    operator_changes,
    operator_http,
    operator_owners,
)

JOBS_DEFAULT = 100
MAX_JOBS = 10_000


def show_all(deps, request):
    """GET /v1/jobs?team=&state=&failure_domain=&limit= : newest first.

    The state comes from the owner of each domain, or from the last durable status if
    no owner answers.
    """
    limit = operator_http.read_count(request, "limit", JOBS_DEFAULT, MAX_JOBS)
    if isinstance(limit, Err):
        return limit
    known = operator_owners.failure_domains(deps.context.settings)
    requested = request.query.get("failure_domain", "")
    if requested and requested not in known:
        detail = f"failure_domain must be one of {', '.join(known)}"
        return operator_http.refuse(errors.Kind.MALFORMED_REQUEST, detail)
    domains = [requested] if requested else known
    query = placer.JobQuery("", "")
    replies = operator_owners.ask_owners(deps, domains, query)
    rows, current = [], True
    for domain in domains:
        found, read_current = _jobs_of(deps, domain, replies[domain])
        rows += found
        current = current and read_current
    rows = [row for row in rows if _matches(row, request.query)]
    rows.sort(key=lambda row: row["submitted_wall_ms"], reverse=True)
    silent = [domain for domain in domains if replies[domain] is None]
    shown = rows[: limit.ok_value]
    return Ok({"jobs": shown, "current": current, "unreachable": silent})


def _matches(row, query):
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
