"""Start a complete deployment on loopback addresses, use it as users do, and stop it.

It has four failure domains with two entry VMs each, five keepers, 24 stand-in workers
and 24 stand-in runners. Every step checks its outcome; the first failure ends the demo
with a non-zero exit code. All processes are stopped, also if the demo is interrupted.
"""

import contextlib
import datetime
import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import threading
import time
import uuid

import urllib3

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from tools import cell as cells  # noqa: E402
from tools.standins import history, targets  # noqa: E402

WORKER = {"cpu_millis": 64_000, "memory_mb": 131_072, "accelerators": 0}
EXAMPLE = ROOT / "examples" / "serra-alta.toml"
TEAM = "serra-alta"
SERVICE = "route-closure"
SERVICE_URL = f"/v1/services/{SERVICE}/requests"
REQUESTS = 200
RACK_DOMAIN = "cambara"
WINDOW_LEAD_S = 8
WINDOW_LENGTH_S = 600


class DemoFailure(Exception):
    """A step of the demo failed."""


def check(condition, what):
    if not condition:
        raise DemoFailure(what)


def say(text):
    print(f"\n== {text}", flush=True)


def client(cell, *arguments, show=False, code=0):
    """Run the operators' command line tool against the cell; returns its output."""
    entries = [plan.operators for plan in cell.of_role("entry")]
    command = [sys.executable, "-m", "alderreach.scripts.client", *arguments]
    for entry in entries[:2]:
        command += ["--entry", entry]
    command += ["--token-file", str(cell.folder / "operator.token")]
    done = subprocess.run(command, capture_output=True, text=True, cwd=ROOT, timeout=60)
    if show:
        print(done.stdout, end="", flush=True)
    check(done.returncode == code, f"{arguments}: {done.stdout}{done.stderr}")
    return done.stdout


def call(http, address, body, **headers):
    """Send one request to the service; returns the response."""
    headers = {"Alderreach-Team": TEAM, "Alderreach-Deadline-Ms": "5000"} | headers
    return http.request(
        "POST", f"http://{address}{SERVICE_URL}", body=body, headers=headers
    )


def start_targets(cell):
    """Start one process of stand-ins per domain; returns their histories' paths."""
    paths = []
    for domain in cells.DOMAINS:
        specs = targets.make_specs(
            cell,
            domain,
            workers=6,
            runners=0,
            capacity=WORKER,
            slots=8,
            connections=64,
            work_ms=5,
        )
        paths.append(targets.start(cell, f"targets-{domain}", specs))
    return paths


def serve_requests(cell, http):
    """Send requests through every entry; each has to get its own answer."""
    entries = [plan.callers for plan in cell.of_role("entry")]
    for number in range(REQUESTS):
        body = json.dumps({"route": number}).encode()
        answer = call(http, entries[number % len(entries)], body)
        check(answer.status == 200, f"request {number}: {answer.status} {answer.data}")
        check(json.loads(answer.data)["echo"].encode() == body, "answer does not match")
    print(f"{REQUESTS} requests over {len(entries)} entries, each with its own answer")


def dispatch_once(cell, http, paths):
    """Send a non-idempotent request three times over two entries; it runs once."""
    key = uuid.uuid4().hex
    body = json.dumps({"dispatch": key}).encode()
    headers = {"Alderreach-Non-Idempotent": "true", "Idempotency-Key": key}
    entries = cell.of_role("entry")
    places = (entries[0], entries[0], entries[5])
    answers = [call(http, plan.callers, body, **headers) for plan in places]
    for answer in answers:
        check(answer.status == 200, f"dispatch: {answer.status} {answer.data}")
    check(len({answer.data for answer in answers}) == 1, "resends got another answer")
    events = history.read(paths)
    runs = [event for event in events if key in event.get("body", "")]
    check(len(runs) == 1, f"the dispatch ran {len(runs)} times")
    print("sent three times over two entries, ran once, one answer:")
    print(answers[0].data.decode())


def run_job(cell, http, workload, tasks, payload):
    """Submit a job to an entry and wait until it has finished."""
    entry = cell.of_role("entry")[0].callers
    order = {"team": TEAM, "workload": workload, "tasks": tasks}
    order["payload"] = json.dumps(payload)
    headers = {"Content-Type": "application/json", "Idempotency-Key": uuid.uuid4().hex}
    body = json.dumps(order).encode()
    answer = http.request("POST", f"http://{entry}/v1/jobs", body=body, headers=headers)
    check(answer.status in (200, 201, 202), f"{answer.status} {answer.data}")
    job_id = json.loads(answer.data)["job_id"]

    def ended():
        shown = http.request("GET", f"http://{entry}/v1/jobs/{job_id}")
        status = json.loads(shown.data)
        return status if status.get("state") in ("finished", "failed") else None

    status = cells.wait_until(ended, f"job {job_id} ends")
    check(status["state"] == "finished", f"job {job_id}: {status}")
    check(status["finished"] == tasks, f"job {job_id}: {status}")
    print(f"{workload}: {job_id} finished, {tasks} tasks")


def pass_maintenance(cell, http):
    """Stop a rack in its maintenance window under load; no request is lost."""
    rack = f"{RACK_DOMAIN}-rack-1"
    entries = [plan.callers for plan in cell.of_role("entry")]
    stop, failures, served = threading.Event(), [], [0]

    def keep_calling(place):
        pool = urllib3.PoolManager(retries=False, timeout=10)
        while not stop.is_set():
            answer = call(pool, entries[place], b'{"work_ms": 20}')
            served[0] += 1
            if answer.status != 200:
                failures.append((answer.status, answer.data))

    threads = [
        threading.Thread(target=keep_calling, args=(n,)) for n in range(len(entries))
    ]
    for thread in threads:
        thread.start()
    try:
        start = iso_time(time.time() + WINDOW_LEAD_S)
        end = iso_time(time.time() + WINDOW_LEAD_S + WINDOW_LENGTH_S)
        add = ["maintenance", "add", "--id", "demo-window"]
        add += ["--failure-domain", RACK_DOMAIN]
        add += ["--rack", rack, "--start", start, "--end", end]
        client(cell, *add, show=True)
        cells.wait_until(
            lambda: rack_is_ready(cell, rack), f"{rack} ready to be stopped"
        )
        targets_process = cell.processes[f"targets-{RACK_DOMAIN}"]
        targets_process.terminate()
        targets_process.wait(20)
        time.sleep(1)
    finally:
        stop.set()
        for thread in threads:
            thread.join()
    check(not failures, f"{len(failures)} requests failed, first {failures[:1]}")
    print(f"{rack} stopped; {served[0]} requests meanwhile, none failed")


def iso_time(unix_s):
    """A wall time in the format of the command line."""
    return datetime.datetime.fromtimestamp(unix_s, datetime.UTC).isoformat()


def rack_is_ready(cell, rack):
    """Whether each worker of the rack is shown as ready to be stopped."""
    rows = json.loads(client(cell, "target", "list", "--json"))["targets"]
    workers = [row for row in rows if row["rack"] == rack and row["kind"] == "worker"]
    return bool(workers) and all(": ready" in row["note"] for row in workers)


def run(cell):
    http = urllib3.PoolManager(retries=False, timeout=10)
    (cell.folder / "operator.token").write_text(cells.TOKEN + "\n")
    say("starting 21 daemons on 8 VMs in 4 failure domains")
    cell.start()
    cell.wait_ready()
    paths = start_targets(cell)
    say("applying the questionnaire of Serra Alta")
    client(cell, "questionnaire", "apply", str(EXAMPLE), "--yes", show=True)
    cells.wait_until(lambda: all_entries_route(cell, http), "every entry routes")
    say("requests")
    serve_requests(cell, http)
    say("a crew dispatch, non-idempotent")
    dispatch_once(cell, http, paths)
    say("a batch run and a gang job")
    run_job(cell, http, "closure-plan", 20, {"run_ms": 200})
    run_job(cell, http, "inspection-rota", 4, {"run_ms": 300})
    say("maintenance of a rack")
    pass_maintenance(cell, http)
    say("status")
    client(cell, "status", show=True)
    say("time line (last 25 events)")
    client(cell, "timeline", "--limit", "25", show=True)
    events = history.read(paths)
    check(
        not [e for e in events if e["event"] == "capacity_exceeded"],
        "the tasks of a VM exceeded its capacity",
    )


def all_entries_route(cell, http):
    for plan in cell.of_role("entry"):
        if call(http, plan.callers, b"{}").status != 200:
            return False
    return True


def main():
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    started = time.monotonic()
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory(prefix="alderreach-"))
        cell = stack.enter_context(cells.Cell(folder))
        try:
            run(cell)
        except (DemoFailure, TimeoutError, RuntimeError) as failure:
            print(f"demo failed: {failure}", file=sys.stderr)
            return 1
        except KeyboardInterrupt:
            print("interrupted; stopping everything", file=sys.stderr)
            return 130
    codes = {name: process.returncode for name, process in cell.processes.items()}
    wrong = {name: code for name, code in codes.items() if code != 0}
    if wrong:
        print(f"demo failed: processes did not exit cleanly: {wrong}", file=sys.stderr)
        return 1
    print(f"\ndemo passed in {time.monotonic() - started:.0f} s; all processes stopped")
    return 0


if __name__ == "__main__":
    sys.exit(main())
