"""Conversion of dates in command-line options to Unix time."""

import datetime

from result import Ok

from alderreach.ops.client import api

EXAMPLE = "2026-12-05T02:00Z"


def parse(text, name):
    """Parse a date and time with its zone as Unix milliseconds, or return a failure.

    >>> parse("1970-01-01T00:01Z", "--start").ok_value
    60000
    """
    try:
        parsed = datetime.datetime.fromisoformat(text)
    except ValueError:
        message = f"{name} {text!r} is no date and time such as {EXAMPLE}"
        return api.fail(api.EXIT_BAD_INPUT, message)
    if parsed.tzinfo is None:
        message = f"{name} {text!r} needs a time zone, such as Z in {EXAMPLE}"
        return api.fail(api.EXIT_BAD_INPUT, message)
    return Ok(round(parsed.timestamp() * 1000))
