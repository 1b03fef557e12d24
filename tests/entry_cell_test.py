"""Entries with real keepers and placers and stand-in runners, as separate processes."""

import contextlib
import json
import signal
import threading

import pytest
import urllib3

from alderreach.core import codec
from alderreach.core.generated import common
from tests import entry_fakes, keeper_support
from tools import cell as cells
from tools.standins import history, targets

DOMAINS = ("urubici", "bom-jardim")
RUNNERS = 2
MAX_LEAVING_DELAY_MS = 2000


class Callers:
    """Calls the entries of a running cell, and reads what its runners recorded."""

    def __init__(self, running, paths):
        self.running = running
        self.paths = paths
        self.entries = running.of_role("entry")

    def post(self, plan, body, key="", **headers):
        sent = {"Alderreach-Team": "desk"}
        if key:
            sent |= {"Idempotency-Key": key, "Alderreach-Non-Idempotent": "true"}
        sent |= {name.replace("_", "-"): value for name, value in headers.items()}
        url = f"http://{plan.callers}/v1/services/closures/requests"
        http = self.running.http
        return http.request("POST", url, body=body, headers=sent, timeout=30)

    def runs(self, body):
        """Return the recorded runs of the request with this body."""
        seen = history.read(self.paths)
        runs = (event for event in seen if event["event"] == "request_run")
        return [run for run in runs if run["body"] == body]

    def is_routing(self, plan):
        try:
            return self.post(plan, b"{}").status == 200
        except urllib3.exceptions.HTTPError:
            return False


@pytest.fixture(scope="module")
def callers(tmp_path_factory):
    folder = tmp_path_factory.mktemp("cell")
    with cells.Cell(
        folder, keeper_support.FAST_SETTINGS, DOMAINS, vms=1, voters=3
    ) as running:
        running.start()
        paths = []
        for domain in DOMAINS:
            details = {"service": "closures", "team": "desk", "slots": 4}
            specs = targets.make_specs(
                running, domain, 0, RUNNERS, connections=64, work_ms=5, **details
            )
            paths.append(targets.start(running, f"targets-{domain}", specs))
        running.wait_ready([plan.name for plan in running.plans])
        client = keeper_support.Client(running)
        quota = common.Resources(4000, 4096, 0)
        team = common.Team("desk", quota, 1, "waiting")
        client.write("team/desk", codec.encode(team))
        load = entry_fakes.workload("closures", "service", deadline_ms=8000, tasks=0)
        client.write("workload/desk/closures", codec.encode(load))
        entry_callers = Callers(running, paths)
        for plan in entry_callers.entries:
            cells.wait_until(
                lambda p=plan: entry_callers.is_routing(p), f"{plan.name} routes"
            )
        yield entry_callers
        client.close()


def body_of(name, work_ms=5):
    return json.dumps({"work_ms": work_ms, "name": name})


def test_one_key_sent_to_every_entry_at_once_runs_once(callers):
    """A caller whose response is late sends its order to every entry at once."""
    body, answers = body_of("race", 200), []
    threads = [
        threading.Thread(target=lambda p=p: answers.append(callers.post(p, body, "k1")))
        for p in callers.entries * 3
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(30)
    assert {answer.status for answer in answers} == {200}
    assert len({answer.data for answer in answers}) == 1
    assert len(callers.runs(body)) == 1


def test_entry_is_killed_while_an_order_runs(callers):
    """The entry that sent an order is killed before the runner responds.

    The caller resends the order to another entry, and to the first entry once it has
    restarted. Neither knows the outcome: both must report that, and neither may send
    the order to a runner.
    """
    first, second = callers.entries
    body = body_of("killed", 1500)

    def send():
        with pytest.raises(urllib3.exceptions.HTTPError):
            callers.post(first, body, "k2")

    lost = threading.Thread(target=send)
    lost.start()
    cells.wait_until(lambda: callers.runs(body), "the order runs")
    callers.running.kill(first.name)
    try:
        lost.join(30)
        resent = callers.post(second, body, "k2", Alderreach_Deadline_Ms="500")
        assert resent.json()["kind"] == "in_progress"
        assert resent.headers["Alderreach-Outcome"] == "unknown"
    finally:
        # The tests after this one use the same cell.
        callers.running.start([first.name])
        cells.wait_until(lambda: callers.is_routing(first), "the entry routes again")
    assert callers.post(first, body, "k2").json()["kind"] == "outcome_unknown"
    assert len(callers.runs(body)) == 1


def test_without_quorum_orders_wait_and_idempotent_requests_are_answered(callers):
    """Two of three keepers stop responding because their processes are paused.

    An order can't be claimed, so it is not sent, and it is unknown whether it ran
    before. An idempotent request needs no quorum. After the pause the order runs.
    """
    body = body_of("cut")
    keepers = callers.running.of_role("keeper")[:2]
    for plan in keepers:
        callers.running.pause(plan.name)
    try:
        for plan in callers.entries:
            order = callers.post(plan, body, "k3")
            assert order.json()["kind"] == "key_unchecked"
            assert callers.post(plan, b"{}").status == 200
        assert not callers.runs(body)
    finally:
        for plan in keepers:
            callers.running.resume(plan.name)
    answer = cells.wait_until(
        lambda: _get_success(callers, body, "k3"), "the order ran"
    )
    assert answer.headers["Alderreach-Outcome"] == "ran"
    assert len(callers.runs(body)) == 1


def _get_success(callers, body, key):
    answer = callers.post(callers.entries[0], body, key)
    return answer if answer.status == 200 else None


@contextlib.contextmanager
def _running_threads(stop, calls):
    """Run each (function, argument) on a thread; on exit, set ``stop`` and join them.

    They end when the test fails too. Otherwise they would keep the test process alive.
    """
    threads = [threading.Thread(target=act, args=(each,)) for act, each in calls]
    for thread in threads:
        thread.start()
    try:
        yield
    finally:
        stop.set()
        for thread in threads:
            thread.join(30)


def test_planned_stop_of_an_entry_interrupts_no_request(callers):
    """An entry is asked to stop while callers use it, as for planned maintenance.

    The load balancer learns this from /readyz shortly afterwards and sends callers to
    the other entry. All requests sent before and in between are answered.
    """
    leaving, other = callers.entries
    failed, stop = [], threading.Event()

    def is_ready():
        try:
            url = f"http://{leaving.callers}/readyz"
            return callers.running.http.request("GET", url).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def send_requests(number):
        while not stop.is_set():
            plan = leaving if is_ready() else other
            try:
                answer = callers.post(plan, body_of(f"stop {number}", 50))
                if answer.status != 200:
                    failed.append(answer.data)
            except urllib3.exceptions.HTTPError as error:
                failed.append(repr(error))

    with _running_threads(stop, [(send_requests, number) for number in range(4)]):
        cells.wait_until(
            lambda: callers.runs(body_of("stop 0", 50)), "callers are busy"
        )
        process = callers.running.processes[leaving.name]
        process.send_signal(signal.SIGTERM)
        assert process.wait(30) == 0
    assert not failed
    callers.running.start([leaving.name])
    cells.wait_until(lambda: callers.is_routing(leaving), "the entry routes again")


def test_leaving_runner_gets_no_new_work_after_two_seconds(callers):
    """A runner announces that it is leaving while all entries send it requests."""
    runner = f"runner-{DOMAINS[0]}-1"
    address = f"127.{callers.running.octet}.101.1:9001"
    stop = threading.Event()

    def send_requests(plan):
        while not stop.is_set():
            assert callers.post(plan, body_of("leaving")).status == 200

    calls = [(send_requests, plan) for plan in callers.entries]
    with _running_threads(stop, calls):
        cells.wait_until(lambda: _last_run(callers, runner), "the runner is used")
        order = json.dumps({"mode": "leaving"})
        callers.running.http.request("POST", f"http://{address}/control", body=order)
        leaving_since_ms = cells.time.monotonic() * 1000
        cells.wait_until(
            lambda: (
                cells.time.monotonic() * 1000
                > leaving_since_ms + 1.5 * MAX_LEAVING_DELAY_MS
            ),
            "time to see what still comes",
        )
    assert _last_run(callers, runner) < leaving_since_ms + MAX_LEAVING_DELAY_MS


def _last_run(callers, runner):
    events = history.read(callers.paths)
    times = [
        event["monotonic_ms"]
        for event in events
        if event["event"] in ("request_run", "refused") and event["runner"] == runner
    ]
    return max(times, default=0)
