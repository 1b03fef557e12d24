"""The data folder of a running keeper: log writes, snapshots and compaction.

Any failed write or sync of the log ends the process. A failed sync may have dropped
data, and a second sync would report success, so a later vote or acknowledgement could
promise something that is lost. Operators see ``storage_failed`` in the time line and
the log; the other keepers continue.

A full disk does not end the process: nothing was written, and space may become free
again. If the process exited, the platform would restart it, it would exit at its first
write again, and after several restarts the platform would give up on it. Instead the
keeper's task waits for free space. To the other keepers it looks like a frozen process:
it neither votes nor acknowledges, and if it was the leader, it is replaced. Once there
is space, the pending data is written, and only then are the requests answered.
Operators see ``disk_full`` and ``disk_has_room``, and the gauge ``disk_full``.
"""

import time
import typing

from absl import logging

from alderreach.core import keeper_dump, raft, raft_state
from alderreach.ops.keeper import log_file, snapshot_file
from alderreach.utils import files

EXIT_STORAGE = 4
# Delay between two attempts to write to a full disk.
DISK_FULL_RETRY_S = 0.1
# Compaction keeps at most this much of the log that a snapshot covers.
MAX_LOG_TAIL_BYTES = 8 << 20


class SnapshotWritten(typing.NamedTuple):
    """Message to the keeper's task; ``snapshot`` is None if writing it failed."""

    snapshot: raft_state.Snapshot | None


class Disk:
    """The open files of one keeper; only ``_write_snapshot`` runs outside its task.

    ``hooks.run_in_background(work)`` writes a snapshot outside the task,
    ``put(message)`` sends the task a message, ``hooks.end_process(code)`` ends the
    process without any clean-up, and ``hooks.wait(seconds)`` waits.
    """

    def __init__(self, context, identity, hooks, put):
        self._folder = context.settings.process.data_folder
        self._snapshot_entries = context.settings.limits.snapshot_entries
        self._timeline = context.timeline
        self._metrics = context.metrics
        self._hooks = hooks
        self._put = put
        self._log_file = log_file.LogFile(self._folder, identity)
        self._is_writing_snapshot = False
        self.sink = snapshot_file.Sink(self._folder, self._retry_while_full)

    def write(self, node):
        """Write and sync new entries; return an installed snapshot's state, or None.

        An installed snapshot may replace entries, so the log is then rewritten in full.
        """
        try:
            write = raft.pop_write(node)
            if node.installed_snapshot is not None:
                return self._install(node)
            if write is not None:
                started_ns = time.perf_counter_ns()
                self._retry_while_full(lambda: self._log_file.append(write))
                spent_ms = (time.perf_counter_ns() - started_ns) / 1_000_000
                self._metrics.observe_ms("log_sync", spent_ms)
        except OSError as error:
            self.fail_stop(error)
        return None

    def snapshot_if_due(self, node, state):
        """Start writing a snapshot if enough entries were applied since the last."""
        covered = node.snapshot.index if node.snapshot else 0
        due = state.index - covered >= self._snapshot_entries
        if not due or self._is_writing_snapshot:
            return
        index = state.index
        term, members = node.log.term_at(index), node.members_at(index)
        copy = keeper_dump.copy(state)
        self._is_writing_snapshot = True
        self._hooks.run_in_background(
            lambda: self._write_snapshot(index, term, members, copy)
        )

    def compact(self, node, snapshot):
        """Make a new snapshot current, and remove most of the entries that it covers.

        The leader may have sent a newer one in the meantime. That one has to stay: the
        log starts after it.
        """
        self._is_writing_snapshot = False
        if snapshot is None:
            return
        is_outdated = node.snapshot and node.snapshot.index >= snapshot.index
        try:
            if is_outdated:
                snapshot_file.discard(self._folder)
                return
            snapshot_file.make_current(self._folder)
        except OSError as error:
            self.fail_stop(error)
        node.snapshot = snapshot
        max_tail_entries = self._snapshot_entries // 2
        compact_until = raft_state.compaction_index(
            node.log, snapshot.index, max_tail_entries, MAX_LOG_TAIL_BYTES
        )
        raft_state.compact(node, compact_until)
        raft.pop_write(node)
        try:
            self._rewrite(node)
        except OSError as error:
            self.fail_stop(error)

    def fail_stop(self, error):
        """End the process, since it must not promise anything after a failed write."""
        detail = f"writing to {self._folder} failed: {error}"
        self._timeline.record("storage_failed", detail=detail)
        logging.error("%s; the keeper exits and does not vote", detail)
        logging.flush()
        # The process ends without clean-up, so buffered events would be lost.
        self._timeline.flush()
        self._hooks.end_process(EXIT_STORAGE)

    def close(self):
        """Close the files."""
        self._log_file.close()
        self.sink.close()

    def _install(self, node):
        node.installed_snapshot = None
        self._rewrite(node)
        state = self.sink.loaded.state
        self._timeline.record("snapshot_installed", detail=f"index {state.index}")
        return state

    def _rewrite(self, node):
        self._retry_while_full(
            lambda: self._log_file.rewrite(node.log, node.term, node.voted_for)
        )

    def _retry_while_full(self, write):
        """Call ``write`` until the disk has room for it; other errors are raised."""
        is_full = False
        while True:
            try:
                write()
                break
            except files.DiskFull as error:
                if not is_full:
                    is_full = True
                    self._metrics.gauge("disk_full", 1)
                    self._timeline.record("disk_full", detail=str(error))
                    logging.error("disk full; not voting until it has room: %s", error)
                self._hooks.wait(DISK_FULL_RETRY_S)
        if is_full:
            self._metrics.gauge("disk_full", 0)
            self._timeline.record("disk_has_room")

    def _write_snapshot(self, index, term, members, state):
        """Write a snapshot; runs outside the task.

        Writing a large state takes longer than a heartbeat interval. A failure loses
        nothing, since the log still has all entries.
        """
        try:
            snapshot = snapshot_file.write(self._folder, index, term, members, state)
        except OSError as error:
            self._timeline.record("snapshot_failed", detail=str(error))
            logging.warning("snapshot not written: %s", error)
            snapshot = None
        self._put(SnapshotWritten(snapshot))
