"""Encoding of the messages between processes.

A packed message is the msgpack array ``[name, payload]``; an envelope adds information
about the sender. Decoding is strict: bytes that are not a message of this protocol
version and cell are returned as an error text, never raised as an exception, so that a
receiver can count them and continue.

A message is written without its trailing fields that have their default values. So a
process of an earlier version, whose types lack these fields, can decode all messages
that don't use them. A longer message than it knows is an error there.
"""

import functools
import typing

import msgspec
from result import Err, Ok, Result

from alderreach.core.generated import cell, common, entry, keeper, placer

PROTOCOL_VERSION = 1

REGISTRY = {
    message.__name__: message
    for module in (cell, common, entry, keeper, placer)
    for message in module.MESSAGES
}


class Envelope(typing.NamedTuple):
    """A message between processes with its sender.

    ``reply_address`` is the sender's own peer address, ``host:port``.
    """

    protocol_version: int
    cell: str
    sender: str
    sender_boot_id: str
    reply_address: str
    name: str
    payload: msgspec.Raw


class Received(typing.NamedTuple):
    """A decoded message with information about its sender."""

    sender: str
    sender_boot_id: str
    reply_address: str
    message: typing.Any


_encoder = msgspec.msgpack.Encoder()
_envelope_decoder = msgspec.msgpack.Decoder(Envelope)


@functools.cache
def _decoder(name):
    return msgspec.msgpack.Decoder(REGISTRY[name])


@functools.cache
def _has_defaults(kind):
    """Whether a type, or one that its fields may contain, has fields with defaults."""
    if typing.get_args(kind):
        return any(_has_defaults(part) for part in typing.get_args(kind))
    if not hasattr(kind, "_field_defaults"):
        return False
    hints = typing.get_type_hints(kind).values()
    return bool(kind._field_defaults) or any(_has_defaults(part) for part in hints)


def shortened(value):
    """The value without trailing fields that have their defaults, as plain tuples.

    >>> shortened(cell.ReadJob("a.example", "/q/5c0e"))
    ('a.example', '/q/5c0e')
    >>> shortened(cell.ReadJob("a.example", "/q/5c0e", b"digest"))
    ('a.example', '/q/5c0e', b'digest')
    """
    if isinstance(value, list):
        return [shortened(part) for part in value]
    if not _has_defaults(type(value)):
        return value
    parts = list(value)
    for name in reversed(value._fields):
        if name not in value._field_defaults:
            break
        if parts[-1] != value._field_defaults[name]:
            break
        parts.pop()
    return tuple(shortened(part) for part in parts)


def encode(value):
    """Encode a value whose type the reader knows, such as an item's value."""
    return _encoder.encode(shortened(value))


def decode(data, kind):
    """Decode the output of ``encode`` as the NamedTuple type ``kind``.

    Raises ``msgspec.ValidationError`` or ``DecodeError`` on bytes of another type.
    """
    return _decoder(kind.__name__).decode(data)


def pack(message):
    """Encode a message with its name, for a field that holds any command."""
    return _encoder.encode((type(message).__name__, shortened(message)))


def unpack(data) -> Result:
    """Decode the output of ``pack``: ``Ok(message)``, or ``Err(text)`` if invalid."""
    try:
        name, payload = msgspec.msgpack.decode(data, type=tuple[str, msgspec.Raw])
        return Ok(_decoder(name).decode(payload))
    except (msgspec.MsgspecError, KeyError) as error:
        return Err(f"not a packed message: {error}")


def encode_envelope(cell, sender, boot_id, reply_address, message):
    """Encode a message with its sender for the wire."""
    payload = msgspec.Raw(encode(message))
    name = type(message).__name__
    return _encoder.encode(
        Envelope(PROTOCOL_VERSION, cell, sender, boot_id, reply_address, name, payload)
    )


def decode_envelope(cell, data) -> Result:
    """Decode wire bytes: ``Ok(Received)``, or ``Err(text)`` with what is wrong."""
    try:
        envelope = _envelope_decoder.decode(data)
        if envelope.protocol_version != PROTOCOL_VERSION:
            return Err(f"protocol version {envelope.protocol_version}")
        if envelope.cell != cell:
            return Err(f"cell {envelope.cell!r}")
        message = _decoder(envelope.name).decode(envelope.payload)
    except (msgspec.MsgspecError, KeyError) as error:
        return Err(f"undecodable: {error}")
    return Ok(
        Received(
            envelope.sender, envelope.sender_boot_id, envelope.reply_address, message
        )
    )
