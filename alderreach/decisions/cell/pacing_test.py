"""Throttling of best-effort tasks on workers whose serving tasks get slow."""

from alderreach.core import cell_state
from alderreach.core.generated import cell, common
from alderreach.decisions.cell import pacing, workers


def run(index, load=0.0, **options):
    step = cell.Step(
        1, common.Resources(1, 1, 0), 500, [], *cell_state.NO_STEP_OPTIONS
    )._replace(**options)
    result = workers.Run(cell_state.TaskKey("j", 0, 0, index), 1, step, 0)
    result.load = load
    return result


def shares(*runs):
    return [share for _run, share in pacing.share_changes(runs)]


def test_the_share_drops_before_the_target_is_missed():
    """Guards against best-effort tasks that keep a serving task over its target.

    The tail latency of a serving task rises as long as they run on the same worker.
    """
    filler = run(0, best_effort=True)
    assert shares(filler, run(1, load=70, tail_target_ms=80)) == [50]
    assert shares(filler, run(1, load=90, tail_target_ms=80)) == [0]
    assert shares(filler, run(1, load=30, tail_target_ms=80)) == []


def test_the_worst_of_several_serving_tasks_decides():
    filler = run(0, best_effort=True)
    serving = [run(1, load=10, tail_target_ms=80), run(2, load=81, tail_target_ms=80)]
    assert shares(filler, *serving) == [0]


def test_the_share_grows_in_steps_also_without_serving_tasks():
    filler = run(0, best_effort=True)
    filler.pace = 0
    calm = run(1, load=20, tail_target_ms=80)
    steps = []
    while filler.pace < 100:
        (filler.pace,) = shares(filler, calm)
        steps.append(filler.pace)
    assert steps == [25, 50, 75, 100]
    filler.pace = 50
    assert shares(filler) == [75]
