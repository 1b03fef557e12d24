"""The stand-ins' HTTP server, with a client that fails in the middle of a request."""

import socket
import threading

from tools.standins import http


def test_a_truncated_request_is_not_handled():
    """An entry is killed after it sent the head of a request and before the body.

    A server that handled the request would run one with an empty body, which no client
    sent.
    """
    handled = []
    arrived = threading.Event()

    def handle(request):
        handled.append(request.body)
        arrived.set()
        return 200, {}, b"{}", 2

    with socket.socket() as holder:
        holder.bind(("127.0.0.1", 0))
        port = holder.getsockname()[1]
    server = http.serve(f"127.0.0.1:{port}", handle)
    try:
        head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n"
        with socket.create_connection(("127.0.0.1", port), 5) as truncated:
            truncated.sendall(head)
            truncated.shutdown(socket.SHUT_WR)
            assert truncated.recv(100) == b""
        with socket.create_connection(("127.0.0.1", port), 5) as complete:
            complete.sendall(head + b"{}")
            assert arrived.wait(5)
    finally:
        server.shutdown()
        server.server_close()
    assert handled == [b"{}"]
