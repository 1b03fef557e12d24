"""A bound on the number of open connections to workers.

A process may open a limited number of files, fewer than two for each of thousands of
workers. Idle sessions stay open for their next call until the bound is reached; then
the one that has been idle for the longest time is closed.
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
        self._further = 0
        # Idle sessions with an open connection, the longest idle first.
        self._idle = collections.OrderedDict()
        self._waiters = collections.deque()

    async def acquire(self, session, may_wait):
        """Reserve a connection for a call; with ``may_wait``, wait until one is free.

        Calls that may not wait exceed the bound rather than being delayed.
        """
        while may_wait and self._in_use >= self._limit:
            waiter = asyncio.get_running_loop().create_future()
            self._waiters.append(waiter)
            await waiter
        self._idle.pop(session, None)
        self._in_use += 1
        self._close_idle()

    def release(self, session):
        """Release a session after a call."""
        self._in_use -= 1
        self._idle[session] = None
        self._close_idle()
        while self._waiters and self._in_use < self._limit:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                break

    def reserve_further(self):
        """Reserve a second or later connection to one worker; returns whether it may.

        They take up to half of the bound, or a few workers that hang would leave no
        connection for polls of the others.
        """
        may_reserve = self._further < self._limit // 2
        self._further += may_reserve
        return may_reserve

    def release_further(self):
        """Release a reservation of ``reserve_further``."""
        self._further -= 1

    def forget(self, session):
        """Forget a session that will not be used again."""
        self._idle.pop(session, None)

    def _close_idle(self):
        while self._idle and self._in_use + len(self._idle) > self._limit:
            session, _ = self._idle.popitem(last=False)
            session.close()
