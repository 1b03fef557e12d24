"""Arithmetic on amounts of processors, memory and accelerators."""

from alderreach.core.generated import common

NOTHING = common.Resources(0, 0, 0)
UNBOUNDED = 1_000_000


def fits(demand, free):
    """Whether ``demand`` is at most ``free`` in every kind of resource."""
    return demand[0] <= free[0] and demand[1] <= free[1] and demand[2] <= free[2]


def plus(left, right):
    """Sum of two amounts."""
    return common.Resources(left[0] + right[0], left[1] + right[1], left[2] + right[2])


def minus(left, right):
    """Difference of two amounts."""
    return common.Resources(left[0] - right[0], left[1] - right[1], left[2] - right[2])


def times(amount, number):
    """``number`` times an amount."""
    return common.Resources(amount[0] * number, amount[1] * number, amount[2] * number)


def copies(demand, free):
    """How many tasks of ``demand`` go into ``free`` side by side.

    >>> copies(common.Resources(2, 1, 0), common.Resources(7, 9, 0))
    3
    """
    most = UNBOUNDED
    for wanted, there in zip(demand, free, strict=True):
        if wanted > 0:
            most = min(most, there // wanted)
    return max(0, most)


def share(amount, whole):
    """Return the largest share of ``whole`` that ``amount`` is, over its kinds.

    >>> share(common.Resources(1, 1, 0), common.Resources(10, 2, 0))
    0.5
    """
    shares = (part / of for part, of in zip(amount, whole, strict=True) if of > 0)
    return max(shares, default=0.0)


def describe(amount):
    """One line for people, without the kinds that are zero."""
    parts = [
        f"{number} {name}"
        for name, number in zip(amount._fields, amount, strict=True)
        if number
    ]
    return ", ".join(parts) or "nothing"
