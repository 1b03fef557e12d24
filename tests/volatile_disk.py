"""Files of simulated processes that lose what was not synced when power fails.

While the model is ``installed``, ``os.fsync`` is replaced: it records the content of
the file, or the names in the folder, as durable, and may raise PowerFailure first.
"""

import contextlib
import os
import pathlib
import stat
from unittest import mock


class PowerFailure(Exception):
    """Raised in the middle of a write when power fails."""


class VolatileDisk:
    """The durable content of all folders; ``rng`` decides what else survives."""

    def __init__(self, rng):
        self._rng = rng
        self._contents = {}
        self._names = {}
        # Open descriptors, so that no inode number is used again.
        self._descriptors = []
        # Power fails at this sync from now on; None for never.
        self.syncs_left = None

    @contextlib.contextmanager
    def installed(self):
        """Replace ``os.fsync``."""
        with mock.patch.object(os, "fsync", self._fsync):
            try:
                yield self
            finally:
                for descriptor in self._descriptors:
                    os.close(descriptor)

    def lose_unsynced(self, folder):
        """Leave in a folder what may be there after a power failure.

        Renames since the folder was synced survive together or not at all. Of the bytes
        that were appended since a file was synced any first part survives.
        """
        folder = pathlib.Path(folder)
        present = _names(folder)
        names = self._names.get(folder.resolve(), {})
        if self._rng.random() < 0.5:
            names = present
        contents = {
            name: self._surviving(inode, folder / name, present.get(name))
            for name, inode in names.items()
        }
        for path in folder.iterdir():
            path.unlink()
        for name, content in contents.items():
            (folder / name).write_bytes(content)
            self._record(folder / name, content)
        self._names[folder.resolve()] = _names(folder)

    def _surviving(self, inode, path, present_inode):
        synced = self._contents.get(inode, b"")
        if inode != present_inode:
            return synced
        content = path.read_bytes()
        if not content.startswith(synced):
            return self._rng.choice([synced, content])
        extra = len(content) - len(synced)
        return content[: len(synced) + self._rng.randint(0, extra)]

    def _record(self, path, content):
        descriptor = os.open(path, os.O_RDONLY)
        self._keep(descriptor)
        self._contents[os.fstat(descriptor).st_ino] = content

    def _keep(self, descriptor):
        self._descriptors.append(descriptor)

    def _fsync(self, descriptor):
        if self.syncs_left is not None:
            self.syncs_left -= 1
            if self.syncs_left < 0:
                raise PowerFailure
        status = os.fstat(descriptor)
        path = pathlib.Path(f"/proc/self/fd/{descriptor}").resolve()
        if stat.S_ISDIR(status.st_mode):
            self._names[path] = _names(path)
            return
        if status.st_ino not in self._contents:
            self._keep(os.dup(descriptor))
        with open(f"/proc/self/fd/{descriptor}", "rb") as file:
            self._contents[status.st_ino] = file.read()


def _names(folder):
    return {path.name: path.stat().st_ino for path in folder.iterdir()}
