"""A pool of HTTP threads that grows with the requests under way and shrinks again.

The web server's own pool keeps all its threads from the start. A process that is mostly
idle then holds dozens of them, and a machine with a hundred such processes runs out.
"""

import queue
import threading

from absl import logging
from cheroot.workers import threadpool

# A thread that got no request for so long ends.
IDLE_S = 10


class GrowingPool(threadpool.ThreadPool):
    """Between ``least`` and ``most`` threads, one for each request under way.

    A request is handed to a thread that waits for one; if none does, a thread is added.
    Above ``most`` requests wait their turn.
    """

    def __init__(self, server, min_threads, max_threads):
        super().__init__(server, min=min_threads, max=max_threads)
        self._lock = threading.Lock()
        # Threads that wait for a request, less the requests that no thread has yet.
        self._spare = 0
        self.get = self._get_connection

    def put(self, obj):
        """Hand in a connection with a request to read."""
        with self._lock:
            self._spare -= 1
            is_short = self._spare < 0 and len(self._threads) < self.max
        if is_short:
            self._add_thread()
        super().put(obj)

    def _add_thread(self):
        try:
            worker = self._spawn_worker()
        except RuntimeError:
            logging.exception("no thread can be added to %d", len(self._threads))
            return
        with self._lock:
            self._threads.append(worker)

    def _get_connection(self):
        """Wait for a connection; called by the pool's threads."""
        with self._lock:
            self._spare += 1
        while True:
            try:
                return self._queue.get(timeout=IDLE_S)
            except queue.Empty:
                if self._remove_if_spare():
                    return threadpool._SHUTDOWNREQUEST

    def _remove_if_spare(self):
        """Take the calling thread out of the pool if it is not needed."""
        with self._lock:
            if self._spare <= 0 or len(self._threads) <= self.min:
                return False
            self._spare -= 1
            self._threads.remove(threading.current_thread())
            return True
