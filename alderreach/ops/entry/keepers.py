"""Requests of HTTP threads to the keepers, bounded to leave threads for other work.

While the quorum is unreachable, each request to the keepers lasts until it times out.
Without a bound, callers with keys and jobs would then occupy every thread of the entry,
and requests that need no quorum, which must continue to be served, would get none.

A caller in a cut-off domain should not wait two seconds for a failure that the entry
can predict. After a request without any response, the next ones therefore time out
after ``UNRESPONSIVE_TIMEOUT_MS`` until one is answered again. This is many times the
duration of a commit between failure domains, and short enough for a person. A request
whose own timeout ends before it is sent to another keeper does not tell that.

Such short requests are sent to one keeper only, and a slow commit outlasts them. Beside
them a read is therefore sent with the time to reach each keeper, and its answer ends
the short timeouts too.
"""

import threading

from result import Err, Ok, Result

from alderreach.core import codec
from alderreach.core.generated import keeper
from alderreach.ops import keeper_client
from alderreach.ops.entry import thread_shares

UNRESPONSIVE_TIMEOUT_MS = 250
PROBE_TIMEOUT_MS = 2000
BUSY = "busy"


class Keepers:
    """Sends requests to the keepers through the gateway; any thread may call."""

    def __init__(self, gateway, http_threads):
        shares = thread_shares.divide(http_threads)
        self._gateway = gateway
        self._permits = threading.BoundedSemaphore(shares.keeper_requests)
        self._is_unresponsive = False
        self._probe_permit = threading.BoundedSemaphore(1)

    def ask(self, command, timeout_ms) -> Result:
        """Return ``Ok(message)``, or ``Err(status)``: no_quorum, uncertain or busy.

        ``busy`` and ``no_quorum`` prove that the command is not in the log.
        """
        if not self._permits.acquire(blocking=False):
            return Err(BUSY)
        if self._is_unresponsive:
            timeout_ms = min(timeout_ms, UNRESPONSIVE_TIMEOUT_MS)
        try:
            outcome = self._gateway.ask_keepers(command, timeout_ms)
        finally:
            self._permits.release()
        if outcome.status != "uncertain":
            self._is_unresponsive = False
        elif timeout_ms > keeper_client.RESEND_MS:
            self._is_unresponsive = True
        if self._is_unresponsive:
            self._probe()
        return _unpack(outcome)

    def _probe(self):
        """Send a read that nobody waits for, unless one is in progress."""
        if not self._probe_permit.acquire(blocking=False):
            return

        def done(outcome):
            if outcome.status != "uncertain":
                self._is_unresponsive = False
            self._probe_permit.release()

        self._gateway.request(keeper.ReadMembers(), done, PROBE_TIMEOUT_MS)

    def request(self, command, done, timeout_ms):
        """Send without waiting; ``done(Result)`` is called on the gateway's thread."""
        self._gateway.request(
            command, lambda outcome: done(_unpack(outcome)), timeout_ms
        )


def _unpack(outcome: keeper_client.Outcome) -> Result:
    if outcome.status != "ok":
        return Err(outcome.status)
    unpacked = codec.unpack(outcome.result)
    return Ok(unpacked.ok_value) if unpacked.is_ok() else Err("uncertain")
