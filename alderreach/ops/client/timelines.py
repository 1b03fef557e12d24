"""The timeline of one request, job, task or worker, from the logs of several processes.

Log lines may have any prefix before their JSON object, and the lines of the processes
may be mixed in any order. Lines of one process are sorted by its monotonic clock.
Processes are merged by wall time; if a wall clock stepped back, its last value is used
until it has caught up, as on the time line. ``timeline_of`` converts lines to text and
reads no file.

The lines of the id are shown together with context lines, marked by a dot: changes of
leadership, starts and stops of processes, and events of the workers and frontends that
the timeline names. The cause of a failure is usually found there.
"""

import json
import typing

ID_FIELDS = ("job", "task", "path", "target", "request_id")
# Events shown as context of a timeline without having its id; see ``_context_filter``.
GLOBAL_EVENTS = (
    "leadership_gained",
    "leadership_lost",
    "process_started",
    "drain_started",
)
WORKER_EVENTS = (
    "lease_expired",
    "runs_not_listed",
    "worker_changed",
    "worker_clock_behind",
    "worker_unresponsive",
    "worker_gone",
    "worker_restarted",
)
PROCESS_EVENTS = ("contact_changed", "events_dropped")
# The cause may precede the first line by up to this time: an election, or the last
# second of a lease.
CONTEXT_BEFORE_MS = 2000
CONTEXT_AFTER_MS = 500
FIXED_FIELDS = ("wall_ms", "mono_ms", "process", "boot", "role", "event")


class Entry(typing.NamedTuple):
    """One log line; ``sort_ms`` orders it among those of other processes."""

    sort_ms: int
    process: str
    number: int
    fields: dict
    is_context: bool = False


def timeline_of(lines, wanted_id):
    """Format the lines that concern ``wanted_id``, oldest first; empty if none does."""
    entries = sorted(_read_entries(lines), key=lambda entry: entry[:3])
    own_entries = [entry for entry in entries if concerns(entry.fields, wanted_id)]
    if not own_entries:
        return ""
    is_context = _context_filter(own_entries)
    shown = [
        entry._replace(is_context=not concerns(entry.fields, wanted_id))
        for entry in entries
        if concerns(entry.fields, wanted_id) or is_context(entry)
    ]
    return "\n".join(_format_entry(entry, own_entries[0].sort_ms) for entry in shown)


def _context_filter(own_entries):
    """Return a predicate that selects the context entries of a timeline's own ones."""
    first_ms, last_ms = (
        own_entries[0].sort_ms - CONTEXT_BEFORE_MS,
        own_entries[-1].sort_ms + CONTEXT_AFTER_MS,
    )
    targets = {entry.fields.get("target", "") for entry in own_entries}
    processes = {entry.process for entry in own_entries}

    def is_context(entry):
        kind = entry.fields["event"]
        if not first_ms <= entry.sort_ms <= last_ms:
            return False
        if kind in WORKER_EVENTS:
            return entry.fields.get("target") in targets
        if kind in PROCESS_EVENTS:
            return entry.process in processes
        return kind in GLOBAL_EVENTS

    return is_context


def _read_entries(lines):
    """Parse all valid lines; the times of one process never decrease."""
    by_process = {}
    for line in lines:
        fields = _parse_line(line)
        if fields is not None:
            key = (fields["process"], fields["boot"])
            by_process.setdefault(key, []).append(fields)
    for (process, _boot), events in by_process.items():
        events.sort(key=lambda fields: fields["mono_ms"])
        latest_ms = 0
        for number, fields in enumerate(events):
            latest_ms = max(latest_ms, fields["wall_ms"])
            yield Entry(latest_ms, process, number, fields)


def _parse_line(line):
    start = line.find("{")
    if start < 0:
        return None
    try:
        fields = json.loads(line[start:])
    except ValueError:
        return None
    is_complete = all(name in fields for name in FIXED_FIELDS)
    return fields if is_complete else None


def concerns(fields, wanted_id):
    """Return whether a line has the id, a task of it, or a path that ends in it.

    >>> concerns({"task": "5c0e.0.1.2"}, "5c0e"), concerns({"job": "5c"}, "5c0e")
    (True, False)
    """
    values = [str(fields.get(name, "")) for name in ID_FIELDS]
    return any(
        value == wanted_id
        or value.startswith(f"{wanted_id}.")
        or value.endswith(f"/{wanted_id}")
        for value in values
    )


def _format_entry(entry, first_ms):
    rest = [
        f"{name}={value}"
        for name, value in entry.fields.items()
        if name not in FIXED_FIELDS and value != ""
    ]
    offset = f"{entry.sort_ms - first_ms:>7} ms"
    mark = "." if entry.is_context else " "
    event = entry.fields["event"]
    return "  ".join([f"{offset} {mark}", entry.process, event, *rest])
