"""Tests for idempotency keys: claims, outcomes and expiry."""

from alderreach.core import key_state
from alderreach.core.generated import keeper


def intent(request="r1", digest="d"):
    return keeper.RecordIntent("a/k", "s", digest, "e1", "b1", request, 0)


def outcome(request="r1", how="ran", status=200):
    return keeper.RecordOutcome("a/k", request, how, status, "text", b"body", True)


def test_the_first_claim_wins_and_its_resend_gets_the_same_result():
    keys = key_state.Keys()
    assert key_state.claim(keys, intent("r1"), 0).state == "claimed"
    assert key_state.claim(keys, intent("r1"), 0).state == "claimed"
    loser = key_state.claim(keys, intent("r2"), 0)
    assert (loser.state, loser.request_id, loser.entry) == ("started", "r1", "e1")
    assert key_state.claim(keys, intent("r3", "other"), 0).state == "reused"


def test_a_finished_key_gives_the_recorded_answer():
    keys = key_state.Keys()
    key_state.claim(keys, intent("r1"), 0)
    assert key_state.finish(keys, outcome("r2"), 0).state == "started"
    key_state.finish(keys, outcome("r1"), 0)
    again = key_state.claim(keys, intent("r3"), 0)
    assert (again.state, again.status, again.body) == ("finished", 200, b"body")
    key_state.finish(keys, outcome("r1", "not-run"), 0)
    assert key_state.read(keys, "a/k").outcome == "ran"


def test_unknown_may_still_become_ran_and_not_run_frees_the_key():
    keys = key_state.Keys()
    key_state.claim(keys, intent("r1"), 0)
    key_state.finish(keys, outcome("r1", "unknown"), 0)
    assert key_state.finish(keys, outcome("r1"), 0).outcome == "ran"
    keys = key_state.Keys()
    key_state.claim(keys, intent("r1"), 0)
    assert key_state.finish(keys, outcome("r1", "not-run"), 0).state == "absent"
    assert key_state.claim(keys, intent("r2"), 0).state == "claimed"


def test_a_claim_that_arrives_after_it_was_abandoned_does_not_block_the_key():
    """An entry gets no answer to its claim, abandons it and answers ``not-run``.

    A delayed copy of the claim arrives later. If it claimed the key, the caller's
    resend would be answered ``unknown`` for a day.
    """
    keys = key_state.Keys()
    key_state.finish(keys, outcome("r1", "not-run"), 0)
    assert key_state.claim(keys, intent("r1"), 0).state == "absent"
    assert key_state.claim(keys, intent("r2"), 0).state == "claimed"


def test_a_key_past_its_lifetime_is_refused_not_run_again():
    """A caller resends a request after two days, long after its record was dropped."""
    keys = key_state.Keys()
    keys.lifetime_ms = 1000
    key_state.claim(keys, intent("r1"), 0)
    key_state.finish(keys, outcome("r1"), 0)
    key_state.expire(keys, 999)
    assert key_state.read(keys, "a/k").state == "finished"
    key_state.expire(keys, 1000)
    assert key_state.claim(keys, intent("r2"), 1000).state == "expired"
    assert key_state.read(keys, "a/k").state == "expired"
    assert not keys.claims
    key_state.expire(keys, 1000 + key_state.EXPIRED_LIFETIMES * 1000)
    assert not keys.expired
