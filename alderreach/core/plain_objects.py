"""Conversion of schema records to plain objects for JSON, and back.

``msgspec`` encodes a ``NamedTuple`` as an array, but people and other programs need
objects with field names. Reading back is strict: every field that is missing, unknown
or of the wrong type is reported with its dotted path, all of them at once.
"""

import types
import typing

from alderreach.core import ranges


def to_object(value):
    """Convert a record, including nested records and lists, to plain dictionaries.

    >>> to_object(common.Resources(1000, 512, 0))["cpu_millis"]  # doctest: +SKIP
    1000
    """
    if hasattr(value, "_fields"):
        return {name: to_object(getattr(value, name)) for name in value._fields}
    if isinstance(value, list | tuple):
        return [to_object(entry) for entry in value]
    if isinstance(value, dict):
        return {key: to_object(entry) for key, entry in value.items()}
    return value


def from_object(kind, value, path=""):
    """Read a record of type ``kind``; returns ``(record, [(path, message), ...])``.

    The record is None if anything is wrong with it.
    """
    if not isinstance(value, dict):
        return None, [(path, "must be an object")]
    prefix = f"{path}." if path else ""
    hints = typing.get_type_hints(kind)
    mistakes = [
        (f"{prefix}{name}", "is no known field") for name in value if name not in hints
    ]
    fields = {}
    for name, hint in hints.items():
        fields[name] = _read(hint, value, name, f"{prefix}{name}", mistakes)
    return (None, mistakes) if mistakes else (kind(**fields), [])


def _read(hint, value, name, path, mistakes):
    if name not in value:
        mistakes.append((path, "is missing"))
        return None
    entry = value[name]
    if hasattr(hint, "_fields"):
        record, inner = from_object(hint, entry, path)
        mistakes.extend(inner)
        return record
    if not _fits(hint, entry):
        mistakes.append((path, f"must be {_type_label(hint)}"))
    elif type(entry) is int and abs(entry) > ranges.ORDINAL_MAX:
        most = ranges.ORDINAL_MAX
        mistakes.append((path, f"must be from -{most} to {most}"))
    return entry


def _fits(hint, value):
    if isinstance(hint, types.UnionType):
        return any(_fits(option, value) for option in typing.get_args(hint))
    if typing.get_origin(hint) is list:
        (inner,) = typing.get_args(hint)
        return isinstance(value, list) and all(_fits(inner, entry) for entry in value)
    return type(value) is hint


def _type_label(hint):
    names = {int: "a whole number", str: "a text", bool: "true or false"}
    if typing.get_origin(hint) is list:
        return "a list of texts"
    return names.get(hint, str(hint))
