"""The placer daemon: one task that owns the domain's ownership, targets and tasks.

HTTP threads, the gateway to the keepers, peers and the senders of commands put
messages into its mailbox; only this task decides.
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
QUIET_TICK_MS = 100
HURRIED_HEARTBEAT_MS = 50


class _ItemsChanged(typing.NamedTuple):
    """Items the gateway applied to its copy."""

    items: list


class _GrantEnded(typing.NamedTuple):
    """How a request for ownership ended."""

    outcome: typing.Any


class HandOver(typing.NamedTuple):
    """The process stops: give the domain away; the ticket is answered once it is."""

    ticket: tasks.Ticket


class Parts(typing.NamedTuple):
    """How the service makes what runs beside it; tests put their own in place."""

    task: typing.Callable
    gateway: typing.Callable
    sender: typing.Callable


PARTS = Parts(tasks.Task, gateway.Gateway, sender.Sender)


def build(context):
    """Build the role for ``daemon.main``."""
    return PlacerService(context).start()


class PlacerService:
    """The placer's task and what it is made of."""

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
        self._draining = None
        self._leader = ""
        self._leader_heard_ms = 0
        self._grant_pending = False
        self._beat_heard_ms = None
        self._next_beat_ms = 0
        self._status = daemon.RoleStatus(0, "standby", False, {})
        self._task = parts.task("placer", self._handle, self._tick, self._clock)
        self._gateway = parts.gateway(
            context, items.followed_prefixes(self._domain), self._items_changed
        )
        self._sender = parts.sender(
            lambda: self._ownership.lease, self._clock, self._task.put
        )

    def start(self):
        """Open everything; return the role."""
        stack = self._context.stack
        stack.callback(self._sender.close)
        self._sender.start()
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
        """Take a peer's message."""
        if not self._gateway.deliver(received):
            self._task.put(received)

    def status(self):
        """Return the state as last published."""
        return self._status

    def drain(self):
        """Hand the domain over to a standby, or at least give it up."""
        ticket = tasks.Ticket()
        self._task.put(HandOver(ticket))
        ticket.wait(min(HANDOVER_WAIT_MS, self._timing.drain_ms))

    @property
    def may_act(self):
        """Whether commands may leave now."""
        return self._ownership.may_act(self._clock.monotonic_ms())

    def _items_changed(self, changed, _copy):
        self._task.put(_ItemsChanged(changed))

    # ---- the task

    def _handle(self, mail):
        now_ms = self._clock.monotonic_ms()
        self._dispatch(mail, now_ms)
        self._follow_ownership(now_ms)

    def _dispatch(self, mail, now_ms):
        if isinstance(mail, announcing.AnnouncementRequest):
            mail.ticket.answer(self._announced(mail.announcement, now_ms))
        elif isinstance(mail, target_wire.BatchResult):
            self._batch_ended(mail, now_ms)
        elif isinstance(mail, codec.Received):
            self._received(mail, now_ms)
        elif isinstance(mail, _ItemsChanged):
            self._take_items(mail.items, now_ms)
        elif isinstance(mail, _GrantEnded):
            self._grant_ended(mail.outcome)
        elif isinstance(mail, ownership_term.ItemsRead):
            if self._is_current(mail.epoch) and not self._term.begun:
                self._term.read(mail, now_ms)
        elif isinstance(mail, ownership_term.ItemsWritten):
            self._items_written(mail, now_ms)
        elif isinstance(mail, HandOver):
            self._hand_over(mail, now_ms)

    def _is_current(self, epoch):
        return self._term and self._term.epoch == epoch

    def _announced(self, told, now_ms):
        """Answer an announcement, or name the owner."""
        state = self._ownership
        if not state.may_act(now_ms) or self._term is None or not self._term.begun:
            owner = state.owner
            mine = owner is None or owner.placer == state.me.placer
            address = "" if mine else owner.target_address
            return announcing.Answer(421, target_wire.elsewhere_answer(address))
        acknowledged = self._term.announce(told, now_ms)
        heartbeat_ms = self._timing.target_heartbeat_ms
        if told.kind == "worker" and told.owner_epoch_seen < state.epoch:
            heartbeat_ms = min(HURRIED_HEARTBEAT_MS, heartbeat_ms)
        body = target_wire.lease_answer(
            state.epoch, self._timing.target_lease_ms, heartbeat_ms, acknowledged
        )
        self._context.metrics.count("announcements", told.kind)
        return announcing.Answer(200, body)

    def _batch_ended(self, result, now_ms):
        self._context.metrics.count("command_batches", result.status)
        if result.status == "epoch":
            self._ownership.observe_epoch(result.highest_epoch)
        if self._is_current(result.batch.epoch):
            self._term.placing.answered(result, now_ms)

    def _received(self, received, now_ms):
        message, sender_name = received.message, received.sender
        state = self._ownership
        if isinstance(message, keeper.OwnershipRenewed):
            self._renewed(message, sender_name, now_ms)
        elif isinstance(message, placer.OwnerBeat):
            self._beat_received(message, received.reply_address, now_ms)
        elif isinstance(message, placer.StandbyPromise):
            state.handle_promise(sender_name, message, now_ms)
            if self._term is not None:
                self._term.promised(sender_name, message)
                self._term_tick(now_ms)
        elif isinstance(message, placer.WatchTargets):
            if self._acts(now_ms):
                watchers = self._term.watchers
                watchers.asked(received.reply_address, message, now_ms)
        elif isinstance(message, placer.JobQuery | placer.TargetQuery):
            self._query(message, received.reply_address, now_ms)

    def _acts(self, now_ms):
        begun = self._term is not None and self._term.begun
        return begun and self._ownership.may_act(now_ms)

    def _query(self, query, address, now_ms):
        if isinstance(query, placer.JobQuery):
            reply = placer.JobReply(query.request_id, False, [], [])
            if self._acts(now_ms):
                reply = self._term.job_reply(query)
        else:
            reply = placer.TargetReply(query.request_id, False, [])
            if self._acts(now_ms):
                reply = self._term.target_reply(query)
        self._context.transport.send(address, reply)

    def _renewed(self, reply, sender_name, now_ms):
        self._ownership.handle_renewal_reply(reply, now_ms)
        if reply.granted:
            self._leader, self._leader_heard_ms = sender_name, now_ms
        elif reply.leader:
            self._leader = reply.leader

    def _beat_received(self, beat, address, now_ms):
        if beat.failure_domain != self._domain:
            return
        held = self._copy.apply(beat)
        promise = self._ownership.handle_beat(beat, held, now_ms)
        if promise is not None:
            self._beat_heard_ms = now_ms
            self._context.transport.send(address, promise)

    def _take_items(self, changed, now_ms):
        key = f"owner/{self._domain}"
        for item in changed:
            if item.key == key and item.value is not None:
                self._ownership.observe(codec.decode(item.value, common.Owner))
        if self._term is not None:
            self._term.items_changed(changed, now_ms)

    def _items_written(self, mail, now_ms):
        if self._is_current(mail.epoch) and self._term.written(mail, now_ms):
            self._ownership.observe_epoch(mail.epoch + 1)

    def _grant_ended(self, outcome):
        self._grant_pending = False
        if outcome.status == "ok":
            result = codec.unpack(outcome.result).unwrap()
            self._ownership.observe(result.owner)

    # ---- ownership

    def _follow_ownership(self, now_ms):
        """Begin or end the term as the ownership says; publish the status."""
        state = self._ownership
        if self._term is not None and (
            not state.is_owner or state.epoch != self._term.epoch
        ):
            self._step_down()
        if state.is_owner and self._term is None:
            self._context.timeline.record("ownership_gained", epoch=state.epoch)
            self._term = ownership_term.OwnershipTerm(
                self._context, self._gateway, state.epoch, self._copy, self._task.put
            )
            self._copy = records.RecordCopy()
            self._next_beat_ms = now_ms
            self._beat(now_ms)

    def _step_down(self):
        epoch = self._term.epoch
        self._copy = self._term.records()
        self._term = None
        self._context.timeline.record("ownership_lost", epoch=epoch)

    def _tick(self):
        now_ms = self._clock.monotonic_ms()
        self._seek(now_ms)
        self._follow_ownership(now_ms)
        if self._term is not None:
            self._term_tick(now_ms)
            if now_ms >= self._next_beat_ms or self._term.has_news:
                self._beat(now_ms)
        self._publish(now_ms)
        return self._pause_ms(now_ms)

    def _pause_ms(self, now_ms):
        """How long the task may sleep if no mail comes; None for its shortest tick."""
        quiet_ms = now_ms + QUIET_TICK_MS
        if self._draining is not None:
            return None
        if self._term is not None:
            if self._term.has_work(quiet_ms):
                return None
            return min(QUIET_TICK_MS, self._next_beat_ms - now_ms)
        return self._ownership.grant_delay_ms(now_ms, QUIET_TICK_MS)

    def _term_tick(self, now_ms):
        if not self._acts(now_ms):
            return
        standbys = self._ownership.active_standbys(now_ms)
        for batch in self._term.tick(now_ms, standbys):
            self._sender.put(batch)

    def _seek(self, now_ms):
        """Ask for ownership where nobody else can have it any more."""
        if self._draining is not None:
            self._end_drain()
            return
        if self._grant_pending or not self._gateway.is_current:
            return
        wanted = self._ownership.next_grant_request(now_ms)
        if wanted is None:
            return
        self._grant_pending = True
        put = self._task.put
        self._gateway.request(
            wanted, lambda outcome: put(_GrantEnded(outcome)), GRANT_TIMEOUT_MS
        )

    def _beat(self, now_ms):
        """Renew at the keepers, when due, and tell the standbys."""
        if now_ms >= self._next_beat_ms:
            self._next_beat_ms = now_ms + self._timing.owner_beat_ms
            self._renew(now_ms)
        for name, address in self._standbys.items():
            beat = self._term.beat(name, now_ms)
            self._context.transport.send(address, beat)

    def _renew(self, now_ms):
        """Ask the leader, or all keepers while none has granted lately."""
        renewal = self._ownership.next_renewal(uuid.uuid4().hex, now_ms)
        fresh = now_ms - self._leader_heard_ms <= 2 * self._timing.owner_beat_ms
        known = self._keepers.get(self._leader)
        addresses = [known] if known and fresh else self._keepers.values()
        for address in addresses:
            self._context.transport.send(address, renewal)

    # ---- stopping

    def _hand_over(self, mail, now_ms):
        """Stop acting for good, then let the standby take over at once."""
        state = self._ownership
        alone = state.is_owner and not state.active_standbys(now_ms)
        if alone:
            state.hand_over()
            self._release()
        if self._draining is not None or not state.is_owner:
            self._draining = mail.ticket
            mail.ticket.answer(True)
            return
        beats = [
            (address, self._term.beat(name, now_ms, handover=True))
            for name, address in self._standbys.items()
        ]
        self._draining = mail.ticket
        self._ownership.hand_over()
        for address, beat in beats:
            self._context.transport.send(address, beat)
        self._release()
        self._context.timeline.record("ownership_handed_over", epoch=state.epoch)

    def _release(self):
        release = self._ownership.release_message(uuid.uuid4().hex)
        for address in self._keepers.values():
            self._context.transport.send(address, release)

    def _end_drain(self):
        """The process may end once a standby owns the domain."""
        state = self._ownership
        if state.owner is not None and state.epoch > state.released_epoch:
            self._draining.answer(True)

    # ---- status

    def _publish(self, now_ms):
        acts = self._acts(now_ms)
        recent_ms = self._timing.owner_lease_ms + self._timing.lease_margin_ms
        heard_ms = self._beat_heard_ms
        heard = heard_ms is not None and now_ms - heard_ms < recent_ms
        detail = {"epoch": self._ownership.epoch}
        if acts:
            detail |= status.counts(self._term.placing)
        else:
            detail["records"] = len(self._copy.placements)
        self._status = daemon.RoleStatus(
            self._gateway.items.version,
            "owner" if self._ownership.is_owner else "standby",
            acts or heard,
            detail,
        )
