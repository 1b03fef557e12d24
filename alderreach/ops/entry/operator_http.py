"""Shared parts of the operators' interface: requests, refusals and answers.

Handlers are functions from a ``Request`` to ``Ok(object)`` or ``Err(Refusal)``. A
refusal becomes a problem document with extension members for programs. Bodies are read
and problems are written as for callers, by ``intake`` and ``answers``.
"""

import json
import typing
import urllib.parse

import msgspec
from result import Err, Ok

from alderreach.core.generated import errors
from alderreach.ops.entry import answers, intake

WALL_MS_DIGITS = 15


class Request(typing.NamedTuple):
    """One authorised request; ``path_params`` are the variable parts of the path.

    ``asked_wall_ms`` is the time of the request on the operator's own clock; 0 if not
    given. It is the same on a resend, since the keepers compare a resend with the first
    copy.
    """

    operator: str
    method: str
    path: str
    path_params: dict
    query: dict
    idempotency_key: str
    asked_wall_ms: int
    body: bytes


class Refusal(typing.NamedTuple):
    """Why a request failed, for people, with extension members for programs."""

    kind: errors.Kind
    detail: str
    extensions: dict = {}


def refuse(kind, detail, **extensions):
    """Return an ``Err`` with a refusal."""
    return Err(Refusal(kind, detail, extensions))


def refuse_fields(kind, found):
    """Return an ``Err`` for a list of (field, message)."""
    shown = [{"field": field, "message": message} for field, message in found]
    detail = "; ".join(f"{field}: {message}" for field, message in found)
    return refuse(kind, detail, mistakes=shown)


def read_object(request):
    """Read the body as a JSON object: ``Ok(dict)``, or a refusal that says why not."""
    try:
        value = json.loads(request.body)
    except (ValueError, RecursionError) as error:
        return refuse(errors.Kind.MALFORMED_REQUEST, f"the body is not JSON: {error}")
    if not isinstance(value, dict):
        kind = errors.Kind.MALFORMED_REQUEST
        return refuse(kind, "the body must be a JSON object")
    return Ok(value)


def read_keyed_object(request, limits):
    """Read the body of a change: ``Ok(dict)``, or a refusal of its key or body."""
    return check_key(request, limits).and_then(lambda _key: read_object(request))


def read_count(request, name, default, maximum):
    """Read a whole number from the query: ``Ok(int)`` or a refusal."""
    text = request.query.get(name, "")
    if not text:
        return Ok(default)
    is_short = len(text) <= len(str(maximum))
    if not (is_short and text.isdecimal() and 1 <= int(text) <= maximum):
        detail = f"{name} must be a whole number from 1 to {maximum}"
        return refuse(errors.Kind.MALFORMED_REQUEST, detail)
    return Ok(int(text))


def check_key(request, limits):
    """Check that a change has a valid Idempotency-Key: ``Ok(key)`` or a refusal."""
    key = request.idempotency_key
    if intake.is_key(key, limits):
        return Ok(key)
    detail = (
        f"{intake.key_rule(limits)}: a fresh one for each change, the same on a resend"
    )
    return refuse(errors.Kind.MALFORMED_REQUEST, detail)


def read_asked_wall_ms(environ):
    """Read the operator's request time from the header; 0 if missing or invalid."""
    text = environ.get("HTTP_ALDERREACH_ASKED_WALL_MS", "")
    return int(text) if text.isdecimal() and len(text) <= WALL_MS_DIGITS else 0


def read_query(environ):
    """Return the query string as a dictionary; the last value of a name wins."""
    pairs = urllib.parse.parse_qsl(environ.get("QUERY_STRING", ""))
    return dict(pairs)


def answer(result, headers=()):
    """Return the ``answers.Answer`` for a handler's result."""
    if result.is_ok():
        return answers.json_answer(200, result.ok_value, headers)
    refusal = result.err_value
    failure = answers.Failure(refusal.kind, refusal.detail)
    plain = answers.problem(failure, extra=headers)
    if not refusal.extensions:
        return plain
    document = msgspec.json.decode(plain.body) | refusal.extensions
    return plain._replace(body=msgspec.json.encode(document))
