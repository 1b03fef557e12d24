"""Which change of the voters comes next when some of them are silent or gone."""

from alderreach.core import membership
from alderreach.core.generated import keeper


def team(*words):
    """Members from words such as ``a`` (a voter) and ``d?`` (a learner)."""
    return [
        keeper.Member(word.strip("?"), word.strip("?"), "", "?" not in word, False)
        for word in words
    ]


def replacement(members, silent=(), behind=()):
    command = membership.next_replacement(
        members, 3, lambda name: name in silent, lambda name: name not in behind
    )
    return command and (command.action, command.identity)


def test_a_gone_voter_is_replaced_before_it_is_removed():
    """A VM is replaced by an empty one elsewhere. The learner gets a vote first; only
    then is the silent voter's vote taken away.
    """
    assert replacement(team("a", "b", "c", "d?"), silent="a") == ("promote", "d")
    assert replacement(team("a", "b", "c", "d"), silent="a") == ("remove", "a")


def test_nothing_changes_without_need_or_help():
    assert replacement(team("a", "b", "c", "d?")) is None
    assert replacement(team("a", "b", "c"), silent="a") is None
    assert replacement(team("a", "b", "c", "d?"), silent="a", behind="d") is None
    assert replacement(team("a", "b", "c", "d?"), silent="ad") is None


def test_a_voter_that_is_heard_again_keeps_its_vote():
    assert replacement(team("a", "b", "c", "d")) is None


def test_missing_voters_are_made_up_for():
    assert replacement(team("a", "b", "c?")) == ("promote", "c")
