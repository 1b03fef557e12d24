"""How a cell's first membership comes about, and why a lost disk can't found another.

A keeper with an empty data folder can't tell from its disk whether its cell is new or
whether it lost the disk of an old one. Weighed:

- *An operator says so* (a ``bootstrap`` command). Safe if used once; used again in
  haste on the VM with the lost disk it makes a second, empty cell that takes orders.
- *A majority of blank keepers founds the cell.* Two domains cut off with three blank
  voters, or three disks lost out of five, would found a second cell beside the first.
- *Chosen: only when every keeper of the settings answers, and every one is blank.*
  A voter that still has its log says ``formed``, one that can't be reached says
  nothing; both stop the founding. So it happens only where there is nothing to lose:
  all disks are blank. A fresh cell needs all its first keepers once.

The founder is the one whose name is first. It writes the membership, with the
identities just heard, as entry 1 in a term above all heard of, and asks for votes.
The blank others answer messages meant for their identity like any voter: an identity
made with an empty disk has promised nothing before.

If the founder loses its disk on the way, it comes back under a new identity and may
found again only if all others are still blank. Should its first entry 1 be still on
its way to one of them, the two foundings differ in term and share all voters but the
founder itself; two majorities always meet in one of those, so at most one commits.

A keeper that finds the cell formed does nothing but say hello until the leader takes
it in as a learner. Where its name is a voter's, the leader replaces that voter once
the learner has caught up (``membership.next_repair``).
"""

import typing

from alderreach.core.generated import keeper

MAX_ANSWER_AGE_MS = 2000


class HelloAnswer(typing.NamedTuple):
    """A hello's answer and when it came."""

    reply: keeper.KeeperHelloReply
    received_ms: int


def founding_members(me, peers, answers, now_ms):
    """The membership to found the cell with, or None while that is not allowed.

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
    """A term above every one heard of."""
    return max([own_term, *(answer.reply.term for answer in answers.values())]) + 1
