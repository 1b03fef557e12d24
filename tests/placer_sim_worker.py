"""The worker of the simulated failure domain."""

import json

from alderreach.core.generated import common
from alderreach.ops import target_wire
from tests import placer_sim_net

DOMAIN = "urubici"
WORKER_TIMEOUT_MS = 1000
FIRST_HEARTBEAT_MS = 200


class Worker:
    """A worker that does only what docs/INTERFACES.md requires of workers."""

    def __init__(self, world, name, rate, capacity):
        self.world = world
        self.name = name
        self.capacity = capacity
        self.clock = placer_sim_net.make_clock(world.network, rate)
        self.boots = 0
        self.refuses = False
        self.state = "ready"
        self.start()

    def start(self):
        """Boot again; the tasks of the previous boot are lost."""
        self.boots += 1
        self.alive = True
        self.epoch = 0
        self.lease_until_ms = 0
        self.lease_ms = 0
        self.sequence = 0
        self.sent_ms = {}
        self.tasks = {}
        self.owner = "a"
        self.heartbeat_ms = FIRST_HEARTBEAT_MS
        self.next_ms = 0

    def kill(self):
        self.alive = False
        self.tasks = {}

    def running(self):
        return [task for task in self.tasks.values() if task["state"] == "running"]

    def usage(self):
        """Return the usage of the running tasks: each uses exactly its allocation."""
        running = self.running()
        return {
            kind: sum(task["task"][kind] for task in running)
            for kind in common.Resources._fields
        }

    def step(self):
        if not self.alive:
            return
        now_ms = self.clock.monotonic_ms()
        for task in self.running():
            if task["when_cut_off"] == "move" and now_ms >= self.lease_until_ms:
                task["state"] = "stopped"
            elif task["ends_ms"] is not None and now_ms >= task["ends_ms"]:
                task["state"] = task["end_state"]
                self.next_ms = now_ms
        if now_ms >= self.next_ms:
            self._announce(now_ms)

    def _announce(self, now_ms):
        self.sequence += 1
        self.sent_ms[self.sequence] = now_ms
        self.next_ms = now_ms + self.heartbeat_ms
        placer, boots = self.world.placers[self.owner], self.boots
        announcement = target_wire.parse_announcement(self.name, self._body()).unwrap()
        answered = []

        def reply(status, content):
            self.world.network.send(
                placer.name, self.name, lambda: on_answer(status, content)
            )

        def on_answer(status, content):
            if not answered and boots == self.boots and self.alive:
                answered.append(status)
                self._handle_answer(status, content, now_ms)

        def give_up():
            if not answered and boots == self.boots:
                answered.append(0)
                self.owner = self.world.placers[self.owner].peer

        self.world.network.send(
            self.name, placer.name, lambda: placer.on_announcement(announcement, reply)
        )
        self.world.network.call_later(WORKER_TIMEOUT_MS, give_up)

    def _body(self):
        tasks = [
            {key: task[key] for key in ("task_id", "attempt", "state")}
            for task in self.tasks.values()
        ]
        content = {
            "kind": "worker",
            "boot_id": f"{self.name}-{self.boots}",
            "sequence": self.sequence,
            "state": self.state,
            "vm": self.name,
            "rack": "r1",
            "failure_domain": DOMAIN,
            "address": "127.0.0.1:1",
            "owner_epoch_seen": self.epoch,
            "capacity": self.capacity._asdict(),
            "usage": self.usage(),
            "tasks": tasks,
        }
        return json.dumps(content).encode()

    def _handle_answer(self, status, content, sent_ms):
        if status != 200:
            self.owner = content["owner_address"] or self.world.placers[self.owner].peer
            self.next_ms = self.clock.monotonic_ms() + FIRST_HEARTBEAT_MS
            return
        if content["owner_epoch"] < self.epoch:
            return
        self.epoch = content["owner_epoch"]
        self.lease_ms = content["lease_ms"]
        self.lease_until_ms = max(self.lease_until_ms, sent_ms + self.lease_ms)
        self.heartbeat_ms = content["heartbeat_ms"]
        self.next_ms = min(self.next_ms, sent_ms + self.heartbeat_ms)
        for task_id in content["acknowledged"]:
            if self.tasks.get(task_id, {}).get("state") not in (None, "running"):
                del self.tasks[task_id]

    def command(self, batch):
        """Execute a batch; returns BatchResult's status, results and highest epoch."""
        now_ms = self.clock.monotonic_ms()
        if not self.alive:
            return ("uncertain",)
        if batch["epoch"] < self.epoch:
            return "epoch", (), self.epoch
        self.epoch = batch["epoch"]
        if batch["boot_id"] != f"{self.name}-{self.boots}":
            return ("boot",)
        sent_ms = self.sent_ms.get(batch["announced"])
        if sent_ms is None or now_ms - sent_ms > self.lease_ms:
            return ("late",)
        results = [self._execute(command, now_ms) for command in batch["commands"]]
        return "answered", tuple(results)

    def _execute(self, command, now_ms):
        task = self.tasks.get(command["task_id"])
        key = command["task_id"], command["attempt"]
        is_same_attempt = task is not None and task["attempt"] == command["attempt"]
        if command["command"] == "run" and not is_same_attempt:
            if task is not None and task["state"] == "running":
                return target_wire.CommandResult(*key, False, "another attempt runs")
            plan = json.loads(command["payload"] or "{}")
            run_ms = plan.get("run_ms")
            ends_ms = None if run_ms is None else now_ms + run_ms
            end_state = "failed" if plan.get("fail") else "finished"
            if self.refuses:
                return target_wire.CommandResult(*key, False, "no room")
            self.world.starts[command["task_id"]] += 1
            self.tasks[command["task_id"]] = command | {
                "state": "running",
                "ends_ms": ends_ms,
                "end_state": end_state,
            }
        elif command["command"] != "run":
            if not is_same_attempt:
                return target_wire.CommandResult(*key, False, "unknown")
            if task["state"] == "running":
                end_states = {"stop": "stopped", "checkpoint": "checkpointed"}
                task["state"] = end_states[command["command"]]
        return target_wire.CommandResult(*key, True, "")
