"""A small HTTP server for stand-in targets: a thread per connection, keep-alive."""

import http.server
import threading


class Request:
    """A request as passed to a handler, with its complete body."""

    def __init__(self, method, path, headers, body):
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body


def serve(address, handle):
    """Serve ``handle(request) -> (status, headers, body, length)`` on host:port.

    ``length`` is the Content-Length to send; if it is larger than the body, the answer
    is truncated and the connection is closed after it. Returns the server.
    """

    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def do_POST(self):
            length = int(self.headers.get("Content-Length", 0))
            body = self.rfile.read(length)
            if len(body) < length:
                # The sender closed the connection within the body, so the request is
                # incomplete and must not be handled.
                self.close_connection = True
                return
            request = Request("POST", self.path, self.headers, body)
            status, headers, answer, announced = handle(request)
            self.send_response(status)
            for name, value in headers.items():
                self.send_header(name, value)
            self.send_header("Content-Length", str(announced))
            self.end_headers()
            self.wfile.write(answer)
            self.close_connection = announced != len(answer)

        def log_message(self, *_arguments):
            return

    class Server(http.server.ThreadingHTTPServer):
        daemon_threads = True
        request_queue_size = 128
        allow_reuse_address = True

    host, _, port = address.rpartition(":")
    server = Server((host, int(port)), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server
