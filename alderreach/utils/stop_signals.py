"""Waiting for the signal that asks a process to stop.

The kernel may deliver a signal to any thread, and Python runs its handler on the main
thread only. A main thread that is blocked on a lock is not woken if another thread got
the signal, so the process would go on as if nothing had been asked. The main thread
waits on a socket instead, to which the interpreter writes on whichever thread the
signal arrives.
"""

import os
import signal
import socket

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
READ_BYTES = 64


class StopSignals:
    """The stop signals of this process; made and awaited on its main thread.

    The first signal ends ``wait``, and a second one ends the process at once. SIGHUP
    announces a change of the settings file, which the settings watch detects by itself;
    its default action would end the process. ``stack`` closes the sockets.
    """

    def __init__(self, stack):
        self._is_requested = False
        self._wakeups, sender = socket.socketpair()
        stack.enter_context(self._wakeups)
        stack.enter_context(sender)
        sender.setblocking(False)
        previous = signal.set_wakeup_fd(sender.fileno(), warn_on_full_buffer=False)
        stack.callback(signal.set_wakeup_fd, previous)
        signal.signal(signal.SIGHUP, lambda _number, _frame: None)
        for number in STOP_SIGNALS:
            signal.signal(number, self._request)

    def wait(self):
        """Block until the process is asked to stop."""
        while not self._is_requested:
            self._wakeups.recv(READ_BYTES)

    def _request(self, _number, _frame):
        if self._is_requested:
            os._exit(1)
        self._is_requested = True
