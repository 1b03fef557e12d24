"""Counts of the callers' cancels by outcome, and of those without a clear answer."""

from alderreach.core.generated import cell

# No controller got the request, or one may have carried it out.
UNSENT = "unsent"
UNCLEAR = "unclear"


def counter(metrics):
    """A function for ``LeaderCalls`` that counts cancels in ``metrics``.

    The counter ``cancels`` has the kind of the leader's answer, ``UNSENT`` or
    ``UNCLEAR``. The histogram ``cancel`` holds how long an answer took, and
    ``cancel_unanswered`` how long a cancel was tried without one.
    """

    def count(request, outcome, took_ms):
        if not isinstance(request, cell.CancelJob):
            return
        metrics.count("cancels", outcome_of(outcome))
        name = "cancel" if outcome.answer is not None else "cancel_unanswered"
        metrics.observe_ms(name, took_ms)

    return count


def outcome_of(outcome):
    """The kind of an ``Outcome``: that of its answer, ``UNSENT`` or ``UNCLEAR``."""
    if outcome.answer is not None:
        return outcome.answer.kind
    return UNCLEAR if outcome.may_have_acted else UNSENT
