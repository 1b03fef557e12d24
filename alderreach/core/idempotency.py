"""Decides what an entry may do with a request, given the log's record of its key.

The log holds at most one claim of a key. Only the request that made the claim may be
sent. Any other request with the key gets the recorded answer, waits for it, or gets an
error saying that the outcome is unknown.
"""

import enum
import hashlib
import typing

from alderreach.core.generated import errors

CLAIMED = "claimed"
STARTED = "started"
FINISHED = "finished"
REUSED = "reused"
EXPIRED = "expired"
ABSENT = "absent"
RAN = "ran"
NOT_RUN = "not-run"
UNKNOWN = "unknown"
SEPARATOR = b"\0"


class Step(enum.Enum):
    """What the entry does next with a request."""

    SEND = "send"
    ANSWER = "answer"
    WAIT = "wait"
    CLAIM = "claim"
    REFUSE = "refuse"


class Decision(typing.NamedTuple):
    """The next step, and the kind of error for ``Step.REFUSE``."""

    step: Step
    kind: errors.Kind | None = None


def scoped_key(team, key):
    """Return the key as stored in the log; two teams may use the same text."""
    return f"{team}/{key}"


def digest(service, content_type, body):
    """Return a digest that tells a resend from another request with the same key."""
    text = SEPARATOR.join((service.encode(), content_type.encode(), body))
    return hashlib.sha256(text).hexdigest()


def decide(record, request_id, entry, entry_boot_id):
    """Return the Decision for a request, given a ``keeper.KeyRecord``.

    A claim by an earlier boot of this process will never end, and it is unknown whether
    that boot sent the request. A claim by another process may just be slow, so the
    request waits for it.
    """
    if record.state == CLAIMED and record.request_id == request_id:
        return Decision(Step.SEND)
    if record.state == ABSENT:
        return Decision(Step.CLAIM)
    if record.state == REUSED:
        return Decision(Step.REFUSE, errors.Kind.KEY_REUSED)
    if record.state == EXPIRED:
        return Decision(Step.REFUSE, errors.Kind.KEY_EXPIRED)
    if record.state == FINISHED:
        return _decide_finished(record)
    if record.entry == entry and record.entry_boot_id != entry_boot_id:
        return Decision(Step.REFUSE, errors.Kind.OUTCOME_UNKNOWN)
    return Decision(Step.WAIT)


def _decide_finished(record):
    if record.outcome == NOT_RUN:
        return Decision(Step.CLAIM)
    if record.outcome != RAN:
        return Decision(Step.REFUSE, errors.Kind.OUTCOME_UNKNOWN)
    if not record.body_kept:
        return Decision(Step.REFUSE, errors.Kind.ANSWER_NOT_KEPT)
    return Decision(Step.ANSWER)
