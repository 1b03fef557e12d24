"""Bench: commits, idle cost, takeover, catch-up, restart and memory of keepers."""

import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import time

import pynng

from alderreach.core import codec
from alderreach.core.generated import keeper
from tests import keeper_support
from tools import cell

DEFAULTS = {"timing": {}}
LATENCY_WRITES = 500
RATE_WRITES = 20_000
MAX_IN_FLIGHT = 256
IDLE_S = 10
TAKEOVERS = 5
MISSED_CHANGES = 1000
FOLLOWERS = (100, 300)
SPREAD_WRITES = 20
KEYS = 100_000
MEMORY_POINTS = (50_000, 100_000, 200_000)
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def main():
    """Measure and print all figures."""
    for voters in (3, 5):
        with running(voters) as (cell_, client):
            commits(client, voters)
            idle(cell_, voters)
    for count in FOLLOWERS:
        with running(5) as (cell_, client):
            spread(cell_, client, count)
    with running(5) as (cell_, client):
        takeover(cell_, client)
    with running(3) as (cell_, client):
        catch_up(cell_, client)
    with running(3) as (cell_, client):
        restart(cell_, client)
    memory()


def running(voters):
    folder = tempfile.mkdtemp(prefix="keeper-bench-")
    return keeper_support.running_keepers(folder, voters, DEFAULTS)


def write(key):
    return keeper.WriteItems(
        "", "bench", [keeper.ItemWrite(key, -1, b"v" * 200)], "", 0, 0
    )


def claim(number):
    return keeper.RecordIntent(
        f"team/key-{number:08}", "service", "d" * 32, "entry-1", "b" * 12, "r" * 32, 0
    )


def quantile(values, share):
    return sorted(values)[min(int(len(values) * share), len(values) - 1)]


def commits(client, voters):
    spent_ms = []
    for number in range(LATENCY_WRITES):
        started = time.perf_counter()
        client.ask(write(f"team/{number}"))
        spent_ms.append((time.perf_counter() - started) * 1000)
    print(
        f"commit latency, one writer, {voters} voters: "
        f"p50 {quantile(spent_ms, 0.5):.2f} ms, p99 {quantile(spent_ms, 0.99):.2f} ms"
    )
    started = time.perf_counter()
    send_all(client, [write(f"team/{number}") for number in range(RATE_WRITES)])
    rate = RATE_WRITES / (time.perf_counter() - started)
    print(f"changes/s, {MAX_IN_FLIGHT} under way, {voters} voters: {rate:.0f}")


def send_all(client, commands):
    """Send commands, MAX_IN_FLIGHT at a time; all must be answered ok."""
    tickets = []
    for command in commands:
        tickets.append(client.start(command, 60_000))
        if len(tickets) >= MAX_IN_FLIGHT:
            check(tickets.pop(0))
    for ticket in tickets:
        check(ticket)


def check(ticket):
    if ticket.wait(70_000).status != "ok":
        raise RuntimeError("a command was not answered ok")


def cpu_s(process):
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text().split()
    return (int(fields[13]) + int(fields[14])) / TICKS_PER_S


def sent_bytes(cell_, name):
    url = f"http://{cell_.plan(name).platform}/metrics"
    lines = cell_.http.request("GET", url).data.decode().splitlines()
    wanted = "alderreach_peer_messages_bytes_sent "
    return sum(float(line.split()[-1]) for line in lines if line.startswith(wanted))


def idle(cell_, voters):
    before = {
        name: (cpu_s(process), sent_bytes(cell_, name))
        for name, process in cell_.processes.items()
    }
    time.sleep(IDLE_S)
    for name, (cpu, sent) in before.items():
        spent = (cpu_s(cell_.processes[name]) - cpu) / IDLE_S * 100
        rate = (sent_bytes(cell_, name) - sent) / IDLE_S
        print(
            f"idle, {voters} voters, {name}: {spent:.1f}% of a processor, "
            f"{rate:.0f} bytes/s sent"
        )


class StandIns:
    """Followers that share one socket; each has its own address."""

    def __init__(self, octet, count):
        self.pull = pynng.Pull0(recv_timeout=10_000, recv_buffer_size=8192)
        self.pull.listen("tcp://0.0.0.0:0")
        port = socket.ntohs(self.pull.listeners[0].local_address.port)
        self.addresses = [
            f"127.{octet}.{10 + number // 200}.{number % 200 + 1}:{port}"
            for number in range(count)
        ]

    def follow(self, keepers_, version):
        """Let each follower follow a keeper, round-robin."""
        links = []
        for keeper_ in keepers_:
            links.append(pynng.Push0(dial=f"tcp://{keeper_}", send_timeout=5000))
        follow = keeper.Follow(version, ["team/"], "entry")
        for number, address in enumerate(self.addresses):
            data = codec.encode_envelope("cell", address, "boot", address, follow)
            links[number % len(links)].send(data)
        return links

    def wait(self, version):
        """Return once this version has been pushed to every follower."""
        pushed = 0
        while pushed < len(self.addresses):
            message = codec.decode_envelope("cell", self.pull.recv()).unwrap().message
            pushed += message.to_version >= version


def spread(cell_, client, count):
    """Measure the time from accepting a write until all followers have it."""
    stand_ins = StandIns(cell_.octet, count)
    keepers_ = [plan.peers for plan in cell_.of_role("keeper")]
    version = client.ask(write("team/first")).version
    spent_ms = []
    for number in range(SPREAD_WRITES):
        links = stand_ins.follow(keepers_, version)
        stand_ins.wait(version)
        changed = client.ask(write(f"team/{number}"))
        started = time.perf_counter()
        version = changed.version
        stand_ins.wait(version)
        spent_ms.append((time.perf_counter() - started) * 1000)
        for link in links:
            link.close()
    print(
        f"accepted until pushed to {count} followers of 5 keepers: "
        f"p50 {quantile(spent_ms, 0.5):.0f} ms, most {max(spent_ms):.0f} ms"
    )
    stand_ins.pull.close()


def takeover(cell_, client):
    spent_s = []
    for _trial in range(TAKEOVERS):
        leader = client.leader()
        cell_.kill(leader)
        started = time.perf_counter()
        client.ask(write("team/takeover"))
        spent_s.append(time.perf_counter() - started)
        cell_.start([leader])
        cell_.wait_ready([leader])
    values = ", ".join(f"{value:.2f}" for value in sorted(spent_s))
    print(f"kill -9 of the leader until a write is accepted, 5 voters: {values} s")


def catch_up(cell_, client):
    name = next(n for n in cell_.processes if n != client.leader())
    cell_.kill(name)
    send_all(client, [write(f"team/{number}") for number in range(MISSED_CHANGES)])
    version = client.ask(keeper.ReadItems("none/")).version
    started = time.perf_counter()
    cell_.start([name])
    cell_.wait_ready([name])
    cell.wait_until(
        lambda: client.status(name).version_in_force >= version, "caught up"
    )
    spent_s = time.perf_counter() - started
    print(
        f"keeper's start until {MISSED_CHANGES} missed changes are applied: "
        f"{spent_s:.2f} s"
    )
    started = time.perf_counter()
    while client.replica.version < version:
        client.follow(name)
        client.pages.get(timeout=10)
    spent_s = time.perf_counter() - started
    print(
        f"follower's {MISSED_CHANGES} missed changes, in chunks of 500: {spent_s:.3f} s"
    )


def restart(cell_, client):
    started = time.perf_counter()
    send_all(client, [claim(number) for number in range(KEYS)])
    rate = KEYS / (time.perf_counter() - started)
    print(f"claims/s, {MAX_IN_FLIGHT} under way, 3 voters: {rate:.0f}")
    name = next(n for n in cell_.processes if n != client.leader())
    cell.wait_until(lambda: client.status(name).detail["keys"] == KEYS, "all keys")
    for each, process in cell_.processes.items():
        pages = pathlib.Path(f"/proc/{process.pid}/statm").read_text().split()[1]
        print(f"{each} with {KEYS} keys: {int(pages) * PAGE_BYTES >> 20} MiB resident")
    cell_.kill(name)
    started = time.perf_counter()
    cell_.start([name])
    cell_.wait_ready([name])
    spent_s = time.perf_counter() - started
    print(f"start with {KEYS} keys until ready: {spent_s:.2f} s")


MEASURE = """
import sys
from alderreach.core import codec, keeper_state
from tools.benches import keeper as bench

def resident():
    return int(open("/proc/self/statm").read().split()[1]) * bench.PAGE_BYTES

make = {"key": bench.claim, "item": lambda n: bench.write(f"team/item-{n:08}")}
kind, count = sys.argv[1], int(sys.argv[2])
state, before = keeper_state.State(), resident()
for number in range(count):
    data = codec.pack(make[kind](number))
    keeper_state.apply(state, codec.unpack(data).unwrap(), number + 1, 0)
print(resident() - before)
"""


def memory():
    root = pathlib.Path(__file__).resolve().parent.parent.parent
    for kind in ("key", "item"):
        points = []
        for count in MEMORY_POINTS:
            command = [sys.executable, "-c", MEASURE, kind, str(count)]
            output = subprocess.run(command, cwd=root, capture_output=True, check=True)
            points.append(int(output.stdout))
        first, last = MEMORY_POINTS[0], MEMORY_POINTS[-1]
        slope = (points[-1] - points[0]) / (last - first)
        shown = ", ".join(f"{point >> 20} MiB" for point in points)
        print(f"memory of {MEMORY_POINTS} {kind}s: {shown}; {slope:.0f} bytes each")
