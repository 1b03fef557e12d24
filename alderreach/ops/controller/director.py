"""The part of a controller that owns the cell while its keeper leads the quorum.

It runs on the keeper's task (``ops/keeper/extension.py``). While another controller
leads, requests are answered with that one's address. A term of leadership begins once
the keeper has applied every entry that earlier leaders may have committed, with a fresh
copy of the agreed state, and ends with the term: nothing of it is carried over.
"""

from alderreach.core import codec, raft, raft_leader
from alderreach.core.generated import cell
from alderreach.ops import leader_calls, settings_watch
from alderreach.ops.controller import (
    discovery,
    leader_state,
    order_answers,
    permission_answers,
    placing,
    requests,
    running,
    target_link,
    worker_polls,
)

# A new leader waits this long at the most for others' clocks; processes that have lost
# their leader greet all controllers they know three times a second.
MAX_CLOCKS_WAIT_MS = 3000


class LeadershipTerm:
    """One term: its state, its planner, and how requests reach the quorum."""

    def __init__(self, epoch, environment):
        self.leader = leader_state.LeaderState(epoch, environment)
        self.planner = placing.Planner(self.leader)
        self.leader.on_run_ended = self.planner.on_run_ended
        self.record = environment.record
        self.committed = environment.committed
        self._environment = environment
        self.pending_effects = {}
        running.take_over(self.leader)

    def confirm(self, act):
        """Call ``act`` once the leadership is confirmed; a lost one answers nobody."""
        self._environment.confirm(act, lambda: None)

    def contact(self):
        """Where workers reach this leader."""
        return self._environment.contact


class Director:
    """See ``extension.py`` for when its methods are called.

    ``open_link(record, epoch, put)`` makes a ``target_link.TargetLink``, and
    ``query_service(query, address)`` has this process put a question to the permission
    service. ``record`` takes events for the log.
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
        self._term = None
        self._contact = context.settings.cell.control
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

    def _addresses(self):
        """Where to bring a request of this process itself, any thread may ask."""
        return [
            self._port.leader_address(),
            *self.finder.controllers(),
            self._own_address,
        ]

    def _is_isolated(self):
        """Whether this process reaches no leader and can't become one."""
        if self._term is not None:
            return False
        return self.finder.is_isolated(self._clock.monotonic_ms())

    def handle(self, message):
        """Take what a worker's link reports."""
        term = self._term
        if term is None or message.epoch != term.leader.epoch:
            return
        if isinstance(message, target_link.OrderAnswered):
            order_answers.handle_order_answer(term.leader, message)
        elif isinstance(message, target_link.PollAnswered):
            worker_polls.handle_poll_answer(term.leader, message)

    def deliver(self, received):
        """Take a message of another process."""
        message, address = received.message, received.reply_address
        if isinstance(message, cell.CellRequest):
            self._handle_request(message, address)
        elif isinstance(message, cell.Greeting):
            self._handle_greeting(message, address)
        elif isinstance(message, cell.GreetingReply):
            self.finder.handle_reply(message, address, self._clock.monotonic_ms())
        elif isinstance(message, cell.PermissionAnswer):
            self._handle_permission_answer(message)
        elif isinstance(message, cell.PermissionQuery):
            self._query_service(message, address)
        elif isinstance(message, cell.CellReply):
            self.leader_calls.deliver(message)

    def tick(self, now_ms):
        """Let time pass."""
        self.finder.tick(now_ms)
        if now_ms >= self._next_housekeeping_ms:
            self._next_housekeeping_ms = now_ms + discovery.GREETING_INTERVAL_MS
            self._peers.forget_silent(now_ms)
            self._reload_if_changed(now_ms)
            if self._term is not None:
                self._term.leader.tidy()
                self._term.planner.tidy()
        if self._term is not None and self._may_act(now_ms):
            for helper in self._term.leader.permissions.give_up_overdue(now_ms):
                self._record("permission_overdue", helper=helper)
            running.tick(self._term.leader, now_ms)

    def before_write(self, now_ms):
        """Begin or end a term; plan, and propose what was decided."""
        self._follow_leadership()
        term = self._term
        if term is None or not self._may_act(now_ms):
            return
        term.planner.plan(now_ms)
        batch, effects = term.leader.pop_batch()
        if batch is None:
            return
        index = self._port.propose(codec.pack(batch))
        if index is None:
            term.leader.requeue_batch(batch, effects)
        else:
            term.pending_effects[index] = effects

    def applied(self, index, term):
        """An entry is committed: what waited for it happens now."""
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
        """Whether it leads and has applied all that earlier leaders committed."""
        node, state = self._port.node, self._port.state_of()
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
            committed=lambda: self._port.state_of().cell,
            cell_offset_ms=self._cell_offset_ms,
            is_time_known=self._make_time_check(),
            helpers=self._helpers,
            send_query=self._send_query,
            open_link=self._open_link,
            contact=self._contact,
        )

    def _open_link(self, record, epoch):
        return self._make_link(record, epoch, self._port.put)

    def _cell_offset_ms(self):
        now_ms = self._clock.monotonic_ms()
        return self._peers.cell_offset_ms(self._clock.wall_ms(), now_ms)

    def _make_time_check(self):
        """A function that says whether the cell's time can be relied on in a new term.

        A new leader whose own clock is wrong would otherwise start what is not due yet.
        A cell of so few processes that no more will come goes by the clocks that there
        are.
        """
        began_ms = self._clock.monotonic_ms()

        def is_known():
            now_ms = self._clock.monotonic_ms()
            if now_ms - began_ms >= MAX_CLOCKS_WAIT_MS:
                return True
            return self._peers.has_enough_clocks(now_ms)

        return is_known

    def _helpers(self):
        """Who may ask the permission service: everyone heard lately, and this process.

        Frontends come first, since controllers have more to do, and among each those of
        the own failure domain, which no cut or lossy link keeps from the leader.
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
        """Take an answer to a question of this term; each numbers its own from 1.

        An answer to a question of an earlier term must not be taken for the answer to
        another one.
        """
        if self._term is None:
            return
        epoch, _slash, query_id = message.query_id.partition("/")
        if epoch == str(self._term.leader.epoch):
            permission_answers.handle_answer(
                self._term.leader, message._replace(query_id=query_id)
            )

    def _handle_greeting(self, message, address):
        now_ms = self._clock.monotonic_ms()
        if address != self._own_address:
            self._peers.record_greeting(address, message, now_ms)
        self._send(address, self._greeting_reply())

    def _greeting_reply(self):
        """Who leads: this controller, or the one that the quorum protocol follows.

        A leader that has lost its leadership and knows of no other names nobody. Did it
        name itself still, frontends that reach it would go on greeting it, and its
        successor would have no helpers.
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
