"""Run a controller that dials others through a relay, with a faulty clock and disk.

``python -m tools.soak.faulty_controller DIALS.json HOST.json SETTINGS.toml``; the first
file maps the addresses of other controllers to those of the relay, the second one holds
a ``Host``, which the soak test replaces while the controller runs.
"""

import errno
import json
import os
import pathlib
import sys
import threading
import time
import typing

from alderreach.scripts import controller
from alderreach.utils import clocks, files, peer_links

POLL_S = 0.02
SOUND, FULL, STALLED = "sound", "full", "stalled"


class Host(typing.NamedTuple):
    """The faults of a controller's machine.

    Its wall clock is wrong by ``clock_offset_ms``. Its ``disk`` may be full, so that no
    write has room, or stalled, so that no sync returns.
    """

    clock_offset_ms: int = 0
    disk: str = SOUND


def write_host(path, host):
    """Make a machine's faults those of ``host``."""
    new = path.with_suffix(".new")
    new.write_text(json.dumps(host._asdict()))
    new.replace(path)


class _Machine:
    """The machine's present faults, read from its file again and again."""

    def __init__(self, path):
        self._path = path
        self.host = Host()
        self._read()
        threading.Thread(target=self._follow, daemon=True).start()

    def _follow(self):
        while True:
            time.sleep(POLL_S)
            self._read()

    def _read(self):
        if self._path.exists():
            self.host = Host(**json.loads(self._path.read_text()))


def _replace_clock(machine):
    system = clocks.SYSTEM
    wall_ms = lambda: system.wall_ms() + machine.host.clock_offset_ms
    clocks.SYSTEM = system._replace(wall_ms=wall_ms)


def _replace_disk(machine):
    append_all, fsync = files.append_all, os.fsync

    def append_if_room(file, data):
        if machine.host.disk == FULL:
            raise files.DiskFull(errno.ENOSPC, "no space left on device")
        append_all(file, data)

    def sync(descriptor):
        while machine.host.disk == STALLED:
            time.sleep(POLL_S)
        fsync(descriptor)

    files.append_all, os.fsync = append_if_room, sync


def replace_dials(dials):
    """Make the process dial the addresses of a relay in place of others."""
    dial = peer_links.dial
    peer_links.dial = lambda address: dial(dials.get(address, address))


def main():
    """Replace what the controller gets from its machine, and run it."""
    replace_dials(json.loads(pathlib.Path(sys.argv.pop(1)).read_text()))
    machine = _Machine(pathlib.Path(sys.argv.pop(1)))
    _replace_clock(machine)
    _replace_disk(machine)
    controller.main()


if __name__ == "__main__":
    main()
