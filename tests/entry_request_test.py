"""Requests and jobs pass through a real entry to fake runners and keepers."""

import json

import pytest

from tests import entry_fakes


@pytest.fixture(scope="module")
def cell():
    with entry_fakes.FakeCell() as running:
        yield running


def test_request_is_answered_completely(cell):
    answer = cell.post(body=b'{"route": "norte"}')
    assert answer.status == 200
    assert answer.data == b'{"open": true}'
    assert answer.headers["Alderreach-Outcome"] == "ran"
    assert answer.headers["Alderreach-Attempts"] == "1"
    seen = cell.runners[0].requests[-1]
    assert seen.body == b'{"route": "norte"}'
    assert (
        seen.headers["Alderreach-Request-Id"] == answer.headers["Alderreach-Request-Id"]
    )


def test_unknown_names_are_distinguished(cell):
    assert json.loads(cell.post("nothing").data)["kind"] == "unknown_service"
    assert json.loads(cell.post(team="nobody").data)["kind"] == "unknown_team"
    assert cell.call("GET", "/v1/nothing").status == 404
    assert cell.call("PUT", "/v1/jobs").status == 405


def job_keys(cell):
    return [key for key in cell.keepers.items if key.startswith("job/")]


def submit(cell, key="", **changes):
    order = {"team": "desk", "workload": "plan", "tasks": 3} | changes
    headers = {"Idempotency-Key": key} if key else {}
    return cell.call("POST", "/v1/jobs", json.dumps(order).encode(), headers)


def test_job_is_submitted_read_and_cancelled(cell):
    accepted = submit(cell)
    assert accepted.status == 201
    job_id = accepted.json()["job_id"]
    assert cell.call("GET", f"/v1/jobs/{job_id}").json()["state"] == "waiting"
    assert cell.call("DELETE", f"/v1/jobs/{job_id}").status == 202
    assert f"cancel/urubici/{job_id}" in cell.keepers.items


def test_a_resent_submission_returns_the_first_job(cell):
    before = len(job_keys(cell))
    first, second = submit(cell, "k1"), submit(cell, "k1")
    assert (first.status, second.status) == (201, 200)
    assert first.json() == second.json()
    assert submit(cell, "k1", tasks=4).json()["kind"] == "key_reused"
    assert len(job_keys(cell)) == before + 1


@pytest.mark.parametrize(
    ("changes", "kind"),
    [
        ({"team": "nobody"}, "unknown_team"),
        ({"workload": "closures"}, "unknown_workload"),
        ({"tasks": "three"}, "malformed_request"),
        ({"tasks": 0}, "malformed_request"),
        ({"priority": 10}, "malformed_request"),
        ({"color": "red"}, "malformed_request"),
        ({"failure_domain": "mars"}, "malformed_request"),
    ],
)
def test_a_bad_submission_creates_no_job(cell, changes, kind):
    before = job_keys(cell)
    assert submit(cell, **changes).json()["kind"] == kind
    assert job_keys(cell) == before
