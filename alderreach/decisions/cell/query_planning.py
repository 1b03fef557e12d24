"""Which permission queries are worth their time, and which workers they name.

The permission service handles one query at a time for each process that calls it, and
a slow query takes about a second. A step therefore queries only if it could start
while the tickets are valid, and it names the workers where that is likely. Helpers are
reserved for quick queries by the number that those have needed lately.

>>> reserved_helpers(43, peak=4)
5
>>> reserved_helpers(43, peak=None)
14
>>> options = [Option("w1", 1, 900, 0, 0.5), Option("w2", 2, 0, 0, 1.0)]
>>> choose(options, missing=2, limit=100)
['w2']
"""

import collections
import math
import typing

# The maximum share of the helpers that is reserved for quick queries, also used while
# their demand is not known.
RESERVED_HELPER_SHARE = 0.34
# One quick query more than usual finds a helper at once.
MIN_RESERVED = 2
# The reserve is this multiple of the maximum that was busy in the last period.
RESERVE_FACTOR = 1.25
DEMAND_PERIOD_MS = 3000
# A rule is slow if its decisions take this many times as long as the quickest rule's.
QUICK_RATIO = 4
# Queries under a quicker rule cost less than a forecast could save. They are sent as
# soon as a step lacks tickets.
MIN_WITHHELD_DECISION_MS = 200
# The share that is granted while few answers are known, and its weight in workers.
PRIOR_SHARE = 0.5
PRIOR_WORKERS = 20
# Older answers lose weight, since the rules of a queue may change.
MAX_COUNTED_WORKERS = 2000
# The chance that a step gets room which others claim or which is not free yet.
LATER_CHANCE = 0.4
# A query has to make the start of this share of a step's tasks likely, and of the
# second share while other tickets of the step are valid.
FIRST_START_SHARE = 0.1
AGAIN_START_SHARE = 0.5
# A step that is about to be late names at least this many workers. Fewer are often all
# denied, and the next query takes as long again.
MIN_NAMED = 10


class Option(typing.NamedTuple):
    """A worker that a query may name for a step."""

    target_id: str
    fits: int
    """How many tasks will fit while the ticket is valid, beside other steps' claims."""
    ready_ms: float
    """The time until the first of them fits; 0 if it fits now."""
    claims: int
    """How many other steps have a ticket or an open query for the worker."""
    chance: float
    """The probability that the worker is granted."""


def is_slow(rule, quickest_ms):
    """Whether queries under a rule leave the reserved helpers to quicker ones.

    ``quickest_ms`` is the decision time of the quickest rule in force, None if unknown.
    """
    return quickest_ms is not None and (
        rule.decision_ms >= QUICK_RATIO * max(1, quickest_ms)
    )


def may_withhold(rule):
    """Whether a query under a rule is worth a forecast before it is sent."""
    return rule.decision_ms >= MIN_WITHHELD_DECISION_MS


def reserved_helpers(helper_count, peak):
    """How many helpers are reserved for quick queries.

    ``peak`` is the maximum that was busy with them lately, None if that is not known.
    """
    most = int(RESERVED_HELPER_SHARE * helper_count)
    if peak is None:
        return most
    return min(most, max(MIN_RESERVED, math.ceil(RESERVE_FACTOR * peak)))


class QuickDemand:
    """How many helpers were needed at once for quick queries in the last period."""

    def __init__(self):
        self.busy = 0
        self._since_ms = None
        # (time, count) with falling counts: each is the maximum since the one before.
        self._peaks = collections.deque()

    def begin(self, now_ms):
        """Count a quick query that was sent."""
        self.busy += 1
        self._add(self.busy, now_ms)

    def end(self, now_ms):
        """Count a quick query that is over."""
        self._add(self.busy, now_ms)
        self.busy -= 1

    def miss(self, now_ms):
        """Count a quick query that found no idle helper."""
        self._add(self.busy + 1, now_ms)

    def peak(self, now_ms):
        """The maximum in the last period; None before the end of the first one."""
        if self._since_ms is None:
            self._since_ms = now_ms
        if now_ms - self._since_ms < DEMAND_PERIOD_MS:
            return None
        while self._peaks and self._peaks[0][0] <= now_ms - DEMAND_PERIOD_MS:
            self._peaks.popleft()
        return max(self.busy, self._peaks[0][1] if self._peaks else 0)

    def _add(self, count, now_ms):
        if self._since_ms is None:
            self._since_ms = now_ms
        while self._peaks and self._peaks[-1][1] <= count:
            self._peaks.pop()
        self._peaks.append((now_ms, count))


class GrantedShares:
    """The share of the named workers that each queue was granted so far."""

    def __init__(self):
        self._counts = {}

    def observe(self, queue, asked, granted):
        """Count an answer about ``asked`` workers that were not named before."""
        total, yes = self._counts.get(queue, (0, 0))
        total, yes = total + asked, yes + granted
        if total > MAX_COUNTED_WORKERS:
            total, yes = total / 2, yes / 2
        self._counts[queue] = total, yes

    def share(self, queue):
        """The expected share of the workers in a query that will be granted."""
        total, yes = self._counts.get(queue, (0, 0))
        return (yes + PRIOR_SHARE * PRIOR_WORKERS) / (total + PRIOR_WORKERS)


def choose(options, missing, limit):
    """Ids of the workers to name for ``missing`` tasks, best first.

    Workers with room now and without other claims come first, then those that have it
    soonest. They are as many as yield enough tickets with a margin of one standard
    deviation, and at most ``limit``. Workers whose room others claim count for one
    task, since not all claims are used.
    """
    named, expected, variance = [], 0.0, 0.0
    for option in sorted(options, key=_preference):
        if len(named) >= limit or expected - math.sqrt(variance) >= missing:
            break
        fits = min(max(option.fits, 1), missing)
        chance = option.chance
        if option.fits <= 0 or option.ready_ms > 0:
            chance *= LATER_CHANCE
        expected += chance * fits
        variance += chance * (1 - chance) * fits * fits
        named.append(option.target_id)
    return named


def _preference(option):
    return (
        option.fits <= 0,
        option.ready_ms > 0,
        option.claims,
        option.ready_ms,
        option.target_id,
    )


def choose_for_gang(options, permitted, tasks, limit):
    """Ids of the workers to name for a gang, which needs all tickets at the same time.

    ``permitted`` are the ids of the workers that were granted before. All of them are
    renewed, fresh tickets too. Empty if the workers of ``options`` together don't have
    room for the ``tasks`` of the gang.
    """
    options = [option for option in options if option.fits > 0]
    if sum(option.fits for option in options) < tasks:
        return []
    renewed = [option for option in options if option.target_id in permitted]
    others = [option for option in options if option.target_id not in permitted]
    held = sum(option.fits for option in renewed if option.chance)
    new = choose(others, tasks - held, limit // 2)
    return [*(option.target_id for option in renewed[: limit - len(new)]), *new]


def least_starts(tasks, has_tickets):
    """How many starts a query has to make likely for a step with waiting ``tasks``.

    A step that has tickets already queries again only for half of its tasks, since it
    would otherwise do so for each worker that becomes free. It can do so when its
    tickets expire.
    """
    return tasks * (AGAIN_START_SHARE if has_tickets else FIRST_START_SHARE)


def name_limit(rule, spare_ms, most):
    """The maximum number of workers that a query may name, ``most`` at the most.

    ``spare_ms`` is the time until the step must start so that its job is on time. A
    step that can't be on time any more names as many as one with time to spare.
    """
    if spare_ms <= rule.decision_ms or not rule.per_target_ms:
        return most
    # Infinite if a worker takes next to nothing.
    in_time = (spare_ms - rule.decision_ms) / rule.per_target_ms
    return int(min(most, max(MIN_NAMED, in_time)))
