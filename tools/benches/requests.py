"""Bench: decisions on requests in virtual time, compared with FIFO and random runners.

Unless stated otherwise, the load is for one failure domain: 2 entries and 6 runners of
8 slots. Requests take 5 ms on average (exponential), deadlines are 250 ms, a fifth of
the load is urgent. Capacity is the number of slots, divided by the mean run time plus
the network delay between two requests.
"""

import collections

from alderreach.core.generated import errors
from alderreach.decisions import serving
from tools import virtual_load

WORK_MS = 5.0
DEADLINE_MS = 250.0
SPAN_MS = 2000
WARM_MS = 500
TEAMS = ("a", "b", "c", "d")
BASELINE_ATTEMPTS = 4
COMMAND = "python tools/bench.py requests"


class FirstInFirstOut:
    """The baseline: one queue, a random runner, as many requests in flight as slots.

    It drops requests past their deadline when their turn comes, and retries refusals.
    """

    def __init__(self, location, rng):
        self._random = rng
        self._entries = location.entries_in_cell
        self._waiting = collections.deque()
        self._in_flight = 0
        self._runners = []

    def set_runners(self, runners):
        self._runners = runners

    def submit(self, request, now_ms, avoided=()):
        if request.attempt > BASELINE_ATTEMPTS:
            return [
                serving.Refusal(request.request_id, errors.Kind.TARGET_REFUSED, 1000)
            ]
        self._waiting.append(request)
        return self._dispatch(now_ms)

    def on_attempt_ended(self, ended, now_ms):
        self._in_flight -= 1
        return self._dispatch(now_ms)

    def tick(self, now_ms):
        return self._dispatch(now_ms), []

    def _dispatch(self, now_ms):
        decisions = []
        max_in_flight = sum(runner.slots for runner in self._runners) // self._entries
        while self._waiting and self._in_flight < max_in_flight:
            request = self._waiting.popleft()
            if request.deadline_ms <= now_ms:
                kind = errors.Kind.DEADLINE_PASSED
                decisions.append(serving.Refusal(request.request_id, kind, 1000))
                continue
            self._in_flight += 1
            runner = self._random.choice(self._runners)
            decisions.append(serving.Grant(request.request_id, runner))
        return decisions


POLICIES = {
    "alderreach": virtual_load.make_service(),
    "fifo+random": FirstInFirstOut,
}


def call(team="a", work_ms=WORK_MS, urgent_share=0.2):
    """Return a function that makes calls of one team, or of random ones for None."""

    def make(rng):
        name = team or rng.choice(TEAMS)
        priority = 8 if rng.random() < urgent_share else 5
        run_ms = rng.expovariate(1 / work_ms)
        return virtual_load.Call(name, run_ms, DEADLINE_MS, priority)

    return make


def capacity_per_s(cell, work_ms=WORK_MS):
    """The capacity of a cell; a slot is idle between an answer and the next request."""
    return cell.slots / ((work_ms + 2 * virtual_load.HOP_MS) / 1000)


def steady(make_policy, load, domains=1):
    """Run a cell under a steady load of ``load`` times its capacity."""
    cell = virtual_load.Cell(make_policy, domains=domains)
    cell.arrivals(load * capacity_per_s(cell), call(None), 0, SPAN_MS)
    return cell.run(SPAN_MS + 2 * DEADLINE_MS)


def measured(cell):
    return [got for got in cell.results if got.sent_ms >= WARM_MS]


def figures(cell):
    """Goodput as a share of capacity, latencies, refusals and hits of full runners."""
    seen = measured(cell)
    span_s = (SPAN_MS - WARM_MS) / 1000
    good = [got for got in seen if got.is_good]
    refused = [got for got in seen if got.outcome == "not-run"]
    at_once = sum(got.took_ms <= 10 for got in refused)
    sent = sum(runner.served + runner.full_hits for runner in cell.runners)
    urgent = [got.took_ms for got in good if got.call.priority >= 7]
    return {
        "goodput": len(good) / span_s / capacity_per_s(cell),
        "p50_ms": virtual_load.quantile([got.took_ms for got in good], 0.5),
        "p99_ms": virtual_load.quantile([got.took_ms for got in good], 0.99),
        "urgent_p99_ms": virtual_load.quantile(urgent, 0.99),
        "refused": len(refused) / max(1, len(seen)),
        "refused_in_10_ms": at_once / max(1, len(refused)),
        "full_hits": sum(runner.full_hits for runner in cell.runners) / max(1, sent),
    }


def show(name, policy, values):
    text = "  ".join(f"{key} {value:.3f}" for key, value in values.items())
    print(f"{name:24} {policy:12} {text}")


def loads():
    for load in (0.3, 0.7, 0.9, 1.0, 2.0, 10.0):
        for policy, make in POLICIES.items():
            show(f"load {load}x", policy, figures(steady(make, load)))


def whole_cell():
    for load in (0.7, 2.0):
        for policy, make in POLICIES.items():
            cell = steady(make, load, domains=4)
            show(f"4 domains {load}x", policy, figures(cell))


def uneven_domains():
    """All load, 0.5x of the cell's capacity, arrives at one failure domain of four."""
    for policy, make in POLICIES.items():
        cell = virtual_load.Cell(make, domains=4)
        per_s = 0.5 * capacity_per_s(cell)
        cell.arrivals(per_s, call(None), 0, SPAN_MS, cell.entries[:2])
        cell.run(SPAN_MS + 2 * DEADLINE_MS)
        show("one domain's callers", policy, figures(cell))


def heavy_caller():
    """Team a sends 5x the capacity; b, c and d send a fifth of it each."""
    for policy, make in POLICIES.items():
        cell = virtual_load.Cell(make)
        per_s = capacity_per_s(cell)
        cell.arrivals(5 * per_s, call("a"), 0, SPAN_MS)
        for team in "bcd":
            cell.arrivals(0.2 * per_s, call(team), 0, SPAN_MS)
        cell.run(SPAN_MS + 2 * DEADLINE_MS)
        due = 0.2 * per_s * (SPAN_MS - WARM_MS) / 1000
        good = collections.Counter(g.call.team for g in measured(cell) if g.is_good)
        worst = min(good[team] for team in "bcd") / due
        values = {"worst_share_of_due": worst} | figures(cell)
        show("heavy caller", policy, values)


def bad_runner():
    for mode in ("slow", "error"):
        for policy, make in POLICIES.items():
            cell = virtual_load.Cell(make)
            cell.runners[0].mode = mode
            cell.arrivals(0.6 * capacity_per_s(cell), call(None), 0, SPAN_MS)
            cell.run(SPAN_MS + 2 * DEADLINE_MS)
            errors_seen = sum(g.status == 500 for g in measured(cell))
            share = errors_seen / max(1, len(measured(cell)))
            values = {"errors": share} | figures(cell)
            show(f"one {mode} of 6", policy, values)


def long_among_short():
    """One team's requests take 100 ms, the other's 5 ms, at 1.5x the capacity."""
    for policy, make in POLICIES.items():
        cell = virtual_load.Cell(make)
        per_s = capacity_per_s(cell)
        cell.arrivals(0.6 * per_s, call("a"), 0, SPAN_MS)
        cell.arrivals(0.9 * per_s / 20, call("b", 100.0), 0, SPAN_MS)
        cell.run(SPAN_MS + 2 * DEADLINE_MS)
        seen = [g for g in measured(cell) if g.call.team == "a"]
        good = [g.took_ms for g in seen if g.is_good]
        values = {
            "short_answered": len(good) / max(1, len(seen)),
            "short_p99_ms": virtual_load.quantile(good, 0.99),
        }
        show("long among short", policy, values)


def main():
    print(COMMAND)
    for bench in (
        loads,
        whole_cell,
        uneven_domains,
        heavy_caller,
        bad_runner,
        long_among_short,
    ):
        bench()


if __name__ == "__main__":
    main()
