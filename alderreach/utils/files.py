"""Files that last: written, synced, and only then relied on.

A file counts as durable once its bytes and its folder's entry are synced. A sync that
fails once may have dropped the bytes for good, while a second call would report
success; so after a failed sync the caller must treat the file as lost, not retry.
"""

import os
import pathlib


def sync_folder(folder):
    """Make names created or removed in ``folder`` durable; raises OSError."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace_synced(path, data):
    """Put ``data`` in the place of a file, whole or not at all; raises OSError.

    A crash leaves either the old or the new content, since the rename follows the
    sync of the new file.
    """
    path = pathlib.Path(path)
    temporary = path.with_name(path.name + ".new")
    with temporary.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(path)
    sync_folder(path.parent)
