"""Mistakes found in an input file, with their location."""

import typing


class Problem(typing.NamedTuple):
    """One mistake; ``line`` counts from 1 and is 0 if it is unknown."""

    file: str
    line: int
    key: str
    message: str


def show(problem):
    """Format a mistake as ``file:line: key: message``."""
    return f"{problem.file}:{problem.line}: {problem.key}: {problem.message}"
