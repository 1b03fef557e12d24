"""Files that last: written, synced, and only then relied on.

A file counts as durable once its bytes and its folder's entry are synced. A sync that
fails once may have dropped the bytes for good, while a second call would report
success; so after a failed sync the caller must treat the file as lost, not retry.
"""

import errno
import os
import pathlib


class DiskFull(OSError):
    """The disk had no room for some bytes; nothing of them is left in the file.

    Nothing was relied on yet, so the same write may be tried again.
    """


def sync_folder(folder):
    """Make names created or removed in ``folder`` durable; raises OSError."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def append_whole(file, data):
    """Write all of ``data`` at the end of an unbuffered file, or nothing of it.

    Raises DiskFull if there is no room, and OSError if the disk fails otherwise.
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
    """Put ``data`` in the place of a file, whole or not at all; raises OSError.

    A crash leaves either the old or the new content, since the rename follows the
    sync of the new file. Raises DiskFull if there is no room for both.
    """
    path = pathlib.Path(path)
    temporary = path.with_name(path.name + ".new")
    with temporary.open("wb", buffering=0) as file:
        append_whole(file, data)
        os.fsync(file.fileno())
    temporary.replace(path)
    sync_folder(path.parent)
