"""One seeded day of the soak: a cell of real processes, its callers and its faults.

>>> report = play(7, folder, 10)  # doctest: +SKIP
>>> report.broken  # doctest: +SKIP
[]
"""

import contextlib
import json
import random
import time
import typing

import urllib3

from alderreach.core.generated import common
from tools import cell, relay, seeded_cell
from tools.soak import callers as callers_module
from tools.soak import faults as faults_module
from tools.soak import promises as promises_module
from tools.standins import platform_worker

CONTROLLERS, FRONTENDS, WORKERS = 4, 2, 4
CPU_MILLIS = 8000
WORK_MS = (60, 250, 900)
# After the last fault: elections, leases of 4.5 s, connections held by the kernel.
CALM_S = 60
CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": "q",
            "host": callers_module.HOST,
            "path_prefix": callers_module.PREFIX,
            "timeout_ms": 3000,
            "target_latency_ms": 500,
            "service": "pool",
            "max_attempts": 3,
            "stretch": 2.0,
        }
    ],
    "services": [{"name": "pool"}],
}


class Report(typing.NamedTuple):
    """What a day showed; ``broken`` is a line for each promise that did not hold."""

    seed: int
    broken: list
    accepted: int
    cancelled: int
    refused: int
    starts: int
    answers: list
    latency: typing.Any
    faults: list


class Worker(platform_worker.PlatformWorker):
    """A stand-in worker behind the relay, whose starts and ends are checked."""

    def __init__(self, name, address, relayed, link, controls, promises, work_ms):
        super().__init__(name, address, controls, work_ms=work_ms, world=promises)
        self.relayed = relayed
        self.link = link
        self.worker.capacity = common.Resources(CPU_MILLIS, 16384, 0)
        promises.workers.append(self.worker)

    def crash(self):
        """Stop answering for good; what ran is gone."""
        with self._lock:
            self.worker.crash()

    def restart(self):
        """Begin a new life under the same id."""
        with self._lock:
            self.worker.restart()


def play(seed, folder, duration_s):
    """Play a seed's faults for so long, then wait until all is as it should be."""
    lots = random.Random(f"workers {seed}")
    promises = promises_module.Promises()
    with contextlib.ExitStack() as stack:
        running = stack.enter_context(
            seeded_cell.SeededCell(folder, CONTROLLERS, FRONTENDS)
        )
        links = relay.Relay()
        stack.callback(links.close)
        running.start()
        controls = [plan.control for plan in running.of_role("controller")]
        cell.wait_until(lambda: _configure(controls), "a configuration is accepted")
        workers = _start_workers(running, links, controls, promises, lots, stack)
        addresses = _link_frontends(running, links)
        _wait_ready(running)
        calling = callers_module.Callers(
            addresses, promises, random.Random(f"callers {seed}")
        ).start()
        stack.callback(calling.stop)
        troubles = faults_module.Faults(
            running, links, workers, random.Random(f"faults {seed}")
        )
        troubles.play(duration_s)
        calling.stop()
        _check_calm(calling, promises)
        return Report(
            seed,
            list(promises.broken),
            len(calling.accepted),
            len(calling.cancelled),
            len(promises.refused),
            promises.starts,
            calling.answers,
            calling.latency,
            troubles.happened,
        )


def _configure(controls):
    http = urllib3.PoolManager(retries=False, timeout=2)
    try:
        body = json.dumps(CONFIG).encode()
        url = f"http://{controls[0]}/-/config"
        return http.request("PUT", url, body=body).status == 200
    except urllib3.exceptions.HTTPError:
        return False


def _start_workers(running, links, controls, promises, lots, stack):
    made = []
    for number in range(1, WORKERS + 1):
        listen, target = (
            f"127.{running.octet}.7.{number}",
            f"127.{running.octet}.8.{number}",
        )
        links.add(f"worker-{number}", (listen, 7096), (target, 7096))
        worker = Worker(
            f"i-{number}",
            f"{target}:7096",
            f"{listen}:7096",
            f"worker-{number}",
            controls,
            promises,
            lots.choice(WORK_MS),
        )
        stack.callback(worker.close)
        made.append(worker.start())
    return made


def _link_frontends(running, links):
    """Callers reach the frontends through the relay too; returns the addresses."""
    addresses = []
    for number, plan in enumerate(running.of_role("frontend"), 1):
        listen = f"127.{running.octet}.6.{number}"
        host, _, port = plan.callers.rpartition(":")
        links.add(f"callers-{number}", (listen, int(port)), (host, int(port)))
        addresses.append(f"{listen}:{port}")
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


def _check_calm(calling, promises):
    """All accepted jobs end as they should; nothing is left of cancelled ones."""
    session = calling.session()
    left = [job_id for job_id in calling.accepted if job_id not in calling.cancelled]
    give_up_s = time.monotonic() + CALM_S
    while left and time.monotonic() < give_up_s:
        left = [j for j in left if calling.state(session, j) != "completed"]
        time.sleep(0.2)
    promises.broken += [f"{job_id} is not completed" for job_id in left]
    for job_id in calling.accepted:
        if job_id in calling.cancelled:
            if promises.running(job_id):
                promises.broken.append(f"{job_id} was cancelled and runs on")
        elif job_id not in left and promises.unfinished(job_id):
            promises.broken.append(f"{job_id} is shown as completed and is not")
