"""A stand-in for a platform worker, with its published protocol, on a loopback address.

It announces itself to controllers and carries out their calls; the behaviour is that of
``cell_worker``.
"""

import contextlib
import functools
import json
import threading
import time
import types

import urllib3

from alderreach.core import orders
from alderreach.core.generated import common
from alderreach.utils import clocks, http_server
from tools.standins import cell_worker

HEARTBEAT_S = 0.3
STEP_S = 0.01
# How long a restart waits for the address, which the last connections may still hold.
ADDRESS_WAIT_S = 10
# Delayed starts occupy their threads.
LIMITS = http_server.HttpLimits(64, 16384, 1 << 20, 5000)
STATUS_LINES = {200: "200 OK", 404: "404 Not Found", 409: "409 Conflict"}
STATUS_LINES |= {421: "421 Misdirected Request", 503: "503 Service Unavailable"}
REASONS = {
    orders.FENCED: "fence",
    orders.STALE_RUN: "old",
    orders.LEASE_EXPIRED: "late",
    orders.NO_TICKET: "ticket",
}


class World:
    """The environment that ``cell_worker`` needs: a clock, and no checks."""

    time = property(
        lambda self: types.SimpleNamespace(now_ms=clocks.SYSTEM.monotonic_ms())
    )

    def check_start(self, worker, order):
        """Check nothing: other workers are unknown."""

    def on_end_acknowledged(self, end):
        """Ignore acknowledged ends."""

    def on_run_ended(self, end):
        """Ignore ends."""

    def may_end(self, task):
        """Let every task end: none waits for others."""
        return True


class PlatformWorker:
    """One worker: a server, heartbeats and a thread that lets the tasks progress.

    ``world`` checks starts and is notified of ends; if it has a lock, that lock guards
    all workers of the world. The worker announces itself under ``announced_address``.
    ``start_delay_s()`` is called for each start: it is carried out and answered that
    much later, or never if the incarnation that received it ends before.
    """

    def __init__(
        self, name, address, controls, service="pool", work_ms=200, world=None
    ):
        self.name, self.address = name, address
        self.announced_address = address
        self.start_delay_s = lambda: 0.0
        self._controls = controls
        self._service = service
        world = world or World()
        self._lock = getattr(world, "lock", None) or threading.Lock()
        capacity = common.Resources(8000, 16384, 0)
        self.worker = cell_worker.Worker(world, name, capacity)
        self.worker.script = cell_worker.Script(work_ms)
        self._http = urllib3.PoolManager(retries=False, timeout=1)
        self._stopping = threading.Event()
        self._stack = contextlib.ExitStack()
        # Guards the listener, which a restart replaces while ``close`` may end it.
        self._listener_lock = threading.Lock()
        self._listener = None

    def start(self):
        """Serve and send heartbeats until ``close``."""
        self._listen()
        self._stack.callback(self._end_listener)
        for work in (self._send_heartbeats, self._run_steps):
            thread = threading.Thread(target=work, daemon=True)
            thread.start()
            self._stack.callback(thread.join, 5)
        self._stack.callback(self._stopping.set)
        return self

    def close(self):
        """Stop serving and sending heartbeats."""
        self._stack.close()

    def drain(self):
        """Announce from now on that the worker is draining."""
        with self._lock:
            self.worker.state = "draining"

    def leave(self):
        """End for good with all runs, withdraw the worker, and stop serving."""
        self.vanish()
        for control in self._controls:
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                url = f"http://{control}/-/instances/{self.name}"
                if self._http.request("DELETE", url).status == 200:
                    return

    def vanish(self):
        """End for good with all runs, without withdrawing the worker."""
        with self._lock:
            self.worker.crash()
        self.close()

    def restart(self):
        """Begin a new incarnation under the same id.

        Its listener is a new one: calls that the previous incarnation has received, or
        that wait in its connections, end with it. After ``close`` nothing restarts.
        """
        with self._listener_lock:
            if self._stopping.is_set():
                return
            self._listener.close()
            with self._lock:
                self.worker.restart()
                self.on_restarted()
            self._listen_again()

    def on_restarted(self):
        """Hook for subclasses: a new incarnation begins, and has received no call."""

    def on_started(self, order):
        """Hook for subclasses: a start has been carried out and is answered next."""

    def completed_runs(self):
        """The number of runs that have ended."""
        with self._lock:
            return self.worker.next_end - 1

    def _end_listener(self):
        with self._listener_lock:
            self._listener.close()

    def _listen(self):
        """Open the listener of the current incarnation."""
        application = functools.partial(self._application, self.worker.incarnation)
        self._listener = http_server.HttpServer(self.address, application, LIMITS)

    def _listen_again(self):
        deadline = time.monotonic() + ADDRESS_WAIT_S
        while True:
            try:
                self._listen()
                return
            except OSError:
                if time.monotonic() >= deadline or self._stopping.wait(STEP_S):
                    raise

    def _send_heartbeats(self):
        turn = 0
        while not self._stopping.wait(HEARTBEAT_S):
            turn += 1
            if self.worker.is_down:
                continue
            control = self._controls[turn % len(self._controls)]
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                self._http.request(
                    "PUT",
                    f"http://{control}/-/instances/{self.name}",
                    body=json.dumps(self.announcement(turn)),
                )

    def announcement(self, turn):
        """The body of the heartbeat with this number."""
        return {
            "service": self._service,
            "address": self.announced_address,
            "zone": "urubici",
            "version": "v1",
            "slots": 8,
            "state": self.worker.state,
            "cold_remaining_ms": 0,
            "capacity": {
                "cpu": self.worker.capacity.cpu_millis,
                "mem_mb": self.worker.capacity.memory_mb,
                "gpu": self.worker.capacity.accelerators,
            },
            "labels": ["a", "r1"],
            "clock_ms": self.worker.clock_ms(),
            "sequence": turn,
            "born": self.worker.born_ms,
        }

    def _run_steps(self):
        while not self._stopping.wait(STEP_S):
            with self._lock:
                self.worker.step()

    def _application(self, incarnation, environ, start_response):
        body = json.loads(environ["wsgi.input"].read() or b"{}")
        status, answer = self._answer(incarnation, environ, body)
        data = json.dumps(answer).encode()
        headers = [("Content-Type", "application/json")]
        headers.append(("Content-Length", str(len(data))))
        start_response(STATUS_LINES[status], headers)
        return [data]

    def _answer(self, incarnation, environ, body):
        if environ.get("HTTP_EXPECT_INSTANCE", self.name) != self.name:
            return 421, {}
        order = _order(environ["PATH_INFO"], body)
        if order is None:
            return 404, {}
        delay_s = self.start_delay_s() if isinstance(order, orders.Start) else 0.0
        self._await_delay(incarnation, delay_s)
        with self._lock:
            if not self._is_up(incarnation):
                return 503, {}
            self.worker.is_late = delay_s > 0
            result = self.worker.carry_out(order)
        if isinstance(order, orders.Start) and result.outcome == orders.OK:
            self.on_started(order)
        if isinstance(order, orders.Poll) and result.outcome == orders.OK:
            # The ends that a poll acknowledges are dropped on receipt, not after the
            # wait.
            self._await_end(incarnation, order)
            with self._lock:
                if not self._is_up(incarnation):
                    return 503, {}
                again = order._replace(cursor=0, lease_until_ms=None)
                result = self.worker.carry_out(again)
        if result.outcome != orders.OK:
            reason = REASONS[result.outcome]
            return 409, {"clock_ms": result.clock_ms, "reason": reason}
        answer = {"clock_ms": result.clock_ms, "born": self.worker.born_ms}
        if isinstance(order, orders.Poll):
            answer["running"] = [list(entry) for entry in result.running]
            answer["ended"] = [list(entry) for entry in result.ended]
        return 200, answer

    def _is_up(self, incarnation):
        return self.worker.incarnation == incarnation and not self.worker.is_down

    def _await_delay(self, incarnation, delay_s):
        deadline = time.monotonic() + delay_s
        while time.monotonic() < deadline and not self._stopping.is_set():
            if not self._is_up(incarnation):
                return
            time.sleep(STEP_S)

    def _await_end(self, incarnation, poll):
        deadline = time.monotonic() + poll.wait_ms / 1000
        while time.monotonic() < deadline and not self._stopping.is_set():
            with self._lock:
                if not self._is_up(incarnation):
                    return
                if any(end.number > poll.cursor for end in self.worker.ends):
                    return
            time.sleep(STEP_S)


def _order(path, body):
    """Parse a call into an order; None for a path that is not served."""
    if path == "/-/run-start":
        return orders.Start(
            body["task"],
            body["run"],
            body["spec"],
            body["until_ms"],
            body.get("fencing_token", 0),
            body.get("checkpoint", ""),
            body.get("ticket", ""),
        )
    if path == "/-/run-stop":
        return orders.Stop(body["task"], body["run"], body.get("fencing_token", 0))
    if path == "/-/hold":
        return orders.Poll(
            body.get("fencing_token", 0),
            body.get("ack_cursor", 0),
            body.get("until_ms"),
            body.get("wait_ms", 0),
        )
    return None
