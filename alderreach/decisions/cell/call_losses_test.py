"""Which workers lose calls."""

from alderreach.decisions.cell import call_losses


def losses_at(*times_ms):
    losses = call_losses.CallLosses()
    for time_ms in times_ms:
        losses.record(time_ms)
    return losses


def test_one_lost_call_proves_nothing():
    """Guards against copies of calls to a worker with one silent connection."""
    assert losses_at(1000).copies(1001) == 1
    assert losses_at(1000, 1000 + call_losses.MEMORY_MS).copies(4001) == 1


def test_a_worker_loses_calls_for_some_time_after_the_last_loss():
    losses = losses_at(1000, 1500)
    until_ms = 1500 + call_losses.MEMORY_MS
    assert losses.copies(until_ms - 1) == call_losses.COPIES
    assert losses.copies(until_ms) == 1


def test_each_further_loss_extends_that_time():
    losses = losses_at(1000, 1500, 4400)
    assert losses.is_losing(4400 + call_losses.MEMORY_MS - 1)
