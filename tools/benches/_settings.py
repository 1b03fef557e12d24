"""Temporarily replaces constants and functions of the decisions, for sweeps."""

import contextlib


@contextlib.contextmanager
def setting(module, name, value):
    """Set an attribute of a module or class for the duration of the context."""
    before = getattr(module, name)
    setattr(module, name, value)
    try:
        yield
    finally:
        setattr(module, name, before)


def star(module, name, value):
    """The mark of a sweep's row: a star for the value in use."""
    return "*" if getattr(module, name) == value else " "
