"""Snapshots on disk: a header, the state's records and an end marker.

A snapshot is written to a second file, synced, and renamed over the current one. Other
keepers are sent the bytes of the file, and check the complete file before they use it.
Only the keeper's task renames: it alone knows whether a newer snapshot is current.
"""

import os
import pathlib
import typing

import msgspec
from result import Err, Ok, Result

from alderreach.core import keeper_dump, raft_state
from alderreach.core.generated import keeper
from alderreach.ops.keeper import records
from alderreach.utils import files

FILE = "snapshot"
NEW_FILE = "snapshot.new"
PART_FILE = "snapshot.part"
FORMAT = 1
END = b"end"


class Header(typing.NamedTuple):
    """The first record: what the snapshot covers."""

    format: int
    index: int
    term: int
    members: list[keeper.Member]


class Loaded(typing.NamedTuple):
    """The current snapshot and the state it contains."""

    snapshot: raft_state.Snapshot
    state: typing.Any


def write(folder, index, term, members, state):
    """Write and sync a snapshot that is not current yet; raises OSError.

    Any thread may call it; ``state`` must not change meanwhile. ``make_current`` or
    ``discard`` has to follow.
    """
    path = pathlib.Path(folder) / NEW_FILE
    with path.open("wb") as file:
        header = Header(FORMAT, index, term, members)
        file.write(records.frame(msgspec.msgpack.encode(header)))
        for payload in keeper_dump.dump(state):
            file.write(records.frame(payload))
        file.write(records.frame(END))
        file.flush()
        os.fsync(file.fileno())
    return _open_snapshot(path, header)


def make_current(folder):
    """Make the snapshot that ``write`` wrote the current one; raises OSError."""
    _make_current(pathlib.Path(folder) / NEW_FILE)


def discard(folder):
    """Remove the snapshot that ``write`` wrote; raises OSError."""
    (pathlib.Path(folder) / NEW_FILE).unlink()


def load(folder) -> Result:
    """Read the current snapshot: ``Ok(Loaded)``, ``Ok(None)`` or ``Err(text)``."""
    path = pathlib.Path(folder) / FILE
    if not path.exists():
        return Ok(None)
    return _load(path)


class Sink:
    """Receives a snapshot that another keeper sends; see ``raft_state.Node``.

    ``retry_while_full(write)`` calls ``write`` until the disk has room for it.
    """

    def __init__(self, folder, retry_while_full):
        self._folder = pathlib.Path(folder)
        self._retry_while_full = retry_while_full
        self._file = None
        self.loaded = None

    def begin(self, _index, _term):
        """Start a new transfer with an empty file."""
        self.close()
        self._file = (self._folder / PART_FILE).open("wb", buffering=0)

    def write(self, data):
        """Append the next bytes."""
        self._retry_while_full(lambda: files.append_all(self._file, data))

    def finish(self):
        """Sync and check the file and make it current; None if it is incomplete.

        ``loaded`` then has its content.
        """
        path = self._folder / PART_FILE
        os.fsync(self._file.fileno())
        self.close()
        if isinstance(_load(path), Err):
            return None
        _make_current(path)
        self.loaded = _load(self._folder / FILE).unwrap()
        return self.loaded.snapshot

    def close(self):
        """Close the file; an incomplete snapshot is abandoned."""
        if self._file is not None:
            self._file.close()
            self._file = None


def _make_current(path):
    path.replace(path.with_name(FILE))
    files.sync_folder(path.parent)


def _load(path):
    scanned = records.scan(path)
    if isinstance(scanned, Err):
        return scanned
    payloads, end, size = scanned.ok_value
    if end < size or not payloads or payloads[-1] != END:
        return Err(f"{path}: the record at offset {end} is missing or corrupt")
    try:
        header = msgspec.msgpack.decode(payloads[0], type=Header)
        state = keeper_dump.load(payloads[1:-1])
    except msgspec.MsgspecError as error:
        return Err(f"{path}: a record holds something else: {error}")
    if header.format != FORMAT:
        return Err(f"{path}: format {header.format} is not known")
    return Ok(Loaded(_open_snapshot(path, header), state))


def _open_snapshot(path, header):
    """Return a Snapshot that stays readable after a newer one replaced the file."""
    file = path.open("rb")
    size = os.fstat(file.fileno()).st_size

    def read(offset, count):
        return os.pread(file.fileno(), count, offset)

    return raft_state.Snapshot(header.index, header.term, header.members, size, read)
