"""Checks what is left of cancelled jobs while the soak test runs.

A run has to end in time after its job's cancellation, and nothing may start much later;
the cancellation itself has to be answered. The bounds are those of the platform's rule.
They hold while nothing near is disturbed except by late orders, draining workers and
evacuations. The soak test can't tell which fault is near which run, so it takes a time
as calm only if ``STABLE_WINDOW_MS`` have passed since any other fault anywhere,
including crashes caused by tasks and changes of the configuration.
"""

import itertools
import math
import typing

STABLE_WINDOW_MS = 3000
CANCEL_MS = 3000
STOP_TIMEOUT_MS = 400
ACK_MS = 4000


class Place(typing.NamedTuple):
    """A run of a task on one incarnation of a worker."""

    incarnation: str
    task: str
    run: int


class Cancels:
    """The cancellations of a day; ``Promises`` guards it with its lock.

    ``report(text)`` records a violation. The time is disturbed until the first
    ``settle``.

    >>> cancels = Cancels(lambda: 0, print)
    >>> cancels.settle()
    >>> number = cancels.on_sent("j")
    >>> cancels.due_ms("j")
    7000
    >>> cancels.on_answered(number, True)
    >>> cancels.due_ms("j")
    0
    """

    def __init__(self, now_ms, report):
        self._now_ms = now_ms
        self._report = report
        self._numbers = itertools.count()
        self._unanswered = {}
        self._acknowledged_ms = {}
        self._late_starts_ms = {}
        self._reported = set()
        self._disturbances = 1
        self.calm_from_ms = math.inf

    def disturb(self):
        """A fault begins that excuses late ends and answers."""
        self._disturbances += 1
        self.calm_from_ms = math.inf

    def settle(self):
        """A fault has ended; the time is calm some time after the last one."""
        self._disturbances -= 1
        if not self._disturbances:
            self.calm_from_ms = self._now_ms() + STABLE_WINDOW_MS

    def on_sent(self, job_id):
        """A caller is about to cancel a job; returns the number of the request."""
        number = next(self._numbers)
        self._unanswered[number] = job_id, self._now_ms()
        return number

    def on_answered(self, number, is_cancelled):
        """A caller has a clear answer: the job is cancelled, or there is none."""
        job_id, _sent_ms = self._unanswered.pop(number)
        if is_cancelled:
            self._acknowledged_ms.setdefault(job_id, self._now_ms())

    def due_ms(self, job_id):
        """Since when a job counts as cancelled; infinite if it does not.

        That is since the first acknowledgement, or since it was due in a calm time.
        """
        due = [self._acknowledged_ms.get(job_id, math.inf)]
        due += [
            self._answer_due_ms(sent_ms)
            for other, sent_ms in self._unanswered.values()
            if other == job_id
        ]
        return min(due)

    def on_start(self, place, is_late):
        """A run starts; ``is_late`` if its worker carries the order out late."""
        now_ms = self._now_ms()
        if is_late:
            self._late_starts_ms[place] = now_ms
            return
        late_ms = now_ms - self.due_ms(_job_of(place.task))
        if late_ms > CANCEL_MS and now_ms >= self.calm_from_ms:
            self._report(
                f"{place.task} starts {late_ms} ms after its job was cancelled"
            )

    def check(self, places):
        """Check all runs that are on workers now, and the requests without answer."""
        now_ms = self._now_ms()
        for place in places:
            late_ms = now_ms - self._end_due_ms(place)
            if late_ms > 0 and place not in self._reported:
                self._reported.add(place)
                self._report(
                    f"{place.task} run {place.run} runs on on {place.incarnation}, "
                    f"{late_ms} ms later than allowed, and its job was cancelled"
                )
        for number, (job_id, sent_ms) in self._unanswered.items():
            if now_ms > self._answer_due_ms(sent_ms) and number not in self._reported:
                self._reported.add(number)
                self._report(f"a cancellation of {job_id} is not answered")

    def _end_due_ms(self, place):
        """When a run has to be over."""
        late_start_ms = self._late_starts_ms.get(place, -math.inf)
        since_ms = max(
            self.due_ms(_job_of(place.task)),
            self.calm_from_ms,
            late_start_ms + STABLE_WINDOW_MS,
        )
        return since_ms + CANCEL_MS + STOP_TIMEOUT_MS

    def _answer_due_ms(self, sent_ms):
        return max(sent_ms, self.calm_from_ms) + ACK_MS


def _job_of(task):
    return task.partition(".")[0]
