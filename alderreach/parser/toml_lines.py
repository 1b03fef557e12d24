"""Line numbers of the keys of a TOML text, for error messages.

``tomllib`` returns values without positions. This module scans only table headers and
the start of assignments, which is enough for the flat files of this project: tables,
arrays of tables and plain keys. Keys inside inline tables get their parent's line.
"""

import re

HEADER = re.compile(r"^\s*(\[\[?)\s*([^\]]+?)\s*\]\]?\s*(#.*)?$")
ASSIGNMENT = re.compile(r"^\s*([A-Za-z0-9_.\"-]+)\s*=")


def locate(text):
    """Map dotted paths to line numbers.

    Entries of arrays of tables are numbered: the second ``[[peer]]``'s name is
    ``peer.1.name``.

    >>> locate('[process]\\nname = "a"')["process.name"]
    2
    """
    lines, prefix, counts = {}, "", {}
    for number, line in enumerate(text.splitlines(), 1):
        header = HEADER.match(line)
        if header:
            prefix = _table_path(header.group(1), header.group(2), counts)
            lines.setdefault(prefix, number)
            continue
        assignment = ASSIGNMENT.match(line)
        if assignment:
            key = assignment.group(1).replace('"', "")
            lines.setdefault(f"{prefix}.{key}" if prefix else key, number)
    return lines


def line_of(lines, path):
    """Return the line of ``path``, or else of its nearest known parent, or else 1."""
    while path:
        if path in lines:
            return lines[path]
        path = path.rpartition(".")[0]
    return 1


def line_of_error(error):
    """Return the line in a ``tomllib.TOMLDecodeError``'s text, or 0 if it has none."""
    words = str(error).replace(",", "").split()
    if "line" not in words:
        return 0
    return int(words[words.index("line") + 1])


def _table_path(brackets, name, counts):
    parts, path = name.replace('"', "").split("."), ""
    for position, part in enumerate(parts):
        path = f"{path}.{part}" if path else part
        last = position == len(parts) - 1
        if brackets == "[[" and last:
            counts[path] = counts.get(path, -1) + 1
        if path in counts:
            path = f"{path}.{counts[path]}"
    return path
