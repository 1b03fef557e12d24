"""The difference between two sets of configuration items, for display.

>>> show(difference({}, {"team/kai-tahi": team}))  # doctest: +SKIP
['+ team/kai-tahi', '    objective: packing', ...]
"""

import typing

from alderreach.core import plain_objects


class Difference(typing.NamedTuple):
    """One item that differs; ``fields`` holds (dotted field, old, new) tuples."""

    sign: str
    key: str
    fields: tuple


def difference(old, new):
    """Compare two dictionaries of records by key; return the differences sorted by key.

    The sign is ``+`` for a new item, ``-`` for a deleted one and ``~`` for a changed
    one. A changed item lists only the fields that changed.
    """
    found = []
    for key in sorted(old.keys() | new.keys()):
        before, after = _flatten(old.get(key)), _flatten(new.get(key))
        if before == after:
            continue
        sign = "+" if key not in old else "-" if key not in new else "~"
        names = after if sign != "-" else before
        fields = tuple(
            (name, before.get(name), after.get(name))
            for name in names
            if before.get(name) != after.get(name)
        )
        found.append(Difference(sign, key, fields))
    return found


def show(differences):
    """Format differences as lines of text."""
    lines = []
    for entry in differences:
        lines.append(f"{entry.sign} {entry.key}")
        if entry.sign == "-":
            continue
        for name, old, new in entry.fields:
            text = f"{old} -> {new}" if entry.sign == "~" else str(new)
            lines.append(f"    {name}: {text}")
    return lines


def _flatten(record, prefix=""):
    """Return the fields of a record by dotted name."""
    if record is None:
        return {}
    flat = {}
    for name in record._fields:
        value = getattr(record, name)
        if hasattr(value, "_fields"):
            flat |= _flatten(value, f"{prefix}{name}.")
        else:
            flat[f"{prefix}{name}"] = plain_objects.to_object(value)
    return flat
