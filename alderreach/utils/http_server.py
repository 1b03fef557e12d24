"""HTTP listeners, served by CherryPy's server (cheroot).

Handlers on hot paths are plain WSGI callables, since a CherryPy dispatcher needs nearly
three times the processor time of a callable (docs/MEASUREMENTS.md). The server enforces
the limits on headers, bodies and slow callers, which come from the settings.
"""

import typing

from absl import logging
from cheroot import wsgi

from alderreach.utils import clocks, http_connection, http_threads, tasks

CLOSE_TIMEOUT_S = 5
ACCEPT_BACKLOG = 256
# With the server's default of 10, all other connections would be closed after each
# answer, and each of their requests would need a new connection.
MAX_IDLE_CONNECTIONS = 1000
# Threads that a listener keeps while there are no requests.
MIN_THREADS = 1


class HttpLimits(typing.NamedTuple):
    """Limits of a listener; ``threads`` is the number of concurrent requests."""

    threads: int
    header_bytes: int
    body_bytes: int
    idle_ms: int


def _log_error(message="", level=20, traceback=False):
    """Log the server's messages, including exceptions raised by handlers."""
    logging.log(logging.converter.standard_to_absl(level), "%s", message)
    if traceback:
        logging.exception("exception in an HTTP handler")


class HttpServer:
    """One listener, ``address`` as host:port; open from construction to ``close``.

    ``refuse(status, message)`` returns the ``http_connection.Refusal`` for bytes that
    are not a valid request; without it such bytes are answered in plain text.
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
        self._thread = tasks.make_thread(f"http {address}", self._server.serve)
        self._thread.start()

    def close(self):
        """Stop accepting; requests in progress get ``CLOSE_TIMEOUT_S`` to finish."""
        self._server.stop()
        self._thread.join(timeout=CLOSE_TIMEOUT_S)
