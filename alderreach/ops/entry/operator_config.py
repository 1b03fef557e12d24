"""The configuration for operators: show it, change it, and its history of changes.

``PUT /v1/config`` takes a list of writes, each with the version of the item that it is
based on, and optionally a ``summary`` of the change for the history. All writes are
checked together against the configuration in force, and accepted together or not at
all.
"""

import typing

from result import Err, Ok

from alderreach.core import codec, plain_objects, ranges
from alderreach.core.generated import common, errors, keeper
from alderreach.ops.entry import (
    operator_changes,
    operator_http,
    operator_maintenance,
    operator_owners,
)
from alderreach.parser import configuration

KINDS = {
    "team": common.Team,
    "workload": common.Workload,
    "maintenance": common.MaintenanceWindow,
}
PREFIXES = tuple(f"{kind}/" for kind in KINDS)
HISTORY_LIMIT = 50
MAX_WRITES = 1000
ANY_VERSION = -1


class Write(typing.NamedTuple):
    """One requested write; ``record`` is None for a deletion."""

    key: str
    base_version: int
    record: typing.Any


def show(deps, request):
    """GET /v1/config?prefix= : the items under a prefix with their versions."""
    prefix = request.query.get("prefix", "")
    wanted = [known for known in PREFIXES if _overlap(known, prefix)]
    if not wanted:
        detail = f"prefix must begin with one of {', '.join(PREFIXES)}"
        return operator_http.refuse(errors.Kind.MALFORMED_REQUEST, detail)
    version, items, current = read_config(deps.gateway, wanted)
    shown = [
        {"key": key, "version": item.version, "value": plain_objects.to_object(record)}
        for key, (item, record) in sorted(items.items())
        if key.startswith(prefix)
    ]
    return Ok({"version": version, "current": current, "items": shown})


def _overlap(known, prefix):
    return known.startswith(prefix) or prefix.startswith(known)


def read_config(gateway, prefixes=PREFIXES):
    """Read the items under the prefixes and their records, currently if possible.

    Returns ``(version, {key: (Item, record)}, current)``.
    """
    found, newest, current = {}, 0, True
    for prefix in prefixes:
        kind = KINDS[prefix.partition("/")[0]]
        if current:
            version, items, current = operator_changes.read(gateway, prefix)
        else:
            version, items = operator_changes.read_copy(gateway, prefix)
        newest = max(newest, version)
        for key, item in items.items():
            found[key] = (item, codec.decode(item.value, kind))
    return newest, found, current


def history(deps, request):
    """GET /v1/config/history?limit= : the newest accepted changes, newest first."""
    limit = operator_http.read_count(
        request, "limit", HISTORY_LIMIT, operator_changes.CHANGES_KEPT
    )
    if isinstance(limit, Err):
        return limit
    prefix = operator_changes.CHANGE_PREFIX
    _version, items, current = operator_changes.read(deps.gateway, prefix)
    newest = sorted(items.values(), key=lambda item: item.version, reverse=True)
    changes = [
        {"version": item.version} | codec.decode(item.value, common.Change)._asdict()
        for item in newest[: limit.ok_value]
    ]
    return Ok({"current": current, "changes": changes})


def write(deps, request):
    """PUT /v1/config: check all writes together, then commit them atomically."""
    limits = deps.context.settings.limits
    body = operator_http.read_keyed_object(request, limits)
    if isinstance(body, Err):
        return body
    writes, mistakes = parse_writes(body.ok_value.get("writes"))
    if mistakes:
        return _invalid(mistakes)
    _version, items, current = read_config(deps.gateway)
    if not current:
        return operator_changes.no_quorum()
    # Called after the read, so that a change whose effect was read is found here.
    earlier = operator_changes.find_earlier_result(deps, request)
    if earlier is not None:
        return earlier
    before = {key: record for key, (_item, record) in items.items()}
    if not has_version_conflict(items, writes):
        mistakes = check(deps, request, before, writes)
        if mistakes:
            return _invalid(mistakes)
    encoded = [_item_write(entry) for entry in writes] + name_claims(before, writes)
    summary = str(body.ok_value.get("summary", ""))
    return operator_changes.commit(deps, request, encoded, summary)


def name_claims(before, writes):
    """Return writes that claim and release service names, unique in the cell.

    Two operators may declare services of the same name for two teams concurrently. Both
    checks would pass, since neither service is in force yet, and callers of one would
    reach the other. Both claims are the same item, which only one of them can create.
    """
    claims = []
    for entry in writes:
        if not entry.key.startswith("workload/"):
            continue
        old, new = before.get(entry.key), entry.record
        was, is_now = _is_service(old), _is_service(new)
        if was and not is_now:
            claims.append(keeper.ItemWrite(f"service/{old.name}", ANY_VERSION, None))
        if is_now and not was:
            value = codec.encode(entry.key)
            claims.append(keeper.ItemWrite(f"service/{new.name}", 0, value))
    return claims


def _is_service(record):
    return record is not None and record.kind == "service"


def _item_write(entry):
    value = None if entry.record is None else codec.encode(entry.record)
    return keeper.ItemWrite(entry.key, entry.base_version, value)


def _invalid(mistakes):
    shown = [mistake._asdict() for mistake in mistakes]
    detail = "; ".join(f"{m.key}: {m.field}: {m.message}" for m in mistakes)
    kind = errors.Kind.INVALID_CONFIGURATION
    return operator_http.refuse(kind, detail, mistakes=shown)


def parse_writes(entries):
    """Read the list of writes; returns ``(list[Write], list[Mistake])``."""
    if not isinstance(entries, list) or not 1 <= len(entries) <= MAX_WRITES:
        message = f"must be a list of 1 to {MAX_WRITES} writes"
        return [], [configuration.Mistake("", "writes", message)]
    writes, mistakes, keys = [], [], set()
    for entry in entries:
        one, found = _parse_write(entry)
        mistakes += found
        if one is None:
            continue
        if one.key in keys:
            mistakes.append(configuration.Mistake(one.key, "key", "is written twice"))
        keys.add(one.key)
        writes.append(one)
    return writes, mistakes


def _parse_write(entry):
    if not isinstance(entry, dict) or not isinstance(entry.get("key"), str):
        message = "each write needs a key, a base_version and a value"
        return None, [configuration.Mistake("", "writes", message)]
    key, base_version = entry["key"], entry.get("base_version")
    kind = KINDS.get(key.partition("/")[0])
    if kind is None:
        message = f"must begin with one of {', '.join(PREFIXES)}"
        return None, [configuration.Mistake(key, "key", message)]
    is_whole = type(base_version) is int
    if not is_whole or not 0 <= base_version <= ranges.ORDINAL_MAX:
        message = "must be the version it was made from; 0 for a new item"
        return None, [configuration.Mistake(key, "base_version", message)]
    if entry.get("value") is None:
        return Write(key, base_version, None), []
    record, found = plain_objects.from_object(kind, entry["value"])
    if record is None:
        return None, [configuration.Mistake(key, field, text) for field, text in found]
    if key != key_of(record):
        message = f"must be {key_of(record)} after the value's own names"
        return None, [configuration.Mistake(key, "key", message)]
    return Write(key, base_version, record), []


def key_of(record):
    """Return the key under which a record is stored."""
    if isinstance(record, common.Team):
        return configuration.team_key(record.name)
    if isinstance(record, common.Workload):
        return configuration.workload_key(record.team, record.name)
    return f"maintenance/{record.window_id}"


def apply_writes(before, writes):
    """Return the configuration that the writes would result in."""
    after = dict(before)
    for entry in writes:
        after.pop(entry.key, None)
        if entry.record is not None:
            after[entry.key] = entry.record
    return after


def has_version_conflict(items, writes):
    """Whether an item's version has changed since the one a write is based on.

    The keepers then refuse the writes and name the author of the other change. Checking
    them against the configuration in force would instead report mistakes that the other
    change introduced.
    """
    return any(
        one.key in items and items[one.key][0].version != one.base_version
        for one in writes
    )


def check(deps, request, before, writes):
    """Return all mistakes of the writes, alone and with the configuration in force."""
    mistakes, touched = [], set()
    now_ms = request.asked_wall_ms or deps.context.clock.wall_ms()
    for entry in writes:
        record = entry.record
        if not entry.key.startswith("maintenance/"):
            touched.add(entry.key)
        if record is None and entry.key not in before:
            mistakes.append(configuration.Mistake(entry.key, "key", "does not exist"))
        elif isinstance(record, common.Team):
            mistakes += configuration.check_team(record)
        elif isinstance(record, common.Workload):
            mistakes += configuration.check_workload(record)
            mistakes += _check_home(deps, entry.key, record)
        elif record is not None:
            mistakes += operator_maintenance.check(deps, record, now_ms)
    if not mistakes:
        mistakes += configuration.check_items(apply_writes(before, writes), touched)
    return mistakes


def _check_home(deps, key, workload):
    known = operator_owners.failure_domains(deps.context.settings)
    if workload.home_failure_domain and workload.home_failure_domain not in known:
        message = f"must be one of {', '.join(known)}"
        return [configuration.Mistake(key, "home_failure_domain", message)]
    return []
