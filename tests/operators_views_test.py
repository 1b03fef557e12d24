"""The operators' HTTP: windows, jobs, targets, keepers, status and time line."""

import pytest

from alderreach.core.generated import common, keeper, placer
from tests import operators_fakes as fakes


@pytest.fixture
def entry(tmp_path):
    return fakes.FakeEntry(tmp_path)


def test_a_maintenance_window_is_declared_once_and_withdrawn(entry):
    start_ms = entry.clock.clock.wall_ms() + 3_600_000
    body = {
        "failure_domain": "urubici",
        "racks": ["r1"],
        "start_wall_ms": start_ms,
        "end_wall_ms": start_ms + 1000,
    }
    first = entry.call("POST", "/v1/maintenance", body, "key-12345")
    assert entry.call("POST", "/v1/maintenance", body, "key-12345") == first
    windows = entry.call("GET", "/v1/maintenance")[2]["windows"]
    assert [w["window_id"] for w in windows] == [first[2]["window"]["window_id"]]
    path = f"/v1/maintenance/{windows[0]['window_id']}"
    cancelled = entry.call("DELETE", path, None, "key-23456")
    assert cancelled[0] == 200
    assert entry.call("DELETE", path, None, "key-23456") == cancelled
    assert entry.call("DELETE", path, None, "key-34567")[0] == 404
    past = body | {"start_wall_ms": 1, "end_wall_ms": 2, "failure_domain": "x"}
    mistakes = entry.call("POST", "/v1/maintenance", past, "key-45678")[2]["mistakes"]
    assert [m["field"] for m in mistakes] == ["failure_domain", "end_wall_ms"]


def test_a_window_that_cannot_be_met_is_answered_with_warnings(entry):
    """A window stops a rack whose tasks fit on no other rack.

    When the window starts it is too late for the operator to act, so the answer to the
    declaration carries a warning. It also does if the free capacity is unknown.
    """
    start_ms = entry.clock.clock.wall_ms() + 3_600_000
    body = {
        "failure_domain": "urubici",
        "racks": ["r1"],
        "start_wall_ms": start_ms,
        "end_wall_ms": start_ms + 1000,
    }
    first = entry.call("POST", "/v1/maintenance", body, "key-12345")[2]
    assert "does not answer" in first["warnings"][0]
    reply = placer.TargetReply("", True, [fakes.target_row()])
    entry.gateway.replies["127.0.0.1:21", "TargetQuery"] = reply
    second = entry.call("POST", "/v1/maintenance", body, "key-23456")[2]
    assert second["warnings"] == [
        "8000 cpu_millis must move, but only 0 are free elsewhere",
        "16384 memory_mb must move, but only 0 are free elsewhere",
    ]


def test_a_job_resent_through_another_domain_is_the_same_job(tmp_path):
    """A submission's answer is lost and the client resends it to another entry.

    That entry is in another failure domain and would place the job there a second time:
    two crews would be sent to the same anchor. The key finds the first job in any
    domain.
    """
    keepers = fakes.FakeKeepers()
    one = fakes.FakeEntry(tmp_path, keepers, "urubici", "entry-1")
    two = fakes.FakeEntry(tmp_path, keepers, "bom-jardim", "entry-2")
    keepers.put("team/serra-alta", fakes.team())
    keepers.put("workload/serra-alta/closure-plan", fakes.workload())
    body = {"team": "serra-alta", "workload": "closure-plan", "payload": "p"}
    keepers.lose_answers = 1
    assert one.call("POST", "/v1/jobs", body, "key-12345")[0] == 504
    two.clock.advance(1000)
    status, _headers, job = two.call("POST", "/v1/jobs", body, "key-12345")
    assert status == 200 and job["failure_domain"] == "urubici"
    assert [key for key in keepers.items if key.startswith("job/")] == [
        f"job/urubici/{job['job_id']}"
    ]
    other = body | {"payload": "another"}
    assert two.call("POST", "/v1/jobs", other, "key-12345")[2]["kind"] == "key_reused"
    shown = two.call("GET", f"/v1/jobs/{job['job_id']}")[2]
    assert (shown["state"], shown["source"]) == ("waiting", "keepers")
    assert one.call("DELETE", f"/v1/jobs/{job['job_id']}")[0] == 202
    assert f"cancel/urubici/{job['job_id']}" in keepers.items


def test_jobs_are_listed_with_their_owners_status(entry):
    entry.keepers.put("team/serra-alta", fakes.team())
    entry.keepers.put("workload/serra-alta/closure-plan", fakes.workload())
    owner = common.Owner("urubici", "placer-1", "b", "127.0.0.1:21", "", 3)
    entry.keepers.put("owner/urubici", owner)
    body = {"team": "serra-alta", "workload": "closure-plan"}
    job_id = entry.call("POST", "/v1/jobs", body, "key-12345")[2]["job_id"]
    status = common.JobStatus(job_id, "running", "", 2, 0, 0, 1, 1)
    task = placer.TaskView(f"{job_id}.0", 1, "running", "w1")
    entry.gateway.replies["127.0.0.1:21", "JobQuery"] = placer.JobReply(
        "", True, [status], [task]
    )
    listed = entry.call("GET", "/v1/jobs?team=serra-alta&state=running")[2]
    assert [job["running"] for job in listed["jobs"]] == [2]
    assert listed["unreachable"] == ["bom-jardim"]
    assert entry.call("GET", "/v1/jobs?state=failed")[2]["jobs"] == []
    shown = entry.call("GET", f"/v1/jobs/{job_id}")[2]
    assert shown["tasks"][0]["worker_id"] == "w1"


def test_targets_are_read_from_whichever_placer_owns_the_domain(entry):
    owner = common.Owner("urubici", "p", "b", "127.0.0.1:29", "", 3)
    entry.keepers.put("owner/urubici", owner)
    not_owner = placer.TargetReply("", False, [])
    entry.gateway.replies["127.0.0.1:29", "TargetQuery"] = not_owner
    rows = [fakes.target_row(), fakes.target_row("w2", "suspect")]
    reply = placer.TargetReply("", True, rows)
    entry.gateway.replies["127.0.0.1:21", "TargetQuery"] = reply
    document = entry.call("GET", "/v1/targets")[2]
    assert [row["target_id"] for row in document["targets"]] == ["w1", "w2"]
    assert document["unreachable"] == ["bom-jardim"]
    document = entry.call("GET", "/v1/targets?failure_domain=urubici&state=suspect")[2]
    assert [row["target_id"] for row in document["targets"]] == ["w2"]
    assert entry.call("POST", "/v1/targets/w2/forget", None, "key-12345")[0] == 200
    assert "target/w2" in entry.keepers.items


def test_the_keepers_membership_is_changed_one_by_one(entry):
    learner = keeper.Member("i2", "keeper-2", "127.0.0.1:12", False, False)
    members = [keeper.Member("i1", "keeper-1", "127.0.0.1:11", True, False)]
    entry.keepers.members = keeper.MembersResult("accepted", "", members)
    document = entry.call("GET", "/v1/keepers")[2]
    assert document["members"][0]["identity"] == "i1"
    entry.keepers.members = keeper.MembersResult("accepted", "", [*members, learner])
    body = {"name": "keeper-2", "address": "127.0.0.1:12"}
    status, _headers, document = entry.call("POST", "/v1/keepers/i2/add_learner", body)
    assert status == 200 and len(document["members"]) == 2
    command = keeper.ChangeMembers("add_learner", "i2", "keeper-2", "127.0.0.1:12")
    assert entry.keepers.commands == [command]
    refused = keeper.MembersResult("refused", "the learner has not caught up yet", [])
    entry.keepers.members = refused
    status, _headers, document = entry.call("POST", "/v1/keepers/i2/promote")
    assert (status, document["detail"]) == (422, refused.reason)
    assert entry.call("POST", "/v1/keepers/i2/crown")[0] == 400
    assert entry.call("POST", "/v1/keepers/i2/add_learner", {})[0] == 400


def test_status_names_lagging_and_unreachable_processes(entry):
    def reply(name, role, version, state):
        return common.StatusReply("", name, role, "urubici", "b1", version, state, {})

    entry.gateway.replies = {
        ("127.0.0.1:11", "StatusQuery"): reply("keeper-1", "keeper", 9, "leader"),
        ("127.0.0.1:21", "StatusQuery"): reply("placer-1", "placer", 7, "owner"),
        ("127.0.0.1:1", "StatusQuery"): reply("entry-1", "entry", 9, "serving"),
    }
    document = entry.call("GET", "/v1/status")[2]
    assert (document["version"], document["quorum"]) == (9, True)
    assert document["lagging"] == ["placer-1"]
    assert document["unreachable"] == ["placer-2"]


def test_the_time_line_merges_processes_and_names_unreachable_ones(entry):
    def page(process, *times_ms):
        events = [
            common.Event(ms, ms, process, "b1", "k", 0, "", "", "", "", "", "")
            for ms in times_ms
        ]
        return lambda query: common.TimelinePage("", events[-query.limit :])

    entry.gateway.replies = {
        ("127.0.0.1:11", "TimelineQuery"): page("keeper-1", 10, 30),
        ("127.0.0.1:21", "TimelineQuery"): page("placer-1", 20, 40),
    }
    document = entry.call("GET", "/v1/timeline?limit=3")[2]
    assert [event["wall_ms"] for event in document["events"]] == [20, 30, 40]
    assert document["unreachable"] == ["entry-1", "placer-2"]
