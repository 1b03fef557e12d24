"""HTTP/1.1 requests over one persistent connection, on an event loop.

Callers have to distinguish two kinds of failed requests. If no part of a request was
sent, the server did not execute it. If any part was sent, the server may have executed
it.
"""

import asyncio
import typing

import httptools


class NotSentError(Exception):
    """No connection was established, so the request was not sent."""


class RefusedError(NotSentError):
    """The host refused the connection: it is reachable, but nothing listens there."""


class UnansweredError(Exception):
    """The request was sent, but no complete answer was received."""


class ConnectionLostError(UnansweredError):
    """The connection was lost before the answer; the host was reachable at sending."""


class Response(typing.NamedTuple):
    """A complete answer."""

    status: int
    body: bytes


class _Connection(asyncio.Protocol):
    """One connection; httptools calls the ``on_`` methods while parsing an answer."""

    def __init__(self):
        self.transport = None
        self.is_open = False
        self._answer = None
        self._parser = None
        self._body = []

    def connection_made(self, transport):
        self.transport = transport
        self.is_open = True

    def connection_lost(self, exc):
        self.is_open = False
        self._fail(ConnectionLostError(str(exc or "connection closed")))

    def send(self, data, answer):
        """Send a request; ``answer`` is a future for its Response."""
        self._answer = answer
        self._parser = httptools.HttpResponseParser(self)
        self._body = []
        self.transport.write(data)

    def data_received(self, data):
        if self._parser is None:
            # There is no request in progress, so the connection is out of sync.
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(UnansweredError(str(error)))
            self.abort()

    def on_body(self, body):
        self._body.append(body)

    def on_message_complete(self):
        parser, self._parser = self._parser, None
        if not parser.should_keep_alive():
            self.is_open = False
            self.transport.close()
        if not self._answer.done():
            status = parser.get_status_code()
            self._answer.set_result(Response(status, b"".join(self._body)))

    def abort(self):
        """Close the connection without sending buffered data."""
        self.is_open = False
        self.transport.abort()

    def _fail(self, error):
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(error)


class Client:
    """Requests to one address, one at a time; used on the event loop only.

    >>> async def poll(client):
    ...     return await client.post("/poll", b"{}", {"Name": "w1"}, timeout_s=0.5)
    """

    def __init__(self, address, connect_timeout_s):
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._address = address
        self._connect_timeout_s = connect_timeout_s
        self._connection = None

    async def post(self, path, body, headers, timeout_s):
        """Send a body; returns a Response.

        Raises NotSentError (RefusedError is a subclass) or UnansweredError.

        ``timeout_s`` is for the answer; connecting has its own timeout.
        """
        loop = asyncio.get_running_loop()
        connection = await self._open_connection(loop)
        answer = loop.create_future()
        connection.send(self._request(path, body, headers), answer)
        timer = loop.call_later(timeout_s, _time_out, answer)
        try:
            return await answer
        except BaseException:
            connection.abort()
            raise
        finally:
            timer.cancel()

    def close(self):
        """Close the connection; a request in progress fails."""
        if self._connection is not None:
            self._connection.abort()

    async def _open_connection(self, loop):
        if self._connection is not None and self._connection.is_open:
            return self._connection
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                _transport, self._connection = await loop.create_connection(
                    _Connection, self._host, self._port
                )
        except ConnectionError as error:
            raise RefusedError(str(error)) from error
        except OSError as error:
            raise NotSentError(str(error)) from error
        return self._connection

    def _request(self, path, body, headers):
        lines = [f"POST {path} HTTP/1.1", f"Host: {self._address}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += [f"Content-Length: {len(body)}", "", ""]
        return "\r\n".join(lines).encode("latin-1") + body


def _time_out(answer):
    if not answer.done():
        answer.set_exception(UnansweredError("no answer in time"))
