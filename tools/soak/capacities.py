"""Changes what capacity the workers of a soak test have, as any machine may."""

import random
import time

from alderreach.core.generated import common

FULL = common.Resources(8000, 16384, 0)
SHARES = (0.25, 0.5, 0.75)
HOLDS_S = (0.4, 1.5, 4.0)
PAUSES_S = (0.3, 1.0)


class Capacities:
    """Random changes of the capacities of the workers of ``promises``.

    ``on_change(text)`` is called with each.
    """

    def __init__(self, promises, seed, on_change):
        self._promises = promises
        self._on_change = on_change
        self._rng = random.Random(f"capacities {seed}")

    def play(self, deadline_s):
        """Shrink workers until a time on the monotonic clock; then all have it back."""
        while time.monotonic() < deadline_s:
            time.sleep(self._rng.choice(PAUSES_S))
            self._shrink_one()
            time.sleep(self._rng.choice(HOLDS_S))
            self._restore()
        self._restore()

    def _shrink_one(self):
        share = self._rng.choice(SHARES)
        with self._promises.lock:
            worker = self._rng.choice(self._promises.workers)
            worker.capacity = FULL._replace(cpu_millis=int(share * FULL.cpu_millis))
        self._on_change(f"{worker.name} shrinks to {worker.capacity.cpu_millis}")

    def _restore(self):
        with self._promises.lock:
            for worker in self._promises.workers:
                if worker.capacity != FULL:
                    worker.capacity = FULL
                    self._on_change(f"{worker.name} has its full capacity")
