"""The story of one request, job, task or worker, from the logs of several processes.

Log lines may come with anything before their JSON object and in any order of processes.
Lines of one process keep their order by its steady clock; processes are merged by wall
time, where a wall clock that stepped back is held at its last value, as on the time
line. ``story`` takes lines and returns text; it reads no file.
"""

import json
import typing

ID_FIELDS = ("job", "task", "path", "target", "request_id")
FIXED_FIELDS = ("wall_ms", "mono_ms", "process", "boot", "role", "event")


class Entry(typing.NamedTuple):
    """One log line that concerns the id."""

    placed_ms: int
    process: str
    number: int
    fields: dict


def story(lines, wanted):
    """The lines that concern ``wanted``, as text, oldest first; empty if none does."""
    entries = sorted(_entries(lines, wanted), key=lambda entry: entry[:3])
    if not entries:
        return ""
    first_ms = entries[0].placed_ms
    return "\n".join(_shown(entry, first_ms) for entry in entries)


def _entries(lines, wanted):
    by_process = {}
    for line in lines:
        fields = _parsed(line)
        if fields is not None:
            key = (fields["process"], fields["boot"])
            by_process.setdefault(key, []).append(fields)
    for (process, _boot), events in by_process.items():
        events.sort(key=lambda fields: fields["mono_ms"])
        latest_ms = 0
        for number, fields in enumerate(events):
            latest_ms = max(latest_ms, fields["wall_ms"])
            if concerns(fields, wanted):
                yield Entry(latest_ms, process, number, fields)


def _parsed(line):
    start = line.find("{")
    if start < 0:
        return None
    try:
        fields = json.loads(line[start:])
    except ValueError:
        return None
    known = all(name in fields for name in FIXED_FIELDS)
    return fields if known else None


def concerns(fields, wanted):
    """Whether a line is about the id: itself, a task of it, or a path that ends in it.

    >>> concerns({"task": "5c0e.0.1.2"}, "5c0e"), concerns({"job": "5c"}, "5c0e")
    (True, False)
    """
    values = [str(fields.get(name, "")) for name in ID_FIELDS]
    return any(
        value == wanted
        or value.startswith(f"{wanted}.")
        or value.endswith(f"/{wanted}")
        for value in values
    )


def _shown(entry, first_ms):
    rest = [
        f"{name}={value}"
        for name, value in entry.fields.items()
        if name not in FIXED_FIELDS and value != ""
    ]
    offset = f"{entry.placed_ms - first_ms:>7} ms"
    return "  ".join([offset, entry.process, entry.fields["event"], *rest])
