"""Bearer tokens of operators, from a file that may change while the entry runs.

Each line is ``name token``; empty lines and lines that start with ``#`` are skipped.
The file is read again when its modification time or size changes, so that tokens are
added and revoked without a restart. If the file can't be read, no token is accepted.
"""

import hmac
import pathlib
import threading

from absl import logging

SCHEME = "bearer"


class Tokens:
    """The tokens of one file; ``operator_of`` may be called from any thread."""

    def __init__(self, path):
        self._path = pathlib.Path(path)
        self._lock = threading.Lock()
        self._stamp = None
        self._names = {}

    def operator_of(self, authorization):
        """Return the name of the operator whose token a header holds, or None.

        Every token is compared, each in constant time, so that the duration reveals
        nothing about how much of a guess was right.
        """
        scheme, _, token = authorization.partition(" ")
        if scheme.lower() != SCHEME:
            return None
        given = token.strip().encode()
        found = None
        for name, known in self._read().items():
            if hmac.compare_digest(known, given):
                found = name
        return found

    def _read(self):
        with self._lock:
            try:
                state = self._path.stat()
                stamp = (state.st_mtime_ns, state.st_size, state.st_ino)
                if stamp != self._stamp:
                    self._names = parse(self._path.read_text())
                    self._stamp = stamp
            except (OSError, UnicodeDecodeError) as error:
                logging.log_every_n_seconds(
                    logging.ERROR, "can't read the operators' tokens: %s", 60, error
                )
                self._names, self._stamp = {}, None
            return self._names


def parse(text):
    """Parse the lines of a token file into ``{name: token bytes}``."""
    names = {}
    for line in text.splitlines():
        words = line.split()
        if len(words) == 2 and not words[0].startswith("#"):
            names[words[0]] = words[1].encode()
    return names
