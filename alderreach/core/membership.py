"""The membership of the keepers: voters, learners and the permitted changes.

A membership is a list of ``keeper.Member``. It changes by one voter at a time, so that
any majority of the old membership shares a voter with any majority of the new one.
"""

import math

from result import Err, Ok, Result

from alderreach.core.generated import keeper


def voters(members):
    """Return the identities of the voters as a list."""
    return [member.identity for member in members if member.voter]


def find(members, identity):
    """Return the member with this identity, or None."""
    return next((m for m in members if m.identity == identity), None)


def quorum(members):
    """Return how many voters make a majority."""
    return len(voters(members)) // 2 + 1


def quorum_value(members, value_of):
    """Return the highest value that a majority of the voters has reached.

    >>> team = [keeper.Member(str(n), "", "", True, False) for n in range(3)]
    >>> quorum_value(team, {"0": 9, "1": 4, "2": 7}.get)
    7
    """
    values = sorted((value_of(identity) for identity in voters(members)), reverse=True)
    return values[quorum(members) - 1]


def change(members, command) -> Result:
    """Apply a ``ChangeMembers``; returns ``Ok(members)`` or ``Err(reason)``.

    A change that has been made already is accepted and changes nothing, since requests
    are sent again when their answer was lost.
    """
    present = find(members, command.identity)
    if command.action == "add_learner":
        if present is None:
            return Ok(add_learner(members, command))
        if (present.name, present.address) == (command.name, command.address):
            return Ok(members)
        return Err("this identity is a member already")
    if command.action == "remove" and present is None:
        return Ok(members)
    if present is None:
        return Err("no member has this identity")
    if command.action == "promote":
        return Ok(_replace(members, present._replace(voter=True, promote=False)))
    if command.action == "remove":
        rest = [member for member in members if member is not present]
        return Ok(rest) if voters(rest) else Err("the last voter can't be removed")
    return Err(f"no such action: {command.action}")


def add_learner(members, joining):
    """Add a keeper as a learner, replacing any learner of the same name.

    If a voter, or a learner due for promotion, has this name, the keeper lost its disk
    and is to be promoted once it has caught up.
    """
    same = [member for member in members if member.name == joining.name]
    promote = any(member.voter or member.promote for member in same)
    rest = [member for member in members if member.voter or member not in same]
    learner = keeper.Member(
        joining.identity, joining.name, joining.address, False, promote
    )
    return [*rest, learner]


def next_repair(members, is_caught_up, wanted=math.inf):
    """Return the next change that restores a keeper whose disk was lost, or None.

    Once the learner has caught up, its old identity is removed, then the learner is
    promoted, unless ``wanted`` others are voters by then: one more would raise the
    quorum. Doing both in one step would change two voters at once: the majorities
    {1, 2, 3} of {1, 2, 3, 4, 5} and {3', 4, 5} of {1, 2, 3', 4, 5} share no voter.
    """
    for member in members:
        if not member.promote or not is_caught_up(member.identity):
            continue
        for other in members:
            if other.voter and other.name == member.name:
                return _command("remove", other)
        if len(voters(members)) < wanted:
            return _command("promote", member)
    return None


def next_replacement(members, wanted, is_silent, is_caught_up):
    """Return the next change towards ``wanted`` responsive voters, or None.

    A learner that has caught up is promoted before the silent voter is removed; in the
    opposite order there would be fewer voters in between.
    """
    silent = [m for m in members if m.voter and is_silent(m.identity)]
    surplus = len(voters(members)) - wanted
    ready = [
        m
        for m in members
        if not m.voter and is_caught_up(m.identity) and not is_silent(m.identity)
    ]
    if surplus > 0:
        return _command("remove", silent[0]) if silent else None
    if ready and (surplus < 0 or silent):
        return _command("promote", ready[0])
    return None


def _command(action, member):
    return keeper.ChangeMembers(action, member.identity, member.name, member.address)


def _replace(members, changed):
    return [changed if m.identity == changed.identity else m for m in members]
