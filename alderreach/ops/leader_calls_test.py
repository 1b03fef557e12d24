"""Requests to a leader that is lost, deposed or unreachable."""

from alderreach.core import codec
from alderreach.core.generated import cell
from alderreach.ops import leader_calls
from alderreach.ops.controller import requests
from alderreach.utils import clocks

REQUEST = cell.ReadJob("h", "/q/5c0e")
TIMEOUT_MS = 5000


class Controllers:
    """Answers each attempt at once with the answer set for its address."""

    def __init__(self, answers, is_isolated=lambda: False, **options):
        self.answers = answers
        self.attempted = []
        self.events = []
        self.calls = leader_calls.LeaderCalls(
            "f1",
            lambda: list(answers),
            is_isolated,
            self.send,
            clocks.SYSTEM,
            lambda kind, **fields: self.events.append(fields),
            **options,
        )

    def send(self, address, message):
        self.attempted.append(address)
        answer = self.answers[address]
        if answer is not None:
            self.calls.deliver(answer._replace(request_id=message.request_id))

    def call(self, timeout_ms=TIMEOUT_MS, request=REQUEST):
        now_ms = clocks.SYSTEM.monotonic_ms()
        return self.calls.call(request, now_ms + timeout_ms)


def answered(text, epoch):
    answer = requests.answer(requests.STATE, text)
    return cell.CellReply("", "answered", "", epoch, codec.pack(answer))


def not_leader(leader=""):
    return cell.CellReply("", "not_leader", leader, 0, b"")


def test_a_leader_hint_of_a_controller_is_followed():
    controllers = Controllers(
        {"a": not_leader("c"), "b": None, "c": answered("running", 3)}
    )
    assert controllers.call().answer.text == "running"
    assert controllers.attempted == ["a", "c"]
    assert controllers.events[0]["attempts"] == 2


def test_an_answer_of_an_older_leadership_is_discarded():
    """A suspended leader is replaced, resumes, and answers from its older state."""
    controllers = Controllers({"a": answered("completed", 4)})
    assert controllers.call().answer.text == "completed"
    controllers.answers = {"a": answered("running", 3), "b": answered("completed", 4)}
    controllers.calls._addresses = lambda: ["a", "b"]
    assert controllers.call().answer.text == "completed"
    assert controllers.attempted[-2:] == ["a", "b"]


def test_a_request_without_a_leader_has_not_acted():
    controllers = Controllers({"a": not_leader(), "b": not_leader()})
    assert controllers.call() == leader_calls.Outcome(None, may_have_acted=False)


def test_no_answer_leaves_the_outcome_open():
    controllers = Controllers({"a": None})
    assert controllers.call(600) == leader_calls.Outcome(None, may_have_acted=True)


def test_a_call_of_an_isolated_process_ends_at_once():
    controllers = Controllers({"a": None}, is_isolated=lambda: True)
    assert controllers.call() == leader_calls.Outcome(None, may_have_acted=False)
    assert controllers.attempted == []


def test_a_late_answer_to_an_earlier_attempt_counts():
    """Guards against a request that is sent to a slow leader again and again, while
    each answer comes after the next controller was tried.
    """
    controllers = Controllers({"a": None, "b": not_leader()})
    late, send = [], controllers.calls._send

    def send_late(address, message):
        send(address, message)
        if address == "a":
            late.append(answered("running", 3)._replace(request_id=message.request_id))
        else:
            controllers.calls.deliver(late[0])

    controllers.calls._send = send_late
    outcome = controllers.call()
    assert (outcome.answer.text, outcome.had_unclear_attempt) == ("running", True)
    assert controllers.attempted[:2] == ["a", "b"]
    assert len(late) <= 2


def test_controllers_that_are_not_believed_to_lead_are_tried_shortly():
    """Guards against a call that returns to its leader only seconds later, as messages
    to or from the other controllers are lost as well.
    """
    controllers = Controllers({name: None for name in "abcd"})
    timeout_ms = 2 * leader_calls.ATTEMPT_MS + 4 * leader_calls.HINT_MS
    controllers.call(timeout_ms)
    assert controllers.attempted[:5] == ["a", "b", "c", "d", "a"]
