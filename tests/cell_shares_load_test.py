"""Load on a full cell with customers' shares, in virtual time without a network."""

import random

import pytest

from alderreach.core.generated import cell, common
from tools import virtual_cell, virtual_parts

WORKERS = 12
WORKER_MILLIS = 8_000
SECONDS = 20
USUAL_PER_S = 1.6
FLOOD_MS = (4_000, 11_000)
# What one customer's flood may cost the others, as a share of their worth.
MAX_COST = 0.03
LATE_WORTH = 0.2
NO_CAP = common.Resources(10**9, 10**9, 0)
QUEUES = [
    virtual_parts.queue("urgent", 0, 1.5, 250),
    virtual_parts.queue("plan", 2, 2.2, 1_200),
]


def customers(weight):
    """Three customers, each with the same weight in jobs a second."""
    return [
        cell.CustomerConfig(name, [name.encode()], 0, weight, NO_CAP)
        for name in ("hot", "calm", "quiet")
    ]


def work(rng, mean_ms, tasks, cpu_millis, **options):
    """A step whose estimate is off by up to 0.9 of the duration."""
    times = [mean_ms * rng.lognormvariate(0, 0.3) for _ in range(tasks)]
    estimated_ms = int(mean_ms * rng.uniform(0.1, 1.9))
    step = virtual_parts.step(tasks, cpu_millis, 100, estimated_ms, [], **options)
    return [virtual_parts.Work(step, times)]


def submit_random(made, rng, customer, per_s, began_ms, over_ms):
    """Submit jobs of a customer at random times: urgent ones, and as many plans."""
    time_ms = began_ms
    while (time_ms := time_ms + rng.expovariate(per_s) * 1000) < over_ms:
        name = f"{customer}{time_ms}".replace(".", "-")
        if rng.random() < 0.5:
            made.submit_at(time_ms, "urgent", name, work(rng, 600, 4, 1_000), customer)
        else:
            works = work(rng, 2_500, 8, 1_500, checkpointing=True)
            made.submit_at(time_ms, "plan", name, works, customer)


def play(seed, flood=7.0, change=lambda made: None):
    """Play a cell that is two thirds full, in which one customer sends seven times its
    usual jobs for a while; its weight is what it sends otherwise. Returns the cell.
    """
    records = [virtual_parts.worker(n, WORKER_MILLIS) for n in range(WORKERS)]
    made = virtual_cell.VirtualCell(
        QUEUES,
        records,
        seed=seed,
        customers=customers(weight=1.25 * USUAL_PER_S),
        restore_ms=100,
    )
    for name in ("hot", "calm", "quiet"):
        rng = random.Random(f"{name}{seed}")
        submit_random(made, rng, name, USUAL_PER_S, 0, SECONDS * 1000)
    if flood > 1:
        submit_random(
            made, random.Random(seed), "hot", USUAL_PER_S * (flood - 1), *FLOOD_MS
        )
    change(made)
    made.run_until(SECONDS * 1000 + 120_000)
    return made


def worth_of_others(made):
    """The share of the worth that the customers that don't flood got."""
    outcomes = [
        made.outcome_of(job_id)
        for job_id, _queue in made.timed_jobs()
        if made.customer_of(job_id) != "hot"
    ]
    late = outcomes.count(virtual_cell.LATE)
    return (outcomes.count(virtual_cell.ON_TIME) + LATE_WORTH * late) / len(outcomes)


def assert_all_ended(made):
    """No accepted job is dropped, also of those beyond the share or worthless."""
    for job_id, _queue in made.timed_jobs():
        assert made.completed_ms(job_id) is not None, job_id


@pytest.mark.parametrize("seed", [1, 2])
def test_one_customer_floods(seed):
    """Guards against a flood that makes the jobs of customers within their shares late,
    and against jobs beyond the share that never run.
    """
    made = play(seed)
    assert worth_of_others(made) >= worth_of_others(play(seed, 1)) - MAX_COST
    assert_all_ended(made)


def test_the_leader_is_lost_during_a_flood():
    """Guards against a flood that counts as within the share under a new leader."""

    def lose_leader(made):
        made.lose_leader_at(8_000, 500)

    made, calm = play(1, change=lose_leader), play(1, 1, change=lose_leader)
    assert worth_of_others(made) >= worth_of_others(calm) - MAX_COST
    assert_all_ended(made)


def test_a_weight_is_lowered_during_a_flood():
    """Guards against a flood that keeps the large share it had when it began."""

    def configure(made, version, weight):
        everyone = [
            each._replace(weight=weight) if each.name == "hot" else each
            for each in customers(1.25 * USUAL_PER_S)
        ]
        config = made.term.leader.state.config
        config = config._replace(version=version, customers=everyone)
        made._request(cell.PutConfig(config))

    def change(made):
        made.loop.at(0, lambda: configure(made, 2, 100.0))
        made.loop.at(FLOOD_MS[0] + 100, lambda: configure(made, 3, USUAL_PER_S))

    made = play(1, change=change)
    assert worth_of_others(made) >= worth_of_others(play(1, 1)) - MAX_COST
    assert_all_ended(made)


def test_urgent_work_stops_runs_beyond_the_share_before_others():
    """Guards against stops of other customers' runs for a flood, though the runs of
    the flood itself could make room.
    """
    made = virtual_cell.VirtualCell(
        QUEUES, [virtual_parts.worker(1, WORKER_MILLIS)], customers=customers(0.05)
    )

    def submit(time_ms, queue, name, customer, cpu_millis, work_ms):
        step = virtual_parts.step(1, cpu_millis, 1, work_ms, checkpointing=True)
        works = [virtual_parts.Work(step, [work_ms])]
        made.submit_at(time_ms, queue, name, works, customer)

    for n in range(4):
        submit(0, "plan", f"credit{n}", "hot", 100, 10)
    submit(500, "plan", "flood", "hot", 5_000, 10_000)
    submit(500, "plan", "other", "calm", 3_000, 10_000)
    submit(2_000, "urgent", "urgent", "quiet", 2_000, 1_000)
    made.run_until(60_000)
    assert made.outcomes()["urgent"].on_time == 1
    assert made.completed_ms("other") < 11_000 < made.completed_ms("flood")


def plans(number, work_ms, began_ms, gap_ms, name):
    """Jobs of one step that fills a worker, as (time, name, works)."""
    step = virtual_parts.step(1, WORKER_MILLIS, 100, work_ms)
    works = [virtual_parts.Work(step, [work_ms])]
    return [(began_ms + gap_ms * n, f"{name}{n}", works) for n in range(number)]


def play_one_worker(jobs):
    """Play jobs without customers on a single worker."""
    made = virtual_cell.VirtualCell(
        QUEUES, [virtual_parts.worker(1, WORKER_MILLIS)], seed=1
    )
    for time_ms, name, works in jobs:
        made.submit_at(time_ms, "plan", name, works)
    made.run_until(300_000)
    return made


def test_late_work_after_an_overload_does_not_make_all_other_work_late():
    """Pattern: saturation. At once work for 60 s, then jobs that need 90 % of the cell.

    Guards against a cell that serves the latest first, and then all of them late.
    """
    pile = plans(60, 1_000, 0, 0, "pile")
    fresh = plans(40, 1_000, 4_000, 1_100, "fresh")
    made = play_one_worker(pile + fresh)
    outcomes = [made.outcome_of(name) for _ms, name, _works in fresh]
    assert outcomes.count(virtual_cell.ON_TIME) >= (1 - MAX_COST) * len(fresh)
    assert_all_ended(made)


def test_long_work_among_short_is_done_before_it_is_worthless():
    """Pattern: a few long jobs among short ones that fill half of the cell.

    Guards against long work that waits until no short work is left, though short work
    has time to wait.
    """
    short = plans(100, 500, 0, 1_000, "short")
    long = plans(8, 5_000, 500, 12_000, "long")
    made = play_one_worker(short + long)
    for _ms, name, _works in long:
        assert made.outcome_of(name) == virtual_cell.ON_TIME
    assert_all_ended(made)
