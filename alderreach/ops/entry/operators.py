"""The operators' HTTP: a WSGI application for an address of its own.

Every request needs a bearer token; without one nothing is read or changed. Requests
are routed by method and path to the handlers of the ``operator_*`` modules.

>>> application = build(context, gateway)  # doctest: +SKIP
"""

import functools
import typing

from absl import logging
from result import Err

from alderreach.core.generated import errors
from alderreach.ops.entry import (
    operator_cell,
    operator_config,
    operator_http,
    operator_jobs,
    operator_maintenance,
    operator_targets,
    operator_tokens,
)

CHALLENGE = ("WWW-Authenticate", "Bearer")


class Dependencies(typing.NamedTuple):
    """What handlers work with; ``targets`` is the entry's own view, if it has one."""

    context: typing.Any
    gateway: typing.Any
    targets: typing.Any


ROUTES = (
    ("GET", "/v1/config", operator_config.show),
    ("PUT", "/v1/config", operator_config.write),
    ("GET", "/v1/config/history", operator_config.history),
    ("GET", "/v1/maintenance", operator_maintenance.show),
    ("POST", "/v1/maintenance", operator_maintenance.add),
    ("DELETE", "/v1/maintenance/{window_id}", operator_maintenance.cancel),
    ("GET", "/v1/jobs", operator_jobs.show_all),
    ("POST", "/v1/jobs", operator_jobs.submit),
    ("GET", "/v1/jobs/{job_id}", operator_jobs.show),
    ("DELETE", "/v1/jobs/{job_id}", operator_jobs.cancel),
    ("GET", "/v1/targets", operator_targets.show),
    ("POST", "/v1/targets/{target_id}/forget", operator_targets.forget),
    ("GET", "/v1/status", operator_cell.status),
    ("GET", "/v1/timeline", operator_cell.timeline),
)


def build(context, gateway, targets=None):
    """The WSGI application for ``listen.operators``."""
    tokens = operator_tokens.Tokens(context.settings.operators.token_file)
    deps = Dependencies(context, gateway, targets)

    def application(environ, start_response):
        operator = tokens.operator_of(environ.get("HTTP_AUTHORIZATION", ""))
        if operator is None:
            detail = "send the header 'Authorization: Bearer TOKEN' of an operator"
            refused = operator_http.refuse(errors.Kind.UNAUTHORIZED, detail)
            return operator_http.answer(start_response, refused, [CHALLENGE])
        result, headers = _dispatch(deps, operator, environ)
        return operator_http.answer(start_response, result, headers)

    return application


def _dispatch(deps, operator, environ):
    method, path = environ["REQUEST_METHOD"], environ.get("PATH_INFO", "")
    matching = list(_matching(path))
    if not matching:
        detail = f"nothing is served at {path}"
        return operator_http.refuse(errors.Kind.NOT_FOUND, detail), []
    for route_method, handler, names in matching:
        if route_method == method:
            return _handle(deps, handler, operator, names, environ), []
    allowed = ", ".join(sorted(entry[0] for entry in matching))
    detail = f"{path} takes {allowed}"
    refused = operator_http.refuse(errors.Kind.METHOD_NOT_ALLOWED, detail)
    return refused, [("Allow", allowed)]


def _matching(path):
    parts = path.split("/")
    for method, pattern, handler in ROUTES:
        names = match(_split(pattern), parts)
        if names is not None:
            yield method, handler, names


@functools.cache
def _split(pattern):
    return tuple(pattern.split("/"))


def match(pattern, parts):
    """The variable parts of a path that fits a pattern, or None.

    >>> match(("", "v1", "jobs", "{job_id}"), ["", "v1", "jobs", "j7"])
    {'job_id': 'j7'}
    """
    if len(pattern) != len(parts):
        return None
    names = {}
    for wanted, part in zip(pattern, parts, strict=True):
        if wanted.startswith("{") and part:
            names[wanted.strip("{}")] = part
        elif wanted != part:
            return None
    return names


def _handle(deps, handler, operator, names, environ):
    body = operator_http.read_body(environ, deps.context.settings.limits.body_bytes)
    if isinstance(body, Err):
        return body
    request = operator_http.Request(
        operator,
        environ["REQUEST_METHOD"],
        environ["PATH_INFO"],
        names,
        operator_http.read_query(environ),
        environ.get("HTTP_IDEMPOTENCY_KEY", "").strip(),
        operator_http.read_asked_wall_ms(environ),
        body.ok_value,
    )
    try:
        return handler(deps, request)
    except Exception:
        logging.exception("%s %s failed", request.method, request.path)
        detail = "a fault in the entry; its log has the details"
        return operator_http.refuse(errors.Kind.INTERNAL, detail)
