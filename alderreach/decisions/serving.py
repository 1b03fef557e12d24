"""One service as an entry sees it: what is let in, what waits, where it goes.

This is the frame around the single policies; it holds no thread and no socket, and its
answers are lists of ``Grant`` and ``Refusal`` for the caller to carry out.
"""

import collections
import typing

from alderreach.core.generated import errors, placer

READY = "ready"
WITHDRAWN = "withdrawn"


class Ask(typing.NamedTuple):
    """A request that wants to be served; times are on the monotonic clock."""

    request_id: str
    team: str
    priority: int
    arrived_ms: int
    deadline_ms: int
    attempt: int = 1


class Grant(typing.NamedTuple):
    """A request may be sent to a runner now."""

    request_id: str
    runner: placer.RunnerView


class Refusal(typing.NamedTuple):
    """A request is turned away; ``retry_after_ms`` says when coming back helps."""

    request_id: str
    kind: errors.Kind
    retry_after_ms: int


class Ended(typing.NamedTuple):
    """How an attempt ended, told by whoever carried out its grant."""

    request_id: str
    runner_id: str
    result: str
    status: int
    run_ms: int


class Service:
    """Waiting requests and runners of one service."""

    def __init__(self, queue_length):
        self._queue_length = queue_length
        self._runners = {}
        self._outstanding = collections.Counter()
        self._waiting = collections.deque()

    def set_runners(self, runners):
        """Take the runners of the service as they are now known."""
        self._runners = {runner.runner_id: runner for runner in runners}

    def arrive(self, ask, now_ms, excluded=()):
        """Take a request in."""
        if not self._runners:
            return [Refusal(ask.request_id, errors.Kind.NO_TARGET, 1000)]
        if len(self._waiting) >= self._queue_length:
            return [Refusal(ask.request_id, errors.Kind.OVERLOADED, 1000)]
        self._waiting.append((ask, excluded))
        return self.dispatch(now_ms)

    def ended(self, ended, now_ms):
        """An attempt has ended; others may go."""
        self._outstanding[ended.runner_id] -= 1
        return self.dispatch(now_ms)

    def dispatch(self, now_ms):
        """Grant what can go now, refuse what is past its deadline."""
        decisions = []
        while self._waiting:
            ask, excluded = self._waiting[0]
            if ask.deadline_ms <= now_ms:
                self._waiting.popleft()
                kind = errors.Kind.DEADLINE_PASSED
                decisions.append(Refusal(ask.request_id, kind, 1000))
                continue
            runner = self._pick(excluded)
            if runner is None:
                break
            self._waiting.popleft()
            self._outstanding[runner.runner_id] += 1
            decisions.append(Grant(ask.request_id, runner))
        return decisions

    def withdraw(self, request_id):
        """Forget a waiting request; False if it does not wait."""
        for place, (ask, _) in enumerate(self._waiting):
            if ask.request_id == request_id:
                del self._waiting[place]
                return True
        return False

    @property
    def waiting(self):
        """Requests in the queue."""
        return len(self._waiting)

    def _pick(self, excluded):
        free = [
            runner
            for runner in self._runners.values()
            if runner.state == READY
            and runner.runner_id not in excluded
            and self._outstanding[runner.runner_id] < runner.slots
        ]
        if not free:
            return None
        return min(free, key=lambda runner: self._outstanding[runner.runner_id])
