"""Detects changes of a daemon's settings file, without needing a signal.

A process that read the file only once would look for its cell at addresses that may no
longer be in use.
"""

import os

from absl import logging

from alderreach.core import problems
from alderreach.parser import settings as settings_parser

# One stat call per second has a negligible cost.
POLL_INTERVAL_MS = 1000


class SettingsWatch:
    """Watches one settings file; to be polled by one task."""

    def __init__(self, path, role):
        self._path = path
        self._role = role
        self._next_ms = 0
        self._last_stamp = _stamp(path)

    def poll(self, now_ms):
        """Return the new settings if the file has changed and is valid, else None."""
        if now_ms < self._next_ms:
            return None
        self._next_ms = now_ms + POLL_INTERVAL_MS
        stamp = _stamp(self._path)
        if stamp == self._last_stamp or stamp is None:
            return None
        self._last_stamp = stamp
        settings, mistakes = settings_parser.load(self._path, self._role)
        for mistake in mistakes:
            logging.error(
                "changed settings are invalid and were not applied: %s",
                problems.show(mistake),
            )
        return settings


def _stamp(path):
    try:
        status = os.stat(path)
    except OSError as error:
        logging.log_every_n_seconds(
            logging.WARNING, "can't read the settings file: %s", 10, error
        )
        return None
    return (status.st_mtime_ns, status.st_size, status.st_ino)
