"""Whether what is sent on a link arrives, judged by what the receiver confirms.

A link is the connection on which a process sends to one peer. Messages from that peer
come on another connection, so that they arrive does not show that the link works: open
connections may go silent one by one, without an error, while new ones work.

The sender therefore puts a probe behind its messages, and the receiver confirms it. As
a link delivers in order, all that was sent before has then arrived. There is one probe
under way at most, and none while nothing is sent. A link whose probe stays unconfirmed
for the peer's patience is given up and replaced at the next message. The patience grows
each time, since a peer may be down, or slow, and is set by the next confirmation.

Only the time during which this process ran counts as waiting, so that a process which
was suspended does not give up links whose confirmations it has yet to read.

>>> rules = Rules(confirm_ms=250, longest_ms=3000)
>>> link = Link(1, now_ms=0, patience_ms=250)
>>> connected(link)
>>> sent(link, size_bytes=100, now_ms=0)
>>> is_probe_due(link, now_ms=0)
True
>>> probe_sent(link, 7, now_ms=0)
>>> for now_ms in range(0, 250, CHECK_INTERVAL_MS):
...     wait(link, now_ms)
>>> is_overdue(link, rules), confirm(link, 7, now_ms=220, rules=rules)
(False, True)
"""

import typing

CHECK_INTERVAL_MS = 50
# Bounds the probes on a busy link to ten a second.
PROBE_INTERVAL_MS = 100
# A probe waits behind the messages before it.
SLOWEST_BYTES_PER_MS = 500
PATIENCE_FACTOR = 2


class Rules(typing.NamedTuple):
    """The shortest and the longest patience with a peer."""

    confirm_ms: int
    longest_ms: int


class Loss(typing.NamedTuple):
    """A link that was given up.

    ``unconfirmed_ms`` is the age of its oldest unconfirmed message; ``silent_ms`` is
    how long nothing has come from the peer, or None if nothing ever did.
    """

    address: str
    unconfirmed_ms: int
    silent_ms: int | None


class Link:
    """The state of one link; ``number`` tells it from earlier ones to the peer."""

    def __init__(self, number, now_ms, patience_ms):
        self.number = number
        self.patience_ms = patience_ms
        self.is_connected = False
        # When it last was known to work; dialling counts.
        self.proven_ms = now_ms
        self.probe = None
        self.oldest_ms = None
        self.probe_sent_ms = None
        self.unprobed_since_ms = None
        # Sent before the probe under way, and since.
        self.probed_bytes = 0
        self.unprobed_bytes = 0
        self.waited_ms = 0
        self.last_wait_ms = now_ms


def sent(link, size_bytes, now_ms):
    """Record that a message was sent on the link."""
    if link.oldest_ms is None:
        link.oldest_ms = now_ms
    if link.unprobed_since_ms is None:
        link.unprobed_since_ms = now_ms
    link.unprobed_bytes += size_bytes


def is_probe_due(link, now_ms):
    """Whether a probe should be sent now."""
    if link.probe is not None or link.unprobed_since_ms is None:
        return False
    last_ms = link.probe_sent_ms
    return last_ms is None or now_ms - last_ms >= PROBE_INTERVAL_MS


def probe_sent(link, probe, now_ms):
    """Record that a probe was sent behind all messages so far."""
    link.probe = probe
    link.probe_sent_ms = link.last_wait_ms = now_ms
    link.unprobed_since_ms = None
    link.probed_bytes, link.unprobed_bytes = link.unprobed_bytes, 0
    link.waited_ms = 0


def confirm(link, probe, now_ms, rules):
    """Record a confirmation; False if it is not that of the probe under way."""
    if link.probe != probe:
        return False
    took_ms = now_ms - link.probe_sent_ms
    link.patience_ms = _bounded(PATIENCE_FACTOR * took_ms, rules)
    link.proven_ms = now_ms
    link.probe = None
    link.oldest_ms = link.unprobed_since_ms
    link.probed_bytes = 0
    link.waited_ms = 0
    return True


def wait(link, now_ms):
    """Count the time since the last call as waiting, up to two check intervals.

    Waiting is for a confirmation, or for room to write a probe that is due.
    """
    elapsed_ms = now_ms - link.last_wait_ms
    link.last_wait_ms = now_ms
    if link.probe is not None or is_probe_due(link, now_ms):
        link.waited_ms += min(elapsed_ms, 2 * CHECK_INTERVAL_MS)


def connected(link):
    """Record that the link, on which messages may wait already, has its connection."""
    link.is_connected = True
    link.waited_ms = 0


def is_overdue(link, rules):
    """Whether the probe has waited for longer than the patience allows.

    Without a connection that is the longest one: it is tried again and again, and the
    messages that wait for it are kept. So it is for a probe that can't be written since
    the buffer is full, as it may be on a link that works.
    """
    if is_idle(link):
        return False
    if link.probe is None:
        return link.waited_ms >= rules.longest_ms
    transfer_ms = link.probed_bytes // SLOWEST_BYTES_PER_MS
    patience_ms = link.patience_ms if link.is_connected else rules.longest_ms
    return link.waited_ms >= patience_ms + transfer_ms


def is_idle(link):
    """Whether all that was sent is confirmed."""
    return link.oldest_ms is None


def is_unproven(link, now_ms):
    """Whether the link has not been known to work for half of the patience."""
    return now_ms - link.proven_ms > link.patience_ms // 2


def next_patience_ms(link, rules):
    """The patience with the peer on the link that replaces this one."""
    return _bounded(PATIENCE_FACTOR * link.patience_ms, rules)


def _bounded(patience_ms, rules):
    return min(max(patience_ms, rules.confirm_ms), rules.longest_ms)
