"""A leader's view of the workers: their resources, runs, leases and incarnations.

Resources are reserved when a start is decided, and released only when the end of the
run is known: listed by the worker, or proved by an expired lease. A run is in one of
these states:

- ``ORDERED``: recorded, but not yet confirmed by the worker.
- ``RUNNING``: confirmed by the worker.
- ``REFUSED``: no copy of the start will be carried out from now on; a poll sent after
  that tells whether one was before.
- ``CLOSING``: to be stopped; the worker has not confirmed the stop yet.
- ``CLOSED``: the worker confirmed the stop; a poll sent after that tells how it ended.

The task of an *abandoned* run may be running elsewhere at the same time. Like any other
run, an abandoned one keeps its resources until its end is known.
"""

from alderreach.core import orders
from alderreach.core.generated import common
from alderreach.decisions.cell import call_losses, capacity_reports, health

ORDERED = "ordered"
RUNNING = "running"
REFUSED = "refused"
CLOSING = "closing"
CLOSED = "closed"

# A worker's clock may be 2 % slow, so the leader waits longer for the end of a lease.
CLOCK_DRIFT_FACTOR = 1.03
# Covers rounding, and the time between reading the clock and sending the call.
LEASE_MARGIN_MS = 400
# Two missed heartbeats of 1.5 s. A worker that is silent for longer gets no new runs.
SILENT_AFTER_MS = 4000
# The clock in an answer lags behind its arrival by the call's time limit and some
# queueing at most. A clock further behind than this belongs to another incarnation.
MAX_CLOCK_LAG_MS = 3000
# After one order or poll without an answer a worker is not used until the next answer.
DOUBTFUL_FAILURES = 1
# By the default settings of a controller.
DEFAULT_CAPACITY_VALID_MS = capacity_reports.validity_ms(1500, 3000)


class Run:
    """One run of a task as its leader sees it; ``pace`` is None while unknown.

    ``is_fully_observed`` is set if this leader started it, and not from a checkpoint,
    ``is_confirmed`` if the worker has told this leader that it runs, first at
    ``confirmed_ms``, ``is_watched`` if an earlier run may have crashed its worker, and
    ``lost_connection_at_start`` if the connection closed before its start was answered.
    ``stop`` is what is known of its stopping, for the log; None if it is not to stop.
    ``has_duplicate`` is set if it was abandoned for a second run, but is to work on.
    """

    __slots__ = (
        "abandoned",
        "allow_duplicates",
        "answered_ms",
        "best_effort",
        "checkpoint",
        "confirmed_ms",
        "customer",
        "demand",
        "first_ms",
        "first_percent",
        "has_duplicate",
        "is_confirmed",
        "is_fully_observed",
        "is_long",
        "is_watched",
        "key",
        "last_progress_ms",
        "load",
        "lost_connection_at_start",
        "may_yield",
        "next_send_ms",
        "order",
        "pace",
        "percent",
        "placed_ms",
        "run",
        "sends",
        "sent_ms",
        "state",
        "stop",
        "tail_target_ms",
        "ticket",
    )

    def __init__(self, key, run, step, now_ms, ticket=""):
        self.key = key
        self.run = run
        self.customer = ""
        self.demand = step.demand
        self.best_effort = step.best_effort
        self.tail_target_ms = step.tail_target_ms
        self.is_long = step.long_running
        self.is_fully_observed = True
        self.is_confirmed = False
        self.confirmed_ms = now_ms
        self.is_watched = False
        self.lost_connection_at_start = False
        self.allow_duplicates = step.allow_duplicates
        self.abandoned = False
        self.has_duplicate = False
        self.ticket = ticket
        self.state = ORDERED
        self.stop = None
        self.sends = 0
        self.sent_ms = now_ms
        self.next_send_ms = now_ms
        self.answered_ms = now_ms
        self.percent = 0
        self.first_percent = 0
        self.first_ms = None
        self.last_progress_ms = now_ms
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
        """Whether the run is to be stopped or has been."""
        return self.state in (CLOSING, CLOSED)

    def is_start_unanswered(self):
        """Whether the start may still arrive: neither it nor a stop is confirmed."""
        return not self.is_confirmed and self.state not in (REFUSED, CLOSED)

    def awaits_list(self):
        """Whether a list of the worker's runs is needed to tell how the run ended."""
        return self.state in (REFUSED, CLOSED)


class Worker:
    """A worker as its leader sees it.

    ``incarnation`` counts the incarnations that the leader noticed, ``fence`` is sent
    with each call to the latest one, and ``awaits_list`` is set from the start of one
    until its first list tells which runs it has.
    ``has_seen_epoch`` is set once the worker has seen the leader's epoch, and
    ``is_refusing`` if nothing listened there at the last call. ``has_unknown_runs`` is
    set if its last list had runs that it should not have, whose resources are not
    counted as used. ``poll`` is the open poll, ``superseded_polls`` are earlier ones
    without an answer, with the times when they were sent, ``answered_poll_ms`` is the
    time when the latest answered poll was sent, and ``slow_orders`` are those that were
    slow when the open one was sent. ``needs_list`` is set if only the next list can end
    a run. ``losses`` are the calls that the worker has lost, and ``copies`` in how many
    copies its link sends each call. ``first_failure_ms`` is the time of the first
    failed call since the last answer. ``closed_ms`` is when the connection of a call
    closed since that the worker was holding, ``down_by_ms`` when it was certainly down,
    since it refused a connection or closed one, and ``silent_from_ms`` when the first
    poll without an answer was due; each is None if that is not known.
    ``slowness`` is how many times as long as on a usual worker tasks take, as learned,
    and ``usual_pace_ms`` when a run of usual duration ended last, -1 if none did.
    ``isolated_run`` is the last run that has to start alone here; nothing else starts
    until its start can no longer arrive. ``runs_in_doubt`` maps the (key, run) of runs
    that were given up, but may not be over, to how they ended if this incarnation is
    over, and ``adopted_in_doubt`` are those of them that a previous leader gave up.
    ``noted_ends`` maps runs to how they ended, as a previous leader noted when it lost
    contact, and ``is_loss_noted`` is set once this leader has done so.
    ``previous_ends`` does the same for the runs of the previous incarnation.
    ``gang_ends`` maps the (task, run) of members of gangs of which another worker
    listed the end to its time; a poll sent before may still list them.
    ``capacity_report`` is the ``capacity_reports.Report`` of this incarnation that
    reported the capacity in ``record``, None if there is none yet. It is valid for
    ``capacity_valid_ms``. ``sequence`` and ``reported_clock_ms`` are of the latest
    heartbeat. The worker's clock itself is known from its answers only, since a
    heartbeat may be of another writer. ``needs_clock`` is set if the two differ, and
    ``needs_contact`` if it is to be known now whether the worker is up.
    """

    def __init__(
        self,
        record,
        now_ms,
        lease_end_ms,
        fence=0,
        capacity_valid_ms=DEFAULT_CAPACITY_VALID_MS,
    ):
        self.record = record
        self.capacity_valid_ms = capacity_valid_ms
        self.capacity_report = None
        self.target_id = record.target_id
        self.rack = rack_of(record.labels)
        self.runs = {}
        self.used = [0, 0, 0]
        self.has_seen_epoch = False
        self.awaits_list = False
        self.incarnation = 0
        self.fence = fence
        self.is_recording_ends = False
        self.has_ends_to_acknowledge = False
        self.has_unknown_runs = False
        self.is_leaving = False
        self.is_evacuated = False
        self.announced_ms = now_ms
        self.sequence = -1
        self.reported_clock_ms = -1
        self.last_contact_ms = now_ms
        self.failures = 0
        self.first_failure_ms = None
        self.closed_ms = self.down_by_ms = self.silent_from_ms = None
        self.runs_in_doubt = {}
        self.adopted_in_doubt = set()
        self.noted_ends = {}
        self.is_loss_noted = False
        self.gang_ends = {}
        self.previous_ends = {}
        self.is_refusing = False
        self.lease_end_ms = lease_end_ms
        self.clock_offset_ms = None
        self.clock_offset_at_ms = now_ms
        self.needs_clock = False
        self.needs_contact = False
        self.cursor = 0
        self.poll_sent_ms = None
        self.poll = None
        self.superseded_polls = []
        self.answered_poll_ms = -1
        self.slow_orders = ()
        self.needs_list = False
        self.slowness = 1.0
        self.usual_pace_ms = -1
        self.losses = call_losses.CallLosses()
        self.copies = 1
        self.polled_ms = now_ms
        self.poll_due_ms = now_ms
        self.paced_ms = now_ms
        self.held_back_until_ms = 0
        self.isolated_run = None
        self.health = health.Record()

    def record_call_outcome(self, outcome, now_ms):
        """Update the worker's health by the outcome of a call.

        Outcomes that prove nothing about its health leave it unchanged.
        """
        if outcome == orders.NOT_SENT:
            return
        self.is_refusing = outcome == orders.CONNECTION_REFUSED
        if outcome in orders.UNANSWERED:
            self.record_failed_call(now_ms)
        elif outcome == orders.OK:
            self.failures = 0
            self.first_failure_ms = self.silent_from_ms = None
            self.closed_ms = self.down_by_ms = None

    def record_failed_call(self, now_ms):
        """Count a call without an answer, or without a usable one."""
        if not self.failures:
            self.first_failure_ms = now_ms
        self.failures += 1

    def record_heartbeat(self, clock_ms, received_ms):
        """Record a heartbeat of this incarnation that reports what is in ``record``.

        ``clock_ms`` is the worker's clock at sending, -1 if unknown.
        """
        self.announced_ms = received_ms
        self.capacity_report = capacity_reports.Report(received_ms, clock_ms)

    def is_overtaken(self, sequence, clock_ms):
        """Whether the latest heartbeat of this incarnation was sent after this one.

        Both numbers rise with each heartbeat. If only one of them does, the heartbeats
        are of two writers, and the worker's own must not be taken for a late one.
        """
        return sequence < self.sequence and clock_ms <= self.reported_clock_ms

    def is_ahead(self, clock_ms, now_ms):
        """Whether a reported clock is ahead of what the worker answered itself.

        Also true after the leader was suspended, when its own clock stood still.
        """
        if self.clock_offset_ms is None:
            return False
        return clock_ms - now_ms > self.clock_offset_ms + MAX_CLOCK_LAG_MS

    def capacity_valid_until_ms(self):
        """Until when starts may rely on the capacity in ``record``."""
        return capacity_reports.valid_until_ms(
            self.capacity_report, self.clock_offset_ms, self.capacity_valid_ms
        )

    def begin_incarnation(self, fence):
        """Reset what was known of the previous incarnation.

        That is its ends, its epoch, its clock and its capacity.

        An open poll may be answered by either incarnation, so its answer is ignored.
        Calls from now on have a higher fence. Once one of them is carried out, the
        incarnation refuses all calls for the previous one that are still on their way.
        """
        self.incarnation += 1
        self.fence = fence
        self.poll_sent_ms = self.poll = None
        self.superseded_polls = []
        self.slow_orders = ()
        self.cursor = 0
        self.has_seen_epoch = False
        self.awaits_list = True
        self.clock_offset_ms = None
        self.capacity_report = None

    def is_of_previous_incarnation(self, run):
        """Whether all starts of a run were sent for previous incarnations, if any."""
        if run.order is None:
            return run.sends > 0
        return run.order.fence < self.fence

    def is_clock_of_other_incarnation(self, clock_ms, now_ms):
        """Whether a clock is too far behind to be that of the current incarnation."""
        if self.clock_offset_ms is None:
            return False
        aged = self.clock_offset_ms - (CLOCK_DRIFT_FACTOR - 1) * (
            now_ms - self.clock_offset_at_ms
        )
        return clock_ms - now_ms < aged - MAX_CLOCK_LAG_MS

    def update_clock_offset(self, clock_ms, now_ms):
        """Update the offset of the worker's clock, which is never estimated too high.

        An answer is older than its arrival, so a sample can only be too low. An earlier
        sample that was higher is kept, reduced by the maximum clock drift since then.
        """
        sample = clock_ms - now_ms
        if self.clock_offset_ms is not None:
            aged = self.clock_offset_ms - (CLOCK_DRIFT_FACTOR - 1) * (
                now_ms - self.clock_offset_at_ms
            )
            sample = max(sample, int(aged))
        self.needs_clock = False
        self.clock_offset_ms, self.clock_offset_at_ms = sample, now_ms

    def grant_lease(self, lease_ms, begin_ms):
        """Grant a lease from ``begin_ms``; returns its end by the worker's clock."""
        lease_end_ms = begin_ms + int(lease_ms * CLOCK_DRIFT_FACTOR) + LEASE_MARGIN_MS
        self.lease_end_ms = max(self.lease_end_ms, lease_end_ms)
        return begin_ms + self.clock_offset_ms + lease_ms

    def has_answered(self):
        """Whether this incarnation has answered at its address, and still does."""
        return self.has_seen_epoch and self.failures == 0

    def is_planned_to_end(self):
        """Whether the worker has announced that it drains or ends."""
        return self.is_leaving or self.record.state == "draining"

    def is_usable(self, now_ms):
        """Whether new runs may be placed on this worker."""
        return (
            self.has_seen_epoch
            and not self.has_unknown_runs
            and not self.is_leaving
            and self.record.state == "ready"
            and self.failures < DOUBTFUL_FAILURES
            and now_ms >= max(self.held_back_until_ms, self.health.out_until_ms)
            and not self.awaits_isolated_run()
            and now_ms - max(self.announced_ms, self.last_contact_ms) < SILENT_AFTER_MS
            and now_ms + capacity_reports.START_MS <= self.capacity_valid_until_ms()
        )

    def hold_back(self, until_ms):
        """Place no new runs on this worker before ``until_ms``."""
        self.held_back_until_ms = max(self.held_back_until_ms, until_ms)

    def awaits_isolated_run(self):
        """Whether the start of a run that has to start alone may still arrive."""
        run = self.isolated_run
        return (
            run is not None
            and self.runs.get(run.key) is run
            and run.is_start_unanswered()
        )

    def has_capacity(self, step):
        """Whether one more task of a step fits on this worker."""
        capacity, used, demand = self.record.capacity, self.used, step.demand
        cpu_fits = (
            step.best_effort or used[0] + demand.cpu_millis <= capacity.cpu_millis
        )
        return (
            cpu_fits
            and used[1] + demand.memory_mb <= capacity.memory_mb
            and used[2] + demand.accelerators <= capacity.accelerators
        )

    def starts_beyond_capacity(self):
        """The runs whose starts may still arrive, but do not fit any more.

        Earlier starts come first: a run fits if there is capacity for it beside the
        earlier ones and all runs that are there or are being stopped.
        """
        pending = [run for run in self.runs.values() if self._may_start_arrive(run)]
        used = list(self.used)
        for run in pending:
            _add_demand(used, run, -1)
        beyond = []
        for run in pending:
            _add_demand(used, run, 1)
            if any(
                need > limit
                for need, limit in zip(used, self.record.capacity, strict=True)
            ):
                _add_demand(used, run, -1)
                beyond.append(run)
        return beyond

    def _may_start_arrive(self, run):
        """Whether the start of a run that is not to be stopped may be carried out."""
        is_unanswered = run.state == ORDERED and not run.is_confirmed
        return is_unanswered and not self.is_of_previous_incarnation(run)

    def free(self):
        """The free resources."""
        capacity, used = self.record.capacity, self.used
        return common.Resources(
            capacity.cpu_millis - used[0],
            capacity.memory_mb - used[1],
            capacity.accelerators - used[2],
        )

    def add(self, run):
        """Add a run and reserve its resources."""
        self.runs[run.key] = run
        _add_demand(self.used, run, 1)

    def remove(self, run):
        """Remove a run and release its resources."""
        del self.runs[run.key]
        _add_demand(self.used, run, -1)

    def count_unconfirmed(self):
        """How many starts the worker has not confirmed yet."""
        return sum(run.is_start_unanswered() for run in self.runs.values())

    def count_of(self, group):
        """How many tasks of a step's occurrence run on this worker."""
        return sum(key[:3] == group for key in self.runs)


def _add_demand(used, run, sign):
    """Add a run's demand to the used resources, or subtract it."""
    if not run.best_effort:
        used[0] += sign * run.demand.cpu_millis
    used[1] += sign * run.demand.memory_mb
    used[2] += sign * run.demand.accelerators


def rack_of(labels):
    """The rack in a worker's labels, which is the last one, after its kind.

    >>> rack_of(["a", "r1-3"])
    'r1-3'
    """
    return labels[-1] if len(labels) > 1 else ""
