"""Paired differences between two revisions that have played the same days.

Results vary much more between days than between two revisions on the same day. So a
change is judged by the differences on the same days and seeds, with a 95 % confidence
interval of their mean, and not by comparing two means.

    python -m tools.paired --before journal/A.json --after journal/B.json journal/C.json

pairs the days of the given journal entries by site, name and seed. The interval is a
bootstrap interval, so it assumes no distribution of the differences. It is too narrow
for a handful of pairs: use at least a dozen.
"""

import argparse
import collections
import json
import pathlib
import random
import statistics
import typing

RESAMPLES = 4000
# The share of resampled means outside the interval, on each side.
TAIL_SHARE = 0.025


class Difference(typing.NamedTuple):
    """The mean difference of pairs, with its confidence interval."""

    pairs: int
    mean: float
    low: float
    high: float

    def __str__(self):
        return f"{self.mean:+.4f} [{self.low:+.4f}, {self.high:+.4f}] n={self.pairs}"


def difference(before, after):
    """The ``Difference`` of two lists of figures, paired by position.

    >>> print(difference([1.0, 2.0, 3.0], [1.5, 2.5, 3.5]))
    +0.5000 [+0.5000, +0.5000] n=3
    """
    differences = [b - a for a, b in zip(before, after, strict=True)]
    rng = random.Random(len(differences))
    means = sorted(
        statistics.fmean(rng.choices(differences, k=len(differences)))
        for _ in range(RESAMPLES)
    )
    outside = int(TAIL_SHARE * RESAMPLES)
    return Difference(
        len(differences),
        statistics.fmean(differences),
        means[outside],
        means[-1 - outside],
    )


def days_of(paths):
    """Read journal entries; returns lists of results by (site, day name, seed)."""
    found = collections.defaultdict(list)
    for path in paths:
        entry = json.loads(pathlib.Path(path).read_text())
        for day in entry["days"]:
            found[(entry["site"], day["name"], day["seed"])].append(day["G"])
    return found


def main():
    """Print each pair of days, and the ``Difference`` per site."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--before", nargs="+", required=True)
    parser.add_argument("--after", nargs="+", required=True)
    arguments = parser.parse_args()
    before, after = days_of(arguments.before), days_of(arguments.after)
    sites = collections.defaultdict(lambda: ([], []))
    for key in sorted(before.keys() & after.keys()):
        site, name, _seed = key
        old, new = statistics.fmean(before[key]), statistics.fmean(after[key])
        print(f"{site} {name}: {old:.3f} to {new:.3f}, {new - old:+.3f}")
        sites[site][0].append(old)
        sites[site][1].append(new)
    for site, (old, new) in sites.items():
        print(f"{site}: {difference(old, new)}")


if __name__ == "__main__":
    main()
