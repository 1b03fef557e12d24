"""Calls to several workers on one event loop."""

import asyncio
import queue
import time
import types

import pytest

from alderreach.core import orders
from alderreach.ops.controller import order_lanes, target_link, worker_connections
from alderreach.utils import event_loop

PATIENCE_S = 10


class Session:
    def __init__(self, closed):
        self._closed = closed

    def close(self):
        self._closed.put(True)


class Links:
    """Links to workers whose calls hang until the test lets them end."""

    def __init__(self, connection_limit=10):
        self.loop = event_loop.EventLoop("test calls")
        self.messages = queue.Queue()
        self.opened = queue.Queue()
        self.closed = queue.Queue()
        self.begun = queue.Queue()
        self.posted = queue.Queue()
        self.hanging = set()
        self.broken = set()
        calls = target_link.Calls(self._open_session, self._call, self._call)
        self.unanswered = []
        # How many calls without an answer there are; the others are answered.
        self.lost_copies = None
        self.connections = worker_connections.WorkerConnections(connection_limit)
        self.link = lambda name: target_link.TargetLink(
            types.SimpleNamespace(target_id=name, address="127.0.0.1:1"),
            7,
            calls,
            self.messages.put,
            self.loop.post,
            self.connections,
        )

    def _open_session(self, _address):
        self.opened.put(True)
        return Session(self.closed)

    async def _call(self, _session, record, item):
        self.begun.put(item)
        if record.target_id in self.broken:
            raise RuntimeError("broken call")
        while record.target_id in self.hanging:
            await asyncio.sleep(0.001)
        is_lost = item in self.unanswered and self.lost_copies != 0
        if is_lost and self.lost_copies is not None:
            self.lost_copies -= 1
        outcome = orders.UNKNOWN if is_lost else orders.OK
        return orders.OrderResult(outcome, detail=f"{item} done")

    def next_message(self):
        return self.messages.get(timeout=PATIENCE_S)


@pytest.fixture
def links():
    links = Links()
    yield links
    links.loop.close()


def test_a_worker_that_hangs_does_not_delay_other_workers(links):
    """Guards against calls to a silent worker that delay calls to healthy workers."""
    links.hanging.add("w1")
    silent, healthy = links.link("w1"), links.link("w2")
    silent.poll("poll")
    silent.order("start")
    healthy.order("start")
    assert links.next_message().target_id == "w2"
    links.hanging.clear()
    assert {links.next_message().target_id, links.next_message().target_id} == {"w1"}


def test_orders_to_one_worker_are_sent_in_sequence(links):
    link = links.link("w1")
    for number in range(20):
        link.order(number)
    answered = [links.next_message() for _ in range(20)]
    assert [message.order for message in answered] == list(range(20))
    done = orders.OrderResult(orders.OK, detail="0 done")
    assert answered[0] == target_link.OrderAnswered(7, "w1", 0, done)


def test_a_stop_replaces_a_start_of_its_run_that_waits(links):
    """Guards against a start that is sent seconds after its run was given up, as its
    worker leaves the orders before it without an answer.
    """
    links.hanging.add("w1")
    link = links.link("w1")
    other = orders.Stop("j1.0.0.0", 1, 7)
    start = orders.Start("j1.0.0.1", 2, "run", 1000, 7, "", "")
    stop = orders.Stop("j1.0.0.1", 2, 7)
    newer = start._replace(run=3)
    for order in (other, start, newer, stop):
        link.order(order)
    links.loop.post(lambda: links.posted.put(True))
    links.posted.get(timeout=PATIENCE_S)
    links.hanging.clear()
    assert {links.next_message().order for _ in range(3)} == {other, stop, newer}
    assert [links.begun.get(timeout=PATIENCE_S) for _ in range(3)] == [
        other,
        stop,
        newer,
    ]
    assert links.begun.empty()


def test_a_withdrawn_start_is_not_sent(links):
    """Guards against a start that is sent seconds after its run has ended."""
    links.hanging.add("w1")
    link = links.link("w1")
    first = orders.Start("j1.0.0.0", 1, "run", 1000, 7, "", "")
    second, third = first._replace(run=2), first._replace(run=3)
    for order in (first, second, third):
        link.order(order)
    link.withdraw(second.task, second.run)
    links.loop.post(lambda: links.posted.put(True))
    links.posted.get(timeout=PATIENCE_S)
    links.hanging.clear()
    assert [links.next_message().order for _ in range(2)] == [first, third]


def test_a_stop_is_sent_beside_orders_that_hang(links):
    """Guards against a run that goes on for seconds after its cancellation, as its stop
    waits for other runs' orders to a worker that leaves them without an answer.
    """
    links.hanging.add("w1")
    link = links.link("w1")
    start = orders.Start("j1.0.0.0", 1, "run", 1000, 7, "", "")
    stops = [orders.Stop(f"j2.0.0.{index}", 1, 7) for index in range(3)]
    for order in (start, start._replace(run=2), *stops):
        link.order(order)
    begun = [links.begun.get(timeout=PATIENCE_S) for _ in range(4)]
    assert begun == [start, *stops]
    assert links.opened.qsize() == 4
    link.close()
    links.hanging.clear()
    for _ in range(4):
        links.next_message()
        assert links.closed.get(timeout=PATIENCE_S)
    assert links.messages.empty()


def test_orders_to_a_worker_that_answers_need_one_connection(links):
    link = links.link("w1")
    for index in range(20):
        link.order(orders.Stop(f"j1.0.0.{index}", 1, 7))
    for _ in range(20):
        links.next_message()
    assert links.opened.qsize() == 1


def test_a_call_that_fails_unexpectedly_is_reported_as_unanswered(links):
    """Guards against a run that is never stopped, and a worker that is never polled
    again, as the leader waits for a result that does not come.
    """
    links.broken.add("w1")
    link = links.link("w1")
    stop = orders.Stop("j1.0.0.0", 1, 7)
    poll = orders.Poll(7, 0, None, 0)
    link.order(stop)
    link.poll(poll)
    messages = {
        type(each): each for each in (links.next_message(), links.next_message())
    }
    failed_order = messages[target_link.OrderAnswered]
    failed_poll = messages[target_link.PollAnswered]
    assert failed_order[2:] == (stop, orders.OrderResult(orders.UNKNOWN))
    assert failed_poll[2:] == (poll, orders.PollResult(orders.UNKNOWN))


def test_a_link_tells_how_many_orders_are_before_one(links):
    """Guards against a report that takes an order on its way for a lost one."""
    links.hanging.add("w1")
    link = links.link("w1")
    first, second, third = (orders.Stop(f"j1.0.0.{n}", 1, 7) for n in range(3))
    for order in (first, second):
        link.order(order)
    assert links.begun.get(timeout=PATIENCE_S) == first
    links.loop.post(lambda: links.posted.put(True))
    links.posted.get(timeout=PATIENCE_S)
    before = [link.orders_before(order) for order in (first, second, third)]
    assert before == [0, 1, None]
    links.hanging.clear()
    assert [links.next_message().order for _ in range(2)] == [first, second]
    while link.orders_before(second) is not None:
        time.sleep(0.001)


def test_starts_that_wait_behind_an_order_without_an_answer_are_not_sent(links):
    """Guards against a task that runs on two workers at once: a start that waited
    reaches the next incarnation of its worker, and the lease in it begins only there.
    """
    links.hanging.add("w1")
    link = links.link("w1")
    starts = [orders.Start("j1.0.0.0", n, "run", 1000, 7, "", "") for n in (1, 2)]
    stops = [orders.Stop("j1.0.0.1", n, 7) for n in (1, 2)]
    links.unanswered = [stops[0]]
    for order in (stops[0], starts[0], stops[1], starts[1]):
        link.order(order)
    links.loop.post(lambda: links.posted.put(True))
    links.posted.get(timeout=PATIENCE_S)
    links.hanging.clear()
    answered = [links.next_message() for _ in range(4)]
    outcomes = [(message.order, message.result.outcome) for message in answered]
    assert outcomes == [
        (stops[0], orders.UNKNOWN),
        (starts[0], orders.NOT_SENT),
        (starts[1], orders.NOT_SENT),
        (stops[1], orders.OK),
    ]
    assert list(links.begun.queue) == stops


def test_starts_behind_a_call_that_fails_unexpectedly_are_not_sent(links):
    """Guards against a start that waited and reaches its worker's next incarnation."""
    links.broken.add("w1")
    link = links.link("w1")
    starts = [orders.Start("j1.0.0.0", n, "run", 1000, 7, "", "") for n in (1, 2)]
    links.loop.post(lambda: [link.order(start) for start in starts])
    answered = [links.next_message() for _ in range(2)]
    outcomes = [(message.order, message.result.outcome) for message in answered]
    assert outcomes == [(starts[0], orders.UNKNOWN), (starts[1], orders.NOT_SENT)]
    assert list(links.begun.queue) == starts[:1]


def test_stops_that_hang_leave_connections_for_the_polls_of_other_workers(links):
    """Guards against leases that lapse on healthy workers, as the stops to a few that
    hang take all connections and polls wait for one.
    """
    links.hanging |= {"w1", "w2"}
    silent = [links.link(name) for name in sorted(links.hanging)]
    for link in silent:
        for index in range(order_lanes.MAX_LANES):
            link.order(orders.Stop(f"j1.0.0.{index}", 1, 7))
    while not all(is_each_order_slow(links, link) for link in silent):
        time.sleep(0.001)
    assert links.begun.qsize() > len(silent)
    links.link("w3").poll("poll")
    assert links.next_message().target_id == "w3"


def is_each_order_slow(links, link):
    """Whether a link opens no further lane for the stops that wait, if there is one."""
    lanes = link._orders._lanes

    def check():
        links.posted.put(bool(lanes._slow) and lanes._slow == set(lanes._in_progress))

    links.loop.post(check)
    return links.posted.get(timeout=PATIENCE_S)


def test_the_first_answer_to_any_copy_of_a_call_counts(links):
    """Guards against a start that waits for a timeout each time a call is lost."""
    links.lost_copies, links.unanswered = 2, ["start"]
    link = links.link("w1")
    link.set_copies(3)
    link.order("start")
    message = links.next_message()
    assert (message.order, message.result.outcome) == ("start", orders.OK)
    assert message.result.copies == 3
    assert links.begun.qsize() == 3


def test_copies_without_an_answer_count_as_one_call(links):
    """Guards against a start that counts as lost although a copy may be carried out."""
    links.unanswered = ["start"]
    link = links.link("w1")
    link.set_copies(3)
    link.order("start")
    message = links.next_message()
    assert message.result.outcome == orders.UNKNOWN
    assert message.result.copies == 3
    assert links.messages.empty()


def test_a_closed_link_closes_the_connections_of_copies(links):
    """Guards against connections that stay open after their link is closed."""
    link = links.link("w1")
    link.set_copies(3)
    link.order("start")
    links.next_message()
    link.close()
    for _session in range(3):
        assert links.closed.get(timeout=PATIENCE_S)


def test_a_poll_supersedes_one_in_progress(links):
    """Guards against a worker that is not polled until a lost poll has timed out."""
    links.hanging.add("w1")
    link = links.link("w1")
    link.poll("held")
    assert links.begun.get(timeout=PATIENCE_S) == "held"
    link.poll("newer")
    assert links.begun.get(timeout=PATIENCE_S) == "newer"
    links.hanging.clear()
    assert {links.next_message().poll for _ in range(2)} == {"held", "newer"}


def test_an_overtaken_order_returns_no_starts_after_its_timeout(links):
    """Guards against starts that are placed again and again, and never sent."""
    links.hanging.add("w1")
    link = links.link("w1")
    starts = [orders.Start("j1.0.0.0", n, "run", 1000, 7, "", "") for n in (1, 2)]
    links.unanswered = starts[:1]
    for start in starts:
        link.order(start)
    while not link.slow_orders():
        time.sleep(0.001)
    link.overtake(starts[0])
    assert [links.begun.get(timeout=PATIENCE_S) for _ in range(2)] == starts
    links.hanging.clear()
    outcomes = {links.next_message()[2:] for _ in range(2)}
    assert {(order, result.outcome) for order, result in outcomes} == {
        (starts[0], orders.OVERTAKEN),
        (starts[1], orders.OK),
    }


def test_a_closed_link_drops_queued_calls_and_closes_connections(links):
    links.hanging.add("w1")
    link = links.link("w1")
    link.order("first")
    link.order("second")
    link.poll("poll")
    for _ in range(2):
        links.begun.get(timeout=PATIENCE_S)
    link.close()
    links.hanging.clear()
    results = {links.next_message().result.detail for _ in range(2)}
    assert results == {"first done", "poll done"}
    assert links.closed.get(timeout=PATIENCE_S) and links.closed.get(timeout=PATIENCE_S)
    assert links.messages.empty()


def test_a_link_that_is_replaced_returns_the_starts_that_wait(links):
    """Guards against blame for a crash that a task can't have caused: its start waited
    behind the culprit's, and was dropped with the link to the former incarnation.
    """
    links.hanging.add("w1")
    link = links.link("w1")
    starts = [orders.Start("j1.0.0.0", n, "run", 1000, 7, "", "") for n in (1, 2)]
    for start in starts:
        link.order(start)
    assert links.begun.get(timeout=PATIENCE_S) == starts[0]
    link.return_starts()
    link.close()
    returned = links.next_message()
    assert (returned.order, returned.result.outcome) == (starts[1], orders.NOT_SENT)
    links.hanging.clear()
    assert links.next_message().order == starts[0]
    assert links.closed.get(timeout=PATIENCE_S)
    assert links.begun.empty()


def test_a_closed_link_makes_no_call_that_waits_for_a_connection():
    """Guards against a poll that is sent to a worker's next incarnation: its cursor
    and its lease are those of the earlier one.
    """
    links = Links(connection_limit=1)
    links.hanging.add("w1")
    links.link("w1").poll("poll of w1")
    assert links.begun.get(timeout=PATIENCE_S) == "poll of w1"
    waiting = links.link("w2")
    waiting.poll("poll of w2")
    while not links.connections._waiters:
        time.sleep(0.001)
    waiting.close()
    links.loop.post(lambda: links.posted.put(True))
    links.posted.get(timeout=PATIENCE_S)
    links.hanging.clear()
    assert links.next_message().poll == "poll of w1"
    assert links.closed.get(timeout=PATIENCE_S)
    links.loop.close()
    assert links.begun.empty()
