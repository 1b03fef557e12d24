"""What a tick decides: starts, stops and jobs found impossible."""

import typing

from alderreach.core.generated import common


class Start(typing.NamedTuple):
    """Start an attempt of a task on a worker."""

    task_id: str
    attempt: int
    job_id: str
    worker_id: str
    task: common.Resources


class Stop(typing.NamedTuple):
    """Stop an attempt; ``how`` is stop or checkpoint."""

    task_id: str
    attempt: int
    worker_id: str
    how: str


class Impossible(typing.NamedTuple):
    """A job is parked, and why."""

    job_id: str
    reason: str
