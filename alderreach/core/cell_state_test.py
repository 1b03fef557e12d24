"""Tests for the replicated cell state: run ends, gangs, late successes, snapshots."""

import msgspec

from alderreach.core import cell_state, codec, crashes
from alderreach.core.generated import cell, common

QUEUE = cell.QueueConfig("q", "h", "/q/", "pool", 0, 2, 1.5, 250, 3000, None)


def step(tasks, after=(), **options):
    plain = cell.Step(
        tasks,
        common.Resources(500, 64, 0),
        900,
        list(after),
        *cell_state.NO_STEP_OPTIONS,
    )
    return plain._replace(**options)


def state_with(*steps, repeat_count=0):
    state = cell_state.CellState()
    job = cell.CellJob("j", QUEUE, "pool", "run", list(steps), repeat_count, 0, 100)
    change(state, accepted=[cell.JobAccepted(job, 1000)])
    return state


def change(state, wall_ms=1000, **parts):
    empty = cell_state.empty_change()
    cell_state.apply(state, empty._replace(**parts), wall_ms)


def place(state, index, run, number=0, target="w1"):
    placed = cell.RunPlaced("j", 0, number, index, run, target, 1)
    change(state, placed=[placed])


def end(state, index, run, how, number=0, is_final=False, wall_ms=1000):
    ended = cell.RunEnded("j", 0, number, index, run, how, "", is_final)
    change(state, wall_ms, ended=[ended])


def test_a_job_is_completed_by_its_last_task():
    state = state_with(step(2), step(1, after=[0]))
    job = state.jobs["j"]
    assert cell_state.public_state(job) == "queued"
    place(state, 0, 1)
    assert cell_state.public_state(job) == "running"
    end(state, 0, 1, "done")
    assert not cell_state.are_dependencies_done(job, 0, 1)
    place(state, 1, 1)
    end(state, 1, 1, "done")
    assert cell_state.are_dependencies_done(job, 0, 1)
    place(state, 0, 1, number=1)
    end(state, 0, 1, "done", number=1)
    assert cell_state.public_state(job) == "completed"


def test_changes_of_an_older_run_are_ignored():
    state = state_with(step(1))
    place(state, 0, 1)
    end(state, 0, 1, "lapsed")
    place(state, 0, 2, target="w2")
    end(state, 0, 1, "failed", is_final=True)
    place(state, 0, 1)
    task = state.jobs["j"].groups[(0, 0)][0]
    assert (task.run, task.target_id, task.failures) == (2, "w2", 0)
    assert state.jobs["j"].state == "active"


def test_a_late_success_counts_if_no_other_run_was_started():
    state = state_with(step(2))
    for index in (0, 1):
        place(state, index, 1)
        end(state, index, 1, "lapsed")
    end(state, 0, 1, "done")
    place(state, 1, 2)
    end(state, 1, 1, "done")
    tasks = state.jobs["j"].groups[(0, 0)]
    assert [task.state for task in tasks] == ["done", "placed"]


def test_a_gangs_run_fails_once_however_many_members_report_it():
    state = state_with(step(3, gang=True))
    for index in range(3):
        place(state, index, 1)
    for index in range(3):
        end(state, index, 1, "failed")
    job, key = state.jobs["j"], cell_state.TaskKey("j", 0, 0, 2)
    assert cell_state.failure_count(job, 0, 0, 2) == 1
    assert cell_state.failure_count_with(job, key, 1) == 1
    assert cell_state.failure_count_with(job, key, 2) == 2


def test_long_running_tasks_are_never_done():
    state = state_with(step(1, long_running=True))
    place(state, 0, 1)
    end(state, 0, 1, "done")
    assert state.jobs["j"].groups[(0, 0)][0].state == "waiting"
    assert state.jobs["j"].unfinished_count == 1


def test_an_ended_job_keeps_its_state_and_is_dropped_after_its_retention():
    state = state_with(step(1))
    change(state, cancelled=["j"])
    change(state, cancelled=["j"])
    assert state.jobs["j"].state == "cancelled"
    pass_time(state, 1000, 1000 + cell_state.ENDED_JOB_RETENTION_MS - 1)
    assert "j" in state.jobs
    change(state, wall_ms=1000 + cell_state.ENDED_JOB_RETENTION_MS)
    assert "j" not in state.jobs


def test_a_clock_that_jumps_does_not_shorten_the_retention_of_ended_jobs():
    """Guards against ended jobs that become unknown, as a leader's clock is wrong."""
    state = state_with(step(1))
    change(state, cancelled=["j"])
    hour_ms = 3_600_000
    for _jump in range(10):
        change(state, wall_ms=1000 + hour_ms)
        change(state, wall_ms=1000)
    assert "j" in state.jobs


def test_the_retention_of_ended_jobs_continues_after_a_snapshot():
    """Guards against ended jobs that become unknown where a snapshot was loaded."""
    state = state_with(step(1))
    change(state, cancelled=["j"])
    until_ms = 1000 + cell_state.ENDED_JOB_RETENTION_MS
    pass_time(state, 1000, until_ms - 2)
    restored = cell_state.CellState()
    for kind, data in cell_state.dump(state):
        cell_state.load_part(restored, kind, data)
    for each in (state, restored):
        change(each, wall_ms=until_ms - 1)
        assert "j" in each.jobs
        change(each, wall_ms=until_ms)
        assert "j" not in each.jobs


def pass_time(state, from_ms, until_ms):
    """Apply changes up to a time, as close together as all time counts."""
    for wall_ms in range(from_ms, until_ms, cell_state.MAX_COUNTED_GAP_MS):
        change(state, wall_ms=wall_ms)
    change(state, wall_ms=until_ms)


def test_only_a_higher_configuration_version_is_applied():
    state = cell_state.CellState()
    for version in (5, 3, 5, 9):
        change(state, configs=[cell.CellConfig(version, [], [], b"%d" % version)])
    assert state.config.body == b"9"


def test_a_snapshot_holds_the_whole_state():
    state = state_with(step(2), step(2, after=[0]), repeat_count=2)
    place(state, 0, 1)
    end(state, 0, 1, "done")
    place(state, 1, 1)
    end(state, 1, 1, "failed")
    record = cell.TargetRecord(
        "w1", 1, "pool", "a:1", "d", common.Resources(8, 8, 0), ["a"], "ready", ""
    )
    change(state, targets=[record])
    restored = cell_state.CellState()
    for kind, data in cell_state.dump(state):
        cell_state.load_part(restored, kind, data)
    assert list(cell_state.dump(restored)) == list(cell_state.dump(state))
    assert restored.jobs["j"].unfinished_by_group == state.jobs["j"].unfinished_by_group
    copied = cell_state.copy(state)
    end(copied, 1, 1, "done")
    place(copied, 1, 2)
    assert list(cell_state.dump(restored)) == list(cell_state.dump(state))


def find_task(state, index=0):
    return state.jobs["j"].groups[(0, 0)][index]


def test_a_crash_that_is_proved_late_counts_once():
    """Guards against losing a crash as soon as the task runs on another worker."""
    state = state_with(step(1))
    place(state, 0, 1)
    end(state, 0, 1, crashes.EXPIRED)
    place(state, 0, 2, target="w2")
    assert find_task(state).in_doubt == (crashes.InDoubtRun(1, "w1", 1),)
    for _again in range(2):
        end(state, 0, 1, crashes.CRASHED_AT_START)
    assert find_task(state).blame == crashes.BLAME[crashes.CRASHED_AT_START]
    assert (find_task(state).state, find_task(state).in_doubt) == ("placed", ())


def test_a_run_in_doubt_whose_worker_responds_again_adds_no_blame():
    state = state_with(step(1))
    place(state, 0, 1)
    end(state, 0, 1, crashes.ABANDONED)
    place(state, 0, 2, target="w2")
    end(state, 0, 1, "lost")
    assert (find_task(state).blame, find_task(state).in_doubt) == (0, ())


def test_the_final_crash_fails_the_job_while_the_task_runs_elsewhere():
    state = state_with(step(1))
    place(state, 0, 1)
    end(state, 0, 1, crashes.ABANDONED)
    place(state, 0, 2, target="w2")
    end(state, 0, 1, crashes.CRASHED_AT_START, is_final=True)
    assert cell_state.public_state(state.jobs["j"]) == "failed"


def test_a_crash_of_a_task_that_is_done_does_not_fail_the_job():
    state = state_with(step(2))
    place(state, 0, 1)
    end(state, 0, 1, crashes.ABANDONED)
    place(state, 0, 2, target="w2")
    end(state, 0, 2, "done")
    end(state, 0, 1, crashes.CRASHED_AT_START, is_final=True)
    assert cell_state.public_state(state.jobs["j"]) == "running"


def test_blame_and_runs_in_doubt_are_part_of_a_snapshot():
    """Guards against a new leader that restarts the count of a task's crashes at 0."""
    state = state_with(step(1))
    place(state, 0, 1)
    end(state, 0, 1, crashes.CRASHED_AT_LONE_START)
    place(state, 0, 2, target="w2")
    end(state, 0, 2, crashes.EXPIRED)
    restored = cell_state.CellState()
    for kind, data in cell_state.dump(state):
        cell_state.load_part(restored, kind, data)
    for copied in (restored, cell_state.copy(state)):
        assert find_task(copied).blame == find_task(state).blame == 6
        assert find_task(copied).in_doubt == (crashes.InDoubtRun(2, "w2", 1),)


def test_a_snapshot_keeps_customers_and_reads_those_without():
    """Guards against snapshots of an earlier version that can't be loaded."""
    customers = [cell.CustomerConfig("a", [b"d"], 0, 2.0, common.Resources(1, 2, 0))]
    queue = QUEUE._replace(allows_anonymous=True)
    for configured, owner in ((None, ""), (customers, "a")):
        state = cell_state.CellState()
        config = cell.CellConfig(3, [queue], [], b"{}", configured)
        job = cell.CellJob("j", QUEUE, "pool", "run", [step(1)], 0, 0, 100, owner)
        change(state, configs=[config], accepted=[cell.JobAccepted(job, 1000)])
        loaded = cell_state.CellState()
        for kind, data in cell_state.dump(state):
            cell_state.load_part(loaded, kind, data)
        assert loaded.config == config
        assert loaded.jobs["j"].record == job


def test_a_snapshot_without_customers_has_the_form_of_earlier_versions():
    state = state_with(step(1))
    change(state, configs=[cell.CellConfig(3, [QUEUE], [], b"{}")])
    parts = {
        kind: msgspec.msgpack.decode(data) for kind, data in cell_state.dump(state)
    }
    assert len(parts["cell"][0]) == 4
    assert len(parts["cell"][0][1][0]) == 10
    assert len(parts["cell_job"][0]) == 8


def test_learned_values_are_in_snapshots_and_end_with_their_worker_or_queue():
    """Guards against a log that grows with each worker that there ever was."""
    state = cell_state.CellState()
    record = cell.TargetRecord(
        "w1", 1, "pool", "a:1", "d", common.Resources(8, 8, 0), ["a"], "ready", ""
    )
    speeds = [cell.LearnedSpeed(name, 2400, 7) for name in ("w1", "unknown")]
    values = cell.LearnedValues(speeds, [cell.LearnedDuration("q", 700, 400, 50)])
    change(state, targets=[record], learned=[values])
    written = cell.CellBatch(7, [cell_state.empty_change()._replace(learned=[values])])
    assert codec.unpack(codec.pack(written)).ok_value == written
    restored = cell_state.CellState()
    for kind, data in cell_state.dump(state):
        cell_state.load_part(restored, kind, data)
    for each in (state, restored, cell_state.copy(state)):
        assert list(each.learned.speeds) == ["w1"]
        assert each.learned.durations["q"].factor_permille == 700
    change(state, gone=["w1"], configs=[cell.CellConfig(3, [], [], b"{}")])
    assert (state.learned.speeds, state.learned.durations) == ({}, {})


def test_entries_and_snapshots_without_learned_values_have_the_earlier_form():
    """Guards against entries and snapshots that another version can't read."""
    batch = cell.CellBatch(7, [cell_state.empty_change()])
    written = msgspec.msgpack.decode(codec.pack(batch))
    assert len(written[1][1][0]) == 7
    assert codec.unpack(msgspec.msgpack.encode(written)).ok_value == batch
    [(_kind, data)] = cell_state.dump(cell_state.CellState())
    assert len(msgspec.msgpack.decode(data)) == 5
    cell_state.load_part(cell_state.CellState(), "cell", data)
