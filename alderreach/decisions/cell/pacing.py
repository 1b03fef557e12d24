"""Best-effort tasks step back before they make serving tasks miss their target.

They disturb serving tasks on the same worker by amounts that differ by image and change
within seconds.

The tail that a worker reports for half a second is rough, so the share of the
best-effort tasks is halved as soon as a serving task is over ``HIGH`` of its target and
taken to nothing when it is over the target itself; below ``LOW`` it grows by ``STEP``.
Two reports at least lie between two changes, so that each shows its effect first.
"""

HIGH_RATIO = 0.85
LOW_RATIO = 0.6
SHARE_INCREASE = 25
FULL_SHARE = 100
# A share below this is worth less than the disturbance it may bring.
MIN_SHARE = 13


def next_share(share, ratio):
    """The next share in percent, for the worst ratio of a tail to its target.

    >>> next_share(100, 0.9), next_share(100, 1.2), next_share(0, 0.3)
    (50, 0, 25)
    """
    if ratio > 1.0:
        return 0
    if ratio > HIGH_RATIO:
        return share // 2 if share // 2 >= MIN_SHARE else 0
    if ratio < LOW_RATIO:
        return min(FULL_SHARE, share + SHARE_INCREASE)
    return share


def worst_ratio(runs):
    """The worst tail of the serving tasks against its target; None without any."""
    ratios = [run.load / run.tail_target_ms for run in runs if run.tail_target_ms > 0]
    return max(ratios, default=None)


def share_changes(runs):
    """(run, share) for each best-effort run whose share should change now.

    A share that is not known, since another leader or an order without an answer may
    have set it, is set in any case: a run that is held down to nothing for what nobody
    knows of would never work again.
    """
    ratio = worst_ratio(runs)
    if ratio is None:
        ratio = 0.0
    wanted = []
    for run in runs:
        if run.best_effort and not run.tail_target_ms:
            share = next_share(FULL_SHARE if run.pace is None else run.pace, ratio)
            if share != run.pace:
                wanted.append((run, share))
    return wanted
