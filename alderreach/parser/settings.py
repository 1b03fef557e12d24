"""Settings of a daemon: one TOML file, fully validated.

``load`` returns the settings, or every mistake with its file, line and key. It also
checks that the listeners and other settings that the role requires are there.
"""

import ipaddress
import pathlib
import tomllib
import typing

from alderreach.core import problems
from alderreach.core.generated import settings as schema
from alderreach.parser import toml_lines

ROLES = ("entry", "placer", "keeper", "controller", "frontend")
SEEDED_ROLES = ("controller", "frontend")
REQUIRED_LISTENERS = {
    "entry": ("callers", "operators"),
    "placer": ("targets",),
    "keeper": (),
    "controller": (),
    "frontend": ("callers",),
}
SECTIONS = {
    "process": schema.Process,
    "listen": schema.Listen,
    "discovery": schema.Discovery,
    "cell": schema.Cell,
    "timing": schema.Timing,
    "limits": schema.Limits,
    "operators": schema.Operators,
}


class Settings(typing.NamedTuple):
    """All settings of one daemon; ``peers`` does not include the process itself."""

    process: schema.Process
    listen: schema.Listen
    discovery: schema.Discovery
    cell: schema.Cell
    timing: schema.Timing
    limits: schema.Limits
    operators: schema.Operators
    peers: tuple


def load(path, role):
    """Read the settings file of a daemon of ``role``.

    Returns ``(Settings, [])`` or ``(None, [Problem, ...])``.
    """
    try:
        text = pathlib.Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        return None, [problems.Problem(str(path), 0, "file", str(error))]
    return parse(text, str(path), role)


def parse(text, file, role):
    """Parse the text of a settings file; returns the same as ``load``."""
    try:
        tables = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return None, [
            problems.Problem(
                file, toml_lines.line_of_error(error), "syntax", str(error)
            )
        ]
    collector = _ProblemCollector(file, toml_lines.locate(text))
    for name in tables:
        if name not in SECTIONS and name != "peer":
            collector.add(name, "is no known table")
    sections = {
        name: _section(collector, name, kind, tables.get(name, {}), f"{name}")
        for name, kind in SECTIONS.items()
    }
    peers = _peers(collector, tables.get("peer", []))
    if not collector.problems:
        _check_combinations(collector, sections, role)
    if collector.problems:
        return None, collector.problems
    name = sections["process"].name
    peers = tuple(peer for peer in peers if peer.name != name)
    return Settings(**sections, peers=peers), []


class _ProblemCollector:
    """Collects the mistakes of one file with their lines."""

    def __init__(self, file, lines):
        self.file = file
        self.lines = lines
        self.problems = []

    def add(self, path, message):
        """Add a mistake at a dotted path."""
        line = toml_lines.line_of(self.lines, path)
        self.problems.append(problems.Problem(self.file, line, path, message))


def _section(collector, name, kind, table, path):
    rules = schema.RULES[name]
    if not isinstance(table, dict):
        collector.add(path, "must be a table")
        return None
    for key in table:
        if key not in rules:
            collector.add(f"{path}.{key}", "is no known key")
    values = {
        key: _value(collector, f"{path}.{key}", rule, table.get(key, rule.default))
        for key, rule in rules.items()
    }
    return kind(**values)


def _value(collector, path, rule, value):
    if value is None:
        collector.add(path, "is required")
    elif type(value) is not rule.kind:
        collector.add(path, f"must be of type {rule.kind.__name__}")
    elif rule.maximum and not rule.minimum <= value <= rule.maximum:
        collector.add(path, f"must be from {rule.minimum} to {rule.maximum}")
    else:
        return value
    return rule.default


def _peers(collector, tables):
    if not isinstance(tables, list):
        collector.add("peer", "must be an array of tables, [[peer]]")
        return []
    peers, names = [], set()
    for number, table in enumerate(tables):
        path = f"peer.{number}"
        peer = _section(collector, "peer", schema.Peer, table, path)
        if peer is None:
            continue
        if peer.name in names:
            collector.add(f"{path}.name", f"{peer.name!r} is used by another peer")
        names.add(peer.name)
        if peer.role not in ROLES:
            collector.add(f"{path}.role", "must be entry, placer or keeper")
        _check_address(collector, f"{path}.address", peer.address)
        peers.append(peer)
    return peers


def _check_combinations(collector, sections, role):
    listen = sections["listen"]
    for key in ("peers", "callers", "operators", "targets", "balancer", "platform"):
        address = getattr(listen, key)
        if address:
            _check_address(collector, f"listen.{key}", address)
        elif key in REQUIRED_LISTENERS[role]:
            collector.add(f"listen.{key}", f"is required for the role {role}")
    if role == "entry" and not sections["operators"].token_file:
        collector.add("operators.token_file", "is required for the role entry")
    if role in SEEDED_ROLES and not sections["discovery"].seeds:
        collector.add("discovery.seeds", f"is required for the role {role}")
    if role == "controller" and not sections["cell"].control:
        collector.add("cell.control", "is required for the role controller")
    if sections["discovery"].found not in ("yes", "no"):
        collector.add("discovery.found", "must be yes or no")
    limits, timing = sections["limits"], sections["timing"]
    if limits.queue_length >= limits.http_threads:
        collector.add("limits.queue_length", "must be below limits.http_threads")
    if timing.leader_beat_ms * 3 > timing.election_timeout_ms:
        collector.add(
            "timing.leader_beat_ms",
            "must be at most a third of timing.election_timeout_ms",
        )
    if timing.owner_beat_ms * 3 > timing.owner_lease_ms:
        collector.add(
            "timing.owner_beat_ms", "must be at most a third of timing.owner_lease_ms"
        )
    if timing.target_heartbeat_ms * 2 > timing.suspect_after_ms:
        collector.add(
            "timing.suspect_after_ms",
            "must be at least twice timing.target_heartbeat_ms",
        )


def _check_address(collector, path, address):
    if not isinstance(address, str):
        return
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        valid = 0 < int(port) < 65536
    except ValueError:
        valid = False
    if not valid:
        collector.add(path, f"{address!r} is not an IP number and port, host:port")
