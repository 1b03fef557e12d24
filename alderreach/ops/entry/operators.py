"""The operators' HTTP interface: a WSGI application with its own address.

Every request needs a bearer token; without one, nothing is read or changed. Requests
are routed by method and path to the handlers of the ``operator_*`` modules.

>>> application = build(context, gateway)  # doctest: +SKIP
"""

import functools
import typing

from absl import logging
from result import Err

from alderreach.core import catalog
from alderreach.core.generated import errors
from alderreach.ops.entry import (
    answers,
    intake,
    jobs,
    keepers,
    operator_cell,
    operator_config,
    operator_http,
    operator_jobs,
    operator_keepers,
    operator_maintenance,
    operator_targets,
    operator_tokens,
)

CHALLENGE = ("WWW-Authenticate", "Bearer")
FIRST_ERROR_STATUS = 400


class Dependencies(typing.NamedTuple):
    """The objects that handlers use."""

    context: typing.Any
    gateway: typing.Any
    jobs: jobs.Jobs


ROUTES = (
    ("GET", "/v1/config", operator_config.show),
    ("PUT", "/v1/config", operator_config.write),
    ("GET", "/v1/config/history", operator_config.history),
    ("GET", "/v1/maintenance", operator_maintenance.show),
    ("POST", "/v1/maintenance", operator_maintenance.add),
    ("DELETE", "/v1/maintenance/{window_id}", operator_maintenance.cancel),
    ("GET", "/v1/jobs", operator_jobs.show_all),
    ("GET", "/v1/targets", operator_targets.show),
    ("POST", "/v1/targets/{target_id}/forget", operator_targets.forget),
    ("GET", "/v1/keepers", operator_keepers.show),
    ("POST", "/v1/keepers/{identity}/{action}", operator_keepers.change),
    ("GET", "/v1/status", operator_cell.status),
    ("GET", "/v1/timeline", operator_cell.timeline),
)
# Served by the same code as for callers, so that jobs don't depend on who submits them.
JOB_ROUTES = (
    (
        "POST",
        "/v1/jobs",
        lambda served, environ, _path_params: served.submit(environ),
    ),
    (
        "GET",
        "/v1/jobs/{job_id}",
        lambda served, _environ, path_params: served.show(path_params["job_id"]),
    ),
    (
        "DELETE",
        "/v1/jobs/{job_id}",
        lambda served, _environ, path_params: served.cancel(path_params["job_id"]),
    ),
)


def build(context, gateway):
    """Return the WSGI application for ``listen.operators``."""
    limits = context.settings.limits
    tokens = operator_tokens.Tokens(context.settings.operators.token_file)
    served_jobs = jobs.Jobs(
        context,
        lambda: catalog.build(gateway.items),
        keepers.Keepers(gateway, limits.http_threads),
        gateway.ask_peer,
    )
    deps = Dependencies(context, gateway, served_jobs)

    def application(environ, start_response):
        operator = tokens.operator_of(environ.get("HTTP_AUTHORIZATION", ""))
        if operator is None:
            detail = "send the header 'Authorization: Bearer TOKEN' of an operator"
            refused = operator_http.refuse(errors.Kind.UNAUTHORIZED, detail)
            answer = operator_http.answer(refused, (CHALLENGE,))
        else:
            answer = _dispatch(deps, operator, environ)
        return answers.respond(answer, start_response)

    return application


def _dispatch(deps, operator, environ):
    method, path = environ["REQUEST_METHOD"], environ.get("PATH_INFO", "")
    allowed = []
    for route_method, handle, path_params in _matching(path):
        allowed.append(route_method)
        if route_method == method:
            return _guarded(deps, handle, operator, path_params, environ)
    if not allowed:
        detail = f"nothing is served at {path}"
        refused = operator_http.refuse(errors.Kind.NOT_FOUND, detail)
        return operator_http.answer(refused)
    listed = ", ".join(sorted(allowed))
    detail = f"{path} takes {listed}"
    refused = operator_http.refuse(errors.Kind.METHOD_NOT_ALLOWED, detail)
    return operator_http.answer(refused, (("Allow", listed),))


def _matching(path):
    parts = path.split("/")
    for method, pattern, handler in ROUTES:
        path_params = match(_split(pattern), parts)
        if path_params is not None:
            yield method, functools.partial(_handle, handler), path_params
    for method, pattern, handler in JOB_ROUTES:
        path_params = match(_split(pattern), parts)
        if path_params is not None:
            yield method, functools.partial(_handle_job, handler), path_params


@functools.cache
def _split(pattern):
    return tuple(pattern.split("/"))


def match(pattern, parts):
    """Return the variable parts of a path that matches a pattern, or None.

    >>> match(("", "v1", "jobs", "{job_id}"), ["", "v1", "jobs", "j7"])
    {'job_id': 'j7'}
    """
    if len(pattern) != len(parts):
        return None
    path_params = {}
    for wanted, part in zip(pattern, parts, strict=True):
        if wanted.startswith("{") and part:
            # The HTTP server keeps %2F as it is, so that it doesn't split a path.
            path_params[wanted.strip("{}")] = part.replace("%2F", "/").replace(
                "%2f", "/"
            )
        elif wanted != part:
            return None
    return path_params


def _guarded(deps, handle, operator, path_params, environ):
    try:
        return handle(deps, operator, path_params, environ)
    except Exception:
        logging.exception("internal error while answering %s", environ.get("PATH_INFO"))
        return answers.problem(answers.Failure(errors.Kind.INTERNAL))


def _handle(handler, deps, operator, path_params, environ):
    limits = deps.context.settings.limits
    body = intake.read_body(environ, limits)
    if isinstance(body, Err):
        return answers.problem(body.err_value)
    request = operator_http.Request(
        operator,
        environ["REQUEST_METHOD"],
        environ["PATH_INFO"],
        path_params,
        operator_http.read_query(environ),
        environ.get("HTTP_IDEMPOTENCY_KEY", "").strip(),
        operator_http.read_asked_wall_ms(environ),
        body.ok_value,
    )
    return operator_http.answer(handler(deps, request))


def _handle_job(handler, deps, operator, path_params, environ):
    answer = handler(deps.jobs, environ, path_params)
    if environ["REQUEST_METHOD"] != "GET" and answer.status < FIRST_ERROR_STATUS:
        detail = f"{operator}: {environ['REQUEST_METHOD']} {environ['PATH_INFO']}"
        deps.context.timeline.record("operator_job_change", detail=detail)
    return answer
