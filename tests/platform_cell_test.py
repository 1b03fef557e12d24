"""Real controllers and a frontend, called with the protocol of the users' platform."""

import contextlib
import json
import pathlib
import socket

import pytest
import urllib3

from tools import cell, seeded_cell
from tools.standins import permissions, platform_worker

HOST = "a.example"
RULE = {"decision_ms": 10, "per_worker_ms": 0.1, "validity_ms": 2000}
ROUTE = {
    "name": "r",
    "host": HOST,
    "path_prefix": "/q/",
    "type": "non_idempotent",
    "timeout_ms": 3000,
    "target_latency_ms": 250,
    "priority": 0,
    "service": "pool",
    "max_attempts": 3,
    "stretch": 1.5,
}
CONFIG = {
    "version": 5,
    "routes": [ROUTE, ROUTE | {"name": "p", "path_prefix": "/p/", "advice": RULE}],
    "services": [{"name": "pool", "enforces_capacity": False}],
    "limits": {"max_body_bytes": 262144},
}
JOB = {
    "spec": "run",
    "steps": [
        {"count": 4, "cpu": 500, "mem_mb": 64, "estimated_ms": 200},
        {"count": 3, "cpu": 500, "mem_mb": 64, "estimated_ms": 200, "after": [0]},
    ],
}
STATE_TIMEOUT_S = 20


class Session:
    """Calls to one cell, with a list of recorded answers."""

    def __init__(self, running):
        self.running = running
        self.http = urllib3.PoolManager(retries=False, timeout=5)
        self.lines = []

    def caller(self, method, path, body=None, **headers):
        (frontend,) = self.running.of_role("frontend")
        return self._call(
            method, frontend.callers, path, body, {"Host": HOST} | headers
        )

    def control(self, method, path, body=None, number=0):
        address = self.running.of_role("controller")[number].control
        return self._call(method, address, path, body, {})

    def is_configured(self):
        """Send the configuration; returns False unless a controller accepts it."""
        try:
            return self.control("PUT", "/-/config", CONFIG)[0] == 200
        except urllib3.exceptions.HTTPError:
            return False

    def is_ready(self):
        """Return whether the frontend reports to the balancer that it is ready."""
        (frontend,) = self.running.of_role("frontend")
        try:
            path = "/-/readiness"
            return self._call("GET", frontend.balancer, path, None, {})[0] == 200
        except urllib3.exceptions.HTTPError:
            return False

    def record_answer(self, answer, what):
        """Record an answer for the comparison with the snapshot."""
        status, body = answer
        self.lines.append(f"{what}: {status} {body}")

    def _call(self, method, address, path, body, headers):
        data = body if isinstance(body, bytes | None) else json.dumps(body).encode()
        answer = self.http.request(
            method, f"http://{address}{path}", body=data, headers=headers
        )
        return answer.status, answer.data.decode()


@pytest.fixture
def session(tmp_path):
    with contextlib.ExitStack() as stack:
        running = stack.enter_context(seeded_cell.SeededCell(tmp_path / "cell"))
        running.start()
        session = Session(running)
        service = permissions.PermissionService(
            running.permission,
            permissions.Rule(**RULE),
            lambda _step, worker: int(worker[-1]) % 2 == 0,
        )
        stack.callback(service.close)
        cell.wait_until(session.is_configured, "a configuration is accepted")
        controls = [plan.control for plan in running.of_role("controller")]
        session.workers = [
            platform_worker.PlatformWorker(
                f"i-{number}", f"127.{running.octet}.8.{number}:7096", controls
            )
            for number in (1, 2)
        ]
        for worker in session.workers:
            stack.callback(worker.close)
            worker.start()
        cell.wait_until(session.is_ready, "the frontend is ready")
        yield session


@pytest.fixture(scope="module")
def one_frontend(tmp_path_factory):
    """The callers' address of a frontend whose cell has a leader."""
    folder = tmp_path_factory.mktemp("cell")
    with seeded_cell.SeededCell(folder / "cell") as running:
        running.start()
        session = Session(running)
        cell.wait_until(session.is_configured, "a configuration is accepted")
        cell.wait_until(session.is_ready, "the frontend is ready")
        yield running.of_role("frontend")[0].callers


def _wait_for_state(session, path, state):
    is_shown = lambda: session.caller("GET", path) == (200, f'{{"state":"{state}"}}')
    cell.wait_until(is_shown, f"{path} shown as {state}", STATE_TIMEOUT_S)


def test_a_session_in_the_platforms_protocol(session, snapshot):
    record_answer, caller, control = (
        session.record_answer,
        session.caller,
        session.control,
    )
    record_answer(caller("POST", "/q/5c0e", JOB), "submit")
    record_answer(caller("POST", "/q/5c0e", JOB), "submit again")
    _wait_for_state(session, "/q/5c0e", "completed")
    record_answer(caller("GET", "/q/5c0e"), "state")
    record_answer(caller("DELETE", "/q/5c0e"), "cancel a completed job")
    record_answer(caller("GET", "/q/"), "pending")
    record_answer(caller("GET", "/q/ffff"), "state of an unknown job")
    record_answer(caller("DELETE", "/q/ffff"), "cancel an unknown job")
    record_answer(caller("GET", "/none/5c0e"), "unknown queue")
    record_answer(caller("POST", "/q/5c0f", b"{not json"), "a body that is not JSON")
    record_answer(caller("POST", "/q/5c0f", {"spec": "x", "steps": []}), "no step")
    record_answer(caller("PATCH", "/q/5c0f"), "a method that is not served")
    record_answer(control("PUT", "/-/config", CONFIG, 1), "configuration again")
    record_answer(
        control("PUT", "/-/config", CONFIG | {"version": 4}, 2), "an older version"
    )
    duplicate_routes = CONFIG | {"version": 6, "routes": [ROUTE, ROUTE]}
    record_answer(
        control("PUT", "/-/config", duplicate_routes), "two routes with one path"
    )
    no_timeout = CONFIG | {"version": 6, "routes": [ROUTE | {"timeout_ms": 0}]}
    record_answer(control("PUT", "/-/config", no_timeout), "no timeout")
    record_answer(
        control("PUT", "/-/config", b'{"version": 7, "rou'), "a truncated body"
    )
    record_answer(
        control("PUT", "/-/instances/i-9", {"service": 3}), "a malformed heartbeat"
    )
    for number in range(3):
        status, body = control("GET", "/-/config", None, number)
        record_answer(
            (status, json.loads(body) == CONFIG), f"read at controller {number + 1}"
        )
    assert session.lines == snapshot


def test_steps_run_only_on_permitted_workers(session):
    """The permission service permits only workers with even numbers for this queue."""
    assert session.caller("POST", "/p/77aa", JOB)[0] == 200
    _wait_for_state(session, "/p/77aa", "completed")
    odd, even = session.workers
    assert (odd.completed_runs(), even.completed_runs()) == (0, 7)


def test_a_job_completes_after_the_leader_is_killed(session):
    """The leading controller is killed while tasks run.

    Callers continue to use the same frontend, the job is completed, and finished tasks
    do not run again.
    """
    for worker in session.workers:
        worker.worker.script = worker.worker.script._replace(work_ms=1200)
    assert session.caller("POST", "/q/5c0e", JOB)[0] == 200
    running = session.running
    leader = next(
        plan
        for plan in running.of_role("controller")
        if '"leadership_gained"' in running.log(plan.name)
    )
    running.kill(leader.name)
    _wait_for_state(session, "/q/5c0e", "completed")
    assert sum(worker.completed_runs() for worker in session.workers) == 7


def test_a_hangup_reloads_settings_and_a_graceful_stop_answers_requests(session):
    """A SIGHUP after a change of the settings file reloads it; the process continues.

    During a graceful stop the frontend still answers requests, since the balancer sends
    them until it has noticed the stop.
    """
    running = session.running
    (frontend,) = running.of_role("frontend")
    running.write_settings(frontend, found="no")
    running.processes[frontend.name].send_signal(1)
    is_reloaded = lambda: '"settings_reloaded"' in running.log(frontend.name)
    cell.wait_until(is_reloaded, "the settings are read again")
    running.processes[frontend.name].terminate()
    is_draining = lambda: '"drain_started"' in running.log(frontend.name)
    cell.wait_until(is_draining, "the stop begins")
    assert session.caller("POST", "/q/5c0e", JOB)[0] == 200
    assert running.processes[frontend.name].wait(20) == 0


def _outside_64_bits(session):
    """Calls with a number that no message can hold, and the field that each names."""
    control, caller = session.control, session.caller
    heartbeat = session.workers[0].announcement(1)
    path = f"/-/instances/{session.workers[0].name}"
    for number in (2**127, 1e300, -(2**70)):
        for field in ("sequence", "clock_ms", "born"):
            for index in range(3):
                body = heartbeat | {field: number}
                yield field, control("PUT", path, body, index)
        yield "version", control("PUT", "/-/config", CONFIG | {"version": number})
        yield (
            "count",
            caller(
                "POST",
                "/q/5c0f",
                {"spec": "", "steps": [JOB["steps"][0] | {"count": number}]},
            ),
        )
    yield "Deadline-Ms", caller("POST", "/q/5c0f", JOB, **{"Deadline-Ms": "inf"})


def test_numbers_outside_64_bits_are_rejected_by_name_and_end_no_process(session):
    """Guards against a heartbeat of another writer that ends each controller which
    passes it on, and against a closed connection or a 500 for what is never accepted.
    """
    for field, (status, body) in _outside_64_bits(session):
        assert (status, field in body) == (400, True), (field, status, body)
    assert session.caller("POST", "/q/5c0e", JOB)[0] == 200
    _wait_for_state(session, "/q/5c0e", "completed")
    for plan in session.running.of_role("controller"):
        assert session.running.processes[plan.name].poll() is None, plan.name


CHUNKED = "Transfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    ("rest", "status"),
    [
        (CHUNKED + "zz\r\nhello\r\n0\r\n\r\n", b"400"),
        (CHUNKED + "5\r\nhelloXX0\r\n\r\n", b"400"),
        (CHUNKED + "ffffffffffffffffff\r\nhello\r\n", b"413"),
        (CHUNKED + 80 * ("10000\r\n" + 65536 * "x" + "\r\n") + "0\r\n\r\n", b"413"),
        ("Content-Length: -5\r\n\r\nhello", b"400"),
        ("Content-Length: " + 30 * "9" + "\r\n\r\n", b"413"),
        ("Deadline-Ms: 1e400\r\nContent-Length: 2\r\n\r\n{}", b"400"),
    ],
)
def test_a_malformed_request_gets_an_answer(one_frontend, rest, status):
    """Guards against a connection that is closed without an answer."""
    host, _, port = one_frontend.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=5) as link:
        with contextlib.suppress(ConnectionError):
            link.sendall(f"POST /q/5c0e HTTP/1.1\r\nHost: {HOST}\r\n{rest}".encode())
        assert link.makefile("rb").readline().split()[1] == status


KEYS = ("key-of-guides-1", "key-of-guides-2", "key-of-desk")
CUSTOMERS = [
    {"name": "guides", "api_keys": list(KEYS[:2]), "weight": 4, "cap": {"cpu": 2000}},
    {"name": "desk", "api_keys": [KEYS[2]], "weight": 2},
]


def test_keys_in_the_platforms_protocol(session):
    """A key lets its customer in until it is taken away, and appears in no log."""
    guides, desk = [{"Authorization": f"Token {key}"} for key in KEYS[1:]]
    config = CONFIG | {"version": 6, "tenants": CUSTOMERS}
    body = json.dumps(config).encode()
    assert session.control("PUT", "/-/config", body)[0] == 200
    assert session.control("GET", "/-/config", number=1)[1].encode() == body
    submit = lambda job, headers: session.caller("POST", f"/q/{job}", JOB, **headers)[0]
    assert submit("5c0a", {}) == 401
    assert submit("5c0a", {"Authorization": "Token of-nobody"}) == 401
    assert submit("5c0a", {"Authorization": f"Bearer {KEYS[1]}"}) == 401
    assert submit("5c0a", guides) == 200
    assert session.caller("GET", "/q/5c0a", **desk)[0] == 403
    is_completed = lambda: "completed" in session.caller("GET", "/q/5c0a", **guides)[1]
    cell.wait_until(is_completed, "the job is completed", STATE_TIMEOUT_S)
    shared = [CUSTOMERS[0], CUSTOMERS[1] | {"api_keys": [KEYS[0]]}]
    refused = session.control("PUT", "/-/config", config | {"tenants": shared})
    assert refused[0] == 400
    one_key = [CUSTOMERS[0] | {"api_keys": [KEYS[0]]}, CUSTOMERS[1]]
    changed = config | {"version": 7, "tenants": one_key}
    assert session.control("PUT", "/-/config", changed)[0] == 200
    assert session.caller("GET", "/q/5c0a", **guides)[0] == 401
    assert "guides, desk" not in refused[1] and KEYS[0] not in refused[1]
    _check_that_keys_are_private(session.running.folder)


def test_two_keys_in_one_request_are_refused(session):
    """Guards against a proxy in front that checks another of the two headers."""
    config = CONFIG | {"version": 6, "tenants": CUSTOMERS}
    assert session.control("PUT", "/-/config", config)[0] == 200
    (frontend,) = session.running.of_role("frontend")
    host, _, port = frontend.callers.rpartition(":")
    headers = [f"Authorization: Token {key}" for key in ("of-nobody", KEYS[0])]
    head = ["GET /q/ HTTP/1.1", f"Host: {HOST}", *headers, "Connection: close", "", ""]
    with socket.create_connection((host, int(port)), timeout=5) as link:
        link.sendall("\r\n".join(head).encode())
        assert link.makefile("rb").readline().split()[1] == b"401"


def _check_that_keys_are_private(folder):
    """Check that no log names a key, and that files which do are their owner's only."""
    holders = [
        path
        for path in pathlib.Path(folder).rglob("*")
        if path.is_file() and any(key.encode() in path.read_bytes() for key in KEYS)
    ]
    assert holders
    for path in holders:
        assert path.suffix != ".log", path
        assert not path.stat().st_mode & 0o077, path
