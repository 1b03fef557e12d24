"""What every operator's request shares: its parts, refusals and answers.

Handlers are functions from a ``Request`` to ``Ok(object)`` or ``Err(Refusal)``. A
refusal becomes a problem document with more members for programs. Bodies are read and
problems written as for callers, by ``intake`` and ``answers``.
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
    """One authorised request; ``names`` are the variable parts of the path.

    ``asked_wall_ms`` is when the operator asked, by the operator's own clock; 0 if not
    told. It is the same on a resend, as the keepers compare a resend with the first.
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
    """Why a request failed, for people, with more members for programs."""

    kind: errors.Kind
    detail: str
    extensions: dict = {}


def refuse(kind, detail, **extensions):
    """An ``Err`` with a refusal."""
    return Err(Refusal(kind, detail, extensions))


def refuse_fields(kind, found):
    """An ``Err`` for a list of (field, message)."""
    shown = [{"field": field, "message": message} for field, message in found]
    detail = "; ".join(f"{field}: {message}" for field, message in found)
    return refuse(kind, detail, mistakes=shown)


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


def read_keyed_object(request, limits):
    """The body of a change: ``Ok(dict)``; a refusal if its key or body is unusable."""
    return check_key(request, limits).and_then(lambda _key: read_object(request))


def read_count(request, name, default, maximum):
    """A whole number from the query: ``Ok(int)`` or a refusal."""
    text = request.query.get(name, "")
    if not text:
        return Ok(default)
    if not text.isdecimal() or not 1 <= int(text) <= maximum:
        detail = f"{name} must be a whole number from 1 to {maximum}"
        return refuse(errors.Kind.MALFORMED_REQUEST, detail)
    return Ok(int(text))


def check_key(request, limits):
    """Refuse a change without a usable Idempotency-Key: ``Ok(key)`` or a refusal."""
    key = request.idempotency_key
    if intake.is_key(key, limits):
        return Ok(key)
    detail = (
        f"{intake.key_rule(limits)}: a fresh one for each change, the same on a resend"
    )
    return refuse(errors.Kind.MALFORMED_REQUEST, detail)


def read_asked_wall_ms(environ):
    """When the operator asked, from the header; 0 if it is missing or no number."""
    text = environ.get("HTTP_ALDERREACH_ASKED_WALL_MS", "")
    return int(text) if text.isdecimal() and len(text) <= WALL_MS_DIGITS else 0


def read_query(environ):
    """The query string as a dictionary; of a name given twice the last one counts."""
    pairs = urllib.parse.parse_qsl(environ.get("QUERY_STRING", ""))
    return dict(pairs)


def answer(result, headers=()):
    """The ``answers.Answer`` of a handler's result."""
    if result.is_ok():
        return answers.json_answer(200, result.ok_value, headers)
    refusal = result.err_value
    failure = answers.Failure(refusal.kind, refusal.detail)
    plain = answers.problem(failure, extra=headers)
    if not refusal.extensions:
        return plain
    document = msgspec.json.decode(plain.body) | refusal.extensions
    return plain._replace(body=msgspec.json.encode(document))
