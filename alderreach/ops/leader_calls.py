"""Requests to the cell's leader, retried until there is an answer or a deadline.

All requests are idempotent: jobs and configurations have ids chosen by their callers.
An attempt without an answer is therefore repeated, with the same controller or another
one. Only the final outcome depends on the attempts: if each was certainly not executed,
the caller may be told so; if one may have been, the outcome stays open.

Answers contain the epoch of the leadership. An answer with a lower epoch than one
received before comes from a deposed leader and is discarded. Without an answer the next
controller is tried after ``ATTEMPT_MS``, or after ``HINT_MS`` if the one that was tried
is not believed to lead: it would only name the leader. Answers to earlier attempts of a
call still count. If no controller can be reached, the call ends at once, so that its
sender can try another process while there is still time.
"""

import itertools
import queue
import threading
import time
import typing
import uuid

from alderreach.core import codec
from alderreach.core.generated import cell

# Several times the duration of a commit on a busy quorum, and a tenth of a caller's
# usual timeout.
ATTEMPT_MS = 400
# Several times as long as a controller takes to say that it does not lead. With a full
# attempt for each, a call whose messages are lost on several links at once would return
# to the leader only seconds later.
HINT_MS = 100
# Pause between two rounds through all controllers while none of them leads.
ROUND_PAUSE_MS = 60
# A request that was certainly not executed is rejected after this time without a
# leader, so that its caller can retry when there is one. An election takes a second.
MAX_LEADERLESS_MS = 1500
# Announcements answered faster are not logged, as they are numerous and alike.
SLOW_CALL_MS = 200


class Outcome(typing.NamedTuple):
    """The leader's ``cell.CellAnswer`` or None, and whether it may have acted.

    ``had_unclear_attempt`` is set if an earlier attempt got no answer, so that it may
    have been accepted although the answer is a refusal.
    """

    answer: typing.Any
    may_have_acted: bool
    had_unclear_attempt: bool = False


class _Attempts:
    """The attempts of one call: the address of each by request id, and the replies."""

    def __init__(self):
        self.address_of = {}
        self.replies = queue.SimpleQueue()


class LeaderCalls:
    """Calls to the leader from HTTP threads; ``deliver`` may be called on any thread.

    ``addresses()`` lists the controllers to try, the leader's first, ``is_isolated()``
    tells whether none of them can be reached, and ``record`` records an event for each
    request. ``on_outcome(request, outcome, took_ms)`` is called for each as well.
    """

    def __init__(
        self,
        name,
        addresses,
        is_isolated,
        send,
        clock,
        record,
        on_outcome=lambda request, outcome, took_ms: None,
    ):
        self._prefix = f"{name}/{uuid.uuid4().hex[:8]}"
        self._numbers = itertools.count()
        self._addresses = addresses
        self._is_isolated = is_isolated
        self._send = send
        self._clock = clock
        self._record = record
        self._on_outcome = on_outcome
        self._lock = threading.Lock()
        self._waiting = {}
        self._highest_epoch = 0
        self._leader_hint = ""

    def deliver(self, reply):
        """Pass a ``cell.CellReply`` to the call that waits for it."""
        with self._lock:
            attempts = self._waiting.pop(reply.request_id, None)
        if attempts is not None:
            attempts.replies.put(reply)

    def call(self, request, deadline_ms):
        """Repeat the request until there is an answer or ``deadline_ms`` is reached."""
        started_ms = self._clock.monotonic_ms()
        attempts = _Attempts()
        try:
            outcome = self._call(request, attempts, started_ms, deadline_ms)
        finally:
            with self._lock:
                for request_id in attempts.address_of:
                    self._waiting.pop(request_id, None)
        took_ms = self._clock.monotonic_ms() - started_ms
        self._on_outcome(request, outcome, took_ms)
        is_routine = isinstance(request, cell.AnnounceTarget) and took_ms < SLOW_CALL_MS
        if outcome.answer is None or not is_routine:
            self._record(
                "request_answered",
                request=type(request).__name__,
                path=getattr(request, "path", ""),
                answer=outcome.answer.kind if outcome.answer else "none",
                text=outcome.answer.text if outcome.answer else "",
                may_have_acted=outcome.may_have_acted,
                attempts=len(attempts.address_of),
                took_ms=took_ms,
                patience_ms=deadline_ms - started_ms,
                epoch=self._highest_epoch,
            )
        return outcome

    def _call(self, request, attempts, started_ms, deadline_ms):
        payload = codec.pack(request)
        may_have_acted = False
        tried = set()
        while (remaining_ms := deadline_ms - self._clock.monotonic_ms()) > 0:
            if self._is_isolated():
                break
            address = self._next_address(tried)
            if address is None:
                waited_ms = self._clock.monotonic_ms() - started_ms
                if waited_ms >= MAX_LEADERLESS_MS and not may_have_acted:
                    break
                tried.clear()
                time.sleep(min(ROUND_PAUSE_MS, remaining_ms) / 1000)
                continue
            is_leader = not tried or address == self._leader_hint
            wait_ms = ATTEMPT_MS if is_leader else HINT_MS
            tried.add(address)
            self._send_attempt(attempts, address, payload)
            reply = self._wait(attempts, address, min(wait_ms, remaining_ms))
            if reply is None:
                may_have_acted = True
                self._leader_hint = ""
            elif reply.status == "answered" and self._accept_epoch(reply.epoch):
                answer = codec.unpack(reply.payload).unwrap()
                return Outcome(answer, True, may_have_acted)
            elif reply.status == "answered":
                may_have_acted = True
            else:
                self._follow_hint(reply.leader, address, tried)
        return Outcome(None, may_have_acted)

    def _next_address(self, tried):
        for address in (self._leader_hint, *self._addresses()):
            if address and address not in tried:
                return address
        return None

    def _follow_hint(self, leader, address, tried):
        """Next try the leader that a controller names, unless it was already tried."""
        self._leader_hint = leader if leader != address and leader not in tried else ""

    def _send_attempt(self, attempts, address, payload):
        request_id = f"{self._prefix}/{next(self._numbers)}"
        attempts.address_of[request_id] = address
        with self._lock:
            self._waiting[request_id] = attempts
        self._send(address, cell.CellRequest(request_id, payload))

    def _wait(self, attempts, address, wait_ms):
        """Return the reply of ``address``, or an answer to any attempt, or None."""
        until_ms = self._clock.monotonic_ms() + wait_ms
        while (remaining_ms := until_ms - self._clock.monotonic_ms()) > 0:
            try:
                reply = attempts.replies.get(timeout=remaining_ms / 1000)
            except queue.Empty:
                return None
            sender = attempts.address_of[reply.request_id]
            if reply.status == "answered" or sender == address:
                return reply
        return None

    def _accept_epoch(self, epoch):
        with self._lock:
            if epoch < self._highest_epoch:
                return False
            self._highest_epoch = epoch
            return True
