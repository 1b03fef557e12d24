"""One service as an entry sees it: combines the policies for admission and routing.

It uses no threads and no sockets. Its methods return lists of ``Grant`` and ``Refusal``
that the caller carries out in order; ``docs/DESIGN.md`` says which part that is.
"""

import typing

from alderreach.core.generated import errors, placer
from alderreach.decisions import (
    admission,
    concurrency,
    ordering,
    outliers,
    retries,
    routing,
)

WITHDRAWN = "withdrawn"
ANSWERED = "answered"
REFUSED = "refused"
UNREACHABLE = "unreachable"
NOT_SENT = "not_sent"
NO_TARGET_RETRY_MS = 1000
SERVER_ERROR = 500


class Request(typing.NamedTuple):
    """A request for a runner; times are on the monotonic clock.

    ``attempt`` counts from 1; ``previous`` is how the attempt before it ended.
    """

    request_id: str
    team: str
    priority: int
    arrived_ms: int
    deadline_ms: int
    attempt: int = 1
    previous: str = ""


class Grant(typing.NamedTuple):
    """A request may be sent to a runner now; it is expected to take ``run_ms``."""

    request_id: str
    runner: placer.RunnerView
    run_ms: float = 0


class Refusal(typing.NamedTuple):
    """A request is refused; the caller may try again after ``retry_after_ms``."""

    request_id: str
    kind: errors.Kind
    retry_after_ms: int


class AttemptEnded(typing.NamedTuple):
    """How an attempt ended, as reported by the caller that carried out its grant."""

    request_id: str
    runner_id: str
    result: str
    status: int
    run_ms: int


class EntryLocation(typing.NamedTuple):
    """An entry's failure domain, and how many entries share the runners."""

    failure_domain: str
    entries_in_domain: int
    entries_in_cell: int


class _Running(typing.NamedTuple):
    team: str
    runner_id: str
    cost_ms: float


class Service:
    """The waiting requests and the runners of one service."""

    def __init__(self, location, queue_length, random):
        self._queue_length = queue_length
        self._random = random
        self._queue = ordering.RequestQueue()
        self._run_times = ordering.RunTimes()
        self._outliers = outliers.Outliers()
        self._router = routing.Router(self._outliers, random, *location)
        self._limit = concurrency.Limit()
        self._budget = retries.Budget()
        self._running = {}

    def set_runners(self, runners):
        """Replace the known runners of the service."""
        self._router.set_runners(runners)
        self._limit.set_bounds(
            max(1, len(self._router.usable)), max(1, self._router.max_outstanding())
        )

    def configure(self, weights, declared_run_ms):
        """Set the teams' weights and the run time that the configuration declares."""
        self._queue.set_weights(weights)
        self._run_times.set_declared(declared_run_ms)

    @property
    def waiting(self):
        """Number of requests in the queue."""
        return len(self._queue)

    @property
    def running(self):
        """Number of requests that were granted a runner and have not ended."""
        return len(self._running)

    def submit(self, request, now_ms, avoided=(), free_places=None):
        """Queue or refuse a request; may also grant or refuse others.

        ``free_places`` is how many more requests of any service may wait in the entry.
        """
        usable = set(self._router.usable)
        if not usable or usable <= set(avoided):
            kind = errors.Kind.NO_TARGET
            return [Refusal(request.request_id, kind, NO_TARGET_RETRY_MS)]
        if request.attempt > 1 and not self._may_retry(request):
            return [self._overloaded(request)]
        waiting = ordering.Waiting(
            request, tuple(avoided), self._run_times.expected_ms(request.team)
        )
        # An idle service accepts any request: otherwise a run time learned while it was
        # slow could refuse all requests, and no new measurement would correct it.
        if self._running and not self._estimate(request, now_ms).is_in_time:
            return [self._overloaded(request)]
        self._queue.push(waiting, first=request.attempt > 1)
        if request.attempt == 1:
            self._budget.earn()
        bound = self._queue_length
        if free_places is not None:
            bound = min(bound, len(self._queue) - 1 + free_places)
        decisions = self.dispatch(now_ms)
        return decisions + self._shed(waiting, bound)

    def refuse(self, request):
        """Refuse a request because the entry as a whole is full."""
        return self._overloaded(request)

    def on_attempt_ended(self, ended, now_ms):
        """Record the end of an attempt; may grant or refuse waiting requests."""
        running = self._running.pop(ended.request_id, None)
        was_answered = ended.result == ANSWERED
        was_refused = ended.result == REFUSED
        self._router.on_attempt_ended(
            ended.runner_id, was_refused, was_answered, now_ms
        )
        if running is not None:
            self._record_attempt(ended, running, now_ms)
        return self.dispatch(now_ms)

    def dispatch(self, now_ms):
        """Grant waiting requests, and refuse those that can't meet their deadline."""
        decisions, skipped = [], set()
        while len(self._queue) and len(self._running) < self._limit.value:
            waiting = self._queue.head(now_ms, skipped)
            if waiting is None:
                break
            if self._is_hopeless(waiting, now_ms):
                self._queue.drop(waiting)
                decisions.append(self._deadline_refusal(waiting.request, now_ms))
                continue
            wait_ms = self._own_wait_ms(waiting, now_ms)
            runner = self._router.pick(now_ms, wait_ms, waiting.avoided)
            if runner is not None:
                self._queue.pop(waiting)
                decisions.append(self._grant(waiting, runner))
            elif waiting.avoided:
                skipped.add(waiting.request.request_id)
            else:
                break
        return decisions

    def tick(self, now_ms):
        """Return (decisions, changes of targets for the time line) due by now."""
        changes = self._outliers.tick(now_ms)
        removed = self._queue.remove(lambda each: self._is_hopeless(each, now_ms))
        late = [self._deadline_refusal(waiting.request, now_ms) for waiting in removed]
        return late + self.dispatch(now_ms), changes

    def withdraw(self, request_id):
        """Remove a waiting request; return whether it was waiting."""
        return bool(
            self._queue.remove(lambda each: each.request.request_id == request_id)
        )

    def _usable_slots(self):
        """Return the slots this entry can rely on: its allowance, or those in use."""
        allowed = max(self._router.total_allowance(), len(self._running))
        return max(1, min(self._limit.value, allowed))

    def _estimate(self, request, now_ms):
        slots = self._usable_slots()
        return admission.estimate(
            request,
            self._queue.backlog(request.team, ordering.is_urgent(request)),
            self._run_times.expected_ms(request.team),
            self._queue.weight(request.team),
            slots,
            slots - len(self._running),
            now_ms,
        )

    def _own_wait_ms(self, waiting, now_ms):
        """Return how long a request will have waited in total for a local runner."""
        waited_ms = now_ms - waiting.request.arrived_ms
        return waited_ms + self._run_times.overall_ms / self._usable_slots()

    def _may_retry(self, request):
        was_refused = request.previous in (REFUSED, UNREACHABLE, NOT_SENT)
        return self._budget.try_spend(
            request.attempt, was_refused, bool(len(self._queue))
        )

    def _overloaded(self, request):
        backlog = self._queue.backlog(request.team, urgent=False)
        wait_ms = admission.retry_after_ms(
            backlog.total_ms,
            self._run_times.expected_ms(request.team),
            self._usable_slots(),
            self._random,
        )
        return Refusal(request.request_id, errors.Kind.OVERLOADED, wait_ms)

    def _shed(self, newcomer, bound):
        """Refuse requests above the queue's bound, of the team that has most in it."""
        decisions = []
        while len(self._queue) > bound:
            team, share_ms = self._queue.heaviest()
            own = newcomer.request.team
            own_ms = self._queue.cost_of(own) / self._queue.weight(own)
            if not admission.may_displace(own_ms, share_ms) and self._queue.cost_of(
                own
            ):
                team = own
            dropped = self._queue.pop_newest(team)
            decisions.append(self._overloaded(dropped.request))
        return decisions

    def _grant(self, waiting, runner):
        request = waiting.request
        self._router.on_attempt_started(runner.runner_id)
        self._running[request.request_id] = _Running(
            request.team, runner.runner_id, waiting.cost_ms
        )
        return Grant(request.request_id, runner, waiting.cost_ms)

    def _record_attempt(self, ended, running, now_ms):
        self._queue.correct(running.team, ended.run_ms - running.cost_ms)
        if ended.result == UNREACHABLE:
            self._outliers.on_unreachable(ended.runner_id, now_ms)
        if ended.result in (UNREACHABLE, NOT_SENT, REFUSED, WITHDRAWN):
            return
        is_error = ended.result != ANSWERED or ended.status >= SERVER_ERROR
        self._outliers.observe(ended.runner_id, ended.run_ms, is_error)
        if not is_error:
            self._run_times.observe(running.team, ended.run_ms)
            in_flight = len(self._running) + 1
            self._limit.observe(ended.run_ms, in_flight, now_ms)

    def _is_hopeless(self, waiting, now_ms):
        # As in ``submit``, an idle service tries any request whose deadline is ahead.
        run_ms = (
            self._run_times.expected_ms(waiting.request.team) if self._running else 0
        )
        return admission.is_hopeless(waiting.request, run_ms, now_ms)

    def _deadline_refusal(self, request, now_ms):
        refusal = self._overloaded(request)
        if request.deadline_ms > now_ms:
            return refusal
        return refusal._replace(kind=errors.Kind.DEADLINE_PASSED)
