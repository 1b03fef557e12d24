"""A cell of keepers only, and a client for it; for tests and benches."""

import contextlib
import queue
import threading
import uuid

from alderreach.core import codec, replica
from alderreach.core.generated import common, keeper
from alderreach.ops import keeper_client
from alderreach.utils import clocks, link_health, tasks, transport
from tools import cell, relay

CLIENT_PORT = 7300
RELAY_PORT = 7400
ANSWER_TIMEOUT_MS = 20_000
FAST_SETTINGS = {
    "timing": {
        "election_timeout_ms": 400,
        "leader_beat_ms": 80,
        "owner_lease_ms": 600,
        "owner_beat_ms": 150,
        "lease_margin_ms": 100,
        "follow_interval_ms": 100,
    }
}


class Client:
    """A client that sends the keepers commands, follows them and records pushes."""

    def __init__(self, running, name="client", number=0):
        plans = running.of_role("keeper")
        self.addresses = {plan.name: plan.peers for plan in plans}
        self.pages = queue.Queue()
        self.replica = replica.EMPTY
        self.replies = {}
        self._transport = transport.Transport(
            ("cell", name, uuid.uuid4().hex),
            f"127.{running.octet}.9.{number + 1}:{CLIENT_PORT}",
            self.addresses,
            lambda received: self._task.put(received),
            clocks.SYSTEM,
            link_health.Rules(250, 1000),
        )
        self._client = keeper_client.KeeperClient(self.addresses, self._transport.send)
        self._task = tasks.Task("client", self._handle, self._tick, clocks.SYSTEM)
        self._transport.start()
        self._task.start()

    def start(self, command, timeout_ms=ANSWER_TIMEOUT_MS):
        """Send a command; returns a ticket for its outcome."""
        ticket = tasks.Ticket()
        self._task.put((codec.pack(command), ticket, timeout_ms))
        return ticket

    def ask(self, command, timeout_ms=ANSWER_TIMEOUT_MS):
        """Send a command; returns its result message, or the status if it is not ok."""
        outcome = self.start(command, timeout_ms).wait(timeout_ms + 5000)
        if outcome.status != "ok":
            return outcome.status
        return codec.unpack(outcome.result).unwrap()

    def write(self, key, value, base=-1, idempotency_key="", author="test"):
        """Write one item; returns the WriteResult."""
        writes = [keeper.ItemWrite(key, base, value)]
        return self.ask(
            keeper.WriteItems(idempotency_key, author, writes, "", 0, 0),
            ANSWER_TIMEOUT_MS,
        )

    def query(self, name, message, timeout_ms=1000):
        """Send one keeper a message with a request id; returns its answer, or None."""
        request_id = uuid.uuid4().hex
        ticket = self.replies[request_id] = tasks.Ticket()
        self._transport.send(
            self.addresses[name], message._replace(request_id=request_id)
        )
        return ticket.wait(timeout_ms)

    def renew(self, name, placer, epoch):
        """Send a keeper a renewal for domain d; returns a ticket for its answer."""
        request_id = uuid.uuid4().hex
        ticket = self.replies[request_id] = tasks.Ticket()
        renewal = keeper.RenewOwnership(request_id, "d", placer, "b", epoch, False)
        self._transport.send(self.addresses[name], renewal)
        return ticket

    def status(self, name):
        """Return a keeper's StatusReply, or None if it does not answer."""
        return self.query(name, common.StatusQuery(""))

    def leader(self, among=None):
        """Wait until a keeper reports that it is the leader; returns its name."""

        def ready_leader():
            for name in among or self.addresses:
                status = self.status(name)
                if status and status.state == "leader":
                    return name
            return None

        return cell.wait_until(ready_leader, "a leader")

    def follow(self, name, prefixes=("team/",)):
        """Send a Follow; pushes are applied to ``replica``."""
        follow = keeper.Follow(self.replica.version, list(prefixes), "entry")
        self._transport.send(self.addresses[name], follow)

    def close(self):
        self._task.close()
        self._transport.close()

    def _handle(self, item):
        if isinstance(item, tuple) and not hasattr(item, "message"):
            command, ticket, timeout_ms = item
            now_ms = clocks.SYSTEM.monotonic_ms()
            self._client.request(command, ticket.answer, now_ms, timeout_ms)
            return
        message = item.message
        if isinstance(message, keeper.KeeperReply):
            self._client.handle(message, clocks.SYSTEM.monotonic_ms())
        elif isinstance(message, keeper.ItemsPush):
            self.replica, _changed = replica.apply(self.replica, message)
            self.pages.put(message)
        elif message.request_id in self.replies:
            self.replies.pop(message.request_id).answer(message)

    def _tick(self):
        self._client.tick(clocks.SYSTEM.monotonic_ms())


@contextlib.contextmanager
def running_keepers(folder, voters=3, overrides=None, **options):
    """Start a cell of keepers and a client; both are stopped on exit."""
    with contextlib.ExitStack() as stack:
        running = stack.enter_context(
            cell.Cell(folder, overrides or FAST_SETTINGS, voters=voters, **options)
        )
        names = [plan.name for plan in running.of_role("keeper")]
        running.start(names)
        client = Client(running)
        stack.callback(client.close)
        running.wait_ready(names)
        yield running, client


@contextlib.contextmanager
def writing(client):
    """Write items one by one in a thread; yields the growing list of (key, result)."""
    done, stopping = [], threading.Event()

    def write():
        while not stopping.is_set():
            key = f"team/{len(done):05}"
            writes = [keeper.ItemWrite(key, 0, b"v")]
            command = keeper.WriteItems(key, "test", writes, "", 0, 0)
            done.append((key, client.ask(command)))

    thread = threading.Thread(target=write, daemon=True)
    thread.start()
    try:
        yield done
    finally:
        stopping.set()
        thread.join(timeout=ANSWER_TIMEOUT_MS / 1000)


def assert_writes_kept(client, done):
    """Assert that each write was accepted and can be read."""
    keys = {item.key for item in client.ask(keeper.ReadItems("team/")).items}
    for key, result in done:
        assert getattr(result, "status", result) == "accepted", key
        assert key in keys


class KeeperLinks:
    """A relay on each link between keepers; links are named (sender, receiver)."""

    def __init__(self):
        self.relay = relay.Relay()
        self._port = RELAY_PORT

    def address_of(self, plan, peer):
        if plan.role != "keeper" or peer.role != "keeper" or plan == peer:
            return peer.peers
        self._port += 1
        host, _, port = peer.peers.rpartition(":")
        self.relay.add(
            (plan.name, peer.name), (plan.host, self._port), (host, int(port))
        )
        return f"{plan.host}:{self._port}"
