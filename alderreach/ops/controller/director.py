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
CLOCKS_WAIT_MS = 3000


class LeadershipTerm:
    """One term: its state, its planner, and how requests reach the quorum."""

    def __init__(self, epoch, environment):
        self.leader = leader_state.LeaderState(epoch, environment)
        self.planner = placing.Planner(self.leader)
        self.leader.on_run_ended = self.planner.changed
        self.record = environment.record
        self.committed = environment.committed
        self._environment = environment
        self.batches = {}
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
    ``ask_here(query, address)`` has this process put a question to the permission
    service. ``record`` takes events for the log.
    """

    def __init__(self, context, port, open_link, ask_here, record):
        self._context = context
        self._clock = context.clock
        self._post = context.transport.send
        self._port = port
        self._make_link = open_link
        self._ask_here = ask_here
        self._record = record
        self._greeters = discovery.Greeters()
        self._leading = None
        self._contact = context.settings.cell.control
        self._own_address = context.settings.listen.peers
        self._next_housekeeping_ms = 0
        self._watch = settings_watch.SettingsWatch(context.settings_path, "controller")
        self.seeker = discovery.ControllerFinder(
            self._own_address,
            discovery.peer_addresses(
                context.settings.discovery.seeds, context.settings.discovery.peer_port
            ),
            "controller",
            context.settings.process.failure_domain,
            context.clock,
            self._post,
        )

        self.leader_calls = leader_calls.LeaderCalls(
            self._own_address,
            self._addresses,
            self._is_isolated,
            self._post,
            context.clock,
            record,
        )

    def _addresses(self):
        """Where to bring a request of this process itself, any thread may ask."""
        return [
            self._port.leader_address(),
            *self.seeker.controllers(),
            self._own_address,
        ]

    def _is_isolated(self):
        """Whether this process reaches no leader and can't become one."""
        if self._leading is not None:
            return False
        return self.seeker.is_isolated(self._clock.monotonic_ms())

    def handle(self, mail):
        """Take what a worker's link reports."""
        leading = self._leading
        if leading is None or mail.epoch != leading.leader.epoch:
            return
        if isinstance(mail, target_link.OrderAnswered):
            order_answers.handle_order_answer(leading.leader, mail)
        elif isinstance(mail, target_link.PollAnswered):
            worker_polls.handle_poll_answer(leading.leader, mail)

    def deliver(self, received):
        """Take a message of another process."""
        message, address = received.message, received.reply_address
        if isinstance(message, cell.CellRequest):
            self._relayed(message, address)
        elif isinstance(message, cell.Greeting):
            self._greeted(message, address)
        elif isinstance(message, cell.GreetingReply):
            self.seeker.handle_reply(message, address, self._clock.monotonic_ms())
        elif isinstance(message, cell.PermissionAnswer):
            self._permission_answered(message)
        elif isinstance(message, cell.PermissionQuery):
            self._ask_here(message, address)
        elif isinstance(message, cell.CellReply):
            self.leader_calls.deliver(message)

    def tick(self, now_ms):
        """Let time pass."""
        self.seeker.tick(now_ms)
        if now_ms >= self._next_housekeeping_ms:
            self._next_housekeeping_ms = now_ms + discovery.GREETING_INTERVAL_MS
            self._greeters.forget_silent(now_ms)
            self._reload_if_changed(now_ms)
            if self._leading is not None:
                self._leading.leader.tidy()
                self._leading.planner.tidy()
        if self._leading is not None and self._may_act(now_ms):
            for helper in self._leading.leader.permissions.give_up_overdue(now_ms):
                self._record("permission_overdue", helper=helper)
            running.tick(self._leading.leader, now_ms)

    def before_write(self, now_ms):
        """Begin or end a term; plan, and propose what was decided."""
        self._follow_leadership()
        leading = self._leading
        if leading is None or not self._may_act(now_ms):
            return
        leading.planner.plan(now_ms)
        batch, effects = leading.leader.pop_batch()
        if batch is None:
            return
        index = self._port.propose(codec.pack(batch))
        if index is None:
            leading.leader.put_back(batch, effects)
        else:
            leading.batches[index] = effects

    def applied(self, index, term):
        """An entry is committed: what waited for it happens now."""
        leading = self._leading
        if leading is None or term != leading.leader.epoch:
            return
        for effect in leading.batches.pop(index, ()):
            effect()

    def _reload_if_changed(self, now_ms):
        changed = self._watch.poll(now_ms)
        if changed is not None:
            found = changed.discovery
            self.seeker.set_seeds(
                discovery.peer_addresses(found.seeds, found.peer_port)
            )
            self._record("settings_reloaded", seeds=found.seeds)

    def _may_act(self, now_ms):
        node = self._port.node
        return node.is_ready_leader and raft_leader.has_quorum(node, now_ms)

    def _follow_leadership(self):
        node = self._port.node
        epoch = node.term if self._is_in_charge() else None
        if self._leading is not None and self._leading.leader.epoch != epoch:
            self._record("leadership_lost", epoch=self._leading.leader.epoch)
            self._leading.leader.close()
            self._leading = None
        if epoch is not None and self._leading is None:
            self._record("leadership_gained", epoch=epoch)
            self._leading = LeadershipTerm(epoch, self._environment())

    def _is_in_charge(self):
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
            is_time_known=self._time_judge(),
            helpers=self._helpers,
            send_query=self._ask,
            open_link=self._open_link,
            contact=self._contact,
        )

    def _open_link(self, record, epoch):
        return self._make_link(record, epoch, self._port.put)

    def _cell_offset_ms(self):
        now_ms = self._clock.monotonic_ms()
        return self._greeters.cell_offset_ms(self._clock.wall_ms(), now_ms)

    def _time_judge(self):
        """A function that says whether the cell's time can be relied on in a new term.

        A new leader whose own clock is wrong would otherwise start what is not due yet.
        A cell of so few processes that no more will come goes by the clocks that there
        are.
        """
        began_ms = self._clock.monotonic_ms()

        def is_known():
            now_ms = self._clock.monotonic_ms()
            if now_ms - began_ms >= CLOCKS_WAIT_MS:
                return True
            return self._greeters.has_clocks(now_ms)

        return is_known

    def _helpers(self):
        """Who may ask the permission service: everyone heard lately, and this process.

        Frontends come first, since controllers have more to do, and among each those of
        the own failure domain, which no cut or lossy link keeps from the leader.
        """
        now_ms = self._clock.monotonic_ms()
        domain = self._context.settings.process.failure_domain
        return [
            *self._greeters.present(now_ms, "frontend", domain),
            *self._greeters.present(now_ms, "controller", domain),
            self._own_address,
        ]

    def _ask(self, question):
        step = ".".join(str(part) for part in question.group)
        query_id = f"{self._leading.leader.epoch}/{question.query_id}"
        query = cell.PermissionQuery(query_id, step, question.target_ids)
        self._post(question.helper, query)

    def _permission_answered(self, message):
        """Take an answer to a question of this term; each numbers its own from 1.

        An answer to a question of an earlier term must not be taken for the answer to
        another one.
        """
        if self._leading is None:
            return
        epoch, _slash, query_id = message.query_id.partition("/")
        if epoch == str(self._leading.leader.epoch):
            permission_answers.handle_answer(
                self._leading.leader, message._replace(query_id=query_id)
            )

    def _greeted(self, message, address):
        now_ms = self._clock.monotonic_ms()
        if address != self._own_address:
            self._greeters.note(address, message, now_ms)
        self._post(address, self._greeting_reply())

    def _greeting_reply(self):
        """Who leads: this controller, or the one that the quorum protocol follows.

        A leader that has lost its leadership and knows of no other names nobody. Did it
        name itself still, frontends that reach it would go on greeting it, and its
        successor would have no helpers.
        """
        controllers = [m.address for m in self._port.node.members if m.address]
        if self._leading is not None:
            epoch = self._leading.leader.epoch
            return cell.GreetingReply(self._own_address, epoch, controllers)
        leader = self._port.leader_address()
        if leader == self._own_address:
            leader = ""
        return cell.GreetingReply(leader, self._port.node.term, controllers)

    def _relayed(self, message, address):
        def reply(status, payload=b""):
            epoch = self._leading.leader.epoch if self._leading else 0
            self._post(
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
        if self._leading is None or unpacked is None:
            reply("not_leader")
            return
        requests.handle(
            self._leading,
            unpacked,
            lambda answer: reply("answered", codec.pack(answer)),
        )
