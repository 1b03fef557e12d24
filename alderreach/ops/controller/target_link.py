"""Calls to one worker: orders in lanes (``order_lanes``) and, concurrently, a poll.

After an order without an answer, starts that wait behind it are returned, not sent,
unless the order was overtaken.

Open connections may go silent without being closed, several of them at once. If each
call had to find that out by itself, an order would wait for one timeout after another.
After a call that was sent but not answered, the idle connections to that worker that
were last known to work before the call are therefore closed as well. So is that of a
poll in progress, which the worker may be holding: the leader polls again at once. An
order in progress keeps its connection: when it is lost, the order counts as one that
may have crashed the worker.

The calls to all workers share one event loop, so a worker that hangs delays no other
worker and an idle worker needs no thread. This module only makes calls and reports
their results; the leader decides what is sent and when.
"""

import functools
import typing

from alderreach.core import orders
from alderreach.ops.controller import call_queue


class Calls(typing.NamedTuple):
    """The functions that call a worker; provided by the protocol's implementation.

    ``order(session, record, order)`` returns an ``orders.OrderResult`` and
    ``poll(session, record, poll)`` an ``orders.PollResult``; both are coroutines. An
    exception counts as a call without an answer. ``open_session(address)`` opens a
    connection for one call after the other, an object with ``close()``.
    """

    open_session: typing.Callable
    order: typing.Callable
    poll: typing.Callable


class OrderAnswered(typing.NamedTuple):
    """The message to the leader's task with the result of an order."""

    epoch: int
    target_id: str
    order: typing.Any
    result: typing.Any


class PollAnswered(typing.NamedTuple):
    """The message to the leader's task with the result of a poll."""

    epoch: int
    target_id: str
    poll: typing.Any
    result: typing.Any


class TargetLink:
    """Calls of one leader to one worker; ``put`` receives their results as messages.

    ``post(act)`` calls ``act`` on the event loop, and ``connections`` are the
    ``WorkerConnections`` that all links share.
    """

    def __init__(self, record, epoch, calls, put, post, connections):
        self._post = post
        report = lambda message_type, item, result: put(
            message_type(epoch, record.target_id, item, result)
        )
        open_session = lambda: calls.open_session(record.address)
        order = lambda session, item: calls.order(session, record, item)
        poll = lambda session, item: calls.poll(session, record, item)
        self._orders = call_queue.CallQueue(
            open_session,
            connections,
            order,
            False,
            functools.partial(report, OrderAnswered),
            orders.OrderResult(orders.UNKNOWN),
            self._on_unanswered,
        )
        self._polls = call_queue.CallQueue(
            open_session,
            connections,
            poll,
            True,
            functools.partial(report, PollAnswered),
            orders.PollResult(orders.UNKNOWN),
            self._on_unanswered,
        )

    def order(self, order):
        """Queue a Start, Stop or Pace, of which a Stop waits for no other run's."""
        self._post(lambda: self._orders.add(order))

    def orders_before(self, order):
        """How many orders are before one on its way; None if it is not on its way.

        The one in progress has none before it. Callable from any thread; the answer may
        be outdated when it arrives.
        """
        return self._orders.items_before(order)

    def withdraw(self, task, run):
        """Drop the starts and paces of a run that wait to be sent."""
        self._post(lambda: self._orders.withdraw(task, run))

    def poll(self, poll):
        """Send a Poll, which supersedes one in progress."""
        self._post(lambda: self._polls.supersede(poll))

    def set_copies(self, copies):
        """Send each call in this many copies from now on."""
        self._orders.copies = self._polls.copies = copies

    def slow_orders(self):
        """Return the orders that are slow to be answered and were not overtaken.

        Callable from any thread; the answer may be outdated when it arrives.
        """
        return self._orders.slow_items()

    def overtake(self, order):
        """Record that the worker has answered a call sent after this slow order."""
        self._post(lambda: self._orders.overtake(order))

    def return_starts(self):
        """Report the starts that wait to be sent as not sent."""
        self._post(self._orders.return_starts)

    def close(self):
        """Drop the queued calls, and close after the calls in progress."""
        self._post(self._orders.close)
        self._post(self._polls.close)

    def _on_unanswered(self, sent_s):
        """Close connections after a call sent at ``sent_s`` that got no answer.

        A poll in progress may still be answered if a later call was.
        """
        latest_s = max(self._orders.answered_sent_s, self._polls.answered_sent_s)
        self._orders.close_unproven(sent_s)
        self._polls.close_unproven(sent_s, in_progress=latest_s < sent_s)
