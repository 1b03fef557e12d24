"""The learned speeds and durations in a cell's replicated state.

They only improve decisions: a leader without them decides as if all workers were equal
and all estimates right, and learns again.
"""

from alderreach.core.generated import cell


class Values:
    """``cell.LearnedSpeed`` by worker id and ``cell.LearnedDuration`` by queue."""

    def __init__(self):
        self.speeds = {}
        self.durations = {}


def apply(values, change, targets):
    """Apply a ``cell.LearnedValues``; speeds of workers not in ``targets`` are ignored.

    The entry of a worker is deleted with its record, so an entry that arrives later
    would stay for good.
    """
    for speed in change.speeds:
        if speed.target_id in targets:
            values.speeds[speed.target_id] = speed
    for duration in change.durations:
        values.durations[duration.queue] = duration


def drop_unknown_queues(values, config):
    """Drop the durations of queues that a configuration no longer has."""
    names = {queue.name for queue in config.queues}
    for name in [name for name in values.durations if name not in names]:
        del values.durations[name]


def image(values):
    """The values as a list for a snapshot; empty if there are none."""
    if not values.speeds and not values.durations:
        return []
    speeds, durations = list(values.speeds.values()), list(values.durations.values())
    return [cell.LearnedValues(speeds, durations)]


def copy(values):
    """Return an independent copy; immutable entries are shared."""
    other = Values()
    other.speeds, other.durations = dict(values.speeds), dict(values.durations)
    return other
