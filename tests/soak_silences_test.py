"""Tests of the soak test's silent connections, and of the checks on answers."""

import contextlib
import json
import types

import pytest

from alderreach.utils import clocks, http_server
from tests import entry_fakes
from tools import cell, relay
from tools.soak import answers, cancels, linked_cell, operators, promises, silences


class RecordingRelay:
    """A relay that records what became silent."""

    def __init__(self, names):
        self._names = names
        self.silent = []

    def names(self):
        return self._names

    def silence(self, names, directions):
        self.silent += [(name, directions) for name in names]


def make_silences(seed):
    """Return silences of a cell with two controllers and a frontend."""
    running = types.SimpleNamespace(
        controller_links=RecordingRelay([("c1", "c2"), ("c2", "c1")]),
        frontend_links=RecordingRelay([("frontend-1", "c1"), ("c1", "frontend-1")]),
        leader=lambda: "c1",
    )
    calls = RecordingRelay(["worker-1", "worker-2", "callers-1", "permission"])
    happened = []
    silencing = silences.Silences(
        running, [calls], seed, lambda kind, text: happened.append((kind, text))
    )
    return silencing, running, calls, happened


def test_silences_concern_the_links_of_their_kind():
    """Guards against a kind of fault that is drawn and has no effect."""
    expected = {
        "controllers": {("c1", "c2"), ("c2", "c1")},
        "to_leader": {("c2", "c1")},
        "from_leader": {("c1", "c2")},
        "to_frontends": {("c1", "frontend-1")},
        "from_frontends": {("frontend-1", "c1")},
        "worker": {"worker-1", "worker-2"},
        "callers": {"callers-1"},
        "permission": {"permission"},
    }
    expected["processes"] = {
        *expected["controllers"],
        *expected["to_frontends"],
        *expected["from_frontends"],
    }
    expected["all"] = set().union(*expected.values())
    seen = {kind: set() for kind in expected}
    ways = set()
    for seed in range(200):
        silencing, running, calls, happened = make_silences(seed)
        silencing.silence()
        [(kind, text)] = happened
        assert text
        messages = running.controller_links.silent + running.frontend_links.silent
        assert {directions for _name, directions in messages} <= {(relay.OUT,)}
        assert messages + calls.silent
        seen[kind] |= {name for name, _directions in messages + calls.silent}
        ways |= {directions for _name, directions in calls.silent}
    assert seen == expected
    assert ways == {(relay.OUT,), (relay.IN,), relay.BOTH}


def test_frontends_reach_controllers_through_the_relay(tmp_path):
    """Guards against messages that pass beside the relay, where no fault hits them."""
    with linked_cell.LinkedCell(tmp_path, 3, 1) as running:
        running.start()
        links = running.frontend_links
        cell.wait_until(
            lambda: all(
                links.has_connections(name)
                for name in [("frontend-1", f"controller-{n}") for n in (1, 2, 3)]
            ),
            "the frontend is connected",
        )
        cell.wait_until(
            lambda: any(
                links.has_connections((f"controller-{n}", "frontend-1"))
                for n in (1, 2, 3)
            ),
            "a controller is connected to the frontend",
        )


def test_requests_have_until_the_bound_after_the_calm_began(monkeypatch):
    """An answer after the bound is as much a violation as none."""
    monkeypatch.setattr(answers, "PAUSE_S", 0)
    clock = clocks.FakeClock()
    checker = promises.Promises(clock.clock)
    checker.cancels.settle()
    bound_ms = cancels.STABLE_WINDOW_MS + cancels.ACK_MS

    def answer_after(wait_ms):
        until_ms = checker.time.now_ms + wait_ms

        def ask():
            clock.advance(100)
            return checker.time.now_ms >= until_ms

        return ask

    checker.cancels.disturb()
    checker.cancels.settle()
    answers._check_all(checker, {"a read": answer_after(bound_ms)})
    assert not checker.violations
    answers._check_all(checker, {"a read": answer_after(cancels.ACK_MS + 100)})
    assert checker.violations == ["a read has no answer"]


@pytest.fixture
def control():
    """A controller's address, and what it returns as its configuration."""
    held = {}
    with contextlib.ExitStack() as stack:
        address = entry_fakes.free_address()
        yield types.SimpleNamespace(
            address=address, held=held, serve=lambda: serve(stack, address, held)
        )


def serve(stack, address, held):
    """Serve the held configuration; changes are acknowledged and not taken."""

    def application(environ, start_response):
        environ["wsgi.input"].read()
        body = json.dumps(held["config"]).encode()
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return [body]

    limits = http_server.HttpLimits(4, 16384, 1 << 20, 5000)
    stack.callback(http_server.HttpServer(address, application, limits).close)


def test_a_configuration_that_is_older_or_was_not_sent_is_detected(control):
    """Guards against checks on the configuration that can't fail."""
    checker = promises.Promises()
    operator = operators.Operator(
        [control.address], lambda version: {"version": version}, checker, 1
    )
    assert not operator.change()
    assert not operator.reads_back(control.address)
    control.held["config"] = operator._sent[1]
    control.serve()
    assert operator.change()
    operator._check_read(control.address)
    assert not operator.reads_back(control.address)
    assert not checker.violations
    operator._acknowledged = [(2, 0.0)]
    operator._check_read(control.address)
    control.held["config"] = operator._sent[2]
    operator._check_read(control.address)
    assert operator.reads_back(control.address)
    assert checker.violations == [
        f"{control.address} has version 1 of the configuration, 2 was acknowledged"
    ]
    control.held["config"] = {"version": 2}
    operator._check_read(control.address)
    assert checker.violations[1:] == [
        f"{control.address} returns a configuration that was not sent"
    ]
