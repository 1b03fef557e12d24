"""Cancels jobs of the soak test's callers at random moments, each in its own thread.

Some cancellations follow an acknowledged submission at once, others after seconds or
while tasks of the job run; some are sent twice, or through two frontends at once, or
before the submission has an answer. Each is repeated until it has a clear answer. Many
of the jobs are long-running, since only a stop ends these.
"""

import threading
import time
import typing

# The share of jobs that are cancelled, and of these that would run on by themselves.
SHARE = 0.3
LONG_RUNNING_SHARE = 0.5
AT_ONCE, LATER, WHILE_RUNNING, TWICE, BY_TWO, UNANSWERED = (
    "at once", "later", "while running", "twice", "by two", "unanswered",
)  # fmt: skip
KINDS = (AT_ONCE, LATER, WHILE_RUNNING, TWICE, BY_TWO, UNANSWERED)
RUNNING_WAIT_S = 3.0
PAUSE_S = 0.15
STEP_S = 0.02
# How long requests without an answer are repeated after the callers have stopped.
STOP_WAIT_S = 10.0


class Moment(typing.NamedTuple):
    """When a job is cancelled, and after which delay."""

    kind: str
    delay_s: float


class Submission:
    """A job that is being submitted; ``answered`` is set once it is accepted or not."""

    def __init__(self):
        self.answered = threading.Event()
        self.is_accepted = False

    def end(self, is_accepted):
        """The last attempt to submit the job is over."""
        self.is_accepted = is_accepted
        self.answered.set()


class Cancellers:
    """The cancellations of a day.

    ``cancelled`` are the jobs whose cancellation was acknowledged, ``unclear`` those
    that may be cancelled. ``send(job_id, turn)`` sends a request and returns its
    status; requests with successive turns go to different frontends.
    """

    def __init__(self, send, promises, rng):
        self._send = send
        self._promises = promises
        self._rng = rng
        self._threads = []
        self._giving_up = threading.Event()
        self._doubtful = set()
        self.cancelled = set()
        self.unclear = set()

    def draw(self):
        """When to cancel the next job, or None, and whether it is long-running."""
        rng = self._rng
        moment = Moment(rng.choice(KINDS), rng.choice([0.05, 0.4, 1.0, 2.5]))
        is_chosen, is_long = rng.random() < SHARE, rng.random() < LONG_RUNNING_SHARE
        return (moment, is_long) if is_chosen else (None, False)

    def begin(self, job_id, moment):
        """Cancel a job that is about to be submitted; returns its ``Submission``."""
        submission = Submission()
        for turn in range(2 if moment.kind == BY_TWO else 1):
            thread = threading.Thread(
                target=self._run, args=[job_id, moment, submission, turn], daemon=True
            )
            thread.start()
            self._threads.append(thread)
        return submission

    def stop(self):
        """Wait for the answers to all cancellations, some seconds at most."""
        deadline_s = time.monotonic() + STOP_WAIT_S
        for thread in self._threads:
            thread.join(max(0.0, deadline_s - time.monotonic()))
        self._giving_up.set()
        for thread in self._threads:
            thread.join()
        # A job whose submission had no clear answer may have been accepted since.
        for job_id in self._doubtful:
            self._cancel(job_id, 0, Submission())

    def _run(self, job_id, moment, submission, turn):
        if moment.kind == UNANSWERED:
            time.sleep(moment.delay_s)
            if self._cancel(job_id, turn, submission):
                return
        submission.answered.wait()
        if not submission.is_accepted:
            self._doubtful.add(job_id)
        self._await_moment(job_id, moment)
        self._cancel(job_id, turn, submission)
        if moment.kind == TWICE:
            time.sleep(moment.delay_s)
            self._cancel(job_id, turn + 1, submission)

    def _await_moment(self, job_id, moment):
        if moment.kind in (LATER, BY_TWO, TWICE):
            time.sleep(moment.delay_s)
        deadline_s = time.monotonic() + RUNNING_WAIT_S
        while moment.kind == WHILE_RUNNING and time.monotonic() < deadline_s:
            if self._promises.running(job_id):
                return
            time.sleep(STEP_S)

    def _cancel(self, job_id, turn, submission):
        """Send a cancellation until it has an answer; returns whether it took effect.

        An accepted job is known from then on.
        """
        cancels = self._promises.cancels
        must_be_known = submission.is_accepted
        with self._promises.lock:
            number = cancels.on_sent(job_id)
        self.unclear.add(job_id)
        while True:
            status = self._send(job_id, turn)
            self._promises.record(f"the cancellation of {job_id} is answered: {status}")
            if status in (200, 410):
                break
            if self._giving_up.wait(PAUSE_S):
                return True
            turn += 1
        with self._promises.lock:
            cancels.on_answered(number, status == 200)
            if status == 200:
                self.cancelled.add(job_id)
            elif must_be_known:
                self._promises.violations.append(
                    f"{job_id} was accepted and is unknown when it is cancelled"
                )
        return status == 200
