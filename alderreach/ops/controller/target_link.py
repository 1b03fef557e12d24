"""Calls to one worker: its orders in turn, and beside them one look at a time.

All workers' calls share one event loop, so a worker that hangs holds up nobody else and
an idle one costs no thread. This module only calls and reports; what is sent and when
is the leader's task to decide.
"""

import asyncio
import collections
import typing

from absl import logging


class Calls(typing.NamedTuple):
    """How a worker is called; given by whoever speaks its protocol.

    ``order(session, record, order)`` returns an ``orders.OrderResult`` and
    ``poll(session, record, poll)`` an ``orders.PollResult``; both are coroutines and
    raise nothing. ``open_session(address)`` makes the connection that calls of one kind
    share, an object with ``close()``.
    """

    open_session: typing.Callable
    order: typing.Callable
    poll: typing.Callable


class OrderAnswered(typing.NamedTuple):
    """Mail for the leader's task: how an order ended."""

    epoch: int
    target_id: str
    order: typing.Any
    result: typing.Any


class PollAnswered(typing.NamedTuple):
    """Mail for the leader's task: how a poll ended."""

    epoch: int
    target_id: str
    poll: typing.Any
    result: typing.Any


class TargetLink:
    """Calls of one leader to one worker; ``put`` takes their mail.

    ``post(act)`` has something run on the event loop.
    """

    def __init__(self, record, epoch, calls, put, post):
        self._post = post
        lane = lambda call, answered: _Lane(record, epoch, calls, call, answered, put)
        self._orders = lane(calls.order, OrderAnswered)
        self._polls = lane(calls.poll, PollAnswered)

    def order(self, order):
        """Queue a Start, Stop or Pace."""
        self._post(lambda: self._orders.add(order))

    def poll(self, poll):
        """Queue a Poll; one at a time."""
        self._post(lambda: self._polls.add(poll))

    def close(self):
        """Drop what is queued, and end after the calls under way."""
        self._post(self._orders.close)
        self._post(self._polls.close)


class _Lane:
    """Calls of one kind, one after the other; used on the event loop only."""

    def __init__(self, record, epoch, calls, call, answered, put):
        self._record = record
        self._epoch = epoch
        self._open_session = calls.open_session
        self._call = call
        self._answered = answered
        self._put = put
        self._queue = collections.deque()
        self._session = None
        self._task = None
        self._is_closed = False

    def add(self, item):
        self._queue.append(item)
        if self._task is None and not self._is_closed:
            self._task = asyncio.get_running_loop().create_task(self._serve())

    def close(self):
        self._is_closed = True
        self._queue.clear()
        if self._task is None:
            self._close_session()

    async def _serve(self):
        try:
            if self._session is None:
                self._session = self._open_session(self._record.address)
            while self._queue:
                item = self._queue.popleft()
                result = await self._call(self._session, self._record, item)
                self._put(
                    self._answered(self._epoch, self._record.target_id, item, result)
                )
        except Exception:
            logging.exception("fault while calling %s", self._record.target_id)
        finally:
            self._task = None
            if self._is_closed:
                self._close_session()

    def _close_session(self):
        if self._session is not None:
            self._session.close()
