"""Requests to the leader over connections that are all silent."""

import contextlib

import pytest

from alderreach.core import codec
from alderreach.core.generated import cell as messages
from alderreach.ops import leader_calls
from alderreach.ops.controller import requests
from alderreach.platform import callers
from alderreach.utils import clocks, link_health, transport
from tests import entry_fakes
from tools import cell, relay

# As in deploy/.
RULES = link_health.Rules(confirm_ms=250, longest_ms=3000)
FRONTEND, LEADER = "f1", "k1"
CONTROLLERS = (LEADER, "k2", "k3", "k4")
REQUEST = messages.ReadJob("h", "/q/5c0e")
EPOCH = 7
# Callers who name no deadline wait for about this time.
TIMEOUT_MS = callers.DEFAULT_DEADLINE_MS - callers.DEADLINE_MARGIN_MS


class Cell:
    """A frontend's calls to four controllers, whose links all go through a relay."""

    def __init__(self, stack):
        self.relay = relay.Relay()
        stack.callback(self.relay.close)
        self._addresses = {
            name: entry_fakes.free_address() for name in (FRONTEND, *CONTROLLERS)
        }
        self._answered_by = set()
        self._transports = {}
        for name in self._addresses:
            self._transports[name] = self._start(name)
            stack.callback(self._transports[name].close)
        self.calls = leader_calls.LeaderCalls(
            FRONTEND,
            lambda: [self._addresses[name] for name in CONTROLLERS],
            lambda: False,
            self._transports[FRONTEND].send,
            clocks.SYSTEM,
            lambda kind, **fields: None,
        )

    def _start(self, name):
        own, dialled = entry_fakes.free_address(), self._addresses[name]
        self.relay.add(f"to {name}", host_port(dialled), host_port(own))
        return transport.Transport(
            ("cell", name, f"boot of {name}"),
            own,
            self._addresses,
            lambda received: self._deliver(name, received),
            clocks.SYSTEM,
            RULES,
        ).start()

    def _deliver(self, name, received):
        request = received.message
        if name == FRONTEND:
            self._answered_by.add(received.sender)
            self.calls.deliver(request)
            return
        reply = messages.CellReply(
            request.request_id, "not_leader", self._addresses[LEADER], 0, b""
        )
        if name == LEADER:
            payload = codec.pack(requests.answer(requests.STATE, "running"))
            reply = reply._replace(status="answered", epoch=EPOCH, payload=payload)
        self._transports[name].send(received.reply_address, reply)

    def call(self):
        """Send a request; returns whether it was answered."""
        deadline_ms = clocks.SYSTEM.monotonic_ms() + TIMEOUT_MS
        return self.calls.call(REQUEST, deadline_ms).answer is not None

    def use_all_links(self):
        """Have each controller answer the frontend."""
        for name in CONTROLLERS:
            request = messages.CellRequest(f"to {name}", b"")
            self._transports[FRONTEND].send(self._addresses[name], request)
        cell.wait_until(
            lambda: self._answered_by == set(CONTROLLERS), "all controllers answer"
        )


def host_port(address):
    host, _, port = address.rpartition(":")
    return host, int(port)


@pytest.fixture
def links():
    with contextlib.ExitStack() as stack:
        yield Cell(stack)


@pytest.mark.parametrize("direction", ["requests", "replies", "both"])
def test_a_call_reaches_the_leader_over_links_that_were_all_silent(links, direction):
    """Guards against requests that get no answer in time, as each attempt loses the
    first message on another silent link, or its reply.
    """
    links.use_all_links()
    to_frontend = [f"to {FRONTEND}"] if direction != "requests" else []
    to_controllers = [f"to {name}" for name in CONTROLLERS]
    links.relay.silence(
        to_frontend + (to_controllers if direction != "replies" else [])
    )
    assert links.call()
