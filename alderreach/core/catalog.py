"""Teams and workloads in force, decoded from the replicated map.

A catalog is immutable: the task that follows the keepers makes a new one for each
change, and every thread reads whichever is current.
"""

import typing

import msgspec
from absl import logging

from alderreach.core import codec
from alderreach.core.generated import common

SERVICE = "service"


class Catalog(typing.NamedTuple):
    """What the entry looks names up in; ``version`` is the map's."""

    version: int
    teams: dict[str, common.Team]
    services: dict[str, common.Workload]
    workloads: dict[tuple[str, str], common.Workload]
    owners: dict[str, common.Owner]


EMPTY = Catalog(0, {}, {}, {}, {})
KINDS = {
    "team": common.Team,
    "workload": common.Workload,
    "owner": common.Owner,
}


def build(copy):
    """Decode a ``replica.Replica``; an item that can't be decoded is left out."""
    found = {"team": {}, "workload": {}, "owner": {}}
    for key, item in copy.items.items():
        prefix, _, name = key.partition("/")
        if prefix not in KINDS:
            continue
        try:
            found[prefix][name] = codec.decode(item.value, KINDS[prefix])
        except msgspec.MsgspecError as error:
            logging.error("item %s is not readable: %s", key, error)
    workloads = found["workload"].values()
    services = {load.name: load for load in workloads if load.kind == SERVICE}
    by_team = {(load.team, load.name): load for load in workloads}
    return Catalog(copy.version, found["team"], services, by_team, found["owner"])
