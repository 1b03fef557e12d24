"""A stand-in for the platform's permission service, with its published protocol.

It decides which workers may run a step, takes a configured time for each query, and
issues tickets that expire, at the latest with the incarnation of their worker. The
queries on one connection are served in order.
"""

import json
import threading
import time
import typing

from alderreach.utils import http_server

LIMITS = http_server.HttpLimits(16, 16384, 1 << 20, 5000)


class Rule(typing.NamedTuple):
    """How the service decides on a queue; the fields are those of the configuration."""

    decision_ms: float
    per_worker_ms: float
    validity_ms: float


class PermissionService:
    """Serves ``/-/advise``; ``may_run(step, worker)`` has to be deterministic."""

    def __init__(self, address, rule, may_run):
        self._rule = rule
        self._may_run = may_run
        self._lock = threading.Lock()
        self._expiry_s = {}
        self._server = http_server.HttpServer(address, self._application, LIMITS)

    def close(self):
        """Stop serving."""
        self._server.close()

    def is_valid(self, ticket, task, worker):
        """Whether a ticket currently allows starting a task on a worker."""
        key = (task.rpartition(".")[0], worker, ticket)
        with self._lock:
            return time.monotonic() < self._expiry_s.get(key, 0)

    def revoke_tickets(self, worker):
        """Revoke all tickets for a worker, as its incarnation has ended."""
        with self._lock:
            for key in [key for key in self._expiry_s if key[1] == worker]:
                del self._expiry_s[key]

    def _application(self, environ, start_response):
        body = json.loads(environ["wsgi.input"].read())
        step, workers = body["step"], body["workers"]
        rule = self._rule
        time.sleep((rule.decision_ms + rule.per_worker_ms * len(workers)) / 1000)
        expiry_s = time.monotonic() + rule.validity_ms / 1000
        good = [[w, f"t-{w}-{expiry_s}"] for w in workers if self._may_run(step, w)]
        with self._lock:
            self._expiry_s |= {(step, w, ticket): expiry_s for w, ticket in good}
        data = json.dumps({"good": good}).encode()
        start_response("200 OK", [("Content-Length", str(len(data)))])
        return [data]
