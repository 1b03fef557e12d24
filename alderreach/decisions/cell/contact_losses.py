"""When contact with workers was lost, and whether others were lost at the same time.

A cause outside the workers, such as a rack without power or a partition, ends contact
with several of them together. A crash that coincides with the loss of other workers is
no evidence against the tasks on its worker. Workers that had just started a task of the
same job don't count as others, since that job's tasks may each crash their worker, nor
do those on which a known suspect had just started. Against a run that had just started
itself, only workers count where nothing had just started: several tasks that crash
their workers may have started at the same time.

The time of a loss is an interval, from the last sign of life to the first sign that the
worker is down. It is short if a connection closed while the worker held a call, and
long if calls are only left without an answer. While workers are lost all the time, long
intervals overlap by chance, so that it remains unclear whether two losses coincide.
"""

import collections
import typing

# A connection closes within this time of its worker's crash, as seen by a busy leader.
CLOSED_WITHIN_MS = 50
# A first call without an answer may have been lost by itself, shortly before the worker
# was. The calls after it tell, and they are sent within this time.
FAILED_BEFORE_MS = 800
# A sound worker gives a sign of life more often than this, by a heartbeat at least.
OVERDUE_AFTER_MS = 2500
# The time of a loss is known well if its interval is not longer than this.
PRECISE_MS = 150
BUCKET_MS = 100
# Losses overlap by chance if they fill this share of the time before.
CHANCE_SHARE = 0.5
CHANCE_PERIOD_MS = 10_000
# Workers that are only silent count as lost after this time; calls get lost as well.
SILENT_AFTER_MS = 1000
RETENTION_MS = 90_000
# A run that had just started is excused by the loss of so many other workers.
MIN_OTHERS = 2
# More losses than this at the same time have a common cause, whatever ran there.
MANY_LOSSES = 100

# Whether other workers were lost at the same time as one.
ALONE = "alone"
UNCLEAR = "unclear"
SHARED = "shared"


def is_precise(from_ms, to_ms):
    """Whether the time of a loss is known well."""
    return to_ms - from_ms <= PRECISE_MS


class Loss(typing.NamedTuple):
    """The loss of contact with a worker, between two times of the leader's clock.

    ``job_ids`` are the jobs of which a task may just have started there, and
    ``has_suspect`` tells whether one of these was suspected of crashing workers.
    ``is_down`` is set if the worker is certainly down, and not just silent.
    """

    target_id: str
    from_ms: int
    to_ms: int
    job_ids: frozenset
    has_suspect: bool
    is_down: bool


def interval(worker, now_ms):
    """When contact with a worker was lost, as (earliest, latest) time.

    >>> import types
    >>> worker = types.SimpleNamespace(
    ...     closed_ms=None,
    ...     down_by_ms=None,
    ...     silent_from_ms=None,
    ...     first_failure_ms=900,
    ...     last_contact_ms=500,
    ...     announced_ms=0,
    ... )
    >>> interval(worker, now_ms=5000)
    (500, 1700)
    >>> worker.down_by_ms = 920
    >>> interval(worker, now_ms=5000)
    (500, 920)
    >>> worker.closed_ms = 900
    >>> interval(worker, now_ms=5000)
    (850, 900)
    """
    last_sign_ms = max(worker.last_contact_ms, worker.announced_ms)
    if worker.closed_ms is not None:
        from_ms = max(worker.closed_ms - CLOSED_WITHIN_MS, last_sign_ms)
        return min(from_ms, worker.closed_ms), worker.closed_ms
    to_ms = min(now_ms, last_sign_ms + OVERDUE_AFTER_MS)
    if worker.down_by_ms is not None:
        to_ms = min(to_ms, worker.down_by_ms)
    elif worker.silent_from_ms is not None:
        to_ms = min(to_ms, worker.silent_from_ms)
    elif worker.first_failure_ms is not None:
        to_ms = min(to_ms, worker.first_failure_ms + FAILED_BEFORE_MS)
    return min(last_sign_ms, to_ms), to_ms


class LostRun(typing.NamedTuple):
    """A run on a lost worker: its job, and whether it may just have started."""

    job_id: str
    was_fresh: bool


class ContactLosses:
    """The recent losses of contact, by time; see ``Loss``."""

    def __init__(self):
        self._buckets = collections.defaultdict(dict)
        self._latest = {}
        self._of_ended = {}

    def record(self, loss):
        """Record a loss, or know the time of a recorded one more closely."""
        self.forget(loss.target_id)
        self._latest[loss.target_id] = loss
        self._add(loss, loss.target_id)

    def _add(self, loss, name):
        for bucket in _buckets(loss.from_ms, loss.to_ms):
            self._buckets[bucket][name] = loss

    def forget(self, target_id):
        """Drop the latest loss of a worker, of which the same incarnation answers."""
        loss = self._latest.pop(target_id, None)
        if loss is None:
            return
        for bucket in _buckets(loss.from_ms, loss.to_ms):
            self._buckets[bucket].pop(target_id, None)

    def is_recorded(self, target_id):
        """Whether the current incarnation of a worker is recorded as lost."""
        return target_id in self._latest

    def keep(self, target_id):
        """Keep the latest loss of a worker, whose incarnation is over."""
        loss = self._latest.pop(target_id, None)
        if loss is not None:
            for bucket in _buckets(loss.from_ms, loss.to_ms):
                self._buckets[bucket].pop(target_id, None)
            loss = self._of_ended[target_id] = loss._replace(is_down=True)
            self._add(loss, (target_id, loss.to_ms))

    def interval(self, target_id, now_ms):
        """When contact with the latest ended incarnation of a worker was lost."""
        loss = self._latest.get(target_id) or self._of_ended.get(target_id)
        if loss is None:
            return now_ms - OVERDUE_AFTER_MS, now_ms
        return loss.from_ms, loss.to_ms

    def coincidence(self, target_id, run, from_ms, to_ms, now_ms):
        """Whether contact with another worker was lost at the same time as with one.

        ``run`` is the ``LostRun`` on that worker for which this is asked. Returns
        ALONE, SHARED, or UNCLEAR if losses overlap by chance.

        >>> losses = ContactLosses()
        >>> losses.record(Loss("w1", 900, 1000, frozenset({"j1"}), False, True))
        >>> losses.record(Loss("w3", 900, 1000, frozenset({"j1"}), False, True))
        >>> losses.coincidence("w2", LostRun("j2", was_fresh=False), 950, 1100, 1200)
        'shared'
        >>> losses.coincidence("w2", LostRun("j1", was_fresh=False), 950, 1100, 1200)
        'alone'
        >>> losses.coincidence("w2", LostRun("j2", was_fresh=True), 950, 1100, 1200)
        'alone'
        """

        def counts(loss):
            is_explained = loss.job_ids if run.was_fresh else run.job_id in loss.job_ids
            is_other = loss.target_id != target_id and not loss.has_suspect
            is_lost = loss.is_down or now_ms - loss.from_ms >= SILENT_AFTER_MS
            return is_other and is_lost and not is_explained

        is_precise_time = is_precise(from_ms, to_ms)
        min_others = MIN_OTHERS if run.was_fresh else 1
        others = precise = 0
        for number, loss in enumerate(self._between(from_ms, to_ms)):
            if number >= MANY_LOSSES:
                return SHARED
            if counts(loss):
                others += 1
                precise += is_precise(loss.from_ms, loss.to_ms)
            if (precise if is_precise_time else others) >= min_others:
                break
        if is_precise_time and precise >= min_others:
            return SHARED
        if others < min_others:
            return ALONE
        if not is_precise_time and run.was_fresh:
            return UNCLEAR
        by_chance = ALONE if is_precise_time else UNCLEAR
        return by_chance if self._fill_time(to_ms, counts) else SHARED

    def _between(self, from_ms, to_ms):
        """Yield each loss that may have happened between two times."""
        names = set()
        for bucket in _buckets(from_ms, to_ms):
            for name, loss in self._buckets.get(bucket, {}).items():
                is_new = name not in names
                if is_new and loss.from_ms <= to_ms and loss.to_ms >= from_ms:
                    names.add(name)
                    yield loss

    def _fill_time(self, to_ms, counts):
        """Whether the losses for which ``counts`` holds overlap others by chance."""
        buckets = _buckets(to_ms - CHANCE_PERIOD_MS, to_ms)
        filled = sum(
            any(counts(loss) for loss in self._buckets.get(bucket, {}).values())
            for bucket in buckets
        )
        return filled >= CHANCE_SHARE * len(buckets)

    def tidy(self, now_ms):
        """Drop the losses that are too old to coincide with one that is judged now."""
        oldest = (now_ms - RETENTION_MS) // BUCKET_MS
        for bucket in [each for each in self._buckets if each < oldest]:
            del self._buckets[bucket]
        for losses in (self._latest, self._of_ended):
            over = [
                target_id
                for target_id, loss in losses.items()
                if loss.to_ms // BUCKET_MS < oldest
            ]
            for target_id in over:
                del losses[target_id]


def _buckets(from_ms, to_ms):
    return range(from_ms // BUCKET_MS, to_ms // BUCKET_MS + 1)
