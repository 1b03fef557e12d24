"""The commented questionnaire that ``alderreach questionnaire new`` writes.

It has every key with its description and one example of each kind of workload, and it
passes ``questionnaire check`` without changes.
"""

import textwrap

from alderreach.parser import questionnaire_keys

COMMENT_CHARS = 78
INTRODUCTION = """\
Questionnaire of a team. Fill it in, then

    alderreach questionnaire check FILE    lists every mistake with its line
    alderreach questionnaire apply FILE    shows the difference and commits it

Apply it again after each amendment. There may be any number of [[service]],
[[batch]] and [[gang]] tables; a key that shows its default may be left out."""
TITLES = {
    "service": "A service: runners that answer requests and are kept running.",
    "batch": "A batch run: independent tasks, started as room allows.",
    "gang": "A gang job: all of its tasks start together or none does.",
}
EXAMPLES = {
    "service": {
        "name": "example-service",
        "processors": 4,
        "memory_gb": 8,
        "tasks": 4,
        "slots": 8,
        "connections": 64,
        "deadline_ms": 500,
        "idempotent": False,
        "when_cut_off": "stay",
    },
    "batch": {
        "name": "example-batch",
        "processors": 2,
        "memory_gb": 4,
        "tasks": 10,
        "when_cut_off": "move",
        "expected_run_ms": 60_000,
    },
    "gang": {
        "name": "example-gang",
        "processors": 8,
        "memory_gb": 16,
        "tasks": 4,
        "when_cut_off": "move",
        "expected_run_ms": 600_000,
    },
}


def template(team_name):
    """Return the text of a new questionnaire for a team."""
    team = {
        "name": team_name,
        "objective": "waiting",
        "quota_processors": 128,
        "quota_memory_gb": 256,
    }
    lines = _comment(INTRODUCTION) + ["", "[team]"]
    lines += _keys(questionnaire_keys.TEAM, team)
    for kind, rules in questionnaire_keys.WORKLOADS.items():
        lines += ["", *_comment(TITLES[kind]), f"[[{kind}]]"]
        lines += _keys(rules, EXAMPLES[kind])
    return "\n".join(lines) + "\n"


def _keys(rules, values):
    for key, rule in rules.items():
        yield from _comment(rule.doc)
        value = values.get(key, rule.default)
        yield f"{key} = {_toml(value)}"


def _toml(value):
    if isinstance(value, bool):
        return "true" if value else "false"
    return f'"{value}"' if isinstance(value, str) else str(value)


def _comment(text):
    lines = []
    for line in text.splitlines():
        lines += textwrap.wrap(line, COMMENT_CHARS) or [""]
    return [f"# {line}".rstrip() for line in lines]
