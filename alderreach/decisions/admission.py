"""Admission control: which requests may wait, and which are rejected at once.

Without a limit on the queue every request is late once the load exceeds the capacity,
and a burst of one caller delays all others.

- A request is admitted if it can be answered by its deadline. An answer is expected
  after the slot time queued ahead of it divided by the number of slots, plus its own
  run time.
  Fair sharing bounds what is ahead of a team with a short backlog: its own backlog,
  scaled by the weights of the teams it shares the slots with.
- ``RUN_MARGIN`` times the expected run time must remain after the wait.
- The queue is bounded. When it is full, a request of a team with less waiting slot time
  per weight replaces the newest request of the team with the most.
- A rejected caller is answered at once and told to retry when the current backlog will
  have been served. A random factor of up to 1 + ``RETRY_JITTER`` stretches that time:
  callers rejected in one burst would otherwise all return together.
"""

import typing

RUN_MARGIN = 1.0
MIN_RETRY_AFTER_MS = 200
RETRY_JITTER = 1.0


class Estimate(typing.NamedTuple):
    """A request's expected wait; ``is_in_time`` says whether it meets its deadline."""

    wait_ms: float
    is_in_time: bool


def estimate(request, backlog, run_ms, own_weight, slots, free_slots, now_ms):
    """Estimate how long a new request would wait, and whether it could still run.

    >>> import types
    >>> from alderreach.decisions import ordering
    >>> request = types.SimpleNamespace(deadline_ms=100)
    >>> estimate(request, ordering.Backlog(0, 400, 2), 10, 1, 4, 0, 0)
    Estimate(wait_ms=2.5, is_in_time=True)
    """
    slots = max(1, slots)
    fair_ms = backlog.own_ms * backlog.weights / own_weight
    ahead_ms = min(backlog.total_ms, fair_ms)
    residual_ms = 0 if free_slots > 0 else run_ms / slots
    wait_ms = ahead_ms / slots + residual_ms
    remaining_ms = request.deadline_ms - now_ms - wait_ms
    return Estimate(wait_ms, remaining_ms >= RUN_MARGIN * run_ms)


def retry_after_ms(total_backlog_ms, run_ms, slots, random):
    """Return the delay before a retry: the time to serve the backlog, with jitter."""
    drained_ms = (total_backlog_ms + run_ms) / max(1, slots)
    wait_ms = max(MIN_RETRY_AFTER_MS, drained_ms)
    return int(wait_ms * (1 + RETRY_JITTER * random.random()))


def may_displace(own_ms, heaviest_ms):
    """Whether a new request may displace the newest of the team with the most waiting.

    Both arguments are waiting slot time per weight; ``own_ms`` includes the new
    request. Places in the queue are shared by slot time, as slots are. Shared by the
    number of requests, a team of short requests would get places for only a few
    milliseconds of work and be rejected in every small burst.
    """
    return own_ms < heaviest_ms


def is_hopeless(request, run_ms, now_ms):
    """Whether a waiting request would miss its deadline even if it were sent now."""
    remaining_ms = request.deadline_ms - now_ms
    return remaining_ms <= 0 or remaining_ms < run_ms
