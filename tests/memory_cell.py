"""Keepers without sockets and threads: the production code over files and a fake clock.

Messages are queued until a test delivers, drops or reorders them, and tests advance the
clock. A crash discards a keeper's memory and unwritten data; its folder stays, or is
deleted to simulate a lost disk.
"""

import collections
import contextlib
import pathlib
import random
import shutil
import threading

from alderreach.core import codec
from alderreach.core.generated import keeper, settings
from alderreach.ops import daemon
from alderreach.ops.keeper import service, storage
from alderreach.parser import settings as settings_parser
from alderreach.utils import clocks, metrics
from tests.sim_links import Message

CLIENT = "client"
STEP_MS = 20


class Crash(Exception):
    """Raised instead of ending the process when a keeper exits by itself."""


class RecordingTimeline:
    """A time line that keeps its events as a list of (kind, detail)."""

    def __init__(self):
        self.events = []

    def record(self, kind, epoch=0, request_id="", detail=""):
        self.events.append((kind, detail))

    def flush(self):
        pass


class FakeTransport:
    """Replaces the transport of one process."""

    def __init__(self, cell, name):
        self.cell, self.name = cell, name

    def send(self, address, message):
        links = self.cell.peer_links
        if links and links.is_between(self.name, address):
            links.send(self.name, address, message)
            return
        self.cell.network.append(Message(self.name, address, codec.pack(message)))


class MemoryCell:
    """Keepers ``k1``, ``k2``, ...; an address is a name.

    With ``seeds`` the cell is open: a keeper knows only these names, the others join,
    and a keeper may found the cell only on its first start. Such a cell tolerates the
    simultaneous loss of ``losses`` keepers. With ``peer_links``, a ``sim_links.Links``,
    each keeper has links to the others, which can become silent.
    """

    def __init__(
        self,
        folder,
        count,
        seed=1,
        start=True,
        seeds=(),
        losses=1,
        peer_links=None,
        **limits,
    ):
        self.seeds, self.losses, self.peer_links = seeds, losses, peer_links
        self._may_found = set(seeds or [f"k{number}" for number in range(1, count + 1)])
        self.folder = pathlib.Path(folder)
        self.names = [f"k{number}" for number in range(1, count + 1)]
        self.rng = random.Random(seed)
        self.limits = {"snapshot_entries": 1_000_000} | limits
        self.time = clocks.FakeClock()
        self.wall_offsets_ms = collections.Counter()
        self.network = collections.deque()
        self.keepers = {}
        self.stacks = {}
        self.timelines = {name: RecordingTimeline() for name in self.names}
        self.cut = set()
        # Messages that wait for a frozen keeper, by its name.
        self.frozen = {}
        self.answers = {}
        self.renewal_replies = {}
        self.pushes = []
        self.wait = lambda seconds: None
        self._request = 0
        if peer_links:
            peer_links.attach(self.network, self.time.clock)
        if start:
            for name in self.names:
                self.start(name)

    def start(self, name):
        """Start a keeper from its folder; returns an error text, or None."""
        folder = self.folder / name
        folder.mkdir(parents=True, exist_ok=True)
        stack = contextlib.ExitStack()
        opened = storage.open_folder(folder, stack)
        if opened.is_err():
            stack.close()
            return opened.err_value
        context = self._context(name, folder, stack)
        if self.peer_links:
            self.peer_links.start(name)
        instance = service.Keeper(
            context,
            opened.ok_value,
            self._hooks(),
            self._make_extension(name, context),
            seed_addresses={seed: seed for seed in self.seeds if seed != name} or None,
            may_found_cell=name in self._may_found,
        )
        if self.seeds:
            self._may_found.discard(name)
        stack.callback(instance._disk.close)
        self.keepers[name], self.stacks[name] = instance, stack
        return None

    def _make_extension(self, name, context):
        """Return a function that makes a keeper's extension, or None."""

    def _hooks(self):
        wait = lambda seconds: self.wait(seconds)
        return service.Hooks(self.rng, lambda work: work(), _crash, wait)

    def _context(self, name, folder, stack):
        peers = tuple(
            settings.Peer(peer, "keeper", "d", peer)
            for peer in self.names
            if peer != name
        )
        text = f"""
            [process]
            cell = "c"\nname = "{name}"\nvm = "v"\nfailure_domain = "d"
            data_folder = "{folder}"
            [listen]
            peers = "127.0.0.1:1"
        """
        parsed, _problems = settings_parser.parse(text, "test", "keeper")
        parsed = parsed._replace(
            peers=peers,
            limits=parsed.limits._replace(**self.limits),
            listen=parsed.listen._replace(peers=name),
            discovery=parsed.discovery._replace(losses=self.losses),
        )
        return daemon.Context(
            "keeper",
            parsed,
            "boot",
            self._clock(name),
            self.timelines[name],
            metrics.Metrics(),
            FakeTransport(self, name),
            stack,
            threading.Event(),
        )

    def _clock(self, name):
        """Return a process's clock; ``wall_offsets_ms`` is added to its wall clock."""
        clock = self.time.clock
        return clocks.Clock(
            clock.monotonic_ms, lambda: clock.wall_ms() + self.wall_offsets_ms[name]
        )

    def crash(self, name, torn=b""):
        """End a keeper at once and append the ``torn`` bytes to its log file."""
        self.keepers.pop(name, None)
        self.frozen.pop(name, None)
        self.stacks.pop(name).close()
        if torn:
            with (self.folder / name / "log").open("ab") as file:
                file.write(torn)

    def freeze(self, name):
        """Stop a keeper as SIGSTOP does; what arrives meanwhile waits for it."""
        self.frozen.setdefault(name, [])

    def thaw(self, name):
        """Resume a frozen keeper, which handles what has arrived before it ticks."""
        for message in self.frozen.pop(name, ()):
            if name in self.keepers:
                self._deliver(name, message)

    def lose_disk(self, name):
        """End a keeper and delete its folder."""
        if name in self.keepers:
            self.crash(name)
        shutil.rmtree(self.folder / name)

    def deliver_one(self, place=0):
        """Deliver the queued message at an index; a message over a cut link is lost."""
        self.network.rotate(-place)
        message = self.network.popleft()
        self.network.rotate(place)
        link = message.link
        if (message.sender, message.receiver) in self.cut or (link and link.is_silent):
            return
        unpacked = codec.unpack(message.packed).unwrap()
        boot_id = link.boot_id if link else ""
        received = codec.Received(message.sender, boot_id, message.sender, unpacked)
        if message.receiver == CLIENT:
            self._answer(message.sender, unpacked)
        elif message.receiver in self.keepers:
            self._deliver(message.receiver, received)

    def _deliver(self, name, message):
        if name in self.frozen:
            self.frozen[name].append(message)
            return
        if self.peer_links and isinstance(message, codec.Received):
            if self.peer_links.receive(name, message):
                return
        instance = self.keepers[name]
        instance.deliver(message)
        try:
            while not instance._task._mailbox.empty():
                instance._handle(instance._task._mailbox.get())
        except Crash:
            self.crash(name)

    def tick(self, name):
        """Run a keeper's periodic tick, unless it is frozen or gone."""
        if name in self.frozen or name not in self.keepers:
            return
        if self.peer_links:
            self.peer_links.check(name)
        try:
            self.keepers[name]._tick()
        except Crash:
            self.crash(name)

    def run(self, duration_ms, until=lambda: False):
        """Advance time, delivering messages in order; stops once ``until`` holds."""
        for _step in range(duration_ms // STEP_MS):
            self.time.advance(STEP_MS)
            for name in list(self.keepers):
                self.tick(name)
            while self.network:
                self.deliver_one()
            if until():
                return True
        return until()

    def leader(self):
        """Return the name of the ready leader of the newest term, or None."""
        leaders = [
            (instance._node.term, name)
            for name, instance in self.keepers.items()
            if instance._node.is_ready_leader
        ]
        return max(leaders)[1] if leaders else None

    def elect(self):
        """Advance time until there is a ready leader; returns its name."""
        assert self.run(20_000, lambda: self.leader() is not None), "no leader"
        return self.leader()

    def run_until_stable(self, duration_ms=15_000):
        """Advance time until all running keepers are voters and their logs agree."""

        def is_stable():
            nodes = [instance._node for instance in self.keepers.values()]
            return (
                self.leader() is not None
                and all(node.is_voter for node in nodes)
                and len({node.commit_index for node in nodes}) == 1
                and len({node.log.last_index for node in nodes}) == 1
            )

        assert self.run(duration_ms, is_stable), self.describe()

    def describe(self):
        return [
            (name, m._node.role, m._node.term, m._node.commit_index, m._node.members)
            for name, m in self.keepers.items()
        ]

    def send(self, name, command):
        """Send a keeper a command; returns the request id."""
        self._request += 1
        request_id = f"r{self._request}"
        request = keeper.KeeperRequest(request_id, codec.pack(command))
        self.network.append(Message(CLIENT, name, codec.pack(request)))
        return request_id

    def ask(self, command, name=None):
        """Send a command, by default to the leader, and run until it is answered."""
        request_id = self.send(name or self.elect(), command)
        assert self.run(10_000, lambda: request_id in self.answers), self.describe()
        return self.answers[request_id]

    def write(self, key, value, base=-1, idempotency_key="", author="ana"):
        writes = [keeper.ItemWrite(key, base, value)]
        return self.ask(keeper.WriteItems(idempotency_key, author, writes, "", 0, 0))

    def _answer(self, sender, message):
        if isinstance(message, keeper.KeeperReply):
            result = message.status
            if result == "ok":
                result = codec.unpack(message.result).unwrap()
            self.answers.setdefault(message.request_id, result)
        elif isinstance(message, keeper.OwnershipRenewed):
            self.renewal_replies[message.request_id] = message
        else:
            self.pushes.append((sender, message))

    def close(self):
        for name in list(self.keepers):
            self.crash(name)


def _crash(code):
    raise Crash(code)
