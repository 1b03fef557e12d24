"""A failure domain in one thread: real placer services with simulated clocks and links.

Two placers run the code of ``ops/placer/service.py``. The keepers are the real
``keeper_state`` and ``owner_leases`` with one clock. Workers enforce only what
docs/INTERFACES.md requires of them. Every link has two directions, each of which
passes, drops or holds messages; held messages arrive once the link is healed. The rates
of the clocks differ by up to 1%. ``World.check`` asserts the invariants.
"""

import collections
import contextlib
import json
import threading
import types

from alderreach.core import codec, keeper_state, replica
from alderreach.core.generated import common, keeper, settings
from alderreach.ops import daemon, keeper_client, target_wire
from alderreach.ops.placer import announcing, service
from alderreach.utils import metrics, tasks
from tests import placer_sim_net, placer_sim_worker

DOMAIN = placer_sim_worker.DOMAIN
TIMING = placer_sim_net.TIMING
STEP_MS = 10
FOLLOW_INTERVAL_MS = 50
COMMAND_TIMEOUT_MS = 2000


class _Gateway:
    """Replaces the gateway: a copy of the keepers' items, requests that may fail."""

    def __init__(self, node, prefixes, on_items):
        self.items = replica.EMPTY
        self.is_current = False
        self._node = node
        self._next_follow_ms = 0
        self._prefixes = prefixes
        self._on_items = on_items

    def start(self):
        return self

    def close(self):
        return

    def deliver(self, _received):
        return False

    def request(self, command, done, timeout_ms):
        """Send two copies, as a resend does; the first answer counts."""
        node, ended = self._node, []

        def end(outcome):
            if not ended:
                ended.append(outcome)
                node.call(lambda: done(outcome))

        def arrive():
            result = codec.pack(node.world.keepers.ask(command))
            node.world.network.send("k", node.name, lambda: end(ok(result)))

        def ok(result):
            return keeper_client.Outcome("ok", result)

        for delay_ms in (0, 400):
            node.world.network.call_later(
                delay_ms,
                lambda: None if ended else node.send("k", arrive),
            )
        node.world.network.call_later(
            timeout_ms, lambda: end(keeper_client.Outcome("uncertain", b""))
        )

    def follow(self):
        """Request changes; they are returned over the link."""
        node, copy = self._node, self.items
        if node.world.network.now_ms < self._next_follow_ms:
            return
        self._next_follow_ms = node.world.network.now_ms + FOLLOW_INTERVAL_MS

        def on_request():
            state = node.world.keepers.state
            to_version, items = keeper_state.changes_after(
                state, copy.version, self._prefixes, 10_000
            )
            push = keeper.ItemsPush(copy.version, to_version, to_version, items)
            node.world.network.send("k", node.name, lambda: node.call(on_push(push)))

        def on_push(push):
            return lambda: self._apply(push)

        node.send("k", on_request)

    def _apply(self, push):
        self.is_current = True
        self.items, changed = replica.apply(self.items, push)
        if changed:
            self._on_items(changed, self.items)


class _Task:
    """Replaces the task: messages are queued until the node is stepped."""

    def __init__(self, _name, handle, tick, _clock):
        self.handle = handle
        self.tick = tick
        self.messages = collections.deque()

    def put(self, message):
        self.messages.append(message)


class Placer:
    """A placer process that can be frozen, killed and restarted."""

    def __init__(self, world, name, peer, rate):
        self.world = world
        self.name = name
        self.peer = peer
        self.clock = placer_sim_net.make_clock(world.network, rate)
        self.frozen = False
        self.alive = False
        self.draining = False
        self.boots = 0
        self.events = []
        self.calls = collections.deque()

    def start(self):
        self.boots += 1
        self.alive, self.frozen, self.draining = True, False, False
        self.calls.clear()
        process = settings.Process("cell", self.name, self.name, DOMAIN, "")
        listen = types.SimpleNamespace(peers=self.name, targets=self.name)
        peers = (settings.Peer(self.peer, "placer", DOMAIN, self.peer),)
        peers += (settings.Peer("keeper-1", "keeper", DOMAIN, "k"),)
        self.settings = types.SimpleNamespace(
            process=process, listen=listen, timing=TIMING, peers=peers
        )
        boot = self.boots
        context = daemon.Context(
            "placer",
            self.settings,
            f"{self.name}-{boot}",
            self.clock,
            types.SimpleNamespace(record=self._record),
            metrics.Metrics(),
            types.SimpleNamespace(send=self._send),
            contextlib.ExitStack(),
            threading.Event(),
        )
        parts = service.Parts(self._make_task, self._make_gateway, self._make_sender)
        self.service = service.PlacerService(context, parts)

    def kill(self):
        self.alive = False

    def drain(self):
        """Hand over, as a graceful stop does first; the process runs until killed."""
        self.draining = True
        self._task.put(service.HandOver(tasks.Ticket()))

    def step(self):
        """Handle queued messages, tick, and handle what the tick enqueued."""
        if not self.alive or self.frozen:
            return
        self._gateway.follow()
        while self.calls:
            self.calls.popleft()()
        while self._task.messages:
            self._task.handle(self._task.messages.popleft())
        self._task.tick()
        while self._task.messages:
            self._task.handle(self._task.messages.popleft())

    def call(self, function):
        """Run a callback at the next step, unless the process has been restarted."""
        boot = self.boots

        def run():
            if self.boots == boot and self.alive:
                function()

        self.calls.append(run)

    def send(self, receiver, call):
        self.world.network.send(self.name, receiver, call)

    def on_announcement(self, announcement, answer):
        """Handle an announcement; the answer goes to ``answer(status, content)``."""
        if not self.alive:
            return
        self._task.put(announcing.AnnouncementRequest(announcement, _Reply(answer)))

    def last_event(self, kind):
        """Return the details of the newest event of a kind in its time line."""
        found = [details for _, name, details in self.events if name == kind]
        return found[-1] if found else collections.defaultdict(str)

    def receive_message(self, sender, message):
        """Deliver a peer's message to the placer."""
        self.receive(codec.Received(sender, "b", sender, message))

    def _record(self, kind, **details):
        self.events.append((self.world.network.now_ms, kind, details))

    def _make_task(self, *arguments):
        self._task = _Task(*arguments)
        return self._task

    def _make_gateway(self, _context, prefixes, on_items):
        self._gateway = _Gateway(self, prefixes, on_items)
        return self._gateway

    def _make_sender(self, lease, _clock, done):
        def put(batch):
            self.call(lambda: self._send_batch(batch, lease, done))

        return types.SimpleNamespace(put=put)

    def _send_batch(self, batch, lease, done):
        """Send a batch, as the sender's thread does; either direction may lose it."""
        ended = []

        def end(status, results=(), epoch=0):
            if not ended:
                ended.append(status)
                result = target_wire.BatchResult(batch, status, results, epoch)
                self.call(lambda: done(result))

        if not lease().covers(batch.epoch, self.clock.monotonic_ms()):
            end("unsent")
            return
        worker = self.world.workers[batch.worker_id]
        self.world.network.call_later(COMMAND_TIMEOUT_MS, lambda: end("uncertain"))

        def arrive():
            result = worker.command(json.loads(json.dumps(batch._asdict())))
            self.world.network.send(worker.name, self.name, lambda: end(*result))

        self.send(worker.name, arrive)

    def _send(self, address, message):
        if address == "k":
            self.send("k", lambda: self._renew(message))
            return
        if address == "entry":
            self.world.on_entry_message(message)
        other = self.world.placers.get(address)
        if other is not None:
            received = codec.Received(self.name, "b", self.name, message)
            self.send(address, lambda: other.receive(received))

    def _renew(self, message):
        reply = self.world.keepers.renew(message)
        received = codec.Received("keeper-1", "b", "k", reply)
        self.world.network.send("k", self.name, lambda: self.receive(received))

    def receive(self, received):
        if self.alive:
            self.service.deliver(received)


class _Reply:
    """Replaces a ticket: the answer is sent back over the network."""

    def __init__(self, answer):
        self._answer = answer

    def answer(self, response):
        self._answer(response.status, json.loads(response.body))


class World:
    """Two placers, the keepers and workers; ``run`` advances time and checks."""

    def __init__(self, workers=3, rates=(0.995, 1.005), capacity=4000):
        self.network = placer_sim_net.Network()
        self.keepers = placer_sim_net.Keepers(self.network)
        self.placers = {
            "a": Placer(self, "a", "b", rates[0]),
            "b": Placer(self, "b", "a", rates[1]),
        }
        worker_capacity = common.Resources(capacity, capacity, 0)
        self.workers = {
            f"w{n}": placer_sim_worker.Worker(
                self, f"w{n}", rates[n % 2], worker_capacity
            )
            for n in range(workers)
        }
        self.keepers.write(
            "team/a",
            codec.encode(
                common.Team("a", common.Resources(10**9, 10**9, 0), 1, "packing")
            ),
        )
        self.on_entry_message = lambda message: None
        self.starts = collections.Counter()
        for placer in self.placers.values():
            placer.start()

    def submit(
        self, job_id, tasks=1, run_ms=500, when_cut_off="move", kind="batch", **plan
    ):
        payload = json.dumps({"run_ms": run_ms} | plan)
        job = common.Job(
            job_id,
            "a",
            "w",
            kind,
            DOMAIN,
            common.Resources(1000, 1000, 0),
            tasks,
            5,
            when_cut_off,
            False,
            0,
            payload,
            0,
            "",
        )
        self.keepers.write(f"job/{DOMAIN}/{job_id}", codec.encode(job))

    def cancel(self, job_id):
        self.keepers.write(f"cancel/{DOMAIN}/{job_id}", b"")

    def status(self, job_id):
        stored = self.keepers.state.items.get(f"status/{DOMAIN}/{job_id}")
        return stored and codec.decode(stored.value, common.JobStatus)

    def owner(self):
        """Return the placer that may act, or None."""
        acting = [p for p in self.placers.values() if p.alive and p.service.may_act]
        assert len(acting) <= 1, "two owners act at once"
        return acting[0] if acting else None

    def workers_of(self, task_id):
        """Return the names of the workers that run a task."""
        return [
            name
            for name, worker in self.workers.items()
            for task in worker.running()
            if task["task_id"] == task_id
        ]

    def check(self):
        """Assert what must hold at all times."""
        self.owner()
        places = collections.Counter()
        for worker in self.workers.values():
            running = worker.running()
            places.update(task["task_id"] for task in running)
            for kind in ("cpu_millis", "memory_mb"):
                used = sum(task["task"][kind] for task in running)
                assert used <= getattr(worker.capacity, kind), "capacity exceeded"
        twice = [task_id for task_id, number in places.items() if number > 1]
        assert not twice, f"in two places at once: {twice}"

    def run(self, duration_ms):
        end_ms = self.network.now_ms + duration_ms
        while self.network.now_ms < end_ms:
            self.step()

    def run_until(self, condition, limit_ms=60_000):
        """Advance time until ``condition()`` is true; returns the elapsed ms."""
        start_ms = self.network.now_ms
        while not condition():
            assert self.network.now_ms - start_ms < limit_ms, "not reached in time"
            self.step()
        return self.network.now_ms - start_ms

    def step(self):
        self.network.advance(STEP_MS)
        for placer in self.placers.values():
            placer.step()
        for worker in self.workers.values():
            worker.step()
        self.check()

    def link(self, one, other, state, both=True):
        """Let a link pass, drop or hold messages, in one direction or both."""
        self.network.set_link(one, other, state)
        if both:
            self.network.set_link(other, one, state)

    def heal(self):
        names = ["k", *self.placers, *self.workers]
        for one in names:
            for other in names:
                self.network.set_link(one, other, "passes")
