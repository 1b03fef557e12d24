"""Idempotency keys: who claimed them, how it ended, and when they are forgotten.

A key lives ``lifetime_ms`` from its claim, by the clock of the log. Then its answer is
dropped, but a digest of the key stays for ``EXPIRED_LIFETIMES`` more: the key comes
back as ``expired`` and is refused, since a request that ran long ago must not run
again because its record was thrown away. A leader's clock that runs ahead can
therefore only refuse keys early.

Times of claims never decrease, because the log's clock does not; so the oldest record
is always first in its dictionary and expiry looks at that alone.
"""

import typing

import xxhash

from alderreach.core import codec
from alderreach.core.generated import keeper

EXPIRED_LIFETIMES = 7
DEFAULT_LIFETIME_MS = 86_400_000


class Claim(typing.NamedTuple):
    """A claimed key; ``outcome`` is empty until it ended."""

    digest: str
    entry: str
    entry_boot_id: str
    request_id: str
    claimed_ms: int
    outcome: str
    status: int
    content_type: str
    body: bytes
    body_kept: bool


class StoredWrite(typing.NamedTuple):
    """The result of a WriteItems, for resends of it."""

    digest: bytes
    result: keeper.WriteResult
    written_ms: int


class Keys:
    """All keys. Each dictionary is in order of time, oldest first.

    ``expired`` maps digests of expired keys, and ``abandoned`` the ids of requests that
    were given up, to the time of it.
    """

    def __init__(self):
        self.lifetime_ms = DEFAULT_LIFETIME_MS
        self.claims = {}
        self.writes = {}
        self.expired = {}
        self.abandoned = {}


def digest_of(*values):
    """A short digest of any encodable values."""
    return xxhash.xxh3_128_digest(codec.encode(values))


def expire(keys, clock_ms):
    """Forget what is past its lifetime at the log's time ``clock_ms``."""
    lifetime_ms = keys.lifetime_ms
    while keys.claims:
        key, claim = next(iter(keys.claims.items()))
        if clock_ms - claim.claimed_ms < lifetime_ms:
            break
        del keys.claims[key]
        keys.expired[digest_of(key)] = clock_ms
    _drop_oldest(keys.writes, clock_ms - lifetime_ms, lambda kept: kept.written_ms)
    _drop_oldest(keys.abandoned, clock_ms - lifetime_ms, lambda at_ms: at_ms)
    forget_ms = clock_ms - EXPIRED_LIFETIMES * lifetime_ms
    _drop_oldest(keys.expired, forget_ms, lambda at_ms: at_ms)


def claim(keys, command, clock_ms):
    """Apply a RecordIntent: the first request to come gets the key."""
    if digest_of(command.key) in keys.expired:
        return record("expired")
    if command.request_id in keys.abandoned:
        return record("absent")
    current = keys.claims.get(command.key)
    if current is None:
        keys.claims[command.key] = current = Claim(
            command.digest,
            command.entry,
            command.entry_boot_id,
            command.request_id,
            clock_ms,
            "",
            0,
            "",
            b"",
            False,
        )
    elif current.digest != command.digest:
        return record("reused", current)
    return record(_state_for(current, command.request_id), current)


def finish(keys, command, clock_ms):
    """Apply a RecordOutcome; only the claimant's own changes anything.

    ``not-run`` frees the key. It also bars the request's claim from coming later: an
    entry that got no answer to its claim gives it up this way, and a copy of the claim
    still on its way must not block the key in the name of a request that is over.
    """
    if command.outcome == "not-run":
        keys.abandoned.setdefault(command.request_id, clock_ms)
    current = keys.claims.get(command.key)
    if current is None:
        return read(keys, command.key)
    if current.request_id != command.request_id:
        return record(_state_for(current, command.request_id), current)
    if command.outcome == "not-run" and current.outcome != "ran":
        del keys.claims[command.key]
        return record("absent")
    if current.outcome != "ran":
        current = current._replace(
            outcome=command.outcome,
            status=command.status,
            content_type=command.content_type,
            body=command.body,
            body_kept=command.body_kept,
        )
        keys.claims[command.key] = current
    return record("finished", current)


def read(keys, key):
    """What is known of a key."""
    current = keys.claims.get(key)
    if current is not None:
        return record(_state_for(current, ""), current)
    return record("expired" if digest_of(key) in keys.expired else "absent")


def find_write(keys, idempotency_key):
    """The kept result of a write under this key, or None."""
    return keys.writes.get(idempotency_key)


def store_write(keys, idempotency_key, digest, result, clock_ms):
    """Keep a write's result for resends."""
    keys.writes[idempotency_key] = StoredWrite(digest, result, clock_ms)


def record(state, current=None):
    """A KeyRecord in this state, with what is known of the claim."""
    if current is None:
        return keeper.KeyRecord(state, "", "", "", "", 0, "", b"", False)
    return keeper.KeyRecord(
        state,
        current.request_id,
        current.entry,
        current.entry_boot_id,
        current.outcome,
        current.status,
        current.content_type,
        current.body,
        current.body_kept,
    )


def _state_for(current, request_id):
    if current.outcome:
        return "finished"
    return "claimed" if current.request_id == request_id else "started"


def _drop_oldest(entries, before_ms, time_of):
    while entries:
        key = next(iter(entries))
        if time_of(entries[key]) > before_ms:
            return
        del entries[key]
