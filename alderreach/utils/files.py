"""Durable writes to files.

A file is durable once its bytes and its folder's entry are synced. A failed sync may
have dropped the bytes permanently, while a second call would report success. After a
failed sync the caller must therefore treat the file as lost, and must not retry.
"""

import errno
import os
import pathlib


class DiskFull(OSError):
    """The disk had no room for a write; the file contains no part of its data.

    Nothing depends on the data yet, so the same write may be retried.
    """


def sync_folder(folder):
    """Make created and removed names in ``folder`` durable; raises OSError."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def append_all(file, data):
    """Append all of ``data`` to an unbuffered file.

    If there is no room, the file keeps none of it and DiskFull is raised. Any other
    failure of the disk raises OSError.
    """
    size = file.seek(0, os.SEEK_END)
    remaining = data
    try:
        while remaining:
            remaining = remaining[file.write(remaining) :]
    except OSError as error:
        if error.errno != errno.ENOSPC:
            raise
        file.truncate(size)
        raise DiskFull(*error.args) from error


def replace_synced(path, data):
    """Replace a file's content by ``data`` atomically and durably; raises OSError.

    After a crash the file has either the old or the new content, since the new file is
    renamed only after it is synced. Raises DiskFull if there is no room for both.
    """
    path = pathlib.Path(path)
    temporary = path.with_name(path.name + ".new")
    with temporary.open("wb", buffering=0) as file:
        append_all(file, data)
        os.fsync(file.fileno())
    temporary.replace(path)
    sync_folder(path.parent)
