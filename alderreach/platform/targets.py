"""Calls to workers and to the permission service, over HTTP.

Every call has its own timeout, since a connection may stall without being reset. The
result of a failed call distinguishes two cases: if the request was not sent, it had no
effect; if it was sent, it may have had one.
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
INCARNATION_HEADER = "Expect-Instance"

# A worker answers an order within milliseconds. After this timeout the order is sent
# again, which is harmless.
ORDER_TIMEOUT_S = 0.5
CONNECT_TIMEOUT_S = 0.5
# Added to the time that a worker may hold a poll until a run ends.
POLL_MARGIN_S = 0.6
# A decision on the longest list takes about 1 s, and earlier calls are answered first.
ADVISE_TIMEOUT_S = 3.0
JSON_TYPE = "application/json"


def open_session(address):
    """Return a session for sequential calls to a worker over one kept connection."""
    return http_client.Client(address, CONNECT_TIMEOUT_S)


def _post(session, record, path, body, timeout_s):
    """Send one request to the incarnation of a worker that a record names."""
    headers = {"Content-Type": JSON_TYPE, INCARNATION_HEADER: record.target_id}
    return session.post(path, body, headers, timeout_s)


ORDERS = {
    orders.Start: (START_PATH, wire.start_body),
    orders.Stop: (STOP_PATH, wire.stop_body),
    orders.Pace: (PACE_PATH, wire.pace_body),
}


async def send_order(session, record, order):
    """Send one order; returns an ``orders.OrderResult``."""
    path, encode = ORDERS[type(order)]
    try:
        answer = await _post(session, record, path, encode(order), ORDER_TIMEOUT_S)
        return wire.order_result(answer.status, answer.body)
    except http_client.NotSentError as error:
        return orders.OrderResult(_not_connected(error), detail=str(error))
    except (http_client.UnansweredError, wire.MalformedError) as error:
        return _unanswered(orders.OrderResult, error)


async def send_poll(session, record, poll):
    """Poll a worker; returns an ``orders.PollResult``."""
    timeout_s = poll.wait_ms / 1000 + POLL_MARGIN_S
    body = wire.poll_body(poll)
    try:
        answer = await _post(session, record, POLL_PATH, body, timeout_s)
        return wire.poll_result(answer.status, answer.body)
    except http_client.NotSentError as error:
        return orders.PollResult(_not_connected(error), detail=str(error))
    except (http_client.UnansweredError, wire.MalformedError) as error:
        return _unanswered(orders.PollResult, error)


def _unanswered(result_type, error):
    is_connection_lost = isinstance(error, http_client.ConnectionLostError)
    return result_type(
        orders.UNKNOWN, detail=str(error), lost_connection=is_connection_lost
    )


def _not_connected(error):
    is_refused = isinstance(error, http_client.RefusedError)
    return orders.CONNECTION_REFUSED if is_refused else orders.UNREACHABLE


def worker_calls():
    """Return the calls to workers that a controller's links make."""
    return target_link.Calls(open_session, send_order, send_poll)


def permission_asker(address):
    """Return a function that queries the permission service at ``address``.

    ``ask(step, targets)`` returns a list of ``cell.Ticket``, or None if there was no
    answer. Without an address there is never an answer.

    Each query has a connection of its own. A kept one may have become silent, which
    only the timeout of a query would show, and that has to be long. Queries are few.
    """
    if not address:
        return lambda _step, _targets: None
    host, _, port = address.rpartition(":")
    timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=ADVISE_TIMEOUT_S)

    def ask(step, targets):
        body = wire.advise_body(step, targets)
        headers = {"Content-Type": JSON_TYPE, "Connection": "close"}
        try:
            with urllib3.HTTPConnectionPool(host, int(port), timeout) as pool:
                response = pool.urlopen(
                    "POST", ADVISE_PATH, body, headers, retries=False
                )
            return wire.tickets(response.data) if response.status == 200 else None
        except (urllib3.exceptions.HTTPError, OSError, wire.MalformedError):
            return None

    return ask
