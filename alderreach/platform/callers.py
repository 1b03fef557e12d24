"""The listeners for callers and balancer checks, in the platform's protocol."""

import math

from absl import logging

from alderreach.core import ranges
from alderreach.core.generated import cell
from alderreach.platform import answers, bodies, wire
from alderreach.utils import http_connection, http_server

READY_PATH = "/-/readiness"
DEADLINE_HEADER = "HTTP_DEADLINE_MS"
KEY_HEADER = "HTTP_AUTHORIZATION"
KEY_SCHEME = "token"
MAX_KEY_LENGTH = 512
# Stands for a header that can't be read; no key has this digest.
UNREADABLE_KEY_DIGEST = b"unreadable"
# The approximate time that callers wait if they send no deadline.
DEFAULT_DEADLINE_MS = 2800
MAX_DEADLINE_MS = 30_000
# Above this a header is a mistake and not a long time limit.
DEADLINE_HEADER_MAX_MS = ranges.DURATION_MS_MAX
# Time reserved for sending the answer back to the caller.
DEADLINE_MARGIN_MS = 80
BALANCER_THREADS = 1


def serve(context, leader_calls, in_flight, is_ready):
    """Open both listeners; the context's stack closes them."""
    limits, listen = context.settings.limits, context.settings.listen
    application = _application(context, leader_calls, in_flight, is_ready)
    _listen(context, listen.callers, application, limits.http_threads)
    if listen.balancer:
        _listen(
            context, listen.balancer, _readiness_application(is_ready), BALANCER_THREADS
        )


def _listen(context, address, application, threads):
    limits = context.settings.limits
    server = http_server.HttpServer(
        address,
        application,
        http_server.HttpLimits(
            threads, limits.header_bytes, limits.body_bytes, limits.caller_idle_ms
        ),
        refuse,
    )
    context.stack.callback(server.close)


def refuse(status, _message):
    """Return the response to input that is not a valid request."""
    line = answers.STATUS_LINES.get(status, answers.STATUS_LINES[400])
    return http_connection.Refusal(line, (answers.JSON_HEADER,), b"{}")


def _readiness_application(is_ready):
    def application(environ, start_response):
        is_known = environ.get("PATH_INFO") == READY_PATH
        status = (200 if is_ready() else 503) if is_known else 404
        return answers.respond(answers.Reply(status), start_response)

    return application


def _application(context, leader_calls, in_flight, is_ready):
    """Return the WSGI application for callers.

    While this process is not ready, it closes each connection after the answer. An open
    connection stays with its process even after the balancer has switched to others, so
    its caller would keep sending requests to a process that can't serve them.
    """
    clock = context.clock

    def application(environ, start_response):
        with in_flight:
            reply = _answer(environ, leader_calls, clock)
        close_connection = not is_ready()
        return answers.respond(reply, start_response, close_connection)

    return application


def _answer(environ, leader_calls, clock):
    started_ms = clock.monotonic_ms()
    method = environ["REQUEST_METHOD"]
    host = environ.get("HTTP_HOST", "").partition(":")[0]
    path = environ.get("PATH_INFO", "")
    digest = key_digest(environ)
    try:
        give_up_ms = started_ms + deadline_ms(environ) - DEADLINE_MARGIN_MS
        if method == "POST":
            request = wire.submission(host, path, read_body(environ), digest)
        elif method == "GET":
            request = cell.ReadJob(host, path, digest)
        elif method == "DELETE":
            request = cell.CancelJob(host, path, digest)
        else:
            return answers.Reply(405)
    except wire.MalformedError as error:
        return answers.Reply(error.status, wire.encode({"error": str(error)}))
    try:
        outcome = leader_calls.call(request, give_up_ms)
    except Exception:
        logging.exception("unexpected error while answering %s %s", method, path)
        return answers.Reply(500)
    return answers.reply_for_outcome(outcome, is_change=method != "GET")


def key_digest(environ):
    """The digest of the key in a request's ``Authorization`` header; empty if none.

    The header's form is ``Token KEY``; any other form is as good as an unknown key.
    """
    header = environ.get(KEY_HEADER)
    if header is None:
        return b""
    scheme, _space, key = header.partition(" ")
    key = key.strip()
    if scheme.lower() != KEY_SCHEME or not 0 < len(key) <= MAX_KEY_LENGTH:
        return UNREADABLE_KEY_DIGEST
    # WSGI passes the header's bytes as Latin-1 characters.
    return wire.key_digest(key.encode("latin-1"))


def read_body(environ):
    """Return the complete body of a request; raises ``wire.MalformedError``."""
    try:
        return environ["wsgi.input"].read()
    except ValueError as error:
        raise wire.MalformedError(f"chunks of the body: {error}") from error
    except Exception as error:
        if not http_connection.is_body_too_large(error):
            raise
        raise bodies.TooLargeError("the body is larger than the limit") from error


def deadline_ms(environ):
    """Return the caller's time limit, from its header or by default.

    A header that is no number counts as missing. One out of range raises
    ``wire.MalformedError``.
    """
    try:
        requested_ms = float(environ.get(DEADLINE_HEADER, "nan"))
    except ValueError:
        return DEFAULT_DEADLINE_MS
    if math.isnan(requested_ms):
        return DEFAULT_DEADLINE_MS
    if not 0 <= requested_ms <= DEADLINE_HEADER_MAX_MS:
        raise wire.MalformedError(
            f"Deadline-Ms: must be from 0 to {DEADLINE_HEADER_MAX_MS}"
        )
    return max(DEADLINE_MARGIN_MS, min(int(requested_ms), MAX_DEADLINE_MS))
