"""At most once: a keyed request is claimed in the keepers' log before it is sent.

The order is claim, queue, send, record. The claim comes before the queue so that what
is said of the key is true even if the request is then turned away: a resend whose
first copy ran must hear of that answer, not that this copy was not run. An entry that
can't learn the state of a key says ``key_unchecked``, outcome unknown, and sends
nothing.

A claim whose fate is uncertain is given up: this entry never sends the request, and
records not-run under its own request id, which frees the key if the claim is there.
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
    """What the log has to know of a request with an idempotency key."""

    key: str
    service: str
    digest: str
    request_id: str
    deadline_ms: int


class Recorded(typing.NamedTuple):
    """The answer an earlier copy of the request got."""

    status: int
    content_type: str
    body: bytes


class KeyClaims:
    """Claims keys and records outcomes for one entry; any thread may call.

    ``pause(duration_ms)`` waits between two looks at a key that another request holds.
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
        """Outcomes that are on their way to the log."""
        return self._unrecorded

    def claim(self, keyed) -> Result:
        """``Ok(None)``: send it. ``Ok(Recorded)``: the answer. ``Err(Failure)``."""
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
        verdict = idempotency.decide(
            record, keyed.request_id, self._entry, self._boot_id
        )
        return verdict.step in (idempotency.Step.WAIT, idempotency.Step.CLAIM)

    def _await_outcome(self, keyed, found):
        """Look at the key until it is this request's, or settled, or time is up."""
        poll_ms = MIN_POLL_MS
        while True:
            if isinstance(found, Err):
                return found
            verdict = idempotency.decide(
                found.ok_value, keyed.request_id, self._entry, self._boot_id
            )
            if verdict.step is idempotency.Step.SEND:
                return Ok(None)
            if verdict.step is idempotency.Step.ANSWER:
                record = found.ok_value
                return Ok(Recorded(record.status, record.content_type, record.body))
            if verdict.step is idempotency.Step.REFUSE:
                return Err(answers.Failure(verdict.kind))
            if self._remaining_ms(keyed) <= poll_ms:
                return Err(answers.Failure(errors.Kind.IN_PROGRESS))
            self._pause(poll_ms)
            poll_ms = min(poll_ms * 2, MAX_POLL_MS)
            is_free = verdict.step is idempotency.Step.CLAIM
            found = self._record_intent(keyed) if is_free else self._read_key(keyed)

    def release(self, keyed):
        """Free the key of a claimed request that surely was not run.

        Waits for the log, so that a caller that comes back at once finds the key free.
        If the log doesn't confirm it, the key stays claimed and a resend hears
        ``unknown``; the answer not-run stays true either way.
        """
        outcome = self._outcome(keyed, idempotency.NOT_RUN, 0, "", b"")
        if self._keepers.ask(outcome, RELEASE_TIMEOUT_MS).is_err():
            self._record_in_background(outcome, MAX_RECORD_ATTEMPTS)

    def record_ran(self, keyed, status, content_type, body):
        """Keep the answer of a claimed request, without holding the caller up."""
        outcome = self._outcome(keyed, idempotency.RAN, status, content_type, body)
        self._record_in_background(outcome, MAX_RECORD_ATTEMPTS)

    def record_unknown(self, keyed):
        """Note that it can't be told whether a claimed request ran."""
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
        """A current read; the claim it finds may be another's or none."""
        found = self._keepers.ask(
            keeper.ReadKey(keyed.key), self._keeper_timeout_ms(keyed)
        )
        return found.map_err(lambda status: answers.Failure(errors.Kind.IN_PROGRESS))

    def _keeper_timeout_ms(self, keyed):
        return max(1, min(CLAIM_TIMEOUT_MS, self._remaining_ms(keyed)))

    def _abandon_claim(self, keyed):
        """End a claim of which nobody knows whether it is in the log."""
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
        """Ask again and again: a claim without outcome stays unknown for ever."""
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
                logging.error("outcome of request %s is lost", outcome.request_id)

        self._keepers.request(outcome, done, RECORD_TIMEOUT_MS)


def _key_unchecked(status):
    detail = f"The keepers' answer was {status}; send it again under the same key"
    return answers.Failure(errors.Kind.KEY_UNCHECKED, detail, CLAIM_TIMEOUT_MS)
