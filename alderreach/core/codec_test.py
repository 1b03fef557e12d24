"""Tests that messages are encoded without loss and other bytes give an error text."""

from alderreach.core import codec
from alderreach.core.generated import common, keeper


def test_envelope_round_trip():
    message = common.StatusQuery("r1")
    data = codec.encode_envelope("cell", "entry-1", "b1", "127.0.0.1:1", message)
    received = codec.decode_envelope("cell", data).ok_value
    assert received == codec.Received("entry-1", "b1", "127.0.0.1:1", message)


def test_another_cell_and_random_bytes_are_errors():
    data = codec.encode_envelope("other", "e", "b", "a", common.StatusQuery("r1"))
    assert codec.decode_envelope("cell", data).err_value == "cell 'other'"
    assert "undecodable" in codec.decode_envelope("cell", b"\xc1noise").err_value


def test_packed_command_with_nested_messages():
    write = keeper.ItemWrite("team/a", 0, b"x")
    command = keeper.WriteItems("k", "ana", [write], "", 0, 5)
    assert codec.unpack(codec.pack(command)).ok_value == command
    assert codec.unpack(b"\x93\x01").is_err()
