"""Tells workers that lose calls from those that are silent, slow or healthy.

A worker loses calls if it leaves some of them without an answer, but answers others
that are sent later. Calls to it are sent in several copies at once, since each copy may
be lost independently, and it is polled at short intervals instead of waiting for its
answer. One lost call proves little: a connection may have become silent.
"""

# A worker loses calls if this many were lost within MEMORY_MS, and for that long after.
MIN_LOSSES = 2
MEMORY_MS = 3000
# If half of all calls are lost, three copies have an answer seven times out of eight.
COPIES = 3


class CallLosses:
    """The calls that one worker has lost.

    >>> losses = CallLosses()
    >>> losses.record(100)
    >>> losses.copies(100)
    1
    >>> losses.record(200)
    >>> losses.copies(200), losses.copies(3300)
    (3, 1)
    """

    __slots__ = ("_last_ms", "_until_ms")

    def __init__(self):
        self._last_ms = []
        self._until_ms = 0

    def record(self, now_ms):
        """Record that a call was lost, though a later one was answered."""
        self._last_ms = [*self._last_ms, now_ms][-MIN_LOSSES:]
        is_recent = now_ms - self._last_ms[0] < MEMORY_MS
        if now_ms < self._until_ms or (len(self._last_ms) == MIN_LOSSES and is_recent):
            self._until_ms = now_ms + MEMORY_MS

    def is_losing(self, now_ms):
        """Whether the worker loses calls."""
        return now_ms < self._until_ms

    def copies(self, now_ms):
        """In how many copies a call is sent."""
        return COPIES if self.is_losing(now_ms) else 1
