"""An owner's writes to the keepers: coalesced, one batch in flight, guarded by epoch.

Items change far more often than they need to become durable. Each key is written with
the value it has when the batch is created, so that a slow quorum leads to larger
batches and not to a longer queue. The guard epoch makes the keepers reject a late write
of a deposed owner.

A copy of a batch that was delayed in the network may reach the keepers after a newer
batch. Every write therefore states the version that it replaces. The late copy then
fails with a conflict, where an unconditional write would restore an older state.
"""

import typing

from alderreach.core import codec
from alderreach.core.generated import keeper

BATCH_ITEMS = 200
PAUSE_MS = 50
RETRY_MS = 300


class _PendingWrite(typing.NamedTuple):
    """One key of the batch in flight."""

    key: str
    value: bytes | None
    make: typing.Callable
    on_durable: typing.Callable | None


class ItemWriter:
    """Keys to be written; ``mark`` may be called any number of times for a key.

    ``make()`` returns the value (None deletes the item) and a function to call once
    that value is durable, or None. ``versions`` maps keys to their current versions.
    ``failing`` is True while the last batch ended without a result from the keepers.
    """

    def __init__(self, failure_domain, author, epoch, versions):
        self._failure_domain = failure_domain
        self._author = author
        self._epoch = epoch
        self._versions = dict(versions)
        self._makers = {}
        self._in_flight = None
        self._next_ms = 0
        self.failing = False

    def mark(self, key, make):
        """Schedule a write of an item; ``make`` is called when the batch is created."""
        self._makers.setdefault(key, make)

    def record_version(self, item):
        """Record the version of an item written by others, needed to delete it."""
        self._update_version(item.key, item.version if item.value is not None else 0)

    @property
    def has_work(self):
        """Whether there is a batch to send and none in flight."""
        return bool(self._makers) and self._in_flight is None

    def next_batch(self, now_ms, wall_ms):
        """Return the WriteItems to send now, or None."""
        if not self._makers or self._in_flight is not None or now_ms < self._next_ms:
            return None
        self._in_flight = []
        for key in list(self._makers)[:BATCH_ITEMS]:
            make = self._makers.pop(key)
            value, on_durable = make()
            if value is not None or key in self._versions:
                self._in_flight.append(_PendingWrite(key, value, make, on_durable))
        if not self._in_flight:
            self._in_flight = None
            return None
        writes = [
            keeper.ItemWrite(entry.key, self._versions.get(entry.key, 0), entry.value)
            for entry in self._in_flight
        ]
        return keeper.WriteItems(
            "", self._author, writes, self._failure_domain, self._epoch, wall_ms
        )

    def handle_outcome(self, outcome, now_ms):
        """Handle the batch's ``keeper_client.Outcome``; returns the write's status.

        Items that may not have been written are written again with their newest values.
        """
        writes_sent, self._in_flight = self._in_flight, None
        result = None
        if outcome.status == "ok":
            result = codec.unpack(outcome.result).unwrap()
        if result is None or result.status != "accepted":
            self._requeue(writes_sent, result, now_ms)
            return result.status if result else outcome.status
        self.failing = False
        self._next_ms = now_ms + PAUSE_MS
        for entry in writes_sent:
            self._update_version(entry.key, result.version if entry.value else 0)
            if entry.on_durable is not None:
                entry.on_durable()
        return result.status

    def _requeue(self, writes_sent, result, now_ms):
        self.failing = result is None
        self._next_ms = now_ms + (RETRY_MS if result is None else PAUSE_MS)
        for conflict in result.conflicts if result else ():
            self._update_version(conflict.key, conflict.version)
        for entry in writes_sent:
            self._makers.setdefault(entry.key, entry.make)

    def _update_version(self, key, version):
        if version:
            self._versions[key] = version
        else:
            self._versions.pop(key, None)
