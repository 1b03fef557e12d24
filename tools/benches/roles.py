"""Bench: processor time, memory and network use of each daemon of a complete cell.

Starts a cell with 4 failure domains, 8 entry VMs and 5 keepers, and reads the processor
time and memory of each process from the kernel: idle with 0, 24 and 96 stand-in
workers, and while callers send requests. The costs per target and per request that
docs/CAPACITY.md uses come from the benches of the placer, the keeper and the entry;
this one gives the fixed cost of each role, and shows that no other cost was missed.
"""

import json
import os
import pathlib
import re
import tempfile
import threading
import time
import typing

import urllib3

from tools import cell as cells
from tools import probe
from tools.standins import targets

MEASURE_S = 10
WORKERS = (0, 24, 96)
CALLERS = 16
CAPACITY = {"cpu_millis": 64_000, "memory_mb": 131_072, "accelerators": 0}
RUNNERS = 24
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class Sample(typing.NamedTuple):
    """The resource use of one process at one time."""

    cpu_s: float
    rss_mb: float
    sent: float
    received: float


def sample(cell, http, plan):
    pid = cell.processes[plan.name].pid
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    rss_kb = int(re.search(r"VmRSS:\s+(\d+)", status).group(1))
    text = http.request("GET", f"http://{plan.platform}/metrics").data.decode()
    gauge = lambda name: float(re.search(rf"^{name} (\S+)", text, re.M).group(1))
    return Sample(
        (int(fields[11]) + int(fields[12])) / TICKS_PER_S,
        rss_kb / 1024,
        gauge("alderreach_peer_messages_bytes_sent"),
        gauge("alderreach_peer_messages_bytes_received"),
    )


def measure(cell, http, label, during=lambda: None):
    """Print the mean and maximum cost of each role over one measurement period."""
    before = {plan.name: sample(cell, http, plan) for plan in cell.plans}
    started = time.monotonic()
    during()
    time.sleep(max(0.0, MEASURE_S - (time.monotonic() - started)))
    length_s = time.monotonic() - started
    after = {plan.name: sample(cell, http, plan) for plan in cell.plans}
    for role in ("entry", "placer", "keeper"):
        names = [plan.name for plan in cell.of_role(role)]
        cpu = [(after[n].cpu_s - before[n].cpu_s) / length_s * 100 for n in names]
        rss = [after[n].rss_mb for n in names]
        sent = [(after[n].sent - before[n].sent) / length_s / 1000 for n in names]
        got = [
            (after[n].received - before[n].received) / length_s / 1000 for n in names
        ]
        print(
            f"{label}: {role}: cpu {sum(cpu) / len(cpu):.1f} % of a core "
            f"(most {max(cpu):.1f}), rss {max(rss):.0f} MB, peers' bytes "
            f"out {max(sent):.1f} in {max(got):.1f} KB/s"
        )


def call_for(cell, duration_s, callers):
    """Run closed-loop callers over all entries; returns requests and failures."""
    entries = [plan.callers for plan in cell.of_role("entry")]
    counts, failures = [0] * callers, [0] * callers
    deadline = time.monotonic() + duration_s

    def run(place):
        pool = urllib3.PoolManager(retries=False, timeout=10)
        entry = entries[place % len(entries)]
        url = f"http://{entry}/v1/services/{probe.SERVICE}/requests"
        while time.monotonic() < deadline:
            answer = pool.request(
                "POST", url, body=b"{}", headers={"Alderreach-Team": probe.TEAM}
            )
            counts[place] += 1
            failures[place] += answer.status != 200

    threads = [threading.Thread(target=run, args=(n,)) for n in range(callers)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return sum(counts), sum(failures)


def apply(cell):
    from tools import demo

    (cell.folder / "operator.token").write_text(cells.TOKEN + "\n")
    path = cell.folder / "bench.toml"
    path.write_text(probe.questionnaire(RUNNERS))
    demo.client(cell, "questionnaire", "apply", str(path), "--yes")


def main():
    http = urllib3.PoolManager(retries=False, timeout=10)
    with tempfile.TemporaryDirectory() as folder, cells.Cell(folder) as cell:
        cell.start()
        cell.wait_ready()
        apply(cell)
        started = 0
        for number in WORKERS:
            for domain in cells.DOMAINS:
                start_workers(cell, domain, started // 4, number // 4)
            started = number
            time.sleep(3)
            measure(cell, http, f"idle, {number} workers")
        counted = []
        measure(
            cell,
            http,
            f"{CALLERS} callers",
            lambda: counted.append(call_for(cell, MEASURE_S, CALLERS)),
        )
        print(json.dumps({"requests": counted[0][0], "failed": counted[0][1]}))


def start_workers(cell, domain, first, last):
    specs = targets.make_specs(cell, domain, last, 0, capacity=CAPACITY, work_ms=5)
    if specs[first:]:
        targets.start(cell, f"targets-{domain}-{last}", specs[first:])


if __name__ == "__main__":
    main()
