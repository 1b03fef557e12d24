"""The log on disk: one file of records, the keeper's identity first.

The identity stands in the same file as the log, term and vote, so that it can't outlive
them: whoever loses the file comes back as someone else. Records are only added; a
record whose entries start at or below an earlier one's end replaces those. Compaction
writes a new file and renames it over the old.
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
    """The first record; entries start after the base."""

    format: int
    identity: str
    base_index: int
    base_term: int


class Loaded(typing.NamedTuple):
    """What a log file held; ``torn_bytes`` were cut off its end."""

    identity: str
    term: int
    voted_for: str
    log: raft_log.Log
    torn_bytes: int


_encode = msgspec.msgpack.Encoder().encode
_decode_header = msgspec.msgpack.Decoder(Header).decode
_decode_write = msgspec.msgpack.Decoder(raft_state.Write).decode


def create(folder, identity):
    """Make the file of a keeper that never ran; raises OSError."""
    header = _encode(Header(FORMAT, identity, 0, 0))
    files.replace_synced(pathlib.Path(folder) / FILE, records.frame(header))


def load(folder) -> Result:
    """Read the file and cut off a torn last record.

    Returns ``Ok(Loaded)`` or ``Err(text)``; the header is written whole or not at all,
    so a header that does not read is corrupt.
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


class LogFile:
    """The file open for writing; any ``OSError`` it raises but DiskFull is final.

    After a failed sync the kernel may have dropped the bytes, and a second sync would
    report success: the caller must stop answering, not try again. Of a record for which
    the disk had no room nothing is in the file, so that one may be written again.
    """

    def __init__(self, folder, identity):
        self._path = pathlib.Path(folder) / FILE
        self._identity = identity
        self._file = self._path.open("ab", buffering=0)

    def append(self, write):
        """Write and sync one ``raft_state.Write``."""
        files.append_whole(self._file, records.frame(_encode(write)))
        os.fsync(self._file.fileno())

    def rewrite(self, log, term, voted_for):
        """Replace the file by one that holds just this log."""
        header = Header(FORMAT, self._identity, log.base_index, log.base_term)
        write = raft_state.Write(term, voted_for, log.base_index + 1, log.entries)
        data = records.frame(_encode(header)) + records.frame(_encode(write))
        files.replace_synced(self._path, data)
        self._file.close()
        self._file = self._path.open("ab", buffering=0)

    def close(self):
        """Close the file; all in it is synced already."""
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
