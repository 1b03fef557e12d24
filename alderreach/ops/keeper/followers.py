"""The entries and placers that follow this keeper's copy of the map.

A follower that asked is sent what is new, in bounded chunks. Between its questions it
is pushed each change as it commits; a push that gets lost leaves a gap, which the
follower refuses and closes by its next question.

A follower that was away for longer than tombstones are kept may hold items that were
deleted meanwhile. It is sent its whole part of the map in one message, which replaces
what it has; in chunks, a lost one would leave deleted items in force for ever.
"""

from alderreach.core import keeper_state
from alderreach.core.generated import keeper

FORGET_AFTER_INTERVALS = 20


class Follower:
    """One boot of a process that follows: what it wants and what it was sent.

    ``began_empty`` is set where it followed this keeper from version 0 on and so holds
    nothing that it could have missed the deletion of.
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
    """All followers of a keeper; ``send`` takes an address and a message."""

    def __init__(self, send, items_per_push, follow_interval_ms):
        self._send = send
        self._items_per_push = items_per_push
        self._forget_ms = FORGET_AFTER_INTERVALS * follow_interval_ms
        self._by_address = {}
        self._pushed_version = 0

    def versions(self):
        """The version each follower said it has, by process name."""
        return {f.name: f.have_version for f in self._by_address.values()}

    def handle_follow(self, state, received, may_be_stale, now_ms):
        """Answer a Follow.

        A keeper that may be stale answers only with something newer. To a follower that
        has all it knows it stays silent, so that the follower turns to another keeper,
        and says that it is not current if none answers.
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
        """Push what was committed since the last call to all who are up to date."""
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
        """Drop followers that have not asked for long."""
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
