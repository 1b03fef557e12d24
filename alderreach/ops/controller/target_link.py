"""Calls to one worker: orders one after the other and, concurrently, one poll.

After an order without an answer, starts that wait behind it are returned, not sent.

The calls to all workers share one event loop, so a worker that hangs delays no other
worker and an idle worker needs no thread. This module only makes calls and reports
their results; the leader decides what is sent and when.
"""

import asyncio
import collections
import functools
import typing

from absl import logging

from alderreach.core import orders


class Calls(typing.NamedTuple):
    """The functions that call a worker; provided by the protocol's implementation.

    ``order(session, record, order)`` returns an ``orders.OrderResult`` and
    ``poll(session, record, poll)`` an ``orders.PollResult``; both are coroutines and
    raise no exceptions. ``open_session(address)`` opens the connection shared by calls
    of one kind, an object with ``close()``.
    """

    open_session: typing.Callable
    order: typing.Callable
    poll: typing.Callable


class OrderAnswered(typing.NamedTuple):
    """The message to the leader's task with the result of an order."""

    epoch: int
    target_id: str
    order: typing.Any
    result: typing.Any


class PollAnswered(typing.NamedTuple):
    """The message to the leader's task with the result of a poll."""

    epoch: int
    target_id: str
    poll: typing.Any
    result: typing.Any


def enqueue(waiting, order):
    """Add an order to those that wait to be sent; a Stop replaces starts of its run.

    The orders before it may hang, so a start would otherwise be sent seconds after its
    run was given up. A dropped start gets no result, nor does a second copy of a stop.

    >>> start = orders.Start("j1.0.0.0", 2, "true", 1000, 7, "", "")
    >>> waiting = collections.deque([start])
    >>> enqueue(waiting, orders.Stop("j1.0.0.0", 2, 7))
    >>> [type(order).__name__ for order in waiting]
    ['Stop']
    """
    if isinstance(order, orders.Stop):
        if order in waiting:
            return
        kept = [other for other in waiting if not _is_start_of(other, order)]
        waiting.clear()
        waiting.extend(kept)
    waiting.append(order)


def take_starts(waiting):
    """Remove the starts that wait behind an order without an answer; returns them.

    The worker may have restarted unnoticed. By the clock of its next incarnation a
    start that waited would grant a longer lease than its leader counts.

    >>> start = orders.Start("j1.0.0.0", 2, "true", 1000, 7, "", "")
    >>> waiting = collections.deque([start, orders.Stop("j1.0.0.1", 1, 7)])
    >>> take_starts(waiting) == [start], len(waiting)
    (True, 1)
    """
    starts = [order for order in waiting if isinstance(order, orders.Start)]
    kept = [order for order in waiting if not isinstance(order, orders.Start)]
    waiting.clear()
    waiting.extend(kept)
    return starts


def _is_start_of(order, stop):
    is_start = isinstance(order, orders.Start)
    return is_start and (order.task, order.run) == (stop.task, stop.run)


class TargetLink:
    """Calls of one leader to one worker; ``put`` receives their results as messages.

    ``post(act)`` calls ``act`` on the event loop, and ``connections`` are the
    ``WorkerConnections`` that all links share.
    """

    def __init__(self, record, epoch, calls, put, post, connections):
        self._post = post
        report = lambda message_type, item, result: put(
            message_type(epoch, record.target_id, item, result)
        )
        open_session = lambda: calls.open_session(record.address)
        order = lambda session, item: calls.order(session, record, item)
        poll = lambda session, item: calls.poll(session, record, item)
        self._orders = _CallQueue(
            open_session,
            connections,
            order,
            False,
            functools.partial(report, OrderAnswered),
        )
        self._polls = _CallQueue(
            open_session,
            connections,
            poll,
            True,
            functools.partial(report, PollAnswered),
        )

    def order(self, order):
        """Queue a Start, Stop or Pace; a Stop replaces waiting starts of its run."""
        self._post(lambda: self._orders.add(order))

    def poll(self, poll):
        """Queue a Poll; one at a time."""
        self._post(lambda: self._polls.add(poll))

    def close(self):
        """Drop the queued calls, and close after the calls in progress."""
        self._post(self._orders.close)
        self._post(self._polls.close)


class _CallQueue:
    """Calls of one kind, one after the other; used on the event loop only.

    With ``may_wait``, calls wait until a connection is available.
    """

    def __init__(self, open_session, connections, call, may_wait, report):
        self._open_session = open_session
        self._connections = connections
        self._call = call
        self._may_wait = may_wait
        self._report = report
        self._queue = collections.deque()
        self._session = None
        self._task = None
        self._is_closed = False

    def add(self, item):
        enqueue(self._queue, item)
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
                self._session = self._open_session()
            while self._queue:
                item = self._queue.popleft()
                await self._call_once(item)
        except Exception:
            logging.exception("unexpected error while calling a worker")
        finally:
            self._task = None
            if self._is_closed:
                self._close_session()

    async def _call_once(self, item):
        await self._connections.acquire(self._session, self._may_wait)
        try:
            if not self._is_closed:
                result = await self._call(self._session, item)
                self._report(item, result)
                if result.outcome in orders.UNANSWERED:
                    self._return_starts()
        finally:
            self._connections.release(self._session)

    def _return_starts(self):
        for start in take_starts(self._queue):
            self._report(start, orders.OrderResult(orders.NOT_SENT))

    def _close_session(self):
        if self._session is not None:
            self._connections.forget(self._session)
            self._session.close()
