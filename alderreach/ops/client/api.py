"""Calls to the operators' HTTP API of one or several entries.

If an entry can't be reached, drains or has no quorum, the request goes to the next one
with the same idempotency key, so a change is made only once however often it is sent.
If an attempt may have been accepted and no later one returned its outcome, the failure
says so and gives the key to retry with.
"""

import json
import re
import time
import typing
import urllib.parse
import uuid

import urllib3
from result import Err, Ok

from alderreach.utils import clocks

ENTRY_PATTERN = re.compile(r"([^\s/:]+|\[[0-9a-fA-F:]+\]):[0-9]{1,5}")
ROUNDS = 3
ROUND_PAUSE_S = 0.5
CONNECT_TIMEOUT_S = 2
READ_TIMEOUT_S = 20
WALL_MS_DIGITS = 15
EXIT_REFUSED = 1
EXIT_BAD_INPUT = 2
EXIT_UNREACHABLE = 3
# Errors that another entry, or the same one later, may not return: retried.
RETRIED_KINDS = ("no_quorum", "draining", "write_unconfirmed", "overloaded", "internal")
# Of these, errors after which the request may still have been accepted.
UNCERTAIN_KINDS = ("write_unconfirmed", "internal")
# Errors that every entry returns for now; a later call may succeed.
UNREACHABLE_KINDS = ("no_owner",)
BAD_INPUT_KINDS = (
    "malformed_request",
    "invalid_configuration",
    "impossible_job",
    "not_found",
    "unknown_team",
    "unknown_workload",
    "unknown_service",
    "body_too_large",
    "header_too_large",
    "method_not_allowed",
)


class Failure(typing.NamedTuple):
    """Why a command failed: exit code, message and problem document."""

    exit_code: int
    message: str
    document: dict


class Attempt(typing.NamedTuple):
    """The result of one attempt; ``may_have_acted`` if it may have had an effect."""

    status: int
    document: dict
    may_have_acted: bool


def fail(exit_code, message):
    """Return an ``Err`` whose document holds only the message."""
    return Err(Failure(exit_code, message, {"detail": message}))


class Client:
    """A client of several entries that prefers the one that answered last."""

    def __init__(
        self, entries, token, http=None, clock=clocks.SYSTEM, sleep=time.sleep
    ):
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S)
        self._entries = list(entries)
        self._token = token
        self._http = http or urllib3.PoolManager(retries=False, timeout=timeout)
        self._wall_ms = clock.wall_ms
        self._sleep = sleep

    def get(self, path, **query):
        """Read: ``Ok(document)`` or ``Err(Failure)``; empty values are omitted."""
        fields = {name: str(value) for name, value in query.items() if value}
        return self._call("GET", path, fields, None, "")

    def change(self, method, path, body=None, key=""):
        """Make a change at most once: ``Ok(document)`` or ``Err(Failure)``."""
        return self._call(method, path, {}, body, key or make_key(self._wall_ms()))

    def _call(self, method, path, fields, body, key):
        headers = {"Authorization": f"Bearer {self._token}"}
        if key:
            headers["Idempotency-Key"] = key
            headers["Alderreach-Asked-Wall-Ms"] = str(asked_wall_ms(key))
        may_have_acted, last = False, None
        for entry in self._attempt_order():
            last = self._attempt(entry, method, path, fields, headers, body)
            if last.status and last.document.get("kind") not in RETRIED_KINDS:
                self._prefer(entry)
                return _result(last)
            may_have_acted = may_have_acted or last.may_have_acted
        return _give_up(last, self._entries, key if may_have_acted else "")

    def _attempt_order(self):
        for number in range(ROUNDS):
            if number:
                self._sleep(ROUND_PAUSE_S)
            yield from list(self._entries)

    def _prefer(self, entry):
        self._entries.remove(entry)
        self._entries.insert(0, entry)

    def _attempt(self, entry, method, path, fields, headers, body):
        data = None if body is None else json.dumps(body).encode()
        try:
            answer = self._http.request(
                method, url(entry, path, fields), body=data, headers=headers
            )
            document = json.loads(answer.data)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            return Attempt(0, {"detail": f"{entry}: {error}"}, False)
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            return Attempt(0, {"detail": f"{entry}: {error}"}, True)
        is_uncertain = document.get("kind") in UNCERTAIN_KINDS
        return Attempt(answer.status, document, is_uncertain)


def path(*parts):
    """Return the path of a resource with each part URL-quoted.

    >>> path("v1", "jobs", "a/b")
    '/v1/jobs/a%2Fb'
    """
    return "".join(f"/{urllib.parse.quote(part, safe='')}" for part in parts)


def make_key(wall_ms):
    """Return a new idempotency key that contains the time it was made.

    The time is part of the change, so a retry must send that of the first attempt.

    >>> asked_wall_ms(make_key(1764700000000))
    1764700000000
    """
    return f"{wall_ms}-{uuid.uuid4().hex}"


def asked_wall_ms(key):
    """Return the time a key was made; 0 for a key that holds none."""
    text = key.partition("-")[0]
    return int(text) if text.isdecimal() and len(text) < WALL_MS_DIGITS else 0


def url(entry, path, fields):
    """Return the URL of a path at an entry."""
    query = urllib.parse.urlencode(fields) if fields else ""
    return f"http://{entry}{path}" + (f"?{query}" if query else "")


def _result(attempt):
    document = attempt.document
    if attempt.status < 300:
        return Ok(document)
    return Err(Failure(_exit_code(document), describe(document), document))


def _exit_code(document):
    kind = document.get("kind")
    if kind in UNREACHABLE_KINDS:
        return EXIT_UNREACHABLE
    return EXIT_BAD_INPUT if kind in BAD_INPUT_KINDS else EXIT_REFUSED


def describe(document):
    """Format a problem document: its title, then each mistake or the detail."""
    lines = [document.get("title", "The entry refused")]
    if document.get("mistakes"):
        for mistake in document["mistakes"]:
            lines.append("  " + ": ".join(text for text in mistake.values() if text))
    elif document.get("detail"):
        lines.append("  " + document["detail"])
    return "\n".join(lines)


def _give_up(last, entries, key):
    if last.status:
        message = describe(last.document)
    else:
        message = (
            f"No entry could be reached ({', '.join(entries)}): "
            f"{last.document['detail']}\n"
            "  Give others by --entry or ALDERREACH_ENTRY."
        )
    if key:
        message += (
            "\n  An attempt may have been accepted. Run it again with"
            f" --idempotency-key {key} to learn it without doubling it."
        )
    document = last.document | ({"idempotency_key": key} if key else {})
    return Err(Failure(EXIT_UNREACHABLE, message, document))
