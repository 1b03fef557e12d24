"""The time line: typed events of one process, in a bounded ring and a rotated file.

``TimelineQuery`` is answered from the ring; the files outlive the process. Files are
not synced: the time line is for people, and no guarantee depends on it.
"""

import collections
import pathlib
import threading

import msgspec

from alderreach.core.generated import common


class Timeline:
    """Events of one process; ``record`` may be called from any thread.

    >>> line = Timeline("entry-1", "b1", clock, folder, ring=10)  # doctest: +SKIP
    >>> line.record("request_answered", request_id="r7")  # doctest: +SKIP
    """

    def __init__(
        self, process, boot_id, clock, folder, ring, file_bytes=1 << 24, files=4
    ):
        self._process = process
        self._boot_id = boot_id
        self._clock = clock
        self._ring = collections.deque(maxlen=ring)
        self._folder = pathlib.Path(folder)
        self._folder.mkdir(parents=True, exist_ok=True)
        self._file_bytes = file_bytes
        self._files = files
        self._lock = threading.Lock()
        self._file = self._path(0).open("ab")

    def record(
        self,
        kind,
        epoch=0,
        request_id="",
        job_id="",
        task_id="",
        target_id="",
        team="",
        detail="",
    ):
        """Record an event; on a full disk only the copy in the file is lost."""
        event = common.Event(
            self._clock.wall_ms(),
            self._clock.monotonic_ms(),
            self._process,
            self._boot_id,
            kind,
            epoch,
            request_id,
            job_id,
            task_id,
            target_id,
            team,
            detail,
        )
        with self._lock:
            self._ring.append(event)
            self._write(event)

    def newest(self, limit):
        """Return the newest ``limit`` events, oldest first."""
        with self._lock:
            events = list(self._ring)
        return events[-limit:]

    def matching(self, query):
        """Return the newest events that match a ``TimelineQuery``, oldest first."""
        with self._lock:
            events = list(self._ring)
        return [event for event in events if matches(event, query)][-query.limit :]

    def flush(self):
        """Do nothing: each event is written when it is recorded."""

    def close(self):
        """Flush and close the file."""
        with self._lock:
            self._file.close()

    def _path(self, number):
        return self._folder / f"{self._process}.timeline.{number}.jsonl"

    def _write(self, event):
        try:
            self._file.write(msgspec.json.encode(event._asdict()) + b"\n")
            self._file.flush()
            if self._file.tell() >= self._file_bytes:
                self._rotate()
        except (OSError, ValueError):
            return

    def _rotate(self):
        self._file.close()
        for number in range(self._files - 1, 0, -1):
            older = self._path(number - 1)
            if older.exists():
                older.replace(self._path(number))
        self._file = self._path(0).open("ab")


def matches(event, query):
    """Whether an event passes every filter of a ``TimelineQuery`` that is not empty."""
    filters = (
        (query.match_request_id, event.request_id),
        (query.match_job_id, event.job_id),
        (query.match_target_id, event.target_id),
        (query.match_team, event.team),
    )
    return all(not expected or expected == value for expected, value in filters)


def merge(pages):
    """Merge events of several processes into one list by wall time.

    ``pages`` is an iterable of lists of ``common.Event``. Events of one process keep
    their order even if its wall clock stepped back: such an event is sorted as if it
    had happened right after its predecessor.
    """
    keyed = []
    for page in pages:
        latest_ms = 0
        for number, event in enumerate(page):
            latest_ms = max(latest_ms, event.wall_ms)
            keyed.append((latest_ms, event.process, event.boot_id, number, event))
    keyed.sort(key=lambda entry: entry[:4])
    return [entry[4] for entry in keyed]
