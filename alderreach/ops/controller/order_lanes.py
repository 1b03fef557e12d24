"""Decides which order to a worker is sent next, and on which of its connections.

Starts and paces are sent one at a time on the first lane, since the blame for a crash
depends on which start was the last to reach the worker. A stop must not wait for other
runs' orders that hang: it goes before them, and on a further lane if every open one is
slow to be answered. It may overtake the start of its own run, which a worker rejects
afterwards. A lane is a connection, so none is opened while the worker answers.
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
        self._open_count = 1

    def add(self, order):
        """Add an order; it replaces those that wait and that it makes obsolete.

        A Stop replaces the starts and paces of its run, and a Pace the earlier ones. A
        start would otherwise be sent seconds after its run was given up, and a pace
        seconds after a newer one was decided. A dropped order gets no result, nor does
        a second copy of a stop.
        """
        if isinstance(order, orders.Stop):
            if order not in self._stops and order not in self._in_progress.values():
                self.withdraw(order.task, order.run)
                self._stops.append(order)
            return
        if isinstance(order, orders.Pace):
            self._drop(lambda each: _is_pace_of_same_run(each, order))
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

    def finish(self, lane):
        """Record that the order in progress on a lane has its result."""
        del self._in_progress[lane]
        self._slow.discard(lane)
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

    def _free_lane(self, reserve):
        """The lane for the next order, or None; opens one for a stop if needed."""
        if 0 not in self._in_progress:
            return 0
        if not self._stops:
            return None
        lanes = range(1, self._open_count)
        free = next((lane for lane in lanes if lane not in self._in_progress), None)
        if free is not None:
            return free if reserve() else None
        is_slow = len(self._slow) == self._open_count < MAX_LANES
        if not is_slow or not reserve():
            return None
        self._open_count += 1
        return self._open_count - 1


def _is_pace_of_same_run(waiting, pace):
    is_pace = isinstance(waiting, orders.Pace)
    return is_pace and (waiting.task, waiting.run) == (pace.task, pace.run)
