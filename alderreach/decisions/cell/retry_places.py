"""The places of refused jobs, and the times at which they may come back.

Room that is expected to become free goes to the job that was refused first. It is told
when that will be, and until it comes back its work counts as ahead of jobs that would
start later than that.

>>> places = Places()
>>> key = load_forecast.ClassKey(0, True)
>>> job = load_forecast.Job("j1", "pool", key, 2000, 1000, 100)
>>> places.refuse(job, delay_ms=4200, now_ms=0)
5000
"""

import math
import typing

from alderreach.decisions.cell import load_forecast

# Bounds of the time after which a refused job may come back. Callers are told whole
# seconds.
MIN_RETRY_MS = 1000
MAX_RETRY_MS = 30_000
# A job that comes back later than this after its time has lost its place.
PLACE_GRACE_MS = 10_000
MAX_PLACES = 1000


class Place(typing.NamedTuple):
    """The place of a refused job among those that were refused."""

    number: int
    return_ms: float
    job: load_forecast.Job


class Places:
    """The refused jobs that are expected to come back, in the order of refusal."""

    def __init__(self):
        self._places = {}
        self._number = 0
        # How many places were used, and how many were not, with a prior of one each.
        self._used, self._lapsed = 1, 1

    def __contains__(self, name):
        return name in self._places

    def delay_with_places(self, job, delay, now_ms):
        """The Delay of a Job behind the refused jobs that come back before it starts.

        A refused job that comes back is only behind those that were refused before.
        Work of refused jobs counts as much as they have come back so far.
        """
        if not self._places or math.isinf(delay.expected_ms):
            return delay
        own = self._places.get(job.name)
        number = own.number if own else math.inf
        ahead = sorted(
            (place.return_ms - now_ms, place.job.share_ms)
            for place in self._places.values()
            if place.number < number
            and place.job.pool == job.pool
            and place.job.key <= job.key
        )
        return_share = self._used / (self._used + self._lapsed)
        added_ms, count = 0.0, 0
        for after_ms, share_ms in ahead:
            if after_ms > delay.expected_ms + added_ms:
                break
            added_ms += share_ms * return_share
            count += 1
        certain_ms = delay.certain_ms + load_forecast.certain_part(count) * added_ms
        return load_forecast.Delay(delay.expected_ms + added_ms, certain_ms)

    def refuse(self, job, delay_ms, now_ms):
        """Give a refused Job a place, or move its time; returns when it may retry.

        The result is in milliseconds from now, a number of whole seconds, as callers
        are told no fractions. It is not before ``delay_ms`` (up to the limit), nor does
        the job return before others of its class that were refused earlier.
        """
        own = self._places.get(job.name)
        number = own.number if own else self._number
        earlier_ms = max(
            (
                place.return_ms
                for place in self._places.values()
                if place.number < number
                and place.job.pool == job.pool
                and place.job.key == job.key
            ),
            default=now_ms,
        )
        wait_ms = max(delay_ms, earlier_ms - now_ms)
        if own is not None:
            wait_ms = max(wait_ms, own.return_ms - now_ms)
        wait_ms = math.ceil(wait_ms / 1000) * 1000
        wait_ms = min(max(wait_ms, MIN_RETRY_MS), MAX_RETRY_MS)
        if own is None:
            self._number += 1
        self._places[job.name] = Place(number, now_ms + wait_ms, job)
        while len(self._places) > MAX_PLACES:
            del self._places[next(iter(self._places))]
        return wait_ms

    def accept(self, name):
        """Give up the place of a job that was accepted, if it has one."""
        if self._places.pop(name, None) is not None:
            self._used += 1

    def expire(self, now_ms):
        """Drop the places of jobs that have not come back in time."""
        for name, place in list(self._places.items()):
            if now_ms > place.return_ms + PLACE_GRACE_MS:
                del self._places[name]
                self._lapsed += 1
