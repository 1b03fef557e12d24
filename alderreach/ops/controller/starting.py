"""Starts a group's waiting tasks on the workers of a pool.

The caller has checked which tasks may start: that they wait, and that their customer
has room for them under its cap. Here each gets its worker, or none.
"""

from alderreach.core import cell_state
from alderreach.decisions.cell import choice, crash_blame
from alderreach.ops.controller import runs


def start_tasks(leader, group, indexes, pool, waited_ms, now_ms):
    """Start these tasks of a group until one finds no worker; returns their number."""
    job = leader.state.jobs[group.job_id]
    step, tasks = job.record.steps[group.step], job.groups[group[1:]]
    usable = choice.candidates(pool, step, group, now_ms)
    if not usable:
        return 0
    timing = _timing(leader, job, group, usable)
    if any((*group, index) in leader.moves for index in indexes):
        # A task that was moved has lost its work and is likely to be a long one.
        timing = timing._replace(slowest_in_time=0.0)
    used = _domains_of(leader, tasks)
    quick = choice.quick_enough(usable, timing)
    domains = choice.preferred_domains(quick, step, group, len(indexes), used)
    ranking = choice.Ranking(usable, step, group, domains, timing)
    for started, index in enumerate(indexes):
        key, task = cell_state.TaskKey(*group, index), tasks[index]
        must_start_alone = leader.must_start_alone(task)
        worker = _choose(ranking, key, task, must_start_alone, now_ms)
        if worker is None:
            return started
        _start(leader, worker, key, task.run + 1, task.checkpoint, waited_ms, now_ms)
        if must_start_alone:
            worker.hold_back(now_ms + crash_blame.SUSPECT_ISOLATION_MS)
            worker.isolated_run = worker.runs[key]
        ranking.requeue(worker, now_ms)
    return len(indexes)


def start_gang(leader, group, pool, waited_ms, now_ms):
    """Start all tasks of a gang in one run, or none; returns their number."""
    job = leader.state.jobs[group.job_id]
    step, tasks = job.record.steps[group.step], job.groups[group[1:]]
    if any(task.state != cell_state.WAITING for task in tasks):
        return 0
    timing = _timing(leader, job, group, pool)
    chosen = choice.plan_gang(pool, step, group, len(tasks), now_ms, timing)
    if chosen is None:
        return 0
    run = max(task.run for task in tasks) + 1
    checkpoint = next((task.checkpoint for task in tasks if task.checkpoint), "")
    for index, worker in enumerate(chosen):
        key = cell_state.TaskKey(*group, index)
        _start(leader, worker, key, run, checkpoint, waited_ms, now_ms)
    return len(tasks)


def has_quick_room(leader, job, group):
    """Whether a task of a group could start now on a worker of usual speed."""
    now_ms, service = leader.now_ms(), job.record.service
    if leader.queue_of(job).permission is None:
        pool = leader.pools.usable(service)
    else:
        permitted = leader.permissions.permitted_ids(group, now_ms)
        pool = leader.pools.usable_among(service, permitted)
    step = job.record.steps[group.step]
    return any(
        worker.slowness <= 1.0 and choice.can_start(worker, step, group, now_ms)
        for worker in pool
    )


def _timing(leader, job, group, pool):
    """The ``choice.Timing`` of a group; computed only if the workers' speeds differ.

    Lasting tasks have no end to be in time for, so slow workers are good enough for
    them. Whether those that serve requests get slower there is not known.
    """
    step = job.record.steps[group.step]
    if all(worker.slowness == 1.0 for worker in pool):
        return choice.UNTIMED
    if step.best_effort or step.tail_target_ms:
        return choice.SPEEDLESS
    if step.long_running:
        return choice.UNTIMED
    elapsed_ms = leader.cell_ms() - _due_ms(job, group)
    return choice.Timing(
        leader.learned.task_ms(job, group.step),
        leader.learned.slowest_in_time(job, group.step, elapsed_ms),
    )


def _due_ms(job, group):
    """When a group's occurrence was due: on acceptance unless the job repeats."""
    record = job.record
    if not record.repeat_count:
        return job.accepted_ms
    return record.first_due_ms + group.occurrence * record.interval_ms


def _domains_of(leader, tasks):
    """The failure domains in which some of the tasks are placed."""
    placed = [
        leader.workers.get(task.target_id)
        for task in tasks
        if task.state == cell_state.PLACED
    ]
    return {worker.record.failure_domain for worker in placed if worker}


def _choose(ranking, key, task, must_start_alone, now_ms):
    """The best worker for a task, or None.

    A task that must start alone avoids workers with recently started runs.
    """
    failed_on = task.target_id if task.failed_run else ""
    if not must_start_alone:
        return ranking.pop_best(key, failed_on)
    return ranking.pop_best(
        key, failed_on, lambda w: crash_blame.has_fresh_run(w, now_ms)
    )


def _start(leader, worker, key, run, checkpoint, waited_ms, now_ms):
    group = cell_state.GroupKey(*key[:3])
    step = leader.state.jobs[key.job_id].record.steps[key.step]
    ticket = leader.permissions.ticket(group, worker.target_id, now_ms) or ""
    unconfirmed = worker.count_unconfirmed()
    runs.place(leader, worker, key, run, step, ticket, checkpoint)
    leader.environment.record(
        "run_placed",
        task=str(key),
        run=run,
        target=worker.target_id,
        demand=list(step.demand),
        used=list(worker.used),
        capacity=list(worker.record.capacity),
        heartbeat=worker.sequence,
        heartbeat_age_ms=now_ms - worker.announced_ms,
        waited_ms=waited_ms,
        unconfirmed=unconfirmed,
    )
