"""How often a request may be sent again, as a share of the requests that come in.

Unlimited retries multiply the load on the targets that are left when some of them fail.

A first attempt earns ``FAILED_SHARE`` of a retry after a failure and ``REFUSED_SHARE``
of one after a refusal. A tenth more load is what runners at nine tenths of capacity can
bear; a refusal costs a runner next to nothing, so half of the requests may meet one.
The buckets hold ``BURST``, which lets a service with few requests retry at all. Nothing
is tried more than ``MAX_ATTEMPTS`` times, and no failure is retried while others wait.
"""

FAILED_SHARE = 0.1
REFUSED_SHARE = 0.5
BURST = 10.0
MAX_ATTEMPTS = 4


class Budget:
    """Retries that may be made now, of one service."""

    def __init__(self):
        self._failed = BURST
        self._refused = BURST

    def earn(self):
        """A first attempt was granted."""
        self._failed = min(BURST, self._failed + FAILED_SHARE)
        self._refused = min(BURST, self._refused + REFUSED_SHARE)

    def try_spend(self, attempt, was_refused, others_wait):
        """Whether attempt number ``attempt`` may be made; takes it off the budget."""
        if attempt > MAX_ATTEMPTS:
            return False
        if was_refused:
            has_token = self._refused >= 1
            self._refused -= has_token
            return has_token
        if others_wait:
            return False
        has_token = self._failed >= 1
        self._failed -= has_token
        return has_token
