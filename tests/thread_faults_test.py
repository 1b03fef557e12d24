"""What a process leaves behind when one of its threads fails."""

import subprocess
import sys

from alderreach.utils import tasks

FAILING_PROCESS = """
import logging
import time

from alderreach.ops import daemon
from alderreach.utils import clocks, event_log, tasks

events = event_log.EventLog("controller-1", "boot", "controller", clocks.SYSTEM)
logging.getLogger().handlers[:] = [daemon._LogHandler(events)]
tasks.make_thread("receive", lambda: {}["missing"]).start()
time.sleep(60)
"""


def test_a_process_that_a_failed_thread_ends_writes_the_reason():
    """Guards against an exit whose reason is lost with the queue of the log."""
    ended = subprocess.run(
        [sys.executable, "-c", FAILING_PROCESS], capture_output=True, timeout=60
    )
    assert ended.returncode == tasks.EXIT_FAULT
    assert b"thread receive failed" in ended.stdout
    assert b"KeyError" in ended.stdout
