"""The choice of runs that yield to an urgent step, worker by worker."""

from alderreach.core import cell_state
from alderreach.core.generated import cell, common
from alderreach.decisions.cell import order, preemption, workers


def step(cpu_millis, **options):
    plain = cell.Step(
        1,
        common.Resources(cpu_millis, 100, 0),
        500,
        [],
        *cell_state.NO_STEP_OPTIONS,
    )
    return plain._replace(**options)


def worker(name, *cpu_millis, capacity=8000, state=workers.RUNNING, accelerators=0):
    """A worker with one run for each of the given processor demands."""
    all_of_it = common.Resources(capacity, 64_000, accelerators)
    record = cell.TargetRecord(
        name, 1, "pool", "a:1", "d", all_of_it, [], "ready", name
    )
    result = workers.Worker(record, 0, 0)
    for number, cpu in enumerate(cpu_millis):
        key = cell_state.TaskKey(name, 0, 0, number)
        run = workers.Run(key, 1, step(cpu, checkpointing=True), 0)
        run.state = state
        result.add(run)
    return result


def chosen(choices):
    return [
        (victims.worker.target_id, [run.demand.cpu_millis for run in victims.runs])
        for victims in choices
    ]


def any_run(_run):
    return True


def test_the_smallest_run_that_is_large_enough_is_stopped():
    full = worker("w1", 1000, 2000, 5000)
    assert chosen(preemption.choose_victims([full], step(2000), 1, any_run)) == [
        ("w1", [2000])
    ]


def test_several_runs_are_stopped_if_none_alone_is_enough():
    full = worker("w1", 3000, 3000, 2000)
    assert chosen(preemption.choose_victims([full], step(5000), 1, any_run)) == [
        ("w1", [3000, 2000])
    ]


def test_the_worker_where_least_is_stopped_is_preferred():
    wide, narrow = worker("w1", 8000), worker("w2", 2000, 6000)
    assert chosen(
        preemption.choose_victims([wide, narrow], step(2000), 1, any_run)
    ) == [("w2", [2000])]


def test_one_stop_is_enough_if_it_frees_capacity_for_several_tasks():
    wide = worker("w1", 8000)
    other = worker("w2", 8000)
    choices = preemption.choose_victims([wide, other], step(2000), 4, any_run)
    assert chosen(choices) == [("w1", [8000])]


def test_runs_that_are_being_stopped_count_as_free_capacity():
    closing = worker("w1", 4000, 4000, state=workers.CLOSING)
    full = worker("w2", 4000, 4000)
    assert preemption.choose_victims([closing, full], step(2000), 2, any_run) == []


def test_nothing_is_stopped_if_the_task_would_still_not_fit():
    full = worker("w1", 4000, 4000)
    protected = lambda run: run.key.index == 0
    assert preemption.choose_victims([full], step(6000), 1, protected) == []
    assert preemption.choose_victims([full], step(9000), 1, any_run) == []


def with_accelerators(name, *counts):
    """A worker with eight accelerators and a run for each of the given counts."""
    result = worker(name, *(1000 for _ in counts), accelerators=8)
    runs = list(result.runs.values())
    for run, count in zip(runs, counts, strict=True):
        result.remove(run)
        run.demand = run.demand._replace(accelerators=count)
        result.add(run)
    return result


def needing(accelerators, **options):
    demand = common.Resources(1000, 100, accelerators)
    return step(0, **options)._replace(demand=demand)


def test_accelerators_are_freed_for_a_task_that_needs_them():
    """Guards against a task that waits for seconds for all accelerators of a machine.

    Less urgent tasks that save their progress use one or two accelerators each, while
    the expensive machine is not available to the large task.
    """
    scattered = with_accelerators("w1", 1, 2, 1)
    choices = preemption.choose_victims([scattered], needing(8), 1, any_run)
    assert [len(victims.runs) for victims in choices] == [3]
    choices = preemption.choose_victims([scattered], needing(6), 1, any_run)
    assert [run.demand.accelerators for run in choices[0].runs] == [2]
    assert preemption.choose_victims([scattered], needing(4), 1, any_run) == []


def test_nothing_is_stopped_for_a_part_of_a_gang():
    """Guards against runs that are stopped and restarted while a gang never starts.

    Capacity can be freed for only two of the three tasks of a gang.
    """
    full = [with_accelerators(f"w{number}", 8) for number in range(2)]
    gang = needing(8, gang=True)
    assert preemption.choose_victims(full, gang, 3, any_run) == []
    assert len(preemption.choose_victims(full, gang, 2, any_run)) == 2


def test_only_runs_that_save_their_progress_may_yield():
    key = cell_state.TaskKey("j", 0, 0, 0)
    options = {"checkpointing": True}
    assert workers.Run(key, 1, step(1, **options), 0).may_yield
    for other in ("gang", "long_running", "best_effort"):
        run = workers.Run(key, 1, step(1, **options, **{other: True}), 0)
        assert not run.may_yield
    assert not workers.Run(key, 1, step(1), 0).may_yield


def test_the_fewest_runs_of_a_customer_yield_for_its_cap():
    """One large run frees as much as needed, so two smaller ones go on."""
    small, other, large = [
        workers.Run(
            cell_state.TaskKey("p", 0, 0, n), 1, step(cpu, checkpointing=True), 0
        )
        for n, cpu in enumerate((3000, 4000, 9000))
    ]
    free, demand = common.Resources(1000, 10_000, 0), common.Resources(8000, 1000, 0)
    assert preemption.choose_for_cap(free, demand, [small, other, large]) == [large]
    assert preemption.choose_for_cap(free, demand, [small, other]) == [other, small]
    assert preemption.choose_for_cap(demand, demand, [small, other, large]) == []


OBJECTIVE_MS = 10_000


def rank(priority=2, latest_start_ms=4_000, eligible_ms=0):
    """The rank of a step that was due at 0 and takes 4 s."""
    return order.Rank(
        priority,
        3 * OBJECTIVE_MS,
        latest_start_ms,
        "j",
        eligible_ms,
        late_end_ms=OBJECTIVE_MS,
        objective_ms=OBJECTIVE_MS,
        stretch=2,
    )


def yields(cell_ms, run_rank=None, urgent=None, age_ms=1_000, checkpoint=""):
    """Whether a run yields; by default to a step that would be late if it waited."""
    run = workers.Run(cell_state.TaskKey("j", 0, 0, 0), 1, step(1), 0)
    run.checkpoint = checkpoint
    urgent = urgent or rank(0, cell_ms)
    return preemption.may_yield(
        preemption.Situation(run, run_rank or rank(), urgent, 4_000, age_ms, cell_ms)
    )


def test_late_work_yields_unless_that_makes_it_worthless():
    """Guards against late work that holds the workers just when the cell is full."""
    assert yields(1_000)
    assert not yields(4_000)
    assert yields(12_000)
    assert not yields(20_000)
    assert yields(31_000)


def test_late_work_yields_only_if_the_urgent_step_needs_it_now():
    patient = rank(0, 12_000 + 2 * preemption.STOP_MS)
    assert not yields(12_000, urgent=patient)
    assert yields(1_000, urgent=patient)


def test_work_beyond_the_share_yields_to_work_within_it_but_not_the_reverse():
    """Guards against a flood that displaces other customers' work."""
    beyond = {"eligible_ms": 60_000}
    assert yields(4_000, rank(**beyond))
    assert not yields(1_000, rank(), rank(0, 1_000, **beyond))
    assert yields(1_000, rank(**beyond), rank(0, 1_000, **beyond))
    assert not yields(4_000, rank(**beyond), rank(0, 4_000, **beyond))
    assert not yields(1_000, rank(0, **beyond), rank(0, 1_000))


def test_a_run_that_was_just_resumed_or_is_about_to_end_does_not_yield():
    """Guards against restores in vain, and stops that take longer than the rest."""
    assert not yields(1_000, age_ms=500, checkpoint="c")
    assert yields(1_000, age_ms=500)
    assert yields(1_000, age_ms=1_500, checkpoint="c")
    assert not yields(1_000, age_ms=4_000 - preemption.STOP_MS)


def test_a_run_that_takes_longer_than_estimated_is_late_later():
    """Guards against runs that yield as late since their estimates were too short."""
    run = workers.Run(cell_state.TaskKey("j", 0, 0, 0), 1, step(1), 0)
    run.first_ms, run.last_progress_ms, run.percent = 0, 10_000, 50
    slow = preemption.Situation(run, rank(), rank(0, 0), 4_000, 10_000, 12_000)
    assert preemption.forecast(run, 4_000, 10_000) == (20_000, 10_000)
    assert not preemption.may_yield(slow)
