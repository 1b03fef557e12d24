"""Incremental planning passes compared with full passes.

The load is urgent jobs, wide plans and services on nearly full workers, while workers
drain, crash, are cut off and return. No network is involved.
"""

import random

import pytest

from alderreach.core import cell_state
from alderreach.decisions.cell import choice
from tools import virtual_cell, virtual_parts
from tools.benches import cell as cell_bench
from tools.benches import fleet

WORKERS = 24
SECONDS = 8


def placeable_workers(planner, group, now_ms):
    """Return the workers on which a waiting task of a group could start now, if any.

    As in a full pass, all workers that the group may use are considered, whether or not
    they changed.
    """
    leader = planner._leader
    job = leader.state.jobs[group.job_id]
    step = job.record.steps[group.step]
    pool = planner._pool(job, group, now_ms)
    usable = choice.candidates(pool, step, group, now_ms)
    tasks = job.groups[group[1:]]
    waiting = [n for n, task in enumerate(tasks) if task.state == cell_state.WAITING]
    if step.gang:
        if len(waiting) < len(tasks):
            return []
        return choice.plan_gang(pool, step, group, len(tasks), now_ms) or []
    keys = [cell_state.TaskKey(*group, index) for index in waiting]
    return [w for w in usable if any(key not in w.runs for key in keys)]


def check_each_pass(sim):
    """Run a full pass after each pass and assert that it finds nothing to start."""
    planner = sim.term.planner
    consider_groups, checked = planner._consider_groups, []

    def consider_and_check(now_ms):
        consider_groups(now_ms)
        for group in planner._queue.groups():
            if not sim.term.leader.is_over(group):
                missed = placeable_workers(planner, group, now_ms)
                assert not missed, (now_ms, group, missed[0].target_id)
        checked.append(now_ms)

    planner._consider_groups = consider_and_check
    return checked


@pytest.mark.parametrize("seed", [*range(6), 13, 17, 18])
def test_an_incremental_pass_misses_nothing_that_could_start(seed):
    """Guards against steps that wait because freed capacity was not reported."""
    rng = random.Random(seed)
    sizes = (64_000, 64_000, 32_000, 128_000)
    records = [
        virtual_parts.worker(n, sizes[n % 4], 2 * sizes[n % 4], f"r{n // 8}")
        for n in range(WORKERS)
    ]
    queues = [
        queue._replace(permission=None) if queue.name == "plan" else queue
        for queue in fleet.queues()
    ]
    sim = virtual_cell.VirtualCell(
        queues, records, permitted_shares=cell_bench.PERMITTED_SHARES, seed=seed
    )
    load = cell_bench.Load(sim, seed, WORKERS / fleet.REFERENCE_WORKERS, fleet.MIX)
    load.serve_from_start()
    load.arrivals(SECONDS, urgent_burst=2.0, plan_burst=1.8)
    names = [record.target_id for record in records]
    rng.shuffle(names)
    sim.drain_at(rng.uniform(1_000, 4_000), names[:2], 2_000)
    sim.crash_at(rng.uniform(1_000, 6_000), names[2:4])
    sim.cut_off_at(rng.uniform(1_000, 4_000), names[4:8], rng.uniform(300, 6_500))
    checked = check_each_pass(sim)
    sim.run_until(SECONDS * 1000)
    assert len(checked) > 100
    assert sim.starts > 50
