"""The relay that injects network faults keeps what it promises to its users."""

import contextlib
import socket
import threading

import pytest

from tools import cell
from tools import relay as relay_module

WAIT_S = 10


def _relayed_server(stack):
    """A listening socket, a relay to it and the address to connect to."""
    server = stack.enter_context(socket.create_server(("127.0.0.1", 0)))
    free = stack.enter_context(socket.create_server(("127.0.0.1", 0)))
    listen = free.getsockname()
    free.close()
    relay = relay_module.Relay()
    stack.callback(relay.close)
    relay.add("link", listen, server.getsockname())
    return server, relay, listen


def test_what_waited_for_a_cut_link_is_lost_by_a_reset():
    """Guards against faults that no network has: a worker got a call that was sent to
    its previous incarnation, on a connection that its sender had given up long before.
    """
    received, is_received = [], threading.Event()

    def serve(server):
        while not is_received.is_set():
            connection = server.accept()[0]
            received.append(connection.recv(100))
            if received[-1] == b"second":
                is_received.set()

    with contextlib.ExitStack() as stack:
        server, relay, listen = _relayed_server(stack)
        thread = threading.Thread(target=serve, args=(server,), daemon=True)
        thread.start()
        relay.cut(["link"])
        with socket.create_connection(listen, timeout=WAIT_S) as first:
            first.sendall(b"first")
            cell.wait_until(lambda: relay.has_connections("link"), "it is accepted")
            relay.reset(["link"])
            with contextlib.suppress(ConnectionResetError):
                assert first.recv(1) == b""
        relay.heal(["link"])
        with socket.create_connection(listen, timeout=WAIT_S) as second:
            second.sendall(b"second")
            assert is_received.wait(WAIT_S)
        thread.join(WAIT_S)
    assert received == [b"second"]


def test_connections_that_were_silenced_forward_nothing_while_new_ones_do():
    """Guards against a fault that heals: a process would recover without dialling."""
    with contextlib.ExitStack() as stack:
        server, relay, listen = _relayed_server(stack)
        old, old_far = _connected(stack, server, listen)
        relay.silence(["link"], (relay_module.OUT,))
        relay.cut(["link"])
        relay.heal(["link"])
        new, new_far = _connected(stack, server, listen)
        old.sendall(b"lost")
        old.shutdown(socket.SHUT_WR)
        new.sendall(b"passes")
        assert new_far.recv(100) == b"passes"
        old_far.sendall(b"back")
        assert old.recv(100) == b"back"
        old_far.settimeout(0.2)
        with pytest.raises(TimeoutError):
            old_far.recv(100)


def _connected(stack, server, listen):
    """A connection through the relay that has forwarded something; both ends of it."""
    near = stack.enter_context(socket.create_connection(listen, timeout=WAIT_S))
    near.sendall(b"hello")
    far = stack.enter_context(server.accept()[0])
    far.settimeout(WAIT_S)
    assert far.recv(100) == b"hello"
    return near, far
