"""Calls to workers and to the permission service, over HTTP.

Every call has a time limit of its own, since a connection may go silent without being
reset. What is known of a call that failed is told apart: before the request was sent
nothing can have happened, afterwards anything may have.
"""

import urllib3

from alderreach.core import orders
from alderreach.ops.controller import target_link
from alderreach.platform import wire
from alderreach.utils import http_client

START_PATH = "/-/run-start"
STOP_PATH = "/-/run-stop"
POLL_PATH = "/-/hold"
PACE_PATH = "/-/pace"
ADVISE_PATH = "/-/advise"
LIFE_HEADER = "Expect-Instance"

# A worker answers an order within milliseconds; one that takes longer than this is
# asked again, which is harmless.
ORDER_TIMEOUT_S = 0.5
CONNECT_TIMEOUT_S = 0.5
# On top of the time a poll may wait for an end.
POLL_SLACK_S = 0.6
# A decision with the longest list takes about a second; calls before it are waited for.
ADVISE_TIMEOUT_S = 3.0
MIME = "application/json"


def open_session(address):
    """One kept connection to a worker, for calls in turn."""
    return http_client.Client(address, CONNECT_TIMEOUT_S)


def _post(session, record, path, body, timeout_s):
    """Send one request to the life of a worker that a record names."""
    headers = {"Content-Type": MIME, LIFE_HEADER: record.target_id}
    return session.post(path, body, headers, timeout_s)


ORDERS = {
    orders.Start: (START_PATH, wire.start_body),
    orders.Stop: (STOP_PATH, wire.stop_body),
    orders.Pace: (PACE_PATH, wire.pace_body),
}


async def send_order(session, record, order):
    """Carry out one order; returns an ``orders.OrderResult``."""
    path, encode = ORDERS[type(order)]
    try:
        answer = await _post(session, record, path, encode(order), ORDER_TIMEOUT_S)
        return wire.order_result(answer.status, answer.body)
    except http_client.NotSentError as error:
        return orders.OrderResult(_not_connected(error), detail=str(error))
    except (http_client.UnansweredError, wire.Malformed) as error:
        is_broken_off = isinstance(error, http_client.ConnectionLostError)
        return orders.OrderResult(
            orders.UNKNOWN, detail=str(error), lost_connection=is_broken_off
        )


async def send_poll(session, record, poll):
    """Poll a worker; returns an ``orders.PollResult``."""
    timeout_s = poll.wait_ms / 1000 + POLL_SLACK_S
    body = wire.poll_body(poll)
    try:
        answer = await _post(session, record, POLL_PATH, body, timeout_s)
        return wire.poll_result(answer.status, answer.body)
    except http_client.NotSentError as error:
        return orders.PollResult(_not_connected(error), detail=str(error))
    except (http_client.UnansweredError, wire.Malformed) as error:
        return orders.PollResult(orders.UNKNOWN, detail=str(error))


def _not_connected(error):
    is_refused = isinstance(error, http_client.RefusedError)
    return orders.CONNECTION_REFUSED if is_refused else orders.UNREACHABLE


def calls():
    """The calls to workers that a controller's links make."""
    return target_link.Calls(open_session, send_order, send_poll)


def permission_asker(address):
    """A function that asks the permission service at ``address``.

    ``ask(step, targets)`` returns a list of ``cell.Ticket``, or None if there was no
    answer.
    """
    if not address:
        return lambda _step, _targets: None
    host, _, port = address.rpartition(":")
    pool = urllib3.HTTPConnectionPool(host, int(port), maxsize=1, retries=False)
    timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=ADVISE_TIMEOUT_S)

    def ask(step, targets):
        body = wire.advise_body(step, targets)
        headers = {"Content-Type": MIME}
        try:
            response = pool.urlopen(
                "POST", ADVISE_PATH, body, headers, retries=False, timeout=timeout
            )
            return wire.tickets(response.data) if response.status == 200 else None
        except (urllib3.exceptions.HTTPError, OSError, wire.Malformed):
            return None

    return ask
