"""What a leader learns of speeds in a cell in virtual time, and how it is logged."""

from alderreach.core import cell_state
from alderreach.core.generated import cell
from tools import virtual_cell, virtual_parts

WORK_MS = 400


def play(slow_factor=2.4, slow=("w2", "w5"), until_ms=9_000):
    """Six workers; each 500 ms a step, that uses all of them in the first 4 s."""
    records = [virtual_parts.worker(n, 4000) for n in range(6)]
    sim = virtual_cell.VirtualCell(
        [virtual_parts.queue("q", 0, 1.5, 250)],
        records,
        slowness=dict.fromkeys(slow, slow_factor),
    )
    sim.placed = []
    record = sim._record

    def note(kind, **fields):
        if kind == "run_placed":
            sim.placed.append((sim.loop.now_ms, fields["target"]))
        record(kind, **fields)

    sim._record = note
    sim._start_term()
    for n in range(until_ms // 500):
        tasks = 12 if n < 8 else 6
        step = virtual_parts.step(tasks, 1_000, estimated_ms=WORK_MS, max_per_target=2)
        work = virtual_parts.Work(step, [WORK_MS * (1 + i / 40) for i in range(tasks)])
        sim.submit_at(500 * n + 1, "q", f"j{n}", [work])
    return sim


def slowness(sim):
    return {name: worker.slowness for name, worker in sim.term.leader.workers.items()}


def test_urgent_steps_leave_out_the_slow_third_once_it_is_known():
    """Load: urgent steps that are late if one task runs on a slow worker."""
    sim = play()
    sim.run_until(9_000)
    found = slowness(sim)
    assert all((found[n] > 1.8) == (n in ("w2", "w5")) for n in found), found
    late = [target for at_ms, target in sim.placed if at_ms > 4_000]
    assert sum(target in ("w2", "w5") for target in late) < 0.1 * len(late)
    assert all(sim.completed_ms(f"j{n}") - 500 * n < 700 for n in range(8, 16))


def test_a_new_leader_knows_the_speeds_at_once():
    """Guards against some hundred slow starts after each change of the leader.

    What it knows is the last logged value, within 10 % of the last or 5 s old.
    """
    sim = play(until_ms=12_000)
    sim.lose_leader_at(7_900, 300)
    sim.run_until(7_899)
    before = slowness(sim)
    sim.run_until(8_201)
    after = slowness(sim)
    assert all(abs(after[name] / before[name] - 1) < 0.12 for name in before)
    job = sim.term.leader.state.jobs["j1"]
    assert sim.term.leader.learned.task_ms(job, 0) < 1.3 * WORK_MS
    sim.run_until(12_000)
    late = [target for at_ms, target in sim.placed if at_ms > 8_200]
    assert sum(target in ("w2", "w5") for target in late) < 0.1 * len(late)


def test_a_worker_that_fails_its_tasks_is_not_slow_or_quick():
    """Guards against a worker that looks quick because its tasks fail at once."""
    sim = play(slow=())
    started = sim.on_run_started

    def on_run_started(machine, run):
        if machine.record.target_id == "w0":
            run.work_ms, run.how = 5, "failed"
        started(machine, run)

    sim.on_run_started = on_run_started
    sim.run_until(9_000)
    assert slowness(sim)["w0"] == 1.0


def test_a_worker_that_slows_down_suddenly_loses_its_runs():
    """Guards against a known usual speed that hides a worker that is slow from now on,
    twelve times as here.
    """
    sim = play(slow=())
    sim.slow_down_at(5_200, ["w0"], 12.0)
    sim.run_until(12_000)
    assert sim.moves >= 1
    took_ms = [sim.completed_ms(f"j{n}") - 500 * n for n in range(10, 18)]
    assert max(took_ms) < 3_000 and sorted(took_ms)[5] < 600, took_ms


def test_a_long_task_leaves_a_slow_worker_once_if_a_quick_one_has_room():
    """Load: one task of seven times the usual duration on a slow worker, where it takes
    6.7 s. It is moved at the first poll after its siblings have ended.
    """
    for room, moves, longest_ms in ((4_000, 1, 5_500), (1_000, 0, 7_000)):
        sim = play()
        sim.run_until(7_000)
        for worker in sim.term.leader.workers.values():
            cpu = 4_000 if worker.slowness > 1 else room
            capacity = worker.record.capacity._replace(cpu_millis=cpu)
            worker.record = worker.record._replace(capacity=capacity)
            sim._machines[worker.target_id].record = worker.record
        step = virtual_parts.step(6, 1_300, estimated_ms=WORK_MS, max_per_target=3)
        works = [virtual_parts.Work(step, [WORK_MS] * 5 + [7 * WORK_MS])]
        if room == 4_000:
            busy = virtual_parts.step(16, 1_000)
            sim.submit("q", "busy", [virtual_parts.Work(busy, [300] * 16)])
        sim.submit("q", "long", works)
        sim.run_until(20_000)
        assert sim.moves == moves
        assert sim.completed_ms("long") - 7_000 < longest_ms


def test_nothing_is_logged_or_decided_otherwise_where_all_workers_are_equal():
    """Guards against noise that changes decisions in a cell of equal workers."""
    sim = play(slow=())
    sim.run_until(9_000)
    assert set(slowness(sim).values()) == {1.0}
    assert sim.term.leader.state.learned.speeds == {}


def test_learned_values_are_logged_rarely_and_in_batches_of_their_own():
    """Guards against decisions lost to a process of an earlier version, which skips an
    entry with values that it does not know, and against a log full of estimates.
    """
    sim = play()
    batches = []
    on_commit = sim._on_commit
    sim._on_commit = lambda batch, effects: (
        batches.append(batch),
        on_commit(batch, effects),
    )
    sim.run_until(9_000)
    learned = [
        change for batch in batches for change in batch.changes if change.learned
    ]
    assert 1 <= len(learned) <= 8
    empty = cell_state.empty_change()
    for batch in batches:
        if any(change.learned for change in batch.changes):
            rest = [change._replace(learned=[]) for change in batch.changes]
            assert all(change == empty for change in rest)
    assert set(sim._log.learned.speeds) == {"w2", "w5"}


def test_learned_values_that_could_not_be_logged_stay_in_a_batch_of_their_own():
    sim = play(slow=(), until_ms=0)
    sim.run_until(500)
    leader = sim.term.leader
    values = cell.LearnedValues([], [])
    leader.note(learned=[values])
    leader.decide(gone=["nobody"])
    leader.requeue_batch(*leader.pop_batch())
    leader.requeue_batch(*leader.pop_batch())
    assert not leader.pop_batch()[0].changes[0].learned
    assert leader.pop_batch()[0].changes[0].learned == [values]
