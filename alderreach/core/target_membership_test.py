"""Tests for targets that join, go silent, restart, leave and flap."""

import pytest

from alderreach.core import target_membership
from alderreach.core.generated import common, settings

TIMING = settings.Timing(*(rule.default for rule in settings.RULES["timing"].values()))
LAPSE_MS = TIMING.target_lease_ms + TIMING.lease_margin_ms
NOTHING = common.Resources(0, 0, 0)


def runner(sequence=1, boot_id="b1", state="ready", target_id="r1"):
    return target_membership.Announcement(
        target_id,
        "runner",
        boot_id,
        sequence,
        state,
        "v1",
        "k1",
        "d",
        "127.0.0.1:1",
        0,
        NOTHING,
        NOTHING,
        (),
        "s",
        "a",
        8,
        64,
        "",
    )


@pytest.fixture
def members():
    return target_membership.Membership(TIMING)


def states(members):
    return {view.runner_id: view.state for view in members.runners()}


def test_silent_target_becomes_suspect_then_dead(members):
    members.announce(runner(), 0)
    members.tick(TIMING.suspect_after_ms)
    assert states(members) == {"r1": "suspect"}
    members.tick(LAPSE_MS)
    assert states(members) == {}
    assert members.announce(runner(2), LAPSE_MS + 1) == "renewed"
    assert states(members) == {"r1": "ready"}


def test_reordered_announcement_is_ignored(members):
    """An announcement overtakes an older one, which still says ``ready``.

    Applying the older one would show a leaving runner as ready again.
    """
    members.announce(runner(2, state="leaving"), 0)
    assert members.announce(runner(1), 10) == "stale"
    assert states(members) == {"r1": "leaving"}


def test_new_boot_id_replaces_the_target(members):
    members.announce(runner(50), 0)
    assert members.announce(runner(1, "b2"), 10) == "restarted"
    assert members.runners()[0].boot_id == "b2"


def test_flapping_target_stays_suspect_for_a_while(members):
    """A VM restarts repeatedly; entries would send requests to it and lose them."""
    for number in range(target_membership.MAX_FLAPS + 1):
        members.announce(runner(1, f"b{number}"), number * 1000)
    assert states(members) == {"r1": "suspect"}
    later_ms = 3000 + target_membership.FLAP_DAMPING_MS
    members.announce(runner(2, f"b{target_membership.MAX_FLAPS}"), later_ms)
    assert states(members) == {"r1": "ready"}


def test_changes_since_a_sequence(members):
    for number in range(3):
        members.announce(runner(target_id=f"r{number}"), 0)
    from_sequence, changed = members.changes_since(2)
    assert (from_sequence, [view.runner_id for view in changed]) == (2, ["r2"])
    assert members.changes_since(0)[0] == 0
    members.announce(runner(2, state="gone"), 1)
    _, changed = members.changes_since(3)
    assert [(view.runner_id, view.state) for view in changed] == [("r1", "dead")]


def test_view_older_than_a_dropped_tombstone_gets_all_runners(members):
    for number in range(target_membership.MAX_TOMBSTONES + 2):
        members.announce(runner(target_id=f"r{number}"), 0)
        members.announce(runner(2, state="gone", target_id=f"r{number}"), 0)
    assert members.changes_since(1) == (0, [])
