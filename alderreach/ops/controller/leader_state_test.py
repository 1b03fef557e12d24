"""Effects of decisions run only after the decisions are committed."""

from tools import virtual_cell, virtual_parts


def test_a_repeated_request_waits_for_the_commit_of_the_first():
    """Guards against an accepted job that the next leader does not know.

    A job was submitted twice. The second request arrived while the first was not yet
    committed, and was answered after a round of voters, which confirms the leadership
    but not the log. The leader was lost before the job was committed.
    """
    virtual = virtual_cell.VirtualCell([virtual_parts.queue("q")], [])
    virtual.run_until(500)
    leader, calls = virtual.term.leader, []
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


def test_effects_of_a_batch_that_was_not_logged_move_to_the_next():
    """A leader that is handing over leadership appends nothing to its log. Its
    decisions go into the next batch, together with their effects, in order.
    """
    virtual = virtual_cell.VirtualCell([virtual_parts.queue("q")], [])
    virtual.run_until(500)
    leader, calls = virtual.term.leader, []
    leader.decide(lambda: calls.append("first"), gone=["nobody"])
    batch, effects = leader.pop_batch()
    leader.requeue_batch(batch, effects)
    leader.after_commit(lambda: calls.append("second"))
    batch, effects = leader.pop_batch()
    assert len(batch.changes) == 1
    for effect in effects:
        effect()
    assert calls == ["first", "second"]


def test_workers_of_a_large_cell_are_checked_in_turn():
    """Guards against workers of a large cell whose leases are never checked."""
    records = [virtual_parts.worker(number, 1_000) for number in range(5)]
    virtual = virtual_cell.VirtualCell([virtual_parts.queue("q")], records)
    leader = virtual.term.leader
    assert len(leader.next_to_check(5)) == 5
    checked = [w.target_id for _tick in range(5) for w in leader.next_to_check(2)]
    assert sorted(checked) == sorted(2 * list(leader.workers))
    leader.drop_worker("w3")
    checked = [w.target_id for _tick in range(4) for w in leader.next_to_check(2)]
    assert set(checked) == set(leader.workers)
