"""The keeper's daemon: one task that owns the protocol's state, its files and requests.

The task handles messages in order. The first message of a batch queues a flush behind
the messages that already wait. A flush writes and syncs once for all of them, and then
sends the messages that had to wait for the sync: acknowledgements, votes and replies.
"""

import os
import random
import sys
import time
import typing

from absl import logging
from result import Err

from alderreach.core import (
    codec,
    keeper_state,
    membership,
    owner_leases,
    raft,
    raft_leader,
    raft_state,
)
from alderreach.core.generated import keeper
from alderreach.ops import daemon
from alderreach.ops.keeper import (
    disk,
    extension,
    followers,
    joining,
    reporting,
    requests,
    storage,
)
from alderreach.utils import tasks

HOUSEKEEPING_INTERVAL_MS = 1000
DRAIN_POLL_S = 0.02
FLUSH = object()
TRANSFER = object()


class Hooks(typing.NamedTuple):
    """Functions that tests replace: randomness, background work, exit and waits."""

    random: random.Random
    run_in_background: typing.Callable
    end_process: typing.Callable
    wait: typing.Callable


def system_hooks():
    """The hooks of a daemon."""
    return Hooks(random.Random(), _run_on_thread, os._exit, time.sleep)


def _run_on_thread(work):
    tasks.make_thread("aside", work).start()


def build(context):
    """Open the data folder and start the keeper; exits if the folder is refused."""
    return Keeper(context, open_folder(context), system_hooks()).start()


def open_folder(context):
    """Read the data folder; exits if it is refused."""
    opened = storage.open_folder(context.settings.process.data_folder, context.stack)
    if isinstance(opened, Err):
        context.timeline.record("storage_refused", detail=opened.err_value)
        logging.error("keeper does not start: %s", opened.err_value)
        sys.exit(disk.EXIT_STORAGE)
    return opened.ok_value


class Keeper:
    """The role object; other threads may call ``deliver``, ``status`` and ``drain``.

    ``make_extension`` makes the extension of this keeper from an ``extension.Port``. If
    ``seed_addresses`` is given, the cell is open: keepers that are not in the settings
    may join. ``may_found_cell`` allows this keeper to found the cell.
    """

    def __init__(
        self,
        context,
        opened,
        hooks,
        make_extension=None,
        seed_addresses=None,
        may_found_cell=True,
    ):
        self._context = context
        self._clock = context.clock
        self._timeline = context.timeline
        self._send = context.transport.send
        self._addresses = seed_addresses
        if seed_addresses is None:
            self._addresses = {
                peer.name: peer.address
                for peer in context.settings.peers
                if peer.role == "keeper"
            }
        self._reply_addresses = {}
        self._task = tasks.Task("keeper", self._handle, self._tick, self._clock)
        self._disk = disk.Disk(context, opened.identity, hooks, self._task.put)
        self._state = opened.state
        term_step = extension.TERM_STEP if make_extension else 1
        self._node = self._make_node(opened, hooks.random, term_step)
        self._joining = joining.Joining(
            context,
            self._node,
            self._addresses,
            seed_addresses is not None,
            may_found_cell,
        )
        self._leaderless = reporting.LeaderlessReports(context.timeline, self._clock)
        timing, limits = context.settings.timing, context.settings.limits
        self._requests = requests.Requests(
            self._node,
            lambda: self._state,
            self._send,
            self._clock,
            owner_leases.Durations(timing.owner_lease_ms, timing.lease_margin_ms),
        )
        self._followers = followers.Followers(
            self._send, limits.items_per_push, timing.follow_interval_ms
        )
        self._next_housekeeping_ms = 0
        self._is_flush_queued = False
        # The voter that was asked to take over, the term, and when it is asked again.
        self._successor = None
        self._handed_over_term = 0
        self._next_take_over_ms = 0
        self._recorded_role = ("", 0)
        self._announced_commit_index = 0
        self._status = daemon.RoleStatus(0, raft.FOLLOWER, False, {})
        self._extension = make_extension(self._port()) if make_extension else None
        reporting.record_opened_folder(self._timeline, opened)

    def start(self):
        """Start the task; the context's stack closes it."""
        self._context.stack.callback(self.close)
        self._task.start()
        return self

    def close(self):
        """End the task and close the files."""
        self._task.close()
        self._disk.close()

    def deliver(self, received):
        """Queue a message from another process."""
        self._task.put(received)

    def status(self):
        """Return the last published status."""
        return self._status

    def drain(self):
        """Hand leadership over; waits for one election timeout at most."""
        timeout_ms = self._context.settings.timing.election_timeout_ms
        deadline_ms = self._clock.monotonic_ms() + timeout_ms
        self._task.put(TRANSFER)
        while self._status.state == raft.LEADER:
            if self._clock.monotonic_ms() > deadline_ms:
                return
            time.sleep(DRAIN_POLL_S)

    def _port(self):
        return extension.Port(
            self._node,
            lambda: self._state,
            self._propose,
            self._requests.confirm,
            self._leader_address,
            self._task.put,
        )

    def _propose(self, data):
        if self._requests.is_handing_over:
            return None
        clock = self._clock
        return raft.propose(
            self._node, "command", data, clock.wall_ms(), clock.monotonic_ms()
        )

    def _leader_address(self):
        node = self._node
        if node.role == raft.LEADER:
            return self._context.settings.listen.peers
        return self._address_of(node.leader) or "" if node.leader else ""

    def _make_node(self, opened, random_source, term_step):
        timing = self._context.settings.timing
        node = raft_state.Node(
            opened.identity,
            self._context.settings.process.name,
            raft_state.Rules(
                timing.election_timeout_ms, timing.leader_beat_ms, term_step=term_step
            ),
            random_source,
            self._disk.sink,
            self._clock.monotonic_ms(),
        )
        raft_state.restore(
            node, opened.term, opened.voted_for, opened.log, opened.snapshot
        )
        return node

    def _handle(self, message):
        if message is FLUSH:
            self._flush()
            return
        if message is TRANSFER:
            self._requests.is_handing_over = True
        elif isinstance(message, disk.SnapshotWritten):
            self._disk.compact(self._node, message.snapshot)
        elif isinstance(message, codec.Received):
            self._handle_message(message)
        else:
            self._extension.handle(message)
        if not self._is_flush_queued:
            self._is_flush_queued = True
            self._task.put(FLUSH)

    def _handle_message(self, received):
        message, address = received.message, received.reply_address
        now_ms = self._clock.monotonic_ms()
        if isinstance(message, raft.MESSAGES):
            self._step(message, address, now_ms)
        elif isinstance(message, keeper.Follow):
            may_be_stale = not self._is_current(now_ms)
            self._followers.handle_follow(self._state, received, may_be_stale, now_ms)
        elif isinstance(message, keeper.KeeperHello):
            self._joining.handle_hello(message, address)
        elif isinstance(message, keeper.KeeperHelloReply):
            self._joining.handle_reply(message, now_ms)
        elif isinstance(message, keeper.KeeperRequest | keeper.RenewOwnership):
            self._start_term_if_elected()
            self._requests.handle(message, address)
        elif self._extension:
            self._extension.deliver(received)

    def _step(self, message, address, now_ms):
        """Pass a message to the protocol, and remember the sender's address.

        A blank voter has to answer candidates that its own log does not contain yet.
        """
        sender = getattr(message, "candidate", "") or getattr(message, "leader", "")
        if sender:
            self._reply_addresses[sender] = address
        if isinstance(message, keeper.TakeOver):
            self._timeline.record("took_over", epoch=message.term, detail=message.to)
        try:
            raft.step(self._node, message, now_ms)
        except OSError as error:
            self._disk.fail_stop(error)

    def _tick(self):
        now_ms = self._clock.monotonic_ms()
        raft.tick(self._node, now_ms)
        if self._node.commit_index != self._announced_commit_index:
            self._announced_commit_index = self._node.commit_index
            if self._node.role == raft.LEADER:
                raft_leader.announce_commit(self._node, now_ms)
        self._joining.tick(now_ms)
        self._hand_over_leadership(now_ms)
        self._leaderless.tick(self._node, self._is_current(now_ms), now_ms)
        if self._extension:
            self._extension.tick(now_ms)
        if now_ms >= self._next_housekeeping_ms:
            self._next_housekeeping_ms = now_ms + HOUSEKEEPING_INTERVAL_MS
            self._followers.forget_silent(now_ms)
        self._flush()
        self._followers.push_changes(self._state)
        self._publish(now_ms)

    def _flush(self):
        """Sync once for all messages handled since the last flush, then send.

        A leader may send entries before its own copy is synced, but not before its term
        is synced: after a restart it could otherwise lead the same term twice.
        """
        self._is_flush_queued = False
        node = self._node
        self._start_term_if_elected()
        if self._extension:
            self._extension.before_write(self._clock.monotonic_ms())
        raft_leader.queue_appends(node, self._clock.monotonic_ms())
        if not node.vote_changed:
            self._send_all(node.presync_outbox)
        self._state = self._disk.write(node) or self._state
        raft.on_synced(node)
        self._send_all(node.presync_outbox)
        self._send_all(node.outbox)
        self._apply()
        self._requests.resolve_pending(self._state.index)
        self._disk.snapshot_if_due(node, self._state)

    def _send_all(self, messages):
        for identity, message in messages:
            address = self._address_of(identity)
            if address:
                self._send(address, message)
        messages.clear()

    def _address_of(self, identity):
        """A keeper's address from the settings, else from the log or its messages."""
        member = membership.find(self._node.members, identity)
        if member is None:
            return self._reply_addresses.get(identity)
        return self._addresses.get(member.name, member.address)

    def _apply(self):
        node = self._node
        while self._state.index < node.commit_index:
            index = self._state.index + 1
            entry = node.log.entry(index)
            result = self._apply_entry(entry, index)
            self._requests.on_applied(index, entry.term, result)
            if self._extension:
                self._extension.on_applied(index, entry.term)

    def _apply_entry(self, entry, index):
        if entry.kind == "members":
            self._state.index = index
            members = self._node.members_at(index)
            self._timeline.record(
                "members_changed",
                epoch=entry.term,
                detail=joining.describe_members(members),
            )
            return requests.members_result(members)
        command = codec.unpack(entry.data).ok()
        if command is None:
            logging.error("entry %d holds no known command and is skipped", index)
        return keeper_state.apply(self._state, command, index, entry.wall_ms)

    def _start_term_if_elected(self):
        """Append the first entry of a new term, which also commits older entries."""
        node = self._node
        if node.role != raft.LEADER or node.log.last_index >= node.first_index_of_term:
            return
        lifetime_ms = self._context.settings.limits.key_lifetime_ms
        data = codec.pack(keeper.KeeperPolicy(lifetime_ms))
        now_ms = self._clock.monotonic_ms()
        raft.propose(node, "command", data, self._clock.wall_ms(), now_ms)
        self._requests.start_term()

    def _hand_over_leadership(self, now_ms):
        """Transfer leadership once all accepted requests are committed.

        An earlier transfer would leave requests in progress ``uncertain``. One voter
        only is asked, since a second one would start another election; it is asked at
        each beat of this term, as a request may be lost. A leader that gets leadership
        back, such as from a voter that also hands over, keeps it.
        """
        node = self._node
        if not self._requests.is_handing_over or node.role != raft.LEADER:
            return
        if self._successor is None and node.commit_index == node.log.last_index:
            self._successor = raft_leader.choose_successor(node, now_ms)
            self._handed_over_term = node.term
        is_asked = self._successor is not None and self._handed_over_term == node.term
        if is_asked and now_ms >= self._next_take_over_ms:
            self._next_take_over_ms = now_ms + node.rules.beat_ms
            raft_leader.request_take_over(node, self._successor)

    def _is_current(self, now_ms):
        """Whether this leads with a quorum, or had recent contact with a leader."""
        node = self._node
        if node.role == raft.LEADER:
            return node.is_ready_leader and raft_leader.has_quorum(node, now_ms)
        timeout_ms = node.rules.election_timeout_ms
        return bool(node.leader) and now_ms - node.last_contact_ms < timeout_ms

    def _publish(self, now_ms):
        self._record_role()
        ready = self._state.index >= self._node.commit_index
        self._status = reporting.status_of(
            self._node,
            self._state,
            self._followers.versions(),
            ready and self._is_current(now_ms),
            self._joining.is_removed,
        )
        reporting.set_gauges(self._context.metrics, self._status)

    def _record_role(self):
        node = self._node
        current_role = (node.role, node.term)
        if current_role != self._recorded_role and node.role != raft.CANDIDATE:
            self._recorded_role = current_role
            self._timeline.record(
                f"became_{node.role}", epoch=node.term, detail=node.leader_name
            )
