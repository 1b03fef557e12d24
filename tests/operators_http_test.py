"""The operators' HTTP over fake keepers: what is accepted, refused and told."""

import pytest

from alderreach.core import plain_objects
from alderreach.core.generated import common, keeper, placer
from alderreach.ops.entry import operator_changes
from tests import operators_fakes as fakes


@pytest.fixture
def entry(tmp_path):
    return fakes.FakeEntry(tmp_path)


def write(record, key, base_version=0):
    return {
        "key": key,
        "base_version": base_version,
        "value": plain_objects.to_object(record),
    }


def put_team(entry, key, weight=1, base_version=0, token=fakes.TOKEN):
    writes = [write(fakes.team(weight=weight), "team/serra-alta", base_version)]
    body = {"summary": f"weight {weight}", "writes": writes}
    return entry.call("PUT", "/v1/config", body, key, token)


def test_without_a_token_nothing_is_read_or_changed(entry):
    for token in ("", "wrong", fakes.TOKEN[:-1]):
        status, headers, document = put_team(entry, "key-12345", token=token)
        assert (status, document["kind"]) == (401, "unauthorized")
        assert headers["WWW-Authenticate"] == "Bearer"
    assert entry.keepers.commands == []


def test_tokens_are_read_again_when_the_file_changes(entry, tmp_path):
    assert entry.call("GET", "/v1/config")[0] == 200
    (tmp_path / "tokens").write_text("# ana left\n\nbruno another-token\n")
    assert entry.call("GET", "/v1/config")[0] == 401
    assert entry.call("GET", "/v1/config", token="another-token")[0] == 200
    (tmp_path / "tokens").unlink()
    assert entry.call("GET", "/v1/config", token="another-token")[0] == 401


def test_of_two_operators_with_equal_versions_one_wins_and_the_other_is_told(entry):
    """Two operators read the same version of a team and change it.

    Both would believe that their change is in force, and one of them would be
    overwritten unseen. The keepers take one; the other is told who came first.
    """
    assert put_team(entry, "key-first")[2]["version"] == 1
    assert put_team(entry, "key-ana-1", weight=2, base_version=1)[0] == 200
    status, _headers, document = put_team(
        entry, "key-bruno", 3, base_version=1, token=fakes.SECOND_TOKEN
    )
    assert (status, document["kind"]) == (409, "conflict")
    assert document["conflicts"] == [
        {"key": "team/serra-alta", "version": 2, "author": "ana"}
    ]
    assert "ana" in document["detail"]
    assert entry.call("GET", "/v1/config")[2]["items"][0]["value"]["weight"] == 2


def test_a_loser_is_told_of_the_winner_not_of_mistakes_that_came_with_it(entry):
    """One operator shrinks the quota and a gang; another enlarges the gang meanwhile.

    Against the new quota the second change is a mistake, but not the operator's: it was
    sound where it was made. Told of a mistake, the operator would look for it in vain.
    """
    key = "workload/serra-alta/rota"
    gang = fakes.workload("rota", "gang", tasks=4)
    put_team(entry, "key-first")
    body = {"writes": [write(gang, key)]}
    assert entry.call("PUT", "/v1/config", body, "key-ana-1")[0] == 200
    small = fakes.team()._replace(quota=gang.task)
    writes = [
        write(small, "team/serra-alta", 1),
        write(gang._replace(tasks=1), key, 2),
    ]
    assert entry.call("PUT", "/v1/config", {"writes": writes}, "key-ana-2")[0] == 200
    body = {"writes": [write(gang._replace(tasks=8), key, 2)]}
    status, _headers, document = entry.call("PUT", "/v1/config", body, "key-bruno")
    assert (status, document["kind"]) == (409, "conflict")
    assert document["conflicts"] == [{"key": key, "version": 3, "author": "ana"}]


def test_a_change_is_never_checked_against_an_old_copy(entry):
    """The keepers take writes, but the read of what is in force goes unanswered.

    Checked against the entry's copy, which may be hours old, a change could pass that
    contradicts what is in force.
    """
    put_team(entry, "key-first")
    entry.keepers.answers_reads = False
    status, _headers, document = put_team(entry, "key-second", 2, base_version=1)
    assert (status, document["kind"]) == (503, "no_quorum")
    assert entry.keepers.version == 1


def test_a_resend_after_a_lost_answer_changes_once_and_answers_the_same(entry):
    """An operator's change is accepted but the answer is lost.

    Resent, it would be refused as a lost race against itself, or be made twice. Under
    the same key it gets the first answer, also after another operator's later change.
    """
    entry.keepers.lose_answers = 1
    status, _headers, document = put_team(entry, "key-lost-1")
    assert (status, document["kind"]) == (504, "write_unconfirmed")
    assert document["outcome"] == "unknown"
    first = put_team(entry, "key-lost-1")
    assert first[0] == 200
    put_team(entry, "key-later", weight=5, base_version=1, token=fakes.SECOND_TOKEN)
    assert put_team(entry, "key-lost-1") == first
    assert entry.keepers.version == 2


def test_a_resend_that_overtakes_the_first_attempt_changes_once(entry):
    """A change is slow on its way to the keepers and the client resends it meanwhile.

    Both attempts were checked before either was accepted, so only the keepers can tell
    that they are one.
    """
    inner = []
    entry.keepers.before_write = lambda: inner.append(put_team(entry, "key-slow-1"))
    outer = put_team(entry, "key-slow-1")
    assert inner == [outer]
    assert outer[0] == 200 and entry.keepers.version == 1


def test_a_key_used_for_another_change_is_refused(entry):
    put_team(entry, "key-12345")
    status, _headers, document = put_team(entry, "key-12345", 2, base_version=1)
    assert (status, document["kind"]) == (422, "key_reused")


def test_without_a_quorum_a_change_is_refused_and_a_read_says_it_is_old(entry):
    put_team(entry, "key-12345")
    entry.keepers.reachable = False
    status, headers, document = put_team(entry, "key-23456", 2, base_version=1)
    assert (status, document["kind"], headers["Retry-After"]) == (503, "no_quorum", "1")
    document = entry.call("GET", "/v1/config")[2]
    assert document["current"] is False
    assert [item["key"] for item in document["items"]] == ["team/serra-alta"]


def test_a_configuration_is_checked_whole(entry):
    gang = fakes.workload("rota", "gang", tasks=500)._replace(priority=10)
    service = fakes.workload("closure", "service")._replace(slots=0)
    writes = [
        write(fakes.team(weight=0), "team/serra-alta"),
        write(gang, "workload/serra-alta/rota"),
        write(service, "workload/serra-alta/closure"),
        {"key": "workload/serra-alta/x", "base_version": 0, "value": {"team": 7}},
    ]
    status, _headers, document = entry.call(
        "PUT", "/v1/config", {"writes": writes[:3]}, "key-12345"
    )
    assert status == 422
    assert [m["field"] for m in document["mistakes"]] == ["weight", "priority", "slots"]
    document = entry.call("PUT", "/v1/config", {"writes": writes}, "key-23456")[2]
    assert len(document["mistakes"]) == 14
    writes = [write(gang._replace(priority=4), "workload/serra-alta/rota")]
    document = entry.call("PUT", "/v1/config", {"writes": writes}, "key-34567")[2]
    assert document["mistakes"][0]["message"] == "no team 'serra-alta'"
    assert entry.keepers.commands == []


def test_a_service_name_taken_by_another_team_is_refused(entry):
    entry.keepers.put("team/one", fakes.team("one"))
    entry.keepers.put("workload/one/s", fakes.workload("s", "service", 1, "one"))
    writes = [
        write(fakes.team("two"), "team/two"),
        write(fakes.workload("s", "service", 1, "two"), "workload/two/s"),
    ]
    document = entry.call("PUT", "/v1/config", {"writes": writes}, "key-12345")[2]
    assert "taken by workload/one/s" in document["detail"]


def test_of_two_teams_that_name_a_service_alike_at_once_one_is_refused(entry):
    """Two operators declare a service of the same name for two teams at once.

    Each is checked before the other's is in force. Were both accepted, callers of one
    team's service would get answers of the other's.
    """

    def declare(name, key, token):
        writes = [
            write(fakes.team(name), f"team/{name}"),
            write(fakes.workload("s", "service", 1, name), f"workload/{name}/s"),
        ]
        return entry.call("PUT", "/v1/config", {"writes": writes}, key, token)

    inner = []
    entry.keepers.before_write = lambda: inner.append(
        declare("two", "key-bruno", fakes.SECOND_TOKEN)
    )
    status, _headers, document = declare("one", "key-ana-1", fakes.TOKEN)
    assert inner[0][0] == 200
    assert (status, document["kind"]) == (409, "conflict")
    assert document["conflicts"] == [
        {"key": "service/s", "version": 1, "author": "bruno"}
    ]
    gone = [{"key": "workload/two/s", "base_version": 1, "value": None}]
    assert entry.call("PUT", "/v1/config", {"writes": gone}, "key-23456")[0] == 200
    assert declare("one", "key-ana-2", fakes.TOKEN)[0] == 200


@pytest.mark.parametrize(
    ("method", "path", "body", "status", "kind"),
    [
        ("PUT", "/v1/config", b"{", 400, "malformed_request"),
        ("PUT", "/v1/config", [], 400, "malformed_request"),
        ("PUT", "/v1/config", {"writes": []}, 422, "invalid_configuration"),
        ("PUT", "/v1/config", {"writes": [{}]}, 422, "invalid_configuration"),
        ("PUT", "/v1/config", b"x" * 100_001, 413, "body_too_large"),
        ("GET", "/v1/config?prefix=job/", None, 400, "malformed_request"),
        ("GET", "/v1/config/history?limit=0", None, 400, "malformed_request"),
        ("POST", "/v1/config", {}, 405, "method_not_allowed"),
        ("GET", "/v1/nothing", None, 404, "not_found"),
        ("GET", "/v1/jobs/unknown", None, 404, "not_found"),
        ("DELETE", "/v1/jobs/unknown", None, 404, "not_found"),
        ("DELETE", "/v1/maintenance/unknown", None, 404, "not_found"),
        ("POST", "/v1/maintenance", {"vms": 3}, 422, "invalid_configuration"),
        ("GET", "/v1/targets?failure_domain=x", None, 400, "malformed_request"),
        ("POST", "/v1/jobs", {"team": "a", "workload": "b"}, 404, "unknown_team"),
        ("POST", "/v1/jobs", {"tasks": "a"}, 400, "malformed_request"),
    ],
)
def test_bad_input_gets_a_clear_error(entry, method, path, body, status, kind):
    got, _headers, document = entry.call(method, path, body, "key-12345")
    assert (got, document["kind"]) == (status, kind)
    assert document["detail"]
    assert entry.keepers.commands == []


def test_a_body_that_ends_early_or_a_change_without_key_is_refused(entry):
    body = b'{"writes": []}'
    status, _headers, document = entry.call(
        "PUT", "/v1/config", body, "key-12345", CONTENT_LENGTH="20"
    )
    assert status == 400 and "broken off" in document["detail"]
    assert "Idempotency-Key" in put_team(entry, "")[2]["detail"]


def test_history_names_who_changed_what(entry):
    put_team(entry, "key-12345")
    put_team(entry, "key-23456", 2, base_version=1, token=fakes.SECOND_TOKEN)
    changes = entry.call("GET", "/v1/config/history")[2]["changes"]
    assert [(c["version"], c["author"]) for c in changes] == [(2, "bruno"), (1, "ana")]
    assert changes[0]["summary"] == "weight 2"


def test_history_keeps_the_newest_changes_only(entry, monkeypatch):
    monkeypatch.setattr(operator_changes, "CHANGES_KEPT", 2)
    monkeypatch.setattr(operator_changes, "TRIM_EVERY", 1)
    base_version = 0
    for number in range(5):
        key = f"key-1234{number}"
        _status, _headers, document = put_team(entry, key, number + 1, base_version)
        base_version = document["version"]
        versions = [change["version"] for change in history_of(entry)]
        assert len(versions) <= 2 and versions[0] == base_version


def history_of(entry):
    return entry.call("GET", "/v1/config/history")[2]["changes"]


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


def test_a_window_that_cannot_be_met_is_told_when_it_is_declared(entry):
    """The landlord stops the only rack that has room for what runs there.

    Told only at the date, the operator could do nothing more; so the answer to the
    declaration says it, and so it does when nobody can tell.
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

    That entry is in another failure domain and would place the job there: a second
    crew to the same anchor. The key finds the first job in whatever domain it is.
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


def test_jobs_show_what_their_owner_says(entry):
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


def test_targets_come_from_the_owner_wherever_it_is(entry):
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


def test_status_names_what_lags_and_what_does_not_answer(entry):
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


def test_the_time_line_merges_processes_and_names_the_silent(entry):
    def page(process, *moments):
        events = [
            common.Event(ms, ms, process, "b1", "k", 0, "", "", "", "", "", "")
            for ms in moments
        ]
        return lambda query: common.TimelinePage("", events[-query.limit :])

    entry.gateway.replies = {
        ("127.0.0.1:11", "TimelineQuery"): page("keeper-1", 10, 30),
        ("127.0.0.1:21", "TimelineQuery"): page("placer-1", 20, 40),
    }
    document = entry.call("GET", "/v1/timeline?limit=3")[2]
    assert [event["wall_ms"] for event in document["events"]] == [20, 30, 40]
    assert document["unreachable"] == ["entry-1", "placer-2"]
