"""Callers' connections that go silent: nothing comes on them, nor that they closed."""

import contextlib
import os
import socket
import threading

import pytest

from alderreach.utils import http_server
from tests import entry_fakes
from tools import cell

CONNECTIONS = 300
THREADS = 8
LIMITS = http_server.HttpLimits(THREADS, 16384, 1 << 20, idle_ms=300)
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


def serve(_environ, start_response):
    start_response("200 OK", [("Content-Length", "2")])
    return [b"ok"]


def connect(address):
    host, _, port = address.rpartition(":")
    return socket.create_connection((host, int(port)), timeout=10)


def call(link):
    """Send a request; returns whether it was answered."""
    link.sendall(REQUEST)
    return link.recv(4096).startswith(b"HTTP/1.1 200")


@pytest.fixture
def address():
    address = entry_fakes.free_address()
    with contextlib.closing(http_server.HttpServer(address, serve, LIMITS)):
        yield address


def test_silent_connections_are_closed_and_hold_no_threads(address):
    """Guards against a process that runs out of files or threads as connections of its
    callers go silent, between two requests or within one, and stay open.
    """
    descriptors = len(os.listdir("/proc/self/fd"))
    threads = threading.active_count()
    with contextlib.ExitStack() as stack:
        for number in range(CONNECTIONS):
            link = stack.enter_context(connect(address))
            assert call(link)
            if number % 10 == 0:
                link.sendall(REQUEST[:10])
        # The clients' half of the descriptors remains, the server's is closed.
        cell.wait_until(
            lambda: len(os.listdir("/proc/self/fd")) <= descriptors + CONNECTIONS,
            "the server has closed the silent connections",
        )
        assert threading.active_count() <= threads + THREADS
        assert call(stack.enter_context(connect(address)))
