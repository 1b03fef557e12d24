"""Calls of one kind to one worker, each in one copy or in several.

To a worker that loses calls, each call is sent in several copies at once, on a
connection each, and the first answer counts. All calls are idempotent. The copies are
sent at the same instant: if a start crashes its worker, none of them is left for the
next incarnation, which would take it for a new run.
"""

import asyncio

from absl import logging

from alderreach.core import orders
from alderreach.ops.controller import order_lanes

# After the first answer, other copies of the call have this time to be answered too,
# which keeps their connections.
COPIES_GRACE_S = 0.01
MAX_SPARE_SESSIONS = 4


def overtaken(result):
    """The result of an order that was overtaken, if it has no answer.

    A connection that closes says more than that: the worker may have crashed since.
    """
    if result.outcome != orders.UNKNOWN or result.lost_connection:
        return result
    return result._replace(outcome=orders.OVERTAKEN)


class CallQueue:
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
        """Queue an item; dropped if the queue is closed."""
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
        """Drop the starts and paces of a run that wait."""
        self._lanes.withdraw(task, run)

    def slow_items(self):
        """The items that are slow to be answered and were not overtaken."""
        return self._lanes.slow_orders()

    def overtake(self, item):
        """Let the items behind a slow one go beside it."""
        self._lanes.overtake(item)
        self._send_next()

    def return_starts(self):
        """Report the starts that wait as not sent."""
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
        """Drop what waits, and close each session after its call in progress."""
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
