"""Reads a caller's HTTP request and checks all of it before it is processed.

Any error in the headers or the body becomes a ``Failure`` here. A request that passes
is complete and well formed, and one that fails has had no effect.
"""

import re
import typing

from cheroot import errors as cheroot_errors
from result import Err, Ok, Result

from alderreach.core.generated import errors
from alderreach.ops.entry import answers

CHUNK_BYTES = 65536
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}")
KEY_PATTERN = re.compile(r"[\x21-\x7e]+")
NUMBER_PATTERN = re.compile(r"[0-9]{1,12}")
BOOLEAN_WORDS = {"true": True, "false": False, "": False}


class RequestHeaders(typing.NamedTuple):
    """The checked headers of a request to a service; 0 and empty mean absent."""

    team: str
    deadline_ms: int
    non_idempotent: bool
    idempotency_key: str
    priority: int | None
    content_type: str


def _refuse(kind, detail):
    return Err(answers.Failure(kind, detail))


def read_headers(environ, limits) -> Result:
    """Return ``Ok(RequestHeaders)``, or ``Err(Failure)`` that names the header."""
    kind = errors.Kind.MALFORMED_REQUEST
    team = environ.get("HTTP_ALDERREACH_TEAM", "")
    if not NAME_PATTERN.fullmatch(team):
        return _refuse(kind, "Alderreach-Team must be the name of a team")
    deadline = environ.get("HTTP_ALDERREACH_DEADLINE_MS", "")
    if deadline and not NUMBER_PATTERN.fullmatch(deadline):
        return _refuse(kind, "Alderreach-Deadline-Ms must be a whole number")
    deadline_ms = int(deadline or 0)
    if deadline and not 1 <= deadline_ms <= limits.deadline_max_ms:
        detail = f"Alderreach-Deadline-Ms must be from 1 to {limits.deadline_max_ms}"
        return _refuse(kind, detail)
    word = environ.get("HTTP_ALDERREACH_NON_IDEMPOTENT", "").lower()
    if word not in BOOLEAN_WORDS:
        return _refuse(kind, "Alderreach-Non-Idempotent must be true or false")
    key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
    if key and not is_key(key, limits):
        return _refuse(kind, key_rule(limits))
    priority = environ.get("HTTP_ALDERREACH_PRIORITY", "")
    if priority and not re.fullmatch("[0-9]", priority):
        return _refuse(kind, "Alderreach-Priority must be from 0 to 9")
    return Ok(
        RequestHeaders(
            team,
            deadline_ms,
            BOOLEAN_WORDS[word],
            key,
            int(priority) if priority else None,
            environ.get("CONTENT_TYPE", "") or "application/octet-stream",
        )
    )


def is_key(key, limits):
    """Whether a text is a valid idempotency key."""
    return len(key) <= limits.key_chars and KEY_PATTERN.fullmatch(key) is not None


def key_rule(limits):
    """Return the rule that ``is_key`` checks, as a sentence for callers."""
    return f"Idempotency-Key must be 1 to {limits.key_chars} visible ASCII characters"


def read_body(environ, limits) -> Result:
    """Return ``Ok(bytes)``, or ``Err(Failure)`` for a large, truncated or slow body.

    The HTTP server limits how long a body may take, by a timeout. A body with both a
    Content-Length and a Transfer-Encoding is refused: a balancer that used the other
    one would treat the rest of the body as a second request.
    """
    length = environ.get("CONTENT_LENGTH", "")
    is_chunked = "chunked" in environ.get("HTTP_TRANSFER_ENCODING", "").lower()
    if is_chunked and length:
        detail = "Content-Length and Transfer-Encoding exclude each other"
        return _refuse(errors.Kind.MALFORMED_REQUEST, detail)
    if length and not NUMBER_PATTERN.fullmatch(length):
        return _refuse(errors.Kind.MALFORMED_REQUEST, "Content-Length is no number")
    if int(length or 0) > limits.body_bytes:
        return _too_large(limits)
    try:
        return _read(environ["wsgi.input"], limits, is_chunked, int(length or 0))
    except TimeoutError:
        return _refuse(errors.Kind.REQUEST_TIMEOUT, "The body came too slowly")
    except cheroot_errors.MaxSizeExceeded:
        return _too_large(limits)
    except ValueError as error:
        return _refuse(errors.Kind.MALFORMED_REQUEST, str(error))
    except OSError as error:
        if "Too Large" in str(error):
            return _too_large(limits)
        return _refuse(errors.Kind.MALFORMED_REQUEST, "The body was broken off")


def _too_large(limits):
    detail = f"A body may have {limits.body_bytes} bytes"
    return _refuse(errors.Kind.BODY_TOO_LARGE, detail)


def _read(stream, limits, is_chunked, length):
    if not is_chunked:
        body = stream.read(length) if length else b""
        if len(body) < length:
            return _refuse(errors.Kind.MALFORMED_REQUEST, "The body was broken off")
        return Ok(body)
    chunks, size = [], 0
    while chunk := stream.read(CHUNK_BYTES):
        chunks.append(chunk)
        size += len(chunk)
        if size > limits.body_bytes:
            return _too_large(limits)
    return Ok(b"".join(chunks))
