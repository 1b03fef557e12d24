"""Messages between the system's processes, over pynng's push and pull sockets.

Each process listens on one pull socket and dials a push socket to each address it
sends to. Delivery is at most once and unacknowledged, like a datagram: a message may
be lost or delayed, and every protocol on top has to handle that.

A network partition that drops packets silently closes no connection, and after it ends
the kernel may wait up to a minute before it retransmits. The transport therefore dials
a peer again before it sends to it if the peer has been silent for ``silence_ms``. This
does not affect a healthy link, and shortens the recovery of a broken one.
"""

import queue
import threading

import pynng
from absl import logging
from pynng import lib as nng
from result import Err

from alderreach.core import codec

SEND_BUFFER_MESSAGES = 512
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


class Link:
    """A push socket to one address, and the time at which it was dialled."""

    def __init__(self, address, now_ms):
        self.dialled_ms = now_ms
        self.socket = pynng.Push0(
            send_timeout=0,
            send_buffer_size=SEND_BUFFER_MESSAGES,
            reconnect_time_min=50,
            reconnect_time_max=500,
        )
        self.socket.dial(f"tcp://{address}", block=False)


class Transport:
    """Owns the sockets of one process.

    ``deliver`` is called on the receiving thread with each ``codec.Received``; it
    should only put it into a mailbox. ``on_undecodable`` is called with the text of
    each decoding error. ``peers`` maps process names to addresses: a known sender is
    answered at its address in the settings, and not at its own ``reply_address``.
    """

    def __init__(
        self,
        identity,
        address,
        peers,
        deliver,
        clock,
        silence_ms,
        on_undecodable=None,
    ):
        self._cell, self.name, self.boot_id = identity
        self.address = address
        self._peers = dict(peers)
        self._deliver = deliver
        self._clock = clock
        self._silence_ms = silence_ms
        self._on_undecodable = on_undecodable or (lambda text: None)
        self._outbox = queue.SimpleQueue()
        self._links = {}
        self._last_contact_ms = {}
        self.dropped = 0
        self.undecodable = 0
        self.bytes_sent = 0
        self.bytes_received = 0
        self._pull = pynng.Pull0(
            recv_timeout=RECEIVE_POLL_MS,
            recv_buffer_size=RECEIVE_BUFFER_MESSAGES,
            recv_max_size=MAX_MESSAGE_BYTES,
        )
        self._pull.listen(f"tcp://{address}")
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._receive, name="receive", daemon=True),
            threading.Thread(target=self._send_all, name="send", daemon=True),
        ]

    def start(self):
        """Start receiving and sending; return the transport."""
        for thread in self._threads:
            thread.start()
        return self

    def send(self, address, message):
        """Queue a message for an address; never blocks, and may drop the message."""
        if self._outbox.qsize() >= MAX_OUTBOX_MESSAGES:
            self.dropped += 1
            return
        self._outbox.put((address, message))

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
        envelope = envelope._replace(reply_address=address)
        self._last_contact_ms[envelope.reply_address] = self._clock.monotonic_ms()
        self._deliver(envelope)

    def _send_all(self):
        while True:
            entry = self._outbox.get()
            if entry is STOP:
                break
            self._send_one(*entry)
        for link in self._links.values():
            link.socket.close()

    def _send_one(self, address, message):
        data = codec.encode_envelope(
            self._cell, self.name, self.boot_id, self.address, message
        )
        try:
            self._link(address).socket.send(data)
            self.bytes_sent += len(data)
        except pynng.NNGException as error:
            self.dropped += 1
            logging.log_every_n_seconds(
                logging.INFO, "message to %s dropped: %s", 10, address, error
            )

    def _link(self, address):
        now_ms = self._clock.monotonic_ms()
        link = self._links.get(address)
        if link is not None and self._is_silent(address, link, now_ms):
            link.socket.close()
            link = None
        if link is None:
            link = self._links[address] = Link(address, now_ms)
        return link

    def _is_silent(self, address, link, now_ms):
        last_ms = max(self._last_contact_ms.get(address, 0), link.dialled_ms)
        return now_ms - last_ms > self._silence_ms
