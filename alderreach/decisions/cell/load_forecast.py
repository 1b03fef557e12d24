"""When new work of a pool would start, and which jobs are refused because of that.

A pool is considered as one amount of a resource (processors, say) that its tasks hold
for a while. The forecast starts the waiting work class by class as running tasks end,
and tells when everything ahead of a new job has started. It does not assume further
arrivals, so it is rather too short than too long: a wrong refusal is worse than a wrong
acceptance.

>>> waiting = [Waiting(ClassKey(False, 2), 4000, 1000.0)]
>>> pool = Pool(4000, 0, [End(500, 4000)], waiting)
>>> start_delay(pool, ClassKey(False, 2)).expected_ms
1500.0
>>> start_delay(pool, ClassKey(False, 0)).expected_ms
500.0
"""

import collections
import heapq
import math
import typing

from alderreach.decisions.cell import order

# Times are rounded to this, so that a forecast takes a bounded number of steps.
BUCKET_MS = 50
# Beyond this time the pool is taken to be full, and work ahead starts at the rate at
# which full capacity serves it.
HORIZON_MS = 10_000
# The time for which the starts of a class are counted.
STARTED_MS = 1000
# Time for a run to save its progress and yield to more urgent work.
YIELD_MS = 300
# Largest known error of a submitter's estimate, as a share of the duration. The error
# of a sum over many jobs is smaller by the square root of their number.
ESTIMATE_ERROR = 0.9
# The number of workers in the permission query that a critical path includes.
QUERIED_WORKERS = 30
# A job is refused if it is expected to end later than this many objectives.
OBJECTIVES_BEYOND_SHARE = order.WORTHLESS_AFTER_OBJECTIVES
OBJECTIVES_WITHIN_SHARE = 2 * order.WORTHLESS_AFTER_OBJECTIVES
# Bounds of the time after which a refused job may come back. Callers are told whole
# seconds.
MIN_RETRY_MS = 1000
MAX_RETRY_MS = 30_000
# A job that comes back later than this after its time has lost its place.
PLACE_GRACE_MS = 10_000
MAX_PLACES = 1000
# Weight of the latest job in what is usual for a queue.
USUAL_WEIGHT = 0.05
# Amounts below this are rounding errors.
_NOTHING = 1e-6


class ClassKey(typing.NamedTuple):
    """A class of work; a lower key starts first. ``priority`` is the queue's."""

    is_beyond_share: bool
    priority: int


class Waiting(typing.NamedTuple):
    """Tasks of a step that have not started; ``amount`` is what they hold together.

    ``is_later`` is set while the step waits for earlier ones of its job, ``is_late`` if
    its job will miss its objective; work of the class that can be on time comes before.
    """

    key: ClassKey
    amount: float
    task_ms: float
    is_later: bool = False
    is_late: bool = False


class End(typing.NamedTuple):
    """The expected end of a run; ``yields_below`` is its priority if it may yield.

    Such a run yields to work of a lower priority number.
    """

    after_ms: float
    amount: float
    yields_below: float = -math.inf


class Pool(typing.NamedTuple):
    """One resource of a pool, or of a customer's cap, in any unit.

    ``capacity`` is what work that ends may use, ``free`` what is unused now; below zero
    if more is used than there is. ``started`` has what each class has started in the
    last ``STARTED_MS``.
    """

    capacity: float
    free: float
    ends: list
    waiting: list
    started: dict = {}


class Delay(typing.NamedTuple):
    """The time until new work of a class starts.

    ``certain_ms`` is the part of it that wrong estimates do not explain.
    """

    expected_ms: float
    certain_ms: float


NO_DELAY = Delay(0.0, 0.0)


class Job(typing.NamedTuple):
    """What a decision needs to know of a submitted job.

    ``share_ms`` is how long the job would occupy the whole pool.
    """

    name: typing.Hashable
    pool: str
    key: ClassKey
    objective_ms: float
    path_ms: float
    share_ms: float


class _Line:
    """The waiting work of one class during a forecast."""

    __slots__ = ("amount", "task_ms")

    def __init__(self):
        self.amount = 0.0
        self.task_ms = 0.0


def start_delay(pool, key, slack_ms=math.inf):
    """The Delay of new work of a class; infinite if the pool has no end in sight.

    ``slack_ms`` is how late the work may start to be on time. If it starts later, it
    is behind the late work of its class too.
    """
    ahead = [each for each in pool.waiting if each.key <= key]
    on_time = [each for each in ahead if not each.is_late or each.key < key]
    delay = _delay_behind(pool, key, on_time)
    if delay.expected_ms <= slack_ms or len(on_time) == len(ahead):
        return delay
    return _delay_behind(pool, key, ahead)


def _delay_behind(pool, key, ahead):
    """The delay by the forecast, or by the rate at which the class starts if shorter.

    A class may start sooner than its turn because its tasks fit into gaps that others
    leave, or because other work yields to it.
    """
    expected_ms = _start_delay_ms(pool, key, ahead)
    started = pool.started.get(key, 0)
    if started:
        open_amount = sum(
            each.amount for each in ahead if each.key == key and not each.is_later
        )
        expected_ms = min(expected_ms, open_amount * STARTED_MS / started)
    return Delay(expected_ms, expected_ms * _certain_part(len(ahead)))


def _certain_part(count):
    """The part of a sum over ``count`` estimates that their errors leave certain."""
    return 1 - ESTIMATE_ERROR / math.sqrt(max(1, count))


def _start_delay_ms(pool, key, ahead):
    freed, opened = collections.Counter(), {}
    for end in pool.ends:
        yields = end.yields_below > key.priority
        after_ms = min(end.after_ms, YIELD_MS) if yields else end.after_ms
        freed[bucket(after_ms)] += end.amount
    lines = _lines(ahead, opened)
    times = [*freed, *opened]
    heapq.heapify(times)
    room, now_ms = pool.free, 0
    while True:
        for line in lines:
            started = min(room, line.amount)
            if started <= _NOTHING:
                continue
            room -= started
            line.amount -= started
            end_ms = now_ms + max(BUCKET_MS, bucket(line.task_ms))
            if end_ms not in freed:
                heapq.heappush(times, end_ms)
            freed[end_ms] += started
        if room > _NOTHING and all(line.amount <= _NOTHING for line in lines):
            return float(now_ms)
        if not times or pool.capacity <= 0:
            return math.inf
        now_ms = heapq.heappop(times)
        if now_ms > HORIZON_MS:
            left = sum(line.amount * line.task_ms for line in lines)
            return HORIZON_MS + left / pool.capacity
        room += freed.pop(now_ms, 0)
        for line, amount in opened.pop(now_ms, ()):
            line.amount += amount


def _lines(ahead, opened):
    """The work by class, first class first; later steps are added to ``opened``.

    A later step is taken to open once a task of its class has had time to run.
    """
    lines, work, amounts = {}, collections.Counter(), collections.Counter()
    for each in ahead:
        lines.setdefault(each.key, _Line())
        amounts[each.key] += each.amount
        work[each.key] += each.amount * each.task_ms
    later = collections.Counter()
    for each in ahead:
        if each.is_later:
            later[each.key] += each.amount
        else:
            lines[each.key].amount += each.amount
    for key, line in lines.items():
        line.task_ms = work[key] / max(_NOTHING, amounts[key])
        if later[key]:
            opens_ms = bucket(line.task_ms)
            opened.setdefault(opens_ms, []).append((line, later[key]))
    return [lines[key] for key in sorted(lines)]


def bucket(time_ms):
    """A time in the future as the forecast rounds it."""
    return max(0, round(time_ms / BUCKET_MS)) * BUCKET_MS


def path_ms(queue, steps, task_ms):
    """A job's critical path with a permission query for each step.

    ``task_ms`` has the expected duration of a task of each step.
    """
    query_ms = 0
    if queue.permission is not None:
        rule = queue.permission
        query_ms = rule.decision_ms + QUERIED_WORKERS * rule.per_target_ms
    timed = [
        step._replace(estimated_ms=ms + query_ms)
        for step, ms in zip(steps, task_ms, strict=True)
    ]
    return max(order.chain_ms(timed), default=0)


class UsualPaths:
    """How long the critical paths of a queue's recent jobs were, by estimate."""

    def __init__(self):
        self._by_queue = {}

    def observe(self, queue_name, path):
        """Count the path of a new job, in milliseconds."""
        mean, variance = self._by_queue.get(queue_name, (path, 0.0))
        gap = path - mean
        mean += USUAL_WEIGHT * gap
        variance = (1 - USUAL_WEIGHT) * (variance + USUAL_WEIGHT * gap * gap)
        self._by_queue[queue_name] = (mean, variance)

    def longest_ms(self, queue_name, path):
        """A path that the job may have though its own estimate says ``path``.

        A job that looks short may be a usual one that was estimated wrongly, so it is
        judged as one that is longer than usual. A longer path allows a later start.
        """
        mean, variance = self._by_queue.get(queue_name, (path, 0.0))
        return max(path, mean + math.sqrt(variance))


def objective_ms(queue, path):
    """The objective of a job with a critical path of ``path`` milliseconds."""
    return queue.stretch * path + queue.target_latency_ms


def is_beyond_serving(job, delay_ms):
    """Whether a Job that starts after a delay would end too late to be accepted.

    ``delay_ms`` is what is certain of the delay. Jobs beyond their customers' shares
    are refused once they would be worthless, others far later.
    """
    if math.isinf(delay_ms):
        return False
    objectives = OBJECTIVES_WITHIN_SHARE
    if job.key.is_beyond_share:
        objectives = OBJECTIVES_BEYOND_SHARE
    return delay_ms + job.path_ms > objectives * job.objective_ms


class Place(typing.NamedTuple):
    """The place of a refused job among those that were refused."""

    number: int
    return_ms: float
    job: Job


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
        certain_ms = delay.certain_ms + _certain_part(count) * added_ms
        return Delay(delay.expected_ms + added_ms, certain_ms)

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
