"""Assembles the parts of the entry daemon.

HTTP threads run ``requests`` and ``jobs``; the dispatcher's task owns queues and
routing; the gateway's task owns the copy of the configuration and the requests to the
keepers. They share only messages and immutable snapshots.
"""

import time

from alderreach.core import catalog
from alderreach.core.generated import placer
from alderreach.ops import daemon, gateway
from alderreach.ops.entry import (
    callers,
    dispatcher,
    jobs,
    keepers,
    once,
    operators,
    requests,
    runner_wire,
    thread_shares,
)
from alderreach.utils import http_server

PREFIXES = ("team/", "workload/", "maintenance/", "owner/")
DRAIN_QUIET_MS = 1000
DRAIN_POLL_MS = 20
DRAIN_SERVING_SHARE = 0.5
READY_GRACE_MS = 3000
OPERATOR_THREADS = 4


class Entry:
    """The entry role, with the methods that ``ops.daemon`` calls."""

    def __init__(self, context):
        self._context = context
        self._started_ms = context.clock.monotonic_ms()
        self._catalog = catalog.EMPTY
        self._was_current = False
        limits, process = context.settings.limits, context.settings.process
        shares = thread_shares.divide(limits.http_threads)
        wire = runner_wire.RunnerWire(context.clock, limits.answer_bytes)
        context.stack.callback(wire.close)
        self._dispatcher = dispatcher.Dispatcher(
            context, lambda runner: wire.forget(runner_wire.key_of(runner))
        ).start()
        context.stack.callback(self._dispatcher.close)
        self._gateway = gateway.Gateway(
            context, PREFIXES, self._on_items_changed
        ).start()
        context.stack.callback(self._gateway.close)
        bounded_keepers = keepers.Keepers(self._gateway, limits.http_threads)
        self._claims = once.KeyClaims(
            bounded_keepers,
            context.clock,
            (process.name, context.boot_id),
            limits.kept_answer_bytes,
            shares.key_waits,
            lambda duration_ms: time.sleep(duration_ms / 1000),
        )
        self._in_flight = callers.InFlight(context.clock)
        self._serve_callers(wire, bounded_keepers)
        self._serve_operators()

    def deliver(self, received):
        """Handle a message from a peer."""
        if self._gateway.deliver(received):
            return
        if isinstance(received.message, placer.TargetsView):
            self._dispatcher.enqueue(received.message)

    def status(self):
        """Return the entry's state; ready once it knows configuration and runners."""
        published = self._dispatcher.published
        detail = {
            "in_flight": self._in_flight.number,
            "waiting": published.waiting,
            "granted": published.granted,
            "runners": published.runners,
            "unrecorded": self._claims.unrecorded,
            "current": int(self._gateway.is_current),
        }
        for domain, epoch in published.epochs.items():
            detail[f"epoch_{domain}"] = epoch
        return daemon.RoleStatus(
            self._gateway.items.version, "serving", self._is_ready(published), detail
        )

    def drain(self):
        """Serve requests until the balancer has stopped sending them, then return.

        Requests that arrive before the balancer has noticed the drain are served as
        usual, on connections that are closed after the answer: refusing them would fail
        requests during a planned stop. If callers still send requests after half of the
        drain time, they are refused, so that the end of the process interrupts none.
        """
        clock = self._context.clock
        drain_ms = self._context.settings.timing.drain_ms
        end_ms = clock.monotonic_ms() + drain_ms
        refuse_ms = clock.monotonic_ms() + int(drain_ms * DRAIN_SERVING_SHARE)
        while clock.monotonic_ms() < end_ms:
            if self._in_flight.is_quiet(DRAIN_QUIET_MS) and not self._claims.unrecorded:
                return
            if clock.monotonic_ms() >= refuse_ms:
                self._in_flight.start_refusing()
            time.sleep(DRAIN_POLL_MS / 1000)

    def _is_ready(self, published):
        has_copy = self._gateway.items.version > 0
        self._was_current = self._was_current or has_copy or self._gateway.is_current
        domain = self._context.settings.process.failure_domain
        waited_ms = self._context.clock.monotonic_ms() - self._started_ms
        has_runner_view = domain in published.epochs or waited_ms > READY_GRACE_MS
        return self._was_current and has_runner_view

    def _on_items_changed(self, _changed, copy):
        self._catalog = catalog.build(copy)
        self._dispatcher.enqueue(self._catalog)

    def _serve_callers(self, wire, bounded_keepers):
        context, limits = self._context, self._context.settings.limits
        get_catalog = lambda: self._catalog
        served = requests.Requests(
            context, get_catalog, self._dispatcher, wire, self._claims
        )
        job_paths = jobs.Jobs(
            context, get_catalog, bounded_keepers, self._gateway.ask_peer
        )
        application = callers.build(context, self, served, job_paths, self._in_flight)
        listen = context.settings.listen.callers
        self._listen(listen, application, limits.http_threads)

    def _serve_operators(self):
        application = operators.build(self._context, self._gateway)
        listen = self._context.settings.listen.operators
        self._listen(listen, application, OPERATOR_THREADS)

    def _listen(self, address, application, threads):
        limits = self._context.settings.limits
        server = http_server.HttpServer(
            address,
            application,
            http_server.HttpLimits(
                threads, limits.header_bytes, limits.body_bytes, limits.caller_idle_ms
            ),
            callers.refuse,
        )
        self._context.stack.callback(server.close)


def build(context):
    """Create the entry and start serving; see ``ops.daemon``."""
    return Entry(context)
