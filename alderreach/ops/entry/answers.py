"""Answers to callers, and problem documents (RFC 9457) for errors.

The kind of an error determines status, outcome and retry advice through one generated
table; no other code in the entry chooses the status of an error.
"""

import http
import math
import typing

import msgspec

from alderreach.core.generated import errors

PROBLEM_TYPE = "application/problem+json"
JSON_TYPE = "application/json"
PROBLEM_URI = "urn:alderreach:problem:"
RETRY_AFTER_DEFAULT_MS = 1000


class Answer(typing.NamedTuple):
    """An HTTP answer to a caller."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Failure(typing.NamedTuple):
    """Why a request failed; ``retry_after_ms`` is 0 if it is unknown."""

    kind: errors.Kind
    detail: str = ""
    retry_after_ms: int = 0


def status_line(status):
    """Return the WSGI status string.

    >>> status_line(404)
    '404 Not Found'
    """
    try:
        return f"{status} {http.HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Status"


def json_answer(status, value, extra=()):
    """Return an answer with a JSON body."""
    headers = (("Content-Type", JSON_TYPE), *extra)
    return Answer(status, headers, msgspec.json.encode(value))


def problem(failure, request_id="", extra=()):
    """Return the problem document for a ``Failure``."""
    answer = errors.ANSWERS[failure.kind]
    document = {
        "type": PROBLEM_URI + failure.kind.value,
        "title": answer.title,
        "status": answer.status,
        "kind": failure.kind.value,
        "outcome": answer.outcome,
        "retry": answer.retry,
        "detail": failure.detail,
        "request_id": request_id,
    }
    headers = [
        ("Content-Type", PROBLEM_TYPE),
        ("Alderreach-Outcome", answer.outcome),
        ("Alderreach-Request-Id", request_id),
        *extra,
    ]
    if answer.retry == "later":
        wait_ms = failure.retry_after_ms or RETRY_AFTER_DEFAULT_MS
        headers.append(("Retry-After", str(max(1, math.ceil(wait_ms / 1000)))))
        document["retry_after_ms"] = wait_ms
    return Answer(answer.status, tuple(headers), msgspec.json.encode(document))


def respond(answer, start_response):
    """Send an ``Answer`` through WSGI."""
    headers = [*answer.headers, ("Content-Length", str(len(answer.body)))]
    start_response(status_line(answer.status), headers)
    return [answer.body]
