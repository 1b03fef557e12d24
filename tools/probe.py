"""A small team with one service and one batch workload, for tests and benches."""

TEAM = "probe-team"
SERVICE = "probe"
BATCH = "sheets"
QUESTIONNAIRE = """\
[team]
name = "probe-team"
objective = "waiting"
weight = 1
quota_processors = 1000
quota_memory_gb = 1000

[[service]]
name = "probe"
processors = 1
memory_gb = 1
tasks = {tasks}
slots = 8
connections = 64
deadline_ms = 5000
idempotent = true
priority = 5
when_cut_off = "stay"

[[batch]]
name = "sheets"
processors = 1
memory_gb = 1
tasks = 4
priority = 3
when_cut_off = "move"
"""


def questionnaire(tasks):
    """The team's questionnaire, with ``tasks`` runners for its service."""
    return QUESTIONNAIRE.format(tasks=tasks)
