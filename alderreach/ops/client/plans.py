"""Plans of configuration changes: the items in force compared with new ones.

Pure functions that convert a document of ``GET /v1/config`` and new items to the writes
of ``PUT /v1/config`` and a difference for display.
"""

import typing

from alderreach.core import plain_objects
from alderreach.core.generated import common
from alderreach.parser import configuration, difference

KINDS = {"team": common.Team, "workload": common.Workload}


class Plan(typing.NamedTuple):
    """The changes of an apply: ``writes`` for the API, ``lines`` for display.

    ``summary`` is stored in the history; it lists new and deleted items by key only.
    """

    writes: list
    lines: list
    summary: str


def plan(document, team_name, new_items):
    """Plan the changes from a team's items in force to the new ones.

    ``document`` is the answer of ``GET /v1/config``. Items that are in force but not in
    ``new_items`` are deleted.
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
    """Return the versions and the records of a team's items in force, by key."""
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
