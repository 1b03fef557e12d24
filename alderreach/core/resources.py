"""Arithmetic on processors, memory and accelerators."""

from alderreach.core.generated import common


def times(resources, number):
    """Return the total demand of ``number`` tasks."""
    return common.Resources(*(number * amount for amount in resources))


def fits(resources, available):
    """Whether ``resources`` is at most ``available`` in each dimension.

    >>> fits(common.Resources(1, 2, 0), common.Resources(1, 2, 0))
    True
    """
    return all(asked <= free for asked, free in zip(resources, available, strict=True))
