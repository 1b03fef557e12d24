"""A follower's copy of the replicated map, updated by the keepers' pushes.

The copy only moves forward: a push is applied if it starts at or before the version of
the copy and ends after it. A late or repeated push therefore changes nothing. A push
that would leave a gap is ignored; the next ``Follow`` names the version to resume from.
"""

import typing


class Replica(typing.NamedTuple):
    """Items by key, complete up to ``version``."""

    version: int
    items: dict


EMPTY = Replica(0, {})


def apply(replica, push):
    """Apply an ItemsPush; returns the new replica and the items that changed.

    The items dictionary is copied only if something changed.
    """
    if push.from_version > replica.version or push.to_version <= replica.version:
        return replica, []
    changed = [item for item in push.items if item.version > replica.version]
    if not changed:
        return Replica(push.to_version, replica.items), []
    items = dict(replica.items)
    for item in changed:
        if item.value is None:
            items.pop(item.key, None)
        else:
            items[item.key] = item
    return Replica(push.to_version, items), changed


def replace(replica, message):
    """Apply an ItemsReplaced; returns the same as ``apply``.

    Items that the message lacks are returned as deleted.
    """
    if message.version <= replica.version:
        return replica, []
    items = {item.key: item for item in message.items}
    gone = [
        item._replace(version=message.version, value=None)
        for key, item in replica.items.items()
        if key not in items
    ]
    changed = [item for key, item in items.items() if replica.items.get(key) != item]
    return Replica(message.version, items), gone + changed
