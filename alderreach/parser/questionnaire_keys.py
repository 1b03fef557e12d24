"""The keys of a questionnaire: types, default and description of each one.

The parser validates by these tables and ``questionnaire new`` prints them as comments,
so the template and the checks can't diverge.
"""

import typing

TEXT = (str,)
INTEGER = (int,)
NUMBER = (int, float)
BOOLEAN = (bool,)
TYPE_NAMES = {
    TEXT: "a text in quotes",
    INTEGER: "a whole number",
    NUMBER: "a number",
    BOOLEAN: "true or false",
}
PLACEHOLDERS = {TEXT: "unknown", INTEGER: 1, NUMBER: 1, BOOLEAN: False}


class Rule(typing.NamedTuple):
    """Types, default and description of a key; required if the default is None."""

    types: tuple
    default: typing.Any
    doc: str


TEAM = {
    "name": Rule(TEXT, None, "the team's name, unique in the cell: a-z, 0-9 and -"),
    "objective": Rule(
        TEXT, None, '"waiting" to start work soonest, "packing" to use the fewest VMs'
    ),
    "weight": Rule(
        INTEGER, 1, "share of requests under load against other teams, from 1"
    ),
    "quota_processors": Rule(
        NUMBER, None, "processors all its running tasks may hold together"
    ),
    "quota_memory_gb": Rule(
        NUMBER, None, "memory in GiB all its running tasks may hold together"
    ),
    "quota_accelerators": Rule(INTEGER, 0, "accelerators, likewise"),
}

_TASK = {
    "name": Rule(TEXT, None, "unique in the team; a service's is unique in the cell"),
    "processors": Rule(NUMBER, None, "processors of one task; 0.5 is half of one"),
    "memory_gb": Rule(NUMBER, None, "memory of one task in GiB"),
    "accelerators": Rule(INTEGER, 0, "whole accelerators of one task"),
    "priority": Rule(INTEGER, 4, "0 (lowest) to 9; 7 and above are urgent"),
    "when_cut_off": Rule(
        TEXT,
        None,
        'if its VM loses touch: "stay" runs on and is not started elsewhere, "move"'
        " stops itself and starts elsewhere",
    ),
    "checkpoint": Rule(BOOLEAN, False, "whether a task can be checkpointed"),
}
_RUN = {
    "expected_run_ms": Rule(
        INTEGER, 0, "how long a task runs, as you guess; 0 unknown"
    ),
    "deadline_ms": Rule(
        INTEGER, 0, "time within which it should start; 0 for no limit"
    ),
    "home_failure_domain": Rule(
        TEXT, "", "failure domain to run in; empty: where it is submitted"
    ),
}
_SERVICE = {
    "tasks": Rule(INTEGER, None, "runners to keep running"),
    "slots": Rule(INTEGER, None, "requests one runner serves at once"),
    "connections": Rule(INTEGER, None, "connections one runner accepts"),
    "deadline_ms": Rule(
        INTEGER, None, "time allowed for an answer unless a caller asks"
    ),
    "idempotent": Rule(
        BOOLEAN, None, "true if serving the same request twice does no harm"
    ),
}
_BATCH = {"tasks": Rule(INTEGER, 1, "tasks of a run unless a submission asks")} | _RUN
_GANG = {"tasks": Rule(INTEGER, None, "tasks, all started together or none")} | _RUN

WORKLOADS = {
    "service": _TASK | _SERVICE,
    "batch": _TASK | _BATCH,
    "gang": _TASK | _GANG,
}

# Values of the keys that a kind of workload does not have.
UNASKED_DEFAULTS = {
    "slots": 0,
    "connections": 0,
    "idempotent": True,
    "expected_run_ms": 0,
    "home_failure_domain": "",
}
