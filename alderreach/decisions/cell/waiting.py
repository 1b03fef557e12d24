"""What a step that could run waits for, in a word that a log can hold.

Failure answered: a step stands still beside idle workers, and nothing tells whether its
leader believes that it may not start yet, that nobody permits it, or that there is no
room. The word is the first of these that holds:

- ``WORKERS``: no worker in good health could ever hold one of its tasks.
- ``ANSWER``: a question to the permission service is on its way.
- ``QUESTION``: there are workers that nobody asked about, and no question is out.
- ``PERMISSION``: everybody was asked about, and nobody may run it.
- ``ROOM``: the workers that may run it have too little room.
- ``ITSELF``: a gang whose former run is not over yet.

>>> cause(Standing(31, 120, 12, 9, 0, 146, False, True))
'question'
"""

import typing

WORKERS = "workers"
ANSWER = "answer"
QUESTION = "question"
PERMISSION = "permission"
ROOM = "room"
ITSELF = "itself"


class Standing(typing.NamedTuple):
    """How a waiting step stands; counts of tasks and of workers."""

    waiting: int
    """Tasks that have not started."""
    usable: int
    """Workers in good health that could hold a task if they were empty."""
    permitted: int
    """Those of them that may run the step now; all if it has no such rule."""
    with_room: int
    """Those of the permitted on which one more task fits now."""
    denied: int
    """Workers that the permission service turned down."""
    unasked: int
    """Usable workers that the permission service was not asked about."""
    is_asking: bool
    is_gang: bool
    is_partly_placed: bool = False
    """Whether other tasks of the step still run, which keeps a gang waiting."""


def cause(standing):
    """What a step waits for, as one of this module's words."""
    if not standing.usable:
        return WORKERS
    if standing.is_gang and standing.is_partly_placed:
        return ITSELF
    if standing.is_asking:
        return ANSWER
    if standing.unasked:
        return QUESTION
    if not standing.permitted:
        return PERMISSION
    return ROOM
