"""Settings of a daemon: one TOML file, checked whole.

``load`` gives the settings and every mistake at once, each with file, line and key.
Which listeners a role needs is checked here too.
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
LISTENERS = {
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
    """All settings of one daemon; ``peers`` leaves out the process itself."""

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
    """Check the text of a settings file; returns as ``load``."""
    try:
        tables = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return None, [
            problems.Problem(
                file, toml_lines.line_of_error(error), "syntax", str(error)
            )
        ]
    found = _Findings(file, toml_lines.locate(text))
    for name in tables:
        if name not in SECTIONS and name != "peer":
            found.add(name, "is no known table")
    sections = {
        name: _section(found, name, kind, tables.get(name, {}), f"{name}")
        for name, kind in SECTIONS.items()
    }
    peers = _peers(found, tables.get("peer", []))
    if not found.problems:
        _check_together(found, sections, role)
    if found.problems:
        return None, found.problems
    name = sections["process"].name
    peers = tuple(peer for peer in peers if peer.name != name)
    return Settings(**sections, peers=peers), []


class _Findings:
    """The mistakes of one file as they are found."""

    def __init__(self, file, lines):
        self.file = file
        self.lines = lines
        self.problems = []

    def add(self, path, message):
        """Note a mistake at a dotted path."""
        line = toml_lines.find(self.lines, path)
        self.problems.append(problems.Problem(self.file, line, path, message))


def _section(found, name, kind, table, path):
    rules = schema.RULES[name]
    if not isinstance(table, dict):
        found.add(path, "must be a table")
        return None
    for key in table:
        if key not in rules:
            found.add(f"{path}.{key}", "is no known key")
    values = {
        key: _value(found, f"{path}.{key}", rule, table.get(key, rule.default))
        for key, rule in rules.items()
    }
    return kind(**values)


def _value(found, path, rule, value):
    if value is None:
        found.add(path, "is required")
    elif type(value) is not rule.kind:
        found.add(path, f"must be of type {rule.kind.__name__}")
    elif rule.maximum and not rule.minimum <= value <= rule.maximum:
        found.add(path, f"must be from {rule.minimum} to {rule.maximum}")
    else:
        return value
    return rule.default


def _peers(found, tables):
    if not isinstance(tables, list):
        found.add("peer", "must be an array of tables, [[peer]]")
        return []
    peers, names = [], set()
    for number, table in enumerate(tables):
        path = f"peer.{number}"
        peer = _section(found, "peer", schema.Peer, table, path)
        if peer is None:
            continue
        if peer.name in names:
            found.add(f"{path}.name", f"{peer.name!r} stands twice")
        names.add(peer.name)
        if peer.role not in ROLES:
            found.add(f"{path}.role", "must be entry, placer or keeper")
        _check_address(found, f"{path}.address", peer.address)
        peers.append(peer)
    return peers


def _check_together(found, sections, role):
    listen = sections["listen"]
    for key in ("peers", "callers", "operators", "targets", "balancer", "platform"):
        address = getattr(listen, key)
        if address:
            _check_address(found, f"listen.{key}", address)
        elif key in LISTENERS[role]:
            found.add(f"listen.{key}", f"is required for the role {role}")
    if role == "entry" and not sections["operators"].token_file:
        found.add("operators.token_file", "is required for the role entry")
    if role in SEEDED_ROLES and not sections["discovery"].seeds:
        found.add("discovery.seeds", f"is required for the role {role}")
    if role == "controller" and not sections["cell"].control:
        found.add("cell.control", "is required for the role controller")
    if sections["discovery"].found not in ("yes", "no"):
        found.add("discovery.found", "must be yes or no")
    limits, timing = sections["limits"], sections["timing"]
    if limits.queue_length >= limits.http_threads:
        found.add("limits.queue_length", "must be below limits.http_threads")
    if timing.leader_beat_ms * 3 > timing.election_timeout_ms:
        found.add("timing.leader_beat_ms", "must be at most a third of the election")
    if timing.owner_beat_ms * 3 > timing.owner_lease_ms:
        found.add(
            "timing.owner_beat_ms", "must be at most a third of the owner's lease"
        )
    if timing.target_heartbeat_ms * 2 > timing.suspect_after_ms:
        found.add("timing.suspect_after_ms", "must be at least two heartbeats")


def _check_address(found, path, address):
    if not isinstance(address, str):
        return
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        valid = 0 < int(port) < 65536
    except ValueError:
        valid = False
    if not valid:
        found.add(path, f"{address!r} is not an IP number and port, host:port")
