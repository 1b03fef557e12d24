"""Runs a cell of real controllers and frontends that find each other through seeds.

>>> with seeded_cell.SeededCell(folder) as running:  # doctest: +SKIP
...     running.start()
...     running.wait_ready()
"""

import contextlib
import pathlib

import urllib3

from tools import cell

PORTS = {"controller": 7004, "frontend": 7005}
CALLERS_PORT = 7083
CONTROL_PORT = 7084
BALANCER_PORT = 7085
PLATFORM_PORT = 7094
PERMISSION = "127.{octet}.9.1:7095"


class Plan(cell.Plan):
    """One process; each controller and frontend has its own host address."""

    @property
    def callers(self):
        return f"{self.host}:{CALLERS_PORT}"

    @property
    def control(self):
        return f"{self.host}:{CONTROL_PORT}"

    @property
    def balancer(self):
        return f"{self.host}:{BALANCER_PORT}"

    @property
    def peers(self):
        return f"{self.host}:{PORTS['controller']}"

    @property
    def platform(self):
        return f"{self.host}:{PLATFORM_PORT}"


class SeededCell(cell.Cell):
    """Controllers ``controller-1``..., the first three of them seeds, and frontends."""

    def __init__(self, folder, controllers=3, frontends=1):
        self.folder = pathlib.Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self._stack = contextlib.ExitStack()
        self.octet = cell.claim_octet(self._stack)
        self.processes = {}
        self.http = urllib3.PoolManager(retries=False, timeout=5)
        self.permission = PERMISSION.format(octet=self.octet)
        names = [("controller", number) for number in range(1, controllers + 1)]
        names += [("frontend", number) for number in range(1, frontends + 1)]
        self.plans = [self._plan(*name) for name in names]
        for plan in self.plans:
            self.write_settings(plan)

    def write_settings(self, plan, found="yes"):
        """Write the settings of a process; ``found`` is the key ``discovery.found``."""
        plan.settings.write_text(self._text(plan, found))

    def _plan(self, role, number):
        name = f"{role}-{number}"
        domain = cell.DOMAINS[(number - 1) % len(cell.DOMAINS)]
        host = f"127.{self.octet}.{1 + (role == 'frontend')}.{number}"
        return Plan(name, role, domain, host, self.folder / f"{name}.toml")

    def _text(self, plan, found):
        seeds = ",".join(p.control for p in self.of_role("controller")[:3])
        is_controller = plan.role == "controller"
        lines = ["[process]", 'cell = "cell"', f'vm = "{plan.name}"']
        lines += [f'name = "{plan.peers if is_controller else plan.name}"']
        lines += [f'failure_domain = "{plan.failure_domain}"']
        lines += [f'data_folder = "{self.folder / "data" / plan.name}"']
        lines += [
            "[listen]",
            f'peers = "{plan.peers}"',
            f'platform = "{plan.platform}"',
        ]
        if not is_controller:
            lines += [f'callers = "{plan.callers}"', f'balancer = "{plan.balancer}"']
        lines += ["[discovery]", f'seeds = "{seeds}"', f'found = "{found}"']
        lines += [f"peer_port = {PORTS['controller']}"]
        lines += ["[cell]", f'permission = "{self.permission}"']
        if is_controller:
            lines += [f'control = "{plan.control}"']
        lines += ["[timing]", "drain_ms = 3000", "election_timeout_ms = 500"]
        lines += ["leader_beat_ms = 100"]
        return "\n".join(lines) + "\n"
