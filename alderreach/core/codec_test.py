"""Tests that messages are encoded without loss and other bytes give an error text."""

import msgspec

from alderreach.core import cell_state, codec
from alderreach.core.generated import cell, common, keeper


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


def test_fields_with_defaults_are_left_out_for_processes_of_earlier_versions():
    queue = cell.QueueConfig("q", "h", "/q/", "pool", 0, 2, 1.5, 250, 3000, None)
    job = cell.CellJob("5c0e", queue, "pool", "run", [], 0, 0, 0)
    change = cell_state.empty_change()._replace(accepted=[cell.JobAccepted(job, 7)])
    batch = cell.CellBatch(7, [change])
    _name, (_wall_ms, [written]) = msgspec.msgpack.decode(codec.pack(batch))
    [[written_job, _accepted_ms]] = written[3]
    assert (len(written_job), len(written_job[1])) == (8, 10)
    assert codec.unpack(codec.pack(batch)).ok_value == batch


def test_fields_that_differ_from_their_defaults_are_written():
    request = cell.ReadJob("h", "/q/5c0e", b"digest")
    config = cell.CellConfig(7, [], [], b"{}", [])
    for message in (request, cell.PutConfig(config)):
        assert codec.unpack(codec.pack(message)).ok_value == message
