"""The events of stand-in targets, one JSON line each, for checks of complete histories.

Only one process appends to a file, and writes each line in one call, so that a killed
process leaves at most one incomplete line, which ``read`` skips.
"""

import json
import pathlib
import threading
import time


class History:
    """Appends events to a file; thread-safe."""

    def __init__(self, path):
        self._file = pathlib.Path(path).open("ab", buffering=0)
        self._lock = threading.Lock()

    def add(self, event, **details):
        line = {"event": event, "monotonic_ms": time.monotonic_ns() // 1_000_000}
        data = json.dumps(line | details).encode() + b"\n"
        with self._lock:
            self._file.write(data)


def read(paths):
    """All complete events of the files, ordered by the machine's monotonic clock."""
    events = []
    for path in paths:
        for line in pathlib.Path(path).read_bytes().split(b"\n"):
            try:
                events.append(json.loads(line))
            except ValueError:
                continue
    return sorted(events, key=lambda event: event["monotonic_ms"])
