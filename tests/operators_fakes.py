"""Fakes of the keepers and of an entry's gateway, for tests of the operators' HTTP."""

import contextlib
import io
import json
import socket
import threading
import types

from alderreach.core import codec, replica
from alderreach.core.generated import common, keeper, placer
from alderreach.core.generated import settings as schema
from alderreach.ops import keeper_client
from alderreach.ops.entry import operators
from alderreach.parser import settings as settings_parser
from alderreach.utils import clocks, http_server, metrics, timeline

DOMAINS = ("urubici", "bom-jardim")
TOKEN = "a-token"
SECOND_TOKEN = "b-token"
TASK_RESOURCES = common.Resources(8000, 16384, 0)


class FakeKeepers:
    """A replicated map that answers like the keepers, unless ``reachable`` is False."""

    def __init__(self):
        self.version = 0
        self.items = {}
        self.authors = {}
        self.first_results = {}
        self.commands = []
        self.reachable = True
        self.lose_answers = 0
        self.before_write = None
        self.answers_reads = True
        self.members = keeper.MembersResult("accepted", "", [])
        self._lock = threading.Lock()

    def ask(self, command):
        hook, is_write = self.before_write, isinstance(command, keeper.WriteItems)
        if hook is not None and is_write:
            self.before_write = None
            hook()
        with self._lock:
            if not self.reachable:
                return keeper_client.Outcome("no_quorum", b"")
            if isinstance(command, keeper.ReadItems) and not self.answers_reads:
                return keeper_client.Outcome("uncertain", b"")
            if isinstance(command, keeper.ReadItems):
                return self._ok(self._page(command.prefix))
            if isinstance(command, keeper.ReadMembers):
                return self._ok(self.members)
            self.commands.append(command)
            if isinstance(command, keeper.ChangeMembers):
                return self._ok(self.members)
            result = self._write(command)
            if self.lose_answers:
                self.lose_answers -= 1
                return keeper_client.Outcome("uncertain", b"")
            return self._ok(result)

    def _ok(self, result):
        return keeper_client.Outcome("ok", codec.pack(result))

    def _page(self, prefix):
        found = [self.items[key] for key in sorted(self.items)]
        found = [item for item in found if item.key.startswith(prefix)]
        return keeper.ItemsPage(self.version, found)

    def _write(self, command):
        digest = codec.pack(command)
        first = self.first_results.get(command.idempotency_key)
        if command.idempotency_key and first is not None:
            if first[0] == digest:
                return first[1]
            return keeper.WriteResult("key_reused", self.version, [])
        result = self._apply(command)
        self.first_results[command.idempotency_key] = (digest, result)
        return result

    def _apply(self, command):
        conflicts = [
            keeper.ItemConflict(
                w.key, self._version_of(w.key), self.authors.get(w.key, "")
            )
            for w in command.writes
            if w.base_version not in (-1, self._version_of(w.key))
        ]
        if conflicts:
            return keeper.WriteResult("conflict", self.version, conflicts)
        self.version += 1
        for write in command.writes:
            self.authors[write.key] = command.author
            self.items.pop(write.key, None)
            if write.value is not None:
                item = common.Item(write.key, self.version, write.value)
                self.items[write.key] = item
        return keeper.WriteResult("accepted", self.version, [])

    def _version_of(self, key):
        return self.items[key].version if key in self.items else 0

    def put(self, key, record):
        """Write an item under the system's own name."""
        write = keeper.ItemWrite(key, -1, codec.encode(record))
        self.ask(keeper.WriteItems("", "system", [write], "", 0, 0))


class FakeGateway:
    """An entry's gateway; ``replies`` maps (address, message type) to a reply."""

    def __init__(self, keepers):
        self.keepers = keepers
        self.replies = {}

    @property
    def items(self):
        return replica.Replica(self.keepers.version, dict(self.keepers.items))

    def ask_keepers(self, command, timeout_ms):
        return self.keepers.ask(command)

    def request(self, command, done, timeout_ms):
        done(self.keepers.ask(command))

    def ask_peer(self, address, message, timeout_ms):
        reply = self.replies.get((address, type(message).__name__))
        return reply(message) if callable(reply) else reply


def make_settings(folder, domain=DOMAINS[0], name="entry-1"):
    """Return settings of an entry; its peers are a keeper and a placer per domain."""
    listen = schema.Listen(
        peers="127.0.0.1:1",
        callers="127.0.0.1:2",
        operators="127.0.0.1:3",
        targets="",
        balancer="",
        platform="",
    )
    peers = [schema.Peer("keeper-1", "keeper", DOMAINS[0], "127.0.0.1:11")]
    for number, place in enumerate(DOMAINS, 1):
        address = f"127.0.0.1:2{number}"
        peers.append(schema.Peer(f"placer-{number}", "placer", place, address))
    rules = settings_parser.schema.RULES
    defaults = {
        table: {key: rule.default for key, rule in rules[table].items()}
        for table in ("discovery", "cell", "timing", "limits")
    }
    defaults["limits"]["body_bytes"] = 100_000
    return settings_parser.Settings(
        process=schema.Process("cell", name, "vm-1", domain, str(folder)),
        listen=listen,
        discovery=schema.Discovery(**defaults["discovery"]),
        cell=schema.Cell(**defaults["cell"]),
        timing=schema.Timing(**defaults["timing"]),
        limits=schema.Limits(**defaults["limits"]),
        operators=schema.Operators(str(folder / "tokens")),
        peers=tuple(peers),
    )


class FakeEntry:
    """An operators' application over a fake gateway."""

    def __init__(self, folder, keepers=None, domain=DOMAINS[0], name="entry-1"):
        (folder / "tokens").write_text(f"ana {TOKEN}\nbruno {SECOND_TOKEN}\n")
        self.keepers = keepers or FakeKeepers()
        self.gateway = FakeGateway(self.keepers)
        self.clock = clocks.FakeClock()
        self.timeline = timeline.Timeline(name, "b1", self.clock.clock, folder, 100)
        self.context = types.SimpleNamespace(
            settings=make_settings(folder, domain, name),
            clock=self.clock.clock,
            timeline=self.timeline,
            metrics=metrics.Metrics(),
        )
        self.application = operators.build(self.context, self.gateway)

    def call(self, method, path, body=None, key="", token=TOKEN, **environ):
        """Make one request; returns its status, headers and document."""
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        data = b"" if body is None else data
        path, _, query = path.partition("?")
        request = {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "QUERY_STRING": query,
            "CONTENT_LENGTH": str(len(data)),
            "wsgi.input": io.BytesIO(data),
        }
        if token:
            request["HTTP_AUTHORIZATION"] = f"Bearer {token}"
        if key:
            request["HTTP_IDEMPOTENCY_KEY"] = key
        answer = []
        chunks = self.application(request | environ, lambda *args: answer.extend(args))
        return int(answer[0][:3]), dict(answer[1]), json.loads(b"".join(chunks))


def team(name="serra-alta", weight=1):
    """Return a team with a quota for a few workloads."""
    quota = common.Resources(1_536_000, 3_145_728, 0)
    return common.Team(name, quota, weight, "waiting")


def workload(name="closure-plan", kind="batch", tasks=2, team_name="serra-alta"):
    """Return a workload of a team."""
    slots, connections = (8, 64) if kind == "service" else (0, 0)
    deadline_ms = 300 if kind == "service" else 0
    return common.Workload(
        team_name,
        name,
        kind,
        TASK_RESOURCES,
        tasks,
        4,
        slots,
        connections,
        deadline_ms,
        True,
        "move",
        False,
        0,
        "",
    )


def target_row(target_id="w1", state="ready", kind="worker"):
    """Return a target's row as its owner reports it."""
    return placer.TargetRow(
        target_id,
        kind,
        "10.0.0.1",
        "r1",
        DOMAINS[0],
        state,
        common.Resources(64_000, 131_072, 0),
        TASK_RESOURCES,
        1,
        "",
    )


@contextlib.contextmanager
def serve(entry):
    """Serve an entry's application on a free port; yields its address."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{probe.getsockname()[1]}"
    limits = http_server.HttpLimits(4, 16_384, 100_000, 10_000)
    server = http_server.HttpServer(address, entry.application, limits)
    try:
        yield address
    finally:
        server.close()
