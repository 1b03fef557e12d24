"""Simulates load on the entries in virtual time: callers, entries and runners.

Tests and benches define the callers and the runners, advance the time, and evaluate
what each caller received. A policy makes the decisions of an entry; it has ``submit``,
``on_attempt_ended`` and ``tick``, as ``serving.Service`` has; a baseline with the same
methods can replace it.
"""

import heapq
import itertools
import random
import typing

from alderreach.core.generated import placer
from alderreach.decisions import serving

HOP_MS = 0.2
DOMAIN_HOP_MS = 1.5
CALLER_HOP_MS = 1.0
TICK_MS = 20
ENTRY_ATTEMPTS = 6


class Loop:
    """Virtual time: calls functions in the order of their scheduled times."""

    def __init__(self):
        self.now_ms = 0.0
        self._events = []
        self._order = itertools.count()

    def at(self, time_ms, callback):
        heapq.heappush(self._events, (time_ms, next(self._order), callback))

    def after(self, delay_ms, callback):
        self.at(self.now_ms + delay_ms, callback)

    def run_until(self, end_ms):
        while self._events and self._events[0][0] <= end_ms:
            self.now_ms, _, callback = heapq.heappop(self._events)
            callback()
        self.now_ms = end_ms


class Call(typing.NamedTuple):
    """One request of a caller."""

    team: str
    work_ms: float
    deadline_ms: float = 1000
    priority: int = 5


class CallResult(typing.NamedTuple):
    """What a caller received, and when it had sent its request."""

    call: Call
    outcome: str
    status: int
    sent_ms: float
    took_ms: float
    retry_after_ms: int
    attempts: int

    @property
    def is_good(self):
        """Answered without error within its deadline."""
        was_answered = self.outcome == "ran" and self.status < 500
        return was_answered and self.took_ms <= self.call.deadline_ms


class Runner:
    """A runner with slots, and a ``mode``: ok, slow, error or gone."""

    def __init__(self, loop, view, slow_factor=10):
        self.loop = loop
        self.view = view
        self.slow_factor = slow_factor
        self.mode = "ok"
        self.busy = 0
        self.served = 0
        self.full_hits = 0
        self.busy_ms = 0.0

    def handle(self, call, done):
        """Serve a call; calls ``done(result, status)`` when it has ended."""
        if self.mode == "gone":
            done(serving.UNREACHABLE, 0)
        elif self.mode == "error":
            self.served += 1
            self.loop.after(0.1, lambda: done(serving.ANSWERED, 500))
        elif self.busy >= self.view.slots:
            self.full_hits += 1
            done(serving.REFUSED, 503)
        else:
            self._run(call, done)

    def _run(self, call, done):
        self.busy += 1
        self.served += 1
        run_ms = call.work_ms * (self.slow_factor if self.mode == "slow" else 1)
        self.busy_ms += run_ms

        def finish():
            self.busy -= 1
            done(serving.ANSWERED, 200)

        self.loop.after(run_ms, finish)


class Entry:
    """Carries out a policy's decisions for one service, as an entry's threads do."""

    def __init__(self, loop, policy, domain, runners, results):
        self.loop = loop
        self.policy = policy
        self.domain = domain
        self._runners = {runner.view.runner_id: runner for runner in runners}
        self._results = results
        self._open = {}
        self._numbers = itertools.count()
        loop.after(TICK_MS, self._tick)

    def submit(self, call):
        """Handle the request of a caller."""
        request_id = f"r{next(self._numbers)}"
        now_ms = self.loop.now_ms
        self._open[request_id] = [call, now_ms, 0, (), 0.0]
        request = serving.Request(
            request_id, call.team, call.priority, now_ms, now_ms + call.deadline_ms
        )
        self._apply(self.policy.submit(request, now_ms))

    def _tick(self):
        self.loop.after(TICK_MS, self._tick)
        self._apply(self.policy.tick(self.loop.now_ms)[0])

    def _apply(self, decisions):
        for decision in decisions:
            if isinstance(decision, serving.Grant):
                self._send(decision)
            else:
                self._end(decision.request_id, "not-run", 503, decision.retry_after_ms)

    def _send(self, grant):
        state = self._open[grant.request_id]
        state[2] += 1
        sent_ms = self.loop.now_ms
        runner = self._runners[grant.runner.runner_id]
        hop_ms = HOP_MS
        if grant.runner.failure_domain != self.domain:
            hop_ms += DOMAIN_HOP_MS

        def on_response(result, status):
            self.loop.after(
                hop_ms, lambda: self._on_attempt_ended(grant, result, status, sent_ms)
            )

        self.loop.after(hop_ms, lambda: runner.handle(state[0], on_response))

    def _on_attempt_ended(self, grant, result, status, sent_ms):
        now_ms = self.loop.now_ms
        request_id, runner_id = grant.request_id, grant.runner.runner_id
        run_ms = now_ms - sent_ms
        ended = serving.AttemptEnded(request_id, runner_id, result, status, run_ms)
        call, arrived_ms, attempts, avoided, _ = state = self._open[request_id]
        if result == serving.ANSWERED:
            self._end(request_id, "ran", status, 0)
        self._apply(self.policy.on_attempt_ended(ended, now_ms))
        if result == serving.ANSWERED:
            return
        state[3] = avoided = (*avoided, runner_id)
        request = serving.Request(
            request_id,
            call.team,
            call.priority,
            arrived_ms,
            arrived_ms + call.deadline_ms,
            attempts + 1,
            result,
        )
        self._apply(self.policy.submit(request, now_ms, avoided))

    def _end(self, request_id, outcome, status, retry_after_ms):
        call, arrived_ms, attempts, _, _ = self._open.pop(request_id)
        took_ms = self.loop.now_ms - arrived_ms
        result = CallResult(
            call, outcome, status, arrived_ms, took_ms, retry_after_ms, attempts
        )
        self._results.append(result)


class Cell:
    """Entries and runners of one service over failure domains, and all call results.

    ``make_policy(location, random)`` makes the policy of one entry.
    """

    def __init__(
        self, make_policy, domains=1, entries=2, runners=6, slots=8, connections=64
    ):
        self.loop = Loop()
        self.random = random.Random(7)
        self.results = []
        self.runners = [
            Runner(self.loop, _view(domain, number, slots, connections))
            for domain in range(domains)
            for number in range(runners)
        ]
        self.entries = []
        for domain in range(domains):
            location = serving.EntryLocation(
                f"domain-{domain}", entries, domains * entries
            )
            for _ in range(entries):
                policy = make_policy(location, random.Random(len(self.entries)))
                policy.set_runners([runner.view for runner in self.runners])
                name = location.failure_domain
                made = Entry(self.loop, policy, name, self.runners, self.results)
                self.entries.append(made)

    @property
    def slots(self):
        return sum(runner.view.slots for runner in self.runners)

    def arrivals(self, per_s, make_call, start_ms, end_ms, entries=None):
        """Send ``per_s`` requests a second on average, each to a random entry."""
        entries = entries or self.entries

        def arrive():
            self.random.choice(entries).submit(make_call(self.random))
            schedule()

        def schedule():
            gap_ms = self.random.expovariate(per_s) * 1000
            if self.loop.now_ms + gap_ms < end_ms:
                self.loop.after(gap_ms, arrive)

        self.loop.at(start_ms, schedule)

    def burst(self, number, make_call, time_ms, entry=None):
        """Send ``number`` requests at one time, to one entry or spread over all."""
        for turn in range(number):
            target = entry or self.entries[turn % len(self.entries)]
            call = make_call(self.random)
            self.loop.at(time_ms, lambda e=target, c=call: e.submit(c))

    def run(self, end_ms):
        """Advance the virtual time; returns the cell itself."""
        self.loop.run_until(end_ms)
        return self

    def update_views(self):
        """Update the entries' lists of runners, without those that are gone."""
        views = [r.view for r in self.runners if r.mode != "gone"]
        for entry in self.entries:
            entry.policy.set_runners(views)


def _view(domain, number, slots, connections):
    return placer.RunnerView(
        f"runner-{domain}-{number}",
        "boot-1",
        "closures",
        "127.0.0.1:1",
        f"vm-{domain}-{number}",
        f"rack-{domain}",
        f"domain-{domain}",
        slots,
        connections,
        "ready",
    )


def make_service(queue_length=64, weights=None, declared_run_ms=0):
    """A ``make_policy`` for ``Cell`` with the decisions of ``serving.Service``."""

    def make(location, rng):
        service = serving.Service(location, queue_length, rng)
        service.configure(weights or {}, declared_run_ms)
        return service

    return make


def quantile(values, share):
    """The value below which ``share`` of the values lie; 0 if there are none."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
