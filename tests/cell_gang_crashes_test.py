"""Gangs whose workers crash, with or without their fault.

The members of a gang share a run, which the loss of one member ends for all of them.
"""

import collections
import contextlib

import pytest

from alderreach.core import orders
from tests import cell_sim
from tools.standins import cell_worker

MEMBERS = 4
RESTART_AFTER_MS = 3000
# The third crash fails a task; two more starts may be in flight until it is detected.
MAX_STARTS = 5
WORK_MS = 1500


@contextlib.contextmanager
def gang_cell(folder, members=MEMBERS, workers=10, **limits):
    """Yield a cell in which gang j1 has just been submitted, and its start counts."""
    with cell_sim.running_cell(folder, workers=workers, **limits) as sim:
        starts = collections.Counter()
        sim.crashes_worker = lambda order: starts.update([order.task])
        sim.restart_after_ms = RESTART_AFTER_MS
        sim.refuses_when_down = True
        # A member that is left alone waits, so no run of the gang ends by itself.
        sim.may_end = lambda task: not task.startswith("j1.")
        for worker in sim.workers.values():
            worker.script = cell_worker.Script(work_ms=WORK_MS)
        gang = cell_sim.step(members, cpu_millis=3000, gang=True, max_per_target=1)
        yield sim, starts, gang


def member(order):
    """The index of the member of gang j1 that an order is for, or None."""
    is_start = isinstance(order, orders.Start) and order.task.startswith("j1.")
    return int(order.task.rpartition(".")[2]) if is_start else None


def running(sim):
    """The workers of the members of gang j1 that run, by task."""
    return {
        task: worker
        for worker in sim.workers.values()
        for task in worker.running
        if task.startswith("j1.")
    }


def run_until_complete(sim):
    """Run until all members of gang j1 run, in the same run."""
    is_complete = lambda: len(running(sim)) == MEMBERS
    assert sim.run(30_000, is_complete), (running(sim), sim.read_job("j1"))


@pytest.mark.parametrize("is_refused", [True, False], ids=["refused", "no answer"])
def test_a_gang_whose_starts_never_began_does_not_fail(tmp_path, is_refused):
    """Guards against a gang that is given up for crashes before its starts arrived: the
    worker of one member crashes just before each of the first starts reaches it, and
    two workers without a member crash in the same moment.
    """
    with gang_cell(tmp_path) as (sim, starts, gang):
        sim.refuses_when_down = is_refused
        missed, struck = [], set()

        def crash_before(call):
            if member(call.order) == 0 and len(missed) < 4:
                missed.append(call.target_id)
                used = {
                    placed["target"]
                    for placed in sim.events_of("run_placed")
                    if placed["run"] == call.order.run
                }
                idle = [
                    each
                    for each in sim.workers.values()
                    if each.name not in used | struck
                ]
                for worker in [sim.workers[call.target_id], *idle[-2:]]:
                    worker.crash()
                    struck.add(worker.name)
            return 0

        sim.call_delay_ms = crash_before
        cell_sim.submit_job(sim, "j1", gang)
        has_begun = lambda: starts["j1.0.0.0"] > 0
        assert sim.run(60_000, has_begun), (missed, sim.read_job("j1"))


@pytest.mark.parametrize("after_ms", [100, 1000], ids=["fresh", "at work"])
def test_crashes_under_different_members_do_not_fail_a_gang(tmp_path, after_ms):
    """Guards against blame that adds up over the members of a gang: each run is ended
    by the crash of another member's worker, and no member sees two of them.
    """
    with gang_cell(tmp_path) as (sim, _starts, gang):
        cell_sim.submit_job(sim, "j1", gang)
        for index in range(MEMBERS):
            run_until_complete(sim)
            sim.run(after_ms)
            running(sim)[f"j1.0.0.{index}"].crash()
        run_until_complete(sim)


def test_a_gang_is_not_failed_by_two_failures_of_all_workers(tmp_path):
    """Guards against a gang that is given up for failures of the power supply, which
    also crash all workers without a member of it.
    """
    with gang_cell(tmp_path) as (sim, _starts, gang):
        cell_sim.submit_job(sim, "j1", gang)
        for _failure in range(2):
            run_until_complete(sim)
            sim.run(100)
            for worker in sim.workers.values():
                worker.crash()
            sim.run(100)
        run_until_complete(sim)


@pytest.mark.parametrize("culprits", [{0}, {0, 2}, set(range(MEMBERS))], ids=str)
def test_a_gang_that_crashes_its_workers_fails(tmp_path, culprits):
    """Guards against a gang that crashes workers without end."""
    with gang_cell(tmp_path) as (sim, starts, gang):

        def crashes(order):
            starts[order.task] += 1
            return member(order) in culprits

        sim.crashes_worker = crashes
        cell_sim.submit_job(sim, "j1", gang)
        sim.run(60_000)
        assert sim.read_job("j1").text == "failed"
        assert max(starts.values()) <= MAX_STARTS, starts


@pytest.mark.parametrize("members", [4, 8])
def test_a_gang_of_which_another_member_crashes_its_worker_each_time_fails(
    tmp_path, members
):
    """Guards against a gang that crashes workers without end, since each crash counts
    against another member.
    """
    with gang_cell(tmp_path, members, workers=12) as (sim, starts, gang):
        crashed = []

        def crashes(order):
            starts[order.task] += 1
            if member(order) != order.run % members:
                return False
            crashed.append(order.task)
            return True

        sim.crashes_worker = crashes
        cell_sim.submit_job(sim, "j1", gang)
        sim.run(120_000)
        assert len(crashed) <= members + 1, crashed
        assert sim.read_job("j1").text == "failed"


@pytest.mark.parametrize("culprits", [{0}, set(range(MEMBERS))], ids=str)
def test_jobs_beside_a_gang_that_crashes_its_workers_complete(tmp_path, culprits):
    """Guards against tasks that are blamed for the crashes of a gang beside them."""
    with gang_cell(tmp_path, workers=6, cpu_millis=8000) as (sim, starts, gang):

        def crashes(order):
            starts[order.task] += 1
            return member(order) in culprits

        sim.crashes_worker = crashes
        names = [f"j{number}" for number in range(2, 12)]
        for name in names[:5]:
            cell_sim.submit_job(sim, name, cell_sim.step(4))
        cell_sim.submit_job(sim, "j1", gang)
        for name in names[5:]:
            cell_sim.submit_job(sim, name, cell_sim.step(4))
        sim.run(60_000)
        states = {name: sim.read_job(name).text for name in ["j1", *names]}
        assert states == {"j1": "failed", **dict.fromkeys(names, "completed")}
        assert max(starts[f"j1.0.0.{index}"] for index in culprits) <= MAX_STARTS


@pytest.mark.parametrize("has_takeover", [False, True])
def test_a_gang_runs_on_after_its_members_were_in_doubt(tmp_path, has_takeover):
    """Guards against a new leader that blames members in doubt more than the old one.

    The worker of one member is cut off while the gang is at work, three times. Once the
    leases are over, another leader takes over, and these workers restart.
    """
    with gang_cell(tmp_path) as (sim, _starts, gang):
        sim.restart_after_ms = None
        sim.refuses_when_down = False
        cell_sim.submit_job(sim, "j1", gang)
        lost = []
        for _loss in range(3):
            run_until_complete(sim)
            sim.run(1500)
            lost.append(running(sim)["j1.0.0.0"])
            sim.cut |= {(name, lost[-1].name) for name in sim.names}
            sim.cut |= {(lost[-1].name, name) for name in sim.names}
            assert sim.run(20_000, lambda: len(running(sim)) < MEMBERS)
            sim.run(1000)
        if has_takeover:
            old = sim.leader()
            sim.crash(old)
            sim.elect()
            sim.start(old)
        for worker in lost:
            worker.crash()
            worker.restart()
        sim.cut = set()
        sim.run(10_000)
        run_until_complete(sim)
