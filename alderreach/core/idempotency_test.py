"""Tests for the decision on a request, given the log's record of its key."""

import pytest

from alderreach.core import idempotency
from alderreach.core.generated import errors, keeper

SEND, ANSWER, WAIT, CLAIM, REFUSE = idempotency.Step


def record(state, outcome="", body_kept=True, request_id="r1", boot="b1"):
    return keeper.KeyRecord(
        state, request_id, "entry-1", boot, outcome, 200, "", b"", body_kept
    )


@pytest.mark.parametrize(
    ("found", "step", "kind"),
    [
        (record("claimed"), SEND, None),
        (record("claimed", request_id="r2"), WAIT, None),
        (record("started"), WAIT, None),
        (record("started", boot="b0"), REFUSE, errors.Kind.OUTCOME_UNKNOWN),
        (record("finished", "ran"), ANSWER, None),
        (record("finished", "ran", False), REFUSE, errors.Kind.ANSWER_NOT_KEPT),
        (record("finished", "unknown"), REFUSE, errors.Kind.OUTCOME_UNKNOWN),
        (record("finished", "not-run"), CLAIM, None),
        (record("absent"), CLAIM, None),
        (record("reused"), REFUSE, errors.Kind.KEY_REUSED),
        (record("expired"), REFUSE, errors.Kind.KEY_EXPIRED),
    ],
)
def test_only_the_claimant_sends(found, step, kind):
    decision = idempotency.decide(found, "r1", "entry-1", "b1")
    assert decision == idempotency.Decision(step, kind)


def test_digest_tells_requests_apart():
    seen = {
        idempotency.digest("a", "t", b"x"),
        idempotency.digest("b", "t", b"x"),
        idempotency.digest("a", "u", b"x"),
        idempotency.digest("a", "t", b"y"),
    }
    assert len(seen) == 4
