"""The part of a controller that manages the cell while its keeper leads the quorum.

It runs on the keeper's task (``ops/keeper/extension.py``). While another controller
leads, requests are answered with the address of that controller. A term of leadership
begins with a fresh copy of the replicated state once the keeper has applied every entry
that earlier leaders may have committed. At the end of the term its state is discarded.
"""

from alderreach.core import codec, raft, raft_leader
from alderreach.core.generated import cell
from alderreach.ops import leader_calls, settings_watch
from alderreach.ops.controller import (
    admitting,
    cell_time,
    discovery,
    heartbeats,
    leader_state,
    order_answers,
    permission_answers,
    placing,
    requests,
    running,
    target_link,
    worker_lifecycle,
    worker_polls,
)

# Bounds a new leader's wait for the clocks of other processes. Processes that have lost
# their leader send a Greeting to all controllers they know three times a second.
MAX_CLOCKS_WAIT_MS = 3000


class LeadershipTerm:
    """One term of leadership: its state, its decisions and its access to the quorum."""

    def __init__(self, epoch, environment):
        self.leader = leader_state.LeaderState(epoch, environment)
        self.planner = placing.Planner(self.leader)
        self.leader.on_run_ended = self.planner.on_run_ended
        self.admission = admitting.for_leader(self.leader)
        self.record = environment.record
        self.committed = environment.committed
        self._environment = environment
        self.pending_effects = {}
        running.take_over(self.leader)

    def confirm(self, act):
        """Call ``act`` once the leadership is confirmed, or never if it was lost."""
        self._environment.confirm(act, lambda: None)


class Director:
    """The cell's manager on one controller.

    ``extension.py`` documents when its methods are called.
    ``open_link(record, epoch, put)`` makes a ``target_link.TargetLink``, and
    ``query_service(query, address)`` has this process query the permission service and
    send the answer to ``address``. ``record`` writes events to the log.
    """

    def __init__(self, context, port, open_link, query_service, record):
        self._context = context
        self._clock = context.clock
        self._send = context.transport.send
        self._port = port
        self._make_link = open_link
        self._query_service = query_service
        self._record = record
        self._peers = discovery.RecentPeers()
        self._log_time = cell_time.LogTime()
        self._term = None
        self._own_address = context.settings.listen.peers
        self._next_housekeeping_ms = 0
        self._watch = settings_watch.SettingsWatch(context.settings_path, "controller")
        self.finder = discovery.ControllerFinder(
            self._own_address,
            discovery.peer_addresses(
                context.settings.discovery.seeds, context.settings.discovery.peer_port
            ),
            "controller",
            context.settings.process.failure_domain,
            context.clock,
            self._send,
        )

        self.leader_calls = leader_calls.LeaderCalls(
            self._own_address,
            self._addresses,
            self._is_isolated,
            self._send,
            context.clock,
            record,
        )

        self.heartbeats = heartbeats.HeartbeatRelay(
            context.clock,
            lambda target_id: port.get_state().cell.targets.get(target_id),
            lambda: bool(port.leader_address()),
            self.leader_calls.call,
            self._send_heartbeats,
        )

    def _addresses(self):
        """Addresses to try for a request of this process; callable from any thread."""
        return [
            self._port.leader_address(),
            *self.finder.controllers(),
            self._own_address,
        ]

    def _is_isolated(self):
        """Whether this process can neither reach a leader nor become one."""
        if self._term is not None:
            return False
        return self.finder.is_isolated(self._clock.monotonic_ms())

    def handle(self, message):
        """Handle the result of a call to a worker."""
        term = self._term
        if term is None or message.epoch != term.leader.epoch:
            return
        if isinstance(message, target_link.OrderAnswered):
            order_answers.handle_order_answer(term.leader, message)
        elif isinstance(message, target_link.PollAnswered):
            worker_polls.handle_poll_answer(term.leader, message)

    def deliver(self, received):
        """Handle a message from another process."""
        message, address = received.message, received.reply_address
        if isinstance(message, cell.CellRequest):
            self._handle_request(message, address)
        elif isinstance(message, cell.Greeting):
            self._handle_greeting(message, address)
        elif isinstance(message, cell.GreetingReply):
            self.finder.handle_reply(message, address, self._clock.monotonic_ms())
        elif isinstance(message, cell.HeartbeatBatch):
            self._handle_heartbeats(message, address)
        elif isinstance(message, cell.HeartbeatBatchReply):
            self.heartbeats.handle_reply(message)
        elif isinstance(message, cell.PermissionAnswer):
            self._handle_permission_answer(message)
        elif isinstance(message, cell.PermissionQuery):
            self._query_service(message, address)
        elif isinstance(message, cell.CellReply):
            self.leader_calls.deliver(message)

    def tick(self, now_ms):
        """Do the work that is due at ``now_ms``."""
        self._log_time.observe(self._port.get_state().cell.wall_ms, now_ms)
        self.finder.tick(now_ms)
        has_leader = bool(self._port.leader_address())
        self.heartbeats.tick(now_ms, self._port.node.term if has_leader else None)
        if now_ms >= self._next_housekeeping_ms:
            self._next_housekeeping_ms = now_ms + discovery.GREETING_INTERVAL_MS
            self._peers.forget_silent(now_ms)
            self._reload_if_changed(now_ms)
            if self._term is not None:
                self._term.leader.tidy()
                self._term.planner.tidy()
                self._term.admission.tidy()
        if self._term is not None and self._may_act(now_ms):
            for helper in self._term.leader.permissions.give_up_overdue(now_ms):
                self._record("permission_overdue", helper=helper)
            running.tick(self._term.leader, now_ms)

    def before_write(self, now_ms):
        """Follow changes of the leadership, plan, and propose the decisions."""
        self._follow_leadership()
        term = self._term
        if term is None or not self._may_act(now_ms):
            return
        term.planner.plan(now_ms)
        batch, effects = term.leader.pop_batch()
        while batch is not None:
            index = self._port.propose(codec.pack(batch))
            if index is None:
                term.leader.requeue_batch(batch, effects)
                return
            term.pending_effects[index] = effects
            batch, effects = term.leader.pop_batch()

    def on_applied(self, index, term):
        """Run the effects that waited for the entry at ``index`` to be committed."""
        current = self._term
        if current is None or term != current.leader.epoch:
            return
        for effect in current.pending_effects.pop(index, ()):
            effect()

    def _reload_if_changed(self, now_ms):
        changed = self._watch.poll(now_ms)
        if changed is not None:
            found = changed.discovery
            self.finder.set_seeds(
                discovery.peer_addresses(found.seeds, found.peer_port)
            )
            self._record("settings_reloaded", seeds=found.seeds)

    def _may_act(self, now_ms):
        node = self._port.node
        return node.is_ready_leader and raft_leader.has_quorum(node, now_ms)

    def _follow_leadership(self):
        node = self._port.node
        epoch = node.term if self._is_caught_up_leader() else None
        if self._term is not None and self._term.leader.epoch != epoch:
            self._record("leadership_lost", epoch=self._term.leader.epoch)
            self._term.leader.close()
            self._term = None
        if epoch is not None and self._term is None:
            self._record("leadership_gained", epoch=epoch)
            self._term = LeadershipTerm(epoch, self._environment())

    def _is_caught_up_leader(self):
        """Whether it leads and has applied all entries committed by earlier leaders."""
        node, state = self._port.node, self._port.get_state()
        return (
            node.role == raft.LEADER
            and node.is_ready_leader
            and state.index >= node.first_index_of_term
        )

    def _environment(self):
        return leader_state.Environment(
            settings=self._context.settings,
            clock=self._clock,
            metrics=self._context.metrics,
            record=self._record,
            confirm=self._port.confirm,
            confirmed_ms=lambda: raft_leader.confirmed_ms(
                self._port.node, self._clock.monotonic_ms()
            ),
            committed=lambda: self._port.get_state().cell,
            cell_offset_ms=self._cell_offset_ms,
            is_time_known=self._make_time_check(),
            helpers=self._helpers,
            send_query=self._send_query,
            open_link=self._open_link,
        )

    def _open_link(self, record, epoch):
        return self._make_link(record, epoch, self._port.put)

    def _cell_offset_ms(self):
        now_ms = self._clock.monotonic_ms()
        return self._peers.cell_offset_ms(
            self._clock.wall_ms(), now_ms, self._log_time.bounded_ms
        )

    def _make_time_check(self):
        """Return a function that says whether a new term can rely on the cell's time.

        Otherwise a new leader whose own clock is wrong would start jobs that are not
        due yet. A cell too small to have ``discovery.MIN_PEER_CLOCKS`` other clocks
        relies on the clocks it has after ``MAX_CLOCKS_WAIT_MS``.
        """
        began_ms = self._clock.monotonic_ms()

        def is_known():
            now_ms = self._clock.monotonic_ms()
            if now_ms - began_ms >= MAX_CLOCKS_WAIT_MS:
                return True
            return self._peers.has_enough_clocks(now_ms)

        return is_known

    def _helpers(self):
        """Processes that may query the permission service: recent peers and this one.

        Frontends come first, since controllers have more to do. Within each role, peers
        of the leader's own failure domain come first, since no network partition or
        lossy link separates them from the leader.
        """
        now_ms = self._clock.monotonic_ms()
        domain = self._context.settings.process.failure_domain
        return [
            *self._peers.recent_addresses(now_ms, "frontend", domain),
            *self._peers.recent_addresses(now_ms, "controller", domain),
            self._own_address,
        ]

    def _send_query(self, query):
        step = ".".join(str(part) for part in query.group)
        query_id = f"{self._term.leader.epoch}/{query.query_id}"
        message = cell.PermissionQuery(query_id, step, query.target_ids)
        self._send(query.helper, message)

    def _handle_permission_answer(self, message):
        """Handle the answer to a query of this term; ignore answers to earlier terms.

        Each term numbers its queries from 1, so a late answer to a query of an earlier
        term could otherwise be mistaken for the answer to a query of this term.
        """
        if self._term is None:
            return
        epoch, _slash, query_id = message.query_id.partition("/")
        if epoch == str(self._term.leader.epoch):
            permission_answers.handle_answer(
                self._term.leader, message._replace(query_id=query_id)
            )

    def _send_heartbeats(self, batch):
        """Send heartbeats to the leader, which may be this process."""
        leader = self._port.leader_address()
        if leader == self._own_address:
            self._handle_heartbeats(batch, self._own_address)
        elif leader:
            self._send(leader, batch)

    def _handle_heartbeats(self, batch, address):
        """Apply a batch; without a quorum there is no reply, and the sender notices."""
        if self._term is None or not self._may_act(self._clock.monotonic_ms()):
            return
        reply = worker_lifecycle.apply_heartbeats(self._term.leader, batch)
        if address == self._own_address:
            self.heartbeats.handle_reply(reply)
        else:
            self._send(address, reply)

    def _handle_greeting(self, message, address):
        now_ms = self._clock.monotonic_ms()
        if address != self._own_address:
            self._peers.record_greeting(address, message, now_ms)
        self._send(address, self._greeting_reply())

    def _greeting_reply(self):
        """The reply that names the leader known to this controller.

        A controller that has lost its leadership and knows no other leader names none.
        If it still named itself, frontends that reach it would keep sending it their
        greetings, and its successor would have no helpers.
        """
        controllers = [m.address for m in self._port.node.members if m.address]
        if self._term is not None:
            epoch = self._term.leader.epoch
            return cell.GreetingReply(self._own_address, epoch, controllers)
        leader = self._port.leader_address()
        if leader == self._own_address:
            leader = ""
        return cell.GreetingReply(leader, self._port.node.term, controllers)

    def _handle_request(self, message, address):
        def reply(status, payload=b""):
            epoch = self._term.leader.epoch if self._term else 0
            self._send(
                address,
                cell.CellReply(
                    message.request_id,
                    status,
                    self._port.leader_address(),
                    epoch,
                    payload,
                ),
            )

        unpacked = codec.unpack(message.payload).ok()
        if self._term is None or unpacked is None:
            reply("not_leader")
            return
        requests.handle(
            self._term,
            unpacked,
            lambda answer: reply("answered", codec.pack(answer)),
        )
