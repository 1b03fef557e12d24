"""How often workers that lose calls are polled."""

import types

from alderreach.decisions.cell import call_losses
from alderreach.ops.controller import lost_calls


def gap_ms(losing_workers, losses=call_losses.MIN_LOSSES):
    worker = types.SimpleNamespace(losses=call_losses.CallLosses())
    for _loss in range(losses):
        worker.losses.record(1000)
    leader = types.SimpleNamespace(losing_workers=losing_workers)
    return lost_calls.poll_gap_ms(leader, worker, 1000)


def test_a_worker_that_loses_no_calls_is_polled_at_once():
    assert gap_ms(10_000, losses=0) == 0


def test_many_workers_that_lose_calls_are_polled_less_often():
    """Guards against a leader that is busy with polls alone."""
    assert gap_ms(20) == lost_calls.SHORT_POLL_GAP_MS
    assert gap_ms(200) == 400


def test_leases_do_not_lapse_for_want_of_polls():
    """Guards against thousands of workers that end their runs at the same time."""
    assert gap_ms(10_000) == lost_calls.MAX_SHORT_POLL_GAP_MS
