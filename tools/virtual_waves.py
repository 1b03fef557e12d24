"""Measures which tasks a leader gives up in waves of worker crashes, in virtual time.

On *innocent* days no task crashes its worker or fails by itself, so each failed job was
given up by mistake. On *culprit* days some tasks crash each worker that starts them.
Both are judged by what happened on the simulated machines, not by the leader's view: a
crash counts as one under a task if a run of the task was on the machine.

    python -m tools.virtual_waves innocents --seeds 0:42 --processes 2
    python -m tools.virtual_waves culprits --seeds 0:14
"""

import argparse
import collections
import functools
import multiprocessing
import time
import typing

from tools import virtual_wave_days

# A job is never failed before its task has crashed this many workers.
MIN_CRASHES = 2
# After the crashes that prove it, a culprit is not started this many times more.
TOO_MANY_STARTS = 3
MINUTE_MS = 60_000
TRACED_FIELDS = ("run", "target", "how", "outcome", "blame", "age_ms")


class Figures(typing.NamedTuple):
    """What one day has shown."""

    seed: int
    mix: str
    failures: list
    """The jobs without a culprit that have failed, as ``Failure``."""
    unproved: list
    """All jobs that failed with fewer than MIN_CRASHES crashes under the task."""
    culprits: int
    restarted: list
    """Culprits started too often after the crashes that prove them."""
    worst_minute: int
    """The most workers that culprits crashed within a minute."""
    unfailed: int
    """Jobs with a culprit that have not failed at the end of the day."""
    stalls: list
    seconds: float
    traces: dict


def play(kind, seed):
    """Play one day of "innocents" or "culprits"; returns its ``Figures``.

    On every second round of the mixes, culprits act without waves.
    """
    began_s = time.monotonic()
    is_culprits = kind == "culprits"
    has_waves = not is_culprits or seed // len(virtual_wave_days.MIXES) % 2 == 0
    day = virtual_wave_days.WaveDay(seed, is_culprits, has_waves)
    day.play()
    return judge(day, time.monotonic() - began_s)


def judge(day, seconds=0.0):
    """What a day that has been played has shown, as ``Figures``."""
    failures = day.failures()
    guilty_jobs = {key.job_id for key in day.culprits}
    guilty_groups = {".".join(map(str, key[:3])) for key in day.culprits}
    stalls = [each for each in day.watch.stalls if each.task not in guilty_groups]
    stalled = tuple(f"{each.task}." for each in stalls)
    traced = [each.task for each in failures] + [str(key) for key in day.culprits]
    traced += [task for task in day.traces if f"{task}.".startswith(stalled)]
    return Figures(
        day.seed,
        day.mix.name if day.has_waves else f"{day.mix.name}, no waves",
        [each for each in failures if each.job_id not in guilty_jobs],
        [each for each in failures if each.crashes < MIN_CRASHES],
        len(day.culprits),
        sorted(
            str(key)
            for key, starts in day.starts_after_proof.items()
            if starts >= TOO_MANY_STARTS
        ),
        most_within(day.culprit_crashes_ms, MINUTE_MS),
        len(guilty_jobs - {each.job_id for each in failures}),
        stalls,
        seconds,
        {task: day.traces[task] for task in traced},
    )


def most_within(times_ms, span_ms):
    """The most of some ascending times that lie within one span.

    >>> most_within([0, 10, 11, 12], 3)
    3
    """
    return max(
        (
            sum(began_ms <= time_ms < began_ms + span_ms for time_ms in times_ms)
            for began_ms in times_ms
        ),
        default=0,
    )


def _describe(figures):
    """The figures of one day or of several."""
    days = list(figures)
    parts = [
        f"{sum(len(each.failures) for each in days)} innocent jobs failed",
        f"{sum(len(each.unproved) for each in days)} with fewer than two crashes",
        f"{sum(len(each.stalls) for each in days)} stalls",
    ]
    if any(each.culprits for each in days):
        parts += [
            f"{sum(each.culprits for each in days)} culprits",
            f"{sum(len(each.restarted) for each in days)} of them started too often",
            f"{sum(each.unfailed for each in days)} not failed",
            f"{max(each.worst_minute for each in days)} crashes in the worst minute",
        ]
    return ", ".join([*parts, f"{sum(each.seconds for each in days):.1f} s"])


def _print_traces(figures):
    print(*figures.stalls, sep="\n")
    for task, events in sorted(figures.traces.items()):
        print(f"  {task}")
        for time_ms, event, fields in events:
            shown = {key: fields[key] for key in TRACED_FIELDS if key in fields}
            print(f"    {time_ms} {event} {shown}")


def main():
    """Print the figures of each day, and their totals by mix and in all."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("kind", choices=("innocents", "culprits"))
    parser.add_argument("--seeds", default="0:7", help="FIRST:END")
    parser.add_argument("--processes", type=int, default=1)
    parser.add_argument("--trace", action="store_true", help="print events of tasks")
    arguments = parser.parse_args()
    seeds = range(*map(int, arguments.seeds.split(":")))
    by_mix, ends = collections.defaultdict(list), collections.Counter()
    with multiprocessing.Pool(arguments.processes) as pool:
        for each in pool.imap(functools.partial(play, arguments.kind), seeds):
            print(f"seed {each.seed} ({each.mix}): {_describe([each])}", flush=True)
            by_mix[each.mix].append(each)
            ends.update((f.crashes, f.ends) for f in each.failures)
            if arguments.trace:
                _print_traces(each)
    for mix, days in by_mix.items():
        print(f"{mix}, {len(days)} days: {_describe(days)}")
    print(f"total: {_describe(day for days in by_mix.values() for day in days)}")
    for (count, kinds), jobs in sorted(ends.items()):
        print(f"{jobs} failed with {count} crashes: {', '.join(kinds)}")


if __name__ == "__main__":
    main()
