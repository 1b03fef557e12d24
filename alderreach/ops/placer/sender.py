"""Threads that send batches of commands to workers and report how each batch ended.

A process that is suspended and resumed does not notice it, so a batch may leave the
queue long after it was created. Each thread therefore checks the lease right before it
sends. A batch that passes because the process was suspended between the check and the
sending has an old epoch, which workers refuse once they know the new owner.
"""

import queue
import threading

from alderreach.ops import target_wire

THREADS = 8
STOP = object()


class Sender:
    """Sends batches; ``lease()`` returns the current ``ownership.Lease``.

    ``on_result(BatchResult)`` is called on a sender's thread.
    """

    def __init__(self, lease, clock, on_result, threads=THREADS):
        self._lease = lease
        self._clock = clock
        self._on_result = on_result
        self._queue = queue.SimpleQueue()
        self._client = target_wire.WorkerClient()
        self._threads = [
            threading.Thread(target=self._run, name=f"commands {n}", daemon=True)
            for n in range(threads)
        ]

    def start(self):
        """Start the threads; return the sender."""
        for thread in self._threads:
            thread.start()
        return self

    def put(self, batch):
        """Queue a batch; never blocks."""
        self._queue.put(batch)

    def close(self):
        """Stop the threads; batches not yet sent are dropped."""
        for _ in self._threads:
            self._queue.put(STOP)
        for thread in self._threads:
            if thread.ident:
                thread.join(timeout=1)
        self._client.close()

    def _run(self):
        while True:
            batch = self._queue.get()
            if batch is STOP:
                return
            self._on_result(self._send(batch))

    def _send(self, batch):
        if not self._lease().covers(batch.epoch, self._clock.monotonic_ms()):
            return target_wire.BatchResult(batch, "unsent", (), 0)
        return self._client.send(batch)
