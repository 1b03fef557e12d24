"""Checksummed records in files, and the distinction of torn writes from corruption.

A record consists of magic bytes, a length, a checksum over length and payload, and the
payload. Each synced write of the log is one record, so after a crash only the last
record can be incomplete. It was never acknowledged, and is truncated. An invalid record
that is followed by a valid one was once complete and was damaged later. Its content may
have been acknowledged, so it must not be dropped.

Damage to the last record can't be distinguished from a torn write.
"""

import struct
import typing

import xxhash
from result import Err, Ok, Result

MAGIC = b"\xa1rch"
HEADER = struct.Struct("<4sIQ")


class Scan(typing.NamedTuple):
    """A file's payloads, the end of its last complete record, and its size."""

    payloads: list
    end: int
    size: int


def frame(payload):
    """Return the bytes of one record."""
    return HEADER.pack(MAGIC, len(payload), _checksum(payload)) + payload


def scan(path) -> Result:
    """Read a file: ``Ok(Scan)``, or ``Err(text)`` with the offset of the damage.

    ``end`` is below ``size`` if the last record is torn.
    """
    payloads = []
    with open(path, "rb") as file:
        size = file.seek(0, 2)
        file.seek(0)
        end = 0
        while (payload := _read_record(file, size - end)) is not None:
            payloads.append(payload)
            end = file.tell()
        if end < size and _has_record_after(file, end):
            return Err(f"{path}: the record at offset {end} is corrupt")
    return Ok(Scan(payloads, end, size))


def _read_record(file, remaining_bytes):
    header = file.read(HEADER.size)
    if len(header) < HEADER.size:
        return None
    magic, length, checksum = HEADER.unpack(header)
    if magic != MAGIC or length > remaining_bytes - HEADER.size:
        return None
    payload = file.read(length)
    return payload if _checksum(payload) == checksum else None


def _has_record_after(file, offset):
    file.seek(offset + 1)
    rest = file.read()
    position = rest.find(MAGIC)
    while position >= 0:
        header = rest[position : position + HEADER.size]
        if len(header) == HEADER.size:
            _magic, length, checksum = HEADER.unpack(header)
            payload = rest[position + HEADER.size : position + HEADER.size + length]
            if len(payload) == length and _checksum(payload) == checksum:
                return True
        position = rest.find(MAGIC, position + 1)
    return False


def _checksum(payload):
    return xxhash.xxh3_64_intdigest(payload, seed=len(payload))
