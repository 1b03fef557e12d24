"""The listener for workers and operators, in the platform's protocol.

Every controller accepts these calls and forwards them to the leader. A worker's answer
holds the leader's own address, for its next heartbeats.
"""

from alderreach.core.generated import cell
from alderreach.platform import answers, callers, wire
from alderreach.utils import http_server

TARGET_PREFIX = "/-/instances/"
CONFIG_PATH = "/-/config"
CONTROL_THREADS = 24
# Workers and operators wait 1 s for an answer.
WORKER_WAIT_MS = 900
OPERATOR_WAIT_MS = 950


def serve(context, leader_calls):
    """Open the listener; the context's stack closes it."""
    limits = context.settings.limits
    server = http_server.HttpServer(
        context.settings.cell.control,
        _application(context.clock, leader_calls),
        http_server.HttpLimits(
            CONTROL_THREADS,
            limits.header_bytes,
            limits.body_bytes,
            limits.caller_idle_ms,
        ),
        callers.refuse,
    )
    context.stack.callback(server.close)


def _application(clock, leader_calls):
    def application(environ, start_response):
        try:
            reply = _answer(environ, clock, leader_calls)
        except wire.MalformedError as error:
            reply = answers.Reply(400, wire.encode({"error": str(error)}))
        return answers.respond(reply, start_response)

    return application


def _answer(environ, clock, leader_calls):
    method, path = environ["REQUEST_METHOD"], environ.get("PATH_INFO", "")

    def call(request, wait_ms, is_change=True):
        outcome = leader_calls.call(request, clock.monotonic_ms() + wait_ms)
        return outcome, answers.reply_for_outcome(outcome, is_change)

    if path.startswith(TARGET_PREFIX):
        target_id = path[len(TARGET_PREFIX) :]
        if method == "PUT":
            request = wire.announcement(target_id, callers.read_body(environ))
            outcome, reply = call(request, WORKER_WAIT_MS)
            return _with_leader_address(outcome, reply)
        if method == "DELETE":
            return call(cell.WithdrawTarget(target_id), WORKER_WAIT_MS)[1]
    elif path == CONFIG_PATH and method == "PUT":
        config = wire.configuration(callers.read_body(environ))
        return call(cell.PutConfig(config), OPERATOR_WAIT_MS)[1]
    elif path == CONFIG_PATH and method == "GET":
        return call(cell.ReadConfig(), OPERATOR_WAIT_MS, is_change=False)[1]
    return answers.Reply(404)


def _with_leader_address(outcome, reply):
    """Add the leader's address to the reply to a worker, if the leader answered."""
    if reply.status != 200 or not outcome.answer.text:
        return reply
    # The platform's field is named a URL, but holds an address, host:port.
    return reply._replace(body=wire.encode({"heartbeat_url": outcome.answer.text}))
