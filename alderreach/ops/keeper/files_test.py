"""Torn and corrupt files: which are truncated, which are refused, and error texts."""

import contextlib
import shutil

import pytest

from alderreach.core import codec, keeper_state, raft_state
from alderreach.core.generated import keeper
from alderreach.ops.keeper import log_file, snapshot_file, storage

MEMBERS = [keeper.Member("id", "k1", "k1", True, False)]


def entry(term, data=b"data"):
    return keeper.LogEntry(term, 0, "command", data)


def members_entry():
    data = codec.encode(keeper.MemberList(MEMBERS))
    return keeper.LogEntry(1, 0, "members", data)


@pytest.fixture
def folder(tmp_path):
    """A log of three synced writes; the third replaces an entry of the second."""
    log_file.create(tmp_path, "id")
    log = log_file.LogFile(tmp_path, "id")
    log.append(raft_state.Write(1, "id", 1, [members_entry()]))
    log.append(raft_state.Write(1, "id", 2, [entry(1, b"kept"), entry(1, b"lost")]))
    log.append(raft_state.Write(3, "k2", 3, [entry(3, b"won")]))
    log.close()
    return tmp_path


def damage(path, offset):
    data = bytearray(path.read_bytes())
    data[offset] ^= 0x40
    path.write_bytes(data)


def open_once(folder):
    with contextlib.ExitStack() as stack:
        return storage.open_folder(folder, stack)


def test_a_log_is_loaded_as_written(folder):
    opened = open_once(folder).unwrap()
    assert (opened.identity, opened.term, opened.voted_for) == ("id", 3, "k2")
    assert [e.data for e in opened.log.entries[1:]] == [b"kept", b"won"]
    assert (opened.torn_bytes, opened.is_new) == (0, False)


def test_a_torn_last_record_of_any_length_is_truncated(folder):
    """Power fails while a record is written; no part of it was acknowledged."""
    content = (folder / "log").read_bytes()
    before = content[: content.rindex(b"\xa1rch")]
    for length in range(len(before) + 1, len(content)):
        (folder / "log").write_bytes(content[:length])
        opened = open_once(folder).unwrap()
        assert opened.torn_bytes == length - len(before)
        assert (opened.term, opened.log.last_index) == (1, 3)
        assert (folder / "log").read_bytes() == before
    (folder / "log").write_bytes(before + bytes(100))
    assert open_once(folder).unwrap().torn_bytes == 100


def test_damage_before_the_last_record_refuses_to_start(folder):
    """A disk sector fails. Its data may have been acknowledged, so a keeper that starts
    without it could help to elect a leader that lacks it.
    """
    path = folder / "log"
    content = path.read_bytes()
    for offset in range(content.rindex(b"\xa1rch")):
        damage(path, offset)
        refused = open_once(folder)
        assert refused.is_err(), offset
        assert str(path) in refused.err_value and "offset" in refused.err_value
        path.write_bytes(content)


def test_damage_anywhere_in_a_snapshot_refuses_to_start(folder):
    state = keeper_state.State()
    state.index = 3
    snapshot_file.write(folder, 3, 3, MEMBERS, state)
    snapshot_file.make_current(folder)
    path = folder / "snapshot"
    for offset in range(path.stat().st_size):
        damage(path, offset)
        refused = open_once(folder)
        assert str(path) in refused.err_value and "offset" in refused.err_value
        damage(path, offset)
    assert open_once(folder).unwrap().snapshot.index == 3


def test_a_folder_that_lost_one_of_its_files_is_refused(folder):
    """Without the log the identity is lost; the snapshot alone must not vote."""
    state = keeper_state.State()
    state.index = 3
    snapshot_file.write(folder, 3, 3, MEMBERS, state)
    snapshot_file.make_current(folder)
    opened = open_once(folder).unwrap()
    opened.log.compact(2)
    log_file.LogFile(folder, "id").rewrite(opened.log, 3, "")
    copy = folder / "copy"
    copy.mkdir()
    shutil.copy(folder / "log", copy)
    assert "covers 0" in open_once(copy).err_value
    (folder / "log").unlink()
    assert "missing" in open_once(folder).err_value


def test_a_snapshot_installed_before_the_log_was_reset_is_used(folder):
    """The process ends between the two steps of installing a snapshot."""
    state = keeper_state.State()
    state.index = 9
    snapshot_file.write(folder, 9, 4, MEMBERS, state)
    snapshot_file.make_current(folder)
    opened = open_once(folder).unwrap()
    assert (opened.log.base_index, opened.log.last_index) == (9, 9)
    assert opened.term == 3


def test_a_second_process_on_the_same_folder_is_refused(folder):
    with contextlib.ExitStack() as stack:
        assert storage.open_folder(folder, stack).is_ok()
        assert "another process" in open_once(folder).err_value


@pytest.mark.parametrize("count", [1, 12])
def test_entries_after_a_snapshot_installed_before_a_restart_are_kept(folder, count):
    """The process ends between the two steps of installing a snapshot, and later again.

    The entries that it acknowledged in between were lost, or got other indexes: the
    file still had the log from before the snapshot, and they were read as its next.
    """
    state = keeper_state.State()
    state.index = 9
    snapshot_file.write(folder, 9, 4, MEMBERS, state)
    snapshot_file.make_current(folder)
    assert open_once(folder).unwrap().log.last_index == 9
    entries = [entry(4, b"%d" % index) for index in range(10, 10 + count)]
    log = log_file.LogFile(folder, "id")
    log.append(raft_state.Write(4, "", 10, entries))
    log.close()
    opened = open_once(folder).unwrap()
    assert (opened.log.base_index, opened.log.last_index) == (9, 9 + count)
    assert opened.log.entries == entries
    assert opened.term == 4
