"""An asyncio event loop on its own thread, for many concurrent waits in one thread.

Other threads submit callbacks with ``post``; the loop runs them in the order of
submission. Callbacks must not block.
"""

import asyncio
import collections
import threading

from absl import logging

from alderreach.utils import tasks

CLOSE_TIMEOUT_S = 5


class EventLoop:
    """The thread and its loop; open from construction to ``close``."""

    def __init__(self, name):
        self._loop = asyncio.new_event_loop()
        self._posted = collections.deque()
        self._lock = threading.Lock()
        self._is_wakeup_scheduled = False
        self._is_closed = False
        self._thread = tasks.make_thread(name, self._run)
        self._thread.start()

    def post(self, callback):
        """Have ``callback()`` called on the loop; thread-safe, never blocks."""
        self._posted.append(callback)
        with self._lock:
            if self._is_wakeup_scheduled or self._is_closed:
                return
            self._is_wakeup_scheduled = True
            self._loop.call_soon_threadsafe(self._run_posted)

    def close(self):
        """Cancel all tasks in progress and end the thread."""
        with self._lock:
            if self._is_closed:
                return
            self._is_closed = True
            self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(timeout=CLOSE_TIMEOUT_S)

    def _run_posted(self):
        with self._lock:
            self._is_wakeup_scheduled = False
        while self._posted:
            callback = self._posted.popleft()
            try:
                callback()
            except Exception:
                logging.exception("exception in a callback on the event loop")

    def _run(self):
        asyncio.set_event_loop(self._loop)
        try:
            self._loop.run_forever()
        finally:
            for task in asyncio.all_tasks(self._loop):
                task.cancel()
            self._loop.run_until_complete(asyncio.sleep(0))
            self._loop.close()
