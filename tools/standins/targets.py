"""Run stand-in targets from a JSON file: ``python -m tools.standins.targets SPEC``.

SPEC is ``{"history": path, "targets": [spec, ...]}``. A worker's spec has kind, id,
address, vm, rack, failure_domain, placers and capacity; a runner's has service, team,
slots and connections in place of capacity. On SIGTERM all targets leave gracefully.
"""

import json
import pathlib
import signal
import sys
import threading

from tools.standins import history, runner, worker

KINDS = {"runner": runner.Runner, "worker": worker.Worker}


def make_specs(cell, failure_domain, workers, runners, **details):
    """The specs of a failure domain's targets in ``cell`` (a ``tools.cell.Cell``).

    ``details``: capacity, service, team, slots, connections, work_ms, run_ms.
    """
    number = list(dict.fromkeys(p.failure_domain for p in cell.plans)).index(
        failure_domain
    )
    placers = [plan.targets for plan in cell.of_role("placer", failure_domain)]
    specs = []
    for kind, count in (("worker", workers), ("runner", runners)):
        for place in range(count):
            host = f"127.{cell.octet}.{number + 101}.{place + 1}"
            port = 9000 if kind == "worker" else 9001
            specs.append(
                details
                | {
                    "kind": kind,
                    "id": f"{kind}-{failure_domain}-{place + 1}",
                    "address": f"{host}:{port}",
                    "vm": host,
                    "rack": f"{failure_domain}-rack-{place // 6 + 1}",
                    "failure_domain": failure_domain,
                    "placers": placers,
                }
            )
    return specs


def start(cell, name, specs):
    """Start a process of ``cell`` with these targets; returns its history's path."""
    path = cell.folder / f"{name}.json"
    history_path = cell.folder / f"{name}.history.jsonl"
    path.write_text(json.dumps({"history": str(history_path), "targets": specs}))
    cell.run(name, [sys.executable, "-m", "tools.standins.targets", str(path)])
    return history_path


def main():
    spec = json.loads(pathlib.Path(sys.argv[1]).read_text())
    log = history.History(spec["history"])
    targets = [KINDS[target["kind"]](target, log) for target in spec["targets"]]
    stopping = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stopping.set())
    signal.signal(signal.SIGINT, lambda *_: stopping.set())
    stopping.wait()
    leaving = [threading.Thread(target=target.stop) for target in targets]
    for thread in leaving:
        thread.start()
    for thread in leaving:
        thread.join(timeout=10)


if __name__ == "__main__":
    main()
