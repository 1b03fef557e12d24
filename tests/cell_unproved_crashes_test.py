"""Tasks that crash no worker, though their workers crash near their starts.

What the simulated workers ran decides: a start that never began has crashed nothing,
and of several workers that crash in the same instant a task can have crashed only its
own. After each scenario nothing is disturbed any more, and the job has to complete.
"""

import collections
import contextlib

from tests import cell_sim
from tools.standins import cell_worker

WORKERS = 8
RESTART_AFTER_MS = 1000
# Covers a lease, and the next incarnation of a worker that returns after it.
NEXT_START_MS = 15_000
COMPLETE_MS = 40_000


class StartCounts(collections.Counter):
    """How many starts ``began``, and how many a crash ``prevented`` from that."""


@contextlib.contextmanager
def innocent_cell(folder):
    """Yield a cell whose workers restart after a crash, and its ``StartCounts``."""
    with cell_sim.running_cell(folder, workers=WORKERS) as sim:
        counts = StartCounts()

        def count_begun(_order):
            counts["began"] += 1
            return False

        sim.crashes_worker = count_begun
        sim.restart_after_ms, sim.refuses_when_down = RESTART_AFTER_MS, True
        yield sim, counts


def prevent_starts(sim, counts, limit, others=0):
    """Crash the workers that the next ``limit`` starts reach, before the tasks begin.

    As many ``others`` crash in the same instant as each of them.
    """
    last = counts["prevented"] + limit

    def crashes_before(_order):
        is_prevented = counts["prevented"] < last
        if is_prevented:
            counts["prevented"] += 1
            crash_idle_workers(sim, others)
        return is_prevented

    sim.crashes_before = crashes_before


def crash_idle_workers(sim, count):
    """Crash workers without runs; the last ones, which get starts last."""
    idle = [each for each in sim.workers.values() if not each.is_down]
    idle = [each for each in idle if not each.running]
    for worker in idle[len(idle) - count :]:
        worker.crash()


def change_leader(sim):
    """Crash the leader, have another one take over and start the old one again."""
    old = sim.leader()
    sim.crash(old)
    sim.elect()
    sim.start(old)


def outcome_in_calm(sim):
    """The state of the job once nothing has disturbed the cell for long enough."""
    sim.crashes_before = lambda order: False
    sim.restart_after_ms = RESTART_AFTER_MS
    for worker in sim.workers.values():
        worker.script = cell_worker.Script()
    sim.run(COMPLETE_MS, lambda: sim.read_job("j1").text in ("completed", "failed"))
    return sim.read_job("j1").text


def play_starts_in_doubt_at_a_takeover(folder):
    """Three starts have no answer and are given up; the next leader adopts them."""
    with innocent_cell(folder) as (sim, counts):
        give_up_prevented_starts(sim, counts)
        change_leader(sim)
        return outcome_in_calm(sim)


def play_starts_in_doubt(folder):
    """Three starts have no answer and are given up; the leader sees the restarts."""
    with innocent_cell(folder) as (sim, counts):
        give_up_prevented_starts(sim, counts)
        return outcome_in_calm(sim)


def give_up_prevented_starts(sim, counts):
    """Have three starts given up, the first as abandoned and the others as expired."""
    sim.restart_after_ms, sim.refuses_when_down = None, False
    prevent_starts(sim, counts, 3)
    cell_sim.submit_job(sim, "j1", cell_sim.step(1, allow_duplicates=True))
    find_task = lambda: sim.committed_state().jobs["j1"].groups[(0, 0)][0]
    assert sim.run(NEXT_START_MS, lambda: len(find_task().in_doubt) == 3)
    assert counts["prevented"] == 3 and not counts["began"]


def play_abandoned_starts_and_lost_leaders(folder):
    """A start is abandoned, the next one has no answer, and the leader is lost."""
    with innocent_cell(folder) as (sim, counts):
        sim.restart_after_ms, sim.refuses_when_down = None, False
        prevent_starts(sim, counts, 2, others=2)
        cell_sim.submit_job(sim, "j1", cell_sim.step(1, allow_duplicates=True))
        for takeover in range(1, 4):
            is_prevented = lambda count=2 * takeover: counts["prevented"] == count
            if not sim.run(NEXT_START_MS, is_prevented):
                break
            sim.run(50)
            prevent_starts(sim, counts, 2 if takeover < 3 else 0, others=2)
            change_leader(sim)
            restart_workers(sim)
        return outcome_in_calm(sim)


def restart_workers(sim):
    for worker in sim.workers.values():
        if worker.is_down:
            worker.restart()


def play_one_crash_and_a_lost_connection(folder):
    """One crash under a run, then a start whose connection closes unanswered."""
    return play_one_crash_and_a_prevented_start(folder, refuses_when_down=True)


def play_one_crash_and_an_unanswered_start(folder):
    """One crash under a run, then a start that is only left without an answer."""
    return play_one_crash_and_a_prevented_start(folder, refuses_when_down=False)


def play_one_crash_and_a_prevented_start(folder, refuses_when_down):
    with innocent_cell(folder) as (sim, counts):
        for worker in sim.workers.values():
            worker.script = cell_worker.Script(work_ms=60_000)
        cell_sim.submit_job(sim, "j1", cell_sim.step(1))
        assert sim.run(NEXT_START_MS, lambda: counts["began"] == 1)
        sim.run(300)
        prevent_starts(sim, counts, 1)
        sim.refuses_when_down = refuses_when_down
        crash_with_others(sim, others=0)
        assert sim.run(NEXT_START_MS, lambda: counts["prevented"] == 1)
        return outcome_in_calm(sim)


def play_starts_that_lose_their_connections(folder):
    """Two starts don't begin, and their connections close unanswered."""
    return play_prevented_starts(folder, limit=2)


def play_unanswered_starts(folder):
    """Three starts don't begin and are only left without an answer."""
    return play_prevented_starts(folder, limit=3, refuses_when_down=False)


def play_starts_in_waves(folder):
    """Five starts don't begin, as each meets workers that crash together."""
    return play_prevented_starts(folder, limit=5, others=3)


def play_prevented_starts(folder, limit, others=0, refuses_when_down=True):
    with innocent_cell(folder) as (sim, counts):
        sim.refuses_when_down = refuses_when_down
        prevent_starts(sim, counts, limit, others)
        cell_sim.submit_job(sim, "j1", cell_sim.step(1))
        sim.run(limit * NEXT_START_MS, lambda: counts["prevented"] == limit)
        return outcome_in_calm(sim)


def play_starts_lost_with_leaders(folder):
    """Five starts don't begin, each lost with its leader in a wave of crashes."""
    with innocent_cell(folder) as (sim, counts):
        prevent_starts(sim, counts, 5, others=3)
        cell_sim.submit_job(sim, "j1", cell_sim.step(1))
        for takeover in range(1, 6):
            is_prevented = lambda count=takeover: counts["prevented"] == count
            if not sim.run(NEXT_START_MS, is_prevented):
                break
            change_leader(sim)
        return outcome_in_calm(sim)


def test_a_task_whose_starts_never_began_does_not_fail(tmp_path):
    """Guards against a job that is shown as failed since starts of its task have no
    answer: the workers crashed before the task began there.
    """
    plays = [
        play_starts_in_doubt_at_a_takeover,
        play_starts_in_doubt,
        play_abandoned_starts_and_lost_leaders,
        play_one_crash_and_a_lost_connection,
        play_one_crash_and_an_unanswered_start,
        play_starts_that_lose_their_connections,
        play_unanswered_starts,
        play_starts_in_waves,
        play_starts_lost_with_leaders,
    ]
    outcomes = {play.__name__: play(tmp_path / play.__name__) for play in plays}
    assert not [name for name, state in outcomes.items() if state != "completed"]


def crash_with_others(sim, others):
    """Crash the worker that runs the task and, in the same instant, others."""
    (busy,) = [worker for worker in sim.workers.values() if worker.running]
    crash_idle_workers(sim, others)
    busy.crash()


def play_waves(folder, age_ms, allow_duplicates, waves):
    with innocent_cell(folder) as (sim, counts):
        for worker in sim.workers.values():
            worker.script = cell_worker.Script(work_ms=60_000)
        step = cell_sim.step(1, allow_duplicates=allow_duplicates)
        cell_sim.submit_job(sim, "j1", step)
        for wave in range(1, waves + 1):
            is_begun = lambda count=wave: counts["began"] >= count
            if not sim.run(NEXT_START_MS, is_begun):
                break
            sim.run(age_ms)
            crash_with_others(sim, others=3)
        return outcome_in_calm(sim)


def test_a_task_on_workers_that_crash_together_does_not_fail(tmp_path):
    """Guards against a job that is shown as failed since workers crash in waves: each
    wave takes several workers in the same instant, one of them with a run of the task.
    """
    outcomes = {}
    for age_ms in (100, 1000):
        for allow_duplicates in (False, True):
            options = (age_ms, allow_duplicates)
            folder = tmp_path / f"{age_ms}-{allow_duplicates}"
            outcomes[options] = play_waves(folder, *options, waves=6)
    assert not [each for each, state in outcomes.items() if state != "completed"]
