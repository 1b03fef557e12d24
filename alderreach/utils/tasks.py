"""Tasks: threads that own their state and communicate by messages.

A task has one mailbox. One thread handles the messages in it in order. Only this thread
accesses the task's state, so the state needs no lock. A caller that needs an answer
sends a ``Ticket`` with its message and waits for it.
"""

import os
import queue
import threading

from absl import logging

TICK_MS = 20
STOP = object()
EXIT_FAULT = 3


def end_process():
    """Exit at once: a task failed and its state may be inconsistent."""
    logging.error("a task failed; the process exits")
    logging.flush()
    os._exit(EXIT_FAULT)


def make_thread(name, run, on_fault=end_process):
    """A daemon thread that calls ``run``; ``on_fault`` follows its exception.

    A process that continued without one of its threads would look healthy and never
    again receive, send or answer.
    """

    def run_or_fail():
        try:
            run()
        except Exception:
            logging.exception("thread %s failed", name)
            on_fault()

    return threading.Thread(target=run_or_fail, name=name, daemon=True)


class Ticket:
    """A future for one answer, which the task sets once and the caller waits for."""

    def __init__(self):
        self._ready = threading.Event()
        self._answer = None

    def answer(self, value):
        """Set the answer; a second one is ignored."""
        if not self._ready.is_set():
            self._answer = value
            self._ready.set()

    def wait(self, timeout_ms):
        """Return the answer, or None if there is none within ``timeout_ms``."""
        if not self._ready.wait(timeout_ms / 1000):
            return None
        return self._answer


class Task:
    """A thread that calls ``handle`` with each message of its mailbox.

    ``tick`` returns the milliseconds until its next call, or None for ``tick_ms``. A
    task that knows its next deadline sleeps until then, which saves most of the work of
    an idle process. A message may set an earlier deadline, so the next tick comes
    within ``tick_ms`` after a message. Many messages do not delay ticks.

    An exception in either is logged, and ``on_fault`` ends the process: a task whose
    state may be inconsistent must not make further decisions.
    """

    def __init__(
        self, name, handle, tick, clock, tick_ms=TICK_MS, on_fault=end_process
    ):
        self._mailbox = queue.SimpleQueue()
        self._handle = handle
        self._tick = tick
        self._clock = clock
        self._tick_ms = tick_ms
        self._thread = make_thread(name, self._loop, on_fault)

    def start(self):
        """Start the thread and return the task."""
        self._thread.start()
        return self

    def put(self, message):
        """Add a message to the mailbox; never blocks."""
        self._mailbox.put(message)

    def close(self):
        """Let the task handle the queued messages, then end its thread."""
        self._mailbox.put(STOP)
        if self._thread is not threading.current_thread() and self._thread.ident:
            self._thread.join(timeout=5)

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
