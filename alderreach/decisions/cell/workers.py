"""What each worker has, what it runs, and until when it may go on without its leader.

Room is taken when a start is decided and given back only when the run's end is known:
listed by the worker, or proved by a lease that has lapsed. A run is in one of these
states:

- ``ORDERED``: recorded; the worker has not confirmed it yet.
- ``RUNNING``: the worker said so.
- ``CLOSING``: a stop is under way, or wanted.
- ``CLOSED``: the worker confirmed the stop; a poll sent after that tells how it ended.

A run that is *abandoned* was given up by its task, which may run elsewhere beside it;
here it keeps its room until its end is known like that of any other.
"""

from alderreach.core import orders
from alderreach.core.generated import common
from alderreach.decisions.cell import health

ORDERED = "ordered"
RUNNING = "running"
CLOSING = "closing"
CLOSED = "closed"

# A worker's clock may run 2 % slow, so a lease lasts that much longer for the leader.
SLOW_CLOCK = 1.03
# Covers rounding, and the time between reading the clock and the call's leaving.
LEASE_MARGIN_MS = 400
# Two missed heartbeats of 1.5 s: a worker that is silent for longer gets nothing new.
SILENT_AFTER_MS = 4000
# An answer's clock is older than its arrival by the call's time limit and some
# queueing; a clock that is further behind than this is that of another life.
OTHER_LIFE_BEHIND_MS = 3000
# The longest time after which an order without an answer was seen carried out is 12 s.
LATE_MS = 15_000
# An order or poll without an answer makes a worker doubtful until the next answer.
DOUBTFUL_FAILURES = 1


class Run:
    """One run of a task as its leader sees it; ``pace`` is None while not known.

    ``is_whole`` says that this leader started it, and from the beginning of its work,
    ``is_confirmed`` that the worker has said to this leader that it runs, and
    ``is_broken_off`` that the connection ended while the answer to its start was due.
    """

    __slots__ = (
        "abandoned",
        "allow_duplicates",
        "answered_ms",
        "best_effort",
        "checkpoint",
        "demand",
        "first_ms",
        "first_percent",
        "is_broken_off",
        "is_confirmed",
        "is_long",
        "is_whole",
        "key",
        "load",
        "may_yield",
        "moved_ms",
        "next_send_ms",
        "order",
        "pace",
        "percent",
        "placed_ms",
        "run",
        "sends",
        "state",
        "tail_target_ms",
        "ticket",
    )

    def __init__(self, key, run, step, now_ms, ticket=""):
        self.key = key
        self.run = run
        self.demand = step.demand
        self.best_effort = step.best_effort
        self.tail_target_ms = step.tail_target_ms
        self.is_long = step.long_running
        self.is_whole = True
        self.is_confirmed = False
        self.is_broken_off = False
        self.allow_duplicates = step.allow_duplicates
        self.abandoned = False
        self.ticket = ticket
        self.state = ORDERED
        self.sends = 0
        self.next_send_ms = now_ms
        self.answered_ms = now_ms
        self.percent = 0
        self.first_percent = 0
        self.first_ms = None
        self.moved_ms = now_ms
        self.placed_ms = now_ms
        self.load = 0.0
        self.pace = 100
        self.order = None
        self.checkpoint = ""
        self.may_yield = (
            step.checkpointing
            and not step.gang
            and not step.long_running
            and not step.best_effort
        )

    def is_closing(self):
        """Whether a stop of it is wanted or under way."""
        return self.state in (CLOSING, CLOSED)


class Worker:
    """One life of a worker.

    ``shown`` says whether it saw the leader's epoch, ``awaits_list`` that a new life
    began and its first list will tell which runs it has, ``life`` counts such lives,
    ``is_refusing`` that nothing listened there at the last call, and ``poll`` is the
    poll that is under way. ``failed_ms`` is when the first call failed since the last
    answer. ``vanished`` maps (key, run) of runs that were given up without being known
    to be over to how they ended if this life has; ``former_ends`` does so for those
    that ran in the life before.
    """

    def __init__(self, record, now_ms, lapses_ms):
        self.record = record
        self.target_id = record.target_id
        self.rack = rack_of(record.labels)
        self.runs = {}
        self.used = [0, 0, 0]
        self.shown = False
        self.awaits_list = False
        self.life = 0
        self.is_settling = False
        self.has_ends = False
        self.unsettled = {}
        self.is_leaving = False
        self.is_evacuated = False
        self.announced_ms = now_ms
        self.sequence = -1
        self.heard_ms = now_ms
        self.failures = 0
        self.failed_ms = None
        self.vanished = {}
        self.former_ends = {}
        self.is_refusing = False
        self.lapses_ms = lapses_ms
        self.offset_ms = None
        self.offset_at_ms = now_ms
        self.cursor = 0
        self.poll_sent_ms = None
        self.poll = None
        self.polled_ms = now_ms
        self.poll_due_ms = now_ms
        self.paced_ms = now_ms
        self.held_back_until_ms = 0
        self.health = health.Record()

    def note_answer(self, outcome, now_ms):
        """Learn from whether a call was answered: a worker that misses one is doubtful.

        Answers that prove nothing about its health leave that as it was.
        """
        self.is_refusing = outcome == orders.CONNECTION_REFUSED
        if outcome in (orders.UNKNOWN, *orders.NOT_CONNECTED):
            self.note_failure(now_ms)
        elif outcome == orders.OK:
            self.failures = 0
            self.failed_ms = None

    def note_failure(self, now_ms):
        """A call had no answer, or none that helps."""
        if not self.failures:
            self.failed_ms = now_ms
        self.failures += 1

    def may_arrive_late(self, run, now_ms):
        """A start of this run got no answer and may be carried out seconds later."""
        self.unsettled[(str(run.key), run.run)] = now_ms + LATE_MS

    def late_starts(self, now_ms):
        """Starts that may still be carried out, as (task, run)."""
        late = {key: ms for key, ms in self.unsettled.items() if ms > now_ms}
        self.unsettled = late
        return list(late)

    def begin_life(self):
        """Forget what was known of the life before: its ends, its epoch, its clock.

        A poll under way may be answered by either life, so its answer won't count.
        """
        self.life += 1
        self.poll_sent_ms = self.poll = None
        self.cursor = 0
        self.shown = False
        self.awaits_list = True
        self.offset_ms = None

    def is_other_clock(self, clock_ms, now_ms):
        """Whether a clock is too far behind to be the one that is known."""
        if self.offset_ms is None:
            return False
        aged = self.offset_ms - (SLOW_CLOCK - 1) * (now_ms - self.offset_at_ms)
        return clock_ms - now_ms < aged - OTHER_LIFE_BEHIND_MS

    def note_clock(self, clock_ms, now_ms):
        """Learn how far the worker's clock is ahead of ours; never too far ahead.

        An answer is older than its arrival, so a sample is at most too low. An earlier,
        higher sample is kept while its clock can't have fallen behind it.
        """
        sample = clock_ms - now_ms
        if self.offset_ms is not None:
            aged = self.offset_ms - (SLOW_CLOCK - 1) * (now_ms - self.offset_at_ms)
            sample = max(sample, int(aged))
        self.offset_ms, self.offset_at_ms = sample, now_ms

    def lease_until_ms(self, lease_ms, now_ms):
        """Grant a lease from now on; returns its end on the worker's clock."""
        lapses_ms = now_ms + int(lease_ms * SLOW_CLOCK) + LEASE_MARGIN_MS
        self.lapses_ms = max(self.lapses_ms, lapses_ms)
        return now_ms + self.offset_ms + lease_ms

    def is_planned_to_end(self):
        """Whether it has said that it drains or ends."""
        return self.is_leaving or self.record.state == "draining"

    def is_usable(self, now_ms):
        """Whether new runs may be placed here."""
        return (
            self.shown
            and not self.is_leaving
            and self.record.state == "ready"
            and self.failures < DOUBTFUL_FAILURES
            and now_ms >= max(self.held_back_until_ms, self.health.out_until_ms)
            and now_ms - max(self.announced_ms, self.heard_ms) < SILENT_AFTER_MS
        )

    def hold_back(self, until_ms):
        """Have nothing more placed here before a moment."""
        self.held_back_until_ms = max(self.held_back_until_ms, until_ms)

    def has_room(self, step):
        """Whether a task of a step fits beside what is here."""
        capacity, used, demand = self.record.capacity, self.used, step.demand
        cpu_fits = (
            step.best_effort or used[0] + demand.cpu_millis <= capacity.cpu_millis
        )
        return (
            cpu_fits
            and used[1] + demand.memory_mb <= capacity.memory_mb
            and used[2] + demand.accelerators <= capacity.accelerators
        )

    def free(self):
        """What is not taken, as Resources."""
        capacity, used = self.record.capacity, self.used
        return common.Resources(
            capacity.cpu_millis - used[0],
            capacity.memory_mb - used[1],
            capacity.accelerators - used[2],
        )

    def add(self, run):
        """Take room for a run."""
        self.runs[run.key] = run
        self._count(run, 1)

    def remove(self, run):
        """Give a run's room back."""
        del self.runs[run.key]
        self._count(run, -1)

    def count_of(self, group):
        """How many tasks of a step's occurrence are here."""
        return sum(key[:3] == group for key in self.runs)

    def _count(self, run, sign):
        if not run.best_effort:
            self.used[0] += sign * run.demand.cpu_millis
        self.used[1] += sign * run.demand.memory_mb
        self.used[2] += sign * run.demand.accelerators


def rack_of(labels):
    """The rack among a worker's labels: the last one, after its kind.

    >>> rack_of(["a", "r1-3"])
    'r1-3'
    """
    return labels[-1] if len(labels) > 1 else ""
