"""Sends batches of commands to workers and reports how each batch ended.

Each batch under way has a thread, so that workers which hang delay no other worker. A
worker has one batch under way at most.

A process that is suspended and resumed does not notice it, so a batch may be sent long
after it was created. Each thread therefore checks the lease right before it sends. A
batch that passes because the process was suspended between the check and the sending
has an old epoch, which workers refuse once they know the new owner.
"""

from concurrent import futures

from absl import logging

from alderreach.ops import target_wire

MAX_THREADS = target_wire.MAX_KEPT_CONNECTIONS


class Sender:
    """Sends batches; ``lease()`` returns the current ``ownership.Lease``.

    ``on_result(BatchResult)`` is called on a sender's thread.
    """

    def __init__(self, lease, clock, on_result, threads=MAX_THREADS):
        self._lease = lease
        self._clock = clock
        self._on_result = on_result
        self._client = target_wire.WorkerClient()
        # Adds a thread only if none is idle.
        self._pool = futures.ThreadPoolExecutor(threads, "commands")

    def put(self, batch):
        """Send a batch on a thread; never blocks."""
        self._pool.submit(self._run, batch)

    def close(self):
        """Drop the batches not yet sent; those under way end by their timeout."""
        self._pool.shutdown(wait=False, cancel_futures=True)
        self._client.close()

    def _run(self, batch):
        try:
            result = self._send(batch)
        except Exception:
            logging.exception("commands to %s may not have been sent", batch.worker_id)
            result = target_wire.BatchResult(batch, "uncertain", (), 0)
        self._on_result(result)

    def _send(self, batch):
        if not self._lease().covers(batch.epoch, self._clock.monotonic_ms()):
            return target_wire.BatchResult(batch, "unsent", (), 0)
        return self._client.send(batch)
