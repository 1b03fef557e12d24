"""Bench: the costs of a placer for announcements, takeover, idling and memory.

The announcement, takeover and memory figures run the wire parser and
``placing.Placing`` without sockets, so that they show the cost of a target to the
deciding thread. The idle figures and the time without an owner are measured on real
processes: three keepers and two placers.
"""

import contextlib
import json
import os
import pathlib
import random
import statistics
import tempfile
import time
import tracemalloc
import uuid

from alderreach.core import codec, records
from alderreach.core.generated import common, placer, settings
from alderreach.decisions import scheduler
from alderreach.ops import target_wire
from alderreach.ops.placer import jobs, placing, takeover
from alderreach.utils import clocks, link_health, tasks, transport
from tools import cell

TIMING = settings.Timing(*(rule.default for rule in settings.RULES["timing"].values()))
DOMAIN = "urubici"
TASKS_EACH = 16
SIZES = (24, 240, 1000)
ROUNDS = 5
IDLE_S = 5
KILLS = 5
TEAM = common.Team("a", common.Resources(10**9, 10**9, 0), 1, "packing")
TASK = common.Resources(1000, 1000, 0)


def body(number, sequence, epoch, tasks_each):
    """The announcement of a worker that runs ``tasks_each`` tasks."""
    running = [
        {
            "task_id": f"job/{number * tasks_each + place}",
            "attempt": 1,
            "state": "running",
            "reason": "",
        }
        for place in range(tasks_each)
    ]
    capacity = {"cpu_millis": 64_000, "memory_mb": 131_072, "accelerators": 0}
    return json.dumps(
        {
            "kind": "worker",
            "boot_id": "b1",
            "sequence": sequence,
            "state": "ready",
            "vm": f"10.0.{number >> 8}.{number & 255}",
            "rack": f"r{number // 6}",
            "failure_domain": DOMAIN,
            "address": f"10.0.{number >> 8}.{number & 255}:9000",
            "owner_epoch_seen": epoch,
            "capacity": capacity,
            "usage": capacity,
            "tasks": running,
        }
    ).encode()


def make_placing(epoch, workers, tasks_each):
    """Make an owner that knows the job whose tasks the workers report."""
    made = placing.Placing(
        DOMAIN,
        epoch,
        scheduler.Scheduler(random.Random(1)),
        TIMING,
        lambda key, make: None,
        lambda kind, **details: None,
        lambda: 0,
    )
    made.scheduler.set_team(TEAM)
    job = common.Job(
        "job",
        "a",
        "w",
        "batch",
        DOMAIN,
        TASK,
        workers * tasks_each,
        5,
        "move",
        False,
        0,
        "",
        0,
        "",
    )
    made.submit(jobs.JobState(job), 0)
    return made


def announce_all(made, bodies, now_ms):
    for number, data in enumerate(bodies):
        announcement = target_wire.parse_announcement(f"w{number}", data).unwrap()
        made.announce(announcement, now_ms)


def show_announcements():
    for workers in SIZES:
        made = make_placing(2, workers, TASKS_EACH)
        announce_all(made, [body(n, 1, 2, TASKS_EACH) for n in range(workers)], 0)
        spent = []
        for sequence in range(2, 2 + ROUNDS):
            bodies = [body(n, sequence, 2, TASKS_EACH) for n in range(workers)]
            started = time.process_time()
            announce_all(made, bodies, sequence * 1000)
            spent.append((time.process_time() - started) / workers * 1e6)
        tick_us = cost_of_ticks(made, sequence * 1000)
        print(
            f"announcement of {TASKS_EACH} tasks, {workers} workers: "
            f"{statistics.median(spent):.0f} us CPU, {len(bodies[0])} bytes; "
            f"idle tick {tick_us:.0f} us"
        )


def cost_of_ticks(made, now_ms, number=200):
    """Mean CPU time of a tick; at 20 ms per tick, every fifth ages the targets."""
    started = time.process_time()
    for place in range(number):
        made.tick(now_ms + place * 20, made.ledger.log.sequence, True, False)
    return (time.process_time() - started) / number * 1e6


def show_takeover(workers=1000):
    """Take over from full records while all workers report."""
    first = make_placing(1, workers, TASKS_EACH)
    announce_all(first, [body(n, 1, 1, TASKS_EACH) for n in range(workers)], 0)
    copy = records.copy_from_log(first.ledger.log, 1)
    beat = placer.OwnerBeat(
        DOMAIN,
        1,
        0,
        0,
        copy.sequence,
        list(copy.placements.values()),
        list(copy.workers.values()),
        [],
        False,
    )
    print(f"full records of {workers} workers: {len(codec.encode(beat))} bytes")
    bodies = [body(n, 2, 2, TASKS_EACH) for n in range(workers)]
    started = time.process_time()
    second = make_placing(2, workers, TASKS_EACH)
    takeover.take_over(second, copy, [], 0)
    held_s = time.process_time() - started
    announce_all(second, bodies, 100)
    all_s = time.process_time() - started
    assert len(second.placements.by_task) == workers * TASKS_EACH
    print(
        f"takeover of {workers} workers, {workers * TASKS_EACH} tasks: "
        f"{held_s * 1000:.0f} ms CPU to restore all, "
        f"{all_s * 1000:.0f} ms with all reports"
    )


def show_memory():
    """Print allocated bytes at several sizes, and the bytes per additional worker."""
    for tasks_each, sizes in ((0, (250, 500, 1000)), (TASKS_EACH, (250, 500, 1000))):
        points = []
        for workers in sizes:
            tracemalloc.start()
            made = make_placing(2, max(workers, 1), max(tasks_each, 1))
            for number in range(workers):
                data = body(number, 1, 2, tasks_each)
                announcement = target_wire.parse_announcement(
                    f"w{number}", data
                ).unwrap()
                made.announce(announcement, 0)
            points.append(tracemalloc.get_traced_memory()[0])
            tracemalloc.stop()
        slope = (points[-1] - points[0]) / (sizes[-1] - sizes[0])
        shown = ", ".join(
            f"{n}: {size / 1e6:.2f} MB" for n, size in zip(sizes, points, strict=True)
        )
        print(
            f"memory, {tasks_each} tasks a worker: {shown}; {slope:.0f} bytes a worker"
        )


def show_processes():
    with tempfile.TemporaryDirectory() as folder, contextlib.ExitStack() as stack:
        running = stack.enter_context(
            cell.Cell(pathlib.Path(folder), domains=(DOMAIN,), vms=2, voters=3)
        )
        names = [plan.name for plan in running.plans if plan.role != "entry"]
        running.start(names)
        running.wait_ready(names)
        probe = Probe(running)
        stack.callback(probe.link.close)
        owner = probe.wait_owner(None)
        pids = {p.name: running.processes[p.name].pid for p in probe.placers}
        before = {name: cpu_s(pid) for name, pid in pids.items()}
        time.sleep(IDLE_S)
        for plan in probe.placers:
            used = cpu_s(pids[plan.name]) - before[plan.name]
            role = "owner" if plan is owner else "standby"
            print(f"idle {role}, no targets: {used / IDLE_S * 100:.1f} % of a core")
        outages_ms = sorted(probe.kill_owner() for _ in range(KILLS))
        shown = ", ".join(f"{ms:.0f}" for ms in outages_ms)
        print(f"time without owner after kill -9, {KILLS} kills: {shown} ms")


class Probe:
    """Queries the placers of a failure domain to find its owner."""

    def __init__(self, running):
        self.cell = running
        self.placers = running.of_role("placer", DOMAIN)
        self._tickets = {}
        self.link = transport.Transport(
            ("cell", "probe", "b"),
            f"127.{running.octet}.9.9:7301",
            {},
            self._deliver,
            clocks.SYSTEM,
            link_health.Rules(250, 1000),
        ).start()

    def _deliver(self, received):
        ticket = self._tickets.pop(received.message.request_id, None)
        if ticket is not None:
            ticket.answer(received.message)

    def owns(self, plan):
        request_id = uuid.uuid4().hex
        ticket = self._tickets[request_id] = tasks.Ticket()
        self.link.send(plan.peers, placer.JobQuery(request_id, "none"))
        reply = ticket.wait(50)
        return reply is not None and reply.owned

    def wait_owner(self, other_than):
        def found():
            others = [plan for plan in self.placers if plan is not other_than]
            return next((plan for plan in others if self.owns(plan)), None)

        return cell.wait_until(found, "an owner", interval_s=0.005)

    def kill_owner(self):
        """Kill the owner; returns for how many ms the domain had no owner."""
        owner = self.wait_owner(None)
        self.cell.kill(owner.name)
        started = time.monotonic()
        self.wait_owner(owner)
        taken_ms = (time.monotonic() - started) * 1000
        self.cell.start([owner.name])
        self.cell.wait_ready([owner.name])
        return taken_ms


def cpu_s(pid):
    """Processor time of a process, read from the kernel."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def main():
    show_announcements()
    show_takeover()
    show_memory()
    show_processes()
