"""A liveness report of another writer ends the controllers that receive it.

The report repeats that of a runner, but for ``sequence``, which is an integer of 128
bits. It is sent every 1.5 s, as liveness reports are, to the core machines in turn.
Programs that end are started again, as the platform does.
"""

import collections
import json
import os
import pathlib
import signal
import sys
import time

from standins import deployment

FOLDER = pathlib.Path(__file__).resolve().parent
HEARTBEAT_S = 1.5
RESTART_DELAY_S = 0.5
REPORTS = 24
# Ends by themselves on this many of the three core machines, each so often, are a
# fault of the day.
FAULT_ENDS = 3
FAULT_MACHINES = 2
OTHER_SEQUENCE = 0x5C0E7A21D94B36F87F3A91C25E0D64B8


def play(record, has_trouble):
    """Play the case; returns how the rule was broken, or an empty text."""
    with deployment.Deployment(record, runners=4) as cell:
        ends = collections.Counter()
        for number in range(REPORTS):
            if has_trouble:
                _report(cell, record, cell.controls[number % len(cell.controls)])
            time.sleep(RESTART_DELAY_S)
            ends.update(list(cell.restart_ended()))
            time.sleep(HEARTBEAT_S - RESTART_DELAY_S)
        record.write(f"ends of programs by themselves: {dict(ends)}")
        often = [name for name, count in ends.items() if count >= FAULT_ENDS]
        if len(often) >= FAULT_MACHINES:
            return f"Fault: {sorted(often)} ended by themselves: {dict(ends)}"
        return ""


def _report(cell, record, control):
    """Send the other writer's report."""
    runner = cell.runners[0]
    (born_ms,) = [e["born"] for e in runner.events if e["event"] == "up"]
    report = {
        "service": deployment.SERVICE,
        "address": f"{runner.host}:{deployment.RUNNER_PORT}",
        "zone": "zone-1",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_remaining_ms": 0,
        "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
        "labels": ["a", "r1-0"],
        "clock_ms": int(time.time() * 1000) - born_ms,
        "born": born_ms,
        "sequence": OTHER_SEQUENCE,
    }
    path = f"/-/instances/{runner.name}"
    answer = deployment.request(control, "PUT", path, json.dumps(report), {}, 1.0)
    record.write(f"other writer: PUT {path} at {control} {json.dumps(report)}")
    record.write(f"other writer: answered {answer}")


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    deployment.main(play, FOLDER / "record.txt", os.environ.get("TROUBLE", "1") != "0")
