"""A sender checks the lease right before each send; no worker delays another."""

import queue
import threading

from alderreach.core import ownership
from alderreach.ops import target_wire
from alderreach.ops.placer import sender
from alderreach.utils import clocks

UNREACHABLE_ADDRESS = "127.0.0.1:9"
HANGING_WORKERS = 64


def outcome_of(epoch, now_ms):
    fake = clocks.FakeClock(now_ms)
    results = queue.Queue()
    batch_sender = sender.Sender(
        lambda: ownership.Lease(3, 100), fake.clock, results.put, threads=1
    )
    batch_sender.put(target_wire.Batch("w1", UNREACHABLE_ADDRESS, "b1", epoch, 1, ()))
    result = results.get(timeout=5)
    batch_sender.close()
    return result


def test_batch_with_an_expired_lease_or_an_older_epoch_is_not_sent(monkeypatch):
    """A suspended process resumes with a queued batch after another became the owner.

    The batch must end as unsent, without any connection attempt.
    """
    tried = []
    monkeypatch.setattr(
        target_wire.WorkerClient,
        "send",
        lambda self, batch: (
            tried.append(batch) or target_wire.BatchResult(batch, "answered", (), 0)
        ),
    )
    assert outcome_of(epoch=3, now_ms=99).status == "answered"
    assert len(tried) == 1
    assert outcome_of(epoch=3, now_ms=100).status == "unsent"
    assert outcome_of(epoch=2, now_ms=50).status == "unsent"
    assert len(tried) == 1


def test_workers_that_hang_do_not_delay_the_commands_to_another(monkeypatch):
    """Guards against a task that runs on long after its stop was decided. The stop
    waited for a thread while other workers left their batches unanswered.
    """
    released = threading.Event()

    def send(_client, batch):
        if batch.worker_id != "healthy":
            released.wait()
        return target_wire.BatchResult(batch, "answered", (), 0)

    monkeypatch.setattr(target_wire.WorkerClient, "send", send)
    results = queue.Queue()
    batch_sender = sender.Sender(
        lambda: ownership.Lease(3, 100), clocks.FakeClock(50).clock, results.put
    )
    names = [*(f"w{number}" for number in range(HANGING_WORKERS)), "healthy"]
    for name in names:
        batch_sender.put(target_wire.Batch(name, UNREACHABLE_ADDRESS, "b1", 3, 1, ()))
    try:
        assert results.get(timeout=5).batch.worker_id == "healthy"
    finally:
        released.set()
        batch_sender.close()
