"""Plans of configuration changes: from a questionnaire's items and those in force.

Plain functions: documents of ``GET /v1/config`` in, the writes of ``PUT /v1/config``
and the difference for people out.
"""

import typing

from alderreach.core import plain_objects
from alderreach.core.generated import common
from alderreach.parser import configuration, difference

KINDS = {"team": common.Team, "workload": common.Workload}


class Plan(typing.NamedTuple):
    """What an apply would do: ``writes`` for the API, ``lines`` for people.

    ``summary`` is kept in the history: new and deleted items by key alone.
    """

    writes: list
    lines: list
    summary: str


def plan(document, team_name, new_items):
    """Compare a team's items in force with the ones generated.

    ``document`` is what ``GET /v1/config`` answered. Workloads that are in force but no
    longer in the questionnaire are deleted.
    """
    versions, old_items = items_of_team(document, team_name)
    differences = difference.difference(old_items, new_items)
    writes = [
        {
            "key": entry.key,
            "base_version": versions.get(entry.key, 0),
            "value": plain_objects.to_object(new_items.get(entry.key)),
        }
        for entry in differences
    ]
    summary = "; ".join(_summarize(entry) for entry in differences)
    return Plan(writes, difference.show(differences), summary)


def _summarize(entry):
    text = f"{entry.sign} {entry.key}"
    if entry.sign != "~":
        return text
    changes = [f"{name} {old} -> {new}" for name, old, new in entry.fields]
    return f"{text}: {', '.join(changes)}"


def items_of_team(document, team_name):
    """The versions and the records of a team's items in force, each by key."""
    versions, items = {}, {}
    own_prefix = configuration.workload_key(team_name, "")
    for item in document["items"]:
        key = item["key"]
        if key != configuration.team_key(team_name) and not key.startswith(own_prefix):
            continue
        kind = KINDS[key.partition("/")[0]]
        record, _mistakes = plain_objects.from_object(kind, item["value"])
        versions[key] = item["version"]
        items[key] = record
    return versions, items
