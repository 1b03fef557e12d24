"""Worker selection among workers of unequal size and health."""

import random

from alderreach.core import cell_state
from alderreach.core.generated import cell, common
from alderreach.decisions.cell import choice, workers

GROUP = cell_state.GroupKey("j", 0, 0)


def worker(name, cpu=8000, rack="r1", kind="a", used=0, domain="d"):
    capacity = common.Resources(cpu, 16_000, 0)
    record = cell.TargetRecord(
        name, 1, "pool", "", domain, capacity, [kind, rack], "ready", ""
    )
    result = workers.Worker(record, 0, 0)
    result.has_seen_epoch = True
    result.record_heartbeat(clock_ms=-1, received_ms=0)
    result.used[0] = used
    return result


def step(tasks=1, cpu=1000, **options):
    plain = cell.Step(
        tasks, common.Resources(cpu, 100, 0), 500, [], *cell_state.NO_STEP_OPTIONS
    )
    return plain._replace(**options)


def best(usable, wanted, avoided="", domains=(), timing=choice.UNTIMED):
    ranking = choice.Ranking(usable, wanted, GROUP, domains, timing)
    return ranking.pop_best(cell_state.TaskKey(*GROUP, 99), avoided)


def chosen(all_workers, wanted, avoided=""):
    usable = choice.candidates(all_workers, wanted, GROUP, 0)
    worker = best(usable, wanted, avoided)
    return worker and worker.target_id


def uneven(**slowness):
    workers_ = [worker(name) for name in slowness]
    for each in workers_:
        each.slowness = slowness[each.target_id]
    return workers_


def test_a_step_without_time_to_spare_ends_on_quick_workers():
    """Guards against urgent steps that end late on a slow worker with the better fit,
    and against slow workers that stay empty while steps that have time take quick ones.
    """
    all_workers = uneven(quick=1.0, slow=2.4)
    all_workers[1].used[0] = 6000
    for timing, expected in (
        (choice.Timing(500, 1.5), "quick"),
        (choice.Timing(500, 0.5), "quick"),
        (choice.Timing(500, 3.0), "slow"),
    ):
        assert best(all_workers, step(), timing=timing).target_id == expected
    assert choice.quick_enough(all_workers, choice.Timing(500, 1.5)) == all_workers[:1]
    assert choice.quick_enough(all_workers, choice.Timing(500, 0.5)) == all_workers


def test_speed_domain_and_rack_are_weighed_by_the_time_they_cost():
    """Guards against a domain or rack that outweighs any difference in speed."""
    all_workers = uneven(quick=1.0, slow=2.4)
    all_workers[1].record = all_workers[1].record._replace(failure_domain="e")
    late = choice.Timing(500, 0.9)
    assert best(all_workers, step(), domains={"e"}, timing=late).target_id == "quick"
    brief = choice.Timing(20, 0.9)
    assert best(all_workers, step(), domains={"e"}, timing=brief).target_id == "slow"
    all_workers[1].rack = "r2"
    near = step(data_rack="r2")
    assert best(all_workers, near, timing=late).target_id == "slow"


def test_small_tasks_leave_an_empty_worker_for_a_large_one():
    all_workers = [
        worker("empty"),
        worker("half", used=4000),
        worker("full", used=7500),
    ]
    assert chosen(all_workers, step(cpu=1000)) == "half"
    assert chosen(all_workers, step(cpu=6000)) == "empty"
    assert chosen(all_workers, step(cpu=9000)) is None


def test_a_step_stays_in_one_failure_domain():
    """Guards against a partition of one domain that delays nearly every job.

    This happens when short jobs have tasks in all domains: the one task in the domain
    that is cut off makes no progress until its worker's lease ends.
    """
    all_workers = [
        worker("a1", used=2000, domain="a"),
        worker("a2", used=5000, domain="a"),
        worker("b1", used=4000, domain="b"),
    ]
    wanted = step(tasks=6)
    usable = choice.candidates(all_workers, wanted, GROUP, 0)

    def domains(number, used=()):
        return choice.preferred_domains(usable, wanted, GROUP, number, used)

    assert domains(6) == {"a"}
    assert domains(2, {"b"}) == {"b"}
    assert domains(20) == ()
    assert best(usable, wanted, domains={"a"}).target_id == "a2"
    assert best(usable, wanted, domains={"b"}).target_id == "b1"
    assert best(usable, step(data_rack="r1"), domains={"b"}).target_id == "b1"


def test_the_rack_of_the_data_outweighs_a_better_fit():
    all_workers = [worker("near", rack="r2"), worker("tight", used=7000)]
    assert chosen(all_workers, step(data_rack="r2")) == "near"


def test_required_labels_and_limits_per_worker_are_respected():
    limited = worker("w1", kind="b")
    assert chosen([limited], step(required_label="a")) is None
    run = workers.Run(cell_state.TaskKey(*GROUP, 0), 1, step(), 0)
    limited.add(run)
    assert chosen([limited], step(max_per_target=1)) is None
    assert chosen([limited], step(max_per_target=2)) == "w1"


def test_the_worker_on_which_a_task_failed_is_the_last_choice():
    all_workers = [worker("w1", used=4000), worker("w2")]
    assert chosen(all_workers, step(), avoided="w1") == "w2"
    assert chosen(all_workers[:1], step(), avoided="w1") == "w1"


def test_best_effort_tasks_avoid_serving_ones():
    """Guards against best-effort tasks that slow down a serving task for its users."""
    serving, busy = worker("serving"), worker("busy", used=7000)
    run = workers.Run(cell_state.TaskKey(*GROUP, 0), 1, step(tail_target_ms=80), 0)
    serving.add(run)
    assert chosen([serving, busy], step(best_effort=True, cpu=9000)) is None
    assert chosen([serving, busy], step(best_effort=True, cpu=4000)) == "busy"


def test_a_gang_starts_in_one_rack_if_it_fits():
    """Guards against a gang that takes several times as long, spread over racks."""
    all_workers = [worker(f"a{n}", cpu=2000, rack="r1") for n in range(3)]
    all_workers += [worker(f"b{n}", cpu=4000, rack="r2") for n in range(3)]
    gang = step(tasks=6, gang=True, same_rack=True)
    plan = choice.plan_gang(all_workers, gang, GROUP, 6, 0)
    assert {each.rack for each in plan} == {"r1"}
    all_workers[1].slowness = 2.4  # The gang would be as slow as this member.
    plan = choice.plan_gang(all_workers, gang, GROUP, 6, 0, choice.Timing(500, 1.5))
    assert {each.rack for each in plan} == {"r2"}
    wide = choice.plan_gang(all_workers, gang, GROUP, 14, 0)
    assert {each.rack for each in wide} == {"r1", "r2"}
    assert choice.plan_gang(all_workers, gang, GROUP, 19, 0) is None


def test_a_silent_or_draining_worker_gets_no_task():
    silent, draining = worker("w1"), worker("w2")
    silent.failures = 1
    draining.record = draining.record._replace(state="draining")
    assert chosen([silent, draining], step()) is None


def even_cost(worker, wanted):
    """The cost on workers of equal speed, as a sum in which each part outweighs the
    next: strikes, the data's rack, and the fit.
    """
    if wanted.best_effort:
        return choice._best_effort_cost(worker)
    is_remote = wanted.data_rack and worker.rack != wanted.data_rack
    return 10.0 * bool(is_remote) + choice._leftover_share(worker, wanted)


def reference_best(all_workers, wanted, key, avoided, domains):
    """The best worker for one task, computed from all workers as a reference."""
    free = [w for w in all_workers if key not in w.runs]
    rows = []
    for worker in choice.candidates(free, wanted, GROUP, 0):
        cost = even_cost(worker, wanted)
        if domains and worker.record.failure_domain not in domains:
            cost += 0.0 if wanted.best_effort else 2.0
        rows.append((worker.target_id == avoided, cost, worker.target_id, worker))
    return min(rows)[-1] if rows else None


def test_a_wide_step_is_placed_as_if_each_task_were_chosen_alone():
    """Guards against a ranking that is out of date after a task was placed, and against
    other choices than by rack, domain and fit on workers of equal speed.

    Places wide steps on workers of unequal size, some of them nearly full, for tasks of
    all durations, with and without time to spare.
    """
    for seed in range(60):
        rng = random.Random(seed)
        all_workers = [
            worker(
                f"w{n}",
                cpu=rng.choice((4000, 8000, 16_000)),
                rack=f"r{n % 3}",
                used=rng.randrange(0, 4000, 500),
                domain=f"d{n % 2}",
            )
            for n in range(12)
        ]
        wanted = step(
            tasks=30,
            cpu=rng.choice((500, 1000, 1500)),
            best_effort=rng.random() < 0.2,
            max_per_target=rng.choice((0, 2)),
            data_rack=rng.choice(("", "r1")),
        )
        domains = rng.choice(((), {"d1"}))
        old = cell_state.TaskKey(*GROUP, 3)
        all_workers[0].add(workers.Run(old, 1, wanted, 0))
        usable = choice.candidates(all_workers, wanted, GROUP, 0)
        timing = choice.Timing(rng.choice((1.0, 300.0, 60_000.0)), rng.choice((0.5, 9)))
        ranking = choice.Ranking(usable, wanted, GROUP, domains, timing)
        for index in range(30):
            key = cell_state.TaskKey(*GROUP, index)
            avoided = rng.choice(("", "w1", "w2"))
            expected = reference_best(all_workers, wanted, key, avoided, domains)
            assert ranking.pop_best(key, avoided) is expected, (seed, index)
            if expected is None:
                break
            expected.add(workers.Run(key, 1, wanted, 0))
            ranking.requeue(expected, 0)
