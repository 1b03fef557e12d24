"""Tests questionnaires: the shipped examples, a new one and ones with mistakes."""

import pathlib

import pytest

from alderreach.core import problems
from alderreach.parser import difference, questionnaire, questionnaire_template

BAD = """\
[team]
name = "Serra Alta"
objective = "speed"
quota_processors = "many"
quota_memory_gb = 64
colour = "red"

[[service]]
name = "route-closure"
processors = 5000
memory_gb = 8
tasks = 2
slots = 0
connections = 64
deadline_ms = 86_400_000
idempotent = "no"
when_cut_off = "wait"

[[service]]
name = "route-closure"
processors = -1
memory_gb = nan
tasks = 1
slots = 8
connections = 4
deadline_ms = 300
idempotent = true
when_cut_off = "stay"
expected_run_ms = 5

[[gang]]
name = "rota"
processors = 1
memory_gb = 1
tasks = true
when_cut_off = "move"
priority = 10

[batch]
name = "plan"

[cron]
"""

TEAM_WITH_WORKLOAD = """\
[team]
name = "serra-alta"
objective = "waiting"
quota_processors = 8
quota_memory_gb = 64

[[{kind}]]
name = "first"
processors = {processors}
memory_gb = 1
tasks = {tasks}
when_cut_off = "move"
{service}
"""
SERVICE = "slots = 1\nconnections = 1\ndeadline_ms = 1\nidempotent = true"


def mistakes_of(text):
    answers, mistakes = questionnaire.parse(text, "q.toml")
    assert (answers is None) == bool(mistakes)
    return [problems.show(mistake) for mistake in mistakes]


@pytest.mark.parametrize("name", ["serra-alta", "kai-tahi"])
def test_shipped_examples_give_their_items(name, snapshot):
    text = pathlib.Path(f"examples/{name}.toml").read_text()
    answers, mistakes = questionnaire.parse(text, name)
    assert mistakes == []
    items = questionnaire.generate(answers)
    assert "\n".join(difference.show(difference.difference({}, items))) == snapshot


def test_every_mistake_is_named_with_its_line(snapshot):
    assert "\n".join(mistakes_of(BAD)) == snapshot


@pytest.mark.parametrize(
    ("kind", "processors", "tasks", "expected"),
    [
        ("gang", 1, 9, "12: gang.0.tasks: all tasks at once need cpu_millis 9000"),
        ("batch", 9, 1, "9: batch.0.processors: one task asks for more than"),
        ("service", 1, 9, "11: service.0.tasks: all runners need cpu_millis 9000"),
    ],
)
def test_a_workload_beyond_the_quota_is_a_mistake(kind, processors, tasks, expected):
    service = SERVICE if kind == "service" else ""
    text = TEAM_WITH_WORKLOAD.format(
        kind=kind, processors=processors, tasks=tasks, service=service
    )
    (mistake,) = mistakes_of(text)
    assert expected.partition(": ")[2] in mistake


def test_services_that_exceed_the_quota_only_together_are_a_mistake():
    text = TEAM_WITH_WORKLOAD.format(
        kind="service", processors=5, tasks=1, service=SERVICE
    )
    second = text[text.index("[[service]]") :].replace('"first"', '"second"')
    (mistake,) = mistakes_of(text + second)
    assert mistake.startswith("q.toml:4: team.quota_processors: the services together")


def test_syntax_errors_and_missing_tables_are_named():
    assert mistakes_of("[team\n") == [
        "q.toml:1: syntax: Expected ']' at the end of a table declaration"
        " (at line 1, column 6)"
    ]
    assert "q.toml:1: team: a table [team] is required" in mistakes_of("")


def test_a_new_questionnaire_has_no_mistakes():
    assert mistakes_of(questionnaire_template.template("my-team")) == []


def test_the_difference_shows_added_changed_and_deleted_items():
    answers, _ = questionnaire.parse(
        questionnaire_template.template("my-team"), "q.toml"
    )
    old = questionnaire.generate(answers)
    new = dict(old)
    del new["workload/my-team/example-gang"]
    team = new["team/my-team"]
    quota = team.quota._replace(cpu_millis=1)
    new["team/my-team"] = team._replace(quota=quota)
    new["workload/my-team/z"] = old["workload/my-team/example-gang"]
    lines = difference.show(difference.difference(old, new))
    assert lines[:4] == [
        "~ team/my-team",
        "    quota.cpu_millis: 128000 -> 1",
        "- workload/my-team/example-gang",
        "+ workload/my-team/z",
    ]
    assert difference.difference(new, new) == []
