"""How processes of a cell find its controllers from a few seed addresses.

A process knows only some controllers' addresses, perhaps old ones. It greets those, and
every controller it hears of, and learns who leads. Greetings go to the leader alone
once it is known and answers, so their number grows with the processes, not with their
pairs. A controller remembers who greeted it; these are the processes that the leader
may ask to put questions to the permission service, and whose clocks it compares.

If all seeds are replaced, it goes on with the controllers that earlier replies named.
"""

import statistics
import typing

from alderreach.core.generated import cell

GREETING_INTERVAL_MS = 300
# Three greetings missed: the process is taken to be gone, or the leader to be lost. A
# frontend that is cut off then reports itself not ready, and the balancer, which takes
# two seconds to notice, sends its callers elsewhere.
CONTACT_TIMEOUT_MS = 1000
# With its own clock three, the least of which one may be wrong.
MIN_PEER_CLOCKS = 2


def peer_addresses(seeds, port):
    """Peer addresses of the controllers that seeds name; only their hosts count.

    >>> peer_addresses("10.0.0.1:80,10.0.0.2:80", 7400)
    ['10.0.0.1:7400', '10.0.0.2:7400']
    """
    hosts = [
        seed.strip().rpartition(":")[0] for seed in seeds.split(",") if seed.strip()
    ]
    return [f"{host}:{port}" for host in hosts]


class Leadership(typing.NamedTuple):
    """Who leads, as last heard: address, epoch, and when it was heard itself."""

    address: str
    epoch: int
    last_contact_ms: int


NO_LEADERSHIP = Leadership("", 0, 0)


class ControllerFinder:
    """A process's view of its controllers; used by one task or under its lock."""

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
        """Take the seeds of a changed settings file."""
        self._seeds = list(seeds)

    def tick(self, now_ms):
        """Greet whoever has to be greeted now."""
        if now_ms < self._next_ms:
            return
        self._next_ms = now_ms + GREETING_INTERVAL_MS
        greeting = cell.Greeting(
            self._role, self._clock.wall_ms(), self._failure_domain
        )
        for address in self._greeting_recipients(now_ms):
            self._send(address, greeting)

    def handle_reply(self, reply, sender, now_ms):
        """Take a GreetingReply that came from ``sender``.

        Only the leader itself proves that it is there. Refreshed by hearsay, a leader
        beyond a cut would seem alive for as long as one other controller on this side
        still names it. One that is new is given the time to be heard itself.
        """
        self._last_reply_ms[sender] = now_ms
        for address in (sender, *reply.controllers):
            self._known[address] = now_ms
        is_new = reply.epoch > self.leadership.epoch
        is_from_leader = reply.leader == sender and reply.epoch == self.leadership.epoch
        if reply.leader and (is_new or is_from_leader):
            self.leadership = Leadership(reply.leader, reply.epoch, now_ms)

    def controllers(self):
        """All addresses worth trying, the leader's first."""
        known = [self.leadership.address, *self._seeds, *self._known]
        return list(dict.fromkeys(a for a in known if a and a != self._own_address))

    def has_leader(self, now_ms):
        """Whether a leader was heard of lately."""
        leadership = self.leadership
        return bool(leadership.address) and (
            now_ms - leadership.last_contact_ms < CONTACT_TIMEOUT_MS
        )

    def is_isolated(self, now_ms):
        """Whether it is cut off, rather than between two leaders.

        Between two leaders the other controllers still answer greetings. Once the
        leader is silent all of them are greeted, and if at most a third answers, no
        leader can be expected from here until the network is whole again.
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
        """Addresses of controllers that answered one of the last two greetings."""
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
    """When a process greeted last, and its wall clock less the steady one here."""

    last_contact_ms: int
    offset_ms: int
    role: str
    failure_domain: str


class RecentPeers:
    """Who greeted a controller lately, and how their clocks differ from its own."""

    def __init__(self):
        self._peers = {}

    def record_greeting(self, address, greeting, mono_ms):
        """Take a greeting that arrived at ``mono_ms`` of the own steady clock."""
        offset_ms = greeting.wall_ms - mono_ms
        domain = greeting.failure_domain
        self._peers[address] = _Peer(mono_ms, offset_ms, greeting.role, domain)

    def recent_addresses(self, now_ms, role, nearest_domain):
        """Addresses of those of a role heard lately, those of one domain first."""
        near, far = [], []
        for address, peer in self._peers.items():
            if now_ms - peer.last_contact_ms < CONTACT_TIMEOUT_MS and peer.role == role:
                is_near = peer.failure_domain == nearest_domain
                (near if is_near else far).append(address)
        return near + far

    def forget_silent(self, now_ms):
        """Drop whom nobody heard of for long."""
        for address, peer in list(self._peers.items()):
            if now_ms - peer.last_contact_ms > 10 * CONTACT_TIMEOUT_MS:
                del self._peers[address]

    def cell_offset_ms(self, own_wall_ms, now_ms):
        """What added to the steady clock gives the cell's time: the median of all.

        Wall clocks of single VMs jump by seconds and back; the median stays right
        while fewer than half of the processes are wrong.
        """
        offsets = [own_wall_ms - now_ms, *self._offsets(now_ms)]
        return int(statistics.median_low(offsets))

    def has_enough_clocks(self, now_ms):
        """Whether enough others were heard that one wrong clock moves no median."""
        return len(self._offsets(now_ms)) >= MIN_PEER_CLOCKS

    def _offsets(self, now_ms):
        """What others' greetings gave lately."""
        return [
            peer.offset_ms
            for peer in self._peers.values()
            if now_ms - peer.last_contact_ms < CONTACT_TIMEOUT_MS
        ]
