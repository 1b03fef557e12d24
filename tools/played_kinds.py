"""Kinds of faults that days on the users' bench have had, against those there are.

    python -m tools.played_kinds --kinds KINDS.txt --days deploy/days/*.toml SITE.toml

prints a Markdown table of the kinds and variants that were played in fewer than
``--below`` days. KINDS.txt is what the bench lists for a site; it is split at its
semicolons and commas, so a few of its words may be no variants. ``--variant
reset_conns=silent`` adds one that the list leaves out.

The journal names the kinds of each day, but no variants. Those are taken from the files
given as ``--days``, for each journal day of that name. Random days that mix a site's
faults have no file; the variants that such mixes draw from are marked. Days of files
that weren't kept count for the kind alone, so figures of variants are lower bounds.
"""

import argparse
import collections
import json
import pathlib
import re
import tomllib
import typing

ANY_SITE = ""
# The line of the kinds that may end a day.
CLOSING_LINE = re.compile(r"^closing = \{ kind = ([\w |]+)")
KIND_LINE = re.compile(r"^(\w+): (.*)$")


class Variant(typing.NamedTuple):
    """A kind of fault, or with ``how`` one variant of it.

    >>> str(Variant("cloud_down", "busy"))
    'cloud_down, busy'
    """

    kind: str
    how: str = ""

    def __str__(self):
        return f"{self.kind}, {self.how}" if self.how else self.kind


class Row(typing.NamedTuple):
    """How often a variant was played."""

    variant: Variant
    days: int
    is_mixed: bool
    """Whether random days draw from it."""


def listed_variants(text):
    """The variants in the bench's list of kinds, in its order.

    >>> [str(v) for v in listed_variants("cloud_down: how: silent busy reset")]
    ['cloud_down', 'cloud_down, silent', 'cloud_down, busy', 'cloud_down, reset']
    """
    variants = []
    for line in text.splitlines():
        if closing := CLOSING_LINE.match(line):
            variants += [Variant(kind) for kind in closing[1].replace("|", " ").split()]
        elif found := KIND_LINE.match(line):
            kind, description = found.groups()
            variants.append(Variant(kind))
            variants += [Variant(kind, how) for how in _listed_hows(description)]
    return list(dict.fromkeys(variants))


def _listed_hows(description):
    hows = []
    for is_list, words in re.findall(r"\bhow(:?) ([^;.:]*)", _plain(description)):
        for item in re.split(r"[,|+]", words):
            # Without a colon, the sentence continues after the word.
            hows += item.split() if is_list else item.split()[:1]
    return hows


def _plain(description):
    """The description without its explanations in brackets."""
    text = description.replace("(how", "how").replace("(+", "+")
    before = None
    while before != text:
        before, text = text, re.sub(r"\([^()]*\)", "", text)
    return text.replace("(", " ").replace(")", " ")


def variants_of_entry(entry):
    """The kind of a day's entry, and each word of its ``how``."""
    kind = entry["kind"]
    hows = entry.get("how", "").split()
    return {Variant(kind)} | {Variant(kind, how) for how in hows}


def variants_of_day(day):
    """All variants of a day as its file describes it."""
    entries = [*day.get("faults", []), *day.get("plan", [])]
    entries += [day["closing"]] if "closing" in day else []
    return set().union(*map(variants_of_entry, entries))


def days_of_file(content):
    """The days of a day file or a site file, by site and name.

    >>> days_of_file({"name": "calm", "faults": []})
    {('', 'calm'): set()}
    """
    if "day" not in content:
        return {(ANY_SITE, content["name"]): variants_of_day(content)}
    site = content.get("name", ANY_SITE)
    return {(site, day["name"]): variants_of_day(day) for day in content["day"]}


def count_played(journal_days, days):
    """The number of days with each variant. ``journal_days`` has site and day pairs.

    A day of the same name whose kinds aren't those of the file was another day.
    """
    counts = collections.Counter()
    for site, played in journal_days:
        if played["fault"]:
            continue  # The system didn't start.
        name = played["name"]
        described = days.get((site, name)) or days.get((ANY_SITE, name)) or set()
        kinds = {Variant(kind) for kind in played["troubles"]}
        counts.update(kinds | described if kinds <= described else kinds)
    return counts


def seldom_played(variants, counts, mixed, below):
    """A ``Row`` for each of the variants that fewer than ``below`` days had."""
    return [
        Row(variant, counts[variant], variant in mixed)
        for variant in variants
        if counts[variant] < below
    ]


def table(rows, counts):
    """A Markdown table with a line for each kind that is or has a row."""
    kinds = dict.fromkeys(row.variant.kind for row in rows)
    lines = ["| kind | days | seldom played variants |", "|---|---|---|"]
    for kind in sorted(kinds, key=lambda kind: counts[Variant(kind)]):
        hows = ", ".join(map(_cell, (row for row in rows if row.variant.kind == kind)))
        lines.append(f"| {kind} | {counts[Variant(kind)]} | {hows} |")
    return "\n".join(lines)


def _cell(row):
    mark = " (mixed)" if row.is_mixed else ""
    return f"{row.variant.how or 'the kind'} {row.days}{mark}"


def read_journal(folder):
    """The site and day pairs of all entries of a journal."""
    for path in sorted(folder.glob("*.json")):
        entry = json.loads(path.read_text())
        for day in entry["days"] or []:
            yield entry["site"], day


def main(argv=None):
    """Prints the table."""
    options = _parse(argv)
    contents = [tomllib.loads(path.read_text()) for path in options.days]
    days, mixed = {}, set()
    for content in contents:
        days |= days_of_file(content)
        mixed |= set().union(*map(variants_of_entry, content.get("troubles", [])))
    listed = listed_variants(options.kinds.read_text())
    added = [Variant(*text.split("=", 1)) for text in options.variant]
    counts = count_played(read_journal(options.journal), days)
    rows = seldom_played(listed + added, counts, mixed, options.below)
    print(table(rows, counts))


def _parse(argv):
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--kinds", type=pathlib.Path, required=True)
    parser.add_argument("--days", type=pathlib.Path, nargs="+", required=True)
    parser.add_argument("--journal", type=pathlib.Path, default=pathlib.Path("journal"))
    parser.add_argument("--variant", action="append", default=[], metavar="KIND=HOW")
    parser.add_argument("--below", type=int, default=20)
    return parser.parse_args(argv)


if __name__ == "__main__":
    main()
