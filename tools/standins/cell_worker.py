"""A worker that keeps its guarantees to the leader, and checks the leader's to it.

It has its own clock, refuses lower fences and older runs, kills all runs when its lease
lapses, and lists ends until they are acknowledged. Its capacity may change at any time,
and a stop takes ``stop_ms``. A test may delay calls, so that they are carried out late,
and drop answers.
"""

import itertools
import typing

from alderreach.core import orders

MAX_LEASE_MS = 6000
MAX_LISTED_ENDS = 500


class Running:
    """A run in progress."""

    def __init__(self, order, now_ms, script):
        self.order = order
        self.started_ms = now_ms
        self.script = script
        self.share = 100
        self.stopped_at_ms = None

    def percent(self, now_ms):
        """The progress of the run, in percent."""
        done_ms = now_ms - self.started_ms
        if self.script.is_stalled:
            return 0
        return min(100, 100 * done_ms // self.script.work_ms)


class PromiseViolation(AssertionError):
    """A worker has observed a violated guarantee."""


class Script(typing.NamedTuple):
    """The behaviour of a worker's tasks; ``load`` is the load listed for each."""

    work_ms: int = 500
    how: str = "done"
    is_stalled: bool = False
    load: float = 0.0


class Worker:
    """One machine; ``restart`` begins a new incarnation under the same id."""

    def __init__(self, world, name, capacity, clock_rate=1.0):
        self.world = world
        self.name = name
        # The capacities that it has had, each with the time since when.
        self._capacities = [(world.time.now_ms, capacity)]
        self.stop_ms = 0
        self.rate = clock_rate
        self.permits = lambda order: True
        self.script = Script()
        self.incarnation = 0
        self.state = "ready"
        self.address = f"{name}:1"
        self.is_down = False
        self.down_since_ms = 0
        self.is_late = False
        """Whether it carries out the current order late; for the world's checks."""
        self.restart()

    @property
    def capacity(self):
        """The capacity that it has now."""
        return self._capacities[-1][1]

    @capacity.setter
    def capacity(self, capacity):
        self._capacities.append((self.world.time.now_ms, capacity))

    def largest_cpu_millis(self, duration_ms):
        """The most processor capacity that it had within the last ``duration_ms``."""
        since_ms = self.world.time.now_ms - duration_ms
        replaced = [
            capacity.cpu_millis
            for (_began_ms, capacity), (end_ms, _next) in itertools.pairwise(
                self._capacities
            )
            if end_ms > since_ms
        ]
        return max([self.capacity.cpu_millis, *replaced])

    def restart(self):
        """Start without state: no runs, no fence, and a clock that begins at zero."""
        self.incarnation += 1
        self.is_down = False
        self.born_ms = 1_700_000_000_000 + self.world.time.now_ms
        self._started_ms = self.world.time.now_ms
        self.fence = 0
        self.lease_until_ms = 0
        self.running = {}
        self.highest_closed_run = {}
        self.ends = []
        self.ignored_ends = set()
        self.next_end = 1
        self.sequence = 0

    def crash(self):
        """Go down and lose all runs."""
        self.is_down = True
        self.running = {}
        self.down_since_ms = self.world.time.now_ms

    def clock_ms(self):
        """This machine's own monotonic clock."""
        return int((self.world.time.now_ms - self._started_ms) * self.rate)

    def step(self):
        """Process the elapsed time: tasks end, and the lease may lapse."""
        if self.is_down:
            return
        now_ms = self.clock_ms()
        if now_ms >= self.lease_until_ms:
            # The leader may have started the tasks of unacknowledged ends elsewhere, so
            # acknowledgements of these ends don't count.
            self.ignored_ends |= {end.number for end in self.ends}
            for task in list(self.running):
                self.end(task, "lapsed")
        for task, run in list(self.running.items()):
            if run.stopped_at_ms is not None:
                if now_ms >= run.stopped_at_ms:
                    self.end(task, "stopped")
                continue
            # The end of one member of a gang may have ended others on this worker.
            is_at_work = run.percent(now_ms) < 100 or not self.world.may_end(task)
            if task in self.running and not is_at_work:
                self.end(task, run.script.how)

    def carry_out(self, order):
        """Carry out an order and return its result."""
        if order.fence < self.fence:
            return self._result(orders.FENCED)
        self.fence = order.fence
        if isinstance(order, orders.Start):
            return self._start(order)
        if isinstance(order, orders.Stop):
            return self._stop(order)
        if isinstance(order, orders.Poll):
            return self._poll(order)
        return self._pace(order)

    def _start(self, order):
        present = self.running.get(order.task)
        if present is not None and present.order.run == order.run:
            self._extend(order.lease_until_ms)
            return self._result(orders.OK)
        if order.run <= self.highest_closed_run.get(order.task, 0):
            return self._result(orders.STALE_RUN)
        if order.lease_until_ms <= self.clock_ms():
            return self._result(orders.LEASE_EXPIRED)
        if not self.permits(order):
            return self._result(orders.NO_TICKET)
        self._extend(order.lease_until_ms)
        self.world.check_start(self, order)
        self.running[order.task] = Running(order, self.clock_ms(), self.script)
        return self._result(orders.OK)

    def _stop(self, order):
        run = self.running.get(order.task)
        if run is not None and run.order.run <= order.run:
            if not self.stop_ms:
                self.end(order.task, "stopped")
            elif run.stopped_at_ms is None:
                run.stopped_at_ms = self.clock_ms() + self.stop_ms
        known = self.highest_closed_run.get(order.task, 0)
        self.highest_closed_run[order.task] = max(known, order.run)
        return self._result(orders.OK)

    def _pace(self, order):
        run = self.running.get(order.task)
        if run is not None and run.order.run == order.run:
            run.share = order.percent
        return self._result(orders.OK)

    def _poll(self, poll):
        if poll.lease_until_ms is not None:
            self._extend(poll.lease_until_ms)
        for end in self.ends:
            if end.number <= poll.cursor and end.number not in self.ignored_ends:
                self.world.on_end_acknowledged(end)
        self.ends = [end for end in self.ends if end.number > poll.cursor]
        running = [
            orders.ListedRun(
                task,
                run.order.run,
                "",
                run.percent(self.clock_ms()),
                self.script.load,
            )
            for task, run in self.running.items()
        ]
        return orders.PollResult(
            orders.OK,
            self.clock_ms(),
            self.born_ms,
            running,
            self.ends[:MAX_LISTED_ENDS],
            has_more_ends=len(self.ends) > MAX_LISTED_ENDS,
        )

    def _extend(self, until_ms):
        max_until_ms = self.clock_ms() + MAX_LEASE_MS
        self.lease_until_ms = max(self.lease_until_ms, min(until_ms, max_until_ms))

    def end(self, task, how):
        """End a run; the end is listed until it is acknowledged."""
        run = self.running.pop(task).order.run
        self.highest_closed_run[task] = max(self.highest_closed_run.get(task, 0), run)
        self.ends.append(orders.ListedEnd(self.next_end, task, run, how, ""))
        self.next_end += 1
        self.world.on_run_ended(self.ends[-1])

    def _result(self, outcome):
        return orders.OrderResult(outcome, self.clock_ms())
