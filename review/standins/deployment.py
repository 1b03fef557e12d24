"""A small deployment on loopback addresses: the project's programs and stand-ins.

The programs are started with the commands of ``deploy/system.toml``, and their settings
are made from the templates there. Three core machines run the controller, edge machines
the frontend, and each runner is a process of ``standins.runner``.
"""

import contextlib
import http.client
import json
import os
import pathlib
import random
import re
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

from standins import proxy

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HOST = "jobs.example"
PREFIX = "/jobs/"
SERVICE = "pool"
PEER_PORT, CONTROL_PORT, FRONTEND_PORT, READINESS_PORT = 7720, 8166, 8161, 8167
RUNNER_PORT, METRICS_PORT = 8367, 9464
RUNNERS_PER_RACK = 3
SETTINGS_PATH = "/etc/alderreach/settings.toml"
BOUNDS = {"max_hold_ms": 6000, "stable_window_ms": 3000}
ROUTE = {
    "name": "r-jobs",
    "host": HOST,
    "path_prefix": PREFIX,
    "type": "non_idempotent",
    "timeout_ms": 3000,
    "target_latency_ms": 1200,
    "priority": 0,
    "service": SERVICE,
    "max_attempts": 4,
    "stretch": 2.2,
}
CONFIG = {
    "version": 7,
    "routes": [ROUTE],
    "services": [
        {
            "name": SERVICE,
            "health_check_path": "/health",
            "max_connections": 64,
            "protocol": "h1",
            "tls": False,
            "enforces_capacity": False,
            "standby": False,
        }
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 262144,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
}


class CannotRun(Exception):
    """The case could not be played, which says nothing about the rule."""


class Record:
    """The file ``record.txt`` of a case: what was sent, answered and run, and when."""

    def __init__(self, path):
        self._file = open(path, "w", buffering=1)
        self._began_s = time.monotonic()
        self._lock = threading.Lock()

    def now_s(self):
        """Seconds since the case began."""
        return time.monotonic() - self._began_s

    def write(self, text):
        """Write one line with its time."""
        with self._lock:
            self._file.write(f"{self.now_s():8.3f}  {text}\n")


class Runner:
    """A runner's process and the events that it has printed, with their times."""

    def __init__(self, name, host, command, record):
        self.name, self.host = name, host
        self._command, self._record = command, record
        self.events = []
        self.on_event = lambda runner, event: None
        self.process = None

    def start(self):
        """Start a new boot."""
        self.process = subprocess.Popen(
            self._command, stdout=subprocess.PIPE, cwd=ROOT, env=_environment()
        )
        threading.Thread(target=self._read, args=[self.process], daemon=True).start()

    def signal(self, number):
        """Send a signal to the process."""
        self._record.write(f"{self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    def kill(self):
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        self.process.wait()

    def _read(self, process):
        for line in process.stdout:
            event = json.loads(line)
            event["at_s"] = self._record.now_s()
            self.events.append(event)
            self._record.write(f"{self.name}: {line.decode().strip()}")
            self.on_event(self, event)


class Deployment:
    """Three controllers, frontends and runners; leaving the context ends them all."""

    def __init__(
        self,
        record,
        frontends=2,
        runners=8,
        delay_ms=0,
        first_report_ms=0,
        proxied=False,
    ):
        self.record = record
        self.proxies = []
        self._runner_options = ["--delay_ms", str(delay_ms)]
        self._runner_options += ["--first_report_ms", str(first_report_ms)]
        self._stack = contextlib.ExitStack()
        self.folder = pathlib.Path(
            self._stack.enter_context(tempfile.TemporaryDirectory())
        )
        network = _free_network()
        self.controllers = [f"{network}.1.{n}" for n in range(1, 4)]
        self.frontends = [f"{network}.2.{n}" for n in range(1, frontends + 1)]
        self.controls = [f"{host}:{CONTROL_PORT}" for host in self.controllers]
        self.processes = {}
        self._placed = {}
        self.runners = [
            self._runner(f"i-{n:04x}", f"{network}.3.{n}", n, proxied)
            for n in range(1, runners + 1)
        ]

    def __enter__(self):
        for host in self.controllers:
            self._start_program("controller", "core", host)
        for host in self.frontends:
            self._start_program("frontend", "edge", host)
        _wait_for(self._is_configured, "a config is acknowledged")
        for runner in self.runners:
            runner.start()
        _wait_for(self._is_ready, "the frontends are ready")
        # Each runner has sent a liveness report, and the core has been calm.
        time.sleep(4)
        return self

    def __exit__(self, *_details):
        processes = [runner.process for runner in self.runners if runner.process]
        for process in [*processes, *self.processes.values()]:
            if process.poll() is None:
                process.kill()
                process.wait()
        self._stack.close()

    def call(self, method, path, body=None, frontend=0, timeout_s=3.0):
        """Send a client's request; returns status and body, or (None, why)."""
        address = f"{self.frontends[frontend]}:{FRONTEND_PORT}"
        headers = {"Host": HOST, "Content-Type": "application/json"}
        headers["Deadline-Ms"] = str(int(timeout_s * 1000))
        data = None if body is None else json.dumps(body)
        answer = request(address, method, path, data, headers, timeout_s)
        self.record.write(f"client: {method} {path} at {address} {data or ''}")
        self.record.write(f"client: answered {answer}")
        return answer

    def submit(self, job_id, body):
        """Hand a job in, at one frontend after another until it is acknowledged."""
        for attempt in range(10):
            frontend = attempt % len(self.frontends)
            if self.call("POST", PREFIX + job_id, body, frontend)[0] == 200:
                return
            time.sleep(0.3)
        raise CannotRun("the job was not accepted")

    def state(self, job_id):
        """The state of a job as shown to its client, or None."""
        for frontend in range(len(self.frontends)):
            status, body = self.call("GET", PREFIX + job_id, frontend=frontend)
            if status == 200:
                return json.loads(body)["state"]
        return None

    def restart_ended(self):
        """Start programs again that have ended; returns their names and exit codes.

        As on the platform, the settings say then that it is not the first start.
        """
        ended = {
            name: process.returncode
            for name, process in self.processes.items()
            if process.poll() is not None
        }
        for name, code in ended.items():
            self.record.write(f"{name} has ended by itself with code {code}")
            self._start_program(*self._placed[name], is_first=False)
        return ended

    def _runner(self, name, host, number, proxied):
        command = [sys.executable, "-m", "standins.runner", "--name", name]
        command += ["--host", host, "--port", str(RUNNER_PORT)]
        command += ["--controls", ",".join(self.controls)]
        rack = (number - 1) // RUNNERS_PER_RACK
        command += ["--zone", f"zone-{1 + rack % 3}", "--rack", f"r1-{rack}"]
        command += self._runner_options
        if proxied:
            address = host.replace(".3.", ".4.")
            self.proxies.append(proxy.Proxy(address, host, RUNNER_PORT, self.record))
            self._stack.callback(self.proxies[-1].close)
            command += ["--announce", f"{address}:{RUNNER_PORT}"]
        return Runner(name, host, command, self.record)

    def _start_program(self, role, machine_class, host, is_first=True):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        name = f"{role}-{host.rpartition('.')[2]}"
        self._placed[name] = (role, machine_class, host)
        data_folder = self.folder / "data" / name
        fields = self._settings_fields(name, machine_class, host, str(data_folder))
        fields["bootstrap"] = is_first
        text = render((ROOT / deploy[role]["template"]).read_text(), fields)
        # An edge machine has no disk; its folder in the template is one of a machine
        # of its own, while these programs share one machine.
        text = text.replace('"/tmp/alderreach"', json.dumps(str(data_folder)))
        settings = self.folder / f"{name}.toml"
        settings.write_text(text)
        words = shlex.split(deploy[role]["run"])
        words = [str(settings) if word == SETTINGS_PATH else word for word in words]
        log = (self.folder / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            words, stdout=log, stderr=subprocess.STDOUT, cwd=ROOT, env=_environment()
        )
        log.close()

    def _settings_fields(self, name, machine_class, host, data_folder):
        return {
            "node_name": name,
            "machine_class": machine_class,
            "ip": host,
            "zone": f"zone-{host.rpartition('.')[2]}",
            "region": "region",
            "internal_port_range": [PEER_PORT, PEER_PORT + 15],
            "seeds": ",".join(self.controls),
            "bootstrap": True,
            "data_dir": data_folder,
            "heartbeat_ms": 1500,
            "advice": "",
            "bounds": BOUNDS,
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "listen_addrs": {
                "frontend": f"{host}:{FRONTEND_PORT}",
                "readiness_addr": f"{host}:{READINESS_PORT}",
                "control": f"{host}:{CONTROL_PORT}",
            },
        }

    def log_of(self, name):
        """What a program has written."""
        return (self.folder / f"{name}.log").read_text(errors="replace")

    def _is_configured(self):
        body = json.dumps(CONFIG)
        status, _ = request(self.controls[0], "PUT", "/-/config", body, {}, 1.0)
        return status == 200

    def _is_ready(self):
        return all(
            request(f"{host}:{READINESS_PORT}", "GET", "/-/readiness", None, {}, 1.0)[0]
            == 200
            for host in self.frontends
        )


def request(address, method, path, data, headers, timeout_s):
    """Send one HTTP request; returns status and body, or (None, why)."""
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        connection.request(method, path, data, headers)
        response = connection.getresponse()
        return response.status, response.read().decode()
    except (OSError, http.client.HTTPException) as error:
        return None, str(error) or type(error).__name__
    finally:
        connection.close()


def render(template, fields):
    """Fill in a template of settings, as far as ``deploy/`` uses its placeholders."""

    def value_of(name):
        found = fields
        for part in name.split("."):
            found = found[int(part)] if part.isdigit() else found[part]
        return found

    def section(match):
        is_shown = bool(value_of(match[2])) == (match[1] == "#")
        return match[3] if is_shown else ""

    text = re.sub(r"\{\{([#^])(\w+)\}\}(.*?)\{\{/\2\}\}", section, template)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(value_of(match[1])), text)


def main(play, record_path, has_trouble):
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 if not played.

    ``play(record, has_trouble)`` returns a text that says how the rule was broken, or
    an empty one. The record is written to ``record_path``.
    """
    record = Record(record_path)
    record.write("with the disruption" if has_trouble else "without the disruption")
    try:
        broken = play(record, has_trouble)
    except CannotRun as error:
        record.write(f"could not run: {error}")
        sys.exit(2)
    verdict = f"RULE BROKEN: {broken}" if broken else "the rule held"
    record.write(verdict)
    print(verdict)
    sys.exit(1 if broken else 0)


def _wait_for(condition, what, timeout_s=30):
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline_s:
            raise CannotRun(f"not within {timeout_s} s: {what}")
        time.sleep(0.1)


def _free_network():
    """The first two numbers of loopback addresses on which the ports are free."""
    for _ in range(50):
        network = f"127.{random.randrange(16, 250)}"
        hosts = [f"{network}.{kind}.1" for kind in (1, 2, 3)]
        ports = (PEER_PORT, CONTROL_PORT, FRONTEND_PORT, RUNNER_PORT, METRICS_PORT)
        with contextlib.ExitStack() as stack:
            try:
                for host in hosts:
                    for port in ports:
                        holder = stack.enter_context(socket.socket())
                        holder.bind((host, port))
            except OSError:
                continue
            return network
    raise CannotRun("no free loopback addresses")


def _environment():
    paths = [str(ROOT / "target/deps"), str(ROOT), str(ROOT / "review")]
    return os.environ | {"PYTHONPATH": os.pathsep.join(paths)}
