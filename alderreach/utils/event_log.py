"""Structured events of one process, one JSON object a line on standard output.

Every event has the same first fields: wall and monotonic time, process, boot, role and
kind. Recording an event never blocks: events go through a bounded queue to a writer
thread. If the reader of the output stalls, or a kind exceeds its limit of events per
second, events are dropped and counted, and the counts are written as an event.
"""

import collections
import queue
import sys
import threading

import msgspec

MAX_QUEUED_EVENTS = 4000
# This is above the rate of starts in a busy cell, each of which is an event. Without a
# limit, a storm of failures would use up the processor.
MAX_EVENTS_PER_KIND_PER_S = 1200
MAX_LINES_PER_WRITE = 200
# A reader that reads nothing for this time is considered stalled.
STALL_TIMEOUT_S = 1
STOP = object()

_encode = msgspec.json.Encoder().encode


class EventLog:
    """Events of one process; ``record`` may be called from any thread."""

    def __init__(self, process, boot_id, role, clock, output=None):
        self._fixed = {"process": process, "boot": boot_id, "role": role}
        self._clock = clock
        self._output = output or sys.stdout.buffer
        self._queue = queue.SimpleQueue()
        self._second = 0
        self._counts = collections.Counter()
        self._dropped = collections.Counter()
        self._lock = threading.Lock()
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)
        self._thread.start()

    def record(self, kind, **fields):
        """Record an event; fields are plain values, names of times end in the unit."""
        now_ms = self._clock.monotonic_ms()
        event = {
            "wall_ms": self._clock.wall_ms(),
            "mono_ms": now_ms,
            **self._fixed,
            "event": kind,
            **fields,
        }
        with self._lock:
            if not self._has_budget(kind, now_ms):
                self._dropped[kind] += 1
                return
        self._queue.put(event)

    def flush(self):
        """Wait until all recorded events are written, unless the reader has stalled."""
        written = threading.Event()
        self._queue.put(written)
        written.wait(timeout=STALL_TIMEOUT_S)

    def close(self):
        """Write the queued events, unless the reader has stalled."""
        self._queue.put(STOP)
        self._thread.join(timeout=STALL_TIMEOUT_S)

    def _has_budget(self, kind, now_ms):
        second = now_ms // 1000
        if second != self._second:
            self._second = second
            self._counts.clear()
            self._report_dropped()
        self._counts[kind] += 1
        return (
            self._counts[kind] <= MAX_EVENTS_PER_KIND_PER_S
            and self._queue.qsize() < MAX_QUEUED_EVENTS
        )

    def _report_dropped(self):
        if self._dropped:
            dropped = dict(self._dropped)
            self._dropped.clear()
            self._queue.put(
                {**self._fixed, "event": "events_dropped", "kinds": dropped}
            )

    def _run(self):
        event = None
        while event is not STOP:
            event = self._queue.get()
            lines = []
            while isinstance(event, dict):
                lines.append(_encode(event))
                if self._queue.empty() or len(lines) >= MAX_LINES_PER_WRITE:
                    break
                event = self._queue.get()
            if lines:
                self._write(lines)
            if isinstance(event, threading.Event):
                event.set()

    def _write(self, lines):
        try:
            self._output.write(b"\n".join(lines) + b"\n")
            self._output.flush()
        except (OSError, ValueError):
            with self._lock:
                self._dropped["unwritable"] += len(lines)
