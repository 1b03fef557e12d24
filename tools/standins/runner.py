"""A stand-in runner: serves requests in slots, announces itself, and can misbehave.

A request's body may be JSON with ``work_ms``; the default is ``work_ms`` of the spec.
The answer names the request that was run. ``POST /control`` with ``{"mode": ...}`` sets
the mode: ``ok``, ``slow`` (ten times the work), ``error`` (500 at once), ``refuse``
(503 not-run), ``truncate``, ``crossed`` (echoes another request's id), ``silent``
(never answers in time) or ``leaving``.
"""

import json
import threading
import time
import uuid

from tools.standins import announcer, http

SLOW_FACTOR = 10
SILENT_S = 60
# A leaving runner goes on serving for this time, until the entries have been told.
LEAVING_S = 2.0


class Runner:
    """One runner; ``spec`` is a dictionary as in ``targets.py``."""

    def __init__(self, spec, history):
        self._spec = spec
        self._history = history
        self._boot_id = uuid.uuid4().hex[:12]
        self._mode = spec.get("mode", "ok")
        self._state = "ready"
        self._busy = 0
        self._stopped = False
        self._lock = threading.Lock()
        self._server = http.serve(spec["address"], self._handle)
        self._announcer = announcer.Announcer(spec["id"], spec["placers"], self._report)
        self._announcer.start()

    def leave(self, state="leaving"):
        self._state = state
        self._announcer.announce_now()

    def stop(self):
        """Leave, finish open requests, announce the end; a second call does nothing."""
        with self._lock:
            if self._stopped:
                return
            self._stopped = True
        self.leave()
        time.sleep(LEAVING_S)
        while self._busy:
            time.sleep(0.01)
        self._state = "gone"
        self._announcer.stop()
        self._server.shutdown()

    def _report(self):
        fields = ("vm", "rack", "failure_domain", "address", "service", "team")
        report = {name: self._spec[name] for name in fields}
        return report | {
            "kind": "runner",
            "boot_id": self._boot_id,
            "state": self._state,
            "owner_epoch_seen": 0,
            "slots": self._spec["slots"],
            "connections": self._spec["connections"],
            "task_id": self._spec.get("task_id", ""),
        }

    def _handle(self, request):
        if request.path == "/control":
            return self._control(json.loads(request.body))
        request_id = request.headers.get("Alderreach-Request-Id", "")
        headers = {
            "Alderreach-Request-Id": request_id,
            "Alderreach-Attempt": request.headers.get("Alderreach-Attempt", ""),
            "Alderreach-Boot-Id": self._boot_id,
            "Content-Type": "application/json",
        }
        other_boot = request.headers.get("Alderreach-Boot-Id") != self._boot_id
        if self._mode == "refuse" or other_boot or not self._reserve_slot():
            return self._refusal(headers, request_id)
        try:
            return self._serve(request, headers, request_id)
        finally:
            with self._lock:
                self._busy -= 1

    def _control(self, order):
        self._mode = order["mode"]
        if self._mode in ("leaving", "ready"):
            self.leave(self._mode)
            self._mode = "ok"
        return 200, {}, b"{}", 2

    def _reserve_slot(self):
        with self._lock:
            if self._busy >= self._spec["slots"] or self._state == "gone":
                return False
            self._busy += 1
            return True

    def _refusal(self, headers, request_id):
        self._history.add("refused", runner=self._spec["id"], request_id=request_id)
        headers["Alderreach-Outcome"] = "not-run"
        return 503, headers, b"{}", 2

    def _serve(self, request, headers, request_id):
        if self._mode == "error":
            return 500, headers, b"{}", 2
        self._history.add(
            "request_run",
            runner=self._spec["id"],
            request_id=request_id,
            address=self._spec["address"],
            attempt=headers["Alderreach-Attempt"],
            body=request.body.decode(errors="replace"),
        )
        time.sleep(self._work_ms(request.body) / 1000)
        answer = {"ran": request_id, "runner": self._spec["id"]}
        answer["echo"] = request.body.decode(errors="replace")
        data = json.dumps(answer).encode()
        if self._mode == "crossed":
            headers["Alderreach-Request-Id"] = uuid.uuid4().hex
        announced = len(data) + (100 if self._mode == "truncate" else 0)
        return 200, headers, data, announced

    def _work_ms(self, body):
        work_ms = self._spec.get("work_ms", 5)
        try:
            work_ms = json.loads(body).get("work_ms", work_ms)
        except (ValueError, AttributeError):
            pass
        if self._mode == "silent":
            return SILENT_S * 1000
        return work_ms * (SLOW_FACTOR if self._mode == "slow" else 1)
