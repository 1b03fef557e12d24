"""Conversion of the leader's answers to the platform's status codes and bodies."""

import math
import typing

from alderreach.ops.controller import requests
from alderreach.platform import wire

JSON_HEADER = ("Content-Type", "application/json")
CHALLENGE_HEADER = ("WWW-Authenticate", "Token")
STATUS_LINES = {
    200: "200 OK",
    400: "400 Bad Request",
    401: "401 Unauthorized",
    403: "403 Forbidden",
    404: "404 Not Found",
    405: "405 Method Not Allowed",
    408: "408 Request Timeout",
    410: "410 Gone",
    413: "413 Content Too Large",
    429: "429 Too Many Requests",
    431: "431 Request Header Fields Too Large",
    500: "500 Internal Server Error",
    503: "503 Service Unavailable",
    504: "504 Gateway Timeout",
}
STATUS_BY_KIND = {
    requests.ACCEPTED: 200,
    requests.STATE: 200,
    requests.PENDING: 200,
    requests.CONFIG: 200,
    requests.NO_QUEUE: 404,
    requests.NO_JOB: 410,
    requests.INVALID: 400,
    requests.UNKNOWN_KEY: 401,
    requests.OTHER_CUSTOMER: 403,
    requests.OVERLOADED: 429,
    requests.NOT_READY: 503,
}


class Reply(typing.NamedTuple):
    """An HTTP response."""

    status: int
    body: bytes = b"{}"
    retry_after_ms: int = 0


def reply_for_answer(answer):
    """Return the reply for a ``cell.CellAnswer``."""
    body = b"{}"
    if answer.kind == requests.STATE:
        body = wire.encode({"state": answer.text})
    elif answer.kind == requests.PENDING:
        body = wire.encode({"pending": answer.number})
    elif answer.kind == requests.CONFIG:
        body = answer.body
    elif answer.kind == requests.INVALID:
        body = wire.encode({"error": answer.text})
    return Reply(STATUS_BY_KIND[answer.kind], body, answer.retry_after_ms)


def reply_for_outcome(outcome, is_change):
    """Return the reply for a ``leader_calls.Outcome``.

    Without an answer, a change that may have been made is a 504, and its sender retries
    with the same id. So is a refusal if an earlier attempt got no reply: that one may
    have been accepted under another configuration or before the cell was full. Anything
    else had no effect and is a 503.
    """
    answer = outcome.answer
    if is_change and _is_unclear(outcome):
        return Reply(504)
    if answer is not None:
        return reply_for_answer(answer)
    return Reply(503, retry_after_ms=requests.RETRY_AFTER_MS)


def _is_unclear(outcome):
    if outcome.answer is None:
        return outcome.may_have_acted
    is_refusal = outcome.answer.kind in requests.REFUSALS
    return is_refusal and outcome.had_unclear_attempt


def respond(reply, start_response, close_connection=False):
    """Send a reply through WSGI."""
    headers = [JSON_HEADER, ("Content-Length", str(len(reply.body)))]
    if reply.status == 401:
        headers.append(CHALLENGE_HEADER)
    if reply.retry_after_ms:
        seconds = math.ceil(reply.retry_after_ms / 1000)
        headers.append(("Retry-After", str(seconds)))
    if close_connection:
        headers.append(("Connection", "close"))
    start_response(STATUS_LINES[reply.status], headers)
    return [reply.body]
