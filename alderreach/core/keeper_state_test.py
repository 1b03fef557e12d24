"""Tests for the replicated map: compare-and-set, grants, changes and snapshots."""

from alderreach.core import codec, keeper_dump, keeper_state
from alderreach.core.generated import common, keeper


def write(state, *writes, key="", author="ana", guard=("", 0)):
    writes = [keeper.ItemWrite(*one) for one in writes]
    command = keeper.WriteItems(key, author, writes, *guard, 0)
    return keeper_state.apply(state, command, state.index + 1, 1000)


def grant(state, placer, epoch):
    command = keeper.GrantOwnership("d", placer, "b", "", "", epoch, False)
    return keeper_state.apply(state, command, state.index + 1, 1000)


def test_of_two_writers_with_equal_versions_one_wins_and_the_other_sees_its_author():
    state = keeper_state.State()
    first = write(state, ("team/a", 0, b"1"))
    assert write(state, ("team/a", first.version, b"2")).status == "accepted"
    lost = write(state, ("team/b", 0, b"x"), ("team/a", first.version, b"3"))
    assert lost.conflicts == [keeper.ItemConflict("team/a", 2, "ana")]
    assert "team/b" not in state.items


def test_base_versions_of_deleted_and_missing_items():
    state = keeper_state.State()
    assert write(state, ("team/a", 5, b"1")).status == "conflict"
    write(state, ("team/a", -1, b"1"))
    write(state, ("team/a", 1, None))
    assert write(state, ("team/a", 1, b"2")).status == "conflict"
    assert write(state, ("team/a", 0, b"2")).status == "accepted"


def test_a_resend_gets_the_first_result_and_another_write_with_its_key_is_refused():
    state = keeper_state.State()
    first = write(state, ("team/a", 0, b"1"), key="k")
    assert write(state, ("team/a", 0, b"1"), key="k") == first
    assert write(state, ("team/a", 0, b"2"), key="k").status == "key_reused"
    assert state.version == 1


def test_a_guarded_write_needs_the_current_epoch():
    state = keeper_state.State()
    assert grant(state, "p1", 0).owner.epoch == 1
    assert write(state, ("s/1", -1, b""), guard=("d", 1)).status == "accepted"
    grant(state, "p2", 1)
    assert write(state, ("s/1", -1, b""), guard=("d", 1)).status == "stale_epoch"


def test_of_two_grants_from_one_epoch_one_wins_and_its_resend_too():
    state = keeper_state.State()
    assert grant(state, "p1", 0).status == "granted"
    lost = grant(state, "p2", 0)
    assert (lost.status, lost.owner.placer) == ("raced", "p1")
    assert grant(state, "p1", 0).status == "granted"
    owner = codec.decode(state.items["owner/d"].value, common.Owner)
    assert owner.epoch == 1


def test_changes_are_chunked_without_splitting_a_version():
    state = keeper_state.State()
    write(state, ("a/1", -1, b""), ("a/2", -1, b""), ("b/1", -1, b""))
    write(state, ("a/1", -1, None))
    write(state, ("a/3", -1, b""))
    reached, items = keeper_state.changes_after(state, 0, ["a/"], 1)
    assert (reached, [item.key for item in items]) == (1, ["a/2"])
    reached, items = keeper_state.changes_after(state, 1, ["a/"], 10)
    assert (reached, [(i.key, i.value) for i in items]) == (
        3,
        [("a/1", None), ("a/3", b"")],
    )


def test_history_stays_bounded_when_one_item_changes_often():
    state = keeper_state.State()
    for number in range(3000):
        write(state, ("a/1", -1, b"%d" % number))
    assert len(state.history) <= keeper_state.HISTORY_SLACK + 2
    assert keeper_state.changes_after(state, 2990, ["a/"], 9)[1][0].value == b"2999"


def test_a_loaded_dump_equals_its_state():
    state = keeper_state.State()
    write(state, ("a/1", -1, b"1"), key="k")
    write(state, ("a/1", 1, None))
    for number in range(keeper_dump.RECORD_ENTRIES + 1):
        intent = keeper.RecordIntent(f"k{number}", "s", "d", "e", "b", "r", 0)
        keeper_state.apply(state, intent, state.index + 1, 2000)
    loaded = keeper_dump.load(list(keeper_dump.dump(state)))
    assert list(keeper_dump.dump(loaded)) == list(keeper_dump.dump(state))
    assert loaded.history == [entry for entry in state.history if entry[0] == 2]


def test_a_tombstone_is_dropped_after_the_lifetime_and_raises_the_floor():
    state = keeper_state.State()
    state.keys.lifetime_ms = 500
    write(state, ("a/1", -1, b"1"))
    write(state, ("a/1", -1, None))
    write(state, ("a/2", -1, b"2"))
    policy = keeper.KeeperPolicy(500)
    keeper_state.apply(state, policy, state.index + 1, 1499)
    assert state.floor_version == 0 and "a/1" in state.items
    keeper_state.apply(state, policy, state.index + 1, 1500)
    assert state.floor_version == 2 and "a/1" not in state.items
    loaded = keeper_dump.load(list(keeper_dump.dump(keeper_dump.copy(state))))
    assert loaded.floor_version == 2
    assert [
        item.key for item in keeper_state.changes_after(state, 0, ["a/"], 9)[1]
    ] == ["a/2"]
    assert write(state, ("a/1", 2, b"3")).status == "conflict"
    assert write(state, ("a/1", 0, b"3")).status == "accepted"


def test_a_job_resubmitted_with_an_expired_key_is_not_accepted_again():
    """A job of last week must not run again when its submission is resent.

    The item for the job's idempotency key is dropped after the lifetime, so that the
    state stays bounded. The key is still refused, also after a restart from a snapshot.
    """
    state = keeper_state.State()
    state.keys.lifetime_ms = 500
    write(state, ("submission/a/k", 0, b"job-1"))
    policy = keeper.KeeperPolicy(500)
    keeper_state.apply(state, policy, state.index + 1, 1499)
    assert "submission/a/k" in state.items
    keeper_state.apply(state, policy, state.index + 1, 1500)
    assert "submission/a/k" not in state.items and not state.expiring
    loaded = keeper_dump.load(list(keeper_dump.dump(keeper_dump.copy(state))))
    for kept in (state, loaded):
        refused = write(kept, ("job/d/2", 0, b""), ("submission/a/k", 0, b"job-2"))
        assert refused.status == "conflict" and "job/d/2" not in kept.items
