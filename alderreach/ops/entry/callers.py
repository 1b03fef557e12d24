"""The callers' HTTP interface: a plain WSGI application without a web framework.

A WSGI dispatcher costs three times more, and the paths are few and fixed. Every
error becomes a problem document. An internal error of the entry is reported as
``internal`` with outcome unknown, since the request may have reached a runner.
"""

import re
import threading

from absl import logging

from alderreach.core.generated import errors
from alderreach.ops import daemon
from alderreach.ops.entry import answers
from alderreach.utils import http_connection

SERVICE_PATH = re.compile(r"/v1/services/([^/]+)/requests")
JOB_PATH = re.compile(r"/v1/jobs/([^/]+)")
JOBS_PATH = "/v1/jobs"
HEADERS_WORD = "headers"
PROTOCOL_KINDS = {
    408: errors.Kind.REQUEST_TIMEOUT,
    413: errors.Kind.BODY_TOO_LARGE,
    414: errors.Kind.HEADER_TOO_LARGE,
    500: errors.Kind.INTERNAL,
}


class InFlight:
    """Counts requests being answered, for a graceful shutdown."""

    def __init__(self, clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._number = 0
        self._last_ms = clock.monotonic_ms()
        self.is_refusing = False

    def __enter__(self):
        with self._lock:
            self._number += 1
            self._last_ms = self._clock.monotonic_ms()
        return self

    def __exit__(self, *_details):
        with self._lock:
            self._number -= 1
            self._last_ms = self._clock.monotonic_ms()

    def start_refusing(self):
        """Refuse all further requests because the process is shutting down."""
        self.is_refusing = True

    @property
    def number(self):
        """Number of requests being answered now."""
        return self._number

    def is_quiet(self, duration_ms):
        """Whether no request has been in progress for at least ``duration_ms``."""
        now_ms = self._clock.monotonic_ms()
        with self._lock:
            return self._number == 0 and now_ms - self._last_ms >= duration_ms


def build(context, role, requests, jobs, in_flight):
    """Return the WSGI application of the callers' listener."""

    def application(environ, start_response):
        platform = daemon.platform_answer(context, role, environ.get("PATH_INFO", ""))
        if platform is not None:
            status, body = platform
            headers = [("Content-Type", "text/plain")]
            headers.append(("Content-Length", str(len(body))))
            start_response(status, headers)
            return [body]
        if in_flight.is_refusing:
            answer = answers.problem(answers.Failure(_draining_kind(environ)))
        else:
            with in_flight:
                answer = _guarded(environ, requests, jobs)
        if context.draining.is_set():
            closing = (*answer.headers, ("Connection", "close"))
            answer = answer._replace(headers=closing)
        return answers.respond(answer, start_response)

    return application


def _draining_kind(environ):
    """Choose the error: an earlier copy of a request with a key may have run."""
    has_key = bool(environ.get("HTTP_IDEMPOTENCY_KEY"))
    return errors.Kind.KEY_UNCHECKED if has_key else errors.Kind.DRAINING


def refuse(status, message):
    """Return the answer to input that the HTTP server could not parse or accept."""
    kind = PROTOCOL_KINDS.get(status, errors.Kind.MALFORMED_REQUEST)
    if kind is errors.Kind.BODY_TOO_LARGE and HEADERS_WORD in message:
        kind = errors.Kind.HEADER_TOO_LARGE
    answer = answers.problem(answers.Failure(kind, message))
    line = answers.status_line(answer.status)
    return http_connection.Refusal(line, answer.headers, answer.body)


def _guarded(environ, requests, jobs):
    try:
        return _route(environ, requests, jobs)
    except Exception:
        logging.exception("internal error while answering %s", environ.get("PATH_INFO"))
        return answers.problem(answers.Failure(errors.Kind.INTERNAL))


def _route(environ, requests, jobs):
    path, method = environ.get("PATH_INFO", ""), environ["REQUEST_METHOD"]
    service = SERVICE_PATH.fullmatch(path)
    if service:
        return _check_method("POST", method) or requests.serve(environ, service[1])
    if path == JOBS_PATH:
        return _check_method("POST", method) or jobs.submit(environ)
    job = JOB_PATH.fullmatch(path)
    if job and method == "GET":
        return jobs.show(job[1])
    if job:
        return _check_method("DELETE", method) or jobs.cancel(job[1])
    return answers.problem(answers.Failure(errors.Kind.NOT_FOUND, path))


def _check_method(allowed, method):
    if method == allowed:
        return None
    failure = answers.Failure(errors.Kind.METHOD_NOT_ALLOWED, f"{method}: {allowed}")
    return answers.problem(failure, "", (("Allow", allowed),))
