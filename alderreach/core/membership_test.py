"""Tests for the next membership change when voters are silent or missing."""

from alderreach.core import membership
from alderreach.core.generated import keeper


def team(*words):
    """Return members for words such as ``a`` (a voter) and ``d?`` (a learner)."""
    return [
        keeper.Member(word.strip("?"), word.strip("?"), "", "?" not in word, False)
        for word in words
    ]


def replacement(members, silent=(), behind=()):
    command = membership.next_replacement(
        members, 3, lambda name: name in silent, lambda name: name not in behind
    )
    return command and (command.action, command.identity)


def test_a_lost_voter_is_replaced_before_it_is_removed():
    """A VM is replaced by an empty one elsewhere. The learner must become a voter
    before the silent voter is removed.
    """
    assert replacement(team("a", "b", "c", "d?"), silent="a") == ("promote", "d")
    assert replacement(team("a", "b", "c", "d"), silent="a") == ("remove", "a")


def test_no_change_without_a_silent_voter_or_a_ready_learner():
    assert replacement(team("a", "b", "c", "d?")) is None
    assert replacement(team("a", "b", "c"), silent="a") is None
    assert replacement(team("a", "b", "c", "d?"), silent="a", behind="d") is None
    assert replacement(team("a", "b", "c", "d?"), silent="ad") is None


def test_a_voter_that_responds_again_keeps_its_vote():
    assert replacement(team("a", "b", "c", "d")) is None


def test_missing_voters_are_replaced():
    assert replacement(team("a", "b", "c?")) == ("promote", "c")


def test_a_repeated_change_is_accepted_and_changes_nothing():
    """Guards against a resent change that is refused since its first copy was made."""
    command = keeper.ChangeMembers("remove", "b", "", "")
    removed = membership.change(team("a", "b"), command).ok_value
    assert membership.change(removed, command).ok_value == removed == team("a")
    command = keeper.ChangeMembers("add_learner", "b", "b", "")
    added = membership.change(removed, command).ok_value
    assert membership.change(added, command).ok_value == added == team("a", "b?")
    promoted = membership.change(added, command._replace(action="promote")).ok_value
    assert membership.change(promoted, command).ok_value == promoted == team("a", "b")


def test_changes_that_contradict_the_membership_are_refused():
    members = team("a", "b")
    for command in (
        keeper.ChangeMembers("add_learner", "b", "b", "elsewhere:1"),
        keeper.ChangeMembers("add_learner", "b", "c", ""),
        keeper.ChangeMembers("promote", "c", "", ""),
    ):
        assert membership.change(members, command).is_err()
    last = keeper.ChangeMembers("remove", "a", "", "")
    assert membership.change(team("a", "b?"), last).is_err()
