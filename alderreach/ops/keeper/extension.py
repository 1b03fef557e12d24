"""What a keeper offers to a part that decides by its log, and calls on it.

The part runs on the keeper's own task: what it decides, what is logged and what is
applied follow each other in one thread, so a decision is never made on a state that
another thread is changing. It has these methods, all called by the task:

- ``handle(mail)``: take mail that is not the keeper's, from its own threads.
- ``deliver(received)``: take a peer's message that is not the keeper's.
- ``tick(now_ms)``: let time pass.
- ``before_write(now_ms)``: propose what was decided since the last call.
- ``on_applied(index, term)``: the entry at ``index`` is committed and applied.
"""

import typing


class Port(typing.NamedTuple):
    """The keeper's side; all of it is for the task's thread but ``put``.

    ``propose(data)`` returns the index of the entry or None if it surely was not
    appended. ``confirm(answer, refuse)`` calls one of them once a round of voters has
    confirmed the leadership, or the leadership is lost. ``leader_address()`` is the
    leader's peer address or empty.
    """

    node: typing.Any
    get_state: typing.Callable
    propose: typing.Callable
    confirm: typing.Callable
    leader_address: typing.Callable
    put: typing.Callable
