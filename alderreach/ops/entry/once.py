"""At-most-once delivery: claims a key in the keepers' log before sending its request.

The order is claim, queue, send, record. The claim comes before the queue so that the
answer about the key is correct even if the request is then refused: a resend whose
first copy ran must get that copy's answer, not the outcome not-run of this copy. An
entry that can't read the state of a key answers ``key_unchecked``, outcome unknown, and
sends nothing.

A claim that may or may not be in the log is abandoned: this entry never sends the
request, and records not-run under its own request id, which frees the key if the claim
is in the log.
"""

import threading
import typing

from absl import logging
from result import Err, Ok, Result

from alderreach.core import idempotency
from alderreach.core.generated import errors, keeper
from alderreach.ops.entry import answers

CLAIM_TIMEOUT_MS = 2000
RELEASE_TIMEOUT_MS = 1000
MIN_POLL_MS = 20
MAX_POLL_MS = 500
RECORD_TIMEOUT_MS = 10_000
MAX_RECORD_ATTEMPTS = 60


class Keyed(typing.NamedTuple):
    """The data of a request with an idempotency key that the log needs."""

    key: str
    service: str
    digest: str
    request_id: str
    deadline_ms: int


class Recorded(typing.NamedTuple):
    """The recorded answer to an earlier copy of the request."""

    status: int
    content_type: str
    body: bytes


class KeyClaims:
    """Claims keys and records outcomes for one entry; any thread may call.

    ``pause(duration_ms)`` waits between two reads of a key that another request holds.
    """

    def __init__(self, keepers, clock, identity, kept_answer_bytes, key_waits, pause):
        self._keepers = keepers
        self._clock = clock
        self._entry, self._boot_id = identity
        self._kept_answer_bytes = kept_answer_bytes
        self._pause = pause
        self._lock = threading.Lock()
        self._unrecorded = 0
        self._wait_permits = threading.BoundedSemaphore(key_waits)

    @property
    def unrecorded(self):
        """Number of outcomes that the log has not confirmed yet."""
        return self._unrecorded

    def claim(self, keyed) -> Result:
        """Claim a key: ``Ok(None)`` to send, ``Ok(Recorded)`` or ``Err(Failure)``."""
        found = self._record_intent(keyed)
        if isinstance(found, Err) or not self._must_wait(found.ok_value, keyed):
            return self._await_outcome(keyed, found)
        if not self._wait_permits.acquire(blocking=False):
            return Err(answers.Failure(errors.Kind.IN_PROGRESS))
        try:
            return self._await_outcome(keyed, found)
        finally:
            self._wait_permits.release()

    def _must_wait(self, record, keyed):
        decision = idempotency.decide(
            record, keyed.request_id, self._entry, self._boot_id
        )
        return decision.step in (idempotency.Step.WAIT, idempotency.Step.CLAIM)

    def _await_outcome(self, keyed, found):
        """Poll the key until it is claimed or has an outcome, or the time is up."""
        poll_ms = MIN_POLL_MS
        while True:
            if isinstance(found, Err):
                return found
            decision = idempotency.decide(
                found.ok_value, keyed.request_id, self._entry, self._boot_id
            )
            if decision.step is idempotency.Step.SEND:
                return Ok(None)
            if decision.step is idempotency.Step.ANSWER:
                record = found.ok_value
                return Ok(Recorded(record.status, record.content_type, record.body))
            if decision.step is idempotency.Step.REFUSE:
                return Err(answers.Failure(decision.kind))
            if self._remaining_ms(keyed) <= poll_ms:
                return Err(answers.Failure(errors.Kind.IN_PROGRESS))
            self._pause(poll_ms)
            poll_ms = min(poll_ms * 2, MAX_POLL_MS)
            is_free = decision.step is idempotency.Step.CLAIM
            found = self._record_intent(keyed) if is_free else self._read_key(keyed)

    def release(self, keyed):
        """Free the key of a claimed request that is known not to have run.

        Waits for the log, so that a caller that retries immediately finds the key free.
        If the log doesn't confirm it, the key stays claimed and a resend is answered
        with ``unknown``; the answer not-run is correct in both cases.
        """
        outcome = self._outcome(keyed, idempotency.NOT_RUN, 0, "", b"")
        if self._keepers.ask(outcome, RELEASE_TIMEOUT_MS).is_err():
            self._record_in_background(outcome, MAX_RECORD_ATTEMPTS)

    def record_ran(self, keyed, status, content_type, body):
        """Record the answer to a claimed request without delaying the caller."""
        outcome = self._outcome(keyed, idempotency.RAN, status, content_type, body)
        self._record_in_background(outcome, MAX_RECORD_ATTEMPTS)

    def record_unknown(self, keyed):
        """Record that it is unknown whether a claimed request ran."""
        outcome = self._outcome(keyed, idempotency.UNKNOWN, 0, "", b"")
        self._record_in_background(outcome, MAX_RECORD_ATTEMPTS)

    def _remaining_ms(self, keyed):
        return keyed.deadline_ms - self._clock.monotonic_ms()

    def _record_intent(self, keyed):
        intent = keeper.RecordIntent(
            keyed.key,
            keyed.service,
            keyed.digest,
            self._entry,
            self._boot_id,
            keyed.request_id,
            self._clock.wall_ms(),
        )
        found = self._keepers.ask(intent, self._keeper_timeout_ms(keyed))
        if found == Err("uncertain"):
            return self._abandon_claim(keyed)
        return found.map_err(_key_unchecked)

    def _read_key(self, keyed):
        """Read the key's current state; there may be no claim, or another request's."""
        found = self._keepers.ask(
            keeper.ReadKey(keyed.key), self._keeper_timeout_ms(keyed)
        )
        return found.map_err(lambda status: answers.Failure(errors.Kind.IN_PROGRESS))

    def _keeper_timeout_ms(self, keyed):
        return max(1, min(CLAIM_TIMEOUT_MS, self._remaining_ms(keyed)))

    def _abandon_claim(self, keyed):
        """End a claim that may or may not be in the log."""
        outcome = self._outcome(keyed, idempotency.NOT_RUN, 0, "", b"")
        self._record_in_background(outcome, MAX_RECORD_ATTEMPTS)
        return Err(_key_unchecked("uncertain"))

    def _outcome(self, keyed, outcome, status, content_type, body):
        is_kept = len(body) <= self._kept_answer_bytes
        return keeper.RecordOutcome(
            keyed.key,
            keyed.request_id,
            outcome,
            status,
            content_type,
            body if is_kept else b"",
            is_kept,
        )

    def _record_in_background(self, outcome, attempts):
        """Retry until confirmed: a claim without an outcome stays unknown for ever."""
        with self._lock:
            self._unrecorded += 1

        def done(found):
            with self._lock:
                self._unrecorded -= 1
            if found.is_ok():
                return
            if attempts > 1:
                self._record_in_background(outcome, attempts - 1)
            else:
                logging.error(
                    "outcome of request %s could not be recorded", outcome.request_id
                )

        self._keepers.request(outcome, done, RECORD_TIMEOUT_MS)


def _key_unchecked(status):
    detail = f"The keepers' answer was {status}; send it again under the same key"
    return answers.Failure(errors.Kind.KEY_UNCHECKED, detail, CLAIM_TIMEOUT_MS)
