"""The questionnaire that a team fills in: one TOML file, fully validated.

It is processed in three stages, each a pure function: ``parse`` returns the answers or
every mistake with its line, ``generate`` converts answers to configuration items, and
``difference`` in ``alderreach.parser.difference`` compares them with those in force.

>>> answers, mistakes = parse(text, "serra-alta.toml")  # doctest: +SKIP
>>> items = generate(answers)  # doctest: +SKIP
"""

import tomllib
import typing

from alderreach.core import problems
from alderreach.core.generated import common
from alderreach.parser import configuration, questionnaire_keys, toml_lines

MILLIS = 1000
MB_PER_GB = 1024
SECTIONS = ("service", "batch", "gang")
# The questionnaire key of an item's field, for mistakes found after generation.
KEY_OF_FIELD = {
    "task.cpu_millis": "processors",
    "task.memory_mb": "memory_gb",
    "task.accelerators": "accelerators",
    "quota.cpu_millis": "quota_processors",
    "quota.memory_mb": "quota_memory_gb",
    "quota.accelerators": "quota_accelerators",
}


class TeamAnswers(typing.NamedTuple):
    """The answers of ``[team]``."""

    name: str
    objective: str
    weight: int
    quota_processors: float
    quota_memory_gb: float
    quota_accelerators: int


class WorkloadAnswers(typing.NamedTuple):
    """The answers of one ``[[service]]``, ``[[batch]]`` or ``[[gang]]``."""

    kind: str
    path: str
    name: str
    processors: float
    memory_gb: float
    accelerators: int
    tasks: int
    priority: int
    when_cut_off: str
    checkpoint: bool
    expected_run_ms: int
    deadline_ms: int
    idempotent: bool
    slots: int
    connections: int
    home_failure_domain: str


class Answers(typing.NamedTuple):
    """A complete questionnaire."""

    team: TeamAnswers
    workloads: tuple


def parse(text, file):
    """Parse a questionnaire; return ``(Answers, [])`` or ``(None, [Problem, ...])``."""
    try:
        tables = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        line = toml_lines.line_of_error(error)
        return None, [problems.Problem(file, line, "syntax", str(error))]
    collector = _ProblemCollector(file, toml_lines.locate(text))
    for name in tables:
        if name != "team" and name not in SECTIONS:
            collector.add(
                name, "is no known table; there are team, service, batch, gang"
            )
    team = _team(collector, tables)
    workloads = tuple(_workloads(collector, tables))
    _check_names(collector, workloads)
    _check_items(collector, Answers(team, workloads))
    if collector.problems:
        return None, sorted(collector.problems, key=lambda problem: problem.line)
    return Answers(team, workloads), []


def generate(answers):
    """Return the configuration items of a questionnaire, by key."""
    items = {configuration.team_key(answers.team.name): _team_item(answers.team)}
    for workload in answers.workloads:
        key = configuration.workload_key(answers.team.name, workload.name)
        items[key] = _workload_item(answers.team.name, workload)
    return items


def _team_item(team):
    quota = _resources(
        team.quota_processors, team.quota_memory_gb, team.quota_accelerators
    )
    return common.Team(team.name, quota, team.weight, team.objective)


def _workload_item(team_name, answers):
    return common.Workload(
        team=team_name,
        name=answers.name,
        kind=answers.kind,
        task=_resources(answers.processors, answers.memory_gb, answers.accelerators),
        tasks=answers.tasks,
        priority=answers.priority,
        slots=answers.slots,
        connections=answers.connections,
        deadline_ms=answers.deadline_ms,
        idempotent=answers.idempotent,
        when_cut_off=answers.when_cut_off,
        checkpoint=answers.checkpoint,
        expected_run_ms=answers.expected_run_ms,
        home_failure_domain=answers.home_failure_domain,
    )


def _resources(processors, memory_gb, accelerators):
    cpu_millis = round(processors * MILLIS)
    return common.Resources(cpu_millis, round(memory_gb * MB_PER_GB), accelerators)


class _ProblemCollector:
    """Collects the mistakes of one file with their lines."""

    def __init__(self, file, lines):
        self.file = file
        self.lines = lines
        self.problems = []

    def add(self, path, message):
        """Add a mistake at a dotted path, unless the path already has one."""
        if any(problem.key == path for problem in self.problems):
            return
        line = toml_lines.line_of(self.lines, path)
        self.problems.append(problems.Problem(self.file, line, path, message))


def _team(collector, tables):
    table = tables.get("team")
    if table is None:
        collector.add("team", "a table [team] is required")
        table = {}
    return TeamAnswers(**_values(collector, "team", table, questionnaire_keys.TEAM))


def _workloads(collector, tables):
    for kind in SECTIONS:
        entries = tables.get(kind, [])
        if not isinstance(entries, list):
            collector.add(kind, f"must be written [[{kind}]], one for each")
            continue
        for number, table in enumerate(entries):
            path = f"{kind}.{number}"
            rules = questionnaire_keys.WORKLOADS[kind]
            values = questionnaire_keys.UNASKED_DEFAULTS | _values(
                collector, path, table, rules
            )
            yield WorkloadAnswers(kind=kind, path=path, **values)


def _values(collector, path, table, rules):
    if not isinstance(table, dict):
        collector.add(path, "must be a table")
        table = {}
    for key in table:
        if key not in rules:
            collector.add(
                f"{path}.{key}", f"is no known key; known: {', '.join(rules)}"
            )
    return {
        key: _value(collector, f"{path}.{key}", rule, table.get(key, rule.default))
        for key, rule in rules.items()
    }


def _value(collector, path, rule, value):
    """Return the value of a key, or a placeholder of the right type if it is invalid.

    The placeholder lets the checks that follow report the mistakes of other keys. A
    second mistake at this path is not reported.
    """
    if value is None:
        collector.add(path, f"is required: {rule.doc}")
    elif type(value) not in rule.types:
        collector.add(path, f"must be {questionnaire_keys.TYPE_NAMES[rule.types]}")
    elif rule.types is questionnaire_keys.NUMBER and not 0 <= value < 1e12:
        collector.add(path, "must be a number of at least 0")
    else:
        return value
    return questionnaire_keys.PLACEHOLDERS[rule.types]


def _check_names(collector, workloads):
    lines = {}
    for workload in workloads:
        path = f"{workload.path}.name"
        if any(problem.key == path for problem in collector.problems):
            continue
        if workload.name in lines:
            message = (
                f"{workload.name!r} is already used on line {lines[workload.name]}"
            )
            collector.add(path, message)
        lines.setdefault(workload.name, toml_lines.line_of(collector.lines, path))


def _check_items(collector, answers):
    """Check each item and, if all of them are valid, the items of the team together."""
    paths = {configuration.team_key(answers.team.name): "team"}
    mistakes = configuration.check_team(_team_item(answers.team))
    workloads = []
    for answer in answers.workloads:
        item = _workload_item(answers.team.name, answer)
        paths[configuration.workload_key(item.team, item.name)] = answer.path
        workloads.append(item)
        own = configuration.check_workload(item)
        mistakes += [m for m in own if m.field != "team"]
    if not mistakes and not collector.problems:
        team = _team_item(answers.team)
        mistakes = configuration.check_team_workloads(team, workloads)
    for mistake in mistakes:
        key = KEY_OF_FIELD.get(mistake.field, mistake.field)
        collector.add(f"{paths[mistake.key]}.{key}", mistake.message)
