"""Mistakes found in a text, collected and shown together with their place."""

import typing


class Problem(typing.NamedTuple):
    """One mistake; ``line`` counts from 1, 0 where no line can be named."""

    file: str
    line: int
    key: str
    message: str


def show(problem):
    """One line for people: ``file:line: key: message``."""
    return f"{problem.file}:{problem.line}: {problem.key}: {problem.message}"
