"""Bench: the cost of announcements over HTTP to an owner placer, by number of targets.

There are one failure domain, one keeper and one placer. The bench itself announces the
workers, each on its own connection and once a second, and reads the placer's processor
time and memory from the kernel. docs/CAPACITY.md uses the cost per target.
"""

import http.client
import json
import tempfile
import threading
import time

import urllib3

from tools import cell as cells
from tools.benches import roles

NUMBERS = (0, 50, 100, 200, 400)
SENDERS = 8
MEASURE_S = 8
SETTLE_S = 4
CAPACITY = {"cpu_millis": 64_000, "memory_mb": 131_072, "accelerators": 2}


class Announcing:
    """Announces targets once a second from SENDERS threads until closed."""

    def __init__(self, address, numbers):
        self._address = address
        self._stopping = threading.Event()
        self.answered = 0
        self.failed = 0
        shares = [numbers[place::SENDERS] for place in range(SENDERS)]
        self._threads = [
            threading.Thread(target=self._run, args=(share,))
            for share in shares
            if share
        ]
        for thread in self._threads:
            thread.start()

    def close(self):
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _run(self, share):
        host, _, port = self._address.rpartition(":")
        links = {n: http.client.HTTPConnection(host, int(port)) for n in share}
        sequence = 0
        while not self._stopping.is_set():
            sequence += 1
            started = time.monotonic()
            for number, link in links.items():
                self._announce(link, number, sequence)
            self._stopping.wait(max(0.0, 1 - (time.monotonic() - started)))

    def _announce(self, link, number, sequence):
        vm = f"127.250.{number // 250}.{number % 250 + 1}"
        content = {
            "kind": "worker",
            "boot_id": f"boot-{number}",
            "sequence": sequence,
            "state": "ready",
            "vm": vm,
            "rack": f"rack-{number // 6}",
            "failure_domain": "a",
            "address": f"{vm}:9000",
            "owner_epoch_seen": 0,
            "capacity": CAPACITY,
            "usage": CAPACITY | {"cpu_millis": 0, "memory_mb": 0, "accelerators": 0},
            "tasks": [],
        }
        headers = {"Content-Type": "application/json"}
        try:
            link.request(
                "POST",
                f"/v1/targets/worker-{number}/announce",
                json.dumps(content),
                headers,
            )
            answer = link.getresponse()
            answer.read()
            self.answered += answer.status == 200
            self.failed += answer.status != 200
        except (OSError, http.client.HTTPException):
            link.close()
            self.failed += 1


def main():
    pool = urllib3.PoolManager(retries=False, timeout=10)
    with tempfile.TemporaryDirectory() as folder:
        with cells.Cell(folder, domains=("a",), vms=1, voters=1) as cell:
            cell.start()
            cell.wait_ready()
            for number in NUMBERS:
                measure(cell, pool, number)


def measure(cell, pool, number):
    """Print the cost of the placer with ``number`` announcing workers."""
    plan = cell.of_role("placer")[0]
    announcing = Announcing(plan.targets, list(range(number)))
    time.sleep(SETTLE_S)
    before, answered = roles.sample(cell, pool, plan), announcing.answered
    started = time.monotonic()
    time.sleep(MEASURE_S)
    length_s = time.monotonic() - started
    after, rate = roles.sample(cell, pool, plan), announcing.answered - answered
    announcing.close()
    cpu = (after.cpu_s - before.cpu_s) / length_s
    print(
        f"{number} workers: {rate / length_s:.0f} announcements/s, "
        f"{announcing.failed} failed, {cpu * 100:.1f} % of a core, "
        f"rss {after.rss_mb:.0f} MB"
    )


if __name__ == "__main__":
    main()
