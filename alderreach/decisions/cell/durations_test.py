"""Learned factors between estimates and durations, and the time a step has left."""

import random

from alderreach.core import cell_state
from alderreach.core.generated import cell, common
from alderreach.decisions.cell import durations

QUEUE = cell.QueueConfig("q", "h", "/q/", "pool", 0, 2, 2.0, 500, 3000, None)


def test_factor_and_spread_follow_the_runs_once_there_are_eight():
    """Guards against decisions by one step's error, and by a first guess for good."""
    rng, learned = random.Random(1), durations.QueueDurations()
    for _run in range(7):
        learned.observe("q", 5.0)
    assert (learned.factor("q"), learned.spread("q")) == (1.0, 0.0)
    for _run in range(600):
        learned.observe("q", 0.7 * rng.lognormvariate(0, 0.5))
    assert 0.6 < learned.factor("q") < 0.82
    assert 0.4 < learned.spread("q") < 0.6


def test_a_step_has_less_time_for_slow_workers_the_later_it_starts():
    """Guards against a job that is late because its first step took all of its time."""
    steps = [
        cell.Step(1, common.Resources(1, 1, 0), 1, after, *cell_state.NO_STEP_OPTIONS)
        for after in ([], [0])
    ]
    allowed = lambda number, elapsed_ms: (
        durations.SAFETY
        * durations.slowest_in_time(QUEUE, steps, number, [1000, 500], elapsed_ms)
    )
    assert allowed(0, 0) == 3.0
    assert allowed(0, 2000) == 1.0
    assert allowed(1, 2000) == 3.0
    assert allowed(1, 9000) < 0
