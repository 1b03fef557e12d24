"""Tests the table of the kinds of faults that were played."""

import json

from tools import played_kinds

KINDS = """\
closing = { kind = kill_all | wipe_all, down_s } strikes at the end (how timed: later)

reset_conns: share (.1) have x (.5) of their connections reset
srv_grey: share fail (x); how: errors hang (x (8) long), slow (+ one_zone (some))
replace_core: (how oldest: the one that is oldest) one is lost; how: planned
node_kill: SIGKILL; how remove (they leave), leader
"""


def listed():
    return [str(variant) for variant in played_kinds.listed_variants(KINDS)]


def played(name, *kinds, fault=None):
    return ("site", {"name": name, "troubles": list(kinds), "fault": fault})


def test_variants_are_read_from_the_list():
    assert listed() == [
        "kill_all",
        "wipe_all",
        "reset_conns",
        "srv_grey",
        "srv_grey, errors",
        "srv_grey, hang",
        "srv_grey, slow",
        "srv_grey, one_zone",
        "replace_core",
        "replace_core, oldest",
        "replace_core, planned",
        "node_kill",
        "node_kill, remove",
        "node_kill, leader",
    ]


def test_a_variant_of_no_day_is_shown_though_its_kind_was_played(tmp_path, capsys):
    """Guards against a kind that seems played while no day had one of its variants."""
    (tmp_path / "kinds.txt").write_text(KINDS)
    entry = {"site": "site", "days": [played("any", "reset_conns")[1]] * 3}
    (tmp_path / "entry.json").write_text(json.dumps(entry))
    (tmp_path / "day.toml").write_text(
        'name = "hard"\nfaults = [{ kind = "node_kill", how = "remove" }]\n'
    )
    arguments = ["--kinds", "kinds.txt", "--days", "day.toml", "--journal", "."]
    paths = [a if a[0] == "-" else str(tmp_path / a) for a in arguments]
    played_kinds.main([*paths, "--variant", "reset_conns=silent", "--below", "1"])
    shown = capsys.readouterr().out
    assert "| reset_conns | 3 | silent 0 |" in shown


def test_variants_count_for_each_play_of_the_day_in_a_file():
    content = {
        "name": "hard",
        "faults": [{"kind": "node_kill", "how": "leader hard"}],
        "closing": {"kind": "kill_all"},
    }
    days = played_kinds.days_of_file(content)
    counts = played_kinds.count_played([played("hard", "node_kill")] * 2, days)
    assert counts[played_kinds.Variant("node_kill", "leader")] == 2
    assert counts[played_kinds.Variant("kill_all")] == 2


def test_another_day_of_the_same_name_counts_for_its_kinds_only():
    """Guards against variants counted as played in days that didn't have them."""
    content = {"name": "mix", "faults": [{"kind": "node_kill", "how": "leader"}]}
    days = played_kinds.days_of_file(content)
    counts = played_kinds.count_played([played("mix", "srv_grey")], days)
    assert counts == {played_kinds.Variant("srv_grey"): 1}


def test_a_day_on_which_the_system_did_not_start_is_not_counted():
    """Guards against faults counted as played on days that ended before the first."""
    days = [played("any", "node_kill", fault="does not start")]
    assert not played_kinds.count_played(days, {})


def test_variants_of_random_days_are_marked():
    variant = played_kinds.Variant("node_kill", "leader")
    counts = {variant: 4, played_kinds.Variant("node_kill"): 9}
    rows = played_kinds.seldom_played([variant], counts, {variant}, below=5)
    shown = played_kinds.table(rows, counts)
    assert "| node_kill | 9 | leader 4 (mixed) |" in shown
