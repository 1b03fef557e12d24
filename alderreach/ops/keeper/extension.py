"""The interface between a keeper and an extension that replicates its decisions.

The extension runs on the keeper's task. Deciding, logging and applying take place in
one thread, so a decision is never based on a state that another thread is changing. The
task calls these methods of the extension:

- ``handle(message)``: handle a message from one of the extension's own threads.
- ``deliver(received)``: handle a peer's message that the keeper does not handle itself.
- ``tick(now_ms)``: do the work that is due.
- ``before_write(now_ms)``: propose the decisions made since the last call.
- ``on_applied(index, term)``: the entry at ``index`` was committed and applied.
"""

import typing

# The terms of keepers with an extension are this far apart, so a leader has numbers of
# its own between its term and the next: see ``LeaderState.next_fence``.
TERM_STEP = 1024


class Port(typing.NamedTuple):
    """What the keeper offers to the extension; only ``put`` is thread-safe.

    ``get_state()`` returns the replicated state. ``propose(data)`` returns the index of
    the entry, or None if it was certainly not appended. ``confirm(answer, refuse)``
    calls ``answer`` once a round of voters has confirmed the leadership, or ``refuse``
    if the leadership is lost first. ``leader_address()`` returns the leader's peer
    address, or "" if it is unknown. ``put(message)`` sends the task a message.
    """

    node: typing.Any
    get_state: typing.Callable
    propose: typing.Callable
    confirm: typing.Callable
    leader_address: typing.Callable
    put: typing.Callable
