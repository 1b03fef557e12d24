"""Arithmetic on amounts of processors, memory and accelerators."""

from alderreach.core.generated import common

NOTHING = common.Resources(0, 0, 0)
UNBOUNDED = 1_000_000


def fits(demand, free):
    """Whether ``demand`` is at most ``free`` in every kind of resource."""
    return demand[0] <= free[0] and demand[1] <= free[1] and demand[2] <= free[2]


def plus(left, right):
    """Return the sum of two amounts."""
    return common.Resources(left[0] + right[0], left[1] + right[1], left[2] + right[2])


def minus(left, right):
    """Return the difference of two amounts."""
    return common.Resources(left[0] - right[0], left[1] - right[1], left[2] - right[2])


def times(amount, number):
    """Return ``number`` times an amount."""
    return common.Resources(amount[0] * number, amount[1] * number, amount[2] * number)


def copies(demand, free):
    """Return how many tasks of ``demand`` fit into ``free`` together.

    >>> copies(common.Resources(2, 1, 0), common.Resources(7, 9, 0))
    3
    """
    most = UNBOUNDED
    for wanted, there in zip(demand, free, strict=True):
        if wanted > 0:
            most = min(most, there // wanted)
    return max(0, most)


def share(amount, whole):
    """Return the largest share of ``whole`` that ``amount`` has in any kind.

    >>> share(common.Resources(1, 1, 0), common.Resources(10, 2, 0))
    0.5
    """
    shares = (part / of for part, of in zip(amount, whole, strict=True) if of > 0)
    return max(shares, default=0.0)


def describe(amount):
    """Return an amount as text, without the kinds that are zero."""
    parts = [
        f"{number} {name}"
        for name, number in zip(amount._fields, amount, strict=True)
        if number
    ]
    return ", ".join(parts) or "nothing"
