"""Decides which order to a worker is sent next, and on which of its connections.

Starts and paces are sent one at a time, since the blame for a crash depends on which
start was the last to reach the worker. An order that is slow to be answered holds up
those behind it until it is *overtaken*: the worker has answered a call that was sent
later, so it runs, and has not restarted since. Then they go on a further lane.

A stop must not wait for other runs' orders that hang: it goes before them, and on a
further lane if every open one is slow to be answered. It may overtake the start of its
own run, which a worker rejects afterwards. A lane is a connection, so none is opened
while the worker answers.
"""

import collections

from alderreach.core import orders

# Orders to one worker that may hang at the same time.
MAX_LANES = 8
# An order without an answer for this time holds up no stop. Workers answer within
# milliseconds.
SLOW_AFTER_MS = 100


class OrderLanes:
    """The orders to one worker that wait or are in progress.

    The owner sends what ``take`` returns, calls ``mark_slow`` if an order has been in
    progress for ``SLOW_AFTER_MS``, and ``finish`` after its result.

    >>> lanes = OrderLanes()
    >>> lanes.add(orders.Pace("j1.0.0.0", 1, 50, 7))
    >>> lanes.add(orders.Stop("j1.0.0.1", 1, 7))
    >>> [(lane, order.task) for lane, order in lanes.take()]
    [(0, 'j1.0.0.1')]
    """

    def __init__(self):
        self._stops = collections.deque()
        self._others = collections.deque()
        # Orders in progress by lane, and those lanes whose order is slow.
        self._in_progress = {}
        self._slow = set()
        # Lanes whose order is slow and was overtaken, or superseded by another one.
        self._overtaken = set()
        self._superseded = set()
        self._open_count = 1

    def add(self, order):
        """Add an order; it replaces those that wait and that it makes obsolete.

        A Stop replaces the starts and paces of its run, and a Pace the earlier ones. A
        start would otherwise be sent seconds after its run was given up, and a pace
        seconds after a newer one was decided. A dropped order gets no result, nor does
        a second copy of a stop, unless the first one was overtaken. A repeated start
        goes before those that were not sent yet.
        """
        if isinstance(order, orders.Stop):
            if order not in self._stops and order not in self._orders_not_overtaken():
                self.withdraw(order.task, order.run)
                self._stops.append(order)
            return
        if isinstance(order, orders.Pace):
            self._drop(lambda each: _is_pace_of_same_run(each, order))
        if isinstance(order, orders.Start) and self._is_repeated(order):
            self._others.appendleft(order)
        else:
            self._others.append(order)

    def withdraw(self, task, run):
        """Drop the starts and paces of a run that wait; they get no result."""
        self._drop(lambda each: (each.task, each.run) == (task, run))

    def take(self, reserve=lambda: True):
        """Return the orders to send now, as pairs of a lane's number and an order.

        ``reserve()`` is called for each order on a further lane; if it returns False,
        that order waits for the first lane.
        """
        taken = []
        while self._stops or self._others:
            lane = self._free_lane(reserve)
            if lane is None:
                break
            order = (self._stops or self._others).popleft()
            self._in_progress[lane] = order
            taken.append((lane, order))
        return taken

    def take_starts(self):
        """Remove the starts that wait, after an order without an answer; returns them.

        The worker may have restarted unnoticed. By the clock of its next incarnation a
        start that waited would grant a longer lease than its leader counts.
        """
        starts = [order for order in self._others if isinstance(order, orders.Start)]
        kept = [order for order in self._others if not isinstance(order, orders.Start)]
        self._others = collections.deque(kept)
        return starts

    def mark_slow(self, lane):
        """Record that the order in progress on a lane is slow to be answered."""
        self._slow.add(lane)

    def slow_orders(self):
        """Return the orders that are slow to be answered and were not overtaken.

        Callable from any thread, as ``count_before``.
        """
        if not self._slow:
            return []
        found = map(self._in_progress.get, self._slow - self._overtaken)
        return [order for order in found if order is not None]

    def overtake(self, order):
        """Record that the worker has answered a call sent after this slow order."""
        for lane in self._slow:
            if self._in_progress[lane] is order:
                self._overtaken.add(lane)

    def supersede(self):
        """Let the next order go beside all that are in progress."""
        self._superseded = set(self._in_progress)

    def is_overtaken(self, lane):
        """Whether the order in progress on a lane was overtaken."""
        return lane in self._overtaken

    def finish(self, lane):
        """Record that the order in progress on a lane has its result."""
        del self._in_progress[lane]
        self._slow.discard(lane)
        self._overtaken.discard(lane)
        self._superseded.discard(lane)
        if not self._in_progress:
            self._open_count = 1

    def waiting(self):
        """Return the orders that wait, in the order in which they are sent."""
        return [*self._stops, *self._others]

    def count_before(self, order):
        """How many orders are before one: 0 if it is in progress, None if not here.

        Callable from any thread; the copies are made without releasing the
        interpreter's lock.
        """
        if order in list(self._in_progress.values()):
            return 0
        waiting = self.waiting()
        return waiting.index(order) + 1 if order in waiting else None

    def clear(self):
        """Drop the orders that wait."""
        self._stops.clear()
        self._others.clear()

    def _drop(self, is_obsolete):
        kept = [each for each in self._others if not is_obsolete(each)]
        self._others = collections.deque(kept)

    def _orders_not_overtaken(self):
        return [
            order
            for lane, order in self._in_progress.items()
            if lane not in self._overtaken
        ]

    def _is_repeated(self, start):
        """Whether another copy of a start is in progress."""
        return any(
            isinstance(order, orders.Start)
            and (order.task, order.run) == (start.task, start.run)
            for order in self._in_progress.values()
        )

    def _free_lane(self, reserve):
        """The lane for the next order, or None; opens one if needed."""
        if 0 not in self._in_progress:
            return 0
        passed = self._overtaken | self._superseded
        if not self._stops and len(passed) < len(self._in_progress):
            return None
        lanes = range(1, self._open_count)
        free = next((lane for lane in lanes if lane not in self._in_progress), None)
        if free is not None:
            return free if reserve() else None
        is_slow = len(self._slow | passed) == self._open_count
        if not is_slow or self._open_count == MAX_LANES or not reserve():
            return None
        self._open_count += 1
        return self._open_count - 1


def _is_pace_of_same_run(waiting, pace):
    is_pace = isinstance(waiting, orders.Pace)
    return is_pace and (waiting.task, waiting.run) == (pace.task, pace.run)
