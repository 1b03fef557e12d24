"""The operators' HTTP over fake keepers: accepted and refused changes, answers."""

import pytest

from alderreach.core import plain_objects
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


def test_of_two_changes_of_the_same_version_one_wins_and_one_gets_a_conflict(entry):
    """Two operators read the same version of a team and change it.

    If both changes were accepted, one of them would be overwritten unnoticed. The
    keepers accept one; the answer to the other names the first operator.
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


def test_a_lost_race_is_a_conflict_even_if_the_winner_makes_the_change_invalid(entry):
    """One operator shrinks the quota and a gang; another enlarges the gang meanwhile.

    The second change is invalid under the new quota, but was valid when it was made. An
    answer that reported a mistake would send the operator looking for one that is not
    in the change.
    """
    key = "workload/serra-alta/rota"
    gang = fakes.workload("rota", "gang", tasks=4)
    put_team(entry, "key-first")
    body = {"writes": [write(gang, key)]}
    assert entry.call("PUT", "/v1/config", body, "key-ana-1")[0] == 200
    reduced_team = fakes.team()._replace(quota=gang.task)
    writes = [
        write(reduced_team, "team/serra-alta", 1),
        write(gang._replace(tasks=1), key, 2),
    ]
    assert entry.call("PUT", "/v1/config", {"writes": writes}, "key-ana-2")[0] == 200
    body = {"writes": [write(gang._replace(tasks=8), key, 2)]}
    status, _headers, document = entry.call("PUT", "/v1/config", body, "key-bruno")
    assert (status, document["kind"]) == (409, "conflict")
    assert document["conflicts"] == [{"key": key, "version": 3, "author": "ana"}]


def test_a_change_is_never_checked_against_an_old_copy(entry):
    """The keepers accept writes, but the read of the current items gets no answer.

    A check against the entry's copy, which may be hours old, could pass a change that
    contradicts the configuration in force.
    """
    put_team(entry, "key-first")
    entry.keepers.answers_reads = False
    status, _headers, document = put_team(entry, "key-second", 2, base_version=1)
    assert (status, document["kind"]) == (503, "no_quorum")
    assert entry.keepers.version == 1


def test_a_resend_after_a_lost_answer_changes_once_and_answers_the_same(entry):
    """An operator's change is accepted but the answer is lost.

    Without the key, a resend would be refused as a conflict with the first attempt, or
    be applied twice. With the same key it gets the first answer, also after a later
    change by another operator.
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
    """A change reaches the keepers late, and the client resends it before that.

    Both attempts pass the check before either is accepted, so only the keepers can
    detect that they are the same change.
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


def test_without_a_quorum_a_change_is_refused_and_a_read_is_marked_outdated(entry):
    put_team(entry, "key-12345")
    entry.keepers.reachable = False
    status, headers, document = put_team(entry, "key-23456", 2, base_version=1)
    assert (status, document["kind"], headers["Retry-After"]) == (503, "no_quorum", "1")
    document = entry.call("GET", "/v1/config")[2]
    assert document["current"] is False
    assert [item["key"] for item in document["items"]] == ["team/serra-alta"]


def test_all_mistakes_of_a_configuration_are_reported(entry):
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


def test_a_base_version_outside_64_bits_is_reported(entry):
    """Guards against a change that can't be encoded, which is answered with a 500."""
    writes = [write(fakes.team(), "team/serra-alta", 2**70)]
    answer = entry.call("PUT", "/v1/config", {"writes": writes}, "key-12345")
    assert answer[0] == 422
    assert [one["field"] for one in answer[2]["mistakes"]] == ["base_version"]


def test_a_service_name_taken_by_another_team_is_refused(entry):
    entry.keepers.put("team/one", fakes.team("one"))
    entry.keepers.put("workload/one/s", fakes.workload("s", "service", 1, "one"))
    writes = [
        write(fakes.team("two"), "team/two"),
        write(fakes.workload("s", "service", 1, "two"), "workload/two/s"),
    ]
    document = entry.call("PUT", "/v1/config", {"writes": writes}, "key-12345")[2]
    assert "taken by workload/one/s" in document["detail"]


def test_of_two_concurrent_services_with_one_name_one_is_refused(entry):
    """Two operators declare services with the same name for two teams at the same time.

    Each is checked before the other is in force. If both were accepted, callers of one
    team's service would get answers from the other team's.
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
    removal = [{"key": "workload/two/s", "base_version": 1, "value": None}]
    assert entry.call("PUT", "/v1/config", {"writes": removal}, "key-23456")[0] == 200
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
        (
            "GET",
            f"/v1/config/history?limit={5000 * '9'}",
            None,
            400,
            "malformed_request",
        ),
        ("PUT", "/v1/config", 100_000 * b"[", 400, "malformed_request"),
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
    received_status, _headers, document = entry.call(method, path, body, "key-12345")
    assert (received_status, document["kind"]) == (status, kind)
    assert document["detail"]
    assert entry.keepers.commands == []


def test_a_body_that_ends_early_or_a_change_without_key_is_refused(entry):
    body = b'{"writes": []}'
    status, _headers, document = entry.call(
        "PUT", "/v1/config", body, "key-12345", CONTENT_LENGTH="20"
    )
    assert status == 400 and "broken off" in document["detail"]
    assert "Idempotency-Key" in put_team(entry, "")[2]["detail"]


def test_history_lists_changes_with_their_authors(entry):
    put_team(entry, "key-12345")
    put_team(entry, "key-23456", 2, base_version=1, token=fakes.SECOND_TOKEN)
    changes = entry.call("GET", "/v1/config/history")[2]["changes"]
    assert [(c["version"], c["author"]) for c in changes] == [(2, "bruno"), (1, "ana")]
    assert changes[0]["summary"] == "weight 2"


def test_history_keeps_only_the_newest_changes(entry, monkeypatch):
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
