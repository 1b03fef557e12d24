"""Ranges of the numbers that come from outside the system, as msgspec types.

A number outside its range is refused where it enters. The ranges are far above what a
cell of 10,000 workers needs, and narrow enough for all that is added to stay within 64
bits: the demand of 100,000 jobs of 20,000 tasks, the durations of a chain of 20,000
steps times its stretch, and the due time of a millionth occurrence.

>>> import msgspec
>>> msgspec.json.decode(b"4", type=Count)
4
>>> msgspec.json.decode(b"-1", type=Count)
Traceback (most recent call last):
msgspec.ValidationError: Expected `int` >= 0
"""

from typing import Annotated

from msgspec import Meta

COUNT_MAX = 10**9
# Of one task or worker: a million cores, or a petabyte.
RESOURCE_MAX = 10**9
# Of all that a customer has running.
CAP_MAX = 10**12
# About three years.
DURATION_MS_MAX = 10**11
# The year 5138, and any worker's own clock.
INSTANT_MS_MAX = 10**14
OCCURRENCES_MAX = 10**6
STRETCH_MAX = 1000
WEIGHT_MAX = 10**9
# Numbers that are compared, but never added.
ORDINAL_MAX = 2**62

Count = Annotated[int, Meta(ge=0, le=COUNT_MAX)]
Ordinal = Annotated[int, Meta(ge=0, le=ORDINAL_MAX)]
Amount = Annotated[float, Meta(ge=0, le=RESOURCE_MAX)]
Duration = Annotated[float, Meta(ge=0, le=DURATION_MS_MAX)]
Instant = Annotated[float, Meta(ge=0, le=INSTANT_MS_MAX)]
# Always a whole number, unlike other times.
Birth = Annotated[int, Meta(ge=0, le=INSTANT_MS_MAX)]
# Negative ones are named in the list of a configuration's mistakes.
Cap = Annotated[float, Meta(ge=-CAP_MAX, le=CAP_MAX)]
Weight = Annotated[float, Meta(ge=-WEIGHT_MAX, le=WEIGHT_MAX)]
Occurrences = Annotated[int, Meta(ge=0, le=OCCURRENCES_MAX)]
Stretch = Annotated[float, Meta(ge=0, le=STRETCH_MAX)]
Percent = Annotated[float, Meta(ge=0, le=100)]
# A tail latency in milliseconds, or thousandths of a core.
Load = Annotated[float, Meta(ge=0, le=CAP_MAX)]
