"""Links between simulated processes that can become silent, with production's rules.

A silent link loses what is sent on it until its sender replaces it, which
``peer_links`` decides; its sockets are replaced while the links are ``installed``.
"""

import contextlib
import itertools
import typing
from unittest import mock

from alderreach.core import codec
from alderreach.core.generated import common
from alderreach.utils import link_health, peer_links

RULES = link_health.Rules(confirm_ms=250, longest_ms=3000)


class Message(typing.NamedTuple):
    """A message in transit on a link."""

    sender: str
    receiver: str
    packed: bytes
    link: typing.Any = None


class Socket:
    """Replaces a push socket; queues messages in the simulated network."""

    pipes = ("connected",)

    def __init__(self, network, sender, receiver, boot_id):
        self._network = network
        self._sender, self._receiver = sender, receiver
        self.boot_id = boot_id
        self.is_silent = False

    def send(self, packed):
        self._network.append(Message(self._sender, self._receiver, packed, self))

    def close(self):
        """What was sent before may still arrive."""


class Process:
    """The links of one process, and its contacts with others."""

    def __init__(self, boot_id, clock, on_loss):
        self.boot_id = boot_id
        self.contacts = {}
        self.links = peer_links.PeerLinks(
            RULES, clock, codec.pack, self.contacts.get, on_loss
        )


class Links:
    """The links of all processes of a simulation; ``losses`` are those given up."""

    def __init__(self):
        self.losses = []
        self._network = self._clock = None
        self._boots = itertools.count(1)
        self._processes = {}
        self._newest = {}
        self._acting = None

    @contextlib.contextmanager
    def installed(self):
        """Replace the sockets of ``peer_links``."""
        with mock.patch.object(peer_links, "dial", self._dial):
            yield self

    def attach(self, network, clock):
        """Use a simulation's network and clock."""
        self._network, self._clock = network, clock

    def start(self, name):
        """Begin a new boot of a process, with new links."""
        boot_id = f"boot {next(self._boots)}"
        self._processes[name] = Process(boot_id, self._clock, self.losses.append)

    def is_between(self, sender, receiver):
        """Whether both are processes that have links."""
        return sender in self._processes and receiver in self._processes

    def send(self, sender, receiver, message):
        """Send a message of a process."""
        self._act(sender, lambda links: links.send(receiver, message))

    def check(self, name):
        """Let a process check its links, as it does continuously."""
        self._act(name, lambda links: links.check())

    def receive(self, name, received):
        """Record a received message; returns whether it concerns only the links."""
        process, sender = self._processes[name], received.sender
        if sender not in self._processes:
            return False
        contact = process.contacts.get(sender)
        if contact is None or contact.boot_id != received.sender_boot_id:
            contact = peer_links.Contact(received.sender_boot_id)
            process.contacts[sender] = contact
        contact.last_ms = self._clock.monotonic_ms()
        message = received.message
        if isinstance(message, common.LinkProbe):
            self._confirm(name, sender, contact, message)
        elif isinstance(message, common.LinkConfirmation):
            contact.confirms = True
            if message.boot_id == process.boot_id:
                now_ms = contact.last_ms
                process.links.handle_confirmation(sender, message.probe, now_ms)
        else:
            return False
        return True

    def silence(self, pairs):
        """Make the present links of (sender, receiver) pairs silent."""
        for pair in pairs:
            if pair in self._newest:
                self._newest[pair].is_silent = True

    def _confirm(self, name, sender, contact, probe):
        is_new_link = contact.link != probe.link
        contact.confirms, contact.link = True, probe.link
        confirmation = common.LinkConfirmation(contact.boot_id, probe.probe)
        self._act(name, lambda links: links.confirm(sender, confirmation, is_new_link))

    def _act(self, name, work):
        self._acting = name
        work(self._processes[name].links)

    def _dial(self, address):
        name = self._acting
        boot_id = self._processes[name].boot_id
        socket = Socket(self._network, name, address, boot_id)
        self._newest[name, address] = socket
        return socket
