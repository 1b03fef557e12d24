"""Listening HTTP sockets, served by CherryPy's own server (cheroot).

Handlers on hot paths are plain WSGI callables; a measured CherryPy dispatcher costs
nearly three times the processor time of a callable (docs/MEASUREMENTS.md). The limits
on headers, bodies and slow callers are the server's and come from the settings.
"""

import threading
import typing

from absl import logging
from cheroot import wsgi

from alderreach.utils import clocks, http_connection, http_threads

CLOSE_TIMEOUT_S = 5
ACCEPT_BACKLOG = 256
# The server's own default of 10 would end all other connections after each answer, and
# every request of theirs would pay for a new one.
MAX_IDLE_CONNECTIONS = 1000
# Threads that a listener keeps while nobody calls.
MIN_THREADS = 1


class HttpLimits(typing.NamedTuple):
    """What a listener takes at most; ``threads`` is how many requests at once."""

    threads: int
    header_bytes: int
    body_bytes: int
    idle_ms: int


def _log_error(message="", level=20, traceback=False):
    """Take what the server reports; a fault in a handler must not stay unseen."""
    logging.log(logging.converter.standard_to_absl(level), "%s", message)
    if traceback:
        logging.exception("in an HTTP handler")


class HttpServer:
    """One listener, ``address`` as host:port; open from construction to ``close``.

    ``refuse(status, message)`` gives the ``http_connection.Refusal`` for bytes that
    never become a request of the application; without it the answer is plain text.
    """

    def __init__(self, address, application, limits, refuse=None, clock=clocks.SYSTEM):
        host, _, port = address.rpartition(":")
        self._server = wsgi.Server(
            (host, int(port)),
            application,
            request_queue_size=ACCEPT_BACKLOG,
            timeout=limits.idle_ms / 1000,
            shutdown_timeout=CLOSE_TIMEOUT_S,
        )
        self._server.requests = http_threads.GrowingPool(
            self._server, min(MIN_THREADS, limits.threads), limits.threads
        )
        self._server.max_request_header_size = limits.header_bytes
        self._server.max_request_body_size = limits.body_bytes
        self._server.keep_alive_conn_limit = MAX_IDLE_CONNECTIONS
        self._server.ConnectionClass = http_connection.Connection
        self._server.refuse = refuse
        self._server.clock = clock
        self._server.idle_ms = limits.idle_ms
        self._server.error_log = _log_error
        self._server.prepare()
        self._thread = threading.Thread(
            target=self._server.serve, name=f"http {address}", daemon=True
        )
        self._thread.start()

    def close(self):
        """Stop accepting; requests being answered get ``CLOSE_WAIT_S`` to finish."""
        self._server.stop()
        self._thread.join(timeout=CLOSE_TIMEOUT_S)
