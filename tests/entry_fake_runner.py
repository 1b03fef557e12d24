"""A fake runner on a raw socket whose responses a test writes byte by byte."""

import contextlib
import socket
import socketserver
import threading
import typing

from alderreach.core.generated import placer

DOMAIN = "urubici"


class RunnerRequest(typing.NamedTuple):
    headers: dict
    body: bytes


class FakeRunner:
    """A runner on a raw socket; ``behave(request)`` returns the bytes of the response.

    If it returns None, the connection is closed without a response.
    """

    def __init__(self, stack, runner_id="runner-1", behave=None, **view):
        self.behave = behave or succeed
        self.requests = []
        self.connections = 0
        self.closes_after_answer = False
        self.closed = 0
        runner = self

        class Handler(socketserver.StreamRequestHandler):
            disable_nagle_algorithm = True

            def handle(self):
                runner.connections += 1
                while runner.serve_one(self.rfile, self.wfile):
                    if runner.closes_after_answer:
                        break

            def finish(self):
                super().finish()
                with contextlib.suppress(OSError):
                    self.connection.shutdown(socket.SHUT_RDWR)
                runner.closed += 1

        server = socketserver.ThreadingTCPServer(
            ("127.0.0.1", 0), Handler, bind_and_activate=False
        )
        server.daemon_threads = True
        server.request_queue_size = 64
        server.server_bind()
        server.server_activate()
        threading.Thread(target=server.serve_forever, args=(0.02,), daemon=True).start()
        stack.callback(server.server_close)
        stack.callback(server.shutdown)
        self.view = placer.RunnerView(
            runner_id=runner_id,
            boot_id=view.get("boot_id", "boot-1"),
            service=view.get("service", "closures"),
            address=f"127.0.0.1:{server.server_address[1]}",
            vm=runner_id,
            rack="rack-1",
            failure_domain=view.get("failure_domain", DOMAIN),
            slots=view.get("slots", 8),
            connections=view.get("connections", 64),
            state="ready",
        )

    def serve_one(self, reader, writer):
        try:
            if not reader.readline():
                return False
            headers = {}
            while line := reader.readline().strip():
                name, _, value = line.decode().partition(":")
                headers[name.title()] = value.strip()
            body = reader.read(int(headers.get("Content-Length", 0)))
            request = RunnerRequest(headers, body)
            self.requests.append(request)
            answer = self.behave(request)
            if answer is None:
                return False
            writer.write(answer)
        except OSError:
            return False
        return True


def answer(request, body, status="200 OK", length=None, **headers):
    """Return a response that echoes a request's headers; ``headers`` replace them."""
    names = ("Alderreach-Request-Id", "Alderreach-Attempt", "Alderreach-Boot-Id")
    lines = {name: request.headers[name] for name in names}
    lines["Content-Type"] = "application/json"
    lines["Content-Length"] = str(len(body) if length is None else length)
    lines |= {name.replace("_", "-"): value for name, value in headers.items()}
    head = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
    return f"HTTP/1.1 {status}\r\n{head}\r\n".encode() + body


def succeed(request):
    return answer(request, b'{"open": true}')


def refuse(request):
    return answer(
        request, b"{}", "503 Service Unavailable", Alderreach_Outcome="not-run"
    )
