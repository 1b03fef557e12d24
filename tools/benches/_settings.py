"""Decisions' constants and functions exchanged for a while, in sweeps."""

import contextlib


@contextlib.contextmanager
def setting(module, name, value):
    """Give a module's attribute another value for a while."""
    before = getattr(module, name)
    setattr(module, name, value)
    try:
        yield
    finally:
        setattr(module, name, before)


def star(module, name, value):
    """A mark for the value that is in use."""
    return "*" if getattr(module, name) == value else " "
