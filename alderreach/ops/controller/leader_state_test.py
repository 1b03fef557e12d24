"""Decisions on their way into the log, and what may be told before they are there."""

from tools import virtual_cell, virtual_parts


def test_what_repeats_an_uncommitted_decision_waits_for_its_commit():
    """An accepted job is unknown to the next leader. It was handed in twice; the second
    request came while the first was on its way into the log, was answered after a round
    of voters that shows who leads and not what they hold, and the leader was lost
    before the job was committed.
    """
    virtual = virtual_cell.VirtualCell([virtual_parts.queue("q")], [])
    virtual.run_until(500)
    leader, calls = virtual.leading.leader, []
    leader.decide(lambda: calls.append("first"), gone=["nobody"])
    _batch, effects = leader.pop_batch()
    leader.after_commit(lambda: calls.append("second"))
    virtual.run_until(1_000)
    assert calls == []
    for effect in effects:
        effect()
    assert calls == ["first", "second"]
    leader.after_commit(lambda: calls.append("third"))
    virtual.run_until(1_500)
    assert calls == ["first", "second", "third"]


def test_what_waits_for_a_batch_that_could_not_be_logged_waits_for_the_next():
    """A leader that hands over takes nothing into its log; what it decided goes into
    the next batch with all that waits for it, in order.
    """
    virtual = virtual_cell.VirtualCell([virtual_parts.queue("q")], [])
    virtual.run_until(500)
    leader, calls = virtual.leading.leader, []
    leader.decide(lambda: calls.append("first"), gone=["nobody"])
    batch, effects = leader.pop_batch()
    leader.requeue_batch(batch, effects)
    leader.after_commit(lambda: calls.append("second"))
    batch, effects = leader.pop_batch()
    assert len(batch.changes) == 1
    for effect in effects:
        effect()
    assert calls == ["first", "second"]


def test_a_large_cells_workers_are_tended_in_turn():
    """Guards against workers of a large cell whose leases nobody watches."""
    records = [virtual_parts.worker(number, 1_000) for number in range(5)]
    virtual = virtual_cell.VirtualCell([virtual_parts.queue("q")], records)
    leader = virtual.leading.leader
    assert len(leader.next_to_check(5)) == 5
    checked = [w.target_id for _tick in range(5) for w in leader.next_to_check(2)]
    assert sorted(checked) == sorted(2 * list(leader.workers))
    leader.drop_worker("w3")
    checked = [w.target_id for _tick in range(4) for w in leader.next_to_check(2)]
    assert set(checked) == set(leader.workers)
