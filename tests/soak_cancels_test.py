"""Tests of the soak test's checks on cancelled jobs."""

import collections
import contextlib
import random

import pytest
import urllib3

from alderreach.core.generated import common
from alderreach.utils import clocks, http_server
from tests import entry_fakes
from tools import relay
from tools.soak import callers, cancellers, cancels, promises
from tools.standins import cell_worker, platform_worker

Order = collections.namedtuple("Order", "task run")
BOUND_MS = cancels.CANCEL_MS + cancels.STOP_TIMEOUT_MS


@pytest.fixture
def clock():
    return clocks.FakeClock()


@pytest.fixture
def checker(clock):
    """A checker with a worker, a cancellable job, and a calm time."""
    checker = promises.Promises(clock.clock)
    worker = cell_worker.Worker(checker, "w1", common.Resources(8000, 1024, 0))
    worker.lease_until_ms = 1_000_000
    checker.workers.append(worker)
    steps = [promises.Step(2, 500, long_running=True, endless=True)]
    checker.on_job_submitted("j", steps)
    checker.cancels.settle()
    clock.advance(cancels.STABLE_WINDOW_MS)
    return checker


def start_task(checker, task="j.0.0.0", is_late=False):
    worker = checker.workers[0]
    worker.is_late = is_late
    checker.check_start(worker, Order(task, 1))
    script = cell_worker.Script(1_000_000)
    worker.running[task] = cell_worker.Running(Order(task, 1), 0, script)


def cancel(checker):
    """Cancel the job with an acknowledgement."""
    checker.cancels.on_answered(checker.cancels.on_sent("j"), True)


def violations_after(checker, clock, duration_ms):
    clock.advance(duration_ms)
    checker.check_cancels()
    return checker.violations


def test_a_run_that_outlives_its_cancelled_job_is_detected(checker, clock):
    start_task(checker)
    cancel(checker)
    assert violations_after(checker, clock, BOUND_MS) == []
    assert violations_after(checker, clock, 1) == [
        "j.0.0.0 run 1 runs on on w1 incarnation 1, 1 ms later than allowed, "
        "and its job was cancelled"
    ]
    assert len(violations_after(checker, clock, 1)) == 1


def test_a_late_order_delays_the_bound_of_its_own_run_only(checker, clock):
    cancel(checker)
    clock.advance(cancels.CANCEL_MS + 1)
    start_task(checker, "j.0.0.1", is_late=True)
    bound_ms = cancels.STABLE_WINDOW_MS + BOUND_MS
    assert violations_after(checker, clock, bound_ms) == []
    assert violations_after(checker, clock, 1)[0].startswith("j.0.0.1 run 1 runs on")
    start_task(checker)
    assert checker.violations[1].startswith("j.0.0.0 starts")


def test_a_fault_excuses_runs_until_the_time_is_calm_again(checker, clock):
    start_task(checker)
    cancel(checker)
    checker.cancels.disturb()
    checker.cancels.disturb()
    assert violations_after(checker, clock, 2 * BOUND_MS) == []
    checker.cancels.settle()
    assert violations_after(checker, clock, 2 * BOUND_MS) == []
    checker.cancels.settle()
    bound_ms = cancels.STABLE_WINDOW_MS + BOUND_MS
    assert violations_after(checker, clock, bound_ms) == []
    assert len(violations_after(checker, clock, 1)) == 1


def test_a_slow_sync_of_the_machine_disturbs_the_calm(checker, clock):
    """Guards against violations by other programs that occupy the disk."""
    start_task(checker)
    cancel(checker)
    clock.advance(BOUND_MS)
    checker.on_disk_synced(promises.SLOW_SYNC_MS)
    assert checker.cancels.calm_from_ms <= clock.now_ms
    checker.on_disk_synced(promises.SLOW_SYNC_MS + 1)
    bound_ms = cancels.STABLE_WINDOW_MS + BOUND_MS
    assert violations_after(checker, clock, bound_ms) == []
    assert len(violations_after(checker, clock, 1)) == 1


def test_a_cancellation_without_an_answer_is_detected_and_counts(checker, clock):
    start_task(checker)
    checker.cancels.on_sent("j")
    assert violations_after(checker, clock, cancels.ACK_MS) == []
    assert violations_after(checker, clock, 1) == [
        "a cancellation of j is not answered"
    ]
    assert len(violations_after(checker, clock, BOUND_MS)) == 2


def test_a_cancellation_of_an_unknown_job_stops_nothing(checker, clock):
    start_task(checker)
    checker.cancels.on_answered(checker.cancels.on_sent("j"), False)
    assert violations_after(checker, clock, cancels.ACK_MS + BOUND_MS + 1) == []


def test_an_endless_task_does_not_end_by_itself(checker):
    """Guards against checks that pass because a task that is left ends."""
    start_task(checker)
    assert not checker.may_end("j.0.0.0")
    assert checker.unfinished("j") == ["j.0.0.1"]


@pytest.mark.parametrize("kind", cancellers.KINDS)
def test_each_kind_of_cancellation_is_repeated_until_it_is_answered(checker, kind):
    answers = collections.deque([0, 503])
    sent = []

    def send(job_id, turn):
        sent.append(turn)
        return answers.popleft() if answers else 200

    calling = cancellers.Cancellers(send, checker, random.Random(1))
    submission = calling.begin("j", cancellers.Moment(kind, 0.0))
    start_task(checker)
    submission.end(True)
    calling.stop()
    assert calling.cancelled == {"j"}
    assert len(sent) == 3 + (kind in (cancellers.TWICE, cancellers.BY_TWO))
    assert checker.cancels.due_ms("j") < float("inf")


def test_a_job_without_a_clear_answer_is_cancelled_again_in_the_end(checker):
    """Guards against an endless task that nobody cancels, as its job's submission
    arrived after all cancellations.
    """
    answers = collections.deque([410, 200])
    calling = cancellers.Cancellers(
        lambda _job_id, _turn: answers.popleft(), checker, random.Random(1)
    )
    calling.begin("j", cancellers.Moment(cancellers.AT_ONCE, 0.0)).end(False)
    calling.stop()
    assert calling.cancelled == {"j"}


def test_an_accepted_job_that_is_unknown_when_it_is_cancelled_is_detected(checker):
    calling = cancellers.Cancellers(lambda _job, _turn: 410, checker, random.Random(1))
    calling.begin("j", cancellers.Moment(cancellers.AT_ONCE, 0.0)).end(True)
    calling.stop()
    assert checker.violations == ["j was accepted and is unknown when it is cancelled"]


def test_a_worker_tells_which_orders_it_carries_out_late():
    """Guards against a late order that counts as sent after the cancellation."""
    world = platform_worker.World()
    seen = []
    world.check_start = lambda worker, order: seen.append((order.task, worker.is_late))
    worker = platform_worker.PlatformWorker(
        "w1", entry_fakes.free_address(), [entry_fakes.free_address()], world=world
    )
    delays_s = iter([0.2, 0.0])
    worker.start_delay_s = lambda: next(delays_s)
    url = f"http://{worker.address}/-/run-start"
    with contextlib.closing(worker.start()):
        for task in ("j.0.0.0", "j.0.0.1"):
            body = {"task": task, "run": 1, "spec": "", "until_ms": 60_000}
            assert urllib3.request("POST", url, json=body).status == 200
    assert seen == [("j.0.0.0", True), ("j.0.0.1", False)]


class Frontends:
    """Two frontends that accept every cancellation, behind a relay."""

    def __init__(self, stack):
        self.links = relay.Relay()
        stack.callback(self.links.close)
        self.addresses = []
        limits = http_server.HttpLimits(4, 16384, 1 << 20, 5000)
        for number in (1, 2):
            listen, target = entry_fakes.free_address(), entry_fakes.free_address()
            server = http_server.HttpServer(target, self._accept, limits)
            stack.callback(server.close)
            self.links.add(f"callers-{number}", _split(listen), _split(target))
            self.addresses.append(listen)

    @staticmethod
    def _accept(_environ, start_response):
        start_response("200 OK", [("Content-Length", "2")])
        return [b"{}"]


def _split(address):
    host, _, port = address.rpartition(":")
    return host, int(port)


@pytest.fixture
def frontends():
    with contextlib.ExitStack() as stack:
        yield Frontends(stack)


def make_caller(frontends, checker):
    """Return callers with an idle connection to each frontend."""
    calling = callers.Callers(
        frontends.addresses, checker, random.Random(1), None, threads=0
    )
    for turn in range(2):
        assert calling._send_cancellation("1", turn) == 200
    return calling


def test_a_repeated_cancellation_uses_no_silent_connection(
    checker, frontends, monkeypatch
):
    """Guards against a cell that seems to leave cancellations unanswered.

    The callers' idle connections to both frontends had become silent, and a repeat
    took the next one of them, so that no frontend got a request for twice the timeout.
    """
    monkeypatch.setattr(callers, "TIMEOUT_S", 0.5)
    calling = make_caller(frontends, checker)
    frontends.links.silence(frontends.links.names())
    calling.on_silence("callers", "all callers become silent")
    assert calling._send_cancellation("1", 0) == 0
    assert calling._send_cancellation("1", 1) == 200


def test_a_request_without_an_answer_closes_only_its_own_connection(
    checker, frontends, monkeypatch
):
    """Guards against a soak that does not notice frontends that serve only new
    connections. A silence between processes leaves those of callers as they are.
    """
    monkeypatch.setattr(callers, "TIMEOUT_S", 0.5)
    calling = make_caller(frontends, checker)
    frontends.links.silence(frontends.links.names())
    calling.on_silence("controllers", "all controllers become silent")
    assert calling._send_cancellation("1", 0) == 0
    assert calling._send_cancellation("1", 1) == 0
    assert calling._send_cancellation("1", 0) == 200
