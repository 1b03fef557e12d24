"""A stand-in runner: one process that speaks the runner's side of PROTOCOL.md.

It carries out orders as the pages say: fence numbers, leases on its own clock, runs
that only rise, ends that are listed until they are acknowledged. What happens is
printed as one JSON object a line, which the case reads.

A job's ``spec`` is a JSON object: ``work_ms`` is how long its tasks work, ``lasts``
that they work until they are stopped. An order to start is carried out ``delay_ms``
after it has arrived.
"""

import argparse
import http.client
import http.server
import json
import socket
import sys
import threading
import time

MAX_HOLD_MS = 6000
MAX_WAIT_MS = 2000
STARTUP_MS = 200


class Runs:
    """The runs and ends of one boot."""

    def __init__(self, delay_ms):
        self.born_ms = int(time.time() * 1000)
        self.delay_ms = delay_ms
        self.changed = threading.Condition()
        self._began_s = time.monotonic()
        self._fence = 0
        self._lease_end_ms = 0
        self._running = {}
        self._closed = {}
        self._ends = []
        self._next_end = 1

    def clock_ms(self):
        """The runner's own steady clock."""
        return int((time.monotonic() - self._began_s) * 1000)

    def start(self, order):
        """Carry out ``/-/run-start``; returns the status and the fields of the body."""
        task, run, until_ms = order["task"], order["run"], order["until_ms"]
        emit("start_received", task=task, run=run)
        time.sleep(self.delay_ms / 1000)
        with self.changed:
            if not self._accept_fence(order):
                return 409, {"reason": "fence"}
            present = self._running.get(task)
            if present is not None and present["run"] == run:
                self._extend(until_ms)
                return 200, {}
            if run <= self._closed.get(task, 0) or present is not None:
                self._extend(until_ms)
                return 409, {"reason": "old"}
            if until_ms <= self.clock_ms():
                return 409, {"reason": "late"}
            self._extend(until_ms)
            self._running[task] = {
                "run": run,
                "began_ms": self.clock_ms(),
                "spec": json.loads(order["spec"]),
            }
            emit("started", task=task, run=run)
            return 200, {}

    def stop(self, order):
        """Carry out ``/-/run-stop``."""
        task, run = order["task"], order["run"]
        with self.changed:
            if not self._accept_fence(order):
                return 409, {"reason": "fence"}
            self._closed[task] = max(self._closed.get(task, 0), run)
            present = self._running.get(task)
            if present is not None and present["run"] <= run:
                self._end(task, "stopped")
            return 200, {}

    def pace(self, order):
        """Carry out ``/-/pace``, of which these tasks take no notice."""
        with self.changed:
            if not self._accept_fence(order):
                return 409, {"reason": "fence"}
            return 200, {}

    def hold(self, order):
        """Carry out ``/-/hold``: extend the lease, forget ends, wait, list."""
        cursor = order.get("ack_cursor", 0)
        wait_ms = min(order.get("wait_ms", 0), MAX_WAIT_MS)
        deadline_s = time.monotonic() + wait_ms / 1000
        with self.changed:
            if not self._accept_fence(order):
                return 409, {"reason": "fence"}
            if "until_ms" in order:
                self._extend(order["until_ms"])
            if any(end[0] <= cursor for end in self._ends):
                emit("ends_acknowledged", cursor=cursor)
            self._ends = [end for end in self._ends if end[0] > cursor]
            while not self._ends and time.monotonic() < deadline_s:
                self.changed.wait(deadline_s - time.monotonic())
            running = [
                [task, run["run"], "", self._percent(run), 0]
                for task, run in self._running.items()
            ]
            return 200, {"running": running, "ended": list(self._ends)}

    def step(self):
        """End what is done, and everything once the lease has expired."""
        with self.changed:
            self._lapse()
            for task, run in list(self._running.items()):
                if not run["spec"].get("lasts") and self._percent(run) >= 100:
                    self._end(task, "done")

    def _lapse(self):
        if self.clock_ms() >= self._lease_end_ms:
            for task in list(self._running):
                self._end(task, "lapsed")

    def _accept_fence(self, order):
        self._lapse()
        if order.get("fencing_token", 0) < self._fence:
            return False
        self._fence = order.get("fencing_token", 0)
        return True

    def _extend(self, until_ms):
        until_ms = min(until_ms, self.clock_ms() + MAX_HOLD_MS)
        self._lease_end_ms = max(self._lease_end_ms, until_ms)

    def _percent(self, run):
        spec = run["spec"]
        work_ms = STARTUP_MS if spec.get("lasts") else spec["work_ms"]
        return min(100, 100 * (self.clock_ms() - run["began_ms"]) // work_ms)

    def _end(self, task, how):
        run = self._running.pop(task)["run"]
        self._closed[task] = max(self._closed.get(task, 0), run)
        self._ends.append([self._next_end, task, run, how, ""])
        self._next_end += 1
        emit("ended", task=task, run=run, how=how)
        self.changed.notify_all()


class Handler(http.server.BaseHTTPRequestHandler):
    """Answers the calls of the system."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def do_POST(self):
        """Answer an order, or 421 if it is for another runner."""
        runs, name = self.server.runs, self.server.name
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        calls = {
            "/-/run-start": runs.start,
            "/-/run-stop": runs.stop,
            "/-/hold": runs.hold,
            "/-/pace": runs.pace,
        }
        call = calls.get(self.path)
        if call is None:
            self._reply(404, {})
        elif self.headers.get("Expect-Instance", name) != name:
            self._reply(421, {})
        else:
            status, fields = call(json.loads(body))
            fields |= {"clock_ms": runs.clock_ms(), "born": runs.born_ms}
            self._reply(status, fields)

    def do_GET(self):
        """Answer a health check."""
        self._reply(200, {})

    def log_message(self, format, *arguments):
        """Log nothing; ``emit`` tells what matters."""

    def _reply(self, status, fields):
        data = json.dumps(fields).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)


class Server(http.server.ThreadingHTTPServer):
    """The listener of one runner."""

    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def __init__(self, address, name, runs):
        self.name, self.runs = name, runs
        super().__init__(address, Handler)

    def handle_error(self, request, client_address):
        """Ignore connections that the caller has closed."""


def emit(event, **fields):
    """Print one event."""
    line = json.dumps({"event": event, **fields})
    sys.stdout.write(line + "\n")
    sys.stdout.flush()


def report(runner, runs):
    """Send liveness reports, to the next control address after each failure."""
    controls, sequence, turn = runner.controls.split(","), 0, 0
    time.sleep(runner.first_report_ms / 1000)
    while True:
        sequence += 1
        body = {
            "service": runner.service,
            "address": runner.announce or f"{runner.host}:{runner.port}",
            "zone": runner.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "capacity": {"cpu": runner.cpu, "mem_mb": runner.mem_mb, "gpu": 0},
            "labels": ["a", runner.rack],
            "clock_ms": runs.clock_ms(),
            "born": runs.born_ms,
            "sequence": sequence,
        }
        for _ in controls:
            if put(controls[turn], f"/-/instances/{runner.name}", body):
                break
            turn = (turn + 1) % len(controls)
        time.sleep(runner.heartbeat_ms / 1000)


def put(address, path, body):
    """Send a PUT; returns whether it was acknowledged within a second."""
    try:
        connection = http.client.HTTPConnection(address, timeout=1)
        connection.request("PUT", path, json.dumps(body))
        status = connection.getresponse().status
        connection.close()
    except (OSError, http.client.HTTPException):
        return False
    return status // 100 == 2


def main():
    """Run one runner until it is killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--name", required=True)
    parser.add_argument("--host", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--controls", required=True)
    parser.add_argument("--service", default="pool")
    parser.add_argument("--zone", default="zone-1")
    parser.add_argument("--rack", default="r1-1")
    parser.add_argument("--cpu", type=int, default=16000)
    parser.add_argument("--mem_mb", type=int, default=32768)
    parser.add_argument("--heartbeat_ms", type=int, default=1500)
    parser.add_argument("--delay_ms", type=int, default=0)
    parser.add_argument("--announce", default="")
    parser.add_argument("--first_report_ms", type=int, default=0)
    runner = parser.parse_args()
    runs = Runs(runner.delay_ms)
    server = Server((runner.host, runner.port), runner.name, runs)
    server.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    threading.Thread(target=report, args=[runner, runs], daemon=True).start()
    emit("up", born=runs.born_ms)
    while True:
        time.sleep(0.01)
        runs.step()


if __name__ == "__main__":
    main()
