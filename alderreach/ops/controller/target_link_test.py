"""Calls to workers that share one event loop."""

import asyncio
import queue
import types

import pytest

from alderreach.ops.controller import target_link, worker_connections
from alderreach.utils import event_loop

PATIENCE_S = 10


class Session:
    def __init__(self, closed):
        self._closed = closed

    def close(self):
        self._closed.put(True)


class World:
    """Links to workers whose calls end when the test lets them."""

    def __init__(self):
        self.loop = event_loop.EventLoop("test calls")
        self.mail = queue.Queue()
        self.closed = queue.Queue()
        self.begun = queue.Queue()
        self.hanging = set()
        calls = target_link.Calls(
            lambda _address: Session(self.closed), self._call, self._call
        )
        connections = worker_connections.WorkerConnections(10)
        self.link = lambda name: target_link.TargetLink(
            types.SimpleNamespace(target_id=name, address="127.0.0.1:1"),
            7,
            calls,
            self.mail.put,
            self.loop.post,
            connections,
        )

    async def _call(self, _session, record, item):
        self.begun.put(item)
        while record.target_id in self.hanging:
            await asyncio.sleep(0.001)
        return f"{item} done"

    def next_mail(self):
        return self.mail.get(timeout=PATIENCE_S)


@pytest.fixture
def world():
    made = World()
    yield made
    made.loop.close()


def test_a_worker_that_hangs_holds_up_nobody_else(world):
    """Guards against calls to a silent worker that delay those to healthy ones."""
    world.hanging.add("w1")
    silent, healthy = world.link("w1"), world.link("w2")
    silent.poll("poll")
    silent.order("start")
    healthy.order("start")
    assert world.next_mail().target_id == "w2"
    world.hanging.clear()
    assert {world.next_mail().target_id, world.next_mail().target_id} == {"w1"}


def test_orders_to_one_worker_keep_their_order(world):
    link = world.link("w1")
    for number in range(20):
        link.order(number)
    answered = [world.next_mail() for _ in range(20)]
    assert [mail.order for mail in answered] == list(range(20))
    assert answered[0] == target_link.OrderAnswered(7, "w1", 0, "0 done")


def test_a_closed_link_drops_what_is_queued_and_its_connections(world):
    world.hanging.add("w1")
    link = world.link("w1")
    link.order("first")
    link.order("second")
    link.poll("poll")
    for _ in range(2):
        world.begun.get(timeout=PATIENCE_S)
    link.close()
    world.hanging.clear()
    told = {world.next_mail().result, world.next_mail().result}
    assert told == {"first done", "poll done"}
    assert world.closed.get(timeout=PATIENCE_S) and world.closed.get(timeout=PATIENCE_S)
    assert world.mail.empty()
