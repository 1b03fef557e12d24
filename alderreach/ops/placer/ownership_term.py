"""One epoch of ownership: from the grant, through reading the items, to its end."""

import random
import typing

from alderreach.core import codec, records
from alderreach.core.generated import keeper, placer
from alderreach.decisions import scheduler as scheduling
from alderreach.ops.placer import (
    item_writer,
    items,
    placing,
    status,
    takeover,
    upkeep,
    watchers,
)

READ_TIMEOUT_MS = 2000
WRITE_TIMEOUT_MS = 3000
UPKEEP_INTERVAL_MS = 200
SWEEP_INTERVAL_MS = 10_000
PUBLISH_DELAY_HEARTBEATS = 2


class ItemsRead(typing.NamedTuple):
    """The end of reading a prefix for an epoch, with the request's Outcome."""

    epoch: int
    prefix: str
    outcome: typing.Any


class ItemsWritten(typing.NamedTuple):
    """The end of a batch of an epoch's writes, with the request's Outcome."""

    epoch: int
    outcome: typing.Any


class OwnershipTerm:
    """The owner's state in one epoch; it acts once all items are read.

    ``context`` is the daemon's Context, ``gateway`` the Gateway to the keepers,
    ``copy`` the RecordCopy of the previous owner's records. ``enqueue(message)`` adds
    a message to the mailbox of the placer's task.
    """

    def __init__(self, context, gateway, epoch, copy, enqueue):
        self.epoch = epoch
        self.placing = None
        self.watchers = None
        self._context = context
        self._gateway = gateway
        self._copy = copy
        self._enqueue = enqueue
        self._domain = context.settings.process.failure_domain
        self._pages = {}
        self._items = None
        self._writer = None
        self._acked = {}
        self._sent_sequence = -1
        self._leaving_since_ms = {}
        self._next_upkeep_ms = 0
        self._next_sweep_ms = 0
        self._publish_from_ms = 0
        for prefix in items.read_prefixes(self._domain):
            self._read_prefix(prefix)

    # ---- starting

    def _read_prefix(self, prefix):
        epoch, enqueue = self.epoch, self._enqueue

        def on_done(outcome):
            enqueue(ItemsRead(epoch, prefix, outcome))

        self._gateway.request(keeper.ReadItems(prefix), on_done, READ_TIMEOUT_MS)

    def handle_page(self, message, now_ms):
        """Store a page, or read it again if that failed; begin once all are read."""
        if message.outcome.status != "ok":
            self._read_prefix(message.prefix)
            return
        page = codec.unpack(message.outcome.result).unwrap()
        self._pages[message.prefix] = page
        if len(self._pages) == len(items.read_prefixes(self._domain)):
            self._begin(now_ms)

    def _begin(self, now_ms):
        settings, timing = self._context.settings, self._context.settings.timing
        own = [item for page in self._pages.values() for item in page.items]
        versions = {item.key: item.version for item in own}
        shared = [
            item
            for item in self._gateway.items.items.values()
            if item.key not in versions and self._is_newer_than_page(item)
        ]
        versions |= {item.key: item.version for item in shared}
        self._writer = item_writer.ItemWriter(
            self._domain, settings.process.name, self.epoch, versions
        )
        self.placing = placing.Placing(
            self._domain,
            self.epoch,
            scheduling.Scheduler(random.Random(self.epoch)),
            timing,
            self._writer.mark,
            self._context.timeline.record,
            self._context.clock.wall_ms,
        )
        domains = {peer.failure_domain for peer in settings.peers} | {self._domain}
        self._items = items.Items(self.placing, domains)
        placed = self._items.load(own + shared, now_ms)
        takeover.take_over(self.placing, self._copy, placed, now_ms)
        self._copy = None
        self.watchers = watchers.Watchers(
            self._domain, self.epoch, self.placing.members, self._context.transport.send
        )
        if self.epoch > 1 and not self.placing.members.runners():
            self._publish_from_ms = (
                now_ms + PUBLISH_DELAY_HEARTBEATS * timing.target_heartbeat_ms
            )
        self.placing.record_event(
            "takeover_done", detail=f"{len(placed)} workers with items"
        )

    def _is_newer_than_page(self, item):
        """Whether an item of the gateway's copy, missing in the pages read, is valid.

        An item that the page of its prefix does not list was deleted, unless it is
        newer than the page.
        """
        prefix = item.key.rpartition("/")[0] + "/"
        page = self._pages.get(prefix)
        return page is None or item.version > page.version

    @property
    def has_begun(self):
        """Whether all items are read and the takeover is done."""
        return self.placing is not None

    def records(self):
        """Return the records that the next owner needs, as a RecordCopy."""
        if not self.has_begun:
            return self._copy
        return records.copy_from_log(self.placing.ledger.log, self.epoch)

    # ---- messages

    def announce(self, announcement, now_ms):
        """Handle an announcement; returns the acknowledged task ids."""
        return self.placing.announce(announcement, now_ms)

    def apply_items(self, changed, now_ms):
        """Apply pushed items; before the term begins the gateway's copy keeps them."""
        if self.has_begun:
            for item in changed:
                self._writer.record_version(item)
                self._items.apply(item, now_ms)

    def handle_write_result(self, message, now_ms):
        """Handle the end of a batch; returns True if it shows a newer epoch."""
        return self._writer.handle_outcome(message.outcome, now_ms) == "stale_epoch"

    def record_promise(self, standby, promise):
        """Update the sequence up to which a standby stores all records."""
        if promise.epoch == self.epoch:
            self._acked[standby] = promise.record_sequence

    def job_reply(self, query):
        """Answer a JobQuery."""
        return status.job_reply(self.placing, query)

    def target_reply(self, query):
        """Answer a TargetQuery."""
        windows = list(self._items.windows.values())
        wall_ms = self._context.clock.wall_ms()
        return status.target_reply(self.placing, query.request_id, windows, wall_ms)

    # ---- time

    def tick(self, now_ms, standbys):
        """Make decisions and publish them; returns the batches to send to workers."""
        if not self.has_begun:
            return []
        acked = min((self._acked.get(name, 0) for name in standbys), default=0)
        self.placing.tick(now_ms, acked, bool(standbys), self._writer.failing)
        self._publish(now_ms)
        self._upkeep(now_ms)
        self._write(now_ms)
        return self.placing.commands.batches()

    def _publish(self, now_ms):
        if not self.watchers.published and now_ms >= self._publish_from_ms:
            peers = self._context.settings.peers
            entries = [peer.address for peer in peers if peer.role == "entry"]
            self.watchers.publish(entries, now_ms)
        self.watchers.push(now_ms)

    def _upkeep(self, now_ms):
        if now_ms < self._next_upkeep_ms:
            return
        self._next_upkeep_ms = now_ms + UPKEEP_INTERVAL_MS
        self._items.apply_death_declarations(now_ms)
        windows = list(self._items.windows.values())
        wall_ms = self._context.clock.wall_ms()
        upkeep.apply_windows(
            self.placing, windows, wall_ms, now_ms, self._leaving_since_ms
        )
        if now_ms >= self._next_sweep_ms:
            self._next_sweep_ms = now_ms + SWEEP_INTERVAL_MS
            self._items.drop_old_jobs(wall_ms)
            self.placing.remove_dead_targets(now_ms)

    def _write(self, now_ms):
        batch = self._writer.next_batch(now_ms, self._context.clock.wall_ms())
        if batch is None:
            return
        epoch, enqueue = self.epoch, self._enqueue

        def on_done(outcome):
            enqueue(ItemsWritten(epoch, outcome))

        self._gateway.request(batch, on_done, WRITE_TIMEOUT_MS)

    def has_work(self, until_ms):
        """Whether a tick at ``until_ms`` or earlier would have something to do."""
        if not self.has_begun:
            return False
        return self._writer.has_work or self.placing.has_work(until_ms)

    # ---- beats

    @property
    def has_unsent_records(self):
        """Whether there are records that no beat has contained yet."""
        return self.has_begun and self.placing.ledger.log.sequence > self._sent_sequence

    def make_beat(self, standby, now_ms, handover=False):
        """Return the OwnerBeat for a standby, with the records it lacks."""
        if not self.has_begun:
            # A beat from record 0 would make incomplete records look complete. This
            # beat adds no records to the standby's copy. If the standby takes over
            # now, it therefore waits until all leases have expired.
            return placer.OwnerBeat(
                self._domain, self.epoch, now_ms, 1, 1, [], [], [], handover
            )
        changes = self.placing.ledger.log.changes_since(self._acked.get(standby, 0))
        self._sent_sequence = changes.sequence
        return placer.OwnerBeat(
            self._domain,
            self.epoch,
            now_ms,
            changes.from_record,
            changes.sequence,
            changes.placements,
            changes.workers,
            changes.runners,
            handover,
        )
