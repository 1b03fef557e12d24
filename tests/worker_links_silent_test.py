"""Calls to a worker whose open connections go silent, while new ones work."""

import contextlib
import queue
import threading
import time
import types
import typing

import pytest

from alderreach.core import orders
from alderreach.ops.controller import order_lanes, target_link, worker_connections
from alderreach.utils import event_loop, http_client, http_server
from tests import entry_fakes
from tools import relay

PATIENCE_S = 10
LIMITS = http_server.HttpLimits(8, 16384, 1 << 20, 60_000)


class Request(typing.NamedTuple):
    """A call to the worker; ``number`` makes it different from others."""

    path: str
    number: int = 0
    timeout_s: float = 3600.0


class Worker:
    """A worker behind a relay, and a leader's link to it.

    It holds requests for ``/held`` until ``release`` is called.
    """

    def __init__(self, stack):
        self._released = threading.Event()
        self.received = queue.SimpleQueue()
        self.messages = queue.SimpleQueue()
        address, relayed = entry_fakes.free_address(), entry_fakes.free_address()
        server = http_server.HttpServer(address, self._serve, LIMITS)
        stack.callback(server.close)
        stack.callback(self.release)
        self._relay = relay.Relay()
        stack.callback(self._relay.close)
        self._relay.add("worker", host_port(relayed), host_port(address))
        loop = event_loop.EventLoop("calls")
        stack.callback(loop.close)
        self.link = target_link.TargetLink(
            types.SimpleNamespace(target_id="w1", address=relayed),
            7,
            target_link.Calls(open_session, call, call),
            self.messages.put,
            loop.post,
            worker_connections.WorkerConnections(10),
        )

    def _serve(self, environ, start_response):
        environ["wsgi.input"].read()
        self.received.put((environ["PATH_INFO"], environ["REMOTE_PORT"]))
        if environ["PATH_INFO"] == "/held":
            self._released.wait(PATIENCE_S)
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    def release(self):
        self._released.set()

    def silence(self):
        self._relay.silence(["worker"])

    def order(self, request):
        """Send an order and wait for the next result, which is returned."""
        self.link.order(request)
        return self.next_outcome()

    def poll(self, request):
        """Send a poll and wait for the next result, which is returned."""
        self.link.poll(request)
        return self.next_outcome()

    def next_outcome(self):
        """The type and the outcome of the next result."""
        message = self.messages.get(timeout=PATIENCE_S)
        return type(message), message.result.outcome

    def next_received(self, path):
        """Wait for a request with this path; return the port that it came from."""
        while True:
            received, port = self.received.get(timeout=PATIENCE_S)
            if received == path:
                return port


def open_session(address):
    return http_client.Client(address, PATIENCE_S)


async def call(session, _record, request):
    """Make a call; that of a stop is for ``/held``, and its fence the timeout."""
    if isinstance(request, orders.Stop):
        request = Request("/held", timeout_s=request.fence)
    try:
        await session.post(request.path, b"{}", {}, request.timeout_s)
        return orders.OrderResult(orders.OK)
    except http_client.UnansweredError:
        return orders.OrderResult(orders.UNKNOWN)


def host_port(address):
    host, _, port = address.rpartition(":")
    return host, int(port)


@pytest.fixture
def worker():
    with contextlib.ExitStack() as stack:
        worker = Worker(stack)
        assert worker.order(Request("/order")) == ORDER_OK
        assert worker.poll(Request("/poll")) == POLL_OK
        yield worker


ORDER_OK = (target_link.OrderAnswered, orders.OK)
ORDER_UNANSWERED = (target_link.OrderAnswered, orders.UNKNOWN)
POLL_OK = (target_link.PollAnswered, orders.OK)
POLL_UNANSWERED = (target_link.PollAnswered, orders.UNKNOWN)


def test_a_poll_takes_a_new_connection_after_an_order_without_an_answer(worker):
    """Guards against a start that waits for one timeout after the other: its own, and
    that of the poll whose answer would show that the worker can be reached again.
    """
    worker.silence()
    assert worker.order(Request("/order", 2, 0.1)) == ORDER_UNANSWERED
    assert worker.poll(Request("/poll", 2)) == POLL_OK
    assert worker.order(Request("/order", 3)) == ORDER_OK


def test_an_order_takes_a_new_connection_after_a_poll_without_an_answer(worker):
    """Guards against a start or stop that is lost on a connection that went silent
    together with the one on which the worker has just been polled without an answer.
    """
    worker.silence()
    assert worker.poll(Request("/poll", 2, 0.1)) == POLL_UNANSWERED
    assert worker.order(Request("/order", 2)) == ORDER_OK
    assert worker.poll(Request("/poll", 3)) == POLL_OK


def test_a_held_poll_fails_with_an_order_without_an_answer(worker):
    """Guards against starts and ends that wait until a poll, which the worker was to
    hold for a second, times out on a connection that went silent long before.
    """
    worker.link.poll(Request("/held"))
    worker.next_received("/held")
    worker.silence()
    assert worker.order(Request("/order", 2, 0.1)) == ORDER_UNANSWERED
    assert worker.next_outcome() == POLL_UNANSWERED
    assert worker.poll(Request("/poll", 2)) == POLL_OK


def test_stops_reach_a_worker_soon_whose_connections_are_all_silent(worker):
    """Guards against runs of a cancelled job that go on for longer than customers are
    promised (3 s), as each stop takes another connection that went silent.
    """
    for index in range(order_lanes.MAX_LANES):
        worker.link.order(orders.Stop(f"j1.0.0.{index}", 1, 3600))
    for _index in range(order_lanes.MAX_LANES):
        worker.next_received("/held")
    worker.release()
    for _index in range(order_lanes.MAX_LANES):
        assert worker.next_outcome() == ORDER_OK
    worker.silence()
    deadline_s = time.monotonic() + 3
    stops = [orders.Stop(f"j2.0.0.{index}", 1, 0.5) for index in range(40)]
    for stop in stops:
        worker.link.order(stop)
    while stops:
        patience_s = max(0, deadline_s - time.monotonic())
        message = worker.messages.get(timeout=patience_s)
        if message.result.outcome == orders.OK:
            stops.remove(message.order)
        else:
            worker.link.order(message.order)


def test_a_connection_with_an_answer_since_a_call_was_sent_is_kept(worker):
    """Guards against connections that are opened needlessly: a worker that is slow with
    one order answers polls, so the connection of these works.
    """
    first_port = worker.next_received("/poll")
    worker.link.order(Request("/held", 1, 2.0))
    worker.next_received("/held")
    assert worker.poll(Request("/poll", 2)) == POLL_OK
    assert worker.next_received("/poll") == first_port
    assert worker.next_outcome() == ORDER_UNANSWERED
    assert worker.poll(Request("/poll", 3)) == POLL_OK
    assert worker.next_received("/poll") == first_port


def test_an_order_in_progress_keeps_its_connection(worker):
    """Guards against blame for a crash: an order counts as sent to a worker that may
    have crashed if its connection is lost before the answer.
    """
    worker.link.order(Request("/held"))
    worker.next_received("/held")
    assert worker.poll(Request("/held", 2, 0.1)) == POLL_UNANSWERED
    assert worker.poll(Request("/poll", 2)) == POLL_OK
    assert worker.messages.empty()
