"""Code shared by all daemons: settings, logs, time line, peers, probes, shutdown.

A role provides ``build(context)``, which returns an object with these methods:

- ``deliver(received)``: add a peer's message to the role's mailbox.
- ``status()``: return a ``RoleStatus`` from published, immutable state; may be called
  on any thread.
- ``drain()``: finish requests in flight and hand over; returns when done, at the latest
  after ``timing.drain_ms``. The process already reports not ready when it is called.

The role registers everything it opens with ``context.stack``, which closes it in
reverse order.
"""

import contextlib
import logging as std_logging
import os
import pathlib
import sys
import threading
import traceback
import typing
import uuid

from absl import flags, logging

from alderreach.core import problems
from alderreach.core.generated import common
from alderreach.parser import settings as settings_parser
from alderreach.utils import (
    clocks,
    event_log,
    http_server,
    link_health,
    metrics,
    stop_signals,
    timeline,
    transport,
)

# Files of a daemon, which may hold customers' keys, are for their owner only.
FILE_MODE_MASK = 0o077
USAGE = "usage: alderreach-{role} SETTINGS.toml"
EXIT_BAD_SETTINGS = 2
PLATFORM_THREADS = 2
# Roles whose events go to standard output instead of timeline files.
STDOUT_ROLES = ("controller", "frontend")


class RoleStatus(typing.NamedTuple):
    """A role's state for status replies and the readiness probe."""

    version_in_force: int
    state: str
    ready: bool
    detail: dict


class Context(typing.NamedTuple):
    """The environment of a role; ``draining`` is set at the start of a shutdown."""

    role: str
    settings: settings_parser.Settings
    boot_id: str
    clock: clocks.Clock
    timeline: timeline.Timeline
    metrics: metrics.Metrics
    transport: transport.Transport
    stack: contextlib.ExitStack
    draining: threading.Event
    settings_path: str = ""


class _LogHandler(std_logging.Handler):
    """Records plain log messages as structured events."""

    def __init__(self, events):
        super().__init__()
        self._events = events

    def emit(self, log_record):
        """Record one message, with the traceback if there is one."""
        text = log_record.getMessage()
        if log_record.exc_info:
            text += "\n" + "".join(traceback.format_exception(*log_record.exc_info))
        self._events.record("log", level=log_record.levelname.lower(), text=text)

    def flush(self):
        """Wait until all recorded events are written."""
        self._events.flush()


class _Dispatcher:
    """Passes peers' messages to the role once it is built; answers queries itself."""

    def __init__(self):
        self.role = None
        self.context = None

    def deliver(self, received):
        message = received.message
        if self.role is None:
            return
        if isinstance(message, common.TimelineQuery):
            if self.context.role in STDOUT_ROLES:
                return
            events = self.context.timeline.matching(message)
            page = common.TimelinePage(message.request_id, events)
            self.context.transport.send(received.reply_address, page)
        elif isinstance(message, common.StatusQuery):
            self.context.transport.send(
                received.reply_address, self.status_reply(message.request_id)
            )
        else:
            self.role.deliver(received)

    def status_reply(self, request_id):
        process = self.context.settings.process
        status = self.role.status()
        return common.StatusReply(
            request_id,
            process.name,
            self.context.role,
            process.failure_domain,
            self.context.boot_id,
            status.version_in_force,
            "draining" if self.context.draining.is_set() else status.state,
            status.detail,
        )


def main(role, build, arguments=None):
    """Run a daemon from its settings file until SIGTERM; returns the exit code.

    Returns 2 after printing every mistake in the settings, with file, line and key.
    """
    arguments = sys.argv[1:] if arguments is None else arguments
    if len(arguments) != 1:
        print(USAGE.format(role=role), file=sys.stderr)
        return EXIT_BAD_SETTINGS
    settings, mistakes = settings_parser.load(arguments[0], role)
    if mistakes:
        for mistake in mistakes:
            print(problems.show(mistake), file=sys.stderr)
        return EXIT_BAD_SETTINGS
    return run(role, build, settings, arguments[0])


def run(role, build, settings, path=""):
    """Run a daemon with checked settings until SIGTERM; returns the exit code."""
    os.umask(FILE_MODE_MASK)
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    with contextlib.ExitStack() as stack:
        stop = stop_signals.StopSignals(stack)
        dispatcher = _Dispatcher()
        context = _open_context(role, settings, stack, dispatcher, path)
        dispatcher.context = context
        dispatcher.role = build(context)
        if settings.listen.platform:
            _serve_platform(context, dispatcher.role)
        context.timeline.record("process_started", detail=role)
        logging.info("%s started, boot %s", settings.process.name, context.boot_id)
        stop.wait()
        context.timeline.record("drain_started")
        context.draining.set()
        dispatcher.role.drain()
        context.timeline.record("process_stopped")
        logging.info("%s stopped", settings.process.name)
    return 0


def _open_events(role, settings, boot_id, stack):
    """Open the destination of events: standard output, or a time line in files."""
    process, limits = settings.process, settings.limits
    if role in STDOUT_ROLES:
        events = event_log.EventLog(process.name, boot_id, role, clocks.SYSTEM)
        handler = _LogHandler(events)
        root = std_logging.getLogger()
        root.handlers[:] = [handler]
        logging.get_absl_logger().handlers[:] = []
        stack.callback(events.close)
        return events
    time_line = timeline.Timeline(
        process.name,
        boot_id,
        clocks.SYSTEM,
        process.data_folder,
        limits.timeline_ring,
        limits.timeline_file_bytes,
        limits.timeline_files,
    )
    stack.callback(time_line.close)
    return time_line


def _open_context(role, settings, stack, dispatcher, path):
    process, timing = settings.process, settings.timing
    boot_id = uuid.uuid4().hex[:12]
    pathlib.Path(process.data_folder).mkdir(parents=True, exist_ok=True)
    time_line = _open_events(role, settings, boot_id, stack)
    peer_transport = transport.Transport(
        (process.cell, process.name, boot_id),
        settings.listen.peers,
        {peer.name: peer.address for peer in settings.peers},
        dispatcher.deliver,
        clocks.SYSTEM,
        link_health.Rules(timing.peer_confirm_ms, timing.peer_silence_ms),
        on_undecodable=lambda text: time_line.record(
            "message_undecodable", detail=text
        ),
        on_loss=lambda loss: time_line.record(
            "link_given_up", detail=_describe_loss(loss)
        ),
    )
    stack.callback(peer_transport.close)
    context = Context(
        role,
        settings,
        boot_id,
        clocks.SYSTEM,
        time_line,
        metrics.Metrics(),
        peer_transport,
        stack,
        threading.Event(),
        path,
    )
    peer_transport.start()
    return context


def _describe_loss(loss):
    silent = "never" if loss.silent_ms is None else f"{loss.silent_ms} ms ago"
    return (
        f"{loss.address}: oldest message unconfirmed for {loss.unconfirmed_ms} ms, "
        f"last message from it {silent}"
    )


def platform_answer(context, role, path):
    """Answer /livez, /readyz or /metrics with (status line, body), others with None."""
    if path == "/livez":
        return "200 OK", b"live\n"
    if path == "/readyz":
        ready = role.status().ready and not context.draining.is_set()
        return ("200 OK", b"ready\n") if ready else ("503 Not Ready", b"not ready\n")
    if path == "/metrics":
        _update_transport_gauges(context)
        return "200 OK", context.metrics.render()
    return None


def _update_transport_gauges(context):
    peer_transport = context.transport
    for name in ("bytes_sent", "bytes_received", "dropped", "undecodable"):
        context.metrics.gauge(f"peer_messages_{name}", getattr(peer_transport, name))
    context.metrics.gauge("peer_messages_unencodable", peer_transport.links.unencodable)
    for name in ("given_up", "replaced_for_peer", "unconfirmed"):
        context.metrics.gauge(f"peer_links_{name}", getattr(peer_transport.links, name))


def _serve_platform(context, role):
    def application(environ, start_response):
        answer = platform_answer(context, role, environ.get("PATH_INFO", ""))
        status, body = answer or ("404 Not Found", b"not found\n")
        headers = [("Content-Type", "text/plain"), ("Content-Length", str(len(body)))]
        start_response(status, headers)
        return [body]

    limits = context.settings.limits
    server = http_server.HttpServer(
        context.settings.listen.platform,
        application,
        http_server.HttpLimits(
            PLATFORM_THREADS,
            limits.header_bytes,
            limits.body_bytes,
            limits.caller_idle_ms,
        ),
    )
    context.stack.callback(server.close)
