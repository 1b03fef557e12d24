"""The links of one process: a push socket to each peer that it sends to.

A link is replaced

- once ``link_health`` gives it up; messages that were on it may be lost;
- when the peer has given up its own, unless it was confirmed just before: the peer may
  have done so since its confirmations, which come on this link, don't reach it;
- before a message if it was unused for a long time, so that the message does not have
  to find out whether it still works.

Peers of earlier versions don't confirm. The link to such a peer is replaced before a
message if the peer has been silent.

Used by one thread. The counts may be read by any.
"""

import itertools

import pynng
from absl import logging

from alderreach.core.generated import common
from alderreach.utils import link_health

SEND_BUFFER_MESSAGES = 512
DROPS_LOG_INTERVAL_S = 10


def dial(address):
    """Return a push socket that connects to an address and reconnects by itself."""
    socket = pynng.Push0(
        send_timeout=0,
        send_buffer_size=SEND_BUFFER_MESSAGES,
        reconnect_time_min=50,
        reconnect_time_max=500,
    )
    try:
        socket.dial(f"tcp://{address}", block=False)
    except pynng.NNGException:
        socket.close()
        raise
    return socket


class Contact:
    """What is known of a peer from the messages of its present boot.

    The transport keeps one for each peer that it receives from. ``confirms`` tells
    whether the peer takes part in confirming links, and ``link`` is the newest one that
    it has probed.
    """

    def __init__(self, boot_id):
        self.boot_id = boot_id
        self.last_ms = 0
        self.confirms = False
        self.link = None


class _PeerLink:
    """A socket and the state of the link."""

    def __init__(self, address, number, now_ms, patience_ms, after_loss):
        self.socket = dial(address)
        self.health = link_health.Link(number, now_ms, patience_ms)
        self.after_loss = after_loss


class PeerLinks:
    """Sends messages on links and replaces those on which they don't arrive.

    ``encode`` returns the bytes of a message, ``contact_of(address)`` the Contact of a
    peer or None, and ``on_loss`` is called with each ``link_health.Loss``.
    """

    def __init__(self, rules, clock, encode, contact_of, on_loss):
        self._rules = rules
        self._clock = clock
        self._encode = encode
        self._contact_of = contact_of
        self._on_loss = on_loss
        self._numbers = itertools.count(1)
        self._links = {}
        self._patience_ms = {}
        # Addresses to which a link was given up and none was confirmed since.
        self._lost = set()
        # The links on which something is unconfirmed, by address.
        self._unconfirmed = {}
        self._next_check_ms = 0
        self.dropped = 0
        self.unencodable = 0
        self.bytes_sent = 0
        self.given_up = 0
        self.replaced_for_peer = 0
        self.unconfirmed = 0

    def send(self, address, message):
        """Send a message that should arrive, unless it can't be encoded.

        Then it is lost, as any message may be. No link has changed by that time, so the
        process can go on, while one that ended would do so again at the next such
        message.
        """
        try:
            data = self._encode(message)
        except Exception as error:
            self._drop_unencodable(address, message, error)
            return
        now_ms = self._clock.monotonic_ms()
        if address in self._links and self._is_stale(address, now_ms):
            self._close(address)
        link = self._open(address, now_ms)
        if link is None:
            return
        is_written = self._write(address, link, data)
        link_health.sent(link.health, len(data) if is_written else 0, now_ms)
        self._unconfirmed[address] = link
        self._probe_if_due(address, link, now_ms)

    def confirm(self, address, confirmation, may_be_lost):
        """Confirm a peer's link; ``may_be_lost`` if earlier confirmations may be."""
        now_ms = self._clock.monotonic_ms()
        link = self._links.get(address)
        if link is not None and may_be_lost:
            if link_health.is_unproven(link.health, now_ms):
                self.replaced_for_peer += 1
                self._close(address)
        link = self._open(address, now_ms)
        if link is not None:
            self._write(address, link, self._encode(confirmation))

    def handle_confirmation(self, address, probe, now_ms):
        """Record that a peer has confirmed a probe at ``now_ms``."""
        link = self._unconfirmed.get(address)
        if link and link_health.confirm(link.health, probe, now_ms, self._rules):
            self._patience_ms[address] = link.health.patience_ms
            self._lost.discard(address)

    def seconds_to_check(self):
        """When ``check`` has to be called next; None if nothing is unconfirmed."""
        if not self._unconfirmed:
            return None
        return max(0, self._next_check_ms - self._clock.monotonic_ms()) / 1000

    def check(self):
        """Send the probes that are due and give up links, if a check is due."""
        now_ms = self._clock.monotonic_ms()
        if now_ms < self._next_check_ms:
            return
        self._next_check_ms = now_ms + link_health.CHECK_INTERVAL_MS
        for address, link in list(self._unconfirmed.items()):
            self._check_one(address, link, now_ms)
        self.unconfirmed = sum(
            now_ms - link.health.oldest_ms >= self._rules.confirm_ms
            for link in self._unconfirmed.values()
        )

    def close(self):
        """Close all links."""
        for address in list(self._links):
            self._close(address)

    def _check_one(self, address, link, now_ms):
        if link_health.is_idle(link.health):
            del self._unconfirmed[address]
            return
        self._probe_if_due(address, link, now_ms)
        if not link.health.is_connected and link.socket.pipes:
            link_health.connected(link.health)
        link_health.wait(link.health, now_ms)
        is_overdue = link_health.is_overdue(link.health, self._rules)
        if is_overdue and not self._is_earlier_version(address):
            self._give_up(address, link, now_ms)

    def _give_up(self, address, link, now_ms):
        self.given_up += 1
        self._lost.add(address)
        contact = self._contact_of(address)
        silent_ms = now_ms - contact.last_ms if contact else None
        unconfirmed_ms = now_ms - link.health.oldest_ms
        self._patience_ms[address] = link_health.next_patience_ms(
            link.health, self._rules
        )
        self._close(address)
        self._on_loss(link_health.Loss(address, unconfirmed_ms, silent_ms))

    def _probe_if_due(self, address, link, now_ms):
        if not link_health.is_probe_due(link.health, now_ms):
            return
        probe = next(self._numbers)
        message = common.LinkProbe(link.health.number, link.after_loss, probe)
        if self._write(address, link, self._encode(message)):
            link_health.probe_sent(link.health, probe, now_ms)

    def _write(self, address, link, data):
        """Write to a link's socket; False if the data are dropped."""
        try:
            link.socket.send(data)
        except pynng.NNGException as error:
            self._drop(address, error)
            return False
        self.bytes_sent += len(data)
        return True

    def _drop_unencodable(self, address, message, error):
        self.unencodable += 1
        logging.log_every_n_seconds(
            logging.ERROR,
            "a %s to %s can't be encoded: %r; %d so far",
            DROPS_LOG_INTERVAL_S,
            type(message).__name__,
            address,
            error,
            self.unencodable,
        )

    def _drop(self, address, error):
        self.dropped += 1
        logging.log_every_n_seconds(
            logging.INFO,
            "message to %s dropped: %s",
            DROPS_LOG_INTERVAL_S,
            address,
            error,
        )

    def _open(self, address, now_ms):
        """Return the link to an address, dialled if need be; None if that fails."""
        if address not in self._links:
            patience_ms = self._patience_ms.get(address, self._rules.confirm_ms)
            number, after_loss = next(self._numbers), address in self._lost
            try:
                link = _PeerLink(address, number, now_ms, patience_ms, after_loss)
            except pynng.NNGException as error:
                self._drop(address, error)
                return None
            self._links[address] = link
        return self._links[address]

    def _close(self, address):
        self._links.pop(address).socket.close()
        self._unconfirmed.pop(address, None)
        if not self._unconfirmed:
            # No check follows that would count them.
            self.unconfirmed = 0

    def _is_earlier_version(self, address):
        contact = self._contact_of(address)
        return contact is not None and not contact.confirms

    def _is_stale(self, address, now_ms):
        """Whether a link was unused for so long that it is safer to dial again.

        To a peer that doesn't confirm, whether the peer has been silent for so long.
        """
        health = self._links[address].health
        last_ms = health.proven_ms
        if self._is_earlier_version(address):
            last_ms = max(last_ms, self._contact_of(address).last_ms)
        elif not link_health.is_idle(health):
            return False
        return now_ms - last_ms > self._rules.longest_ms
