"""Limits retries of requests to a share of the first attempts.

Unlimited retries multiply the load on the remaining targets when some of them fail.

Each first attempt earns ``FAILURE_RETRY_SHARE`` of a retry after a failure and
``REFUSAL_RETRY_SHARE`` of a retry after a refusal. A tenth more load is what runners at
nine tenths of capacity can bear; a refusal costs a runner next to nothing, so half of
the requests may be retried after one. Both token buckets hold ``BURST``, so that a
service with few requests can retry at all. A request gets at most ``MAX_ATTEMPTS``
attempts, and no failure is retried while other requests wait.
"""

FAILURE_RETRY_SHARE = 0.1
REFUSAL_RETRY_SHARE = 0.5
BURST = 10.0
MAX_ATTEMPTS = 4


class Budget:
    """The token buckets for the retries of one service."""

    def __init__(self):
        self._failure_tokens = BURST
        self._refusal_tokens = BURST

    def earn(self):
        """Add the retry tokens that a first attempt earns."""
        self._failure_tokens = min(BURST, self._failure_tokens + FAILURE_RETRY_SHARE)
        self._refusal_tokens = min(BURST, self._refusal_tokens + REFUSAL_RETRY_SHARE)

    def try_spend(self, attempt, was_refused, others_wait):
        """Return whether attempt ``attempt`` may be made, and spend its token if so."""
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
