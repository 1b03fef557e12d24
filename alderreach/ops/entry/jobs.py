"""Batch runs and gang jobs of callers: submit, show and cancel.

A job is accepted once its item is in the keepers' log. With an idempotency key, the
item ``submission/<team>/<hash of key>`` is written together with it, atomically. A
resend, through any entry of any failure domain, can't create that item again; it reads
the item and answers with the job that was accepted first.
"""

import hashlib
import typing
import uuid

import msgspec
from result import Err, Ok

from alderreach.core import codec, resources
from alderreach.core.generated import common, entry, errors, keeper, placer
from alderreach.ops.entry import answers, intake

KEEPERS_TIMEOUT_MS = 3000
OWNER_TIMEOUT_MS = 1000
MAX_TASKS = 100_000
ID_HEX = 20
GANG = "gang"
KINDS = ("batch", GANG)
UNSENT_STATUSES = ("no_quorum", "busy")


class JobRequest(typing.TypedDict):
    """The JSON body of a submission."""

    team: str
    workload: str
    tasks: typing.NotRequired[int]
    payload: typing.NotRequired[str]
    priority: typing.NotRequired[int]
    failure_domain: typing.NotRequired[str]


JOB_REQUEST_KEYS = frozenset(JobRequest.__annotations__)
_decoder = msgspec.json.Decoder(dict)


class Jobs:
    """Serves /v1/jobs and the paths below it; any thread may call."""

    def __init__(self, context, get_catalog, keepers, ask_peer):
        self._context = context
        self._clock = context.clock
        self._get_catalog = get_catalog
        self._keepers = keepers
        self._ask_peer = ask_peer
        process = context.settings.process
        peers = context.settings.peers
        self._domains = {peer.failure_domain for peer in peers}
        self._domains.add(process.failure_domain)

    def submit(self, environ):
        """POST /v1/jobs."""
        limits = self._context.settings.limits
        body = intake.read_body(environ, limits)
        if isinstance(body, Err):
            return answers.problem(body.err_value)
        key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
        if key and not intake.is_key(key, limits):
            return _malformed(intake.key_rule(limits))
        job_request = read_job_request(body.ok_value)
        if isinstance(job_request, Err):
            return _malformed(job_request.err_value)
        job = self._make_job(job_request.ok_value, key)
        if isinstance(job, Err):
            return answers.problem(job.err_value)
        return self._accept(job.ok_value, key, job_request.ok_value)

    def show(self, job_id):
        """GET /v1/jobs/{id}: the owner's view, or the recorded state without one."""
        domain = self._domain_of(job_id)
        if domain is None:
            return _not_found(job_id)
        owner = self._get_catalog().owners.get(domain)
        if owner is not None:
            query = placer.JobQuery("", job_id)
            reply = self._ask_peer(owner.peer_address, query, OWNER_TIMEOUT_MS)
            if reply is not None and reply.owned and reply.statuses:
                return _job_answer(domain, reply.statuses[0], reply.tasks, "owner")
        return self._show_recorded(domain, job_id)

    def cancel(self, job_id):
        """DELETE /v1/jobs/{id}: accepted once the cancellation is in the log."""
        domain = self._domain_of(job_id)
        if domain is None:
            return _not_found(job_id)
        found = self._read(f"job/{domain}/{job_id}")
        if isinstance(found, Err):
            return answers.problem(_write_failure(found.err_value))
        if found.ok_value is None:
            return _not_found(job_id)
        write = keeper.ItemWrite(f"cancel/{domain}/{job_id}", -1, b"")
        result = self._write(uuid.uuid4().hex, [write])
        if isinstance(result, Err):
            return answers.problem(_write_failure(result.err_value))
        self._context.timeline.record("job_cancel_accepted", job_id=job_id)
        return answers.json_answer(202, {"job_id": job_id, "state": "cancelling"})

    def _make_job(self, job_request, key):
        """Return ``Ok(Job)`` for a job request, or ``Err(Failure)``."""
        current_catalog = self._get_catalog()
        team = current_catalog.teams.get(job_request["team"])
        if team is None:
            return Err(answers.Failure(errors.Kind.UNKNOWN_TEAM, job_request["team"]))
        workload = current_catalog.workloads.get(
            (job_request["team"], job_request["workload"])
        )
        if workload is None or workload.kind not in KINDS:
            detail = (
                f"{job_request['workload']} is no batch run or gang job of the team"
            )
            return Err(answers.Failure(errors.Kind.UNKNOWN_WORKLOAD, detail))
        domain = job_request.get("failure_domain") or workload.home_failure_domain
        domain = domain or self._context.settings.process.failure_domain
        if domain not in self._domains:
            detail = f"{domain} is no failure domain of the cell"
            return Err(answers.Failure(errors.Kind.MALFORMED_REQUEST, detail))
        tasks = job_request.get("tasks") or workload.tasks
        concurrent_tasks = tasks if workload.kind == GANG else 1
        if not resources.fits(
            resources.times(workload.task, concurrent_tasks), team.quota
        ):
            detail = "The team's quota is too small for it"
            return Err(answers.Failure(errors.Kind.IMPOSSIBLE_JOB, detail))
        return Ok(
            common.Job(
                f"{domain}-{_job_hash(job_request['team'], key)}",
                job_request["team"],
                workload.name,
                workload.kind,
                domain,
                workload.task,
                tasks,
                job_request.get("priority", workload.priority),
                workload.when_cut_off,
                workload.checkpoint,
                workload.expected_run_ms,
                job_request.get("payload", ""),
                self._clock.wall_ms(),
                key,
            )
        )

    def _accept(self, job, key, job_request):
        item = f"job/{job.failure_domain}/{job.job_id}"
        writes = [keeper.ItemWrite(item, 0, codec.encode(job))]
        submission = entry.Submission(
            job.job_id, job.failure_domain, _digest(job_request)
        )
        submission_key = f"submission/{job.team}/{_hash(key)}"
        if key:
            writes.append(keeper.ItemWrite(submission_key, 0, codec.encode(submission)))
        result = self._write(uuid.uuid4().hex, writes)
        if isinstance(result, Err):
            return answers.problem(_write_failure(result.err_value))
        if result.ok_value.status == "accepted":
            self._context.timeline.record(
                "job_accepted", job_id=job.job_id, team=job.team
            )
            return _accepted_answer(201, job.job_id, job.failure_domain)
        if not key:
            return answers.problem(answers.Failure(errors.Kind.CONFLICT))
        return self._first_submission_answer(submission_key, submission)

    def _first_submission_answer(self, submission_key, submission):
        found = self._read(submission_key)
        if isinstance(found, Err):
            return answers.problem(_read_failure(found.err_value))
        if found.ok_value is None:
            return answers.problem(answers.Failure(errors.Kind.KEY_EXPIRED))
        first = codec.decode(found.ok_value.value, entry.Submission)
        if first.digest != submission.digest:
            return answers.problem(answers.Failure(errors.Kind.KEY_REUSED))
        return _accepted_answer(200, first.job_id, first.failure_domain)

    def _show_recorded(self, domain, job_id):
        status = self._read(f"status/{domain}/{job_id}")
        if isinstance(status, Ok) and status.ok_value is not None:
            decoded = codec.decode(status.ok_value.value, common.JobStatus)
            return _job_answer(domain, decoded, [], "keepers")
        job = self._read(f"job/{domain}/{job_id}")
        if isinstance(status, Err) or isinstance(job, Err):
            return answers.problem(answers.Failure(errors.Kind.NO_QUORUM))
        if job.ok_value is None:
            return _not_found(job_id)
        waiting = common.JobStatus(job_id, "waiting", "not yet seen", 0, 0, 0, 0, 0)
        return _job_answer(domain, waiting, [], "keepers")

    def _read(self, key):
        """Return ``Ok(Item or None)`` by a quorum read, or ``Err(status)``."""
        page = self._keepers.ask(keeper.ReadItems(key), KEEPERS_TIMEOUT_MS)
        return page.map(
            lambda page: next(
                (i for i in page.items if i.key == key and i.value is not None), None
            )
        )

    def _write(self, idempotency_key, writes):
        command = keeper.WriteItems(
            idempotency_key,
            self._context.settings.process.name,
            writes,
            "",
            0,
            self._clock.wall_ms(),
        )
        return self._keepers.ask(command, KEEPERS_TIMEOUT_MS)

    def _domain_of(self, job_id):
        domain, _, rest = job_id.rpartition("-")
        is_known = domain in self._domains and rest.isalnum()
        return domain if is_known else None


def read_job_request(body):
    """Return ``Ok(JobRequest)``, or ``Err(text)`` that names the first mistake."""
    try:
        raw = _decoder.decode(body)
        unknown = sorted(set(raw) - JOB_REQUEST_KEYS)
        if unknown:
            return Err(f"unknown field {unknown[0]}")
        job_request = msgspec.convert(raw, JobRequest)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return Err(str(error))
    if not 1 <= job_request.get("tasks", 1) <= MAX_TASKS:
        return Err(f"tasks must be from 1 to {MAX_TASKS}")
    if not 0 <= job_request.get("priority", 0) <= 9:
        return Err("priority must be from 0 to 9")
    return Ok(job_request)


def _hash(text):
    return hashlib.sha256(text.encode()).hexdigest()[:ID_HEX]


def _job_hash(team, key):
    return _hash(f"{team}/{key}") if key else uuid.uuid4().hex[:ID_HEX]


def _digest(job_request):
    return hashlib.sha256(msgspec.json.encode(job_request, order="sorted")).hexdigest()


def _accepted_answer(status, job_id, domain):
    document = {"job_id": job_id, "failure_domain": domain}
    return answers.json_answer(status, document, (("Location", f"/v1/jobs/{job_id}"),))


def _job_answer(domain, status, tasks, source):
    document = status._asdict() | {
        "failure_domain": domain,
        "tasks": [task._asdict() for task in tasks],
        "source": source,
    }
    return answers.json_answer(200, document)


def _malformed(detail):
    return answers.problem(answers.Failure(errors.Kind.MALFORMED_REQUEST, detail))


def _not_found(job_id):
    return answers.problem(answers.Failure(errors.Kind.NOT_FOUND, f"job {job_id}"))


def _write_failure(status):
    """Return the failure of a write without a result: not sent, or unconfirmed."""
    is_unsent = status in UNSENT_STATUSES
    kind = errors.Kind.NO_QUORUM if is_unsent else errors.Kind.WRITE_UNCONFIRMED
    return answers.Failure(kind)


def _read_failure(status):
    return answers.Failure(errors.Kind.WRITE_UNCONFIRMED, f"reading: {status}")
