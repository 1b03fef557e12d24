"""Fakes around a real entry: keepers and placers behind the transport, raw runners.

The entry under test runs with its own tasks, HTTP server and connections. The messages
of the other processes are computed here one by one, and tests can make them fail.
"""

import contextlib
import pathlib
import socket
import tempfile
import threading

import urllib3

from alderreach.core import codec
from alderreach.core.generated import common, keeper, placer
from alderreach.ops import daemon
from alderreach.ops.entry import service
from alderreach.parser import settings
from alderreach.utils import clocks, metrics, timeline
from tests import entry_fake_runner

DOMAIN = entry_fake_runner.DOMAIN
SETTINGS = """
[process]
cell = "cell"
name = "entry-1"
vm = "127.0.0.1"
failure_domain = "urubici"
data_folder = "{folder}"
[listen]
peers = "127.0.0.1:1"
callers = "{callers}"
operators = "{operators}"
[operators]
token_file = "{folder}/tokens"
[limits]
{limits}
[[peer]]
name = "keeper-1"
role = "keeper"
failure_domain = "urubici"
address = "127.0.0.1:2"
[[peer]]
name = "placer-1"
role = "placer"
failure_domain = "urubici"
address = "127.0.0.1:3"
"""


def free_address():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


class Keepers:
    """All keepers as one object: items, keys, and a ``mode`` that selects a failure.

    ``ok``: no failure. ``no_quorum``: requests are refused. ``deaf``: requests are
    dropped. ``mute``: requests are executed, but the replies are lost.
    """

    def __init__(self):
        self.mode = "ok"
        self.items = {}
        self.version = 0
        self.keys = {}
        self.commands = []
        self.lock = threading.RLock()

    def put(self, key, value):
        with self.lock:
            self.version += 1
            data = None if value is None else codec.encode(value)
            self.items[key] = common.Item(key, self.version, data)

    def handle(self, message):
        with self.lock:
            if isinstance(message, keeper.Follow):
                return self._push(message)
            return self._answer(message)

    def _push(self, follow):
        changed = [i for i in self.items.values() if i.version > follow.have_version]
        wanted = [i for i in changed if i.key.startswith(tuple(follow.prefixes))]
        wanted.sort(key=lambda item: item.version)
        return keeper.ItemsPush(follow.have_version, self.version, self.version, wanted)

    def _answer(self, request):
        if self.mode == "deaf":
            return None
        if self.mode == "no_quorum":
            return keeper.KeeperReply(request.request_id, "no_quorum", "", b"")
        command = codec.unpack(request.command).unwrap()
        self.commands.append(command)
        result = codec.pack(getattr(self, type(command).__name__)(command))
        if self.mode == "mute":
            return None
        return keeper.KeeperReply(request.request_id, "ok", "keeper-1", result)

    def WriteItems(self, command):
        for write in command.writes:
            current = self.items.get(write.key)
            version = current.version if current and current.value is not None else 0
            if write.base_version not in (-1, version):
                conflict = keeper.ItemConflict(write.key, version, "other")
                return keeper.WriteResult("conflict", self.version, [conflict])
        for write in command.writes:
            self.version += 1
            self.items[write.key] = common.Item(write.key, self.version, write.value)
        return keeper.WriteResult("accepted", self.version, [])

    def ReadItems(self, command):
        items = [i for k, i in self.items.items() if k.startswith(command.prefix)]
        return keeper.ItemsPage(self.version, items)

    def ReadMembers(self, _command):
        return keeper.MembersResult("accepted", "", [])

    def RecordIntent(self, command):
        claim = self.keys.get(command.key)
        if claim is not None and claim["digest"] != command.digest:
            return _record("reused")
        if claim is None:
            self.keys[command.key] = claim = {
                "digest": command.digest,
                "request_id": command.request_id,
                "entry": command.entry,
                "boot": command.entry_boot_id,
                "outcome": None,
            }
        return self._state(claim, command.request_id)

    def RecordOutcome(self, command):
        claim = self.keys.get(command.key)
        if claim is None or claim["request_id"] != command.request_id:
            return (
                self._state(claim, command.request_id) if claim else _record("absent")
            )
        if command.outcome == "not-run":
            del self.keys[command.key]
            return _record("absent")
        claim["outcome"] = command
        return self._state(claim, command.request_id)

    def ReadKey(self, command):
        claim = self.keys.get(command.key)
        return self._state(claim, "") if claim else _record("absent")

    def _state(self, claim, request_id):
        recorded = claim["outcome"]
        if recorded is None:
            state = "claimed" if claim["request_id"] == request_id else "started"
            return _record(state, claim)
        return keeper.KeyRecord(
            "finished",
            claim["request_id"],
            claim["entry"],
            claim["boot"],
            recorded.outcome,
            recorded.status,
            recorded.content_type,
            recorded.body,
            recorded.body_kept,
        )


def _record(state, claim=None):
    claim = claim or {"request_id": "", "entry": "", "boot": ""}
    return keeper.KeyRecord(
        state, claim["request_id"], claim["entry"], claim["boot"], "", 0, "", b"", False
    )


class Transport:
    """Answers the messages that an entry sends as keepers and placers would."""

    def __init__(self, keepers, get_view, job_reply):
        self._keepers = keepers
        self._get_view = get_view
        self._job_reply = job_reply
        self.deliver = None

    def send(self, address, message):
        reply = self._reply(message)
        if reply is not None and self.deliver is not None:
            self.deliver(codec.Received("peer", "boot", address, reply))

    def _reply(self, message):
        if isinstance(message, keeper.Follow | keeper.KeeperRequest):
            return self._keepers.handle(message)
        if isinstance(message, placer.WatchTargets):
            return self._get_view(message)
        if isinstance(message, placer.JobQuery):
            return self._job_reply(message)
        return None


class FakeCell:
    """A real entry surrounded by fakes; use as a context manager."""

    def __init__(self, limits="", runners=1, behave=None):
        self.stack = contextlib.ExitStack()
        self.keepers = Keepers()
        self.limits = limits
        self.sequence = 1
        self.epoch = 1
        self.job_reply = lambda query: None
        self.runners = [
            entry_fake_runner.FakeRunner(self.stack, f"runner-{number}", behave)
            for number in range(1, runners + 1)
        ]
        self.http = urllib3.PoolManager(retries=False, timeout=20, maxsize=100)

    def __enter__(self):
        for team in ("guides", "desk"):
            quota = common.Resources(4000, 4096, 0)
            self.keepers.put(f"team/{team}", common.Team(team, quota, 1, "waiting"))
        self.keepers.put("workload/desk/closures", workload("closures", "service"))
        self.keepers.put(
            "workload/desk/orders", workload("orders", "service", idempotent=False)
        )
        self.keepers.put("workload/desk/plan", workload("plan", "batch"))
        self.entry, self.context = self.start_entry("boot-1")
        return self

    def __exit__(self, *_details):
        self.stack.close()

    def start_entry(self, boot_id):
        folder = self.stack.enter_context(tempfile.TemporaryDirectory())
        self.address = free_address()
        text = SETTINGS.format(
            folder=folder,
            callers=self.address,
            operators=free_address(),
            limits=self.limits,
        )
        parsed, mistakes = settings.parse(text, "entry.toml", "entry")
        assert not mistakes
        line = timeline.Timeline(
            "entry-1", boot_id, clocks.SYSTEM, pathlib.Path(folder), ring=1000
        )
        self.stack.callback(line.close)
        transport = Transport(
            self.keepers, self.view, lambda query: self.job_reply(query)
        )
        context = daemon.Context(
            "entry",
            parsed,
            boot_id,
            clocks.SYSTEM,
            line,
            metrics.Metrics(),
            transport,
            self.stack,
            threading.Event(),
        )
        entry = service.build(context)
        transport.deliver = entry.deliver
        wait_until(lambda: entry.status().ready)
        wait_until(lambda: entry.status().detail["runners"] >= len(self.runners))
        return entry, context

    def view(self, watch):
        runners = [runner.view for runner in self.runners]
        return placer.TargetsView(DOMAIN, self.epoch, 0, self.sequence, runners)

    def push_view(self, epoch=None, sequence=None, runners=None):
        """Push a view with the given values, as an owner does when its view changes."""
        pushed = self.view(None)
        pushed = pushed._replace(
            epoch=pushed.epoch if epoch is None else epoch,
            sequence=pushed.sequence if sequence is None else sequence,
            runners=pushed.runners if runners is None else runners,
        )
        self.entry.deliver(codec.Received("placer-1", "boot", "127.0.0.1:3", pushed))

    def post(self, service="closures", body=b"{}", team="guides", **headers):
        headers = {name.replace("_", "-"): value for name, value in headers.items()}
        return self.call(
            "POST",
            f"/v1/services/{service}/requests",
            body,
            {"Alderreach-Team": team} | headers,
        )

    def call(self, method, path, body=None, headers=None):
        return self.http.request(
            method, f"http://{self.address}{path}", body=body, headers=headers
        )


def workload(name, kind, idempotent=True, **changes):
    default_workload = common.Workload(
        team="desk",
        name=name,
        kind=kind,
        task=common.Resources(1000, 512, 0),
        tasks=1,
        priority=5,
        slots=8,
        connections=64,
        deadline_ms=5000,
        idempotent=idempotent,
        when_cut_off="stay",
        checkpoint=False,
        expected_run_ms=5,
        home_failure_domain="",
    )
    return default_workload._replace(**changes)


def wait_until(condition, timeout_s=10):
    give_up_ms = clocks.SYSTEM.monotonic_ms() + timeout_s * 1000
    pause = threading.Event()
    while clocks.SYSTEM.monotonic_ms() < give_up_ms:
        value = condition()
        if value:
            return value
        pause.wait(0.01)
    raise AssertionError("condition not met before the timeout")
