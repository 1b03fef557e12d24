"""The log on disk: one file of records; the first holds the keeper's identity.

The identity is in the same file as the log, term and vote, so a keeper that loses the
file also loses its identity and restarts with a new one. Records are only appended. A
record whose entries start at or below the end of an earlier record replaces the
overlapping entries. Compaction writes a new file and renames it over the old one.
"""

import os
import pathlib
import typing

import msgspec
from result import Err, Ok, Result

from alderreach.core import raft_log, raft_state
from alderreach.ops.keeper import records
from alderreach.utils import files

FILE = "log"
FORMAT = 1


class Header(typing.NamedTuple):
    """The first record; entries start after ``base_index``."""

    format: int
    identity: str
    base_index: int
    base_term: int


class Loaded(typing.NamedTuple):
    """The content of a log file; ``torn_bytes`` were truncated from its end."""

    identity: str
    term: int
    voted_for: str
    log: raft_log.Log
    torn_bytes: int


_encode = msgspec.msgpack.Encoder().encode
_decode_header = msgspec.msgpack.Decoder(Header).decode
_decode_write = msgspec.msgpack.Decoder(raft_state.Write).decode


def create(folder, identity):
    """Create the file of a new keeper; raises OSError."""
    header = _encode(Header(FORMAT, identity, 0, 0))
    files.replace_synced(pathlib.Path(folder) / FILE, records.frame(header))


def load(folder) -> Result:
    """Read the file and truncate a torn last record.

    Returns ``Ok(Loaded)`` or ``Err(text)``. The header is written atomically, so an
    unreadable header is corrupt rather than torn.
    """
    path = pathlib.Path(folder) / FILE
    scanned = records.scan(path)
    if isinstance(scanned, Err):
        return scanned
    payloads, end, size = scanned.ok_value
    if not payloads:
        return Err(f"{path}: the record at offset 0 is corrupt")
    try:
        header = _decode_header(payloads[0])
        writes = [_decode_write(payload) for payload in payloads[1:]]
    except msgspec.MsgspecError as error:
        return Err(f"{path}: a record holds something else: {error}")
    if header.format != FORMAT:
        return Err(f"{path}: format {header.format} is not known")
    if end < size:
        _truncate(path, end)
    return Ok(_replay(header, writes, size - end))


def rewrite(folder, loaded):
    """Replace the file of a keeper that is not running; raises OSError."""
    file = LogFile(folder, loaded.identity)
    try:
        file.rewrite(loaded.log, loaded.term, loaded.voted_for)
    finally:
        file.close()


class LogFile:
    """The file, open for writing; any ``OSError`` except DiskFull is final.

    After a failed sync the kernel may have dropped the bytes, and a second sync would
    report success, so the caller must stop answering and must not retry. After DiskFull
    the file contains no part of the record, so the write may be retried.
    """

    def __init__(self, folder, identity):
        self._path = pathlib.Path(folder) / FILE
        self._identity = identity
        self._file = self._path.open("ab", buffering=0)

    def append(self, write):
        """Write and sync one ``raft_state.Write``."""
        files.append_all(self._file, records.frame(_encode(write)))
        os.fsync(self._file.fileno())

    def rewrite(self, log, term, voted_for):
        """Replace the file by one that contains only this log."""
        header = Header(FORMAT, self._identity, log.base_index, log.base_term)
        write = raft_state.Write(term, voted_for, log.base_index + 1, log.entries)
        data = records.frame(_encode(header)) + records.frame(_encode(write))
        files.replace_synced(self._path, data)
        self._file.close()
        self._file = self._path.open("ab", buffering=0)

    def close(self):
        """Close the file, which is already synced."""
        self._file.close()


def _replay(header, writes, torn_bytes):
    term, voted_for = 0, ""
    log = raft_log.Log(header.base_index, header.base_term)
    for write in writes:
        term, voted_for = write.term, write.voted_for
        if write.first_index <= log.last_index:
            log.truncate_from(write.first_index)
        log.append(write.entries)
    log.unsynced_from = None
    return Loaded(header.identity, term, voted_for, log, torn_bytes)


def _truncate(path, end):
    with path.open("r+b") as file:
        file.truncate(end)
        os.fsync(file.fileno())
