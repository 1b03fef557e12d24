"""The HTTP server's number of threads under different loads."""

import threading
import time
import types

import pytest
from cheroot.workers import threadpool

from alderreach.utils import http_threads

TIMEOUT_S = 10


class Connection:
    """A connection whose request ends when the test says so."""

    def __init__(self):
        self.begun = threading.Event()
        self.may_end = threading.Event()
        self.closed = threading.Event()

    def communicate(self):
        self.begun.set()
        self.may_end.wait(TIMEOUT_S)
        return False

    def close(self):
        self.closed.set()


@pytest.fixture
def pool():
    server = types.SimpleNamespace(stats={"Enabled": False, "Worker Threads": {}})
    server.requests = made = http_threads.GrowingPool(server, 2, 5)
    made.start()
    yield made
    made.stop(timeout=TIMEOUT_S)


def submit(pool, number):
    connections = [Connection() for _ in range(number)]
    for connection in connections:
        pool.put(connection)
    return connections


def test_burst_of_slow_requests_gets_a_thread_each(pool):
    """Guards against a request that waits behind slow ones though threads can be added.

    Pattern: a burst of requests, all of which wait for another process.
    """
    connections = submit(pool, 5)
    assert all(connection.begun.wait(TIMEOUT_S) for connection in connections)
    assert len(pool._threads) == 5
    for connection in connections:
        connection.may_end.set()


def test_requests_beyond_the_limit_are_queued(pool):
    connections = submit(pool, 6)
    assert all(connection.begun.wait(TIMEOUT_S) for connection in connections[:5])
    assert len(pool._threads) == 5
    assert not connections[5].begun.is_set()
    connections[0].may_end.set()
    assert connections[5].begun.wait(TIMEOUT_S)
    for connection in connections:
        connection.may_end.set()


def test_successive_requests_need_no_additional_thread(pool):
    """Guards against a pool that grows with all requests, not only those in progress.

    Pattern: steady traffic that one thread can handle.
    """
    for _ in range(20):
        (connection,) = submit(pool, 1)
        assert connection.begun.wait(TIMEOUT_S)
        connection.may_end.set()
        assert connection.closed.wait(TIMEOUT_S)
        while pool._spare < 2:
            time.sleep(0.001)
    assert len(pool._threads) == 2


def test_idle_threads_end_down_to_the_minimum(monkeypatch):
    """Guards against a process that keeps all threads of its peak load."""
    monkeypatch.setattr(http_threads, "IDLE_S", 0.01)
    server = types.SimpleNamespace(stats={"Enabled": False, "Worker Threads": {}})
    server.requests = pool = http_threads.GrowingPool(server, 2, 5)
    pool.start()
    connections = submit(pool, 5)
    assert all(connection.begun.wait(TIMEOUT_S) for connection in connections)
    threads = list(pool._threads)
    for connection in connections:
        connection.may_end.set()
    while sum(thread.is_alive() for thread in threads) > 2:
        for thread in threads:
            thread.join(0.01)
    assert len(pool._threads) == 2
    assert threadpool.ThreadPool.idle.fget(pool) == 2
    pool.stop(timeout=TIMEOUT_S)
