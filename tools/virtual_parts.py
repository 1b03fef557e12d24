"""Builders for simulated days: queues, workers, steps and the work they do.

>>> worker(1, 4000).target_id, step(2, 1000).tasks
('w1', 2)
"""

import typing

from alderreach.core import cell_state
from alderreach.core.generated import cell, common

HOST = "a.example"
POOL = "pool"


class Work(typing.NamedTuple):
    """A step, the actual run time of each of its tasks, and the share that fails."""

    step: cell.Step
    work_ms: list
    fail_share: float = 0.0


class Outcome(typing.NamedTuple):
    """How many of a queue's jobs met their objective, were late, or never completed."""

    jobs: int
    on_time: int
    late: int
    """Completed after the objective, but within three times of it."""
    never: int
    """Completed later than that, or not at all."""

    @property
    def share(self):
        """The share of jobs completed within the objective."""
        return self.on_time / max(1, self.jobs)


def queue(name, priority=0, stretch=2.0, target_latency_ms=500, **options):
    """A queue that routes jobs by a path prefix equal to its name."""
    plain = cell.QueueConfig(
        name, HOST, f"/{name}/", POOL, priority, 3, stretch, target_latency_ms, 3000,
        None,
    )  # fmt: skip
    return plain._replace(**options)


def customer(name, cpu_millis, memory_mb=0, weight=1):
    """A customer with a cap; the digest of its only key is its name."""
    cap = common.Resources(cpu_millis, memory_mb, 0)
    return cell.CustomerConfig(name, [name.encode()], 0, weight, cap)


def worker(
    number,
    cpu_millis,
    memory_mb=64_000,
    rack="r1",
    accelerators=0,
    service=POOL,
    domain="d",
):
    """The target record of a worker."""
    name = f"w{number}"
    capacity = common.Resources(cpu_millis, memory_mb, accelerators)
    return cell.TargetRecord(
        name, 1, service, f"{name}:1", domain, capacity, ["a", rack], "ready", name
    )


def step(
    tasks,
    cpu_millis,
    memory_mb=100,
    estimated_ms=500,
    after=(),
    accelerators=0,
    **options,
):
    """A step whose tasks are all the same."""
    demand = common.Resources(cpu_millis, memory_mb, accelerators)
    plain = cell.Step(
        tasks, demand, estimated_ms, list(after), *cell_state.NO_STEP_OPTIONS
    )
    return plain._replace(**options)


def objective_ms(queue_config, works):
    """The time allowed for a job, from the longest chain of its actual run times."""
    ends = []
    for work in works:
        began_ms = max((ends[earlier] for earlier in work.step.after), default=0.0)
        ends.append(began_ms + max(work.work_ms))
    return queue_config.stretch * max(ends) + queue_config.target_latency_ms
