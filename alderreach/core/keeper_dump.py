"""Conversion of the keepers' state to and from a stream of records, for snapshots.

The first record holds the counters. Each other record holds up to ``RECORD_ENTRIES``
entries of one kind, so that the encoded state is never in memory as a whole.
"""

import itertools
import typing

import msgspec

from alderreach.core import cell_state, keeper_state, key_state

RECORD_ENTRIES = 1000


class Counters(typing.NamedTuple):
    """The state's scalars."""

    index: int
    version: int
    floor_version: int
    clock_ms: int
    lifetime_ms: int


KINDS = {
    "items": dict[str, keeper_state.StoredItem],
    "deleted": dict[str, int],
    "expiring": dict[str, int],
    "claims": dict[str, key_state.Claim],
    "writes": dict[str, key_state.StoredWrite],
    "expired": dict[bytes, int],
    "abandoned": dict[str, int],
}

CELL_KINDS = ("cell", "cell_job")
ITEM_KINDS = ("items", "deleted", "expiring")


def copy(state):
    """Return a copy that later changes of the state don't affect; values are shared."""
    other = keeper_state.State()
    other.index, other.version = state.index, state.version
    other.clock_ms = state.clock_ms
    other.floor_version = state.floor_version
    other.keys.lifetime_ms = state.keys.lifetime_ms
    for kind in KINDS:
        _section(other, kind).update(_section(state, kind))
    other.cell = cell_state.copy(state.cell)
    return other


def dump(state):
    """Yield the records of a state, which must not change meanwhile."""
    counters = Counters(
        state.index,
        state.version,
        state.floor_version,
        state.clock_ms,
        state.keys.lifetime_ms,
    )
    yield msgspec.msgpack.encode(("counters", counters))
    for kind in KINDS:
        entries = iter(_section(state, kind).items())
        while batch := dict(itertools.islice(entries, RECORD_ENTRIES)):
            yield msgspec.msgpack.encode((kind, batch))
    for kind, data in cell_state.dump(state.cell):
        yield msgspec.msgpack.encode((kind, msgspec.Raw(data)))


def load(records):
    """Build a state from its records.

    Raises ``msgspec.MsgspecError`` if a record is invalid.
    """
    state = keeper_state.State()
    for data in records:
        kind, payload = msgspec.msgpack.decode(data, type=tuple[str, msgspec.Raw])
        if kind == "counters":
            counters = msgspec.msgpack.decode(payload, type=Counters)
            state.index, state.version = counters.index, counters.version
            state.floor_version = counters.floor_version
            state.clock_ms = counters.clock_ms
            state.keys.lifetime_ms = counters.lifetime_ms
        elif kind in KINDS:
            batch = msgspec.msgpack.decode(payload, type=KINDS[kind])
            _section(state, kind).update(batch)
        elif kind in CELL_KINDS:
            cell_state.load_part(state.cell, kind, payload)
        else:
            raise msgspec.ValidationError(f"unknown kind of record: {kind!r}")
    state.history = keeper_state.history_of(state)
    return state


def _section(state, kind):
    return getattr(state if kind in ITEM_KINDS else state.keys, kind)
