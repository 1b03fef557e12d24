"""Which keepers vote, which only learn, and the changes allowed from one to the next.

A membership is a list of ``keeper.Member``. It changes by one voter at a time, so that
any majority of the old one and any majority of the new one share a voter.
"""

from result import Err, Ok, Result

from alderreach.core.generated import keeper


def voters(members):
    """Identities of the voters, as a list."""
    return [member.identity for member in members if member.voter]


def find(members, identity):
    """The member with this identity, or None."""
    return next((m for m in members if m.identity == identity), None)


def quorum(members):
    """How many voters make a majority."""
    return len(voters(members)) // 2 + 1


def quorum_value(members, value_of):
    """The highest value that a majority of the voters has reached.

    >>> team = [keeper.Member(str(n), "", "", True, False) for n in range(3)]
    >>> quorum_value(team, {"0": 9, "1": 4, "2": 7}.get)
    7
    """
    values = sorted((value_of(identity) for identity in voters(members)), reverse=True)
    return values[quorum(members) - 1]


def change(members, command) -> Result:
    """The membership after a ``ChangeMembers``: ``Ok(members)`` or ``Err(reason)``."""
    present = find(members, command.identity)
    if command.action == "add_learner":
        if present is not None:
            return Err("this identity is a member already")
        return Ok(add_learner(members, command))
    if present is None:
        return Err("no member has this identity")
    if command.action == "promote":
        return Ok(_replace(members, present._replace(voter=True, promote=False)))
    if command.action == "remove":
        rest = [member for member in members if member is not present]
        return Ok(rest) if voters(rest) else Err("the last voter can't be removed")
    return Err(f"no such action: {command.action}")


def add_learner(members, joining):
    """Add a keeper as learner; it takes the place of a learner of the same name.

    If a voter or a learner due for promotion had this name, the keeper lost its disk:
    it is to be promoted once it has caught up.
    """
    same = [member for member in members if member.name == joining.name]
    promote = any(member.voter or member.promote for member in same)
    rest = [member for member in members if member.voter or member not in same]
    learner = keeper.Member(
        joining.identity, joining.name, joining.address, False, promote
    )
    return [*rest, learner]


def next_repair(members, is_caught_up):
    """The next change that brings back a keeper whose disk was lost, or None.

    Once the learner has caught up, its old self is removed, then it is promoted. Both
    in one step would change two voters at once: of {1, 2, 3, 4, 5} and {1, 2, 3', 4, 5}
    the majorities {1, 2, 3} and {3', 4, 5} share nobody.
    """
    for member in members:
        if not member.promote or not is_caught_up(member.identity):
            continue
        for other in members:
            if other.voter and other.name == member.name:
                return _command("remove", other)
        return _command("promote", member)
    return None


def next_replacement(members, wanted, is_silent, is_caught_up):
    """The next change towards ``wanted`` voters that answer, or None.

    A learner that has caught up is promoted first and the silent voter removed
    afterwards; the other way round there would be fewer voters in between.
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
