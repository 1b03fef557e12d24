"""How the HTTP threads of one entry are shared between what they may wait for.

A thread waits for a runner, for the keepers, or for another request under the same key.
If one kind could take all threads, a caller of another kind would not even hear that it
is turned away: its connection would lie in the server's queue until a thread came free.
"""

import typing


class Shares(typing.NamedTuple):
    """The most threads for each kind of wait; the rest turns callers away."""

    served: int
    keeper_requests: int
    key_waits: int


def divide(http_threads):
    """The shares of so many threads.

    >>> divide(96)
    Shares(served=64, keeper_requests=16, key_waits=8)
    """
    return Shares(
        max(1, http_threads * 2 // 3),
        max(1, http_threads // 6),
        max(1, http_threads // 12),
    )
