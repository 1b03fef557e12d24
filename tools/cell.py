"""Start a deployment of real processes on loopback addresses, for demo, tests, benches.

Each VM is one address 127.<octet>.<domain>.<number>. An entry VM runs an entry and a
placer; the first ones also run a keeper, five over four domains. The octet is claimed
by binding a port, so that several cells can run on one machine.

>>> with cell.Cell(folder) as running:  # doctest: +SKIP
...     running.start()
...     running.wait_ready()
"""

import contextlib
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
import typing

import urllib3

CLAIM_PORT = 6999
PORTS = {"entry": 7001, "placer": 7002, "keeper": 7003}
CALLERS_PORT = 7080
OPERATORS_PORT = 7081
TARGETS_PORT = 7082
PLATFORM_PORTS = {"entry": 7091, "placer": 7092, "keeper": 7093}
DOMAINS = ("urubici", "bom-jardim", "cambara", "sao-joaquim")
TOKEN = "demo-operator-token"
READY_WAIT_S = 30
STOP_WAIT_S = 25


class Plan(typing.NamedTuple):
    """One process to run: its name, role, domain, address and settings file."""

    name: str
    role: str
    failure_domain: str
    host: str
    settings: pathlib.Path

    @property
    def callers(self):
        return f"{self.host}:{CALLERS_PORT}"

    @property
    def operators(self):
        return f"{self.host}:{OPERATORS_PORT}"

    @property
    def targets(self):
        return f"{self.host}:{TARGETS_PORT}"

    @property
    def peers(self):
        return f"{self.host}:{PORTS[self.role]}"

    @property
    def platform(self):
        return f"{self.host}:{PLATFORM_PORTS[self.role]}"


def claim_octet(stack):
    """Claim a free network 127.<octet>.0.0/16 until the stack closes."""
    for octet in range(10, 250):
        holder = socket.socket()
        try:
            holder.bind((f"127.{octet}.0.1", CLAIM_PORT))
        except OSError:
            holder.close()
            continue
        stack.callback(holder.close)
        return octet
    raise RuntimeError("no loopback octet is free")


def keeper_hosts(domains, voters):
    """The VMs that run a keeper, round-robin over domains, as (domain, number)."""
    return [
        (place % len(domains), place // len(domains) + 1) for place in range(voters)
    ]


def make_plans(folder, octet, domains=DOMAINS, vms=2, voters=5):
    """The processes of a cell, keepers first."""
    folder = pathlib.Path(folder)
    plans = []
    for number, (domain, vm) in enumerate(keeper_hosts(domains, voters), 1):
        plans.append(
            _plan(folder, octet, domains, f"keeper-{number}", "keeper", domain, vm)
        )
    for role in ("placer", "entry"):
        for domain, name in enumerate(domains):
            for vm in range(1, vms + 1):
                plans.append(
                    _plan(
                        folder, octet, domains, f"{role}-{name}-{vm}", role, domain, vm
                    )
                )
    return plans


def _plan(folder, octet, domains, name, role, domain, vm):
    host = f"127.{octet}.{domain + 1}.{vm}"
    return Plan(name, role, domains[domain], host, folder / f"{name}.toml")


def settings_text(plan, plans, folder, overrides, address_of):
    """The settings file of a process; ``overrides`` maps table to key to number."""
    lines = ["[process]", 'cell = "cell"', f'name = "{plan.name}"']
    lines += [f'vm = "{plan.host}"', f'failure_domain = "{plan.failure_domain}"']
    lines += [f'data_folder = "{folder / "data" / plan.name}"', "", "[listen]"]
    lines += [f'peers = "{plan.peers}"', f'platform = "{plan.platform}"']
    if plan.role == "entry":
        lines += [f'callers = "{plan.callers}"', f'operators = "{plan.operators}"']
        lines += ["", "[operators]", f'token_file = "{folder / "operators.tokens"}"']
    if plan.role == "placer":
        lines += [f'targets = "{plan.targets}"']
    for table, keys in overrides.items():
        lines += ["", f"[{table}]"]
        lines += [f"{key} = {value}" for key, value in keys.items()]
    for peer in plans:
        lines += ["", "[[peer]]", f'name = "{peer.name}"', f'role = "{peer.role}"']
        lines += [f'failure_domain = "{peer.failure_domain}"']
        lines += [f'address = "{address_of(plan, peer)}"']
    return "\n".join(lines) + "\n"


class Cell:
    """The processes of one deployment; leaving the context stops all of them.

    ``address_of(plan, peer)`` gives the address under which a process reaches a peer;
    tests that cut links put a relay's address there.
    """

    def __init__(
        self,
        folder,
        overrides=None,
        domains=DOMAINS,
        vms=2,
        voters=5,
        address_of=lambda plan, peer: peer.peers,
    ):
        self.folder = pathlib.Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self._stack = contextlib.ExitStack()
        self.octet = claim_octet(self._stack)
        self.plans = make_plans(self.folder, self.octet, domains, vms, voters)
        self.processes = {}
        self.http = urllib3.PoolManager(retries=False, timeout=5)
        tokens = self.folder / "operators.tokens"
        tokens.write_text(f"operator {TOKEN}\nsecond {TOKEN}-2\n")
        for plan in self.plans:
            text = settings_text(
                plan, self.plans, self.folder, overrides or {}, address_of
            )
            plan.settings.write_text(text)

    def __enter__(self):
        return self

    def __exit__(self, *_details):
        self.stop()
        self._stack.close()

    def plan(self, name):
        return next(plan for plan in self.plans if plan.name == name)

    def of_role(self, role, failure_domain=None):
        """The plans of a role, in one failure domain or in all."""
        return [
            plan
            for plan in self.plans
            if plan.role == role and failure_domain in (None, plan.failure_domain)
        ]

    def start(self, names=None):
        """Start all processes, or the named ones."""
        for plan in self.plans:
            if names is None or plan.name in names:
                module = f"alderreach.scripts.{plan.role}"
                self.run(plan.name, [sys.executable, "-m", module, str(plan.settings)])

    def run(self, name, command):
        """Start a command as a process of the cell; its output goes to a log file."""
        log = (self.folder / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            command,
            stdout=log,
            stderr=subprocess.STDOUT,
            cwd=ROOT,
            start_new_session=True,
        )
        log.close()

    def log(self, name):
        return (self.folder / f"{name}.log").read_text(errors="replace")

    def wait_ready(self, names=None):
        """Wait until /readyz of all started daemons, or the named ones, returns 200."""
        plans = [plan for plan in self.plans if plan.name in (names or self.processes)]
        for plan in plans:
            wait_until(lambda plan=plan: self._ready(plan), f"{plan.name} ready")

    def _ready(self, plan):
        if self.processes[plan.name].poll() is not None:
            raise RuntimeError(f"{plan.name} ended:\n{self.log(plan.name)[-2000:]}")
        try:
            return (
                self.http.request("GET", f"http://{plan.platform}/readyz").status == 200
            )
        except urllib3.exceptions.HTTPError:
            return False

    def kill(self, name):
        """Kill a process with SIGKILL and reap it."""
        self.processes[name].kill()
        self.processes[name].wait()

    def pause(self, name):
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name):
        self.processes[name].send_signal(signal.SIGCONT)

    def stop(self):
        """Terminate all processes in start order; kill those that don't exit."""
        running = [p for p in self.processes.values() if p.poll() is None]
        for process in running:
            process.send_signal(signal.SIGCONT)
            process.terminate()
        deadline = time.monotonic() + STOP_WAIT_S
        for process in running:
            try:
                process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


def wait_until(condition, what, timeout_s=READY_WAIT_S, interval_s=0.02):
    """Wait until a condition is true; returns its value, or raises naming ``what``."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(interval_s)
    raise TimeoutError(f"not within {timeout_s} s: {what}")


ROOT = pathlib.Path(__file__).resolve().parent.parent
if str(ROOT) not in os.environ.get("PYTHONPATH", ""):
    os.environ["PYTHONPATH"] = str(ROOT)
