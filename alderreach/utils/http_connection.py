"""Connections of the HTTP server, with deadlines for complete requests and answers.

The server's own timeout applies to each single read and write, so a caller that sends
one byte a second occupies a thread for hours, and a hundred such callers occupy all
threads. Here a complete request, head and body, has to arrive before one deadline, and
the caller has to read a complete answer before another.

If a request is refused before its body was read, the connection is shut down for
writing, and the server waits for a short time for the caller to close it too. If it
closed the connection at once, the kernel would reset it, and the caller would see the
reset instead of the refusal.
"""

import io
import socket
import typing

from cheroot import errors, makefile, server

MAX_BUFFERED_BYTES = 32_768
LINGER_TIMEOUT_MS = 1000
LINGER_CHUNK_BYTES = 65536
MAX_LINGER_BYTES = 16 * 1024 * 1024


class Refusal(typing.NamedTuple):
    """The answer to bytes that the server can't parse into a valid request."""

    status: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


def is_body_too_large(error):
    """Whether an exception while reading a body says that it exceeds the limit.

    The server raises either of two for chunked bodies, one of them a plain OSError.
    """
    is_plain = type(error) is OSError and error.errno is None
    return is_plain or isinstance(error, errors.MaxSizeExceeded)


class _TimedSocket(io.RawIOBase):
    """A socket as a raw file with one deadline for a series of reads."""

    def __init__(self, sock, clock):
        self._socket = sock
        self._clock = clock
        self._deadline_ms = 0
        self.may_read = True

    def start_timeout(self, duration_ms):
        """Set the deadline of all following reads to ``duration_ms`` from now."""
        self._deadline_ms = self._clock.monotonic_ms() + duration_ms

    def readable(self):
        return True

    def readinto(self, buffer):
        """Read available bytes; None tells the buffered reader that there are none."""
        if not self.may_read:
            return None
        remaining_ms = self._deadline_ms - self._clock.monotonic_ms()
        if remaining_ms <= 0:
            raise TimeoutError("timed out")
        self._socket.settimeout(remaining_ms / 1000)
        return self._socket.recv_into(buffer)


class _Reader(io.BufferedReader):
    """A buffered reader with the two additional members that the server needs."""

    bytes_read = 0

    def has_data(self):
        """Whether bytes of the next request were already read."""
        self.raw.may_read = False
        try:
            return bool(self.peek(1))
        finally:
            self.raw.may_read = True


class _Writer(makefile.StreamWriter):
    """A writer with one deadline for a complete answer."""

    def __init__(self, sock, clock, timeout_ms):
        super().__init__(sock, "wb")
        self._socket = sock
        self._clock = clock
        self._timeout_ms = timeout_ms
        self._deadline_ms = None
        self._is_buffering = False

    def start_buffering(self):
        """Buffer a small answer, so that head and body are sent in one system call.

        During each system call another thread may acquire the interpreter lock.
        """
        self._is_buffering = True

    def flush_buffered(self):
        """Send the buffered bytes."""
        self._is_buffering = False
        with self._write_lock:
            self._flush_unlocked()

    def start_answer(self):
        """Reset the deadline; it is set again at the first byte of the next answer."""
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
    """Headers of one request; two different Content-Length headers are refused.

    If the last one were used, this server and a proxy in front of it could disagree on
    where a request ends (request smuggling). Repeated Authorization headers are joined
    into a value that is no valid key, so that none of them is chosen over the others.
    """

    def __setitem__(self, name, value):
        if name == b"Content-Length" and self.get(name, value) != value:
            raise ValueError("two different Content-Length headers")
        if name == b"Authorization" and name in self:
            value = self[name] + b", " + value
        super().__setitem__(name, value)


class Request(server.HTTPRequest):
    """A request whose protocol errors are answered in the application's format."""

    def read_request_headers(self):
        """Read the headers; returns whether they are valid."""
        self.inheaders = _Headers(self.inheaders)
        return super().read_request_headers()

    def simple_response(self, status, msg=""):
        """Answer from the server itself, before the application gets the request."""
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
        """Let the application answer; if it raises, buffered bytes are not sent."""
        self.conn.wfile.start_buffering()
        super().respond()
        self.conn.wfile.flush_buffered()

    def send_headers(self):
        """Send the headers; if the body was not read in full, end the connection."""
        if self._has_unread_body():
            self.close_connection = True
            self.conn.must_linger = True
        super().send_headers()

    def _has_unread_body(self):
        if self.chunked_read:
            return not self.rfile.closed
        return getattr(self.rfile, "remaining", 0) != 0


class Connection(server.HTTPConnection):
    """A caller's connection, with deadlines for reading and writing."""

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
        """Serve one request; returns whether the connection stays open."""
        self._timed_socket.start_timeout(self._timeout_ms)
        self.wfile.start_answer()
        stays_open = super().communicate()
        if not stays_open and self.must_linger:
            self._linger()
        return stays_open

    def _linger(self):
        """Discard what the caller still sends, for a bounded time and size."""
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
