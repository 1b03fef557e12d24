"""A proxy in front of a runner, which holds an order to start and delivers it late.

It forwards every call and its answer. A held call gets no answer, and what was sent is
delivered by ``deliver``, like a call that the network has held up.
"""

import http.client
import http.server
import threading
import time

START_PATH = "/-/run-start"
# A held call gets no answer in this time; its caller has given it up long since.
HOLD_S = 30
TIMEOUT_S = 5


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def do_POST(self):
        """Forward a call, or hold it."""
        owner = self.server.owner
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        if owner.takes(self.path, dict(self.headers), body):
            time.sleep(HOLD_S)
            self.close_connection = True
            return
        try:
            status, data = owner.forward(self.path, dict(self.headers), body)
        except (OSError, http.client.HTTPException):
            self.close_connection = True
            return
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def log_message(self, format, *arguments):
        """Log nothing."""


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        """Ignore connections that the caller has closed."""


class Proxy:
    """The proxy of one runner; ``held`` is the call that it holds, or None."""

    def __init__(self, address, host, port, record):
        self._target, self._record = (host, port), record
        self._lock = threading.Lock()
        self.holds_next_start = False
        self.held = None
        self._server = _Server((address, port), _Handler)
        self._server.owner = self
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def close(self):
        """Stop forwarding."""
        self._server.shutdown()
        self._server.server_close()

    def takes(self, path, headers, body):
        """Whether a call is held from now on."""
        with self._lock:
            if path != START_PATH or not self.holds_next_start:
                return False
            self.holds_next_start = False
            self.held = (path, headers, body)
        self._record.write(f"proxy of {self._target[0]}: holds {path} {body.decode()}")
        return True

    def forward(self, path, headers, body):
        """Send a call to the runner; returns its status and body."""
        connection = http.client.HTTPConnection(*self._target, timeout=TIMEOUT_S)
        try:
            connection.request("POST", path, body, headers)
            response = connection.getresponse()
            return response.status, response.read()
        finally:
            connection.close()

    def deliver(self):
        """Deliver the held call; nobody waits for its answer any more."""
        self._record.write(f"proxy of {self._target[0]}: delivers the held call")
        answer = self.forward(*self.held)
        self._record.write(f"proxy of {self._target[0]}: the runner answered {answer}")
