"""All keepers of an open cell lose power, and as many disks as it tolerates.

Before that keepers are cut off, restarted and lose their disks one at a time.
"""

import collections
import contextlib
import os
import random

import pytest

from alderreach.core.generated import keeper
from alderreach.ops.keeper import service
from tests import memory_cell, volatile_disk

SEEDS = range(200) if os.environ.get("ALDERREACH_SOAK") else range(3)
STEP_MS = 10
# The next fault comes this long after the end of the last one.
GAP_MS = 6000
# How long the writing of a snapshot takes, on a thread beside the keeper's task.
SNAPSHOT_MS = (0, 30, 300, 6000)


class Extension:
    """An extension that does nothing, as terms are then as far apart as in a cell."""

    def handle(self, message):
        pass

    def deliver(self, received):
        pass

    def tick(self, now_ms):
        pass

    def before_write(self, now_ms):
        pass

    def on_applied(self, index, term):
        pass


class RecoveringCell(memory_cell.MemoryCell):
    """A cell with delays, on disks that lose what is not synced."""

    def __init__(self, folder, losses, seed, disk):
        self.disk = disk
        self.links = collections.defaultdict(collections.deque)
        # Snapshots that are being written: when that ends, the keeper, and the work.
        self.background = []
        self._starting = ""
        self.deliveries_left = None
        self.accepted = {}
        self.pending = {}
        self.log = []
        count = 2 * losses + 2
        founders = [f"k{n}" for n in range(1, 2 * losses + 2)]
        super().__init__(
            folder,
            count,
            seed,
            seeds=founders,
            losses=losses,
            snapshot_entries=random.Random(seed).choice([20, 60, 200]),
        )

    def _make_extension(self, name, context):
        return lambda port: Extension()

    def _context(self, name, folder, stack):
        context = super()._context(name, folder, stack)
        timing = context.settings.timing._replace(
            election_timeout_ms=500, leader_beat_ms=100
        )
        return context._replace(settings=context.settings._replace(timing=timing))

    def start(self, name):
        self._starting = name
        return super().start(name)

    def crash(self, name, torn=b""):
        """End a keeper, and with it the snapshot that it is writing."""
        super().crash(name, torn)
        self.background = [item for item in self.background if item[1] != name]

    def _hooks(self):
        name = self._starting

        def later(work):
            due_ms = self.time.now_ms + self.rng.choice(SNAPSHOT_MS)
            self.background.append((due_ms, name, work))

        return service.Hooks(self.rng, later, memory_cell._crash, lambda seconds: None)

    def run(self, duration_ms, until=lambda: False):
        for _step in range(duration_ms // STEP_MS):
            self.time.advance(STEP_MS)
            now_ms = self.time.now_ms
            for name in list(self.keepers):
                if now_ms // STEP_MS % 2 == 0:
                    self.tick(name)
            self._run_background(now_ms)
            self._write_something(now_ms)
            self._deliver_due(now_ms)
            if until():
                return True
        return until()

    def _run_background(self, now_ms):
        due = [work for due_ms, _name, work in self.background if due_ms <= now_ms]
        self.background = [item for item in self.background if item[0] > now_ms]
        for work in due:
            work()

    def _write_something(self, now_ms):
        leader = self.leader()
        if leader is not None and now_ms % 50 == 0:
            self.write_later(leader)

    def write_later(self, name):
        key = f"team/{self._request}"
        writes = [keeper.ItemWrite(key, 0, b"v")]
        request_id = self.send(name, keeper.WriteItems("", "a", writes, "", 0, 0))
        self.pending[request_id] = key
        return request_id

    def _deliver_due(self, now_ms):
        while True:
            while self.network:
                message = self.network.popleft()
                queue = self.links[message.sender, message.receiver]
                due_ms = now_ms + self.rng.choice([0, 0, 0, 0, 10, 20])
                if queue:
                    due_ms = max(due_ms, queue[-1][0])
                queue.append((due_ms, message))
            due = [q for q in self.links.values() if q and q[0][0] <= now_ms]
            if not due:
                return
            if self.deliveries_left is not None:
                self.deliveries_left -= 1
                if self.deliveries_left < 0:
                    raise volatile_disk.PowerFailure
            _due_ms, message = self.rng.choice(due).popleft()
            self.network.appendleft(message)
            self.deliver_one()

    def _answer(self, sender, message):
        super()._answer(sender, message)
        if isinstance(message, keeper.KeeperReply):
            key = self.pending.pop(message.request_id, None)
            result = self.answers[message.request_id]
            if key and getattr(result, "status", "") == "accepted":
                self.accepted[key] = self.time.now_ms

    def isolate(self, name):
        self.cut = {
            pair
            for other in self.names
            if other != name
            for pair in ((name, other), (other, name))
        }

    def power_off(self, names):
        for name in names:
            if name in self.keepers:
                self.crash(name)
            self.disk.lose_unsynced(self.folder / name)
        if len(names) == len(self.names):
            self.links.clear()
            self.network.clear()

    def start_checked(self, name):
        error = self.start(name)
        assert error is None, (error, self.log)


def choose(cell, rng):
    """A keeper: often the leader, else any."""
    leader = cell.leader()
    return leader if leader and rng.random() < 0.5 else rng.choice(cell.names)


def one_fault(cell, rng):
    kind = rng.choice(["cut", "cut", "disk", "disk", "restart"])
    name = choose(cell, rng)
    cell.log.append((cell.time.now_ms, kind, name))
    if kind == "cut":
        cell.isolate(name)
        cell.run(rng.randrange(4000, 6000))
        cell.cut = set()
    elif kind == "disk":
        cell.lose_disk(name)
        cell.run(rng.choice([300, 700, 2000, 3500]))
        cell.start_checked(name)
    else:
        cell.power_off([name])
        cell.run(rng.choice([300, 700, 3000]))
        cell.start_checked(name)


def final_fault(cell, rng, losses):
    """All lose power, at a random moment of whatever is going on."""
    mode = rng.choice(["after_write", "deliveries", "syncs", "repair"])
    lost_first = []
    if mode == "repair":
        lost_first = [choose(cell, rng)]
        cell.lose_disk(lost_first[0])
        cell.run(rng.choice([100, 700]))
        cell.start_checked(lost_first[0])
    try:
        if mode == "after_write":
            count = len(cell.accepted)
            cell.run(5000, lambda: len(cell.accepted) > count)
        elif mode == "syncs":
            cell.disk.syncs_left = rng.randrange(60)
            cell.run(3000)
        elif mode == "deliveries":
            cell.deliveries_left = rng.randrange(400)
            cell.run(3000)
        else:
            # The disk that was lost counts among those that the cell tolerates.
            cell.deliveries_left = rng.randrange(600)
            cell.run(3000)
    except volatile_disk.PowerFailure:
        pass
    cell.disk.syncs_left = cell.deliveries_left = None
    leader = cell.leader()
    rest = [n for n in cell.names if n not in lost_first]
    lost = list(lost_first)
    while len(lost) < losses:
        prefer = leader if leader in rest and rng.random() < 0.5 else rng.choice(rest)
        rest.remove(prefer)
        lost.append(prefer)
    cell.log.append((cell.time.now_ms, "final", mode, lost, cell.describe()))
    cell.power_off(cell.names)
    for name in lost:
        if name not in lost_first:
            cell.lose_disk(name)
    cell.run(700)
    for name in cell.names:
        cell.start_checked(name)
    return lost


def check_recovery(cell):
    def missing():
        leader = cell.leader()
        if leader is None:
            return "leader"
        instance = cell.keepers[leader]
        lacking = [k for k in cell.accepted if k not in instance._state.items]
        if lacking:
            return f"writes {lacking[:5]}"
        known = {m.identity for m in instance._node.members}
        away = [n for n in cell.names if cell.keepers[n]._node.identity not in known]
        return f"members {away}" if away else ""

    began_ms = cell.time.now_ms
    cell.run(10_000, lambda: not missing())
    assert not missing(), (missing(), cell.log, cell.describe())
    count = len(cell.accepted)
    left = 10_000 - (cell.time.now_ms - began_ms)
    assert cell.run(left, lambda: len(cell.accepted) > count), cell.log


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("losses", [1, 2])
def test_a_cell_recovers_from_a_power_failure(tmp_path, seed, losses):
    """Guards against a cell without a leader, or without acknowledged writes, once all
    have lost power and as many disks are lost as it tolerates.
    """
    rng = random.Random(seed)
    disk = volatile_disk.VolatileDisk(rng)
    with disk.installed():
        cell = RecoveringCell(tmp_path, losses, seed, disk)
        with contextlib.closing(cell):
            assert cell.run(10_000, lambda: cell.leader() is not None)
            cell.run(3000)
            for _fault in range(rng.randrange(1, 5)):
                one_fault(cell, rng)
                cell.run(GAP_MS)
            final_fault(cell, rng, losses)
            check_recovery(cell)
