"""The keeper's daemon: one task that owns the protocol's state, its files and requests.

Mail is handled as it comes, and the first of a batch puts a flush behind the mail that
is already there. A flush writes and syncs once for all of it, then sends what had to
wait for the sync: acknowledgements, votes, replies.

Failures of the disk end the process. A failed sync may have dropped what it should have
kept, and a second one would report success, so a vote or acknowledgement after it could
be a promise of something that is gone. The operator sees ``storage_failed`` in the time
line and the log; the other keepers go on.
"""

import os
import random
import sys
import threading
import time

from absl import logging
from result import Err

from alderreach.core import (
    codec,
    founding,
    keeper_dump,
    keeper_state,
    membership,
    owner_leases,
    raft,
    raft_leader,
    raft_state,
)
from alderreach.core.generated import keeper
from alderreach.ops import daemon
from alderreach.ops.keeper import followers, log_file, requests, snapshot_file, storage
from alderreach.utils import tasks

EXIT_STORAGE = 4
HELLO_INTERVAL_MS = 200
HOUSEKEEPING_MS = 1000
DRAIN_POLL_S = 0.02
KEPT_BYTES = 8 << 20
FLUSH = object()
TRANSFER = object()


def build(context):
    """Open the data folder and start the keeper; exits if the folder is damaged."""
    opened = storage.open_folder(context.settings.process.data_folder, context.stack)
    if isinstance(opened, Err):
        context.timeline.record("storage_refused", detail=opened.err_value)
        logging.error("keeper does not start: %s", opened.err_value)
        sys.exit(EXIT_STORAGE)
    return Keeper(context, opened.ok_value).start()


class Keeper:
    """The role object; all but ``deliver``, ``status`` and ``drain`` is its task's."""

    def __init__(self, context, opened):
        self._context = context
        self._clock = context.clock
        self._folder = context.settings.process.data_folder
        self._timeline = context.timeline
        self._send = context.transport.send
        self._addresses = {
            peer.name: peer.address
            for peer in context.settings.peers
            if peer.role == "keeper"
        }
        self._sink = snapshot_file.Sink(self._folder)
        self._log_file = log_file.LogFile(self._folder, opened.identity)
        self._state = opened.state
        self._node = self._make_node(opened)
        timing, limits = context.settings.timing, context.settings.limits
        self._limits = limits
        self._durations = owner_leases.Durations(
            timing.owner_lease_ms, timing.lease_margin_ms
        )
        self._requests = requests.Requests(
            self._node,
            lambda: self._state,
            self._send,
            self._clock,
            self._durations,
        )
        self._followers = followers.Followers(
            self._send, limits.items_per_push, timing.follow_interval_ms
        )
        self._heard = {}
        self._reply_addresses = {}
        self._next_hello_ms = 0
        self._next_housekeeping_ms = 0
        self._flush_queued = False
        self._snapshot_thread = None
        self._announced = ("", 0)
        self._announced_commit = 0
        self._status = daemon.RoleStatus(0, "follower", False, {})
        self._record_opening(opened)
        self._task = tasks.Task("keeper", self._handle, self._tick, self._clock)

    def start(self):
        """Start the task; the context's stack closes it."""
        self._context.stack.callback(self._close)
        self._task.start()
        return self

    def deliver(self, received):
        """Take a peer's message."""
        self._task.put(received)

    def status(self):
        """The last published status."""
        return self._status

    def drain(self):
        """Hand leadership over; wait for a leader elsewhere at most an election."""
        timeout_ms = self._context.settings.timing.election_timeout_ms
        give_up_ms = self._clock.monotonic_ms() + timeout_ms
        self._task.put(TRANSFER)
        while self._status.state == raft.LEADER:
            if self._clock.monotonic_ms() > give_up_ms:
                return
            time.sleep(DRAIN_POLL_S)

    def _close(self):
        self._task.close()
        self._log_file.close()
        self._sink.close()

    def _make_node(self, opened):
        timing = self._context.settings.timing
        node = raft_state.Node(
            opened.identity,
            self._context.settings.process.name,
            raft_state.Rules(timing.election_timeout_ms, timing.leader_beat_ms),
            random.Random(),
            self._sink,
            self._clock.monotonic_ms(),
        )
        raft_state.restore(
            node, opened.term, opened.voted_for, opened.log, opened.snapshot
        )
        return node

    def _record_opening(self, opened):
        if opened.torn_bytes:
            detail = f"a torn last record of {opened.torn_bytes} bytes was cut off"
            self._timeline.record("log_tail_cut", detail=detail)
            logging.warning("%s", detail)
        kind = "identity_made" if opened.is_new else "log_read"
        detail = f"{opened.identity}, log to {opened.log.last_index}"
        self._timeline.record(kind, epoch=opened.term, detail=detail)

    # Mail

    def _handle(self, mail):
        if mail is FLUSH:
            self._flush()
            return
        if mail is TRANSFER:
            self._transfer()
        elif isinstance(mail, _SnapshotWritten):
            self._compact(mail.snapshot)
        else:
            self._handle_message(mail)
        self._queue_flush()

    def _queue_flush(self):
        if not self._flush_queued:
            self._flush_queued = True
            self._task.put(FLUSH)

    def _handle_message(self, received):
        message = received.message
        now_ms = self._clock.monotonic_ms()
        if isinstance(message, raft.MESSAGES):
            self._step(received, now_ms)
        elif isinstance(message, keeper.Follow):
            stale = not self._is_current()
            self._followers.asked(self._state, received, stale, now_ms)
        elif isinstance(message, keeper.KeeperHello):
            self._handle_hello(message, received.reply_address)
        elif isinstance(message, keeper.KeeperHelloReply):
            if message.to == self._node.identity:
                self._heard[message.name] = founding.Heard(message, now_ms)
        elif isinstance(message, keeper.KeeperRequest | keeper.RenewOwnership):
            self._lead_if_elected()
            self._requests.handle(message, received.reply_address)

    def _step(self, received, now_ms):
        message = received.message
        asker = getattr(message, "candidate", "") or getattr(message, "leader", "")
        if asker:
            self._reply_addresses[asker] = received.reply_address
        try:
            raft.step(self._node, message, now_ms)
        except OSError as error:
            self._fail(error)

    def _tick(self):
        now_ms = self._clock.monotonic_ms()
        raft.tick(self._node, now_ms)
        if self._node.commit_index != self._announced_commit:
            self._announced_commit = self._node.commit_index
            if self._node.role == raft.LEADER:
                raft_leader.announce_commit(self._node, now_ms)
        if not self._node.members:
            self._seek_cell(now_ms)
        elif self._node.is_ready_leader:
            self._repair(now_ms)
        if now_ms >= self._next_housekeeping_ms:
            self._next_housekeeping_ms = now_ms + HOUSEKEEPING_MS
            self._followers.forget_silent(now_ms)
        self._flush()
        self._followers.push_changes(self._state)
        self._publish(now_ms)

    # Writing, sending, applying

    def _flush(self):
        """Sync once for all mail handled since the last flush; then send."""
        self._flush_queued = False
        node = self._node
        self._lead_if_elected()
        raft_leader.prepare(node, self._clock.monotonic_ms())
        if not node.vote_changed:
            self._send_all(node.early)
        self._write()
        raft.synced(node)
        self._send_all(node.early)
        self._send_all(node.outbox)
        self._apply()
        self._requests.settle(self._state.index)
        self._snapshot_if_due()

    def _write(self):
        node = self._node
        try:
            if node.installed is not None:
                node.installed = None
                raft.take_write(node)
                self._log_file.rewrite(node.log, node.term, node.voted_for)
                self._state = self._sink.loaded.state
                self._timeline.record(
                    "snapshot_installed", detail=f"index {self._state.index}"
                )
                return
            write = raft.take_write(node)
            if write is not None:
                started_ns = time.perf_counter_ns()
                self._log_file.append(write)
                spent_ms = (time.perf_counter_ns() - started_ns) / 1_000_000
                self._context.metrics.observe_ms("log_sync", spent_ms)
        except OSError as error:
            self._fail(error)

    def _fail(self, error):
        """End the process: what was written may be gone, so no promise may follow."""
        detail = f"writing to {self._folder} failed: {error}"
        self._timeline.record("storage_failed", detail=detail)
        logging.error("%s; the keeper ends and does not vote", detail)
        logging.flush()
        os._exit(EXIT_STORAGE)

    def _send_all(self, messages):
        for identity, message in messages:
            address = self._address_of(identity)
            if address:
                self._send(address, message)
        messages.clear()

    def _address_of(self, identity):
        """Where a keeper is reached: as the settings say, else as the log says.

        A blank voter answers candidates that its own log does not name yet.
        """
        member = membership.find(self._node.members, identity)
        if member is not None:
            return self._addresses.get(member.name, member.address)
        return self._reply_addresses.get(identity)

    def _apply(self):
        node, state = self._node, self._state
        while state.index < node.commit_index:
            index = state.index + 1
            entry = node.log.entry(index)
            result = self._apply_entry(entry, index)
            self._requests.applied(index, entry.term, result)

    def _apply_entry(self, entry, index):
        if entry.kind == "members":
            self._state.index = index
            self._timeline.record(
                "members_changed", epoch=entry.term, detail=_names(self._node.members)
            )
            return requests.members_result(self._node)
        command = codec.unpack(entry.data).ok()
        if command is None:
            logging.error("entry %d holds no known command and is skipped", index)
        return keeper_state.apply(self._state, command, index, entry.wall_ms)

    # Leading

    def _lead_if_elected(self):
        """Log the first entry of a new term, by which older ones get committed too."""
        node = self._node
        if node.role != raft.LEADER or node.log.last_index >= node.first_index_of_term:
            return
        policy = keeper.KeeperPolicy(self._limits.key_lifetime_ms)
        raft.propose(
            node,
            "command",
            codec.pack(policy),
            self._clock.wall_ms(),
            self._clock.monotonic_ms(),
        )
        self._requests.lead()

    def _repair(self, now_ms):
        command = membership.next_repair(
            self._node.members,
            lambda identity: raft_leader.is_caught_up(self._node, identity, now_ms),
        )
        if command is None:
            return
        changed = membership.change(self._node.members, command).unwrap()
        index = raft.propose_members(self._node, changed, self._clock.wall_ms(), now_ms)
        if index is not None:
            detail = f"{command.action} {command.name} {command.identity}"
            self._timeline.record("members_repair", detail=detail)

    def _transfer(self):
        if self._node.role == raft.LEADER:
            raft_leader.transfer(self._node, self._clock.monotonic_ms())

    # Founding and joining

    def _seek_cell(self, now_ms):
        """Say hello to all keepers until the cell is founded or takes this one in."""
        if now_ms < self._next_hello_ms:
            return
        self._next_hello_ms = now_ms + HELLO_INTERVAL_MS
        node = self._node
        me = self._me()
        members = founding.members_to_found(me, self._addresses, self._heard, now_ms)
        if members is not None:
            term = founding.founding_term(node.term, self._heard)
            raft.found(node, members, term, self._clock.wall_ms())
            self._timeline.record("cell_founded", epoch=term, detail=_names(members))
            return
        hello = keeper.KeeperHello(
            node.identity, node.name, me.address, node.term, False
        )
        for address in self._addresses.values():
            self._send(address, hello)

    def _me(self):
        address = self._context.settings.listen.peers
        return keeper.Member(self._node.identity, self._node.name, address, True, False)

    def _handle_hello(self, message, address):
        node = self._node
        reply = keeper.KeeperHelloReply(
            message.identity,
            node.identity,
            node.name,
            node.term,
            bool(node.members),
            False,
        )
        self._send(address, reply)
        known = membership.find(node.members, message.identity) is not None
        if message.formed or known or not node.is_ready_leader:
            return
        self._take_in(message)

    def _take_in(self, message):
        """Make a blank keeper a learner if its name is one that this cell expects."""
        node = self._node
        expected = {member.name for member in node.members} | set(self._addresses)
        if message.name not in expected:
            return
        members = membership.add_learner(node.members, message)
        index = raft.propose_members(
            node, members, self._clock.wall_ms(), self._clock.monotonic_ms()
        )
        if index is not None:
            detail = f"{message.name} {message.identity}"
            self._timeline.record("learner_added", epoch=node.term, detail=detail)

    # Snapshots

    def _snapshot_if_due(self):
        covered = self._node.snapshot.index if self._node.snapshot else 0
        due = self._state.index - covered >= self._limits.snapshot_entries
        if not due or self._snapshot_thread is not None:
            return
        index = self._state.index
        arguments = (
            index,
            self._node.log.term_at(index),
            self._node.members_at(index),
            keeper_dump.copy(self._state),
        )
        self._snapshot_thread = threading.Thread(
            target=self._write_snapshot, args=arguments, name="snapshot", daemon=True
        )
        self._snapshot_thread.start()

    def _write_snapshot(self, index, term, members, state):
        """On a thread of its own, since a large state takes longer than a beat.

        A snapshot that can't be written harms nobody: the log has everything still.
        """
        try:
            snapshot = snapshot_file.write(self._folder, index, term, members, state)
        except OSError as error:
            self._timeline.record("snapshot_failed", detail=str(error))
            logging.warning("snapshot not written: %s", error)
            snapshot = None
        self._task.put(_SnapshotWritten(snapshot))

    def _compact(self, snapshot):
        self._snapshot_thread = None
        node = self._node
        if snapshot is None or (node.snapshot and node.snapshot.index > snapshot.index):
            return
        node.snapshot = snapshot
        kept = raft_state.kept_from(
            node.log, snapshot.index, self._limits.snapshot_entries // 2, KEPT_BYTES
        )
        raft_state.compact(node, kept)
        raft.take_write(node)
        try:
            self._log_file.rewrite(node.log, node.term, node.voted_for)
        except OSError as error:
            self._fail(error)

    # Status

    def _is_current(self):
        """Whether a leader was heard lately, or this is one with a quorum."""
        node, now_ms = self._node, self._clock.monotonic_ms()
        if node.role == raft.LEADER:
            return node.is_ready_leader and raft_leader.has_quorum(node, now_ms)
        timeout_ms = node.rules.election_timeout_ms
        return bool(node.leader) and now_ms - node.heard_ms < timeout_ms

    def _publish(self, now_ms):
        node, state = self._node, self._state
        self._record_role()
        kind = node.role if node.is_voter else "learner"
        caught_up = state.index >= node.commit_index and self._is_current()
        detail = {
            "term": node.term,
            "commit_index": node.commit_index,
            "applied_index": state.index,
            "log_entries": len(node.log.entries),
            "snapshot_index": node.snapshot.index if node.snapshot else 0,
            "voters": len(membership.voters(node.members)),
            "learners": len(node.members) - len(membership.voters(node.members)),
            "keys": len(state.keys.claims),
            "items": len(state.items),
        }
        for name, version in self._followers.versions().items():
            detail[f"version.{name}"] = version
        for name in ("term", "commit_index", "log_entries", "keys", "items"):
            self._context.metrics.gauge(f"keeper_{name}", detail[name])
        self._status = daemon.RoleStatus(state.version, kind, caught_up, detail)

    def _record_role(self):
        node = self._node
        now = (node.role, node.term)
        if now != self._announced and node.role != raft.CANDIDATE:
            self._announced = now
            self._timeline.record(
                "became_" + node.role, epoch=node.term, detail=node.leader_name
            )


class _SnapshotWritten:
    """Mail from the snapshot's thread; ``snapshot`` is None if it failed."""

    def __init__(self, snapshot):
        self.snapshot = snapshot


def _names(members):
    return ", ".join(
        f"{member.name}{'' if member.voter else ' (learner)'}" for member in members
    )
