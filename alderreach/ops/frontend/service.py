"""The frontend daemon: forwards callers' requests to the leader, returns its answers.

It has no state that must survive it and makes no scheduling decisions, so a frontend
can fail, be added or be replaced at any time. It is ready while it has had recent
contact with a leader.
"""

import time
import typing

from alderreach.core.generated import cell
from alderreach.ops import daemon, leader_calls, settings_watch
from alderreach.ops.controller import discovery, permission_calls
from alderreach.ops.entry import callers
from alderreach.ops.frontend import cancel_counts
from alderreach.utils import tasks

# The balancer checks once a second and removes a process after two failed checks. It
# still sends callers until then.
MIN_DRAIN_MS = 2300
DRAIN_QUIET_MS = 300
DRAIN_POLL_S = 0.02


class ExternalServices(typing.NamedTuple):
    """Access to the services outside the cell, provided by the main script.

    ``serve_callers(context, leader_calls, in_flight, is_ready)`` opens the listeners
    for callers and for the balancer's checks; ``ask_permission`` is as in
    ``controller.service.ExternalServices``.
    """

    ask_permission: typing.Callable
    serve_callers: typing.Callable


class Frontend:
    """The role object; see ``ops.daemon``."""

    def __init__(self, context, external_services):
        self._context = context
        self._clock = context.clock
        settings = context.settings
        self._finder = discovery.ControllerFinder(
            settings.listen.peers,
            discovery.peer_addresses(
                settings.discovery.seeds, settings.discovery.peer_port
            ),
            "frontend",
            settings.process.failure_domain,
            context.clock,
            context.transport.send,
        )
        self._calls = leader_calls.LeaderCalls(
            settings.process.name,
            self._finder.controllers,
            lambda: self._finder.is_isolated(context.clock.monotonic_ms()),
            context.transport.send,
            context.clock,
            context.timeline.record,
            cancel_counts.counter(context.metrics),
        )
        self._permission_calls = permission_calls.PermissionCalls(
            external_services.ask_permission, context.transport.send
        ).start()
        context.stack.callback(self._permission_calls.close)
        self._in_flight = callers.InFlight(context.clock)
        self._contact = ""
        self._watch = settings_watch.SettingsWatch(context.settings_path, "frontend")
        self._task = tasks.Task(
            "frontend", self._handle, self._tick, context.clock, tick_ms=100
        ).start()
        context.stack.callback(self._task.close)
        external_services.serve_callers(
            context, self._calls, self._in_flight, self.is_ready
        )

    def deliver(self, received):
        """Handle a peer's message; replies go directly to the thread that waits."""
        message = received.message
        if isinstance(message, cell.CellReply):
            self._calls.deliver(message)
        elif isinstance(message, cell.PermissionQuery):
            self._permission_calls.enqueue(message, received.reply_address)
        else:
            self._task.put(received)

    def is_ready(self):
        """Return whether this process should get requests."""
        now_ms = self._clock.monotonic_ms()
        return self._finder.has_leader(now_ms) and not self._context.draining.is_set()

    def status(self):
        """Return the status shown to operators."""
        leadership = self._finder.leadership
        detail = {"leader": leadership.address, "epoch": leadership.epoch}
        detail["in_flight"] = self._in_flight.number
        return daemon.RoleStatus(0, "serving", self.is_ready(), detail)

    def drain(self):
        """Serve requests until the balancer has removed this process, then return.

        Rejecting requests at once would fail them in a planned stop, since the balancer
        keeps sending until two checks have failed. Meanwhile connections are closed
        after each answer, so that callers open their next one at another process.
        """
        started_ms = self._clock.monotonic_ms()
        drain_ms = self._context.settings.timing.drain_ms
        while True:
            waited_ms = self._clock.monotonic_ms() - started_ms
            is_quiet = self._in_flight.is_quiet(DRAIN_QUIET_MS)
            if waited_ms >= drain_ms or (waited_ms >= MIN_DRAIN_MS and is_quiet):
                return
            time.sleep(DRAIN_POLL_S)

    def _handle(self, received):
        if isinstance(received.message, cell.GreetingReply):
            previous = self._finder.leadership
            self._finder.handle_reply(
                received.message, received.reply_address, self._clock.monotonic_ms()
            )
            leadership = self._finder.leadership
            if leadership.epoch != previous.epoch:
                self._context.timeline.record(
                    "leader_heard", leader=leadership.address, epoch=leadership.epoch
                )

    def _record_contact(self, now_ms):
        """Record each change of contact with the leader on the time line."""
        finder = self._finder
        contact = "leader" if finder.has_leader(now_ms) else "controllers"
        if contact != "leader" and finder.is_isolated(now_ms):
            contact = "isolated"
        if contact != self._contact:
            self._context.timeline.record(
                "contact_changed",
                contact=contact,
                was=self._contact,
                silent_ms=now_ms - finder.leadership.last_contact_ms,
                answering=finder.responsive_controllers(now_ms),
            )
            self._contact = contact

    def _tick(self):
        now_ms = self._clock.monotonic_ms()
        self._finder.tick(now_ms)
        self._record_contact(now_ms)
        new_settings = self._watch.poll(now_ms)
        if new_settings is not None:
            new_discovery = new_settings.discovery
            self._finder.set_seeds(
                discovery.peer_addresses(new_discovery.seeds, new_discovery.peer_port)
            )
            self._context.timeline.record(
                "settings_reloaded", seeds=new_discovery.seeds
            )


def build(context, external_services):
    """Make the frontend and start serving; see ``ops.daemon``."""
    return Frontend(context, external_services)
