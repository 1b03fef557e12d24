"""Reads a caller's HTTP request and checks all of it before anything is done.

Whatever is wrong with headers or body ends here as a ``Failure``, so that a request
which goes on is whole and well formed, and one that doesn't has left no trace.
"""

import re
import typing

from cheroot import errors as cheroot_errors
from result import Err, Ok, Result

from alderreach.core.generated import errors
from alderreach.ops.entry import answers

BODY_CHUNK_BYTES = 65536
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}")
KEY_PATTERN = re.compile(r"[\x21-\x7e]+")
NUMBER_PATTERN = re.compile(r"[0-9]{1,12}")
TRUE_WORDS = {"true": True, "false": False, "": False}


class RequestHeaders(typing.NamedTuple):
    """The headers of a request to a service, checked; 0 and empty mean not given."""

    team: str
    deadline_ms: int
    non_idempotent: bool
    idempotency_key: str
    priority: int | None
    content_type: str


def _refuse(kind, detail):
    return Err(answers.Failure(kind, detail))


def read_headers(environ, limits) -> Result:
    """``Ok(RequestHeaders)`` or ``Err(Failure)`` that names the header."""
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
    if word not in TRUE_WORDS:
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
            TRUE_WORDS[word],
            key,
            int(priority) if priority else None,
            environ.get("CONTENT_TYPE", "") or "application/octet-stream",
        )
    )


def is_key(key, limits):
    """Whether a text may be an idempotency key."""
    return len(key) <= limits.key_chars and KEY_PATTERN.fullmatch(key) is not None


def key_rule(limits):
    """What ``is_key`` asks for, in words."""
    return f"Idempotency-Key must be 1 to {limits.key_chars} visible ASCII characters"


def read_body(environ, limits, clock) -> Result:
    """``Ok(bytes)`` or ``Err(Failure)`` for a body that is too large, cut or slow.

    A caller that drips bytes keeps each single read alive, so the whole body has
    ``caller_idle_ms``: else a few such callers would hold every thread of the entry.
    """
    length = environ.get("CONTENT_LENGTH", "")
    is_chunked = "chunked" in environ.get("HTTP_TRANSFER_ENCODING", "").lower()
    if not is_chunked and length and not NUMBER_PATTERN.fullmatch(length):
        return _refuse(errors.Kind.MALFORMED_REQUEST, "Content-Length is no number")
    if not is_chunked and int(length or 0) > limits.body_bytes:
        return _too_large(limits)
    give_up_ms = clock.monotonic_ms() + limits.caller_idle_ms
    try:
        return _read_chunks(environ, limits, clock, give_up_ms, is_chunked, length)
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


def _read_chunks(environ, limits, clock, give_up_ms, is_chunked, length):
    chunks, size = [], 0
    expected = int(length or 0)
    while is_chunked or size < expected:
        wanted = min(BODY_CHUNK_BYTES, expected - size) if not is_chunked else None
        chunk = environ["wsgi.input"].read(wanted or BODY_CHUNK_BYTES)
        if not chunk:
            break
        chunks.append(chunk)
        size += len(chunk)
        if size > limits.body_bytes:
            return _too_large(limits)
        if clock.monotonic_ms() > give_up_ms:
            return _refuse(errors.Kind.REQUEST_TIMEOUT, "The body came too slowly")
    if not is_chunked and size < expected:
        return _refuse(errors.Kind.MALFORMED_REQUEST, "The body was broken off")
    return Ok(b"".join(chunks))
