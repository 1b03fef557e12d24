"""The current teams, workloads and owners, decoded from the replicated map.

A catalog is immutable: the task that follows the keepers builds a new one for each
change, and all threads read the current one.
"""

import typing

import msgspec
from absl import logging

from alderreach.core import codec
from alderreach.core.generated import common

SERVICE = "service"


class Catalog(typing.NamedTuple):
    """Decoded items by name; ``version`` is the version of the map."""

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
    """Decode a ``replica.Replica``; items that can't be decoded are skipped."""
    found = {"team": {}, "workload": {}, "owner": {}}
    for key, item in copy.items.items():
        prefix, _, name = key.partition("/")
        if prefix not in KINDS:
            continue
        try:
            found[prefix][name] = codec.decode(item.value, KINDS[prefix])
        except msgspec.MsgspecError as error:
            logging.error("item %s can't be decoded: %s", key, error)
    workloads = found["workload"].values()
    services = {load.name: load for load in workloads if load.kind == SERVICE}
    by_team = {(load.team, load.name): load for load in workloads}
    return Catalog(copy.version, found["team"], services, by_team, found["owner"])
