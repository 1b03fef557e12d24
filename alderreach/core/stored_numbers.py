"""Brings the numbers of jobs, queues and workers into the ranges of ``ranges``.

Earlier versions accepted numbers of up to 64 bits, negative ones among them, and they
stand in logs, in snapshots and in requests that a process of such a version passes on.
What was accepted is kept, with the nearest number in range: a job that needs more than
any worker has, or a time far off, stays just that.
"""

from alderreach.core import ranges
from alderreach.core.generated import cell, common


def job_in_range(job):
    """A ``cell.CellJob`` with all numbers in range; the same object if they are.

    >>> from alderreach.core import cell_state
    >>> demand = common.Resources(-1, 64, 0)
    >>> step = cell.Step(2, demand, 900, [], *cell_state.NO_STEP_OPTIONS)
    >>> queue = cell.QueueConfig("q", "h", "/q/", "pool", 0, 2, 1.5, 250, 3000, None)
    >>> job = cell.CellJob("j", queue, "pool", "run", [step], 0, 2**63 - 1, 0)
    >>> stored = job_in_range(job)
    >>> stored.steps[0].demand.cpu_millis, stored.first_due_ms == ranges.INSTANT_MS_MAX
    (0, True)
    """
    if _is_job_in_range(job):
        return job
    return job._replace(
        queue=queue_in_range(job.queue),
        steps=[_step_in_range(step) for step in job.steps],
        repeat_count=_clamp(job.repeat_count, ranges.OCCURRENCES_MAX),
        first_due_ms=_clamp(job.first_due_ms, ranges.INSTANT_MS_MAX),
        interval_ms=_clamp(job.interval_ms, ranges.DURATION_MS_MAX),
    )


def config_in_range(config):
    """A ``cell.CellConfig`` with all numbers in range, but for its version."""
    customers = config.customers
    if customers is not None:
        customers = [_customer_in_range(customer) for customer in customers]
    queues = [queue_in_range(queue) for queue in config.queues]
    return config._replace(queues=queues, customers=customers)


def queue_in_range(queue):
    """A ``cell.QueueConfig`` with all numbers in range."""
    rule = queue.permission
    if rule is not None:
        rule = cell.PermissionRule(
            _clamp(rule.decision_ms, ranges.DURATION_MS_MAX),
            _clamp(rule.per_target_ms, ranges.DURATION_MS_MAX),
            _clamp(rule.valid_ms, ranges.DURATION_MS_MAX),
        )
    return queue._replace(
        priority=_clamp(queue.priority, ranges.COUNT_MAX),
        max_attempts=_clamp(queue.max_attempts, ranges.COUNT_MAX),
        stretch=_clamp(queue.stretch, ranges.STRETCH_MAX),
        target_latency_ms=_clamp(queue.target_latency_ms, ranges.DURATION_MS_MAX),
        timeout_ms=_clamp(queue.timeout_ms, ranges.DURATION_MS_MAX),
        permission=rule,
    )


def target_in_range(record):
    """A ``cell.TargetRecord`` with its capacity in range."""
    capacity = _resources_in_range(record.capacity, ranges.RESOURCE_MAX)
    return record._replace(capacity=capacity)


def _is_job_in_range(job):
    is_timed = 0 <= job.first_due_ms <= ranges.INSTANT_MS_MAX
    is_repeated = 0 <= job.repeat_count <= ranges.OCCURRENCES_MAX
    return (
        is_timed
        and is_repeated
        and 0 <= job.interval_ms <= ranges.DURATION_MS_MAX
        and all(_step_in_range(step) == step for step in job.steps)
        and queue_in_range(job.queue) == job.queue
    )


def _step_in_range(step):
    return step._replace(
        demand=_resources_in_range(step.demand, ranges.RESOURCE_MAX),
        estimated_ms=_clamp(step.estimated_ms, ranges.DURATION_MS_MAX),
        max_per_target=_clamp(step.max_per_target, ranges.COUNT_MAX),
        tail_target_ms=_clamp(step.tail_target_ms, ranges.DURATION_MS_MAX),
        max_unavailable=_clamp(step.max_unavailable, ranges.COUNT_MAX),
    )


def _customer_in_range(customer):
    return customer._replace(
        priority=_clamp(customer.priority, ranges.COUNT_MAX),
        weight=_clamp(customer.weight, ranges.WEIGHT_MAX),
        cap=_resources_in_range(customer.cap, ranges.CAP_MAX),
    )


def _resources_in_range(resources, largest):
    return common.Resources(*(_clamp(amount, largest) for amount in resources))


def _clamp(number, largest):
    return min(max(number, 0), largest)
