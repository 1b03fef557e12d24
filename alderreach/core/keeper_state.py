"""The state machine of the replicated log: the versioned map, owners, idempotency keys.

``apply`` depends on the log alone. Its only clock is the time that the leaders stamped
on the entries, so that every keeper expires the same keys at the same entry. Its only
settings are in the log too (``KeeperPolicy``).

Each command that changes the map gives all its items the next version. Deleted items
remain as tombstones for ``lifetime_ms``, so that a follower that missed the deletion
receives it as a change. If they were never dropped, the tombstones of finished jobs
would exhaust the memory. A follower below ``floor_version`` may have missed a dropped
tombstone and must fetch the full map.

Items under ``EXPIRING_PREFIX`` stand for idempotency keys of jobs and expire like other
keys. If they never expired, they would be the largest part of the state. No process
follows them, so their removal gets no version. Writing an expired one again is refused
for as long as the expired key is remembered, since its job must not run a second time.

>>> state = State()
>>> write = keeper.ItemWrite("team/a", 0, b"...")
>>> command = keeper.WriteItems("", "ana", [write], "", 0, 0)
>>> apply(state, command, index=1, wall_ms=0).status, state.version
('accepted', 1)
"""

import bisect
import typing

from alderreach.core import cell_state, codec, key_state
from alderreach.core.generated import cell, common, keeper

ANY_VERSION = -1
EXPIRING_PREFIX = "submission/"
EXPIRED_AUTHOR = "expired"
HISTORY_SLACK = 1024


class StoredItem(typing.NamedTuple):
    """An item of the map; ``value`` is None for a tombstone."""

    version: int
    value: bytes | None
    author: str


class State:
    """The result of applying the log; modified only by ``apply`` and
    ``keeper_dump.load``.

    ``history`` lists (version, key) in order of version. Entries made stale by a later
    write of the key are skipped, and dropped once they outnumber the others.
    ``expiring`` maps the keys of expiring items to the time of their write, and
    ``deleted`` maps the keys of tombstones to the time of their deletion; both are in
    order of time. ``floor_version`` is the highest version of a dropped tombstone.
    """

    def __init__(self):
        self.index = 0
        self.version = 0
        self.clock_ms = 0
        self.floor_version = 0
        self.items = {}
        self.deleted = {}
        self.expiring = {}
        self.history = []
        self.keys = key_state.Keys()
        self.cell = cell_state.CellState()


def apply(state, command, index, wall_ms):
    """Apply the command of one log entry; returns its result message."""
    state.index = index
    state.clock_ms = max(state.clock_ms, wall_ms)
    key_state.expire(state.keys, state.clock_ms)
    _drop_tombstones(state)
    _expire_items(state)
    handler = HANDLERS.get(type(command))
    return handler(state, command) if handler else None


def changes_after(state, version, prefixes, max_items):
    """Return the items changed after ``version`` under any of the prefixes.

    Returns (to_version, items), which is complete up to ``to_version``. The items of
    one version are never split, so there may be slightly more than ``max_items``.
    """
    start = bisect.bisect_right(state.history, version, key=lambda entry: entry[0])
    prefixes = tuple(prefixes)
    items = []
    reached = version
    for position in range(start, len(state.history)):
        changed_at, key = state.history[position]
        if changed_at != reached and len(items) >= max_items:
            return reached, items
        reached = changed_at
        stored = state.items.get(key)
        is_newest = stored is not None and stored.version == changed_at
        if is_newest and key.startswith(prefixes):
            items.append(common.Item(key, changed_at, stored.value))
    return state.version, items


def items_under(state, prefix):
    """Return all items under a prefix that are not deleted, in order of key."""
    return [
        common.Item(key, stored.version, stored.value)
        for key, stored in sorted(state.items.items())
        if stored.value is not None and key.startswith(prefix)
    ]


def owner_of(state, failure_domain):
    """Return the current owner of a failure domain, or None."""
    stored = state.items.get(f"owner/{failure_domain}")
    if stored is None or stored.value is None:
        return None
    return codec.decode(stored.value, common.Owner)


def put(state, writes, author):
    """Write (key, value) pairs as the next version of the map."""
    state.version += 1
    for key, value in writes:
        state.items[key] = StoredItem(state.version, value, author)
        state.history.append((state.version, key))
        state.deleted.pop(key, None)
        state.expiring.pop(key, None)
        if value is None:
            state.deleted[key] = state.clock_ms
        elif key.startswith(EXPIRING_PREFIX):
            state.expiring[key] = state.clock_ms
    if len(state.history) > 2 * len(state.items) + HISTORY_SLACK:
        state.history = history_of(state)


def history_of(state):
    """Return the history without entries made stale by later writes."""
    return sorted((stored.version, key) for key, stored in state.items.items())


def _drop_tombstones(state):
    before_ms = state.clock_ms - state.keys.lifetime_ms
    while state.deleted:
        key = next(iter(state.deleted))
        if state.deleted[key] > before_ms:
            return
        del state.deleted[key]
        version = state.items.pop(key).version
        state.floor_version = max(state.floor_version, version)


def _expire_items(state):
    before_ms = state.clock_ms - state.keys.lifetime_ms
    while state.expiring:
        key = next(iter(state.expiring))
        if state.expiring[key] > before_ms:
            return
        del state.expiring[key]
        del state.items[key]
        state.keys.expired[_expired_digest(key)] = state.clock_ms


def _expired_digest(key):
    """Return a digest distinct from those of claimed keys in the same dictionary."""
    return key_state.digest_of("item", key)


def _write_items(state, command):
    digest = key_state.digest_of(command.author, command.writes)
    if command.idempotency_key:
        kept = key_state.find_write(state.keys, command.idempotency_key)
        if kept is not None and kept.digest != digest:
            return keeper.WriteResult("key_reused", state.version, [])
        if kept is not None:
            return kept.result
    result = _decide_write(state, command)
    if command.idempotency_key:
        key_state.store_write(
            state.keys, command.idempotency_key, digest, result, state.clock_ms
        )
    return result


def _decide_write(state, command):
    if command.guard_failure_domain:
        owner = owner_of(state, command.guard_failure_domain)
        if owner is None or owner.epoch != command.guard_epoch:
            return keeper.WriteResult("stale_epoch", state.version, [])
    conflicts = [
        conflict
        for write in command.writes
        if (conflict := _conflict(state, write)) is not None
    ]
    if conflicts:
        return keeper.WriteResult("conflict", state.version, conflicts)
    if command.writes:
        pairs = [(write.key, write.value) for write in command.writes]
        put(state, pairs, command.author)
    return keeper.WriteResult("accepted", state.version, [])


def _conflict(state, write):
    """Return the conflict of a write with the current item, or None.

    A base version of 0 matches an item that never existed or was deleted. The version
    of the tombstone matches too, so that a writer that saw the deletion can write.
    """
    if _expired_digest(write.key) in state.keys.expired:
        return keeper.ItemConflict(write.key, state.version, EXPIRED_AUTHOR)
    stored = state.items.get(write.key)
    if write.base_version == ANY_VERSION or stored is None:
        fits = stored is not None or write.base_version <= 0
    else:
        absent = stored.value is None and write.base_version == 0
        fits = absent or write.base_version == stored.version
    if fits:
        return None
    version, author = (stored.version, stored.author) if stored else (0, "")
    return keeper.ItemConflict(write.key, version, author)


def _grant(state, command):
    """Make the requester the owner if the epoch is still the one it saw.

    A resend of a grant that was applied finds its own boot as the owner and is granted
    the same epoch again.
    """
    owner = owner_of(state, command.failure_domain)
    epoch = owner.epoch if owner else 0
    asked = command.expected_epoch + 1
    if epoch == asked and _is_same_boot(owner, command):
        return keeper.GrantResult("granted", owner)
    if epoch != command.expected_epoch:
        return keeper.GrantResult("raced", owner or no_owner(command.failure_domain))
    granted = common.Owner(
        command.failure_domain,
        command.placer,
        command.boot_id,
        command.peer_address,
        command.target_address,
        asked,
    )
    put(
        state,
        [(f"owner/{command.failure_domain}", codec.encode(granted))],
        command.placer,
    )
    return keeper.GrantResult("granted", granted)


def no_owner(failure_domain):
    """Return the placeholder for the owner of a domain that never had one."""
    return common.Owner(failure_domain, "", "", "", "", 0)


def _is_same_boot(owner, command):
    return (owner.placer, owner.boot_id) == (command.placer, command.boot_id)


def _record_intent(state, command):
    return key_state.claim(state.keys, command, state.clock_ms)


def _record_outcome(state, command):
    return key_state.finish(state.keys, command, state.clock_ms)


def _set_policy(state, command):
    state.keys.lifetime_ms = command.key_lifetime_ms
    return command


def _change_cell(state, command):
    cell_state.apply_batch(state.cell, command)
    return command


HANDLERS = {
    cell.CellBatch: _change_cell,
    keeper.WriteItems: _write_items,
    keeper.GrantOwnership: _grant,
    keeper.RecordIntent: _record_intent,
    keeper.RecordOutcome: _record_outcome,
    keeper.KeeperPolicy: _set_policy,
}
LOGGED_COMMANDS = (
    keeper.WriteItems,
    keeper.GrantOwnership,
    keeper.RecordIntent,
    keeper.RecordOutcome,
)
