"""Announcements are checked in full; an invalid answer counts as uncertain."""

import json

import pytest
from result import Err

from alderreach.ops import target_wire

GOOD = {
    "kind": "worker",
    "boot_id": "b1",
    "sequence": 7,
    "state": "ready",
    "vm": "v1",
    "rack": "r1",
    "failure_domain": "d",
    "address": "127.0.0.1:9000",
    "owner_epoch_seen": 3,
    "capacity": {"cpu_millis": 64000, "memory_mb": 131072, "accelerators": 0},
    "usage": {"cpu_millis": 100, "memory_mb": 200, "accelerators": 0},
    "tasks": [{"task_id": "t1", "attempt": 1, "state": "running", "reason": ""}],
}
RUNNER = {"kind": "runner", "service": "s", "slots": 8, "connections": 64}
BATCH = target_wire.Batch("w1", "127.0.0.1:9", "b1", 4, 7, ())


def parse(content):
    return target_wire.parse_announcement("w1", json.dumps(content).encode())


def test_good_announcements():
    announcement = parse(GOOD).unwrap()
    assert announcement.capacity.cpu_millis == 64000
    assert announcement.tasks[0].task_id == "t1"
    assert parse(GOOD | RUNNER).unwrap().slots == 8


@pytest.mark.parametrize(
    "wrong",
    [
        {"kind": "printer"},
        {"boot_id": ""},
        {"sequence": "7"},
        {"state": "asleep"},
        {"address": "nowhere"},
        {"capacity": {"cpu_millis": -1, "memory_mb": 1, "accelerators": 0}},
        {"tasks": [{"task_id": "t1", "attempt": 1, "state": "lost"}]},
        {"kind": "runner"},
        RUNNER | {"slots": 0},
    ],
)
def test_bad_announcements_are_refused_in_full(wrong):
    assert isinstance(parse(GOOD | wrong), Err)


@pytest.mark.parametrize("number", [2**127, 2**64, -(2**70), -1])
@pytest.mark.parametrize("field", ["sequence", "owner_epoch_seen", "slots", "tasks"])
def test_a_number_outside_its_range_is_refused_by_name(field, number):
    """Guards against a number that can't be encoded ending the placer's process."""
    task = GOOD["tasks"][0] | {"attempt": number}
    content = GOOD | {field: [task] if field == "tasks" else number}
    assert field in parse(content).err_value


def test_bytes_that_are_not_json_are_refused():
    assert isinstance(target_wire.parse_announcement("w1", b"\xff{"), Err)
    assert isinstance(target_wire.parse_announcement("", b"{}"), Err)


@pytest.mark.parametrize(
    ("status", "body", "expected"),
    [
        (200, {"boot_id": "b1", "results": []}, "answered"),
        (200, {"boot_id": "b2", "results": []}, "uncertain"),
        (200, {"results": "many"}, "uncertain"),
        (409, {"reason": "epoch", "highest_epoch": 5}, "epoch"),
        (409, {"reason": "boot", "boot_id": "b2"}, "boot"),
        (409, {"reason": "late"}, "late"),
        (409, {"reason": "mood"}, "uncertain"),
        (500, {}, "uncertain"),
    ],
)
def test_answers(status, body, expected):
    data = json.dumps(body).encode()
    assert target_wire.read_answer(BATCH, status, data).status == expected


def test_batch_to_an_unreachable_worker_is_unsent():
    client = target_wire.WorkerClient()
    assert client.send(BATCH).status == "unsent"
    client.close()
