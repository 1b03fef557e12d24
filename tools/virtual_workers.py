"""Simulated workers in virtual time: they carry out orders at once while reachable.

A worker kills all its runs when its lease lapses, as real workers do.
"""

from alderreach.core import cell_state, orders
from alderreach.ops.controller import target_link

# Time within which a worker kills a run that it has to stop, or saves it first.
STOP_MS = 60.0
MAX_LEASE_MS = 6000
# A call without an answer fails after this time; for a poll, its wait is added.
CALL_TIMEOUT_MS = 500.0


def task_key(task):
    """Parse the name of a task into its key."""
    job_id, *numbers = task.split(".")
    return cell_state.TaskKey(job_id, *map(int, numbers))


class _Running:
    """One run on a simulated worker."""

    def __init__(self, order, work_ms, how, now_ms):
        self.order = order
        self.work_ms = work_ms
        self.how = how
        self.began_ms = now_ms
        self.is_over = False

    def done_ms(self, now_ms):
        """How much of its work is done, in milliseconds."""
        return min(self.work_ms, max(0.0, now_ms - self.began_ms))


class Machine:
    """A worker that carries out orders at once, until it ends.

    Its tasks take ``slowness`` times as long as their work.
    """

    def __init__(self, world, record, slowness=1.0):
        self.world, self.record, self.slowness = world, record, slowness
        self.runs = {}
        self.ends = []
        self.next_end = 1
        self.highest_closed_run = {}
        self.pending_poll = None
        self.has_ended = False
        self.is_cut_off = False
        self.is_refusing = False
        self.fence = 0
        self.lease_until_ms = 0
        self._has_lease_timer = False

    def leave(self):
        """End with all runs; another incarnation answers at this address afterwards."""
        self.has_ended = True
        runs, self.runs = list(self.runs.values()), {}
        for run in runs:
            run.is_over = True
            self.world.on_run_ended(self, run, "gone")
        if self.pending_poll is not None:
            self._answer_poll(self.pending_poll)

    def crash(self):
        """End with all runs; calls to this address time out."""
        self.is_cut_off = True
        self.leave()

    def refuse(self):
        """End with all runs; connections to this address are refused."""
        self.is_refusing = True
        self.crash()

    def accept_new_incarnation(self):
        """Let another incarnation answer at this address from now on."""
        self.is_refusing = self.is_cut_off = False

    def cut_off(self):
        """Stop receiving and answering calls; the runs end when the lease lapses."""
        self.is_cut_off = True

    def reconnect(self):
        """Receive and answer again, unless the worker has ended."""
        self.is_cut_off = self.has_ended and self.is_cut_off

    def is_up(self):
        """Whether it can be given work: reachable, not ended and not draining."""
        is_here = not self.has_ended and not self.is_cut_off
        return is_here and self.record.state == "ready"

    def carry_out(self, order):
        """Carry an order out; returns the ``orders.OrderResult``."""
        if self.has_ended:
            return orders.OrderResult(orders.OTHER_INCARNATION)
        if order.fence < self.fence:
            return orders.OrderResult(orders.FENCED, self._clock_ms())
        self.fence = order.fence
        outcome = orders.OK
        if isinstance(order, orders.Start):
            outcome = self._start(order)
        elif isinstance(order, orders.Stop):
            self._stop(order)
        return orders.OrderResult(outcome, self._clock_ms())

    def poll(self, poll, answer):
        """Answer a poll once there is an end to list, or its wait is over."""
        if poll.fence < self.fence:
            answer(orders.PollResult(orders.FENCED, self._clock_ms()))
            return
        self.fence = poll.fence
        self.ends = [end for end in self.ends if end.number > poll.cursor]
        if poll.lease_until_ms is not None:
            self._extend(poll.lease_until_ms)
        if self.has_ended or self.ends or not poll.wait_ms:
            answer(self._poll_result())
            return
        pending_poll = self.pending_poll = answer
        self.world.loop.after(poll.wait_ms, lambda: self._answer_poll(pending_poll))

    def end(self, run, how):
        """End a run, unless it has ended already."""
        if run.is_over:
            return
        run.is_over = True
        now_ms = self.world.loop.now_ms
        del self.runs[(run.order.task, run.order.run)]
        self._close(run.order)
        saved = self.world.save(run, how, now_ms)
        self.world.on_run_ended(self, run, how)
        self.ends.append(
            orders.ListedEnd(self.next_end, run.order.task, run.order.run, how, saved)
        )
        self.next_end += 1
        if self.pending_poll is not None:
            self._answer_poll(self.pending_poll)

    def _start(self, order):
        key = (order.task, order.run)
        if key in self.runs:
            return orders.OK
        if order.run <= self.highest_closed_run.get(order.task, 0):
            return orders.STALE_RUN
        if order.lease_until_ms <= self._clock_ms():
            return orders.LEASE_EXPIRED
        self._extend(order.lease_until_ms)
        left_ms, how = self.world.work_of(order)
        left_ms *= self.slowness
        run = self.runs[key] = _Running(order, left_ms, how, self.world.loop.now_ms)
        self.world.on_run_started(self, run)
        return orders.OK

    def _stop(self, order):
        self._close(order)
        run = self.runs.get((order.task, order.run))
        if run is not None:
            self.world.loop.after(STOP_MS, lambda: self.end(run, "stopped"))

    def _close(self, order):
        self.highest_closed_run[order.task] = max(
            self.highest_closed_run.get(order.task, 0), order.run
        )

    def _extend(self, until_ms):
        until_ms = min(until_ms, self._clock_ms() + MAX_LEASE_MS)
        self.lease_until_ms = max(self.lease_until_ms, until_ms)
        if not self._has_lease_timer:
            self._has_lease_timer = True
            self.world.loop.at(self.lease_until_ms, self._check_lease)

    def _check_lease(self):
        self._has_lease_timer = False
        if self._clock_ms() < self.lease_until_ms:
            self._extend(0)
            return
        for run in list(self.runs.values()):
            self.end(run, "lapsed")

    def _answer_poll(self, pending_poll):
        if self.pending_poll is pending_poll:
            self.pending_poll = None
            pending_poll(self._poll_result())

    def _poll_result(self):
        if self.has_ended:
            return orders.PollResult(orders.OTHER_INCARNATION)
        now_ms = self.world.loop.now_ms
        listed = [
            orders.ListedRun(
                run.order.task,
                run.order.run,
                "",
                int(100 * run.done_ms(now_ms) / run.work_ms) if run.work_ms else 100,
                0.0,
            )
            for run in self.runs.values()
        ]
        return orders.PollResult(
            orders.OK, self._clock_ms(), self.record.born_ms, listed, list(self.ends)
        )

    def _clock_ms(self):
        return int(self.world.loop.now_ms)


class Link:
    """Replaces ``target_link.TargetLink``."""

    def __init__(self, world, machine, epoch):
        self._world, self._machine, self._epoch = world, machine, epoch
        self._unanswered = []

    def order(self, order):
        self._unanswered.append(order)
        self._world.call(lambda: self._carry_out(order))

    def orders_before(self, order):
        return 0 if order in self._unanswered else None

    def withdraw(self, task, run):
        pass

    def return_starts(self):
        pass

    def slow_orders(self):
        return ()

    def overtake(self, order):
        pass

    def set_copies(self, copies):
        pass

    def poll(self, poll):
        self._world.call(lambda: self._poll(poll))

    def close(self):
        pass

    def _carry_out(self, order):
        if self._machine.is_cut_off:
            self._fail(target_link.OrderAnswered, order, 0)
            return
        result = self._machine.carry_out(order)
        self._respond(target_link.OrderAnswered, order, result)

    def _poll(self, poll):
        if self._machine.is_cut_off:
            self._fail(target_link.PollAnswered, poll, poll.wait_ms)
            return
        self._machine.poll(
            poll, lambda result: self._respond(target_link.PollAnswered, poll, result)
        )

    def _respond(self, kind, order, result):
        if self._machine.is_cut_off:
            self._fail(kind, order, 0)
            return
        self._deliver(kind, order, result)

    def _fail(self, kind, order, wait_ms):
        """Report a call without an answer, once its timeout is over."""
        is_poll = kind is target_link.PollAnswered
        is_refused = self._machine.is_refusing
        outcome = orders.CONNECTION_REFUSED if is_refused else orders.UNKNOWN
        result = (orders.PollResult if is_poll else orders.OrderResult)(outcome)
        after_ms = 0 if is_refused else CALL_TIMEOUT_MS + wait_ms
        self._world.loop.after(after_ms, lambda: self._deliver(kind, order, result))

    def _deliver(self, kind, order, result):
        self._unanswered = [each for each in self._unanswered if each is not order]
        name = self._machine.record.target_id
        self._world.deliver(kind(self._epoch, name, order, result))
