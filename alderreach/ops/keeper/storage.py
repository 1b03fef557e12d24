"""Opening a keeper's data folder: identity, log and snapshot must be consistent."""

import fcntl
import pathlib
import typing
import uuid

from result import Err, Ok, Result

from alderreach.core import keeper_state, raft_log, raft_state
from alderreach.ops.keeper import log_file, snapshot_file

LOCK_FILE = "lock"


class OpenedFolder(typing.NamedTuple):
    """The checked content of a data folder."""

    identity: str
    term: int
    voted_for: str
    log: raft_log.Log
    snapshot: raft_state.Snapshot | None
    state: keeper_state.State
    torn_bytes: int
    is_new: bool


def open_folder(folder, stack) -> Result:
    """Read or create a data folder: ``Ok(OpenedFolder)`` or ``Err(text)``.

    A folder that lost only one of its files is refused: without the log the identity is
    lost, and the snapshot belongs to a keeper that may have voted.
    """
    folder = pathlib.Path(folder)
    locked = _lock(folder, stack)
    if isinstance(locked, Err):
        return locked
    snapshot = snapshot_file.load(folder)
    if isinstance(snapshot, Err):
        return snapshot
    is_new = not (folder / log_file.FILE).exists()
    if is_new and snapshot.ok_value is not None:
        return Err(f"{folder / log_file.FILE}: is missing but a snapshot is there")
    if is_new:
        log_file.create(folder, uuid.uuid4().hex)
    loaded = log_file.load(folder)
    if isinstance(loaded, Err):
        return loaded
    return _combine(folder, loaded.ok_value, snapshot.ok_value, is_new)


def _lock(folder, stack):
    """Lock the folder; two writers of one log would sync each other's torn records."""
    file = stack.enter_context((folder / LOCK_FILE).open("w"))
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        return Err(f"{folder}: another process uses this data folder")
    return Ok(None)


def _combine(folder, loaded, loaded_snapshot, is_new):
    log = loaded.log
    snapshot = loaded_snapshot.snapshot if loaded_snapshot else None
    covered = snapshot.index if snapshot else 0
    if covered < log.base_index:
        return Err(
            f"{folder / snapshot_file.FILE}: covers {covered}, "
            f"but the log starts after {log.base_index}"
        )
    if snapshot and log.term_at(covered) != snapshot.term:
        # The process ended after it installed a snapshot and before it reset its log.
        # Records are appended to the file, so it has to be reset too.
        log.reset(covered, snapshot.term)
        log_file.rewrite(folder, loaded)
    state = loaded_snapshot.state if loaded_snapshot else keeper_state.State()
    return Ok(
        OpenedFolder(
            loaded.identity,
            loaded.term,
            loaded.voted_for,
            log,
            snapshot,
            state,
            loaded.torn_bytes,
            is_new,
        )
    )
