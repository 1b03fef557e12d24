"""The time line: merging processes, and filters."""

from alderreach.core.generated import common
from alderreach.utils import clocks, timeline


def event(wall_ms, process, kind="k", job_id="", team=""):
    return common.Event(wall_ms, 0, process, "b", kind, 0, "", job_id, "", "", team, "")


def test_merge_keeps_the_order_of_a_process_whose_wall_clock_stepped_back():
    """A VM's wall clock is set back by 50 ms between two events.

    If events were sorted by wall time alone, a task would seem to end before it
    started, and people would look for a fault that does not exist.
    """
    stepped = [event(100, "a", "started"), event(50, "a", "ended")]
    other = [event(90, "b", "before"), event(101, "b", "after")]
    kinds = [entry.kind for entry in timeline.merge([stepped, other])]
    assert kinds == ["before", "started", "ended", "after"]


def test_filters_are_applied_before_the_limit(tmp_path):
    line = timeline.Timeline("p", "b", clocks.FakeClock().clock, tmp_path, 100)
    line.record("first", job_id="j1", team="t")
    for _ in range(10):
        line.record("noise", team="t")
    line.record("last", job_id="j1", team="u")
    query = common.TimelineQuery("", 5, "", "j1", "", "")
    assert [found.kind for found in line.matching(query)] == ["first", "last"]
    both = query._replace(match_team="u")
    assert [found.kind for found in line.matching(both)] == ["last"]
    everything = common.TimelineQuery("", 5, "", "", "", "")
    assert len(line.matching(everything)) == 5
    line.close()
