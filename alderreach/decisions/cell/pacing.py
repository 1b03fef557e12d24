"""Throttling of best-effort tasks before serving tasks miss their latency target.

Best-effort tasks slow down serving tasks on the same worker, by amounts that differ by
image and change within seconds.

A worker reports the tail latency over half a second, which is a noisy figure. So the
share of the best-effort tasks is halved as soon as a serving task exceeds
``HIGH_RATIO`` of its target, and set to zero when it exceeds the target itself. Below
``LOW_RATIO`` the share grows by ``SHARE_INCREASE``. Two reports at least arrive between
two changes, so that the effect of each is seen before the next.
"""

HIGH_RATIO = 0.85
LOW_RATIO = 0.6
SHARE_INCREASE = 25
FULL_SHARE = 100
# A smaller share does less work than its effect on serving tasks may cost.
MIN_SHARE = 13


def next_share(share, ratio):
    """The next share in percent, given the worst ratio of a tail latency to its target.

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
    """The worst ratio of tail latency to target of the serving tasks; None if none."""
    ratios = [run.load / run.tail_target_ms for run in runs if run.tail_target_ms > 0]
    return max(ratios, default=None)


def share_changes(runs):
    """(run, share) for each best-effort run whose share should change now.

    The share is unknown if a previous leader or an order without an answer may have set
    it. It is then set in any case; otherwise a run whose share was set to zero might
    never continue.
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
