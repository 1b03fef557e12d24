"""The HTTP side of announcements: a WSGI callable that asks the placer's task."""

import typing

import msgspec
from result import Err

from alderreach.core import target_membership
from alderreach.ops import target_wire
from alderreach.utils import http_server, tasks

PREFIX = "/v1/targets/"
SUFFIX = "/announce"
HTTP_THREADS = 16
ANSWER_WAIT_MS = 1000
REASONS = {
    200: "200 OK",
    400: "400 Bad Request",
    404: "404 Not Found",
    405: "405 Method Not Allowed",
    413: "413 Content Too Large",
    421: "421 Misdirected Request",
    503: "503 Service Unavailable",
}


class AnnouncementRequest(typing.NamedTuple):
    """An announcement for the task; the ticket gets an Answer."""

    announcement: target_membership.Announcement
    ticket: tasks.Ticket


class Answer(typing.NamedTuple):
    """An HTTP answer: status, JSON body and its content type."""

    status: int
    body: bytes
    content_type: str = "application/json"


def problem(status, title, detail):
    """Return a problem document."""
    told = {"type": "about:blank", "title": title, "status": status, "detail": detail}
    return Answer(status, msgspec.json.encode(told), "application/problem+json")


def make_application(failure_domain, put, body_bytes):
    """Return the callable; ``put(AnnouncementRequest)`` hands an announcement to the task."""

    def answer(environ):
        path = environ.get("PATH_INFO", "")
        if not path.startswith(PREFIX) or not path.endswith(SUFFIX):
            return problem(404, "Nothing goes by this name", path)
        if environ.get("REQUEST_METHOD") != "POST":
            return problem(405, "This method is not served here", "use POST")
        length = environ.get("CONTENT_LENGTH") or "0"
        if not length.isdigit() or int(length) > body_bytes:
            return problem(413, "The body is larger than allowed", length)
        body = environ["wsgi.input"].read(int(length))
        return take(path[len(PREFIX) : -len(SUFFIX)], body)

    def take(target_id, body):
        parsed = target_wire.parse_announcement(target_id, body)
        if isinstance(parsed, Err):
            return problem(400, "The request is not well formed", parsed.err_value)
        announcement = parsed.ok_value
        if announcement.failure_domain != failure_domain:
            detail = f"this placer serves the failure domain {failure_domain}"
            return problem(400, "The request is not well formed", detail)
        ticket = tasks.Ticket()
        put(AnnouncementRequest(announcement, ticket))
        told = ticket.wait(ANSWER_WAIT_MS)
        return told or problem(503, "The placer is busy", "announce again")

    def application(environ, start_response):
        told = answer(environ)
        headers = [
            ("Content-Type", told.content_type),
            ("Content-Length", str(len(told.body))),
        ]
        start_response(REASONS[told.status], headers)
        return [told.body]

    return application


def open_listener(settings, put):
    """Serve announcements on the targets' address; returns the HttpServer."""
    application = make_application(
        settings.process.failure_domain, put, settings.limits.body_bytes
    )
    limits = http_server.HttpLimits(
        HTTP_THREADS,
        settings.limits.header_bytes,
        settings.limits.body_bytes,
        settings.limits.caller_idle_ms,
    )
    return http_server.HttpServer(settings.listen.targets, application, limits)
