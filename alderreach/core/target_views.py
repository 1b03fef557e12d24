"""An entry's copy of the runners of one failure domain, updated by its owner's views.

Views may arrive late, twice, or from an owner that does not know yet that it was
replaced. The copy therefore only moves forward: views of a lower epoch are dropped, the
first full view of a higher epoch replaces everything, and changes apply only to a copy
that has reached the sequence they start from.
"""

import typing

from alderreach.core.generated import placer

DEAD = "dead"


class DomainView(typing.NamedTuple):
    """Runners by id, as the owner of ``epoch`` sent them at ``sequence``."""

    epoch: int
    sequence: int
    runners: dict[str, placer.RunnerView]


EMPTY = DomainView(0, 0, {})


class ApplyResult(typing.NamedTuple):
    """The copy after a view, and whether a full view must be requested."""

    view: DomainView
    has_gap: bool


def apply(current, pushed):
    """Apply a ``placer.TargetsView`` to the copy.

    >>> apply(EMPTY, placer.TargetsView("urubici", 3, 5, 7, [])).has_gap
    True
    """
    if pushed.epoch < current.epoch:
        return ApplyResult(current, False)
    is_full = pushed.from_sequence == 0
    if pushed.epoch > current.epoch and not is_full:
        return ApplyResult(current, True)
    if pushed.epoch == current.epoch and pushed.sequence <= current.sequence:
        return ApplyResult(current, False)
    if not is_full and pushed.from_sequence > current.sequence:
        return ApplyResult(current, True)
    runners = {} if is_full else dict(current.runners)
    for runner in pushed.runners:
        if runner.state == DEAD:
            runners.pop(runner.runner_id, None)
        else:
            runners[runner.runner_id] = runner
    return ApplyResult(DomainView(pushed.epoch, pushed.sequence, runners), False)


def watch_request(view, has_gap):
    """Return the ``WatchTargets`` that requests what the copy lacks."""
    if has_gap:
        return placer.WatchTargets(0, 0)
    return placer.WatchTargets(view.epoch, view.sequence)
