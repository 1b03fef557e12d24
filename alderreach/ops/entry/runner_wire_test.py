"""Only a complete answer to the same attempt is accepted; not-run is never guessed."""

import contextlib
import random
import socket

import pytest

from alderreach.decisions import serving
from alderreach.ops.entry import runner_wire
from alderreach.utils import clocks
from tests import entry_fake_runner, entry_fakes

ANSWER_BYTES = 10_000


@pytest.fixture
def stack():
    with contextlib.ExitStack() as opened:
        yield opened


def make(stack, behave=None):
    runner = entry_fake_runner.FakeRunner(stack, behave=behave)
    wire = runner_wire.RunnerWire(clocks.SYSTEM, ANSWER_BYTES)
    stack.callback(wire.close)
    return runner, wire


def send(wire, runner, attempt=2, allowed_ms=5000):
    deadline_ms = clocks.SYSTEM.monotonic_ms() + allowed_ms
    call = runner_wire.Call("r1", attempt, "text/plain", b"body", deadline_ms)
    return wire.send(runner.view, call)


@pytest.mark.parametrize("size", [0, 1, 2, 9000, ANSWER_BYTES])
def test_complete_answer_is_accepted_and_its_connection_reused(stack, size):
    body = b"x" * size
    runner, wire = make(stack, lambda request: entry_fake_runner.answer(request, body))
    for _ in range(3):
        reply = send(wire, runner)
        assert (reply.result, reply.status, reply.body) == ("answered", 200, body)
    assert runner.connections == 1


@pytest.mark.parametrize(
    "changes",
    [
        {"Alderreach_Request_Id": "r2"},
        {"Alderreach_Attempt": "1"},
        {"Alderreach_Boot_Id": "boot-0"},
        {"Content_Length": "many"},
        {"Content_Length": str(ANSWER_BYTES + 1)},
        {"Transfer_Encoding": "chunked"},
    ],
)
def test_mismatched_answer_is_rejected(stack, changes):
    """Another request, attempt or boot, or a bad, excessive or missing length."""
    runner, wire = make(
        stack, lambda request: entry_fake_runner.answer(request, b"other", **changes)
    )
    assert send(wire, runner).result == runner_wire.BROKEN
    assert send(wire, runner).result == runner_wire.BROKEN
    assert runner.connections == 2


@pytest.mark.parametrize("garbage", [b"HTTP/1.1 9000 no\r\n\r\n", b"\0\0\r\n\r\n"])
def test_garbage_is_rejected(stack, garbage):
    runner, wire = make(stack, lambda request: garbage)
    assert send(wire, runner).result == runner_wire.BROKEN


def test_truncated_answer_is_rejected(stack):
    """The runner crashes while it sends: fewer bytes than declared, then the end."""
    runner, wire = make(
        stack, lambda request: entry_fake_runner.answer(request, b"half", length=8)
    )
    runner.closes_after_answer = True
    assert send(wire, runner).result == runner_wire.BROKEN


@pytest.mark.parametrize("body", [b"", b"x", b"xyz", b"x" * 9000])
def test_answer_longer_than_declared_is_rejected(stack, body):
    """The surplus bytes would be read as the start of the next answer."""
    runner, wire = make(
        stack,
        lambda request: entry_fake_runner.answer(
            request, body + b"HTTP/1.1 200", length=len(body)
        ),
    )
    assert send(wire, runner).result == runner_wire.BROKEN


def test_refusal_is_accepted_also_from_another_boot(stack):
    runner, wire = make(stack, entry_fake_runner.refuse)
    assert send(wire, runner).result == runner_wire.REFUSED
    runner.behave = lambda request: entry_fake_runner.answer(
        request,
        b"{}",
        "503 Service Unavailable",
        Alderreach_Outcome="not-run",
        Alderreach_Boot_Id="boot-2",
    )
    assert send(wire, runner).result == runner_wire.REFUSED


def test_plain_503_of_the_service_is_an_answer(stack):
    runner, wire = make(
        stack,
        lambda request: entry_fake_runner.answer(request, b"{}", "503 Unavailable"),
    )
    assert send(wire, runner).result == runner_wire.ANSWERED


def test_failed_connection_proves_that_nothing_ran(stack):
    runner, wire = make(stack)
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{unused.getsockname()[1]}"
        runner.view = runner.view._replace(address=address)
        assert send(wire, runner).result == runner_wire.UNREACHABLE


def test_reused_connection_that_breaks_proves_nothing(stack):
    """The runner restarts between two requests, while the second one is written.

    The entry can't tell whether the runner read the request before it stopped, so
    nothing is proved, although the connection appears to have been idle all the time.
    """
    runner, wire = make(stack)
    assert send(wire, runner).result == runner_wire.ANSWERED
    runner.behave = lambda request: None
    assert send(wire, runner).result == runner_wire.BROKEN
    assert len(runner.requests) == 2


def test_connection_closed_while_idle_is_not_used(stack):
    """A runner that closes idle connections must not cause unknown outcomes."""
    runner, wire = make(stack)
    runner.closes_after_answer = True
    assert send(wire, runner).result == runner_wire.ANSWERED
    entry_fakes.wait_until(lambda: runner.closed == 1)
    assert send(wire, runner).result == runner_wire.ANSWERED


def test_silent_runner_ends_at_the_deadline(stack):
    runner, wire = make(stack, lambda request: entry_fakes.wait_until(lambda: False))
    assert send(wire, runner, allowed_ms=100).result == runner_wire.TIMED_OUT
    assert send(wire, runner, allowed_ms=0).result == runner_wire.NOT_SENT


def test_a_runner_that_was_not_called_is_not_taken_for_unreachable(stack):
    """Guards against requests that are refused or wait beside idle runners: the time of
    two requests was over before the entry called their runner, which gets no request
    for a second then.
    """
    runner, wire = make(stack)
    service = serving.Service(
        serving.EntryLocation(runner.view.failure_domain, 1, 1), 10, random.Random(1)
    )
    service.set_runners([runner.view])
    for name in ("late-1", "late-2"):
        (grant,) = service.submit(serving.Request(name, "a", 0, 0, 100), 0)
        reply = send(wire, runner, allowed_ms=0)
        ended = serving.AttemptEnded(
            name, grant.runner.runner_id, reply.result, reply.status, 0
        )
        service.on_attempt_ended(ended, 100)
    decisions = service.submit(serving.Request("in-time", "a", 0, 100, 1000), 100)
    assert [type(each) for each in decisions] == [serving.Grant]
