"""Messages between processes whose open connections are silent."""

import contextlib
import queue

import pytest

from alderreach.core.generated import common
from alderreach.utils import clocks, link_health, transport
from tests import entry_fakes
from tools import cell, relay

RULES = link_health.Rules(confirm_ms=250, longest_ms=3000)
BOTH_WAYS = (("a", "b"), ("b", "a"))


class Pair:
    """Processes ``a`` and ``b``, whose links in both directions go through a relay."""

    def __init__(self, stack):
        self.relay = relay.Relay()
        stack.callback(self.relay.close)
        self._dialled = {name: entry_fakes.free_address() for name in ("a", "b")}
        self._inboxes = {name: queue.SimpleQueue() for name in self._dialled}
        self._transports = {}
        self._sent = 0
        for name, dialled in self._dialled.items():
            address = entry_fakes.free_address()
            self.relay.add(f"to {name}", _host_port(dialled), _host_port(address))
            self._transports[name] = self._start(name, address)
            stack.callback(self._transports[name].close)

    def _start(self, name, address):
        return transport.Transport(
            ("cell", name, f"boot of {name}"),
            address,
            self._dialled,
            self._inboxes[name].put,
            clocks.SYSTEM,
            RULES,
        ).start()

    def wait_until_both_receive(self, ways=BOTH_WAYS):
        """Send on these ways until a message sent from now on has arrived on each."""
        first = self._sent + 1
        arrived = set()

        def has_arrived():
            for sender, receiver in ways:
                self._send(sender, receiver)
                if self._newest(receiver) >= first:
                    arrived.add((sender, receiver))
            return arrived == set(ways)

        cell.wait_until(has_arrived, "messages arrive both ways")

    def _send(self, sender, receiver):
        self._sent += 1
        message = common.StatusQuery(str(self._sent))
        self._transports[sender].send(self._dialled[receiver], message)

    def _newest(self, receiver):
        newest = 0
        with contextlib.suppress(queue.Empty):
            while True:
                received = self._inboxes[receiver].get_nowait()
                newest = max(newest, int(received.message.request_id))
        return newest


def _host_port(address):
    host, _, port = address.rpartition(":")
    return host, int(port)


@pytest.fixture
def pair():
    with contextlib.ExitStack() as stack:
        yield Pair(stack)


def test_messages_arrive_again_after_open_connections_went_silent(pair):
    """Guards against a link that is kept since messages come from its peer, while
    nothing sent on it arrives: such a process got no answers until it restarted.
    """
    pair.wait_until_both_receive()
    for silent in (["to a"], ["to b"], ["to a", "to b"], ["to a"]):
        pair.relay.silence(silent)
        pair.wait_until_both_receive()
