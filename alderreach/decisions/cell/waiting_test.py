"""The cause for which a step waits."""

import pytest

from alderreach.decisions.cell import waiting

PLACEABLE = waiting.WaitState(
    waiting=31,
    usable=120,
    granted=12,
    permitted=12,
    with_room=9,
    denied=16,
    unasked=92,
    is_asking=False,
    is_gang=True,
)


@pytest.mark.parametrize(
    ("changes", "cause"),
    [
        ({"usable": 0, "granted": 0, "permitted": 0, "unasked": 0}, waiting.WORKERS),
        ({"is_partly_placed": True}, waiting.ITSELF),
        ({"permitted": 0}, waiting.TICKETS),
        ({"permitted": 0, "unasked": 0}, waiting.TICKETS),
        ({"is_asking": True}, waiting.ANSWER),
        ({}, waiting.QUESTION),
        ({"granted": 0, "permitted": 0}, waiting.QUESTION),
        ({"granted": 0, "permitted": 0, "unasked": 0}, waiting.PERMISSION),
        ({"unasked": 0}, waiting.ROOM),
        ({"unasked": 0, "is_asking": True}, waiting.ROOM),
        ({"is_partly_placed": True, "is_gang": False}, waiting.QUESTION),
    ],
)
def test_the_first_cause_that_applies(changes, cause):
    assert waiting.cause(PLACEABLE._replace(**changes)) == cause
