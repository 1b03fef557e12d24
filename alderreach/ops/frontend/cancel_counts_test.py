"""Cancels are counted by their outcome."""

from alderreach.core import codec
from alderreach.core.generated import cell
from alderreach.ops import leader_calls, leader_calls_test
from alderreach.ops.controller import requests
from alderreach.ops.frontend import cancel_counts
from alderreach.utils import metrics

CANCEL = cell.CancelJob("h", "/q/5c0e")


def _counted(answers, request=CANCEL, timeout_ms=5000, **options):
    """Make a call; return the metrics."""
    counted = metrics.Metrics()
    count = cancel_counts.counter(counted)
    controllers = leader_calls_test.Controllers(answers, on_outcome=count, **options)
    controllers.call(timeout_ms, request)
    return counted.render().decode()


def test_a_cancel_counts_by_the_kind_of_its_answer():
    payload = codec.pack(requests.answer(requests.ACCEPTED))
    accepted = cell.CellReply("", "answered", "", 3, payload)
    text = _counted({"a": accepted})
    assert 'alderreach_cancels_total{kind="accepted"} 1.0' in text
    assert "alderreach_cancel_ms" in text
    assert "cancel_unanswered" not in text


def test_a_cancel_without_an_answer_counts_as_unclear():
    """Guards against cancels that nobody answers and nothing counts."""
    text = _counted({"a": None}, timeout_ms=500)
    assert 'alderreach_cancels_total{kind="unclear"} 1.0' in text
    assert "alderreach_cancel_unanswered_ms" in text


def test_a_cancel_of_an_isolated_process_counts_as_unsent():
    text = _counted({"a": None}, is_isolated=lambda: True)
    assert 'alderreach_cancels_total{kind="unsent"} 1.0' in text


def test_other_requests_do_not_count_as_cancels():
    text = _counted(
        {"a": leader_calls_test.answered("running", 3)}, cell.ReadJob("h", "/q/5")
    )
    assert "cancel" not in text


def test_the_outcome_of_a_refused_cancel_is_its_answer():
    answer = requests.answer(requests.NO_JOB)
    outcome = leader_calls.Outcome(answer, True, True)
    assert cancel_counts.outcome_of(outcome) == requests.NO_JOB
