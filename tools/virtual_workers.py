"""Model workers in virtual time: they do as told at once, until they leave.

One that is cut off for a while carries nothing out and answers nothing; what still runs
there when it is back is killed.
"""

from alderreach.core import orders
from alderreach.ops.controller import target_link

# A worker kills what it is told to stop, or saves it first, within this.
STOP_MS = 60.0
# A call that gets no answer is given up after this.
CALL_LIMIT_MS = 300.0


class _Running:
    """One run on a model worker."""

    def __init__(self, order, work_ms, how, now_ms):
        self.order = order
        self.work_ms = work_ms
        self.how = how
        self.began_ms = now_ms
        self.is_over = False

    def done_ms(self, now_ms):
        """How much of its work is done."""
        return min(self.work_ms, max(0.0, now_ms - self.began_ms))


class Machine:
    """A worker that does as it is told at once, until it leaves."""

    def __init__(self, world, record):
        self.world, self.record = world, record
        self.runs = {}
        self.ends = []
        self.next_end = 1
        self.held = None
        self.is_gone = False
        self.is_cut_off = False

    def cut_off(self):
        """Hear and answer nothing from now on."""
        self.is_cut_off = True
        held, self.held = self.held, None
        if held is not None:
            lost = orders.LookResult(orders.UNKNOWN)
            self.world.loop.after(CALL_LIMIT_MS, lambda: held(lost))

    def come_back(self):
        """Answer again; what still runs here is killed, as if its lease had ended."""
        self.is_cut_off = False
        for run in self.runs.values():
            run.is_over = True
        self.runs = {}

    def leave(self):
        """End with all that runs here; another life answers at this address now."""
        self.is_gone = True
        for run in self.runs.values():
            run.is_over = True
        self.runs = {}
        if self.held is not None:
            self._release(self.held)

    def carry_out(self, order):
        """Carry an order out; returns the ``orders.OrderResult``."""
        if self.is_gone:
            return orders.OrderResult(orders.OTHER_LIFE)
        if isinstance(order, orders.Start):
            self._start(order)
        elif isinstance(order, orders.Stop):
            run = self.runs.get((order.task, order.run))
            if run is not None:
                self.world.loop.after(STOP_MS, lambda: self._end(run, "stopped"))
        return orders.OrderResult(orders.OK, self._clock_ms())

    def look(self, look, answer):
        """Answer a look once there is an end, or its time is over."""
        self.ends = [end for end in self.ends if end.number > look.cursor]
        if self.is_gone or self.ends or not look.wait_ms:
            answer(self._lists())
            return
        held = self.held = answer
        self.world.loop.after(look.wait_ms, lambda: self._release(held))

    def _start(self, order):
        key = (order.task, order.run)
        if key in self.runs:
            return
        left_ms, how = self.world.work_of(order)
        run = self.runs[key] = _Running(order, left_ms, how, self.world.loop.now_ms)
        self.world.loop.after(left_ms, lambda: self._end(run, run.how))

    def _end(self, run, how):
        if run.is_over:
            return
        run.is_over = True
        now_ms = self.world.loop.now_ms
        del self.runs[(run.order.task, run.order.run)]
        saved = self.world.save(run, how, now_ms)
        self.ends.append(
            orders.ListedEnd(self.next_end, run.order.task, run.order.run, how, saved)
        )
        self.next_end += 1
        if self.held is not None:
            self._release(self.held)

    def _release(self, held):
        if self.held is held:
            self.held = None
            held(self._lists())

    def _lists(self):
        if self.is_gone:
            return orders.LookResult(orders.OTHER_LIFE)
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
        return orders.LookResult(
            orders.OK, self._clock_ms(), self.record.born_ms, listed, list(self.ends)
        )

    def _clock_ms(self):
        return int(self.world.loop.now_ms)


class Link:
    """Stands for ``target_link.TargetLink``."""

    def __init__(self, world, machine):
        self._world, self._machine = world, machine

    def order(self, order):
        self._world.call(lambda: self._carry_out(order))

    def look(self, look):
        def answer(result):
            self._tell(target_link.LookAnswered, look, result)

        def reach():
            if self._machine.is_cut_off:
                self._give_up(answer, orders.LookResult(orders.UNKNOWN))
            else:
                self._machine.look(look, answer)

        self._world.call(reach)

    def close(self):
        pass

    def _carry_out(self, order):
        def answer(result):
            self._tell(target_link.OrderAnswered, order, result)

        if self._machine.is_cut_off:
            self._give_up(answer, orders.OrderResult(orders.UNKNOWN))
        else:
            answer(self._machine.carry_out(order))

    def _give_up(self, answer, result):
        self._world.loop.after(CALL_LIMIT_MS, lambda: answer(result))

    def _tell(self, kind, order, result):
        self._world.mail(kind(1, self._machine.record.target_id, order, result))
