"""The cause for which a ready step waits, as one word for logs and metrics.

The cause is the first of these that applies:

- ``WORKERS``: no healthy worker could hold one of its tasks, even if idle.
- ``ITSELF``: a gang of which some tasks are still running or done.
- ``TICKETS``: the tickets for its permitted workers have expired and are renewed.
- ``ANSWER``: its permitted workers, if any, lack capacity; others are being queried.
- ``QUESTION``: as before, but the others are not being queried.
- ``PERMISSION``: it was denied all workers.
- ``ROOM``: its permitted workers lack capacity, and no others are left to query.

``CAP`` stands beside them: its customer has as much running as it may, and nothing else
matters.

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
CAP = "cap"


class WaitState(typing.NamedTuple):
    """The state of a waiting step, as counts of tasks and workers."""

    waiting: int
    """Tasks that have not started."""
    usable: int
    """Healthy workers that could hold a task if they were idle."""
    granted: int
    """Those of them that the step was ever permitted; all if it has no such rule."""
    permitted: int
    """Those of them with a valid ticket; all if it has no such rule."""
    with_room: int
    """Those of the permitted workers on which one more task fits now."""
    denied: int
    """Workers that the step was denied, including those that are no longer usable."""
    unasked: int
    """Usable workers for which the permission service was not queried."""
    is_asking: bool
    is_gang: bool
    is_partly_placed: bool = False
    """Whether other tasks of the step are running or done, so that a gang waits."""


def cause(state):
    """The cause for which a step waits, one of this module's constants."""
    if not state.usable:
        return WORKERS
    if state.is_gang and state.is_partly_placed:
        return ITSELF
    if state.granted and not state.permitted:
        return TICKETS
    if state.unasked:
        return ANSWER if state.is_asking else QUESTION
    return ROOM if state.granted else PERMISSION
