"""A stand-in worker: runs tasks under leases and fences commands by epoch.

A task's payload may be JSON with ``run_ms`` and ``fail: true``; without ``run_ms`` a
service's task runs until it is stopped, and any other for ``run_ms`` of the spec. A
service's task is a stand-in runner with the spec's ``slots`` and ``connections``, on
its own port. The worker obeys only the highest epoch seen, and stops ``move`` tasks
itself once its lease has lapsed, which counts from sending the last answered
announcement. It records in its history each start and end, and whenever its tasks
exceed its capacity.
"""

import json
import threading
import time
import uuid

from tools.standins import announcer, http, runner

RESOURCES = ("cpu_millis", "memory_mb", "accelerators")
LEASE_CHECK_S = 0.02
RUNNER_PORT = 9100


class Worker:
    """One worker; ``spec`` is a dictionary as in ``targets.py``."""

    def __init__(self, spec, history):
        self._spec = spec
        self._history = history
        self._boot_id = uuid.uuid4().hex[:12]
        self._lock = threading.RLock()
        self._tasks = {}
        self._state = "ready"
        self._epoch = 0
        self._lease_until_s = 0.0
        self._lease_s = 0.0
        self._runners = {}
        self._runners_made = 0
        self._closing = threading.Event()
        # The tasks of an earlier process with this id have ended with it.
        history.add("worker_started", worker=spec["id"], boot_id=self._boot_id)
        self._server = http.serve(spec["address"], self._handle)
        self._announcer = announcer.Announcer(
            spec["id"], spec["placers"], self._report, self._on_answer
        ).start()
        threading.Thread(target=self._watch_lease, daemon=True).start()

    def stop(self):
        self._closing.set()
        for serving in list(self._runners.values()):
            serving.stop()
        with self._lock:
            for task in self._tasks.values():
                self._end(task, "stopped", "worker stops")
        self._state = "gone"
        self._announcer.stop()
        self._server.shutdown()

    def _report(self):
        with self._lock:
            tasks = [
                {key: task[key] for key in ("task_id", "attempt", "state", "reason")}
                for task in self._tasks.values()
            ]
            usage = self._total_usage()
        fields = ("vm", "rack", "failure_domain", "address", "capacity")
        return {name: self._spec[name] for name in fields} | {
            "kind": "worker",
            "boot_id": self._boot_id,
            "state": self._state,
            "owner_epoch_seen": self._epoch,
            "usage": usage,
            "tasks": tasks,
        }

    def _on_answer(self, answer, sent_s):
        with self._lock:
            if answer["owner_epoch"] < self._epoch:
                return
            self._epoch = answer["owner_epoch"]
            self._lease_s = answer["lease_ms"] / 1000
            self._lease_until_s = sent_s + self._lease_s
            for task_id in answer["acknowledged"]:
                if self._tasks.get(task_id, {}).get("state") != "running":
                    self._tasks.pop(task_id, None)

    def _watch_lease(self):
        while not self._closing.wait(LEASE_CHECK_S):
            with self._lock:
                if time.monotonic() < self._lease_until_s:
                    continue
                for task in self._tasks.values():
                    if task["when_cut_off"] == "move":
                        self._end(task, "stopped", "lease lapsed")

    def _handle(self, request):
        order = json.loads(request.body)
        if request.path == "/control":
            self._state = order.get("state", self._state)
            self._spec.update(order.get("spec", {}))
            self._announcer.announce_now()
            return _json(200, {})
        with self._lock:
            if order["epoch"] < self._epoch:
                refusal = {"reason": "epoch", "highest_epoch": self._epoch}
                self._history.add(
                    "fenced", worker=self._spec["id"], epoch=order["epoch"]
                )
                return _json(409, refusal)
            self._epoch = order["epoch"]
            if order["boot_id"] != self._boot_id:
                return _json(409, {"reason": "boot", "boot_id": self._boot_id})
            if self._is_outdated(order):
                self._history.add("late", worker=self._spec["id"])
                return _json(409, {"reason": "late"})
            results = [self._apply_command(command) for command in order["commands"]]
        return _json(200, {"boot_id": self._boot_id, "results": results})

    def _is_outdated(self, order):
        """Whether a batch answers an announcement that is older than the lease."""
        sent_s = self._announcer.sent_s(order["announced"])
        return sent_s is None or time.monotonic() - sent_s > self._lease_s

    def _apply_command(self, command):
        task = self._tasks.get(command["task_id"])
        same = task is not None and task["attempt"] == command["attempt"]
        reason = ""
        if command["command"] == "run":
            reason = "" if same else self._run(command, task)
        elif not same:
            reason = "no such task and attempt"
        elif command["command"] == "stop":
            self._stop_task(task)
        elif command["command"] == "checkpoint":
            self._end(task, "checkpointed", "asked to")
        result = {key: command[key] for key in ("task_id", "attempt")}
        return result | {"accepted": not reason, "reason": reason}

    def _run(self, command, current):
        if current is not None and current["state"] == "running":
            return "another attempt runs"
        if self._state != "ready":
            return f"worker is {self._state}"
        if time.monotonic() >= self._lease_until_s:
            return "no lease"
        task = dict(command, state="running", reason="")
        self._tasks[command["task_id"]] = task
        total = self._total_usage()
        if any(total[name] > self._spec["capacity"][name] for name in RESOURCES):
            self._history.add("capacity_exceeded", worker=self._spec["id"], total=total)
        self._record("task_started", task)
        if task.get("service"):
            self._start_runner(task)
        self._schedule_end(task)
        return ""

    def _start_runner(self, task):
        host = self._spec["address"].rpartition(":")[0]
        port = RUNNER_PORT + self._runners_made
        self._runners_made += 1
        spec = self._spec | {
            "id": f"runner-{task['task_id']}-{task['attempt']}",
            "address": f"{host}:{port}",
            "service": task["service"],
            "team": task["team"],
            "task_id": task["task_id"],
            "slots": self._spec.get("slots", 8),
            "connections": self._spec.get("connections", 64),
        }
        self._runners[task["task_id"]] = runner.Runner(spec, self._history)

    def _stop_task(self, task):
        """Stop a task; a runner first finishes its open requests."""
        serving = self._runners.get(task["task_id"])
        if serving is None or task["state"] != "running":
            self._end(task, "stopped", "asked to")
            return

        def finish():
            serving.stop()
            with self._lock:
                self._end(task, "stopped", "asked to")

        threading.Thread(target=finish, daemon=True).start()

    def _schedule_end(self, task):
        try:
            plan = json.loads(task.get("payload") or "{}")
        except ValueError:
            plan = {}
        fails = plan.get("fail") or self._spec.get("fail_all")
        run_ms = plan.get("run_ms", self._spec.get("run_ms", 100))
        if task.get("service") and "run_ms" not in plan and not fails:
            return
        state = "failed" if fails else "finished"

        def end():
            with self._lock:
                self._end(task, state, "stand-in says so" if fails else "")

        threading.Timer(run_ms / 1000, end).start()

    def _end(self, task, state, reason):
        if task["state"] != "running":
            return
        task["state"] = state
        task["reason"] = reason
        serving = self._runners.pop(task["task_id"], None)
        if serving is not None:
            threading.Thread(target=serving.stop, daemon=True).start()
        self._record("task_ended", task)
        self._announcer.announce_now()

    def _total_usage(self):
        running = [task for task in self._tasks.values() if task["state"] == "running"]
        return {name: sum(task["task"][name] for task in running) for name in RESOURCES}

    def _record(self, event, task):
        self._history.add(
            event,
            worker=self._spec["id"],
            boot_id=self._boot_id,
            task_id=task["task_id"],
            attempt=task["attempt"],
            job_id=task["job_id"],
            state=task["state"],
            epoch=self._epoch,
        )


def _json(status, content):
    data = json.dumps(content).encode()
    return status, {"Content-Type": "application/json"}, data, len(data)
