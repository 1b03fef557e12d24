"""The report of a soak test: counts, latencies, availability and faults over time."""

import collections

from tools.soak import promises

BARS = " .:-=+*#%@"
LETTERS = {
    "kill": "k",
    "stop": "t",
    "pause": "p",
    "wipe": "w",
    "dark": "D",
    "blackout": "B",
    "cut": "c",
    "cut_one_way": "o",
    "slow": "s",
    "reset": "r",
    "worker_crash": "x",
    "drain": "d",
    "vanish": "v",
    "late_starts": "l",
    "isolate": "i",
    "deafen": "f",
    "mute": "m",
    "freeze": "z",
    "full": "u",
    "stall": "n",
    "clock": "h",
    "silent": "q",
    "capacity": "y",
}


def lines(report):
    """The lines of the report on one day."""
    statuses = collections.Counter(answer.status for answer in report.answers)
    kinds = collections.Counter(fault.kind for fault in report.faults)
    latency = report.latency
    yield (
        f"seed {report.seed}: {len(report.violations)} broken; {report.accepted} jobs "
        f"accepted, {report.cancelled} cancelled, {report.refused} refused, "
        f"{report.starts} starts"
    )
    yield f"  answers {_counts(statuses)}; faults {_counts(kinds)}"
    yield "  latency ms " + ", ".join(
        f"p{percent:g} {latency.get_value_at_percentile(percent)}"
        for percent in (50, 90, 99, 100)
    )
    yield from (f"  {line}" for line in plot(report))
    slow = [text for _wall_ms, text in report.timeline if promises.SLOW_SYNC in text]
    if slow:
        yield f"  {len(slow)} slow syncs of the machine's disk"
    yield from (f"  BROKEN {text}" for text in report.violations)


def plot(report):
    """Two rows: the share of requests answered successfully, and the faults.

    Each column is one second. The upper row is darker the higher that share is; the
    lower row has the letter of the last fault that began in that second.
    """
    seconds = int(max([answer.at_s for answer in report.answers], default=0)) + 1
    asked, served = [0] * seconds, [0] * seconds
    for answer in report.answers:
        asked[int(answer.at_s)] += 1
        served[int(answer.at_s)] += answer.status in (200, 410)
    marks = [" "] * seconds
    for fault in report.faults:
        if int(fault.at_s) < seconds:
            marks[int(fault.at_s)] = LETTERS[fault.kind]
    yield "served " + "".join(
        BARS[round(9 * good / all_)] if all_ else "?"
        for good, all_ in zip(served, asked, strict=True)
    )
    yield "faults " + "".join(marks)


def timeline(report):
    """What happened on the workers, a line per event; times are those of the logs."""
    for wall_ms, text in report.timeline:
        yield f"{wall_ms} {text}"


def evidence(report):
    """The lines of the time line about the tasks, jobs and workers of violations."""
    words = " ".join(report.violations).split()
    named = {word for word in words if any(char.isdigit() for char in word)}
    return [line for line in timeline(report) if any(name in line for name in named)]


def _counts(counter):
    return ", ".join(f"{name} {number}" for name, number in sorted(counter.items()))
