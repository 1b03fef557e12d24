"""Responses to idempotent requests when runners fail under a real entry."""

import threading

import pytest

from tests import entry_fake_runner, entry_fakes


@pytest.fixture
def cell():
    with entry_fakes.FakeCell(runners=2) as running:
        yield running


def test_idempotent_request_survives_a_broken_runner(cell):
    """One of two runners accepts requests and closes the connection each time."""
    cell.runners[0].behave = lambda request: None
    answers = [cell.post() for _ in range(6)]
    assert [answer.status for answer in answers] == [200] * 6
    attempts = [int(answer.headers["Alderreach-Attempts"]) for answer in answers]
    assert max(attempts) == 2


def test_idempotent_request_survives_a_hung_runner(cell):
    """A runner accepts a request and never responds.

    If the entry waited for it until the deadline, the caller would get no response
    although the other runner is idle.
    """
    may_end = threading.Event()
    cell.runners[0].behave = lambda request: may_end.wait(10) and None
    answers = [cell.post(Alderreach_Deadline_Ms="1000") for _ in range(3)]
    may_end.set()
    assert [answer.status for answer in answers] == [200] * 3


def test_outcome_is_unknown_if_an_attempt_broke_off(cell):
    """One runner closes the connection and the other refuses the request.

    The refusal must not hide the first attempt, which may have run.
    """
    cell.runners[0].behave = lambda request: None
    cell.runners[1].behave = entry_fake_runner.refuse
    answers = [cell.post() for _ in range(4)]
    broken = [a for a in answers if a.headers["Alderreach-Outcome"] == "unknown"]
    refused = [a for a in answers if a.headers["Alderreach-Outcome"] == "not-run"]
    assert len(broken) + len(refused) == 4
    seen = {r.headers["Alderreach-Request-Id"] for r in cell.runners[0].requests}
    assert not seen & {a.headers["Alderreach-Request-Id"] for a in refused}


def test_error_of_the_service_is_passed_on_unchanged(cell):
    for runner in cell.runners:
        runner.behave = lambda request: entry_fake_runner.answer(
            request, b"oops", "500 Internal Server Error"
        )
    answer = cell.post()
    assert (answer.status, answer.data) == (500, b"oops")
    assert answer.headers["Alderreach-Outcome"] == "ran"


def test_view_of_a_replaced_owner_is_ignored(cell):
    """An owner that was cut off does not know that it was replaced.

    Its late view lists a runner that has disappeared; using it would send work there.
    """
    cell.push_view(epoch=5, runners=[cell.runners[1].view])
    entry_fakes.wait_until(lambda: cell.entry.status().detail["runners"] == 1)
    cell.push_view(epoch=4, sequence=99, runners=[cell.runners[0].view])
    before = len(cell.runners[0].requests)
    for _ in range(5):
        assert cell.post().status == 200
    assert len(cell.runners[0].requests) == before


def test_without_runners_the_refusal_comes_at_once(cell):
    """All runners leave; waiting for the deadline of five seconds would be useless."""
    views = [runner.view._replace(state="leaving") for runner in cell.runners]
    cell.push_view(epoch=2, runners=views)
    refused = entry_fakes.wait_until(
        lambda: next((a for a in [cell.post()] if a.status == 503), None)
    )
    assert refused.json()["kind"] == "no_target"
    assert int(refused.headers["Retry-After"]) >= 1
    assert refused.headers["Alderreach-Outcome"] == "not-run"


def test_deadline_is_kept_while_all_slots_are_occupied():
    """The only slot is occupied when a caller with a deadline of 200 ms arrives."""
    with entry_fakes.FakeCell() as cell:
        may_end = threading.Event()

        def slow(request):
            may_end.wait(10)
            return entry_fake_runner.succeed(request)

        runner = cell.runners[0]
        runner.behave = slow
        runner.view = runner.view._replace(slots=1)
        cell.push_view(epoch=2)
        first = threading.Thread(target=cell.post)
        first.start()
        entry_fakes.wait_until(lambda: runner.requests)
        late = cell.post(Alderreach_Deadline_Ms="200")
        may_end.set()
        first.join(10)
        assert late.headers["Alderreach-Outcome"] == "not-run"
        assert len(runner.requests) == 1


def test_callers_beyond_the_threads_are_refused_at_once():
    """Twelve threads serve callers, and eight of them may wait for a runner.

    If all twelve could wait, the next caller would not even be refused: its connection
    would stay in the server's queue until a runner had answered another caller.
    """
    limits = "http_threads = 12\nqueue_length = 4"
    with entry_fakes.FakeCell(limits=limits) as cell:
        may_end = threading.Event()

        def slow(request):
            may_end.wait(10)
            return entry_fake_runner.succeed(request)

        runner = cell.runners[0]
        runner.behave = slow
        runner.view = runner.view._replace(slots=16)
        cell.push_view(epoch=2)
        callers = [threading.Thread(target=cell.post) for _ in range(8)]
        for caller in callers:
            caller.start()
        entry_fakes.wait_until(lambda: len(runner.requests) == 8)
        refused = cell.post()
        assert refused.json()["kind"] == "overloaded"
        assert not may_end.is_set()
        may_end.set()
        for caller in callers:
            caller.join(10)
