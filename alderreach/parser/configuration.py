"""Validation of a team's configuration.

The questionnaire and the operators' HTTP API both use these checks, so both report a
mistake in the same words. Checks are plain functions from records to a list of
``Mistake``; none of them stops at the first mistake.
"""

import collections
import re
import typing

from alderreach.core.generated import common

NAME = re.compile(r"[a-z][a-z0-9-]{0,62}\Z")
NAME_RULE = "must start with a letter a-z and go on with a-z, 0-9 or -, 63 at most"
OBJECTIVES = ("waiting", "packing")
KINDS = ("service", "batch", "gang")
WHEN_CUT_OFF = ("stay", "move")
HOUR_MS = 3_600_000
MONTH_MS = 31 * 24 * HOUR_MS
# Limits of one task: far above the size of any current VM, and far below the value that
# a wrong unit gives (bytes instead of MiB).
TASK_CPU_MILLIS_MAX = 1_024_000
TASK_MEMORY_MB_MAX = 24 * 1024 * 1024
TASK_ACCELERATORS_MAX = 64
# Limits of a team's quota.
QUOTA_CPU_MILLIS_MAX = 100_000 * 128_000
QUOTA_MEMORY_MB_MAX = 100_000 * 1024 * 1024
QUOTA_ACCELERATORS_MAX = 240_000
TASKS_MAX = 160_000
WEIGHT_MAX = 1000
SLOTS_MAX = 10_000
CONNECTIONS_MAX = 100_000
PRIORITY_MAX = 9
SERVICE_DEADLINE_MS_MAX = HOUR_MS


class Mistake(typing.NamedTuple):
    """One mistake: the item's key, the dotted field and an error message."""

    key: str
    field: str
    message: str


def team_key(name):
    """Return the key of a team's item."""
    return f"team/{name}"


def workload_key(team, name):
    """Return the key of a workload's item."""
    return f"workload/{team}/{name}"


def check_team(team):
    """Check the fields of a team."""
    checker = _ItemChecker(team_key(team.name))
    checker.check_name("name", team.name)
    checker.check_choice("objective", team.objective, OBJECTIVES)
    checker.check_range("weight", team.weight, 1, WEIGHT_MAX)
    checker.check_range(
        "quota.cpu_millis", team.quota.cpu_millis, 1, QUOTA_CPU_MILLIS_MAX
    )
    checker.check_range("quota.memory_mb", team.quota.memory_mb, 1, QUOTA_MEMORY_MB_MAX)
    checker.check_range(
        "quota.accelerators", team.quota.accelerators, 0, QUOTA_ACCELERATORS_MAX
    )
    return checker.mistakes


def check_workload(workload):
    """Check the fields of a workload."""
    checker = _ItemChecker(workload_key(workload.team, workload.name))
    checker.check_name("name", workload.name)
    checker.check_name("team", workload.team)
    checker.check_choice("kind", workload.kind, KINDS)
    checker.check_choice("when_cut_off", workload.when_cut_off, WHEN_CUT_OFF)
    task = workload.task
    checker.check_range("task.cpu_millis", task.cpu_millis, 1, TASK_CPU_MILLIS_MAX)
    checker.check_range("task.memory_mb", task.memory_mb, 1, TASK_MEMORY_MB_MAX)
    checker.check_range(
        "task.accelerators", task.accelerators, 0, TASK_ACCELERATORS_MAX
    )
    checker.check_range("tasks", workload.tasks, 1, TASKS_MAX)
    checker.check_range("priority", workload.priority, 0, PRIORITY_MAX)
    checker.check_range("expected_run_ms", workload.expected_run_ms, 0, MONTH_MS)
    if workload.kind == "service":
        _check_service(checker, workload)
    else:
        checker.check_range("deadline_ms", workload.deadline_ms, 0, MONTH_MS)
        checker.check_range("slots", workload.slots, 0, 0)
        checker.check_range("connections", workload.connections, 0, 0)
    return checker.mistakes


def _check_service(checker, workload):
    checker.check_range("deadline_ms", workload.deadline_ms, 1, SERVICE_DEADLINE_MS_MAX)
    checker.check_range("slots", workload.slots, 1, SLOTS_MAX)
    checker.check_range("connections", workload.connections, 1, CONNECTIONS_MAX)
    if 0 < workload.connections < workload.slots:
        checker.add(
            "connections",
            f"must be at least the {workload.slots} slots, or some can't be reached",
        )


def check_team_workloads(team, workloads):
    """Check a team's workloads against its quota, one by one and in total."""
    mistakes = []
    for workload in workloads:
        mistakes += _check_against_quota(team, workload)
    services = [workload for workload in workloads if workload.kind == "service"]
    if not any(mistake.field == "tasks" for mistake in mistakes):
        mistakes += _check_services_together(team, services)
    return mistakes


def _check_against_quota(team, workload):
    key = workload_key(workload.team, workload.name)
    for field in common.Resources._fields:
        requested, quota = getattr(workload.task, field), getattr(team.quota, field)
        if requested > quota:
            message = f"one task asks for more than the team's quota, {quota}"
            yield Mistake(key, f"task.{field}", message)
            return
    if workload.kind == "batch":
        return
    for field in common.Resources._fields:
        needed = getattr(workload.task, field) * workload.tasks
        quota = getattr(team.quota, field)
        if needed > quota:
            what = "all tasks at once" if workload.kind == "gang" else "all runners"
            message = f"{what} need {field} {needed}, above the team's quota {quota}"
            yield Mistake(key, "tasks", message)
            return


def _check_services_together(team, services):
    for field in common.Resources._fields:
        needed = sum(getattr(s.task, field) * s.tasks for s in services)
        quota = getattr(team.quota, field)
        if needed > quota:
            message = f"the services together need {needed}, above the quota {quota}"
            yield Mistake(team_key(team.name), f"quota.{field}", message)


def check_items(items, changed_keys):
    """Check the complete map of ``key -> Team | Workload`` after a change of some keys.

    Only the teams that own a changed key are checked, so that a change is not rejected
    for another team's mistake. A service's name is compared with those of all teams.
    """
    mistakes = []
    workloads = collections.defaultdict(list)
    for key, record in items.items():
        if key.startswith("workload/"):
            workloads[record.team].append(record)
    for name in sorted({key.split("/")[1] for key in changed_keys}):
        team = items.get(team_key(name))
        if team is None:
            mistakes += [
                Mistake(workload_key(name, w.name), "team", f"no team {name!r}")
                for w in workloads[name]
            ]
        else:
            mistakes += check_team_workloads(team, workloads[name])
    return [*mistakes, *_check_service_names(items, changed_keys)]


def _check_service_names(items, changed_keys):
    owners = collections.defaultdict(list)
    for key, record in items.items():
        if key.startswith("workload/") and record.kind == "service":
            owners[record.name].append(key)
    for keys in owners.values():
        for key in keys:
            if len(keys) > 1 and key in changed_keys:
                others = ", ".join(other for other in keys if other != key)
                yield Mistake(key, "name", f"this service's name is taken by {others}")


class _ItemChecker:
    """Checks the fields of one item and collects the mistakes."""

    def __init__(self, key):
        self.key = key
        self.mistakes = []

    def add(self, field, message):
        """Add a mistake."""
        self.mistakes.append(Mistake(self.key, field, message))

    def check_name(self, field, value):
        """Check that a name is valid in a key and in a URL."""
        if not NAME.match(value):
            self.add(field, f"{value!r} {NAME_RULE}")

    def check_choice(self, field, value, choices):
        """Check that a value is one of the choices."""
        if value not in choices:
            self.add(field, f"{value!r} must be {' or '.join(choices)}")

    def check_range(self, field, value, low, high):
        """Check that a number is in its range."""
        if not low <= value <= high:
            wanted = (
                f"must be {low}" if low == high else f"must be from {low} to {high}"
            )
            self.add(field, wanted)
