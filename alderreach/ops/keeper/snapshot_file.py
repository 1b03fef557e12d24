"""Snapshots on disk: a header, the state's records and an end mark.

A snapshot is written beside the one in force and renamed over it once synced. It is
sent to other keepers as the bytes of the file, and checked whole before it counts.
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
    """A snapshot in force, and the state it holds."""

    snapshot: raft_state.Snapshot
    state: typing.Any


def write(folder, index, term, members, state):
    """Write, sync and put in force a snapshot of an unchanging state; raises OSError.

    Any thread may call it.
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
    _make_current(path)
    return _open_snapshot(pathlib.Path(folder) / FILE, header)


def load(folder) -> Result:
    """Read the snapshot in force: ``Ok(Loaded)``, ``Ok(None)`` or ``Err(text)``."""
    path = pathlib.Path(folder) / FILE
    if not path.exists():
        return Ok(None)
    return _load(path)


class Sink:
    """Takes a snapshot that another keeper sends; see ``raft_state.Node``.

    ``when_room(write)`` calls ``write`` until the disk has room for it.
    """

    def __init__(self, folder, retry_while_full):
        self._folder = pathlib.Path(folder)
        self._retry_while_full = retry_while_full
        self._file = None
        self.loaded = None

    def begin(self, _index, _term):
        """Start over with an empty file."""
        self.close()
        self._file = (self._folder / PART_FILE).open("wb", buffering=0)

    def write(self, data):
        """Add the next bytes."""
        self._retry_while_full(lambda: files.append_whole(self._file, data))

    def finish(self):
        """Sync and check the file and put it in force; None if it is not whole.

        What it held is left in ``loaded``.
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
        """Give up a snapshot that is not whole."""
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
    """A Snapshot that stays readable after a newer one took the file's name."""
    file = path.open("rb")
    size = os.fstat(file.fileno()).st_size

    def read(offset, count):
        return os.pread(file.fileno(), count, offset)

    return raft_state.Snapshot(header.index, header.term, header.members, size, read)
