"""Bench: requests per second, latency and cost of one entry with a pool of runners.

The keepers, placer and runners are the fakes of the tests, in the process of the bench.
The entry and the callers are separate processes, so that the processor time and memory
of the entry can be measured. Requests take no run time: the figures are the entry's
cost.
"""

import contextlib
import pathlib
import resource
import subprocess
import sys
import tempfile
import threading
import time

import urllib3
from hdrh.histogram import HdrHistogram

from alderreach.core.generated import common, placer
from alderreach.utils import clocks, link_health, transport
from tests import entry_fake_runner, entry_fakes

CALLERS = (1, 8, 64)
SPAN_S = 4
WARM_S = 1
RUNNERS = 6
MAX_LATENCY_US = 60_000_000
COMMAND = "python tools/bench.py entry"
PATH = "/v1/services/closures/requests"
CLOCK_TICKS = 100
MODES = {
    "idempotent": {},
    "keyed": {"Alderreach-Non-Idempotent": "true"},
}


class Peers:
    """The fakes behind a real transport, at the addresses in the entry's settings."""

    def __init__(self, stack, runners):
        self._runners = runners
        self.keepers = entry_fakes.Keepers()
        self.addresses = [entry_fakes.free_address() for _ in range(2)]
        self._links = []
        for name, address in zip(("keeper-1", "placer-1"), self.addresses, strict=True):
            link = transport.Transport(
                ("cell", name, "b"),
                address,
                {},
                self._deliver,
                clocks.SYSTEM,
                link_health.Rules(250, 3000),
            ).start()
            stack.callback(link.close)
            self._links.append(link)

    def _deliver(self, received):
        message = received.message
        if isinstance(message, placer.WatchTargets):
            views = [runner.view for runner in self._runners]
            reply = placer.TargetsView(entry_fakes.DOMAIN, 1, 0, 1, views)
        else:
            reply = self.keepers.handle(message)
        if reply is not None:
            self._links[0].send(received.reply_address, reply)


def configure(keepers):
    quota = common.Resources(4000, 4096, 0)
    keepers.put("team/guides", common.Team("guides", quota, 1, "waiting"))
    load = entry_fakes.workload("closures", "service")
    keepers.put("workload/desk/closures", load)


def start_entry(stack, peers):
    """Start an entry; returns its process and its address for callers."""
    folder = stack.enter_context(tempfile.TemporaryDirectory())
    callers = entry_fakes.free_address()
    text = entry_fakes.SETTINGS.format(
        folder=folder, callers=callers, operators=entry_fakes.free_address(), limits=""
    )
    text = text.replace('127.0.0.1:1"', f'{entry_fakes.free_address()}"')
    text = text.replace('127.0.0.1:2"', f'{peers.addresses[0]}"')
    text = text.replace('127.0.0.1:3"', f'{peers.addresses[1]}"')
    pathlib.Path(folder, "tokens").write_text("operator token\n")
    path = pathlib.Path(folder, "entry.toml")
    path.write_text(text)
    command = [sys.executable, "-m", "alderreach.scripts.entry", str(path)]
    process = subprocess.Popen(command, stderr=subprocess.DEVNULL)
    stack.callback(process.wait)
    stack.callback(process.terminate)
    return process, callers


def call_for_a_while(address, headers, end_s, histogram, number):
    """Run one caller, which sends its requests one by one on one connection."""
    pool = urllib3.HTTPConnectionPool(address.split(":")[0], int(address.split(":")[1]))
    done = 0
    while time.monotonic() < end_s:
        sent = {"Alderreach-Team": "guides"} | headers
        if headers:
            sent["Idempotency-Key"] = f"{number}-{end_s}-{done}"
        started = time.perf_counter()
        answer = pool.request("POST", PATH, body=b"{}", headers=sent, retries=False)
        if answer.status == 200:
            took_us = int((time.perf_counter() - started) * 1_000_000)
            histogram.record_value(max(1, took_us))
        done += 1


def callers_main(address, mode, number, span_s):
    """Main function of the callers' process: prints answered requests, p50 and p99."""
    histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
    end_s = time.monotonic() + float(span_s)
    threads = [
        threading.Thread(
            target=call_for_a_while,
            args=(address, MODES[mode], end_s, histogram, each),
        )
        for each in range(int(number))
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    p50, p99 = (histogram.get_value_at_percentile(each) for each in (50, 99))
    print(histogram.get_total_count(), p50 / 1000, p99 / 1000)


def run_callers(address, mode, number, span_s):
    arguments = [address, mode, str(number), str(span_s)]
    command = [sys.executable, "-m", "tools.benches.entry", *arguments]
    output = subprocess.run(command, capture_output=True, text=True, check=True)
    return [float(word) for word in output.stdout.split()]


def processor_s(pid):
    """The processor time that a process has used so far."""
    words = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(words[11]) + int(words[12])) / CLOCK_TICKS


def resident_mb(pid):
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * resource.getpagesize() / 1024 / 1024


def measure(process, address, mode, number):
    run_callers(address, mode, number, WARM_S)
    before_s = processor_s(process.pid)
    answered, p50_ms, p99_ms = run_callers(address, mode, number, SPAN_S)
    spent_ms = (processor_s(process.pid) - before_s) * 1000
    print(
        f"{mode:10} {number:3} callers  {answered / SPAN_S:7.0f} requests/s  "
        f"p50 {p50_ms:.2f} ms  p99 {p99_ms:.2f} ms  "
        f"{spent_ms / answered:.2f} ms CPU/request  {resident_mb(process.pid):.0f} MiB"
    )


def main():
    print(COMMAND)
    with contextlib.ExitStack() as stack:
        runners = [
            entry_fake_runner.FakeRunner(stack, f"runner-{number}", slots=16)
            for number in range(RUNNERS)
        ]
        peers = Peers(stack, runners)
        configure(peers.keepers)
        process, address = start_entry(stack, peers)
        http = urllib3.PoolManager(retries=False)
        headers = {"Alderreach-Team": "guides"}

        def is_up():
            try:
                url = f"http://{address}{PATH}"
                answer = http.request("POST", url, body=b"{}", headers=headers)
            except urllib3.exceptions.HTTPError:
                return False
            return answer.status == 200

        entry_fakes.wait_until(is_up)
        for mode in MODES:
            for number in CALLERS:
                measure(process, address, mode, number)


if __name__ == "__main__":
    callers_main(*sys.argv[1:])
