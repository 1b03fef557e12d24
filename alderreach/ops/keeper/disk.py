"""What a running keeper does with its data folder: log writes, snapshots, compaction.

Any failed write or sync of the log ends the process. A failed sync may have dropped
what it should have kept, and a second one would report success, so a vote or
acknowledgement after it could promise something that is gone. Operators see
``storage_failed`` in the time line and the log; the other keepers go on.
"""

import time
import typing

from absl import logging

from alderreach.core import keeper_dump, raft, raft_state
from alderreach.ops.keeper import log_file, snapshot_file

EXIT_STORAGE = 4
KEPT_BYTES = 8 << 20


class SnapshotWritten(typing.NamedTuple):
    """Mail for the keeper's task; ``snapshot`` is None if it could not be written."""

    snapshot: raft_state.Snapshot | None


class Disk:
    """The open files of one keeper; all but ``_write_snapshot`` is its task's.

    ``run_aside(work)`` runs a snapshot's writing beside the task, ``put`` gives the
    task mail, and ``end_process(code)`` ends the process without any clean-up.
    """

    def __init__(self, context, identity, run_aside, put, end_process):
        self._folder = context.settings.process.data_folder
        self._snapshot_entries = context.settings.limits.snapshot_entries
        self._timeline = context.timeline
        self._metrics = context.metrics
        self._run_aside = run_aside
        self._put = put
        self._end_process = end_process
        self._log_file = log_file.LogFile(self._folder, identity)
        self._is_writing_snapshot = False
        self.sink = snapshot_file.Sink(self._folder)

    def write(self, node):
        """Sync what is new; returns the state of a snapshot just installed, or None.

        An installed snapshot may replace entries, so the log is then written anew.
        """
        try:
            write = raft.take_write(node)
            if node.installed is not None:
                return self._install(node)
            if write is not None:
                started_ns = time.perf_counter_ns()
                self._log_file.append(write)
                spent_ms = (time.perf_counter_ns() - started_ns) / 1_000_000
                self._metrics.observe_ms("log_sync", spent_ms)
        except OSError as error:
            self.fail(error)
        return None

    def snapshot_if_due(self, node, state):
        """Start writing a snapshot once enough entries were applied since the last."""
        covered = node.snapshot.index if node.snapshot else 0
        due = state.index - covered >= self._snapshot_entries
        if not due or self._is_writing_snapshot:
            return
        index = state.index
        term, members = node.log.term_at(index), node.members_at(index)
        copy = keeper_dump.copy(state)
        self._is_writing_snapshot = True
        self._run_aside(lambda: self._write_snapshot(index, term, members, copy))

    def compact(self, node, snapshot):
        """Drop what a new snapshot covers, but for a tail, from the log."""
        self._is_writing_snapshot = False
        if snapshot is None or (node.snapshot and node.snapshot.index > snapshot.index):
            return
        node.snapshot = snapshot
        most = self._snapshot_entries // 2
        kept = raft_state.kept_from(node.log, snapshot.index, most, KEPT_BYTES)
        raft_state.compact(node, kept)
        raft.take_write(node)
        try:
            self._log_file.rewrite(node.log, node.term, node.voted_for)
        except OSError as error:
            self.fail(error)

    def fail(self, error):
        """End the process, since no promise may follow a failed write."""
        detail = f"writing to {self._folder} failed: {error}"
        self._timeline.record("storage_failed", detail=detail)
        logging.error("%s; the keeper ends and does not vote", detail)
        logging.flush()
        self._end_process(EXIT_STORAGE)

    def close(self):
        """Close the files."""
        self._log_file.close()
        self.sink.close()

    def _install(self, node):
        node.installed = None
        self._log_file.rewrite(node.log, node.term, node.voted_for)
        state = self.sink.loaded.state
        self._timeline.record("snapshot_installed", detail=f"index {state.index}")
        return state

    def _write_snapshot(self, index, term, members, state):
        """Run beside the task, since a large state takes longer than a heartbeat.

        A snapshot that can't be written harms nobody: the log has everything still.
        """
        try:
            snapshot = snapshot_file.write(self._folder, index, term, members, state)
        except OSError as error:
            self._timeline.record("snapshot_failed", detail=str(error))
            logging.warning("snapshot not written: %s", error)
            snapshot = None
        self._put(SnapshotWritten(snapshot))
