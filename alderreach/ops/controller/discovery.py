"""How processes of a cell find its controllers from a few seed addresses.

A process starts with the addresses of some controllers, which may be outdated. It sends
a Greeting to these and to every controller that a reply names, and so learns the
leader's address. Once the leader is known and answers, greetings go to the leader only,
so their number grows with the number of processes, not of pairs of processes. A
controller keeps a table of the processes that sent it a Greeting: the leader may have
them query the permission service, and it compares their clocks.

If all seeds are replaced, a process continues with the controllers named by earlier
replies.
"""

import statistics
import typing

from alderreach.core.generated import cell

GREETING_INTERVAL_MS = 300
# After three missed greetings a process counts as stopped, and a leader as lost. A
# frontend that is cut off then reports itself as not ready, and the load balancer,
# which takes two seconds to notice, sends its callers to other frontends.
CONTACT_TIMEOUT_MS = 1000
# Together with the process's own clock three, the fewest of which one may be wrong.
MIN_PEER_CLOCKS = 2


def peer_addresses(seeds, port):
    """Peer addresses of the controllers named by ``seeds``, whose ports are ignored.

    >>> peer_addresses("10.0.0.1:80,10.0.0.2:80", 7400)
    ['10.0.0.1:7400', '10.0.0.2:7400']
    """
    hosts = [
        seed.strip().rpartition(":")[0] for seed in seeds.split(",") if seed.strip()
    ]
    return [f"{host}:{port}" for host in hosts]


class Leadership(typing.NamedTuple):
    """The leader as last reported, and the time of the last message from itself."""

    address: str
    epoch: int
    last_contact_ms: int


NO_LEADERSHIP = Leadership("", 0, 0)


class ControllerFinder:
    """Finds the controllers and the leader of a cell. Not thread-safe."""

    def __init__(self, own_address, seeds, role, failure_domain, clock, send):
        self._own_address = own_address
        self._seeds = list(seeds)
        self._known = {}
        self._last_reply_ms = {}
        self._role = role
        self._failure_domain = failure_domain
        self._clock = clock
        self._send = send
        self._next_ms = 0
        self._started_ms = clock.monotonic_ms()
        self.leadership = NO_LEADERSHIP

    def set_seeds(self, seeds):
        """Replace the seeds after a change of the settings file."""
        self._seeds = list(seeds)

    def tick(self, now_ms):
        """Send the greetings that are due."""
        if now_ms < self._next_ms:
            return
        self._next_ms = now_ms + GREETING_INTERVAL_MS
        greeting = cell.Greeting(
            self._role, self._clock.wall_ms(), self._failure_domain
        )
        for address in self._greeting_recipients(now_ms):
            self._send(address, greeting)

    def handle_reply(self, reply, sender, now_ms):
        """Update the view of the cell from a GreetingReply sent by ``sender``.

        Only a reply from the leader itself shows that it can be reached. If replies of
        other controllers counted too, a leader beyond a network partition would seem
        reachable while any controller on this side still names it. A new leader is
        accepted from any controller and has ``CONTACT_TIMEOUT_MS`` to reply itself.
        """
        self._last_reply_ms[sender] = now_ms
        for address in (sender, *reply.controllers):
            self._known[address] = now_ms
        is_new = reply.epoch > self.leadership.epoch
        is_from_leader = reply.leader == sender and reply.epoch == self.leadership.epoch
        if reply.leader and (is_new or is_from_leader):
            self.leadership = Leadership(reply.leader, reply.epoch, now_ms)

    def controllers(self):
        """Addresses of all known controllers but this process, the leader's first."""
        known = [self.leadership.address, *self._seeds, *self._known]
        return list(dict.fromkeys(a for a in known if a and a != self._own_address))

    def has_leader(self, now_ms):
        """Whether the last contact with the leader is recent enough."""
        leadership = self.leadership
        return bool(leadership.address) and (
            now_ms - leadership.last_contact_ms < CONTACT_TIMEOUT_MS
        )

    def is_isolated(self, now_ms):
        """Whether this process is cut off, rather than waiting for an election.

        During an election the other controllers still answer greetings. Once the leader
        has stopped answering, all controllers are sent greetings. If at most a third of
        them answers, no leader can be reached from here until the network recovers.
        """
        if self.has_leader(now_ms):
            return False
        known = self.controllers()
        answering = self.responsive_controllers(now_ms)
        silent_ms = now_ms - max(self.leadership.last_contact_ms, self._started_ms)
        could_have_answered = silent_ms >= CONTACT_TIMEOUT_MS + GREETING_INTERVAL_MS
        return (
            could_have_answered and len(known) >= 3 and 3 * len(answering) <= len(known)
        )

    def responsive_controllers(self, now_ms):
        """Addresses of the controllers that answered one of the last two greetings."""
        return [
            address
            for address, last_contact_ms in list(self._last_reply_ms.items())
            if now_ms - last_contact_ms < GREETING_INTERVAL_MS * 2
        ]

    def _greeting_recipients(self, now_ms):
        if self.has_leader(now_ms) and self.leadership.address != self._own_address:
            return [self.leadership.address]
        return self.controllers()


class _Peer(typing.NamedTuple):
    """A process that sent a Greeting.

    ``offset_ms`` is its wall clock minus the monotonic clock of this process.
    """

    last_contact_ms: int
    offset_ms: int
    role: str
    failure_domain: str


class RecentPeers:
    """The processes that recently sent a Greeting, and the offsets of their clocks."""

    def __init__(self):
        self._peers = {}

    def record_greeting(self, address, greeting, mono_ms):
        """Record a Greeting that arrived at ``mono_ms`` of the monotonic clock."""
        offset_ms = greeting.wall_ms - mono_ms
        domain = greeting.failure_domain
        self._peers[address] = _Peer(mono_ms, offset_ms, greeting.role, domain)

    def recent_addresses(self, now_ms, role, nearest_domain):
        """Addresses of recent peers of a role, those in ``nearest_domain`` first."""
        near, far = [], []
        for address, peer in self._peers.items():
            if now_ms - peer.last_contact_ms < CONTACT_TIMEOUT_MS and peer.role == role:
                is_near = peer.failure_domain == nearest_domain
                (near if is_near else far).append(address)
        return near + far

    def forget_silent(self, now_ms):
        """Drop peers that have not sent a Greeting for ten contact timeouts."""
        for address, peer in list(self._peers.items()):
            if now_ms - peer.last_contact_ms > 10 * CONTACT_TIMEOUT_MS:
                del self._peers[address]

    def cell_offset_ms(
        self, own_wall_ms, now_ms, bounded_ms=lambda offset_ms: offset_ms
    ):
        """The offset of the cell's time from the monotonic clock: the median of all.

        Wall clocks of single VMs jump by seconds and back. The median stays correct
        while fewer than half of the processes have a wrong clock. With fewer than
        ``MIN_PEER_CLOCKS`` others it is ``bounded_ms`` of the median.
        """
        offsets = self._offsets(now_ms)
        median_ms = int(statistics.median_low([own_wall_ms - now_ms, *offsets]))
        return bounded_ms(median_ms) if len(offsets) < MIN_PEER_CLOCKS else median_ms

    def has_enough_clocks(self, now_ms):
        """Whether there are enough recent peers that one wrong clock is outvoted."""
        return len(self._offsets(now_ms)) >= MIN_PEER_CLOCKS

    def _offsets(self, now_ms):
        """Clock offsets of the recent peers."""
        return [
            peer.offset_ms
            for peer in self._peers.values()
            if now_ms - peer.last_contact_ms < CONTACT_TIMEOUT_MS
        ]
