"""Learned speeds of workers under noise, change and wrong earlier values."""

import random

from alderreach.decisions.cell import speeds


def steps(learned, rng, slowness, count, per_step=4, kinds=("a",)):
    """Let steps run on a few workers each; durations vary, 3 % of tasks are long."""
    hardware = {
        name: ("pool", kinds[n % len(kinds)]) for n, name in enumerate(slowness)
    }
    for _step in range(count):
        usual_ms = rng.uniform(100, 4000)
        samples = []
        for name in rng.sample(list(slowness), min(per_step, len(slowness))):
            took_ms = usual_ms * slowness[name] * rng.lognormvariate(0, 0.3)
            took_ms *= 7 if rng.random() < 0.03 else 1
            samples.append(speeds.Sample(name, hardware[name], took_ms, 1))
        learned.compare(samples)
    learned.recentre(hardware)
    return {name: learned.slowness(name, hardware[name]) for name in slowness}


def third_slow(number=12):
    return {f"w{n}": 2.4 if n % 3 == 2 else 1.0 for n in range(number)}


def test_a_slow_third_is_found_with_and_without_a_kind_of_its_own():
    """Load: a third of the workers takes 2.4 times as long, some tasks seven times."""
    for seed in range(5):
        for kinds, count in ((("a", "a", "b"), 20), (("a",), 60)):
            truth = third_slow()
            rng, learned = random.Random(seed), speeds.WorkerSpeeds()
            found = steps(learned, rng, truth, count, kinds=kinds)
            for name, slowness in truth.items():
                assert abs(found[name] - slowness) < 0.35 * slowness, (seed, kinds)


def test_a_kind_is_known_before_its_workers_have_run_anything():
    """Guards against a day's first urgent steps on workers of a slow kind."""
    learned = speeds.WorkerSpeeds()
    truth = {f"w{n}": (1.0, 2.4)[n % 2] for n in range(8)}
    steps(learned, random.Random(4), truth, 8, kinds=("a", "b"))
    kinds = {name: ("pool", "ab"[n % 2]) for n, name in enumerate(truth)}
    learned.recentre(kinds | {"new": ("pool", "a")})
    assert learned.slowness("never used", ("pool", "b")) > 1.8
    assert learned.slowness("new", ("pool", "a")) == 1.0


def test_a_worker_that_slows_down_or_recovers_is_known_within_five_runs():
    for seed in range(10):
        rng, learned = random.Random(seed), speeds.WorkerSpeeds()
        truth = dict.fromkeys((f"w{n}" for n in range(4)), 1.0)
        steps(learned, rng, truth, 40)
        assert steps(learned, rng, truth | {"w0": 3.5}, 5)["w0"] > 1.5, seed
        steps(learned, rng, truth | {"w0": 3.5}, 20)
        assert steps(learned, rng, truth, 5)["w0"] < 2.0, seed
        assert steps(learned, rng, truth, 25)["w0"] < 1.4, seed


def test_one_long_task_hardly_changes_a_known_speed_and_few_runs_count_little():
    """Guards against workers that are avoided for one task that is long anywhere."""
    rng, learned = random.Random(1), speeds.WorkerSpeeds()
    truth = dict.fromkeys((f"w{n}" for n in range(6)), 1.0)
    steps(learned, rng, truth, 40)
    assert steps(learned, rng, truth | {"w0": 7.0}, 1, 6)["w0"] < 1.3
    assert steps(speeds.WorkerSpeeds(), rng, truth | {"w0": 7.0}, 1, 6)["w0"] < 2.0


def test_runs_that_are_all_on_slow_workers_change_nothing():
    """Guards against slow workers that count as usual since the steps that have time
    are placed on them alone.
    """
    rng, learned, truth = random.Random(2), speeds.WorkerSpeeds(), third_slow()
    steps(learned, rng, truth, 40, kinds=("a", "a", "b"))
    slow = {name: 2.4 for name, slowness in truth.items() if slowness > 1}
    for _step in range(100):
        names = rng.sample(list(slow), 2)
        learned.compare([speeds.Sample(n, ("pool", "b"), 2400, 2) for n in names])
    learned.recentre({n: ("pool", "b" if n in slow else "a") for n in truth})
    assert all(learned.slowness(name, ("pool", "b")) > 1.8 for name in slow)


def test_a_wrong_restored_speed_is_corrected():
    """Guards against a worker that is avoided for good for what was true once."""
    hardware = {f"w{n}": ("pool", "a") for n in range(6)}
    learned = speeds.WorkerSpeeds()
    learned.restore(hardware, {"w0": (3.0, 50), "w1": (0.4, 50)})
    assert round(learned.slowness("w0", ("pool", "a")), 2) == 3.0
    found = steps(learned, random.Random(3), dict.fromkeys(hardware, 1.0), 40)
    assert all(0.7 < slowness < 1.4 for slowness in found.values())
