"""Serves one request to a service, from its headers to the answer, in its HTTP thread.

The thread requests a runner from the dispatcher, makes the call itself and reports how
it ended. The outcome reported to the caller depends on all attempts: once one of them
may have run, later attempts can't make the outcome not-run again.
"""

import typing
import uuid

from result import Err, Ok

from alderreach.core import idempotency
from alderreach.core.generated import common, errors
from alderreach.decisions import serving
from alderreach.ops.entry import answers, intake, once, runner_wire

HUNG_RUN_TIME_FACTOR = 8
FIRST_ATTEMPT_SHARE = 0.5
ATTEMPTS_HEADER = "Alderreach-Attempts"
FAILURES = {
    runner_wire.REFUSED: errors.Kind.TARGET_REFUSED,
    runner_wire.UNREACHABLE: errors.Kind.NO_TARGET,
    runner_wire.NOT_SENT: errors.Kind.DEADLINE_PASSED,
    runner_wire.TIMED_OUT: errors.Kind.TIMEOUT,
    runner_wire.BROKEN: errors.Kind.TARGET_FAILED,
}


class Request(typing.NamedTuple):
    """A complete, well-formed request to a service."""

    request_id: str
    service: common.Workload
    headers: intake.RequestHeaders
    body: bytes
    arrived_ms: int
    deadline_ms: int
    is_idempotent: bool

    @property
    def may_repeat(self):
        """Whether the request may be sent again: if it is idempotent or has a key."""
        return self.is_idempotent or bool(self.headers.idempotency_key)


class Ending(typing.NamedTuple):
    """The result of all attempts; ``failure`` is None if there is an answer."""

    attempts: int
    reply: runner_wire.Reply | None
    failure: answers.Failure | None
    target_id: str = ""


class Requests:
    """Serves requests to services; any thread may call."""

    def __init__(self, context, get_catalog, dispatcher, wire, claims):
        self._context = context
        self._clock = context.clock
        self._get_catalog = get_catalog
        self._dispatcher = dispatcher
        self._wire = wire
        self._claims = claims

    def serve(self, environ, service_name):
        """Answer one HTTP request."""
        arrived_ms = self._clock.monotonic_ms()
        request_id = uuid.uuid4().hex
        checked = self._check(environ, service_name, request_id, arrived_ms)
        if isinstance(checked, Err):
            answer = answers.problem(
                checked.err_value, request_id, (_attempts_header(0),)
            )
            refused = Ending(0, None, checked.err_value)
            self._record_end(request_id, "", answer, arrived_ms, refused)
            return answer
        request = checked.ok_value
        if not request.is_idempotent and request.headers.idempotency_key:
            ending = self._serve_keyed(request)
        else:
            ending = self._attempt(request)
        answer = _make_answer(request, ending)
        team = request.headers.team
        self._record_end(request_id, team, answer, arrived_ms, ending)
        return answer

    def _check(self, environ, service_name, request_id, arrived_ms):
        limits = self._context.settings.limits
        body = intake.read_body(environ, limits)
        headers = intake.read_headers(environ, limits)
        for found in (body, headers):
            if isinstance(found, Err):
                return found
        headers = headers.ok_value
        current_catalog = self._get_catalog()
        service = current_catalog.services.get(service_name)
        if headers.team not in current_catalog.teams:
            return Err(answers.Failure(errors.Kind.UNKNOWN_TEAM, headers.team))
        if service is None:
            return Err(answers.Failure(errors.Kind.UNKNOWN_SERVICE, service_name))
        deadline_ms = (
            headers.deadline_ms or service.deadline_ms or limits.deadline_default_ms
        )
        return Ok(
            Request(
                request_id,
                service,
                headers,
                body.ok_value,
                arrived_ms,
                arrived_ms + deadline_ms,
                service.idempotent and not headers.non_idempotent,
            )
        )

    def _serve_keyed(self, request):
        keyed = once.Keyed(
            idempotency.scoped_key(
                request.headers.team, request.headers.idempotency_key
            ),
            request.service.name,
            idempotency.digest(
                request.service.name, request.headers.content_type, request.body
            ),
            request.request_id,
            request.deadline_ms,
        )
        claimed = self._claims.claim(keyed)
        if isinstance(claimed, Err):
            return Ending(0, None, claimed.err_value)
        recorded = claimed.ok_value
        if recorded is not None:
            reply = runner_wire.Reply(runner_wire.ANSWERED, "", *recorded)
            return Ending(0, reply, None)
        ending = self._attempt(request)
        self._record_outcome(keyed, ending)
        return ending

    def _record_outcome(self, keyed, ending):
        if ending.failure is None:
            reply = ending.reply
            self._claims.record_ran(keyed, reply.status, reply.content_type, reply.body)
        elif errors.ANSWERS[ending.failure.kind].outcome == idempotency.NOT_RUN:
            self._claims.release(keyed)
        else:
            self._claims.record_unknown(keyed)

    def _attempt(self, request):
        """Try runners in turn until one answers or no further attempt is allowed."""
        avoided, attempts, worst, previous = (), 0, None, ""
        while True:
            runner_request = serving.Request(
                request.request_id,
                request.headers.team,
                _priority(request),
                request.arrived_ms,
                request.deadline_ms,
                attempts + 1,
                previous,
            )
            decision = self._dispatcher.request_runner(
                request.service.name, runner_request, avoided
            )
            if isinstance(decision, serving.Refusal):
                failure = worst or answers.Failure(decision.kind)
                wait_ms = decision.retry_after_ms
                return Ending(attempts, None, failure._replace(retry_after_ms=wait_ms))
            attempts += 1
            reply = self._call(request, decision, attempts)
            if reply.result == runner_wire.ANSWERED:
                return Ending(attempts, reply, None, decision.runner.runner_id)
            worst = _worse_failure(worst, reply)
            if not self._may_retry(request, worst):
                return Ending(attempts, None, worst)
            avoided += (decision.runner.runner_id,)
            previous = reply.result

    def _may_retry(self, request, worst):
        if not request.may_repeat or self._clock.monotonic_ms() >= request.deadline_ms:
            return False
        is_proven_not_run = errors.ANSWERS[worst.kind].outcome == idempotency.NOT_RUN
        return is_proven_not_run or request.is_idempotent

    def _attempt_deadline_ms(self, request, grant, attempt):
        """Return the deadline of one attempt.

        A runner that accepts a request and hangs would use up all the time of an
        idempotent request. Its first attempt therefore ends while there is time for a
        second one: after ``FIRST_ATTEMPT_SHARE`` of the remaining time, but not before
        ``HUNG_RUN_TIME_FACTOR`` times the expected run time.
        """
        if attempt > 1 or not request.is_idempotent:
            return request.deadline_ms
        now_ms = self._clock.monotonic_ms()
        half_ms = (request.deadline_ms - now_ms) * FIRST_ATTEMPT_SHARE
        timeout_ms = int(max(half_ms, HUNG_RUN_TIME_FACTOR * grant.run_ms))
        return min(request.deadline_ms, now_ms + timeout_ms)

    def _call(self, request, grant, attempt):
        """Make one attempt; its end is always reported to the dispatcher."""
        started_ms = self._clock.monotonic_ms()
        runner = grant.runner
        call = runner_wire.Call(
            request.request_id,
            attempt,
            request.headers.content_type,
            request.body,
            self._attempt_deadline_ms(request, grant, attempt),
        )
        reply = runner_wire.Reply(runner_wire.BROKEN, "fault of the entry")
        try:
            reply = self._wire.send(runner, call)
        finally:
            run_ms = self._clock.monotonic_ms() - started_ms
            self._dispatcher.report(
                request.service.name,
                serving.AttemptEnded(
                    request.request_id,
                    runner.runner_id,
                    reply.result,
                    reply.status,
                    run_ms,
                ),
            )
        if reply.result != runner_wire.ANSWERED:
            self._record_failed_attempt(request, runner, attempt, reply)
        return reply

    def _record_failed_attempt(self, request, runner, attempt, reply):
        self._context.timeline.record(
            "request_attempt_failed",
            request_id=request.request_id,
            target_id=runner.runner_id,
            team=request.headers.team,
            detail=f"attempt {attempt} {reply.result} {reply.detail}".rstrip(),
        )

    def _record_end(self, request_id, team, answer, arrived_ms, ending):
        duration_ms = self._clock.monotonic_ms() - arrived_ms
        kind = ending.failure.kind.value if ending.failure else "answered"
        self._context.metrics.count("requests", kind)
        self._context.metrics.observe_ms("request", duration_ms)
        self._context.timeline.record(
            "request_ended",
            request_id=request_id,
            target_id=ending.target_id,
            team=team,
            detail=f"{kind} {answer.status} after {duration_ms} ms",
        )


def _priority(request):
    requested = request.headers.priority
    return request.service.priority if requested is None else requested


def _worse_failure(worst, reply):
    """Return the failure to report once one more attempt has failed."""
    failure = answers.Failure(FAILURES[reply.result], reply.detail)
    if worst is None or errors.ANSWERS[worst.kind].outcome == idempotency.NOT_RUN:
        return failure
    return worst


def _attempts_header(number):
    return (ATTEMPTS_HEADER, str(number))


def _make_answer(request, ending):
    if ending.failure is not None:
        return answers.problem(
            ending.failure, request.request_id, (_attempts_header(ending.attempts),)
        )
    reply = ending.reply
    headers = (
        ("Content-Type", reply.content_type or "application/octet-stream"),
        ("Alderreach-Outcome", idempotency.RAN),
        ("Alderreach-Request-Id", request.request_id),
        _attempts_header(ending.attempts),
    )
    return answers.Answer(reply.status, headers, reply.body)
