"""When new work of a pool would start, and which jobs are refused because of that.

A pool is considered as one amount of a resource (processors, say) that its tasks hold
for a while. The forecast starts the waiting work class by class as running tasks end,
and tells when everything ahead of a new job has started. It does not assume further
arrivals, so it is rather too short than too long: a wrong refusal is worse than a wrong
acceptance.

>>> waiting = [Waiting(ClassKey(2, False), 4000, 1000.0)]
>>> pool = Pool(4000, 0, [End(500, 4000)], waiting)
>>> start_delay(pool, ClassKey(2, False)).expected_ms
1500.0
>>> start_delay(pool, ClassKey(0, False)).expected_ms
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
# A step lasts as long as its longest task, which is this factor longer than expected of
# one of ten to twenty tasks whose durations spread by a third.
LONGEST_TASK_FACTOR = 1.5
# The number of workers in the permission query that a critical path includes.
QUERIED_WORKERS = 30
# A job is refused if it is expected to end later than this many objectives.
OBJECTIVES_BEYOND_SHARE = order.WORTHLESS_AFTER_OBJECTIVES
OBJECTIVES_WITHIN_SHARE = 2 * order.WORTHLESS_AFTER_OBJECTIVES
# Weight of the latest job in what is usual for a queue.
USUAL_WEIGHT = 0.05
# Amounts below this are rounding errors.
_NOTHING = 1e-6


class ClassKey(typing.NamedTuple):
    """A class of work; a lower key starts first. ``priority`` is the queue's."""

    priority: int
    is_beyond_share: bool


class Waiting(typing.NamedTuple):
    """Tasks of a step that have not started; ``amount`` is what they hold together.

    ``is_later`` is set while the step waits for earlier ones of its job. After
    ``latest_start_ms`` from now, negative if that is over, its job is late.
    """

    key: ClassKey
    amount: float
    task_ms: float
    is_later: bool = False
    latest_start_ms: float = math.inf


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


class Slack(typing.NamedTuple):
    """How late a new job may start, from now, by its estimate and at most.

    Its estimate decides on its turn, and ``on_time_ms`` on whether it is late then.
    """

    latest_start_ms: float
    on_time_ms: float


NO_LIMIT = Slack(math.inf, math.inf)


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


def start_delay(pool, key, latest_start_ms=math.inf, includes_late=False):
    """The Delay of new work of a class; infinite if the pool has no end in sight.

    Within its class work goes in the order of its latest start, and before work that is
    late already, unless the new work will be late as well (``includes_late``).
    """
    ahead = [
        each
        for each in pool.waiting
        if each.key < key
        or (
            each.key == key
            and each.latest_start_ms <= latest_start_ms
            and (includes_late or each.latest_start_ms >= 0)
        )
    ]
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
    return Delay(expected_ms, expected_ms * certain_part(len(ahead)))


def rounded_down(time_ms):
    """A time that may be shorter by a third, so that many times become a few.

    >>> [rounded_down(ms) for ms in (1000, 1100, 1500)]
    [985, 985, 1477]
    """
    if time_ms <= BUCKET_MS or math.isinf(time_ms):
        return time_ms if math.isinf(time_ms) else 0
    power = math.floor(math.log(time_ms, 1.5))
    return math.floor(1.5**power)


def aged(delay, age_ms):
    """The Delay that is left of one that was forecast ``age_ms`` ago."""
    expected_ms = max(0.0, delay.expected_ms - age_ms)
    return Delay(expected_ms, max(0.0, delay.certain_ms - age_ms))


def certain_part(count):
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

    ``task_ms`` has the expected duration of a task of each step; a step lasts longer.
    """
    query_ms = 0
    if queue.permission is not None:
        rule = queue.permission
        query_ms = rule.decision_ms + QUERIED_WORKERS * rule.per_target_ms
    timed = [
        step._replace(estimated_ms=LONGEST_TASK_FACTOR * ms + query_ms)
        for step, ms in zip(steps, task_ms, strict=True)
    ]
    return max(order.chain_ms(timed), default=0)


class UsualPaths:
    """The mean critical path of each queue's recent jobs, by estimate."""

    def __init__(self):
        self._by_queue = {}

    def observe(self, queue_name, path):
        """Count the path of a new job, in milliseconds."""
        mean = self._by_queue.get(queue_name, path)
        self._by_queue[queue_name] = mean + USUAL_WEIGHT * (path - mean)

    def longest_ms(self, queue_name, path):
        """A path that the job may have though its own estimate says ``path``.

        A job that looks short may be a usual one that was estimated wrongly, so it is
        judged as a usual one. A longer path allows a later start.
        """
        return max(path, self._by_queue.get(queue_name, path))


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
