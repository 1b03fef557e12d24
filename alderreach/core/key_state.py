"""Idempotency keys: their claims, their outcomes and their expiry.

A key expires ``lifetime_ms`` after its claim, by the clock of the log. Its answer is
dropped then, but a digest of the key is kept for another ``EXPIRED_LIFETIMES``
lifetimes. During that time a request with the key is refused as ``expired``, since a
request must not run a second time because its record was dropped. A leader's clock
that runs ahead can therefore only cause keys to be refused early.

The times of claims never decrease, because the log's clock does not. The oldest record
is therefore always the first in its dictionary, and expiry checks only that one.
"""

import typing

import xxhash

from alderreach.core import codec
from alderreach.core.generated import keeper

EXPIRED_LIFETIMES = 7
DEFAULT_LIFETIME_MS = 86_400_000


class Claim(typing.NamedTuple):
    """A claimed key; ``outcome`` is empty until the request has ended."""

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
    """The result of a WriteItems, kept to answer resends."""

    digest: bytes
    result: keeper.WriteResult
    written_ms: int


class Keys:
    """All keys; each dictionary is in order of time, oldest first.

    ``expired`` maps the digests of expired keys to the time of their expiry, and
    ``abandoned`` maps the ids of abandoned requests to the time they were abandoned.
    """

    def __init__(self):
        self.lifetime_ms = DEFAULT_LIFETIME_MS
        self.claims = {}
        self.writes = {}
        self.expired = {}
        self.abandoned = {}


def digest_of(*values):
    """Return a short digest of any encodable values."""
    return xxhash.xxh3_128_digest(codec.encode(values))


def expire(keys, clock_ms):
    """Drop everything past its lifetime at the log's time ``clock_ms``."""
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
    """Apply a RecordIntent: the first request gets the key."""
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
    """Apply a RecordOutcome; it is ignored unless it comes from the claimant.

    ``not-run`` frees the key and also rejects a later claim by the same request. An
    entry that got no answer to its claim abandons the request this way; a delayed copy
    of the claim must not block the key for a request that has ended.
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
    """Return the KeyRecord of a key."""
    current = keys.claims.get(key)
    if current is not None:
        return record(_state_for(current, ""), current)
    return record("expired" if digest_of(key) in keys.expired else "absent")


def find_write(keys, idempotency_key):
    """Return the StoredWrite of an idempotency key, or None."""
    return keys.writes.get(idempotency_key)


def store_write(keys, idempotency_key, digest, result, clock_ms):
    """Store the result of a write, to answer resends."""
    keys.writes[idempotency_key] = StoredWrite(digest, result, clock_ms)


def record(state, current=None):
    """Return a KeyRecord in this state, with the fields of the current claim if any."""
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
