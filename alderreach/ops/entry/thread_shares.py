"""How the HTTP threads of one entry are divided among the kinds of waits.

A thread waits for a runner, for the keepers, or for another request under the same key.
If one kind of wait could occupy all threads, requests of the other kinds could not even
be refused: their connections would stay in the server's queue until a thread was free.
"""

import typing


class Shares(typing.NamedTuple):
    """Maximum threads for each kind of wait; the others answer with refusals."""

    served: int
    keeper_requests: int
    key_waits: int


def divide(http_threads):
    """Return the shares of ``http_threads`` threads.

    >>> divide(96)
    Shares(served=64, keeper_requests=16, key_waits=8)
    """
    return Shares(
        max(1, http_threads * 2 // 3),
        max(1, http_threads // 6),
        max(1, http_threads // 12),
    )
