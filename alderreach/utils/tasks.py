"""Tasks: threads that own their state and talk by messages.

A task has one mailbox. Whatever is put there is handled in order by one thread, which
alone touches the task's state, so that state needs no lock. A caller that needs an
answer sends a ``Ticket`` along and waits on it.
"""

import os
import queue
import threading

from absl import logging

TICK_MS = 20
STOP = object()
EXIT_FAULT = 3


def end_process():
    """End the process at once: one of its tasks failed with half-changed state."""
    logging.error("a task failed; the process ends")
    logging.flush()
    os._exit(EXIT_FAULT)


class Ticket:
    """A place for one answer, filled once by the task, awaited by the asker."""

    def __init__(self):
        self._ready = threading.Event()
        self._answer = None

    def answer(self, value):
        """Give the answer; a second one is dropped."""
        if not self._ready.is_set():
            self._answer = value
            self._ready.set()

    def wait(self, timeout_ms):
        """Return the answer, or None if it does not come within ``timeout_ms``."""
        if not self._ready.wait(timeout_ms / 1000):
            return None
        return self._answer


class Task:
    """A thread that hands each message of its mailbox to ``handle``.

    ``tick`` returns in how many milliseconds it wants to be called again, or None for
    ``tick_ms``; a task that knows its next deadline sleeps until then, which is most of
    what an idle process saves. Mail may bring a nearer deadline, so after mail the next
    tick comes within ``tick_ms``. Much mail does not hold ticks back.

    An exception in either is logged and ends the process through ``on_fault``: a task
    with half-changed state must not go on deciding.
    """

    def __init__(
        self, name, handle, tick, clock, tick_ms=TICK_MS, on_fault=end_process
    ):
        self._mailbox = queue.SimpleQueue()
        self._handle = handle
        self._tick = tick
        self._clock = clock
        self._tick_ms = tick_ms
        self._on_fault = on_fault
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def start(self):
        """Start the thread and return the task."""
        self._thread.start()
        return self

    def put(self, message):
        """Add a message to the mailbox; never blocks."""
        self._mailbox.put(message)

    def close(self):
        """Let the task handle the mail it has, then end its thread."""
        self._mailbox.put(STOP)
        if self._thread is not threading.current_thread() and self._thread.ident:
            self._thread.join(timeout=5)

    def _run(self):
        try:
            self._loop()
        except Exception:
            logging.exception("task %s failed", self._thread.name)
            self._on_fault()

    def _loop(self):
        next_tick_ms = self._clock.monotonic_ms()
        while True:
            wait_ms = next_tick_ms - self._clock.monotonic_ms()
            if wait_ms <= 0:
                pause_ms = self._tick()
                wait_ms = self._tick_ms if pause_ms is None else max(pause_ms, 1)
                next_tick_ms = self._clock.monotonic_ms() + wait_ms
            try:
                message = self._mailbox.get(timeout=wait_ms / 1000)
            except queue.Empty:
                continue
            if message is STOP:
                return
            self._handle(message)
            latest_tick_ms = self._clock.monotonic_ms() + self._tick_ms
            next_tick_ms = min(next_tick_ms, latest_tick_ms)
