"""How often a request may be sent again, as a share of the requests that come in.

Unlimited retries multiply the load on the targets that are left when some of them fail.

A first attempt earns ``FAILED_SHARE`` of a retry after a failure and ``REFUSED_SHARE``
of one after a refusal. A tenth more load is what runners at nine tenths of capacity can
bear; a refusal costs a runner next to nothing, so half of the requests may meet one.
The buckets hold ``BURST``, which lets a service with few requests retry at all. Nothing
is tried more than ``MAX_ATTEMPTS`` times, and no failure is retried while others wait.
"""

FAILURE_RETRY_SHARE = 0.1
REFUSAL_RETRY_SHARE = 0.5
BURST = 10.0
MAX_ATTEMPTS = 4


class Budget:
    """Retries that may be made now, of one service."""

    def __init__(self):
        self._failure_tokens = BURST
        self._refusal_tokens = BURST

    def earn(self):
        """A first attempt was granted."""
        self._failure_tokens = min(BURST, self._failure_tokens + FAILURE_RETRY_SHARE)
        self._refusal_tokens = min(BURST, self._refusal_tokens + REFUSAL_RETRY_SHARE)

    def try_spend(self, attempt, was_refused, others_wait):
        """Whether attempt number ``attempt`` may be made; takes it off the budget."""
        if attempt > MAX_ATTEMPTS:
            return False
        if was_refused:
            has_token = self._refusal_tokens >= 1
            self._refusal_tokens -= has_token
            return has_token
        if others_wait:
            return False
        has_token = self._failure_tokens >= 1
        self._failure_tokens -= has_token
        return has_token
