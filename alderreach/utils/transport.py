"""Messages between the system's processes, over pynng's push and pull sockets.

Each process listens on one pull socket and dials a push socket to each address it
sends to. Delivery is at most once and unacknowledged, like a datagram: a message may
be lost or delayed, and every protocol on top has to handle that.

Two failures would make all messages to a peer lost or late until one of the processes
restarts. A network partition that drops packets closes no connection, and after it ends
the kernel may wait up to a minute before it retransmits. And open connections may go
silent permanently. Links on which messages don't arrive are therefore replaced; see
``peer_links``.
"""

import queue
import threading

import pynng
from pynng import lib as nng
from result import Err

from alderreach.core import codec
from alderreach.core.generated import common
from alderreach.utils import peer_links, tasks

RECEIVE_BUFFER_MESSAGES = 1024
RECEIVE_POLL_MS = 200
MAX_MESSAGE_BYTES = 64 * 1024 * 1024
MAX_OUTBOX_MESSAGES = 20_000
STOP = object()
# By default nng starts several threads for each processor of the machine. A process
# here seldom has more than one processor, while the machine may have hundreds.
NNG_THREADS = {
    nng.NNG_INIT_NUM_TASK_THREADS: 2,
    nng.NNG_INIT_MAX_TASK_THREADS: 2,
    nng.NNG_INIT_NUM_EXPIRE_THREADS: 1,
    nng.NNG_INIT_MAX_EXPIRE_THREADS: 1,
    nng.NNG_INIT_NUM_POLLER_THREADS: 1,
    nng.NNG_INIT_MAX_POLLER_THREADS: 1,
    nng.NNG_INIT_NUM_RESOLVER_THREADS: 1,
}
for _parameter, _threads in NNG_THREADS.items():
    nng.nng_init_set_parameter(_parameter, _threads)


class Transport:
    """Owns the sockets of one process.

    ``deliver`` is called on the receiving thread with each ``codec.Received``; it
    should only put it into a mailbox. ``on_undecodable`` is called with the text of
    each decoding error. ``peers`` maps process names to addresses: a known sender is
    answered at its address in the settings, and not at its own ``reply_address``.
    ``rules`` says when a link is given up; ``on_loss`` is called with each
    ``link_health.Loss``, and ``on_fault`` after an exception on one of the threads.
    """

    def __init__(
        self,
        identity,
        address,
        peers,
        deliver,
        clock,
        rules,
        on_undecodable=None,
        on_loss=None,
        on_fault=tasks.end_process,
    ):
        self._cell, self.name, self.boot_id = identity
        self.address = address
        self._peers = dict(peers)
        self._deliver = deliver
        self._clock = clock
        self._on_undecodable = on_undecodable or (lambda text: None)
        self._outbox = queue.SimpleQueue()
        self._contacts = {}
        # Confirmations that have arrived: address, probe and time.
        self._confirmations = queue.SimpleQueue()
        self.links = peer_links.PeerLinks(
            rules,
            clock,
            self._encode,
            self._contacts.get,
            on_loss or (lambda loss: None),
        )
        self._refused = 0
        self.undecodable = 0
        self.bytes_received = 0
        self._pull = pynng.Pull0(
            recv_timeout=RECEIVE_POLL_MS,
            recv_buffer_size=RECEIVE_BUFFER_MESSAGES,
            recv_max_size=MAX_MESSAGE_BYTES,
        )
        self._pull.listen(f"tcp://{address}")
        self._stopping = threading.Event()
        self._threads = [
            tasks.make_thread("receive", self._receive, on_fault),
            tasks.make_thread("send", self._send_all, on_fault),
        ]

    @property
    def dropped(self):
        """Messages that were not written to a connection."""
        return self._refused + self.links.dropped

    @property
    def bytes_sent(self):
        """Bytes written to connections."""
        return self.links.bytes_sent

    def start(self):
        """Start receiving and sending; return the transport."""
        for thread in self._threads:
            thread.start()
        return self

    def send(self, address, message):
        """Queue a message for an address; never blocks, and may drop the message."""
        if self._outbox.qsize() >= MAX_OUTBOX_MESSAGES:
            self._refused += 1
            return
        self._outbox.put((self.links.send, address, message))

    def close(self):
        """Send the queued messages, then close all sockets."""
        self._outbox.put(STOP)
        self._stopping.set()
        for thread in self._threads:
            if thread.ident:
                thread.join(timeout=2)
        self._pull.close()

    def _receive(self):
        while not self._stopping.is_set():
            try:
                data = self._pull.recv()
            except pynng.Timeout:
                continue
            except pynng.Closed:
                return
            self._receive_one(data)

    def _receive_one(self, data):
        self.bytes_received += len(data)
        received = codec.decode_envelope(self._cell, data)
        if isinstance(received, Err):
            self.undecodable += 1
            self._on_undecodable(received.err_value)
            return
        envelope = received.ok_value
        address = self._peers.get(envelope.sender, envelope.reply_address)
        contact = self._record_contact(address, envelope.sender_boot_id)
        message = envelope.message
        if isinstance(message, common.LinkProbe):
            self._handle_probe(address, contact, envelope)
        elif isinstance(message, common.LinkConfirmation):
            contact.confirms = True
            if message.boot_id == self.boot_id:
                self._confirmations.put((address, message.probe, contact.last_ms))
        else:
            self._deliver(envelope._replace(reply_address=address))

    def _record_contact(self, address, boot_id):
        contact = self._contacts.get(address)
        if contact is None or contact.boot_id != boot_id:
            contact = self._contacts[address] = peer_links.Contact(boot_id)
        contact.last_ms = self._clock.monotonic_ms()
        return contact

    def _handle_probe(self, address, contact, envelope):
        probe = envelope.message
        is_new_link = contact.link is None or probe.link > contact.link
        if is_new_link:
            contact.link = probe.link
        contact.confirms = True
        may_be_lost = is_new_link and probe.after_loss
        confirmation = common.LinkConfirmation(envelope.sender_boot_id, probe.probe)
        self._outbox.put((self.links.confirm, address, confirmation, may_be_lost))

    def _encode(self, message):
        return codec.encode_envelope(
            self._cell, self.name, self.boot_id, self.address, message
        )

    def _send_all(self):
        while True:
            try:
                entry = self._outbox.get(timeout=self.links.seconds_to_check())
            except queue.Empty:
                entry = None
            if entry is STOP:
                break
            if entry is not None:
                send, *arguments = entry
                send(*arguments)
            self._check_links()
        self.links.close()

    def _check_links(self):
        while not self._confirmations.empty():
            self.links.handle_confirmation(*self._confirmations.get())
        self.links.check()
