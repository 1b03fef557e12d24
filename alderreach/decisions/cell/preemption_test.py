"""Which runs give way to an urgent step, worker by worker."""

from alderreach.core import cell_state
from alderreach.core.generated import cell, common
from alderreach.decisions.cell import preemption, workers


def step(cpu_millis, **options):
    plain = cell.Step(
        1,
        common.Resources(cpu_millis, 100, 0),
        500,
        [],
        *cell_state.NO_STEP_OPTIONS,
    )
    return plain._replace(**options)


def worker(name, *cpu_millis, capacity=8000, state=workers.RUNNING):
    """A worker with one run for each of some needs of processors."""
    record = cell.TargetRecord(
        name, 1, "pool", "a:1", "d", common.Resources(capacity, 64_000, 0), [], "ready",
        name,
    )  # fmt: skip
    made = workers.Worker(record, 0, 0)
    for number, cpu in enumerate(cpu_millis):
        key = cell_state.TaskKey(name, 0, 0, number)
        run = workers.Run(key, 1, step(cpu, checkpointing=True), 0)
        run.state = state
        made.add(run)
    return made


def chosen(evictions):
    return [
        (eviction.worker.target_id, [run.demand.cpu_millis for run in eviction.runs])
        for eviction in evictions
    ]


def anything(_run):
    return True


def test_the_smallest_run_that_gives_all_that_is_missing():
    full = worker("w1", 1000, 2000, 5000)
    assert chosen(preemption.choose([full], step(2000), 1, anything)) == [
        ("w1", [2000])
    ]


def test_several_runs_where_none_alone_is_enough():
    full = worker("w1", 3000, 3000, 2000)
    assert chosen(preemption.choose([full], step(5000), 1, anything)) == [
        ("w1", [3000, 2000])
    ]


def test_the_worker_where_least_is_stopped_goes_first():
    wide, narrow = worker("w1", 8000), worker("w2", 2000, 6000)
    assert chosen(preemption.choose([wide, narrow], step(2000), 1, anything)) == [
        ("w2", [2000])
    ]


def test_a_stop_that_frees_room_for_several_tasks_is_enough_for_them():
    wide = worker("w1", 8000)
    other = worker("w2", 8000)
    evictions = preemption.choose([wide, other], step(2000), 4, anything)
    assert chosen(evictions) == [("w1", [8000])]


def test_what_is_being_stopped_counts_as_room():
    closing = worker("w1", 4000, 4000, state=workers.CLOSING)
    full = worker("w2", 4000, 4000)
    assert preemption.choose([closing, full], step(2000), 2, anything) == []


def test_nothing_is_stopped_where_the_task_would_still_not_fit():
    full = worker("w1", 4000, 4000)
    protected = lambda run: run.key.index == 0
    assert preemption.choose([full], step(6000), 1, protected) == []
    assert preemption.choose([full], step(9000), 1, anything) == []


def test_only_runs_that_save_their_progress_may_yield():
    key = cell_state.TaskKey("j", 0, 0, 0)
    options = {"checkpointing": True}
    assert workers.Run(key, 1, step(1, **options), 0).may_yield
    for other in ("gang", "long_running", "best_effort"):
        run = workers.Run(key, 1, step(1, **options, **{other: True}), 0)
        assert not run.may_yield
    assert not workers.Run(key, 1, step(1), 0).may_yield
