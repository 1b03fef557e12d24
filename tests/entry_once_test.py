"""A non-idempotent request with a key runs at most once, and its outcome is correct."""

import threading

import pytest

from alderreach.core.generated import keeper
from tests import entry_fake_runner, entry_fakes

KEY = "Idempotency-Key"


@pytest.fixture
def cell():
    limits = "kept_answer_bytes = 100"
    with entry_fakes.FakeCell(limits=limits, runners=2) as running:
        yield running


def order(cell, key="k1", body=b"charge", **headers):
    return cell.post(
        body=body, Alderreach_Non_Idempotent="true", Idempotency_Key=key, **headers
    )


def run_count(cell):
    return sum(len(runner.requests) for runner in cell.runners)


def all_outcomes_recorded(cell):
    return cell.entry.status().detail["unrecorded"] == 0


def set_behaviour(cell, behave):
    for runner in cell.runners:
        runner.behave = behave


def test_resend_gets_the_recorded_answer(cell):
    first = order(cell)
    second = order(cell)
    assert (first.status, first.data) == (second.status, second.data)
    assert second.headers["Alderreach-Outcome"] == "ran"
    assert second.headers["Alderreach-Attempts"] == "0"
    assert run_count(cell) == 1


def test_key_is_scoped_by_team_and_bound_to_its_request(cell):
    order(cell)
    assert order(cell, body=b"another").json()["kind"] == "key_reused"
    assert order(cell, Alderreach_Team="desk").headers["Alderreach-Attempts"] == "1"
    assert run_count(cell) == 2


def test_answer_too_large_to_keep_is_reported_as_ran(cell):
    set_behaviour(cell, lambda request: entry_fake_runner.answer(request, b"x" * 101))
    assert order(cell).status == 200
    resent = order(cell)
    assert resent.json()["kind"] == "answer_not_kept"
    assert resent.headers["Alderreach-Outcome"] == "ran"
    assert run_count(cell) == 1


def test_resend_waits_for_the_first_copy(cell):
    """A caller sends a request twice without waiting, as after a lost connection.

    The second copy arrives while the first is still running. It must neither run nor
    fail, but wait and get the answer to the first.
    """
    may_answer = threading.Event()

    def slow(request):
        may_answer.wait(10)
        return entry_fake_runner.succeed(request)

    set_behaviour(cell, slow)
    answers = []
    callers = [
        threading.Thread(target=lambda: answers.append(order(cell))) for _ in range(2)
    ]
    for caller in callers:
        caller.start()
    reads = lambda: [c for c in cell.keepers.commands if isinstance(c, keeper.ReadKey)]
    entry_fakes.wait_until(reads)
    may_answer.set()
    for caller in callers:
        caller.join(10)
    assert [answer.status for answer in answers] == [200, 200]
    assert run_count(cell) == 1


def test_resend_past_its_deadline_gets_in_progress(cell):
    may_answer = threading.Event()

    def slow(request):
        may_answer.wait(10)
        return entry_fake_runner.succeed(request)

    set_behaviour(cell, slow)
    first = threading.Thread(target=order, args=(cell,))
    first.start()
    entry_fakes.wait_until(lambda: run_count(cell))
    resent = order(cell, Alderreach_Deadline_Ms="200")
    may_answer.set()
    first.join(10)
    assert resent.json()["kind"] == "in_progress"
    assert resent.headers["Alderreach-Outcome"] == "unknown"
    assert run_count(cell) == 1


@pytest.mark.parametrize("mode", ["no_quorum", "deaf", "mute"])
def test_nothing_is_sent_without_a_claim(cell, mode):
    """The quorum is unreachable, or its replies are lost, when an order arrives.

    The entry can't tell whether the key already ran through another entry, so it must
    neither send the order nor report it as not run.
    """
    cell.keepers.mode = mode
    answer = order(cell, Alderreach_Deadline_Ms="700")
    assert answer.json()["kind"] == "key_unchecked"
    assert answer.headers["Alderreach-Outcome"] == "unknown"
    assert run_count(cell) == 0


def test_resend_runs_after_an_unconfirmed_claim_was_withdrawn(cell):
    """The claim reaches the log, but its confirmation is lost.

    The entry reports the outcome as unknown without sending the order. If the claim
    stayed in the log, the caller's resend would wait for a request that is never sent.
    """
    cell.keepers.mode = "mute"
    order(cell, Alderreach_Deadline_Ms="500")
    cell.keepers.mode = "ok"
    entry_fakes.wait_until(lambda: all_outcomes_recorded(cell))
    assert order(cell).status == 200
    assert run_count(cell) == 1


def test_requests_that_need_no_quorum_are_served_without_it(cell):
    """Many orders with keys wait for a lost quorum at once.

    Each occupies a thread until it times out. A request that needs no quorum must still
    get a thread.
    """
    cell.keepers.mode = "deaf"
    callers = [
        threading.Thread(target=order, args=(cell, f"k{number}"))
        for number in range(100)
    ]
    for caller in callers:
        caller.start()
    assert cell.post().status == 200
    for caller in callers:
        caller.join(20)
    assert run_count(cell) == 1


def test_confirmed_refusal_frees_the_key(cell):
    set_behaviour(cell, entry_fake_runner.refuse)
    refused = order(cell)
    assert refused.json()["kind"] == "target_refused"
    assert refused.headers["Alderreach-Outcome"] == "not-run"
    set_behaviour(cell, entry_fake_runner.succeed)
    assert order(cell).status == 200


def test_order_refused_by_one_runner_is_run_by_another(cell):
    cell.runners[0].behave = entry_fake_runner.refuse
    for number in range(4):
        answer = order(cell, f"k{number}")
        assert answer.status == 200
    assert len(cell.runners[1].requests) == 4


def test_broken_attempt_is_unknown_and_is_never_resent(cell):
    """The runner accepts the order and crashes before it responds.

    It may have charged the customer. Sending the order to another runner could charge
    twice, and reporting it as not run would make the caller submit it again.
    """
    set_behaviour(cell, lambda request: None)
    broken = order(cell)
    assert broken.json()["kind"] == "target_failed"
    assert broken.headers["Alderreach-Outcome"] == "unknown"
    set_behaviour(cell, entry_fake_runner.succeed)
    entry_fakes.wait_until(lambda: all_outcomes_recorded(cell))
    assert order(cell).json()["kind"] == "outcome_unknown"
    assert run_count(cell) == 1


def test_order_without_runners_is_not_run_and_its_key_is_released(cell):
    """All runners are leaving when an order arrives: it is claimed but not sent."""
    views = [runner.view for runner in cell.runners]
    leaving_views = [view._replace(state="leaving") for view in views]
    cell.push_view(epoch=2, runners=leaving_views)
    entry_fakes.wait_until(lambda: order(cell).status == 503)
    assert order(cell).headers["Alderreach-Outcome"] == "not-run"
    assert not cell.keepers.keys
    cell.push_view(epoch=3)
    entry_fakes.wait_until(lambda: order(cell).status == 200)


def test_restarted_entry_does_not_run_what_its_previous_boot_claimed(cell):
    """The entry crashes after the claim, while the runner works on the order.

    The load balancer sends the caller's resend to the same VM, whose entry has
    restarted. The claim has the entry's name but not its boot id, so it must not send.
    """
    cell.keepers.keys["guides/k1"] = {
        "digest": "",
        "request_id": "lost",
        "entry": "entry-1",
        "boot": "boot-0",
        "outcome": None,
    }
    order(cell, "k2")
    cell.keepers.keys["guides/k1"]["digest"] = cell.keepers.keys["guides/k2"]["digest"]
    resent = order(cell)
    assert resent.json()["kind"] == "outcome_unknown"
    assert run_count(cell) == 1


def test_without_a_key_there_is_one_attempt(cell):
    set_behaviour(cell, entry_fake_runner.refuse)
    answer = cell.post(Alderreach_Non_Idempotent="true")
    assert answer.headers["Alderreach-Attempts"] == "1"
    assert answer.headers["Alderreach-Outcome"] == "not-run"
    assert run_count(cell) == 1
