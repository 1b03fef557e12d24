"""A process stops on the first signal, whichever of its threads gets it."""

import signal
import subprocess
import sys

WAIT_S = 20
PROGRAM = """
import contextlib, os, signal, sys, threading
from alderreach.utils import stop_signals

with contextlib.ExitStack() as stack:
    signals = stop_signals.StopSignals(stack)

    def receive():
        print("ready", flush=True)
        sys.stdin.readline()
        signal.pthread_kill(threading.get_ident(), signal.{name})

    threading.Thread(target=receive, daemon=True).start()
    signals.wait()
    print("stopped", flush=True)
"""


def run(name):
    """Start the program; its second thread gets the named signal."""
    return subprocess.Popen(
        [sys.executable, "-c", PROGRAM.format(name=name)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )


def test_a_signal_that_another_thread_gets_stops_the_process():
    """Guards against a planned stop that begins only with the next signal. The kernel
    delivered SIGTERM to a thread other than the main one, which waited on a lock.
    """
    with run("SIGTERM") as process:
        assert process.stdout.readline() == "ready\n"
        output, _errors = process.communicate("go\n", timeout=WAIT_S)
    assert output == "stopped\n"
    assert process.returncode == 0


def test_a_hangup_does_not_stop_the_process():
    with run("SIGHUP") as process:
        assert process.stdout.readline() == "ready\n"
        process.stdin.write("go\n")
        process.stdin.flush()
        process.send_signal(signal.SIGTERM)
        assert process.stdout.readline() == "stopped\n"
        assert process.wait(WAIT_S) == 0
