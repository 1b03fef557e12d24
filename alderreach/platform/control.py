"""The listener for workers and operators, in the platform's protocol.

Every controller accepts these calls and forwards them to the leader, but for heartbeats
without news. A worker's answer holds this controller's own address, so that its next
heartbeats come here, where the last one is known.
"""

from absl import logging

from alderreach.core.generated import cell
from alderreach.platform import answers, callers, wire
from alderreach.utils import http_server

TARGET_PREFIX = "/-/instances/"
CONFIG_PATH = "/-/config"
CONTROL_THREADS = 24
# Workers and operators wait 1 s for an answer.
WORKER_WAIT_MS = 900
OPERATOR_WAIT_MS = 950
REFUSED_REPORTS_LOG_S = 60


def serve(context, leader_calls, announce):
    """Open the listener; the context's stack closes it."""
    limits = context.settings.limits
    address = context.settings.cell.control
    server = http_server.HttpServer(
        address,
        _application(context, leader_calls, announce, address),
        http_server.HttpLimits(
            CONTROL_THREADS,
            limits.header_bytes,
            limits.body_bytes,
            limits.caller_idle_ms,
        ),
        callers.refuse,
    )
    context.stack.callback(server.close)


def _application(context, leader_calls, announce, own_address):
    clock = context.clock

    def application(environ, start_response):
        method, path = environ["REQUEST_METHOD"], environ.get("PATH_INFO", "")
        is_heartbeat = method == "PUT" and path.startswith(TARGET_PREFIX)
        try:
            if is_heartbeat:
                reply = _answer_heartbeat(environ, clock, announce, own_address)
            else:
                reply = _answer(environ, clock, leader_calls)
        except wire.MalformedError as error:
            reply = answers.Reply(error.status, wire.encode({"error": str(error)}))
        except Exception:
            logging.exception("unexpected error while answering %s %s", method, path)
            reply = answers.Reply(500)
        if is_heartbeat and reply.status == 400:
            _note_refused_report(context.metrics, path, reply)
        return answers.respond(reply, start_response)

    return application


def _note_refused_report(metrics, path, reply):
    metrics.count("reports_refused")
    logging.log_every_n_seconds(
        logging.WARNING,
        "%d reports refused so far, the last one for %s: %s",
        REFUSED_REPORTS_LOG_S,
        metrics.total("reports_refused"),
        path,
        reply.body.decode(),
    )


def _answer_heartbeat(environ, clock, announce, own_address):
    target_id = environ["PATH_INFO"][len(TARGET_PREFIX) :]
    request = wire.announcement(target_id, callers.read_body(environ))
    outcome = announce(request, clock.monotonic_ms() + WORKER_WAIT_MS)
    reply = answers.reply_for_outcome(outcome, is_change=True)
    if reply.status != 200:
        return reply
    # The platform's field is named a URL, but holds an address, host:port.
    return reply._replace(body=wire.encode({"heartbeat_url": own_address}))


def _answer(environ, clock, leader_calls):
    method, path = environ["REQUEST_METHOD"], environ.get("PATH_INFO", "")

    def call(request, wait_ms, is_change=True):
        outcome = leader_calls.call(request, clock.monotonic_ms() + wait_ms)
        return answers.reply_for_outcome(outcome, is_change)

    if path.startswith(TARGET_PREFIX) and method == "DELETE":
        return call(cell.WithdrawTarget(path[len(TARGET_PREFIX) :]), WORKER_WAIT_MS)
    if path == CONFIG_PATH and method == "PUT":
        config = wire.configuration(callers.read_body(environ))
        return call(cell.PutConfig(config), OPERATOR_WAIT_MS)
    if path == CONFIG_PATH and method == "GET":
        return call(cell.ReadConfig(), OPERATOR_WAIT_MS, is_change=False)
    return answers.Reply(404)
