"""The entries and placers that follow this keeper's copy of the map.

A follower that sends a Follow is sent all newer changes, in bounded chunks. Between two
Follows it is pushed each change as it commits. If a push is lost, the follower rejects
the next one because of the gap in versions, and its next Follow closes the gap.

A follower that was disconnected for longer than tombstones are kept may hold items that
were deleted meanwhile. It is sent its part of the map in full in one message, which
replaces its copy. If the map were sent in chunks and one was lost, deleted items would
stay in the copy for ever.
"""

from alderreach.core import keeper_state
from alderreach.core.generated import keeper

FORGET_AFTER_INTERVALS = 20


class Follower:
    """One boot of a following process: the prefixes it follows and what it was sent.

    ``began_empty`` is True if it has followed this keeper since version 0, so it holds
    no item whose deletion it could have missed.
    """

    def __init__(self, name, boot_id, address, prefixes):
        self.name = name
        self.boot_id = boot_id
        self.address = address
        self.prefixes = tuple(prefixes)
        self.have_version = 0
        self.sent_version = 0
        self.last_contact_ms = 0
        self.began_empty = False


class Followers:
    """All followers of a keeper; messages are sent by ``send(address, message)``."""

    def __init__(self, send, items_per_push, follow_interval_ms):
        self._send = send
        self._items_per_push = items_per_push
        self._forget_ms = FORGET_AFTER_INTERVALS * follow_interval_ms
        self._by_address = {}
        self._pushed_version = 0

    def versions(self):
        """The version that each follower last reported, by process name."""
        return {f.name: f.have_version for f in self._by_address.values()}

    def handle_follow(self, state, received, may_be_stale, now_ms):
        """Answer a Follow.

        A keeper that may be stale answers only if it has a newer version. Otherwise it
        sends nothing, so that the follower asks another keeper, and reports that it is
        not current if none answers.
        """
        address, message = received.reply_address, received.message
        follower = self._by_address.get(address)
        wanted = (received.sender_boot_id, tuple(message.prefixes))
        if follower is None or (follower.boot_id, follower.prefixes) != wanted:
            follower = Follower(received.sender, wanted[0], address, wanted[1])
            self._by_address[address] = follower
        follower.last_contact_ms = now_ms
        follower.have_version = follower.sent_version = message.have_version
        if may_be_stale and state.version <= message.have_version:
            return
        follower.began_empty = follower.began_empty or message.have_version == 0
        if message.have_version < state.floor_version and not follower.began_empty:
            self._replace(state, follower)
            return
        follower.sent_version = self._push(state, [follower], message.have_version)

    def push_changes(self, state):
        """Push the changes committed since the last call to all followers."""
        if state.version == self._pushed_version:
            return
        self._pushed_version = state.version
        groups = {}
        for follower in self._by_address.values():
            if follower.sent_version < state.version:
                key = (follower.prefixes, follower.sent_version)
                groups.setdefault(key, []).append(follower)
        for (_prefixes, version), group in groups.items():
            reached = self._push(state, group, version)
            for follower in group:
                follower.sent_version = reached

    def forget_silent(self, now_ms):
        """Remove followers that sent no Follow for ``FORGET_AFTER_INTERVALS``."""
        for address, follower in list(self._by_address.items()):
            if now_ms - follower.last_contact_ms > self._forget_ms:
                del self._by_address[address]

    def _push(self, state, group, version):
        reached, items = keeper_state.changes_after(
            state, version, group[0].prefixes, self._items_per_push
        )
        push = keeper.ItemsPush(version, reached, state.version, items)
        for follower in group:
            self._send(follower.address, push)
        return reached

    def _replace(self, state, follower):
        items = [
            item
            for prefix in follower.prefixes
            for item in keeper_state.items_under(state, prefix)
        ]
        follower.sent_version = state.version
        self._send(follower.address, keeper.ItemsReplaced(state.version, items))
