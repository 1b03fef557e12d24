"""A bound on the connections to workers that are open at once.

A process may open a limited number of files, fewer than two for each of thousands of
workers. Sessions that nobody uses are kept for the next call as long as there is room;
beyond that the one that was idle for longest is closed.
"""

import asyncio
import collections


class WorkerConnections:
    """Counts sessions in use; used on the event loop only.

    A session is an object with ``close()``, which closes its connection and leaves it
    fit for another call.
    """

    def __init__(self, limit):
        self._limit = limit
        self._in_use = 0
        # Sessions with a connection that nobody uses, the longest idle first.
        self._idle = collections.OrderedDict()
        self._waiters = collections.deque()

    async def acquire(self, session, may_wait):
        """Take a session for a call, if it may wait once there is a connection for it.

        Calls that may not wait go over the bound rather than come late.
        """
        while may_wait and self._in_use >= self._limit:
            waiter = asyncio.get_running_loop().create_future()
            self._waiters.append(waiter)
            await waiter
        self._idle.pop(session, None)
        self._in_use += 1
        self._close_idle()

    def release(self, session):
        """Give a session back after a call."""
        self._in_use -= 1
        self._idle[session] = None
        self._close_idle()
        while self._waiters and self._in_use < self._limit:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                break

    def forget(self, session):
        """A session is closed for good."""
        self._idle.pop(session, None)

    def _close_idle(self):
        while self._idle and self._in_use + len(self._idle) > self._limit:
            session, _ = self._idle.popitem(last=False)
            session.close()
