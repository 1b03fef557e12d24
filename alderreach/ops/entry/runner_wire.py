"""HTTP to runners: sends a request, returns a complete answer or the kind of failure.

A runner may crash while it answers, answer late on a connection that was abandoned, or
send fewer or more bytes than it declared. An answer is accepted only if it echoes this
request, this attempt and this boot of the runner and has exactly the declared length.

``refused``, ``unreachable`` and ``not_sent`` prove that nothing ran: the runner said
so, no connection was established, or the time was over before the runner was called.
The last says nothing about the runner. Once the first byte may have been written,
nothing can be proved, also on a reused connection that the runner had closed. Such an
attempt ends as ``broken``.
"""

import collections
import socket
import threading
import typing
from http import client

import urllib3
from urllib3 import connection, util

from alderreach.core.generated import placer

REQUESTS_PATH = "/v1/requests"
CONNECT_TIMEOUT_MS = 1000
MAX_IDLE_MS = 3000
READ_BYTES = 65536
ANSWERED = "answered"
REFUSED = "refused"
UNREACHABLE = "unreachable"
NOT_SENT = "not_sent"
TIMED_OUT = "timed_out"
BROKEN = "broken"
CONNECTION_ERRORS = (
    OSError,
    ValueError,
    client.HTTPException,
    urllib3.exceptions.HTTPError,
)


class Call(typing.NamedTuple):
    """One attempt of a request."""

    request_id: str
    attempt: int
    content_type: str
    body: bytes
    deadline_ms: int


class Reply(typing.NamedTuple):
    """How an attempt ended; ``result`` is one of the constants above."""

    result: str
    detail: str = ""
    status: int = 0
    content_type: str = ""
    body: bytes = b""


class _IdleConnection(typing.NamedTuple):
    link: connection.HTTPConnection
    since_ms: int


class RunnerWire:
    """Connections to runners, kept for reuse; any thread may call.

    The caller bounds the number of connections to one runner: it never has more
    attempts in progress there than its share of the runner's connections.
    """

    def __init__(self, clock, answer_bytes):
        self._clock = clock
        self._answer_bytes = answer_bytes
        self._lock = threading.Lock()
        self._idle = collections.defaultdict(list)

    def send(self, runner: placer.RunnerView, call: Call) -> Reply:
        """Send one attempt and wait until it ends or its deadline is reached."""
        link = self._pop_idle(runner)
        if link is None:
            link = self._connect(runner, call)
        if isinstance(link, Reply):
            return link
        try:
            reply, is_reusable = self._exchange(link, runner, call)
        except (TimeoutError, urllib3.exceptions.TimeoutError):
            reply, is_reusable = Reply(TIMED_OUT), False
        except CONNECTION_ERRORS as error:
            reply, is_reusable = Reply(BROKEN, repr(error)), False
        if is_reusable:
            self._keep_idle(runner, link)
        else:
            link.close()
        return reply

    def forget(self, runner_key):
        """Close the idle connections to a removed runner; see ``key_of``."""
        with self._lock:
            idle = self._idle.pop(runner_key, [])
        for idle_connection in idle:
            idle_connection.link.close()

    def close(self):
        """Close all idle connections."""
        for key in list(self._idle):
            self.forget(key)

    def _pop_idle(self, runner):
        """Return a connection used recently enough that the runner has kept it open."""
        now_ms = self._clock.monotonic_ms()
        while True:
            with self._lock:
                idle = self._idle.get(key_of(runner))
                idle_connection = idle.pop() if idle else None
            if idle_connection is None:
                return None
            is_fresh = now_ms - idle_connection.since_ms <= MAX_IDLE_MS
            if is_fresh and idle_connection.link.is_connected:
                return idle_connection.link
            idle_connection.link.close()

    def _keep_idle(self, runner, link):
        with self._lock:
            idle = self._idle[key_of(runner)]
            idle.append(_IdleConnection(link, self._clock.monotonic_ms()))
            surplus = idle.pop(0) if len(idle) > runner.connections else None
        if surplus is not None:
            surplus.link.close()

    def _connect(self, runner, call):
        host, _, port = runner.address.rpartition(":")
        remaining_ms = call.deadline_ms - self._clock.monotonic_ms()
        if remaining_ms <= 0:
            return Reply(NOT_SENT, "no time left to connect")
        timeout_s = min(remaining_ms, CONNECT_TIMEOUT_MS) / 1000
        link = connection.HTTPConnection(host, int(port), timeout=timeout_s)
        try:
            link.connect()
        except (OSError, urllib3.exceptions.HTTPError) as error:
            link.close()
            return Reply(UNREACHABLE, repr(error))
        return link

    def _exchange(self, link, runner, call):
        remaining_ms = call.deadline_ms - self._clock.monotonic_ms()
        if remaining_ms <= 0:
            return Reply(NOT_SENT, "no time left to send"), False
        link.sock.settimeout(remaining_ms / 1000)
        headers = {
            "Content-Type": call.content_type,
            "Alderreach-Request-Id": call.request_id,
            "Alderreach-Attempt": str(call.attempt),
            "Alderreach-Boot-Id": runner.boot_id,
            "Alderreach-Deadline-Ms": str(remaining_ms),
        }
        link.request(
            "POST",
            REQUESTS_PATH,
            body=call.body,
            headers=headers,
            preload_content=False,
            decode_content=False,
        )
        response = link.getresponse()
        fault = self._check_headers(response, runner, call)
        if fault:
            return Reply(BROKEN, fault), False
        length = int(response.headers["Content-Length"])
        body = self._read(link, response, length, call)
        if body is None:
            return Reply(BROKEN, "the answer's length is not the one it names"), False
        is_reusable = response.headers.get("Connection", "").lower() != "close"
        if _is_refusal(response):
            return Reply(REFUSED, body.decode(errors="replace")[:200]), is_reusable
        content_type = response.headers.get("Content-Type", "")
        return (
            Reply(ANSWERED, "", response.status, content_type, body),
            is_reusable,
        )

    def _check_headers(self, response, runner, call):
        """Return the error in an answer's headers, or an empty string."""
        expected = {
            "Alderreach-Request-Id": call.request_id,
            "Alderreach-Attempt": str(call.attempt),
            "Alderreach-Boot-Id": runner.boot_id,
        }
        if _is_refusal(response):
            # A runner refuses a call meant for another boot and names its own boot.
            del expected["Alderreach-Boot-Id"]
        for name, value in expected.items():
            if response.headers.get(name) != value:
                return f"{name} is {response.headers.get(name)!r}, not {value!r}"
        if "Transfer-Encoding" in response.headers:
            return "the answer names no length"
        length = response.headers.get("Content-Length", "")
        if not length.isascii() or not length.isdigit():
            return f"Content-Length is {length!r}"
        if int(length) > self._answer_bytes:
            return f"the answer has {length} bytes"
        return ""

    def _read(self, link, response, length, call):
        """Return the body, or None if fewer or more bytes came than were declared.

        Surplus bytes would be read as the start of the next answer. They are found in
        the reader's buffer while one byte of the body is still unread, or in the socket
        after it.
        """
        chunks, remaining = [], length
        while remaining > 1:
            self._set_read_timeout(link, call)
            chunk = response.read(min(READ_BYTES, remaining - 1))
            if not chunk:
                return None
            chunks.append(chunk)
            remaining -= len(chunk)
        self._set_read_timeout(link, call)
        reader = response._fp.fp
        if remaining == 0 and link.sock is not None:
            # An empty body needs no waiting.
            link.sock.settimeout(0)
        has_surplus = reader is not None and len(reader.peek(1)) > remaining
        chunks.append(response.read(1))
        body = b"".join(chunks)
        if has_surplus or len(body) != length or _has_input(link.sock):
            return None
        return body

    def _set_read_timeout(self, link, call):
        """Set the timeout of the next read from the socket to the remaining time."""
        remaining_ms = call.deadline_ms - self._clock.monotonic_ms()
        if remaining_ms <= 0:
            raise TimeoutError
        if link.sock is not None:
            link.sock.settimeout(remaining_ms / 1000)


def key_of(runner):
    """Return the key of a runner's connections; a restarted runner gets new ones."""
    return (runner.runner_id, runner.boot_id, runner.address)


def _is_refusal(response):
    outcome = response.headers.get("Alderreach-Outcome", "")
    return response.status == 503 and outcome == "not-run"


def _has_input(sock):
    """Whether a socket has unread bytes; end of stream does not count."""
    if sock is None or not util.wait_for_read(sock, timeout=0):
        return False
    return len(sock.recv(1, socket.MSG_PEEK)) > 0
