"""The usable workers of each service, and those with freed capacity."""

from alderreach.decisions.cell import pools, workers
from tools import virtual_parts


def make_workers(number):
    """Workers w0, w1 and so on, each with more processors than the previous one."""
    result = {}
    for n in range(number):
        worker = workers.Worker(virtual_parts.worker(n, 1000 * (n + 1)), 0, 0)
        worker.has_seen_epoch = True
        worker.record_heartbeat(clock_ms=-1, received_ms=0)
        result[worker.target_id] = worker
    return result


def names(some):
    return [worker.target_id for worker in some]


def test_workers_with_most_free_processors_come_first():
    index = pools.Pools(make_workers(3))
    assert index.refresh(0) == ({"w0", "w1", "w2"}, set())
    assert names(index.usable(virtual_parts.POOL)) == ["w2", "w1", "w0"]
    assert names(index.usable_among(virtual_parts.POOL, ["w1", "w9"])) == ["w1"]
    assert index.usable("other") == ()


def test_a_usable_worker_that_changed_counts_as_one_that_became_usable():
    """Guards against a step that waits for good, as its permission to run on a worker
    that has grown is never asked for.
    """
    index = pools.Pools(make_workers(2))
    index.refresh(0)
    index.on_worker_changed("w1")
    assert index.refresh(1) == ({"w1"}, set())
    assert index.refresh(1 + pools.REFRESH_MS) == (set(), set())


def test_a_worker_that_becomes_usable_counts_as_freed():
    """Guards against workers that stay idle after a partition has healed."""
    all_workers = make_workers(2)
    index = pools.Pools(all_workers)
    all_workers["w1"].failures = 1
    index.refresh(0)
    assert names(index.pop_freed()) == ["w0"]
    assert index.pop_freed() == []
    all_workers["w1"].failures = 0
    assert index.refresh(pools.REFRESH_MS) == ({"w1"}, set())
    assert names(index.pop_freed()) == ["w1"]


def test_a_removed_worker_is_dropped_at_the_next_pass():
    """Guards against starts on a worker that has just been removed."""
    all_workers = make_workers(2)
    index = pools.Pools(all_workers)
    index.refresh(0)
    index.mark_freed("w1")
    del all_workers["w1"]
    index.on_worker_changed("w1")
    assert index.refresh(1) == (set(), {"w1"})
    assert names(index.usable(virtual_parts.POOL)) == ["w0"]
    assert names(index.pop_freed()) == ["w0"]
