"""The HTTP endpoint for announcements: a WSGI callable that calls the placer's task."""

import typing

import msgspec
from result import Err

from alderreach.core import target_membership
from alderreach.ops import target_wire
from alderreach.utils import http_server, tasks

PATH_PREFIX = "/v1/targets/"
PATH_SUFFIX = "/announce"
HTTP_THREADS = 16
ANSWER_WAIT_MS = 1000
STATUS_LINES = {
    200: "200 OK",
    400: "400 Bad Request",
    404: "404 Not Found",
    405: "405 Method Not Allowed",
    413: "413 Content Too Large",
    421: "421 Misdirected Request",
    503: "503 Service Unavailable",
}


class AnnouncementRequest(typing.NamedTuple):
    """An announcement passed to the task, which answers the ticket with an Answer."""

    announcement: target_membership.Announcement
    ticket: tasks.Ticket


class Answer(typing.NamedTuple):
    """An HTTP response: status, JSON body and its content type."""

    status: int
    body: bytes
    content_type: str = "application/json"


def problem(status, title, detail):
    """Return an answer with a problem document."""
    document = {
        "type": "about:blank",
        "title": title,
        "status": status,
        "detail": detail,
    }
    return Answer(status, msgspec.json.encode(document), "application/problem+json")


def make_application(failure_domain, enqueue, body_bytes):
    """Return the WSGI callable; ``enqueue`` passes AnnouncementRequests to the task."""

    def handle_request(environ):
        path = environ.get("PATH_INFO", "")
        if not path.startswith(PATH_PREFIX) or not path.endswith(PATH_SUFFIX):
            return problem(404, "Nothing goes by this name", path)
        if environ.get("REQUEST_METHOD") != "POST":
            return problem(405, "This method is not served here", "use POST")
        length = environ.get("CONTENT_LENGTH") or "0"
        if not length.isdigit() or int(length) > body_bytes:
            return problem(413, "The body is larger than allowed", length)
        body = environ["wsgi.input"].read(int(length))
        return handle_announcement(path[len(PATH_PREFIX) : -len(PATH_SUFFIX)], body)

    def handle_announcement(target_id, body):
        parsed = target_wire.parse_announcement(target_id, body)
        if isinstance(parsed, Err):
            return problem(400, "The request is not well formed", parsed.err_value)
        announcement = parsed.ok_value
        if announcement.failure_domain != failure_domain:
            detail = f"this placer serves the failure domain {failure_domain}"
            return problem(400, "The request is not well formed", detail)
        ticket = tasks.Ticket()
        enqueue(AnnouncementRequest(announcement, ticket))
        answer = ticket.wait(ANSWER_WAIT_MS)
        return answer or problem(503, "The placer is busy", "announce again")

    def application(environ, start_response):
        answer = handle_request(environ)
        headers = [
            ("Content-Type", answer.content_type),
            ("Content-Length", str(len(answer.body))),
        ]
        start_response(STATUS_LINES[answer.status], headers)
        return [answer.body]

    return application


def open_listener(settings, enqueue):
    """Serve announcements on the listen address for targets; returns the HttpServer."""
    application = make_application(
        settings.process.failure_domain, enqueue, settings.limits.body_bytes
    )
    limits = http_server.HttpLimits(
        HTTP_THREADS,
        settings.limits.header_bytes,
        settings.limits.body_bytes,
        settings.limits.caller_idle_ms,
    )
    return http_server.HttpServer(settings.listen.targets, application, limits)
