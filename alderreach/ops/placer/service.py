"""The placer daemon: one task that manages the domain's ownership, targets and tasks.

HTTP threads, the gateway to the keepers, peers and the command senders add messages to
its mailbox; only this task makes decisions.
"""

import typing
import uuid

from alderreach.core import codec, ownership, records
from alderreach.core.generated import common, keeper, placer
from alderreach.ops import daemon, gateway, target_wire
from alderreach.ops.placer import announcing, items, ownership_term, sender, status
from alderreach.utils import tasks

GRANT_TIMEOUT_MS = 1000
HANDOVER_WAIT_MS = 1500
IDLE_TICK_MS = 100
UNCONFIRMED_HEARTBEAT_MS = 50


class _ItemsChanged(typing.NamedTuple):
    """Items that the gateway applied to its copy."""

    items: list


class _GrantEnded(typing.NamedTuple):
    """The end of a request for ownership, with its Outcome."""

    outcome: typing.Any


class HandOver(typing.NamedTuple):
    """Hand the domain over before a shutdown; the ticket is answered afterwards."""

    ticket: tasks.Ticket


class Parts(typing.NamedTuple):
    """Factories for the objects the service runs with; tests replace them."""

    task: typing.Callable
    gateway: typing.Callable
    sender: typing.Callable


PARTS = Parts(tasks.Task, gateway.Gateway, sender.Sender)


def build(context):
    """Build the role for ``daemon.main``."""
    return PlacerService(context).start()


class PlacerService:
    """The placer's task with its gateway, senders and HTTP listener."""

    def __init__(self, context, parts=PARTS):
        self._context = context
        self._clock = context.clock
        settings = context.settings
        self._timing = settings.timing
        self._domain = settings.process.failure_domain
        peers = settings.peers
        self._keepers = {p.name: p.address for p in peers if p.role == "keeper"}
        self._standbys = {
            peer.name: peer.address
            for peer in peers
            if peer.role == "placer" and peer.failure_domain == self._domain
        }
        me = common.Owner(
            self._domain,
            settings.process.name,
            context.boot_id,
            settings.listen.peers,
            settings.listen.targets,
            0,
        )
        now_ms = self._clock.monotonic_ms()
        self._ownership = ownership.Ownership(me, self._standbys, self._timing, now_ms)
        self._copy = records.RecordCopy()
        self._term = None
        self._drain_ticket = None
        self._leader = ""
        self._leader_contact_ms = 0
        self._grant_pending = False
        self._last_beat_received_ms = None
        self._next_beat_ms = 0
        self._status = daemon.RoleStatus(0, "standby", False, {})
        self._task = parts.task("placer", self._handle, self._tick, self._clock)
        self._gateway = parts.gateway(
            context, items.followed_prefixes(self._domain), self._enqueue_items
        )
        self._sender = parts.sender(
            lambda: self._ownership.lease, self._clock, self._task.put
        )

    def start(self):
        """Start all threads and the listener; return the role."""
        stack = self._context.stack
        stack.callback(self._sender.close)
        stack.callback(self._task.close)
        stack.callback(self._gateway.close)
        self._task.start()
        self._gateway.start()
        stack.callback(
            announcing.open_listener(self._context.settings, self._task.put).close
        )
        return self

    # ---- the role, called from other threads

    def deliver(self, received):
        """Pass a peer's message to the gateway or the task."""
        if not self._gateway.deliver(received):
            self._task.put(received)

    def status(self):
        """Return the last published status."""
        return self._status

    def drain(self):
        """Hand the domain over to a standby, or release it if there is none."""
        ticket = tasks.Ticket()
        self._task.put(HandOver(ticket))
        ticket.wait(min(HANDOVER_WAIT_MS, self._timing.drain_ms))

    @property
    def may_act(self):
        """Whether commands may be sent now."""
        return self._ownership.may_act(self._clock.monotonic_ms())

    def _enqueue_items(self, changed, _copy):
        self._task.put(_ItemsChanged(changed))

    # ---- the task

    def _handle(self, message):
        now_ms = self._clock.monotonic_ms()
        self._dispatch(message, now_ms)
        self._update_term(now_ms)

    def _dispatch(self, message, now_ms):
        if isinstance(message, announcing.AnnouncementRequest):
            message.ticket.answer(
                self._handle_announcement(message.announcement, now_ms)
            )
        elif isinstance(message, target_wire.BatchResult):
            self._handle_batch_result(message, now_ms)
        elif isinstance(message, codec.Received):
            self._handle_peer_message(message, now_ms)
        elif isinstance(message, _ItemsChanged):
            self._apply_items(message.items, now_ms)
        elif isinstance(message, _GrantEnded):
            self._handle_grant_result(message.outcome)
        elif isinstance(message, ownership_term.ItemsRead):
            if self._is_current(message.epoch) and not self._term.has_begun:
                self._term.handle_page(message, now_ms)
        elif isinstance(message, ownership_term.ItemsWritten):
            self._handle_write_result(message, now_ms)
        elif isinstance(message, HandOver):
            self._hand_over(message, now_ms)

    def _is_current(self, epoch):
        return self._term and self._term.epoch == epoch

    def _handle_announcement(self, announcement, now_ms):
        """Answer an announcement, or refer the target to the owner."""
        state = self._ownership
        if not state.may_act(now_ms) or self._term is None or not self._term.has_begun:
            owner = state.owner
            is_own = owner is None or owner.placer == state.me.placer
            address = "" if is_own else owner.target_address
            return announcing.Answer(421, target_wire.misdirected_answer(address))
        acknowledged = self._term.announce(announcement, now_ms)
        heartbeat_ms = self._timing.target_heartbeat_ms
        if (
            announcement.kind == "worker"
            and announcement.owner_epoch_seen < state.epoch
        ):
            heartbeat_ms = min(UNCONFIRMED_HEARTBEAT_MS, heartbeat_ms)
        body = target_wire.lease_answer(
            state.epoch, self._timing.target_lease_ms, heartbeat_ms, acknowledged
        )
        self._context.metrics.count("announcements", announcement.kind)
        return announcing.Answer(200, body)

    def _handle_batch_result(self, result, now_ms):
        self._context.metrics.count("command_batches", result.status)
        if result.status == "epoch":
            self._ownership.observe_epoch(result.highest_epoch)
        if self._is_current(result.batch.epoch):
            self._term.placing.handle_batch_result(result, now_ms)

    def _handle_peer_message(self, received, now_ms):
        message, sender_name = received.message, received.sender
        state = self._ownership
        if isinstance(message, keeper.OwnershipRenewed):
            self._handle_renewal(message, sender_name, now_ms)
        elif isinstance(message, placer.OwnerBeat):
            self._handle_beat(message, received.reply_address, now_ms)
        elif isinstance(message, placer.StandbyPromise):
            state.handle_promise(sender_name, message, now_ms)
            if self._term is not None:
                self._term.record_promise(sender_name, message)
                self._term_tick(now_ms)
        elif isinstance(message, placer.WatchTargets):
            if self._is_acting(now_ms):
                watchers = self._term.watchers
                watchers.handle_watch(received.reply_address, message, now_ms)
        elif isinstance(message, placer.JobQuery | placer.TargetQuery):
            self._answer_query(message, received.reply_address, now_ms)

    def _is_acting(self, now_ms):
        has_begun = self._term is not None and self._term.has_begun
        return has_begun and self._ownership.may_act(now_ms)

    def _answer_query(self, query, address, now_ms):
        if isinstance(query, placer.JobQuery):
            reply = placer.JobReply(query.request_id, False, [], [])
            if self._is_acting(now_ms):
                reply = self._term.job_reply(query)
        else:
            reply = placer.TargetReply(query.request_id, False, [])
            if self._is_acting(now_ms):
                reply = self._term.target_reply(query)
        self._context.transport.send(address, reply)

    def _handle_renewal(self, reply, sender_name, now_ms):
        self._ownership.handle_renewal_reply(reply, now_ms)
        if reply.granted:
            self._leader, self._leader_contact_ms = sender_name, now_ms
        elif reply.leader:
            self._leader = reply.leader

    def _handle_beat(self, beat, address, now_ms):
        if beat.failure_domain != self._domain:
            return
        record_sequence = self._copy.apply(beat, now_ms)
        promise = self._ownership.handle_beat(beat, record_sequence, now_ms)
        if promise is not None:
            self._last_beat_received_ms = now_ms
            self._context.transport.send(address, promise)

    def _apply_items(self, changed, now_ms):
        key = f"owner/{self._domain}"
        for item in changed:
            if item.key == key and item.value is not None:
                self._ownership.observe(codec.decode(item.value, common.Owner))
        if self._term is not None:
            self._term.apply_items(changed, now_ms)

    def _handle_write_result(self, message, now_ms):
        if self._is_current(message.epoch) and self._term.handle_write_result(
            message, now_ms
        ):
            self._ownership.observe_epoch(message.epoch + 1)

    def _handle_grant_result(self, outcome):
        self._grant_pending = False
        if outcome.status == "ok":
            result = codec.unpack(outcome.result).unwrap()
            self._ownership.observe(result.owner)

    # ---- ownership

    def _update_term(self, now_ms):
        """Begin or end the term according to the ownership."""
        state = self._ownership
        if self._term is not None and (
            not state.is_owner or state.epoch != self._term.epoch
        ):
            self._step_down()
        if state.is_owner and self._term is None:
            self._context.timeline.record("ownership_gained", epoch=state.epoch)
            self._term = ownership_term.OwnershipTerm(
                self._context,
                self._gateway,
                state.epoch,
                self._copy,
                self._task.put,
            )
            self._copy = records.RecordCopy()
            self._next_beat_ms = now_ms
            self._send_beats(now_ms)

    def _step_down(self):
        epoch = self._term.epoch
        self._copy = self._term.records()
        self._term = None
        self._context.timeline.record("ownership_lost", epoch=epoch)

    def _tick(self):
        now_ms = self._clock.monotonic_ms()
        self._request_ownership(now_ms)
        self._update_term(now_ms)
        if self._term is not None:
            self._term_tick(now_ms)
            if now_ms >= self._next_beat_ms or self._term.has_unsent_records:
                self._send_beats(now_ms)
        self._publish(now_ms)
        return self._pause_ms(now_ms)

    def _pause_ms(self, now_ms):
        """How long the task may sleep without a message; None for the shortest tick."""
        idle_until_ms = now_ms + IDLE_TICK_MS
        if self._drain_ticket is not None:
            return None
        if self._term is not None:
            if self._term.has_work(idle_until_ms):
                return None
            return min(IDLE_TICK_MS, self._next_beat_ms - now_ms)
        return self._ownership.grant_delay_ms(now_ms, IDLE_TICK_MS)

    def _term_tick(self, now_ms):
        if not self._is_acting(now_ms):
            return
        standbys = self._ownership.active_standbys(now_ms)
        for batch in self._term.tick(now_ms, standbys):
            self._sender.put(batch)

    def _request_ownership(self, now_ms):
        """Request ownership once no other process can have it any more."""
        if self._drain_ticket is not None:
            self._finish_drain()
            return
        if self._grant_pending or not self._gateway.is_current:
            return
        grant_request = self._ownership.next_grant_request(now_ms)
        if grant_request is None:
            return
        self._grant_pending = True
        enqueue = self._task.put
        self._gateway.request(
            grant_request,
            lambda outcome: enqueue(_GrantEnded(outcome)),
            GRANT_TIMEOUT_MS,
        )

    def _send_beats(self, now_ms):
        """Send a renewal to the keepers when due, and a beat to the standbys."""
        if now_ms >= self._next_beat_ms:
            self._next_beat_ms = now_ms + self._timing.owner_beat_ms
            self._send_renewal(now_ms)
        for name, address in self._standbys.items():
            beat = self._term.make_beat(name, now_ms)
            self._context.transport.send(address, beat)

    def _send_renewal(self, now_ms):
        """Send a renewal to the leader, or to all keepers without a recent grant."""
        renewal = self._ownership.next_renewal(uuid.uuid4().hex, now_ms)
        is_leader_recent = (
            now_ms - self._leader_contact_ms <= 2 * self._timing.owner_beat_ms
        )
        leader_address = self._keepers.get(self._leader)
        addresses = (
            [leader_address]
            if leader_address and is_leader_recent
            else self._keepers.values()
        )
        for address in addresses:
            self._context.transport.send(address, renewal)

    # ---- stopping

    def _hand_over(self, message, now_ms):
        """Stop acting for good, and let a standby take over immediately."""
        state = self._ownership
        has_no_standby = state.is_owner and not state.active_standbys(now_ms)
        if has_no_standby:
            state.hand_over()
            self._release()
        if self._drain_ticket is not None or not state.is_owner:
            self._drain_ticket = message.ticket
            message.ticket.answer(True)
            return
        beats = [
            (address, self._term.make_beat(name, now_ms, handover=True))
            for name, address in self._standbys.items()
        ]
        self._drain_ticket = message.ticket
        self._ownership.hand_over()
        for address, beat in beats:
            self._context.transport.send(address, beat)
        self._release()
        self._context.timeline.record("ownership_handed_over", epoch=state.epoch)

    def _release(self):
        release = self._ownership.release_message(uuid.uuid4().hex)
        for address in self._keepers.values():
            self._context.transport.send(address, release)

    def _finish_drain(self):
        """Answer the drain ticket once a standby owns the domain."""
        state = self._ownership
        if state.owner is not None and state.epoch > state.released_epoch:
            self._drain_ticket.answer(True)

    # ---- status

    def _publish(self, now_ms):
        is_acting = self._is_acting(now_ms)
        recent_ms = self._timing.owner_lease_ms + self._timing.lease_margin_ms
        last_beat_ms = self._last_beat_received_ms
        has_recent_beat = last_beat_ms is not None and now_ms - last_beat_ms < recent_ms
        detail = {"epoch": self._ownership.epoch}
        if is_acting:
            detail |= status.counts(self._term.placing)
        else:
            detail["records"] = len(self._copy.placements)
        self._status = daemon.RoleStatus(
            self._gateway.items.version,
            "owner" if self._ownership.is_owner else "standby",
            is_acting or has_recent_beat,
            detail,
        )
