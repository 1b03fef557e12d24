"""Listening HTTP sockets, served by CherryPy's own server (cheroot).

Handlers on hot paths are plain WSGI callables; a measured CherryPy dispatcher costs
nearly three times the processor time of a callable (docs/MEASUREMENTS.md). The limits
on headers, bodies and slow callers are the server's and come from the settings.
"""

import threading
import typing

from cheroot import wsgi

CLOSE_WAIT_S = 5


class HttpLimits(typing.NamedTuple):
    """What a listener takes at most."""

    threads: int
    header_bytes: int
    body_bytes: int
    idle_ms: int


class HttpServer:
    """One listener, ``address`` as host:port; open from construction to ``close``."""

    def __init__(self, address, application, limits):
        host, _, port = address.rpartition(":")
        self._server = wsgi.Server(
            (host, int(port)),
            application,
            numthreads=limits.threads,
            request_queue_size=256,
            timeout=limits.idle_ms / 1000,
            shutdown_timeout=CLOSE_WAIT_S,
        )
        self._server.max_request_header_size = limits.header_bytes
        self._server.max_request_body_size = limits.body_bytes
        self._server.prepare()
        self._thread = threading.Thread(
            target=self._server.serve, name=f"http {address}", daemon=True
        )
        self._thread.start()

    def close(self):
        """Stop accepting; requests being answered get ``CLOSE_WAIT_S`` to finish."""
        self._server.stop()
        self._thread.join(timeout=CLOSE_WAIT_S)
