"""The decisions of a scheduler tick: starts, stops and impossible jobs."""

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
    """Report that a job is parked, with the reason."""

    job_id: str
    reason: str
