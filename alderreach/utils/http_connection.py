"""Connections of the HTTP server, with bounds on time that callers can't stretch.

The server's own timeout holds for each single read and write, so a caller that drips
one byte a second keeps a thread for hours; a hundred of them keep all threads. Here a
whole request, head and body, has to arrive within one span, and a whole answer has to
be taken within another.

A refusal of a request whose body has not been read is followed by the end of the
stream and a short wait for the caller's: closing at once would make the kernel reset
the connection, and the caller would see that instead of the refusal.
"""

import io
import socket
import typing

from cheroot import makefile, server

MAX_BUFFERED_BYTES = 32_768
LINGER_TIMEOUT_MS = 1000
LINGER_CHUNK_BYTES = 65536
MAX_LINGER_BYTES = 16 * 1024 * 1024


class Refusal(typing.NamedTuple):
    """The answer to bytes that are no request the server can hand on."""

    status: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


class _TimedSocket(io.RawIOBase):
    """A socket as a raw file whose reads end together at a time set before."""

    def __init__(self, sock, clock):
        self._socket = sock
        self._clock = clock
        self._deadline_ms = 0
        self.may_read = True

    def start_deadline(self, duration_ms):
        """Let all reads from now on take so long together."""
        self._deadline_ms = self._clock.monotonic_ms() + duration_ms

    def readable(self):
        return True

    def readinto(self, buffer):
        """Read what is there; None tells the buffer above that nothing is."""
        if not self.may_read:
            return None
        remaining_ms = self._deadline_ms - self._clock.monotonic_ms()
        if remaining_ms <= 0:
            raise TimeoutError("timed out")
        self._socket.settimeout(remaining_ms / 1000)
        return self._socket.recv_into(buffer)


class _Reader(io.BufferedReader):
    """The buffered reader with the two members the server asks for beyond a file's."""

    bytes_read = 0

    def has_data(self):
        """Whether bytes of a next request were read already."""
        self.raw.may_read = False
        try:
            return bool(self.peek(1))
        finally:
            self.raw.may_read = True


class _Writer(makefile.StreamWriter):
    """A writer that gives a caller one span for a whole answer."""

    def __init__(self, sock, clock, timeout_ms):
        super().__init__(sock, "wb")
        self._socket = sock
        self._clock = clock
        self._timeout_ms = timeout_ms
        self._deadline_ms = None
        self._is_buffering = False

    def start_buffering(self):
        """Collect a small answer, so that head and body go out in one call.

        Each call of the kernel lets another thread take the interpreter lock.
        """
        self._is_buffering = True

    def flush_buffered(self):
        """Send what was held."""
        self._is_buffering = False
        with self._write_lock:
            self._flush_unlocked()

    def start_answer(self):
        """The span starts with the first byte of the next answer."""
        self._deadline_ms = None
        self._is_buffering = False

    def _flush_unlocked(self):
        if not self._write_buf or (
            self._is_buffering and len(self._write_buf) < MAX_BUFFERED_BYTES
        ):
            return
        now_ms = self._clock.monotonic_ms()
        if self._deadline_ms is None:
            self._deadline_ms = now_ms + self._timeout_ms
        buffered, sent = bytes(self._write_buf), 0
        self._write_buf.clear()
        while sent < len(buffered):
            remaining_ms = self._deadline_ms - self._clock.monotonic_ms()
            if remaining_ms <= 0:
                raise TimeoutError("timed out")
            self._socket.settimeout(remaining_ms / 1000)
            sent += self._socket.send(memoryview(buffered)[sent:])


class _Headers(dict):
    """Headers of one request as they are read; two lengths that differ are refused.

    With the last of two lengths taken, this server and a proxy before it would disagree
    on where a request ends (request smuggling).
    """

    def __setitem__(self, name, value):
        if name == b"Content-Length" and self.get(name, value) != value:
            raise ValueError("two different Content-Length headers")
        super().__setitem__(name, value)


class Request(server.HTTPRequest):
    """A request whose protocol mistakes get the application's kind of answer."""

    def read_request_headers(self):
        """Read the headers; True if they are sound."""
        self.inheaders = _Headers(self.inheaders)
        return super().read_request_headers()

    def simple_response(self, status, msg=""):
        """Answer for the server itself, before the application has seen a request."""
        refuse = self.server.refuse
        if refuse is None:
            super().simple_response(status, msg)
            return
        refusal = refuse(int(str(status)[:3]), msg)
        self.close_connection = True
        lines = [f"HTTP/1.1 {refusal.status}"]
        lines += [f"{name}: {value}" for name, value in refusal.headers]
        lines += [f"Content-Length: {len(refusal.body)}", "Connection: close", "", ""]
        self.conn.must_linger = True
        self.conn.wfile.write("\r\n".join(lines).encode("latin-1") + refusal.body)

    def respond(self):
        """Let the application answer; a fault of it sends nothing of what was held."""
        self.conn.wfile.start_buffering()
        super().respond()
        self.conn.wfile.flush_buffered()

    def send_headers(self):
        """Answer a request whose body was not read whole, and end the connection."""
        if self._has_unread_body():
            self.close_connection = True
            self.conn.must_linger = True
        super().send_headers()

    def _has_unread_body(self):
        if self.chunked_read:
            return not self.rfile.closed
        return getattr(self.rfile, "remaining", 0) != 0


class Connection(server.HTTPConnection):
    """A caller's connection, read and written within bounded time."""

    RequestHandlerClass = Request

    def __init__(self, http_server, sock, _makefile=None):
        super().__init__(http_server, sock)
        clock, timeout_ms = http_server.clock, http_server.idle_ms
        self._timeout_ms = timeout_ms
        self._clock = clock
        self._timed_socket = _TimedSocket(sock, clock)
        self.rfile = _Reader(self._timed_socket)
        self.wfile = _Writer(sock, clock, timeout_ms)
        self.must_linger = False

    def communicate(self):
        """Serve one request; True if the connection stays open."""
        self._timed_socket.start_deadline(self._timeout_ms)
        self.wfile.start_answer()
        stays_open = super().communicate()
        if not stays_open and self.must_linger:
            self._linger()
        return stays_open

    def _linger(self):
        """Read away what the caller still sends, for a bounded time and amount."""
        deadline_ms = self._clock.monotonic_ms() + LINGER_TIMEOUT_MS
        remaining_bytes = MAX_LINGER_BYTES
        try:
            self.socket.shutdown(socket.SHUT_WR)
            while remaining_bytes > 0:
                remaining_ms = deadline_ms - self._clock.monotonic_ms()
                if remaining_ms <= 0:
                    return
                self.socket.settimeout(remaining_ms / 1000)
                data = self.socket.recv(LINGER_CHUNK_BYTES)
                if not data:
                    return
                remaining_bytes -= len(data)
        except OSError:
            return
