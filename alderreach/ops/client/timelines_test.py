"""Tests timelines made from unordered log lines of several processes.

The lines of the three failed requests come from real logs, of days with isolated
failure domains and of a power loss of all controllers. Only the processes are renamed.
"""

import json

from alderreach.ops.client import timelines

LINES = """\
noise before any object
 1.2 core-1 {"wall_ms":1030,"mono_ms":530,"process":"c1","boot":"b","role":"controller","event":"run_placed","task":"5c0e.0.0.1","run":1,"target":"w7"}
{"wall_ms":1000,"mono_ms":9,"process":"f1","boot":"x","role":"frontend","event":"request_answered","path":"/q/5c0e","answer":"accepted","took_ms":18}
{"wall_ms":400,"mono_ms":545,"process":"c1","boot":"b","role":"controller","event":"run_ended","task":"5c0e.0.0.1","run":1,"how":"done","target":"w7"}
{"wall_ms":1001,"mono_ms":500,"process":"c1","boot":"b","role":"controller","event":"job_accepted","job":"5c0e","queue":"q"}
{"wall_ms":1002,"mono_ms":501,"process":"c1","boot":"b","role":"controller","event":"job_accepted","job":"77aa","queue":"q"}
{"wall_ms":1002,"mono_ms":501,"pro
"""  # noqa: E501

TIMELINE = """\
      0 ms    f1  request_answered  path=/q/5c0e  answer=accepted  took_ms=18
      1 ms    c1  job_accepted  job=5c0e  queue=q
     30 ms    c1  run_placed  task=5c0e.0.0.1  run=1  target=w7
     30 ms    c1  run_ended  task=5c0e.0.0.1  run=1  how=done  target=w7"""


def test_one_job_over_processes_with_a_clock_that_stepped_back():
    assert timelines.timeline_of(LINES.splitlines(), "5c0e") == TIMELINE


def test_an_unknown_id_has_no_timeline():
    assert timelines.timeline_of(LINES.splitlines(), "ffff") == ""


def log(process, start_ms, *events):
    """Make a process's lines from (milliseconds after ``start_ms``, event, fields)."""
    role = process.partition("-")[0]
    return [
        json.dumps(
            {
                "wall_ms": start_ms + after_ms,
                "mono_ms": after_ms,
                "process": process,
                "boot": "b",
                "role": role,
                "event": event,
                **fields,
            }
        )
        for after_ms, event, fields in events
    ]


def submitted(path, answer, attempts, took_ms, may_have_acted=True):
    return "request_answered", {
        "request": "SubmitJob",
        "path": path,
        "answer": answer,
        "may_have_acted": may_have_acted,
        "attempts": attempts,
        "took_ms": took_ms,
    }


def test_a_request_rejected_by_an_isolated_frontend(snapshot):
    """A frontend in an isolated failure domain rejects a job at once, and its caller
    retries at another frontend. The context must show the cause: the frontend lost
    contact with the leader before.
    """
    path = "/q/5a43bb65d308eb91"
    lines = [
        *log(
            "frontend-1",
            1_781_309_256_000,
            (1_603, "contact_changed", {"contact": "isolated", "was": "leader"}),
            (1_626, *submitted(path, "none", 0, 0, may_have_acted=False)),
            (1_700, *submitted("/q/77aa", "none", 0, 0, may_have_acted=False)),
        ),
        *log(
            "frontend-2",
            1_781_309_258_000,
            (743, *submitted(path, "accepted", 1, 11)),
        ),
        *log(
            "controller-1",
            1_781_309_258_000,
            (733, "job_accepted", {"job": "5a43bb65d308eb91", "tasks": 3}),
        ),
    ]
    assert timelines.timeline_of(lines, "5a43bb65d308eb91") == snapshot


def test_a_job_delayed_by_an_isolated_worker(snapshot):
    """A task runs on a worker that becomes isolated, and restarts only after the lease
    has expired.
    """
    task = "0a9bc2806a8f6b7d.0.0.0"
    worker = {"target": "i-3fda08ff75"}
    lines = log(
        "controller-2",
        1_788_121_052_000,
        (3_923, "run_placed", {"task": task, "run": 1, **worker, "waited_ms": 884}),
        (
            5_000,
            "worker_unresponsive",
            {"target": "i-0000000000", "outcome": "unknown"},
        ),
        (5_464, "worker_unresponsive", {**worker, "outcome": "unknown"}),
        (9_442, "lease_expired", {**worker, "runs": 7}),
        (9_442, "run_ended", {"task": task, "run": 1, "how": "lapsed", **worker}),
        (
            10_402,
            "run_placed",
            {"task": task, "run": 2, "target": "i-dbc9d13568", "waited_ms": 959},
        ),
    )
    assert timelines.timeline_of(lines, "0a9bc2806a8f6b7d") == snapshot


def test_a_request_retried_until_a_takeover(snapshot):
    """Controllers restart after a power loss while a caller waits. Its frontend makes
    six attempts until there is a leader, which accepts the job.
    """
    path = "/q/51423bfaa5f7b920"
    lines = [
        *log(
            "controller-3",
            1_788_121_067_000,
            (716, "process_started", {"detail": "controller"}),
            (1_075, "leadership_gained", {"epoch": 3}),
            (1_084, "job_accepted", {"job": "51423bfaa5f7b920", "tasks": 2}),
        ),
        *log(
            "frontend-3",
            1_788_121_068_000,
            (155, *submitted(path, "accepted", 6, 198)),
        ),
    ]
    assert timelines.timeline_of(lines, "51423bfaa5f7b920") == snapshot
