"""The simulated network, clocks and keepers of the simulated failure domain."""

import collections
import heapq

from alderreach.core import keeper_state, owner_leases
from alderreach.core.generated import keeper, settings
from alderreach.utils import clocks

DELAY_MS = 1
TIMING = settings.Timing(*(rule.default for rule in settings.RULES["timing"].values()))


class Network:
    """Delivers calls with a delay, drops or holds them, by (sender, receiver)."""

    def __init__(self):
        self.now_ms = 0.0
        self._queue = []
        self._count = 0
        self._state = collections.defaultdict(lambda: "passes")
        self._held = collections.defaultdict(list)

    def send(self, sender, receiver, call):
        state = self._state[sender, receiver]
        if state == "holds":
            self._held[sender, receiver].append(call)
        elif state == "passes":
            self.call_later(DELAY_MS, call)

    def call_later(self, delay_ms, call):
        self._count += 1
        heapq.heappush(self._queue, (self.now_ms + delay_ms, self._count, call))

    def set_link(self, sender, receiver, state):
        self._state[sender, receiver] = state
        if state == "passes":
            for call in self._held.pop((sender, receiver), []):
                self.call_later(DELAY_MS, call)

    def pop_held(self, sender, receiver):
        """Remove and return the calls that a link holds, for a test to run later."""
        return self._held.pop((sender, receiver), [])

    def advance(self, duration_ms):
        until_ms = self.now_ms + duration_ms
        while self._queue and self._queue[0][0] <= until_ms:
            self.now_ms, _, call = heapq.heappop(self._queue)
            call()
        self.now_ms = until_ms


def make_clock(network, rate, offset_ms=1_000_000):
    def now_ms():
        return int(offset_ms + network.now_ms * rate)

    return clocks.Clock(now_ms, lambda: now_ms() + 1_700_000_000_000)


class Keepers:
    """All keepers as one process: a quorum that each placer reaches or does not."""

    def __init__(self, network):
        self.network = network
        self.state = keeper_state.State()
        self._clock = make_clock(network, 1.0)
        self._leases = owner_leases.Leases(self._clock.monotonic_ms())
        self._index = 0

    def elect(self):
        """Elect another leader, which knows no renewals, since none is in the log."""
        self._leases = owner_leases.Leases(self._clock.monotonic_ms())

    def write(self, key, value):
        command = keeper.WriteItems(
            "", "t", [keeper.ItemWrite(key, -1, value)], "", 0, 0
        )
        assert self.ask(command).status == "accepted"

    def ask(self, command):
        if isinstance(command, keeper.ReadItems):
            items = keeper_state.items_under(self.state, command.prefix)
            return keeper.ItemsPage(self.state.version, items)
        if isinstance(command, keeper.GrantOwnership):
            owner = keeper_state.owner_of(self.state, command.failure_domain)
            now_ms = self._clock.monotonic_ms()
            if not owner_leases.may_grant(self._leases, owner, command, TIMING, now_ms):
                return keeper.GrantResult("owned", owner)
        self._index += 1
        wall_ms = self._clock.wall_ms()
        return keeper_state.apply(self.state, command, self._index, wall_ms)

    def renew(self, message):
        owner = keeper_state.owner_of(self.state, message.failure_domain)
        granted = owner_leases.may_renew(self._leases, owner, message)
        if granted and message.release:
            owner_leases.record_release(self._leases, message)
        elif granted:
            now_ms = self._clock.monotonic_ms()
            owner_leases.record_renewal(self._leases, message.failure_domain, now_ms)
        return keeper.OwnershipRenewed(
            message.request_id, granted, TIMING.owner_lease_ms, owner, "keeper-1"
        )
