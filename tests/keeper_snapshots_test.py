"""Snapshots that a keeper writes while it receives one from its leader."""

import contextlib

from tests import memory_cell

SNAPSHOT_ENTRIES = 20


class SlowSnapshots(memory_cell.MemoryCell):
    """A cell in which the snapshots of ``slow`` keepers wait in ``unwritten``."""

    slow = frozenset()
    unwritten = ()
    _starting = ""

    def start(self, name):
        self._starting = name
        return super().start(name)

    def _hooks(self):
        name = self._starting

        def run(work):
            if name in self.slow:
                self.unwritten = (*self.unwritten, work)
            else:
                work()

        return super()._hooks()._replace(run_in_background=run)


def isolate(cell, name):
    """Cut all links of a keeper, in both directions."""
    others = [other for other in cell.names if other != name]
    cell.cut = {(name, other) for other in others} | {(o, name) for o in others}


def write_entries(cell, count):
    for number in range(count):
        cell.write(f"team/{number % 5}", b"1")


def test_an_own_snapshot_never_replaces_a_newer_one_from_the_leader(tmp_path):
    """Guards against a keeper that refuses its own files after its next restart."""
    cell = SlowSnapshots(tmp_path, 3, snapshot_entries=SNAPSHOT_ENTRIES)
    with contextlib.closing(cell):
        leader = cell.elect()
        follower = next(name for name in cell.names if name != leader)
        cell.slow = {follower}
        write_entries(cell, SNAPSHOT_ENTRIES)
        cell.run(500)
        assert len(cell.unwritten) == 1
        isolate(cell, follower)
        write_entries(cell, 4 * SNAPSHOT_ENTRIES)
        cell.cut = set()
        cell.run_until_stable()
        kinds = [kind for kind, _detail in cell.timelines[follower].events]
        assert "snapshot_installed" in kinds
        for work in cell.unwritten:
            work()
        cell.run(500)
        cell.crash(follower)
        assert cell.start(follower) is None
        cell.run_until_stable()
