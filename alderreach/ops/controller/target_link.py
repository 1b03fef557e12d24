"""Calls to one worker: orders in lanes (``order_lanes``) and, concurrently, a poll.

After an order without an answer, starts that wait behind it are returned, not sent,
unless the order was overtaken. To a worker that loses calls, each call is sent in
several copies at once, on a connection each, and the first answer counts. All calls are
idempotent.

Open connections may go silent without being closed, several of them at once. If each
call had to find that out by itself, an order would wait for one timeout after another.
After a call that was sent but not answered, the idle connections to that worker that
were last known to work before the call are therefore closed as well. So is that of a
poll in progress, which the worker may be holding: the leader polls again at once. An
order in progress keeps its connection: when it is lost, the order counts as one that
may have crashed the worker.

The calls to all workers share one event loop, so a worker that hangs delays no other
worker and an idle worker needs no thread. This module only makes calls and reports
their results; the leader decides what is sent and when.
"""

import asyncio
import functools
import typing

from absl import logging

from alderreach.core import orders
from alderreach.ops.controller import order_lanes

# After the first answer, other copies of the call have this time to be answered too,
# which keeps their connections.
COPIES_GRACE_S = 0.01
MAX_SPARE_SESSIONS = 4


class Calls(typing.NamedTuple):
    """The functions that call a worker; provided by the protocol's implementation.

    ``order(session, record, order)`` returns an ``orders.OrderResult`` and
    ``poll(session, record, poll)`` an ``orders.PollResult``; both are coroutines. An
    exception counts as a call without an answer. ``open_session(address)`` opens a
    connection for one call after the other, an object with ``close()``.
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


def overtaken(result):
    """The result of an order that was overtaken, if it has no answer.

    A connection that closes says more than that: the worker may have crashed since.
    """
    if result.outcome != orders.UNKNOWN or result.lost_connection:
        return result
    return result._replace(outcome=orders.OVERTAKEN)


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
            orders.OrderResult(orders.UNKNOWN),
            self._on_unanswered,
        )
        self._polls = _CallQueue(
            open_session,
            connections,
            poll,
            True,
            functools.partial(report, PollAnswered),
            orders.PollResult(orders.UNKNOWN),
            self._on_unanswered,
        )

    def order(self, order):
        """Queue a Start, Stop or Pace, of which a Stop waits for no other run's."""
        self._post(lambda: self._orders.add(order))

    def orders_before(self, order):
        """How many orders are before one on its way; None if it is not on its way.

        The one in progress has none before it. Callable from any thread; the answer may
        be outdated when it arrives.
        """
        return self._orders.items_before(order)

    def withdraw(self, task, run):
        """Drop the starts and paces of a run that wait to be sent."""
        self._post(lambda: self._orders.withdraw(task, run))

    def poll(self, poll):
        """Send a Poll, which supersedes one in progress."""
        self._post(lambda: self._polls.supersede(poll))

    def set_copies(self, copies):
        """Send each call in this many copies from now on."""
        self._orders.copies = self._polls.copies = copies

    def slow_orders(self):
        """Return the orders that are slow to be answered and were not overtaken.

        Callable from any thread; the answer may be outdated when it arrives.
        """
        return self._orders.slow_items()

    def overtake(self, order):
        """Record that the worker has answered a call sent after this slow order."""
        self._post(lambda: self._orders.overtake(order))

    def return_starts(self):
        """Report the starts that wait to be sent as not sent."""
        self._post(self._orders.return_starts)

    def close(self):
        """Drop the queued calls, and close after the calls in progress."""
        self._post(self._orders.close)
        self._post(self._polls.close)

    def _on_unanswered(self, sent_s):
        """Close connections after a call sent at ``sent_s`` that got no answer.

        A poll in progress may still be answered if a later call was.
        """
        latest_s = max(self._orders.answered_sent_s, self._polls.answered_sent_s)
        self._orders.close_unproven(sent_s)
        self._polls.close_unproven(sent_s, in_progress=latest_s < sent_s)


class _CallQueue:
    """Calls of one kind, in lanes; used on the event loop only.

    Each lane has a session of its own, which is opened for its first call. With
    ``may_wait``, calls wait until a connection is available. ``unanswered`` is the
    result of a call that fails unexpectedly, which may have been carried out.
    ``on_unanswered(sent_s)`` is called after a call that was sent and not answered.
    """

    def __init__(
        self,
        open_session,
        connections,
        call,
        may_wait,
        report,
        unanswered,
        on_unanswered,
    ):
        self._open_session = open_session
        self._connections = connections
        self._call = call
        self._may_wait = may_wait
        self._report = report
        self._unanswered = unanswered
        self._on_unanswered = on_unanswered
        self._lanes = order_lanes.OrderLanes()
        self._sessions = {}
        # When the session of each lane last got an answer on the connection it has.
        self._answered_s = {}
        # The tasks of the calls in progress, by lane.
        self._tasks = {}
        self.copies = 1
        # Idle sessions for further copies of a call.
        self._spare_sessions = []
        # The latest time at which an answered call was sent.
        self.answered_sent_s = 0.0
        self._is_closed = False

    def add(self, item):
        if not self._is_closed:
            self._lanes.add(item)
            self._send_next()

    def supersede(self, item):
        """Send an item beside those in progress."""
        self._lanes.supersede()
        self.add(item)

    def items_before(self, item):
        """How many items are before an item; None if it is not here."""
        return self._lanes.count_before(item)

    def withdraw(self, task, run):
        self._lanes.withdraw(task, run)

    def slow_items(self):
        """The items that are slow to be answered and were not overtaken."""
        return self._lanes.slow_orders()

    def overtake(self, item):
        """Let the items behind a slow one go beside it."""
        self._lanes.overtake(item)
        self._send_next()

    def return_starts(self):
        for start in self._lanes.take_starts():
            self._report(start, orders.OrderResult(orders.NOT_SENT))

    def close_unproven(self, sent_s, in_progress=False):
        """Close kept connections without an answer since ``sent_s``.

        With ``in_progress``, also those of calls in progress, which then fail.
        """
        for lane, answered_s in list(self._answered_s.items()):
            if answered_s < sent_s and (in_progress or lane not in self._tasks):
                del self._answered_s[lane]
                self._connections.forget(self._sessions[lane])
                self._sessions[lane].close()

    def close(self):
        self._is_closed = True
        self._lanes.clear()
        for lane in self._sessions.keys() - self._tasks.keys():
            self._close_session(lane)
        while self._spare_sessions:
            self._discard(self._spare_sessions.pop())

    def _send_next(self):
        loop = asyncio.get_running_loop()
        for lane, item in self._lanes.take(self._connections.reserve_further):
            self._tasks[lane] = loop.create_task(self._serve(lane, item))

    async def _serve(self, lane, item):
        delay_s = order_lanes.SLOW_AFTER_MS / 1000
        timer = asyncio.get_running_loop().call_later(delay_s, self._on_slow, lane)
        try:
            if lane not in self._sessions:
                self._sessions[lane] = self._open_session()
            await self._call_once(lane, item)
        except asyncio.CancelledError:
            # The event loop ends.
            self._lanes.clear()
            raise
        except Exception:
            logging.exception("unexpected error while calling a worker")
            if not self._is_closed:
                self._report(item, self._unanswered)
                self.return_starts()
        finally:
            timer.cancel()
            del self._tasks[lane]
            self._lanes.finish(lane)
            if lane:
                self._connections.release_further()
            if self._is_closed:
                self._close_session(lane)
            else:
                self._send_next()

    async def _call_once(self, lane, item):
        await self._connections.acquire(self._sessions[lane], self._may_wait)
        if self._is_closed:
            self._connections.release(self._sessions[lane])
            return
        sent_s = asyncio.get_running_loop().time()
        if self.copies == 1:
            result = await self._call_on(self._sessions[lane], item)
        else:
            result = await self._call_in_copies(lane, item)
        if self._lanes.is_overtaken(lane):
            result = overtaken(result)
        self._report(item, result)
        self._on_result(lane, result, sent_s)

    async def _call_in_copies(self, lane, item):
        copies = self._start_copies(self._sessions[lane], item)
        try:
            return await self._first_answer(lane, copies)
        except BaseException:
            for call in copies:
                call.cancel()
            raise

    def _start_copies(self, session, item):
        """Start the calls for all copies of an item; returns their sessions by task.

        The connection of ``session`` has been reserved.
        """
        loop = asyncio.get_running_loop()
        copies = {loop.create_task(self._call_on(session, item)): session}
        while len(copies) < self.copies and self._connections.reserve_further():
            spare = self._spare_sessions
            session = spare.pop() if spare else self._open_session()
            copies[loop.create_task(self._call_further(session, item))] = session
        return copies

    async def _call_on(self, session, item):
        try:
            return await self._call(session, item)
        finally:
            self._connections.release(session)

    async def _call_further(self, session, item):
        try:
            await self._connections.acquire(session, may_wait=False)
            return await self._call_on(session, item)
        finally:
            self._connections.release_further()

    async def _first_answer(self, lane, copies):
        """Return the first answer to any copy of a call, or else that there is none.

        The lane keeps the session that was answered.
        """
        pending, results = set(copies), []
        while pending:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            for call in done:
                result = call.result()
                if result.outcome not in orders.UNANSWERED:
                    self._sessions[lane] = copies.pop(call)
                    self._end_copies(copies)
                    return result._replace(copies=len(copies) + 1)
                results.append(result)
        if len(copies) > 1:
            copies = {c: s for c, s in copies.items() if s is not self._sessions[lane]}
            self._end_copies(copies)
        return _combined(results)

    def _end_copies(self, copies):
        """Keep the sessions of further copies, which soon have to be answered too."""
        loop = asyncio.get_running_loop()
        for call, session in copies.items():
            if call.done():
                self._keep(session)
            else:
                loop.call_later(COPIES_GRACE_S, call.cancel)
                call.add_done_callback(
                    lambda _call, session=session: self._keep(session)
                )

    def _keep(self, session):
        if self._is_closed or len(self._spare_sessions) >= MAX_SPARE_SESSIONS:
            self._discard(session)
        else:
            self._spare_sessions.append(session)

    def _on_result(self, lane, result, sent_s):
        if result.outcome not in (*orders.UNANSWERED, orders.OVERTAKEN):
            self._answered_s[lane] = asyncio.get_running_loop().time()
            self.answered_sent_s = max(self.answered_sent_s, sent_s)
            return
        self._answered_s.pop(lane, None)
        if result.outcome != orders.OVERTAKEN:
            self.return_starts()
        if result.outcome in (orders.UNKNOWN, orders.OVERTAKEN):
            self._on_unanswered(sent_s)

    def _on_slow(self, lane):
        self._lanes.mark_slow(lane)
        self._send_next()

    def _close_session(self, lane):
        session = self._sessions.pop(lane, None)
        self._answered_s.pop(lane, None)
        if session is not None:
            self._discard(session)

    def _discard(self, session):
        self._connections.forget(session)
        session.close()


def _combined(results):
    """The result of a call of which no copy was answered.

    One that may have arrived counts before those that were not sent.
    """
    unknown = [result for result in results if result.outcome == orders.UNKNOWN]
    lost = [result for result in unknown if getattr(result, "lost_connection", False)]
    if not unknown:
        return results[0]
    return (lost or unknown)[0]._replace(copies=len(results))
