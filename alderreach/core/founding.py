"""Founding of a cell: its first membership, and why a lost disk can't found another.

A keeper with an empty data folder can't tell from its disk whether its cell is new or
whether it lost the disk of an existing one. These rules were considered:

- *An operator runs a ``bootstrap`` command.* This is safe if it is used once. If it is
  repeated by mistake on a VM whose disk was lost, it creates a second, empty cell that
  accepts jobs.
- *A majority of blank keepers founds the cell.* If two domains with three blank voters
  are partitioned, or three disks out of five are lost, a second cell would be founded
  beside the first.
- *All keepers in the settings answer, and all are blank.* This rule is used. A voter
  that still has its log answers ``formed``, and an unreachable one does not answer;
  either prevents the founding. A cell is therefore founded only if all disks are blank
  and no data can be lost. The cost is that a new cell needs all its first keepers once.

The founder is the keeper whose name sorts first. It writes the membership, with the
identities it just received, as entry 1 in a term above all known terms, and requests
votes. The other blank keepers answer messages for their identity like any voter: an
identity created with an empty disk has not made any earlier promise.

If the founder loses its disk during the founding, it returns with a new identity and
may found the cell again only if all others are still blank. If its first entry 1 is
still in flight to one of them, the two foundings differ in term and share all voters
except the founder itself. Two majorities always share one of those voters, so at most
one founding commits.

A keeper that finds the cell formed only sends hellos until the leader adds it as a
learner. If a voter has its name, the leader replaces that voter once the learner has
caught up (``membership.next_repair``).
"""

import typing

from alderreach.core.generated import keeper

MAX_ANSWER_AGE_MS = 2000


class HelloAnswer(typing.NamedTuple):
    """The answer to a hello and its arrival time."""

    reply: keeper.KeeperHelloReply
    received_ms: int


def founding_members(me, peers, answers, now_ms):
    """Return the membership of a new cell, or None while founding is not allowed.

    ``me`` is this keeper as a Member, ``peers`` maps the names of all other keepers to
    addresses, and ``answers`` maps names to ``HelloAnswer``.
    """
    if any(name < me.name for name in peers):
        return None
    members = [me]
    for name, address in sorted(peers.items()):
        answer = answers.get(name)
        if (
            answer is None
            or now_ms - answer.received_ms > MAX_ANSWER_AGE_MS
            or answer.reply.formed
        ):
            return None
        identity = answer.reply.identity
        members.append(keeper.Member(identity, name, address, True, False))
    return members


def founding_term(own_term, answers):
    """Return a term above all known terms."""
    return max([own_term, *(answer.reply.term for answer in answers.values())]) + 1
