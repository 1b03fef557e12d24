"""One seeded day of the soak test: a cell of real processes, callers and faults.

>>> report = play(7, folder, 10)  # doctest: +SKIP
>>> report.violations  # doctest: +SKIP
[]
"""

import contextlib
import functools
import itertools
import os
import random
import threading
import time
import typing

import urllib3

from tools import cell, relay
from tools.soak import (
    answers,
    capacities,
    linked_cell,
    operators,
    other_writers,
    recovery,
    silences,
)
from tools.soak import callers as callers_module
from tools.soak import faults as faults_module
from tools.soak import promises as promises_module
from tools.standins import permissions, platform_worker

WORK_MS = (60, 250, 900)
# A worker that was crashed by a task restarts after this time.
RESTART_AFTER_S = 1.0
# After the faults callers go on for this time beside late starts and draining workers.
CALM_S = 6
# After the other faults open connections become silent for this time.
SILENCES_S = 2
WATCH_S = 0.05
RULE = permissions.Rule(decision_ms=60, per_worker_ms=2, validity_ms=1000)
ROUTE = {
    "host": callers_module.HOST,
    "timeout_ms": 3000,
    "target_latency_ms": 500,
    "service": "pool",
    "max_attempts": 3,
    "stretch": 2.0,
}
CONFIG = {
    "routes": [
        ROUTE | {"name": "q", "path_prefix": callers_module.FREE},
        ROUTE
        | {"name": "p", "path_prefix": callers_module.PERMITTED}
        | {"advice": RULE._asdict()},
    ],
    "services": [{"name": "pool"}],
}


class Size(typing.NamedTuple):
    """The number of processes of each kind."""

    controllers: int = 4
    frontends: int = 2
    workers: int = 4


class Report(typing.NamedTuple):
    """The outcome of a day; ``violations`` has a line for each broken guarantee."""

    seed: int
    violations: list
    accepted: int
    cancelled: int
    refused: int
    starts: int
    answers: list
    latency: typing.Any
    faults: list
    timeline: list


class Worker(platform_worker.PlatformWorker):
    """A stand-in worker behind the relay; ``Promises`` checks its starts and ends."""

    def __init__(
        self, name, address, announced_address, link, controls, scene, work_ms
    ):
        self._promises, self._permission = scene
        promises = self._promises
        super().__init__(name, address, controls, work_ms=work_ms, world=promises)
        self.announced_address = announced_address
        self.link = link
        self.worker.permits = self._permits
        promises.workers.append(self.worker)

    def crash(self):
        """Stop answering until a restart, and lose all runs."""
        with self._lock:
            self._promises.on_crash(self.worker)
            self.worker.crash()

    def vanish(self):
        """End for good; this counts as a crash unless the worker is draining."""
        with self._lock:
            if self.worker.state != "draining":
                self._promises.on_crash(self.worker)
        super().vanish()

    def on_restarted(self):
        """Revoke the tickets of the previous incarnation."""
        self._permission.revoke_tickets(self.name)
        self._promises.record(
            f"{self.name} restarts as incarnation {self.worker.incarnation}"
        )

    def on_started(self, order):
        """Crash if the task crashes its workers, and restart soon after."""
        if self._promises.check_crash(order.task):
            with self._lock:
                self._promises.cancels.disturb()
            self.crash()
            threading.Timer(RESTART_AFTER_S, self._restart_after_crash).start()

    def _restart_after_crash(self):
        self.restart()
        with self._lock:
            self._promises.cancels.settle()

    def _permits(self, start):
        job_id = start.task.partition(".")[0]
        if callers_module.prefix_of(job_id) == callers_module.FREE:
            return True
        return self._permission.is_valid(start.ticket, start.task, self.name)


def play(seed, folder, duration_s, crashing=(), calm_s=CALM_S, size=Size()):
    """Inject a seed's faults for ``duration_s``, then check that the cell recovers.

    Then only open connections become silent, for ``SILENCES_S``, and at last all
    processes are killed together and one controller loses its disk. Callers go on for
    ``calm_s`` after that; as they stop, there is one more silence. Another writer sends
    malformed input until then. ``crashing`` are the numbers of the jobs whose task
    crashes its workers.
    """
    promises = promises_module.Promises()
    with contextlib.ExitStack() as stack:
        running = stack.enter_context(
            linked_cell.LinkedCell(folder, size.controllers, size.frontends)
        )
        # Links that other faults concern as well, and those that only become silent.
        links, silent_links = relay.Relay(), relay.Relay()
        for each in (links, silent_links):
            stack.callback(each.close)
        running.start()
        controls = _link_controls(running, silent_links)
        operator = operators.Operator(
            controls, lambda version: CONFIG | {"version": version}, promises, seed
        )
        cell.wait_until(operator.change, "a configuration is accepted")
        service = permissions.PermissionService(
            _link_permission(running, silent_links),
            RULE,
            functools.partial(may_run, seed, places=size.workers),
        )
        stack.callback(service.close)
        scene = (promises, service)
        start_worker = _worker_starter(
            running, links, controls, scene, (seed, size.workers), stack
        )
        workers = [start_worker(place) for place in range(size.workers)]
        addresses = _link_frontends(running, links)
        _wait_ready(running)
        calling = callers_module.Callers(
            addresses,
            promises,
            random.Random(f"callers {seed}"),
            operator.refused_key,
            crashing,
        ).start()
        stack.callback(calling.stop)
        operator.start()
        stack.callback(operator.stop)
        writing = other_writers.OtherWriters(
            workers, controls, addresses, promises, seed
        ).start()
        stack.callback(writing.stop)
        faults = faults_module.Faults(running, links, workers, start_worker, seed)
        silencing = _silences(running, [links, silent_links], seed, faults, calling)
        shrinking = _capacity_changes(seed, faults, promises)
        stack.enter_context(_watch(promises, running.folder / "probe"))
        faults.play(duration_s, [silencing.play, shrinking.play])
        silencing.play(time.monotonic() + SILENCES_S)
        cell.wait_until(running.has_all_voters, "all voters are back")
        faults.black_out()
        calling.is_calm = True
        operator.stop()
        with promises.lock:
            promises.cancels.settle()
        accepted = len(calling.accepted)
        faults.play_calm(calm_s)
        recovery.check_service(calling, promises, accepted)
        calling.stop()
        writing.stop()
        _silence_once(silencing, promises)
        answers.check(calling, operator, promises, controls)
        recovery.check_recovery(calling, promises)
        recovery.check_cancelled(calling, promises)
        other_writers.check(writing, running, promises)
        return Report(
            seed,
            list(promises.violations),
            len(calling.accepted),
            len(calling.cancelled),
            len(promises.refused),
            promises.starts,
            calling.answers,
            calling.latency,
            faults.happened,
            promises.timeline,
        )


def may_run(seed, step, worker, places):
    """Whether the permission service lets a step run on a worker.

    Each step may run in two or three of the places. A replacement may run the same
    steps as the worker before it, so that all accepted work can run once all places are
    filled.
    """
    rng = random.Random(f"permits {seed} {step}")
    chosen = rng.sample(range(places), rng.choice([2, 3]))
    return int(worker.removeprefix("i-")) % places in chosen


def _worker_starter(running, links, controls, scene, seed_and_places, stack):
    """Make a function that starts a worker with a new id in one of the places."""
    seed, places = seed_and_places
    rng = random.Random(f"workers {seed}")
    rounds = [itertools.count(place, places) for place in range(places)]

    def start_worker(place):
        number = next(rounds[place])
        listen, target = (
            f"127.{running.octet}.7.{number + 1}",
            f"127.{running.octet}.8.{number + 1}",
        )
        link = f"worker-{place + 1}"
        links.add(link, (listen, 7096), (target, 7096))
        worker = Worker(
            f"i-{number}",
            f"{target}:7096",
            f"{listen}:7096",
            link,
            controls,
            scene,
            rng.choice(WORK_MS),
        )
        stack.callback(worker.close)
        return worker.start()

    return start_worker


def _link_controls(running, links):
    """Add links from workers and the operator to controllers; returns addresses."""
    controls = [plan.control for plan in running.of_role("controller")]
    return _add_links(links, "controls", f"127.{running.octet}.5", controls)


def _link_permission(running, links):
    """Add a link to the permission service; returns the service's own address."""
    host, _, port = running.permission.rpartition(":")
    own_host = f"127.{running.octet}.9.2"
    links.add("permission", (host, int(port)), (own_host, int(port)))
    return f"{own_host}:{port}"


def _link_frontends(running, links):
    """Add links from callers to the frontends; returns their addresses."""
    callers = [plan.callers for plan in running.of_role("frontend")]
    return _add_links(links, "callers", f"127.{running.octet}.6", callers)


def _add_links(links, name, network, targets):
    """Add a link to each target, which listens on the target's port in a network."""
    addresses = []
    for number, target in enumerate(targets, 1):
        host, _, port = target.rpartition(":")
        listen = (f"{network}.{number}", int(port))
        links.add(f"{name}-{number}", listen, (host, int(port)))
        addresses.append(f"{listen[0]}:{port}")
    return addresses


def _wait_ready(running):
    http = urllib3.PoolManager(retries=False, timeout=2)

    def is_ready(plan):
        try:
            url = f"http://{plan.balancer}/-/readiness"
            return http.request("GET", url).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    for plan in running.of_role("frontend"):
        cell.wait_until(lambda plan=plan: is_ready(plan), f"{plan.name} is ready")


def _silences(running, call_links, seed, faults, calling):
    """Silences that are recorded as faults and in the time line."""

    def on_silence(kind, text):
        faults.record("silent", 0, kind)
        calling.on_silence(kind, text)

    return silences.Silences(running, call_links, seed, on_silence)


def _capacity_changes(seed, faults, promises):
    """Changes of capacities that are recorded as faults and in the time line."""

    def on_change(text):
        faults.record("capacity", 0, text)
        promises.record(text)

    return capacities.Capacities(promises, seed, on_change)


def _silence_once(silencing, promises):
    """Silence connections in a calm time, which is disturbed for a moment."""
    with promises.lock:
        promises.cancels.disturb()
        silencing.silence()
        promises.cancels.settle()


@contextlib.contextmanager
def _watch(promises, path):
    """Check continuously what runs of cancelled jobs, and that the machine is calm.

    A disk of this machine that syncs slowly, for whatever other program, disturbs the
    cell as much as an injected fault. The file at ``path`` is synced to tell.
    """
    stopping = threading.Event()

    def watch():
        with path.open("wb", buffering=0) as file:
            while not stopping.wait(WATCH_S):
                began_s = time.monotonic()
                file.write(b" ")
                os.fsync(file.fileno())
                promises.on_disk_synced(int((time.monotonic() - began_s) * 1000))
                promises.check_cancels()

    thread = threading.Thread(target=watch)
    thread.start()
    try:
        yield
    finally:
        stopping.set()
        thread.join()
