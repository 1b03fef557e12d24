"""Messages between processes over real sockets."""

import queue
import socket
import threading

from alderreach.core.generated import cell as cell_messages
from alderreach.core.generated import common
from alderreach.utils import clocks, link_health, transport
from tools import cell

RULES = link_health.Rules(confirm_ms=250, longest_ms=3000)


def free_address():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def make(name, address, inbox, peers=(), clock=clocks.SYSTEM):
    return transport.Transport(
        ("cell", name, "boot"), address, dict(peers), inbox.put, clock, RULES
    ).start()


def test_message_and_reply():
    inbox_a, inbox_b = queue.Queue(), queue.Queue()
    address_a, address_b = free_address(), free_address()
    one, two = make("a", address_a, inbox_a), make("b", address_b, inbox_b)
    try:
        one.send(address_b, common.StatusQuery("r1"))
        received = inbox_b.get(timeout=10)
        two.send(received.reply_address, common.TimelineQuery("r1", 5, "", "", "", ""))
        assert inbox_a.get(timeout=10).message == common.TimelineQuery(
            "r1", 5, "", "", "", ""
        )
    finally:
        one.close()
        two.close()


def test_a_message_for_a_process_that_starts_later_arrives():
    inbox = queue.Queue()
    address = free_address()
    one = make("a", free_address(), queue.Queue())
    one.send(address, common.StatusQuery("early"))
    two = make("b", address, inbox)
    try:
        assert inbox.get(timeout=10).message == common.StatusQuery("early")
    finally:
        one.close()
        two.close()


def test_a_message_for_a_process_that_starts_later_and_sends_first_arrives():
    """Guards against messages that wait for a connection being lost once the peer has
    sent one itself.
    """
    inbox_a, inbox_b = queue.Queue(), queue.Queue()
    address_a, address_b = free_address(), free_address()
    time = clocks.FakeClock()
    one = make("a", address_a, inbox_a, clock=time.clock)
    one.send(address_b, common.StatusQuery("early"))
    cell.wait_until(lambda: one.bytes_sent, "the message waits for a connection")
    time.advance(RULES.confirm_ms)
    two = make("b", address_b, inbox_b, clock=time.clock)
    try:
        two.send(address_a, common.StatusQuery("first"))
        assert inbox_b.get(timeout=10).message == common.StatusQuery("early")
    finally:
        one.close()
        two.close()


def test_messages_to_others_are_sent_after_one_to_an_invalid_address():
    """Guards against a reply address that cannot be dialled ending the send thread."""
    inbox = queue.Queue()
    address = free_address()
    one, two = make("a", free_address(), queue.Queue()), make("b", address, inbox)
    try:
        one.send("no port", common.StatusQuery("lost"))
        one.send(address, common.StatusQuery("r1"))
        assert inbox.get(timeout=10).message == common.StatusQuery("r1")
        assert one.dropped == 1
    finally:
        one.close()
        two.close()


def test_a_probe_from_an_invalid_address_leaves_the_process_able_to_answer_others():
    """Guards against a confirmation that cannot be dialled ending the send thread."""
    inbox_a, inbox_b = queue.Queue(), queue.Queue()
    address_a, address_b = free_address(), free_address()
    one, two = make("a", address_a, inbox_a), make("b", address_b, inbox_b)
    try:
        one.address = "no port"
        one.send(address_b, common.StatusQuery("r1"))
        inbox_b.get(timeout=10)
        one.address = address_a
        cell.wait_until(lambda: two.dropped, "the confirmation is dropped")
        two.send(address_a, common.StatusQuery("r2"))
        assert inbox_a.get(timeout=10).message == common.StatusQuery("r2")
    finally:
        one.close()
        two.close()


def test_links_in_slow_use_both_ways_are_kept():
    """Guards against two processes replacing links because the other has done so."""
    inbox_a, inbox_b = queue.Queue(), queue.Queue()
    address_a, address_b = free_address(), free_address()
    time = clocks.FakeClock()
    one = make("a", address_a, inbox_a, clock=time.clock)
    two = make("b", address_b, inbox_b, clock=time.clock)
    try:
        for _message in range(5):
            one.send(address_b, common.StatusQuery("r1"))
            inbox_b.get(timeout=10)
            time.advance(200)
            two.send(address_a, common.StatusQuery("r2"))
            inbox_a.get(timeout=10)
            time.advance(200)
        assert one.links.replaced_for_peer + two.links.replaced_for_peer == 0
    finally:
        one.close()
        two.close()


def test_a_message_that_can_not_be_encoded_costs_only_itself():
    """Guards against a number from outside that ends the process which passes it on."""
    inbox, address, ended = queue.Queue(), free_address(), threading.Event()
    one = transport.Transport(
        ("cell", "a", "boot"),
        free_address(),
        {},
        queue.Queue().put,
        clocks.SYSTEM,
        RULES,
        on_fault=ended.set,
    ).start()
    two = make("b", address, inbox)
    try:
        row = cell_messages.Heartbeat("w1", 7, 2**127, 0, 0)
        one.send(address, cell_messages.HeartbeatBatch(1, [row]))
        one.send(address, common.StatusQuery("r1"))
        assert inbox.get(timeout=10).message == common.StatusQuery("r1")
        assert one.links.unencodable == 1
        assert not ended.is_set()
    finally:
        one.close()
        two.close()


def test_a_failed_receiving_thread_ends_the_process():
    """Guards against a process that looks healthy and receives nothing any more."""
    ended = threading.Event()

    def fail(received):
        raise LookupError(received.message)

    address = free_address()
    one = make("a", free_address(), queue.Queue())
    two = transport.Transport(
        ("cell", "b", "boot"),
        address,
        {},
        fail,
        clocks.SYSTEM,
        RULES,
        on_fault=ended.set,
    ).start()
    try:
        one.send(address, common.StatusQuery("r1"))
        assert ended.wait(timeout=10)
    finally:
        one.close()
        two.close()
