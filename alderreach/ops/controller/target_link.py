"""Calls to one worker, made by two threads of its own, so that no worker delays others.

One thread looks (a call that waits for ends), the other carries starts, stops and
paces, in order. Both only call and report; what is sent and when is the leader's task
to decide. A worker that hangs therefore holds up two idle threads and nothing else.
"""

import queue
import threading
import typing

STOP = object()


class Calls(typing.NamedTuple):
    """How a worker is called; given by whoever speaks its protocol.

    ``order(session, record, order)`` returns an ``orders.OrderResult`` and
    ``look(session, record, look)`` an ``orders.LookResult``; neither raises.
    ``open_session(address)`` makes the connection that the calls of one thread share,
    an object with ``close()``.
    """

    open_session: typing.Callable
    order: typing.Callable
    look: typing.Callable


class OrderAnswered(typing.NamedTuple):
    """Mail for the leader's task: how an order ended."""

    epoch: int
    target_id: str
    order: typing.Any
    result: typing.Any


class LookAnswered(typing.NamedTuple):
    """Mail for the leader's task: how a look ended."""

    epoch: int
    target_id: str
    look: typing.Any
    result: typing.Any


class TargetLink:
    """The two threads of one worker; ``put`` takes their mail."""

    def __init__(self, record, epoch, calls, put):
        self._record = record
        self._epoch = epoch
        self._calls = calls
        self._put = put
        self._orders = queue.SimpleQueue()
        self._looks = queue.SimpleQueue()
        for name, work in (("orders", self._carry_orders), ("looks", self._look_all)):
            threading.Thread(
                target=work, name=f"{name} {record.target_id}", daemon=True
            ).start()

    def order(self, order):
        """Queue a Start, Stop or Pace."""
        self._orders.put(order)

    def look(self, look):
        """Queue a Look; one at a time."""
        self._looks.put(look)

    def close(self):
        """Let both threads end after their present call; the queues are dropped."""
        self._calls = None
        self._orders.put(STOP)
        self._looks.put(STOP)

    def _carry_orders(self):
        self._serve(self._orders, "order", OrderAnswered)

    def _look_all(self):
        self._serve(self._looks, "look", LookAnswered)

    def _serve(self, mailbox, name, answered):
        calls, record = self._calls, self._record
        if calls is None:
            return
        session = calls.open_session(record.address)
        call = getattr(calls, name)
        try:
            while (item := mailbox.get()) is not STOP and self._calls is not None:
                result = call(session, record, item)
                self._put(answered(self._epoch, record.target_id, item, result))
        finally:
            session.close()
