"""Queries to the permission service on behalf of the leader.

Every controller and frontend runs one thread for them, since the service handles one
query at a time for each calling VM. The leader assigns the queries to processes; see
``decisions/cell/permissions.py``.
"""

import queue

from absl import logging

from alderreach.core.generated import cell
from alderreach.utils import tasks

STOP = object()


class PermissionCalls:
    """The thread that makes the queries.

    ``ask(step, targets)`` returns a list of ``cell.Ticket``, or None without an answer.
    """

    def __init__(self, ask, send):
        self._ask = ask
        self._send = send
        self._queue = queue.SimpleQueue()
        # The latest query of each leader that waits, by its address.
        self._waiting = {}
        self._thread = tasks.make_thread("permissions", self._run)

    def start(self):
        """Start the thread and return the object."""
        self._thread.start()
        return self

    def enqueue(self, query, reply_address):
        """Queue a ``cell.PermissionQuery`` from the leader at ``reply_address``.

        It replaces an earlier one that waits. A leader has one query at a time here, so
        it has given that one up.
        """
        self._waiting[reply_address] = query
        self._queue.put(reply_address)

    def close(self):
        """End the thread after the queries that are already queued."""
        self._queue.put(STOP)

    def _run(self):
        while (address := self._queue.get()) is not STOP:
            query = self._waiting.pop(address, None)
            if query is None:
                continue
            granted = self._ask(query.step, query.targets)
            if granted is None:
                logging.log_every_n_seconds(
                    logging.INFO, "permission service gave no answer", 10
                )
            answer = cell.PermissionAnswer(
                query.query_id, granted is not None, granted or []
            )
            self._send(address, answer)
