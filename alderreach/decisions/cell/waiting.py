"""What a step that could run waits for, in a word that a log can hold.

The word is the first of these that holds:

- ``WORKERS``: no worker in good health could ever hold one of its tasks.
- ``ITSELF``: a gang of which some tasks still run or are done.
- ``TICKETS``: it may run on some, but their tickets have run out and are renewed.
- ``ANSWER``: room is short on those that may run it; others are being asked about.
- ``QUESTION``: so it is, nobody asked about others, and no question is out.
- ``PERMISSION``: everybody was asked about, and nobody may run it.
- ``ROOM``: all that may run it have too little room.

>>> cause(WaitState(31, 120, 12, 12, 9, 16, 92, False, True))
'question'
"""

import typing

WORKERS = "workers"
ITSELF = "itself"
TICKETS = "tickets"
ANSWER = "answer"
QUESTION = "question"
PERMISSION = "permission"
ROOM = "room"


class WaitState(typing.NamedTuple):
    """How a waiting step stands; counts of tasks and of workers."""

    waiting: int
    """Tasks that have not started."""
    usable: int
    """Workers in good health that could hold a task if they were empty."""
    granted: int
    """Those of them that the step was ever let run on; all if it has no such rule."""
    permitted: int
    """Those of them with a ticket that is good now; all if it has no such rule."""
    with_room: int
    """Those of the permitted on which one more task fits now."""
    denied: int
    """Workers that were turned down, also such as are not usable any more."""
    unasked: int
    """Usable workers that the permission service was not asked about."""
    is_asking: bool
    is_gang: bool
    is_partly_placed: bool = False
    """Whether other tasks of the step run or are done, which keeps a gang waiting."""


def cause(standing):
    """What a step waits for, as one of this module's words."""
    if not standing.usable:
        return WORKERS
    if standing.is_gang and standing.is_partly_placed:
        return ITSELF
    if standing.granted and not standing.permitted:
        return TICKETS
    if standing.unasked:
        return ANSWER if standing.is_asking else QUESTION
    return ROOM if standing.granted else PERMISSION
