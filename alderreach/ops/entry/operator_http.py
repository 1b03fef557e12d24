"""What every operator's request shares: its parts, refusals and answers.

Handlers are functions from a ``Request`` to ``Ok(object)`` or ``Err(Refusal)``. A
refusal becomes a problem document (RFC 9457) with its ``kind`` from the closed list.
"""

import json
import typing
import urllib.parse

from result import Err, Ok

from alderreach.core.generated import errors

JSON = "application/json"
PROBLEM = "application/problem+json"
RETRY_AFTER_S = {"later": "1", "now": "0"}
KEY_CHARS_MIN = 8
WALL_MS_DIGITS = 15


class Request(typing.NamedTuple):
    """One authorised request; ``names`` are the variable parts of the path.

    ``asked_wall_ms`` is when the operator asked, by the operator's own clock; 0 if not
    told. It is the same on a resend, as the keepers compare a resend with the first.
    """

    operator: str
    method: str
    path: str
    names: dict
    query: dict
    idempotency_key: str
    asked_wall_ms: int
    body: bytes


class Refusal(typing.NamedTuple):
    """Why a request failed, for people, with more members for programs."""

    kind: errors.Kind
    detail: str
    more: dict = {}


def refuse(kind, detail, **more):
    """An ``Err`` with a refusal."""
    return Err(Refusal(kind, detail, more))


def read_object(request):
    """The body as a JSON object: ``Ok(dict)``, or a refusal that says what is wrong."""
    try:
        value = json.loads(request.body)
    except ValueError as error:
        return refuse(errors.Kind.MALFORMED_REQUEST, f"the body is not JSON: {error}")
    if not isinstance(value, dict):
        kind = errors.Kind.MALFORMED_REQUEST
        return refuse(kind, "the body must be a JSON object")
    return Ok(value)


def read_count(request, name, default, maximum):
    """A whole number from the query: ``Ok(int)`` or a refusal."""
    text = request.query.get(name, "")
    if not text:
        return Ok(default)
    if not text.isdecimal() or not 1 <= int(text) <= maximum:
        detail = f"{name} must be a whole number from 1 to {maximum}"
        return refuse(errors.Kind.MALFORMED_REQUEST, detail)
    return Ok(int(text))


def check_key(request, key_chars):
    """Refuse a change without a usable Idempotency-Key: ``Ok(key)`` or a refusal."""
    key = request.idempotency_key
    if KEY_CHARS_MIN <= len(key) <= key_chars and key.isprintable():
        return Ok(key)
    detail = (
        "a change needs the header Idempotency-Key, fresh for each change and the same"
        f" on a resend, of {KEY_CHARS_MIN} to {key_chars} printable characters"
    )
    return refuse(errors.Kind.MALFORMED_REQUEST, detail)


def read_body(environ, limit_bytes):
    """The body of a WSGI request: ``Ok(bytes)`` or a refusal."""
    text = environ.get("CONTENT_LENGTH") or "0"
    if not text.isdecimal():
        detail = "Content-Length is not a number"
        return refuse(errors.Kind.MALFORMED_REQUEST, detail)
    length = int(text)
    chunked = "chunked" in environ.get("HTTP_TRANSFER_ENCODING", "").lower()
    if length > limit_bytes:
        return _too_large(limit_bytes)
    if chunked:
        length = limit_bytes + 1
    body = environ["wsgi.input"].read(length) if length else b""
    if chunked and len(body) > limit_bytes:
        return _too_large(limit_bytes)
    if not chunked and len(body) < length:
        detail = "the body ended before its Content-Length"
        return refuse(errors.Kind.MALFORMED_REQUEST, detail)
    return Ok(body)


def _too_large(limit_bytes):
    detail = f"the body may have {limit_bytes} bytes at most"
    return refuse(errors.Kind.BODY_TOO_LARGE, detail)


def read_asked_wall_ms(environ):
    """When the operator asked, from the header; 0 if it is missing or no number."""
    text = environ.get("HTTP_ALDERREACH_ASKED_WALL_MS", "")
    return int(text) if text.isdecimal() and len(text) <= WALL_MS_DIGITS else 0


def read_query(environ):
    """The query string as a dictionary; of a name given twice the last one counts."""
    pairs = urllib.parse.parse_qsl(environ.get("QUERY_STRING", ""))
    return dict(pairs)


def answer(start_response, result, headers=()):
    """Send a handler's result."""
    if result.is_ok():
        return _send(start_response, "200 OK", JSON, result.ok_value, headers)
    refusal = result.err_value
    entry = errors.ANSWERS[refusal.kind]
    document = problem(refusal)
    extra = list(headers)
    if entry.retry in RETRY_AFTER_S:
        extra.append(("Retry-After", RETRY_AFTER_S[entry.retry]))
    status = f"{entry.status} {entry.title}"
    return _send(start_response, status, PROBLEM, document, extra)


def problem(refusal):
    """The problem document of a refusal."""
    entry = errors.ANSWERS[refusal.kind]
    return {
        "type": f"urn:alderreach:error:{refusal.kind.value}",
        "title": entry.title,
        "status": entry.status,
        "detail": refusal.detail,
        "kind": refusal.kind.value,
        "outcome": entry.outcome,
        **refusal.more,
    }


def _send(start_response, status, content_type, document, headers):
    body = json.dumps(document).encode() + b"\n"
    start_response(
        status,
        [
            ("Content-Type", content_type),
            ("Content-Length", str(len(body))),
            *headers,
        ],
    )
    return [body]
