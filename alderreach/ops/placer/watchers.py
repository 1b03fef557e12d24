"""The entries that watch an owner's runners, and the last change sent to each.

A change is pushed at once. If a push is lost, the entry gets the change in the reply to
its next WatchTargets.
"""

from alderreach.core.generated import placer

WATCHER_SILENCE_MS = 10_000


class _Watcher:
    """One watching entry: the last sequence sent to it, and its last contact."""

    def __init__(self):
        self.sequence = 0
        self.last_contact_ms = 0


class Watchers:
    """The watching entries of one epoch; ``send(address, message)`` sends a message.

    Nothing is sent before ``publish`` was called.
    """

    def __init__(self, failure_domain, epoch, members, send):
        self._failure_domain = failure_domain
        self._epoch = epoch
        self._members = members
        self._send = send
        self._watchers = {}
        self._pushed_sequence = 0
        self.published = False

    def handle_watch(self, address, watch, now_ms):
        """Answer a WatchTargets, and start pushing changes to its sender."""
        if not self.published:
            return
        watcher = self._watchers.setdefault(address, _Watcher())
        watcher.last_contact_ms = now_ms
        watcher.sequence = watch.sequence if watch.epoch == self._epoch else 0
        self._send_changes(address, watcher)

    def push(self, now_ms):
        """Send changes to all watchers with a contact within ``WATCHER_SILENCE_MS``."""
        if not self.published or self._pushed_sequence == self._members.sequence:
            return
        self._pushed_sequence = self._members.sequence
        for address, watcher in list(self._watchers.items()):
            if now_ms - watcher.last_contact_ms > WATCHER_SILENCE_MS:
                del self._watchers[address]
            else:
                self._send_changes(address, watcher)

    def publish(self, addresses, now_ms):
        """Send a new owner's view to all entries, before they send a WatchTargets."""
        self.published = True
        for address in addresses:
            watcher = self._watchers.setdefault(address, _Watcher())
            watcher.last_contact_ms = now_ms
            self._send_changes(address, watcher)

    def _send_changes(self, address, watcher):
        from_sequence, runners = self._members.changes_since(watcher.sequence)
        watcher.sequence = self._members.sequence
        self._send(
            address,
            placer.TargetsView(
                self._failure_domain,
                self._epoch,
                from_sequence,
                self._members.sequence,
                runners,
            ),
        )
