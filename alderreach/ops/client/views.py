"""Formatting of the documents of the operators' HTTP API as lines of text."""

import datetime

EMPTY = "none"
# A keeper's detail has each follower's version under this prefix. It is omitted, since
# the followers' own rows show it.
FOLLOWER_VERSIONS = "version."


def table(headers, rows):
    """Format rows as columns, each padded to its widest cell.

    >>> table(("name", "tasks"), [("a", 3)])
    ['name  tasks', 'a     3']
    """
    cells = [tuple(str(cell) for cell in row) for row in (headers, *rows)]
    widths = [max(len(row[i]) for row in cells) for i in range(len(headers))]
    lines = []
    for row in cells:
        padded = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        lines.append("  ".join(padded).rstrip())
    return lines


def rows_or_none(headers, rows):
    """Format a table, or ``EMPTY`` if there are no rows."""
    return table(headers, rows) if rows else [EMPTY]


def format_time(wall_ms):
    """Format a Unix time in milliseconds as UTC; a dash if it is unknown."""
    if not wall_ms:
        return "-"
    time_utc = datetime.datetime.fromtimestamp(wall_ms / 1000, datetime.UTC)
    return time_utc.strftime("%Y-%m-%dT%H:%M:%SZ")


def teams(document):
    """Format all teams, a line each."""
    rows = []
    for item in document["items"]:
        team, quota = item["value"], item["value"]["quota"]
        rows.append(
            (
                team["name"],
                team["objective"],
                team["weight"],
                processors(quota),
                gigabytes(quota),
                quota["accelerators"],
                item["version"],
            )
        )
    headers = ("team", "objective", "weight", "processors", "memory GiB")
    return rows_or_none((*headers, "accelerators", "version"), rows)


def workloads(document):
    """Format all workloads, a line each."""
    rows = []
    for item in document["items"]:
        workload, task = item["value"], item["value"]["task"]
        rows.append(
            (
                workload["team"],
                workload["name"],
                workload["kind"],
                workload["tasks"],
                processors(task),
                gigabytes(task),
                workload["priority"],
                workload["when_cut_off"],
                item["version"],
            )
        )
    headers = ("team", "workload", "kind", "tasks", "processors", "memory GiB")
    return rows_or_none((*headers, "priority", "cut off", "version"), rows)


def processors(resources):
    """Format the processors of resources, without trailing zeros."""
    return f"{resources['cpu_millis'] / 1000:g}"


def gigabytes(resources):
    """Format the memory of resources in GiB, without trailing zeros."""
    return f"{resources['memory_mb'] / 1024:g}"


def items(document):
    """Format configuration items in full: key, version and each field."""
    lines = [f"version {document['version']}"]
    if not document["current"]:
        lines.append(NOT_CURRENT)
    for item in document["items"]:
        lines.append(f"{item['key']} (version {item['version']})")
        lines += [f"    {name}: {value}" for name, value in flatten(item["value"])]
    return lines


NOT_CURRENT = "the quorum can't be reached; this is the entry's last copy"


def flatten(value, prefix=""):
    """Yield the fields of an object, with dotted names for nested objects."""
    for name, entry in value.items():
        if isinstance(entry, dict):
            yield from flatten(entry, f"{prefix}{name}.")
        else:
            yield f"{prefix}{name}", entry


def history(document):
    """Format accepted changes, newest first."""
    rows = [
        (change["version"], format_time(change["wall_ms"]), change["author"])
        + (change["summary"],)
        for change in document["changes"]
    ]
    return rows_or_none(("version", "asked at", "operator", "change"), rows)


def windows(document):
    """Format maintenance windows, earliest first."""
    rows = [
        (
            window["window_id"],
            window["failure_domain"],
            format_time(window["start_wall_ms"]),
            format_time(window["end_wall_ms"]),
            " ".join([*window["vms"], *(f"rack:{r}" for r in window["racks"])]),
        )
        for window in document["windows"]
    ]
    return rows_or_none(("window", "failure domain", "start", "end", "what"), rows)


def jobs(document):
    """Format jobs, newest first."""
    rows = [
        (
            job["job_id"],
            job["team"],
            job["workload"],
            job["kind"],
            job["state"],
            f"{job['running']}/{job['finished']}/{job['failed']}/{job['tasks']}",
            format_time(job["submitted_wall_ms"]),
            job["reason"],
        )
        for job in document["jobs"]
    ]
    headers = ("job", "team", "workload", "kind", "state")
    headers += ("run/done/failed/all", "submitted", "reason")
    return rows_or_none(headers, rows) + _unreachable_lines(document, "failure domains")


def job(document):
    """Format one job in full."""
    lines = [f"{name}: {value}" for name, value in document.items() if name != "tasks"]
    views = document["tasks"]
    rows = [(v["task_id"], v["attempt"], v["state"], v["worker_id"]) for v in views]
    if rows:
        lines += table(("task", "attempt", "state", "worker"), rows)
    return lines


def targets(document):
    """Format targets, a line each."""
    rows = []
    for target in document["targets"]:
        reserved, capacity = target["reserved"], target["capacity"]
        worker = target["kind"] == "worker"
        used = f"{processors(reserved)}/{processors(capacity)}" if worker else "-"
        memory = f"{gigabytes(reserved)}/{gigabytes(capacity)}" if worker else "-"
        rows.append(
            (
                target["target_id"],
                target["kind"],
                target["failure_domain"],
                target["rack"],
                target["vm"],
                target["state"],
                used,
                memory,
                target["tasks"],
                target["note"],
            )
        )
    headers = ("target", "kind", "failure domain", "rack", "vm", "state")
    headers += ("processors", "memory GiB", "tasks", "note")
    return rows_or_none(headers, rows) + _unreachable_lines(document, "failure domains")


def members(document):
    """Format the keepers' membership, a line each."""
    rows = []
    for member in document["members"]:
        part = "voter" if member["voter"] else "learner"
        if member["promote"]:
            part = "learner, promoted once it has caught up"
        rows.append((member["name"], member["identity"], member["address"], part))
    return rows_or_none(("keeper", "identity", "address", "part"), rows)


def status(document):
    """Format the state of the cell and of each process."""
    lines = [f"version {document['version']}"]
    lines.append("quorum: " + ("yes" if document["quorum"] else "no leader answered"))
    rows = []
    for row in document["processes"]:
        detail = " ".join(
            f"{key}={value}"
            for key, value in row["detail"].items()
            if not key.startswith(FOLLOWER_VERSIONS)
        )
        lag = "lags" if row["lagging"] else ""
        version = row["version_in_force"] if row["reachable"] else "-"
        rows.append(
            (
                row["process"],
                row["failure_domain"],
                row["state"],
                version,
                lag,
                detail,
            )
        )
    headers = ("process", "failure domain", "state", "version", "", "detail")
    return lines + table(headers, rows) + _unreachable_lines(document, "processes")


def timeline(document):
    """Format events, a line each, oldest first."""
    lines = []
    for event in document["events"]:
        ids = " ".join(
            f"{name}={event[field]}"
            for name, field in EVENT_IDS
            if event[field] not in ("", 0)
        )
        time_utc = datetime.datetime.fromtimestamp(
            event["wall_ms"] / 1000, datetime.UTC
        )
        text = time_utc.strftime("%H:%M:%S.") + f"{event['wall_ms'] % 1000:03}"
        parts = (text, event["process"], event["kind"], ids, event["detail"])
        lines.append("  ".join(part for part in parts if part))
    return (lines or [EMPTY]) + _unreachable_lines(document, "processes")


EVENT_IDS = (
    ("epoch", "epoch"),
    ("request", "request_id"),
    ("job", "job_id"),
    ("task", "task_id"),
    ("target", "target_id"),
    ("team", "team"),
)


def _unreachable_lines(document, what):
    names = document.get("unreachable", [])
    return [f"no answer from {what}: {', '.join(names)}"] if names else []
