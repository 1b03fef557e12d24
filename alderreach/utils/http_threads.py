"""A pool of HTTP threads whose size follows the number of requests in progress.

The web server's own pool starts all its threads at once and keeps them. A process that
is mostly idle then has dozens of threads, and a machine with a hundred such processes
runs out of them.
"""

import queue
import threading

from absl import logging
from cheroot.workers import threadpool

# A thread that gets no request for this time ends.
IDLE_S = 10


class GrowingPool(threadpool.ThreadPool):
    """Between ``min_threads`` and ``max_threads``, one for each request in progress.

    A request is given to a waiting thread; if there is none, a thread is added. With
    ``max_threads`` threads, further requests are queued.
    """

    def __init__(self, server, min_threads, max_threads):
        super().__init__(server, min=min_threads, max=max_threads)
        self._lock = threading.Lock()
        # Threads that wait for a request, minus the requests that wait for a thread.
        self._spare = 0
        self.get = self._get_connection

    def put(self, obj):
        """Queue a connection that has a request to read."""
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
            logging.exception("can't add a thread to %d threads", len(self._threads))
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
        """Remove the calling thread from the pool if it is not needed."""
        with self._lock:
            if self._spare <= 0 or len(self._threads) <= self.min:
                return False
            self._spare -= 1
            self._threads.remove(threading.current_thread())
            return True
