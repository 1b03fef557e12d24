"""A process's communication with the keepers, and its queries to other processes.

One task owns the copy of the replicated map, the pending requests to the keepers and
the pending queries to peers. HTTP threads and the role's own task use it through
thread-safe calls; results come through a callback on the gateway's thread, or the
caller waits for them.

The copy stays usable without a quorum: a process that can't get newer versions
continues with the last one, and ``is_current`` tells whether a keeper responded
recently. The copy is also saved to a file, so that a process restarted during a network
partition has the last one.
"""

import itertools
import pathlib
import typing
import uuid

import msgspec
from absl import logging

from alderreach.core import codec, replica
from alderreach.core.generated import common, keeper
from alderreach.ops import keeper_client
from alderreach.utils import files, tasks

CURRENT_WITHIN_INTERVALS = 6
SAVE_INTERVAL_MS = 1000
COPY_FILE = "configuration.copy"

KEEPER_MESSAGES = (keeper.KeeperReply, keeper.ItemsPush, keeper.ItemsReplaced)


class _Request(typing.NamedTuple):
    """A command for the keepers, passed to the task."""

    command: bytes
    on_done: typing.Callable
    timeout_ms: int


class Gateway:
    """The gateway's task; ``on_items(changed, copy)`` is called on its thread.

    ``prefixes`` selects the items to follow, such as ``("team/", "workload/")``.
    """

    def __init__(self, context, prefixes, on_items=lambda changed, copy: None):
        self._context = context
        self._clock = context.clock
        self._transport = context.transport
        self._prefixes = list(prefixes)
        self._on_items = on_items
        peers = context.settings.peers
        keepers = [peer for peer in peers if peer.role == "keeper"]
        domain = context.settings.process.failure_domain
        keepers.sort(key=lambda peer: (peer.failure_domain != domain, peer.name))
        self._keepers = {peer.name: peer.address for peer in keepers}
        self._follow_order = itertools.cycle(self._keepers.values())
        self._followed_keeper = next(self._follow_order, None)
        self._client = keeper_client.KeeperClient(self._keepers, self._transport.send)
        self._queries = {}
        self._copy = self._load()
        self._last_contact_ms = None
        self._next_follow_ms = 0
        self._next_save_ms = 0
        self._saved_version = self._copy.version
        self._latest_version = self._copy.version
        self._task = tasks.Task("gateway", self._handle, self._tick, context.clock)

    def start(self):
        """Start following the keepers; return the gateway."""
        if self._copy.items:
            self._on_items(list(self._copy.items.values()), self._copy)
        self._task.start()
        return self

    def close(self):
        """Stop the task."""
        self._task.close()

    @property
    def items(self):
        """The current copy of the map; immutable, readable from any thread."""
        return self._copy

    @property
    def is_current(self):
        """Whether a keeper responded recently and no newer version is known."""
        interval_ms = self._context.settings.timing.follow_interval_ms
        limit_ms = CURRENT_WITHIN_INTERVALS * interval_ms
        last_contact_ms = self._last_contact_ms
        is_recent = (
            last_contact_ms is not None
            and self._clock.monotonic_ms() - last_contact_ms < limit_ms
        )
        return is_recent and self._copy.version >= self._latest_version

    def deliver(self, received):
        """Accept a peer's message for the gateway; returns False for other messages."""
        message = received.message
        is_from_keeper = isinstance(message, KEEPER_MESSAGES)
        if is_from_keeper or getattr(message, "request_id", None) in self._queries:
            self._task.put(received)
            return True
        return False

    def request(self, command, on_done, timeout_ms):
        """Send a command; ``on_done(Outcome)`` is called once, on the task's thread."""
        self._task.put(_Request(codec.pack(command), on_done, timeout_ms))

    def ask_keepers(self, command, timeout_ms):
        """Send a command and wait; returns a ``keeper_client.Outcome``."""
        ticket = tasks.Ticket()
        self.request(command, ticket.answer, timeout_ms)
        answer = ticket.wait(timeout_ms + SAVE_INTERVAL_MS)
        return answer or keeper_client.Outcome("uncertain", b"")

    def ask_peer(self, address, message, timeout_ms):
        """Send a message with a ``request_id``; returns the reply, or None on timeout.

        The message's request id is replaced by a new one.
        """
        ticket = tasks.Ticket()
        message = message._replace(request_id=uuid.uuid4().hex)
        self._queries[message.request_id] = ticket
        self._transport.send(address, message)
        reply = ticket.wait(timeout_ms)
        self._queries.pop(message.request_id, None)
        return reply

    def _handle(self, received):
        if isinstance(received, _Request):
            now_ms = self._clock.monotonic_ms()
            self._client.request(
                received.command, received.on_done, now_ms, received.timeout_ms
            )
            return
        message = received.message
        if isinstance(message, keeper.KeeperReply):
            self._client.handle(message, self._clock.monotonic_ms())
        elif isinstance(message, keeper.ItemsPush):
            self._apply(replica.apply, message, message.latest_version)
        elif isinstance(message, keeper.ItemsReplaced):
            self._apply(replica.replace, message, message.version)
        else:
            ticket = self._queries.pop(message.request_id, None)
            if ticket is not None:
                ticket.answer(message)

    def _apply(self, apply, message, latest_version):
        self._last_contact_ms = self._clock.monotonic_ms()
        self._latest_version = max(self._latest_version, latest_version)
        self._copy, changed = apply(self._copy, message)
        if changed:
            self._context.timeline.record(
                "configuration_applied", detail=f"version {self._copy.version}"
            )
            self._on_items(changed, self._copy)
        if self._copy.version < latest_version:
            self._next_follow_ms = 0

    def _tick(self):
        now_ms = self._clock.monotonic_ms()
        self._client.tick(now_ms)
        if now_ms >= self._next_follow_ms:
            self._follow(now_ms)
        if now_ms >= self._next_save_ms:
            self._next_save_ms = now_ms + SAVE_INTERVAL_MS
            self._save()
        due_ms = min(self._next_follow_ms, self._next_save_ms)
        return min(due_ms, self._client.next_due_ms(due_ms)) - now_ms

    def _follow(self, now_ms):
        interval_ms = self._context.settings.timing.follow_interval_ms
        self._next_follow_ms = now_ms + interval_ms
        is_silent = (
            self._last_contact_ms is None
            or now_ms - self._last_contact_ms > 3 * interval_ms
        )
        if is_silent:
            self._followed_keeper = next(self._follow_order, None)
        if self._followed_keeper is not None:
            follow = keeper.Follow(
                self._copy.version, self._prefixes, self._context.role
            )
            self._transport.send(self._followed_keeper, follow)

    def _path(self):
        return pathlib.Path(self._context.settings.process.data_folder) / COPY_FILE

    def _load(self):
        try:
            version, items = msgspec.msgpack.decode(
                self._path().read_bytes(), type=tuple[int, list[common.Item]]
            )
        except FileNotFoundError:
            return replica.EMPTY
        except (OSError, msgspec.MsgspecError) as error:
            logging.warning(
                "can't read the configuration copy; starting with an empty one: %s",
                error,
            )
            return replica.EMPTY
        return replica.Replica(version, {item.key: item for item in items})

    def _save(self):
        """Save the copy for a restart; the process continues if the write fails."""
        if self._copy.version == self._saved_version:
            return
        data = msgspec.msgpack.encode(
            (self._copy.version, list(self._copy.items.values()))
        )
        try:
            files.replace_synced(self._path(), data)
            self._saved_version = self._copy.version
        except OSError as error:
            logging.log_every_n_seconds(
                logging.WARNING, "can't save the configuration copy: %s", 60, error
            )
