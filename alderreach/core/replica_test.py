"""Tests that a follower's copy only moves forward and never skips a version."""

from alderreach.core import replica
from alderreach.core.generated import common, keeper


def push(first, last, *items):
    return keeper.ItemsPush(first, last, last, list(items))


def test_applies_in_order_and_deletes():
    one = common.Item("team/a", 1, b"1")
    copy, changed = replica.apply(replica.EMPTY, push(0, 1, one))
    assert (copy.version, changed) == (1, [one])
    gone = common.Item("team/a", 2, None)
    copy, changed = replica.apply(copy, push(1, 2, gone))
    assert (copy.version, copy.items, changed) == (2, {}, [gone])


def test_late_and_gapped_pushes_change_nothing():
    copy = replica.Replica(5, {})
    old = common.Item("team/a", 4, b"old")
    assert replica.apply(copy, push(0, 5, old)) == (copy, [])
    assert replica.apply(copy, push(7, 9, old._replace(version=8))) == (copy, [])


def test_a_copy_that_missed_deletions_is_replaced_by_a_newer_full_one():
    kept = common.Item("team/a", 1, b"1")
    gone = common.Item("team/b", 2, b"2")
    new = common.Item("team/c", 8, b"3")
    copy = replica.Replica(2, {"team/a": kept, "team/b": gone})
    whole = keeper.ItemsReplaced(9, [kept, new])
    replaced, changed = replica.replace(copy, whole)
    assert replaced == (9, {"team/a": kept, "team/c": new})
    assert changed == [gone._replace(version=9, value=None), new]
    assert replica.replace(replaced, whole) == (replaced, [])
