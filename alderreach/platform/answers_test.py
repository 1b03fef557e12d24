"""Tests the replies to callers for what is known of their requests."""

import pytest

from alderreach.ops import leader_calls
from alderreach.ops.controller import requests
from alderreach.platform import answers


def status_of(kind, had_unclear_attempt, is_change=True):
    answer = requests.answer(kind)
    outcome = leader_calls.Outcome(answer, True, had_unclear_attempt)
    return answers.reply_for_outcome(outcome, is_change).status


@pytest.mark.parametrize(
    ("kind", "status"),
    [
        (requests.UNKNOWN_KEY, 401),
        (requests.OTHER_CUSTOMER, 403),
        (requests.NO_QUEUE, 404),
        (requests.OVERLOADED, 429),
    ],
)
def test_a_refusal_is_passed_on_only_if_no_attempt_may_have_been_accepted(kind, status):
    """Guards against a refusal of a job that runs. A first attempt was accepted and its
    answer lost; the second one came after the key or the queue was taken away, or to a
    cell that was full by then.
    """
    assert status_of(kind, had_unclear_attempt=False) == status
    assert status_of(kind, had_unclear_attempt=True) == 504
    assert status_of(kind, had_unclear_attempt=True, is_change=False) == status


def test_an_acceptance_is_passed_on_after_an_unclear_attempt():
    assert status_of(requests.ACCEPTED, had_unclear_attempt=True) == 200


def test_a_refused_key_names_the_scheme():
    started = []
    answers.respond(answers.Reply(401), lambda *parts: started.append(parts))
    [(status, headers)] = started
    assert status == "401 Unauthorized"
    assert ("WWW-Authenticate", "Token") in headers


def test_a_refusal_for_load_says_when_to_come_back_in_whole_seconds_not_before():
    refusal = requests.answer(requests.OVERLOADED, retry_after_ms=6001)
    outcome = leader_calls.Outcome(refusal, True, False)
    started = []
    reply = answers.reply_for_outcome(outcome, is_change=True)
    answers.respond(reply, lambda *parts: started.append(parts))
    [(status, headers)] = started
    assert status == "429 Too Many Requests"
    assert ("Retry-After", "7") in headers
