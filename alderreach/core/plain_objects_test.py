"""Tests for converting records to objects and back, and for the mistakes reported."""

from alderreach.core import plain_objects
from alderreach.core.generated import common

TEAM = common.Team("a", common.Resources(1, 2, 0), 1, "waiting")


def test_round_trip():
    item = common.Item("team/a", 3, None)
    window = common.MaintenanceWindow("w", "d", ["v1"], [], 1, 2)
    for record in (TEAM, window):
        value = plain_objects.to_object(record)
        assert plain_objects.from_object(type(record), value) == (record, [])
    assert plain_objects.to_object([item, {"team": TEAM}])[1]["team"]["quota"] == {
        "cpu_millis": 1,
        "memory_mb": 2,
        "accelerators": 0,
    }


def test_every_mistake_is_reported_with_its_path():
    value = plain_objects.to_object(TEAM) | {"weight": True, "colour": 1}
    value["quota"] = {"cpu_millis": "1", "memory_mb": 2}
    record, mistakes = plain_objects.from_object(common.Team, value)
    assert record is None
    assert mistakes == [
        ("colour", "is no known field"),
        ("quota.cpu_millis", "must be a whole number"),
        ("quota.accelerators", "is missing"),
        ("weight", "must be a whole number"),
    ]
    window = {"window_id": "w", "vms": ["v", 3], "racks": "r"}
    _, mistakes = plain_objects.from_object(common.MaintenanceWindow, window)
    assert ("vms", "must be a list of texts") in mistakes
    assert plain_objects.from_object(common.Team, 3) == (
        None,
        [("", "must be an object")],
    )


def test_a_number_outside_64_bits_is_reported():
    """Guards against an accepted window whose times can't be encoded."""
    window = common.MaintenanceWindow("w", "d", ["v1"], [], 2**127, 2**127 + 1)
    value = plain_objects.to_object(window)
    _, mistakes = plain_objects.from_object(common.MaintenanceWindow, value)
    assert [path for path, _message in mistakes] == ["start_wall_ms", "end_wall_ms"]
