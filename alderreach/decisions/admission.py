"""What is let in to wait, and what is turned away at once.

Queueing bursts without a limit makes every request late once the load exceeds the
capacity, and lets one caller's burst delay everybody.

- A newcomer is let in if it can be answered by its deadline: the slot time that waits
  ahead of it over the slots, plus its own run time. Fair sharing bounds what is ahead
  of a team that waits for little: its own backlog, times the weights it shares with.
- ``RUN_MARGIN`` times the expected run time must remain after waiting.
- The queue is bounded. When it is full, a newcomer of a team with less waiting for its
  weight takes the place of the newest request of the team with most.
- Who is turned away hears at once, and is told to come back when what waits now will
  have been served, stretched at random by up to ``RETRY_SPREAD``: callers turned away
  in one burst would else come back as one.
"""

import typing

RUN_MARGIN = 1.0
MIN_RETRY_AFTER_MS = 200
RETRY_JITTER = 1.0


class Estimate(typing.NamedTuple):
    """What a newcomer faces; ``is_in_time`` says whether it can be answered."""

    wait_ms: float
    is_in_time: bool


def estimate(ask, backlog, run_ms, own_weight, slots, free_slots, now_ms):
    """How long a newcomer would wait, and whether that leaves it time to run.

    >>> import types
    >>> from alderreach.decisions import ordering
    >>> ask = types.SimpleNamespace(deadline_ms=100)
    >>> estimate(ask, ordering.Backlog(0, 400, 2), 10, 1, 4, 0, 0)
    Estimate(wait_ms=2.5, is_in_time=True)
    """
    slots = max(1, slots)
    fair_ms = backlog.own_ms * backlog.weights / own_weight
    ahead_ms = min(backlog.total_ms, fair_ms)
    residual_ms = 0 if free_slots > 0 else run_ms / slots
    wait_ms = ahead_ms / slots + residual_ms
    left_ms = ask.deadline_ms - now_ms - wait_ms
    return Estimate(wait_ms, left_ms >= RUN_MARGIN * run_ms)


def retry_after_ms(total_backlog_ms, run_ms, slots, random):
    """When it helps to come back: what waits now has been served by then."""
    drained_ms = (total_backlog_ms + run_ms) / max(1, slots)
    wait_ms = max(MIN_RETRY_AFTER_MS, drained_ms)
    return int(wait_ms * (1 + RETRY_JITTER * random.random()))


def may_displace(own_ms, heaviest_ms):
    """Whether a newcomer may displace the newest of the team with most waiting.

    Both are slot time that waits, by weight, the newcomer's own included. Places are
    shared by slot time as slots are: by number, a team of short requests would keep
    places for a few milliseconds of work, and turn away in each small burst.
    """
    return own_ms < heaviest_ms


def is_hopeless(ask, run_ms, now_ms):
    """Whether a waiting request could not be answered in time if it went now."""
    left_ms = ask.deadline_ms - now_ms
    return left_ms <= 0 or left_ms < run_ms
