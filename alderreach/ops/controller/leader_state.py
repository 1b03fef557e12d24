"""The state and decisions of a leader in one term, and how they become durable.

A leader works on its own copy of the cell's state, which is ahead of the log by the
decisions that are not committed yet. ``decide`` changes that copy immediately and keeps
the change for the next batch. The change's ``effect`` (an answer, an order to a worker)
runs only once the batch is committed. So no other process ever sees a decision that a
new leader might not know.
"""

import collections
import math
import typing

from absl import logging

from alderreach.core import cell_state
from alderreach.core.generated import cell
from alderreach.decisions.cell import (
    capacity_reports,
    crash_blame,
    customers,
    fair_shares,
    permissions,
    pools,
    workers,
)
from alderreach.ops.controller import learning, verdicts
from alderreach.ops.keeper import extension


class Environment(typing.NamedTuple):
    """The services that a process provides to its leader.

    ``confirmed_ms()`` returns a time of the monotonic clock until when it is certain
    that there was no newer leader. ``committed()`` returns the committed state of the
    cell, ``cell_offset_ms()`` the offset of the cell's time from the monotonic clock,
    ``is_time_known()`` whether that offset can be relied on, and ``helpers()`` the
    addresses of the processes that may query the permission service.
    ``send_query(query)`` sends a ``permissions.Query`` to its helper.
    """

    settings: typing.Any
    clock: typing.Any
    metrics: typing.Any
    record: typing.Callable
    confirm: typing.Callable
    confirmed_ms: typing.Callable
    committed: typing.Callable
    cell_offset_ms: typing.Callable
    is_time_known: typing.Callable
    helpers: typing.Callable
    send_query: typing.Callable
    open_link: typing.Callable


class _Queues(typing.NamedTuple):
    """The queues of one configuration, by name."""

    config: typing.Any
    by_name: dict
    least_urgent: float


class LeaderState:
    """The leader's state in one term; used by the controller's task only."""

    def __init__(self, epoch, environment):
        self.epoch = epoch
        self.environment = environment
        self.state = cell_state.copy(environment.committed())
        self.customers = customers.Customers()
        if self.state.config is not None:
            self.customers.configure(self.state.config)
        self.shares = fair_shares.rebuild(
            self.state.jobs.values(),
            self.state.config,
            environment.settings.cell.share_credit_ms,
        )
        self.workers = {}
        self.evidence = verdicts.Evidence(self.now_ms())
        self.pools = pools.Pools(self.workers)
        self.links = {}
        self.permissions = permissions.Permissions()
        self.needs_planning = True
        # Groups for which something other than free capacity has changed.
        self.groups_to_revisit = set()
        self.durations, self.moves = {}, {}
        # When each task that is paused may be started again, and how often each has
        # paused because of runs in doubt.
        self._pauses = {}
        self._doubt_pauses = collections.Counter()
        self.jobs_at_work = set()  # Active jobs with a run that was confirmed to it.
        self.on_run_ended = lambda job_id, occurrence, step: None
        self.losing_workers = 0  # Workers that lose calls, as of the last tidying.
        self._queues = _Queues(None, {}, math.inf)
        # How many fences each worker took, also those that are dropped meanwhile.
        self._fence_counts = collections.Counter()
        # Ids of workers in the order of their checks; see ``next_to_check``.
        self._check_order = collections.deque()
        self._changes, self._effects = [], []
        # Changes for a successor that no batch contains yet.
        self._notes = []
        # Lists of effects, one for each uncommitted batch, oldest batch first.
        self._uncommitted_effects = []
        self.learned = learning.Learned(self)

    def lease_ms(self):
        """The duration of worker leases, at most the longest that workers accept."""
        settings = self.environment.settings.cell
        return min(settings.worker_lease_ms, settings.worker_lease_max_ms)

    def grant_lease(self, worker, latest_end_ms=math.inf):
        """Grant a worker a lease; returns its end by the worker's clock.

        It ends at ``latest_end_ms`` at the latest.

        A successor waits for leases that began an election timeout after its election
        at most. This leader may have been frozen and replaced a moment ago, so a lease
        begins no later than that after the leadership was confirmed.
        """
        timeout_ms = self.environment.settings.timing.election_timeout_ms
        latest_ms = self.environment.confirmed_ms() + timeout_ms
        begin_ms = min(self.now_ms(), latest_ms)
        lease_ms = min(self.lease_ms(), latest_end_ms - begin_ms)
        return worker.grant_lease(lease_ms, begin_ms)

    def now_ms(self):
        """The time of the monotonic clock."""
        return self.environment.clock.monotonic_ms()

    def cell_ms(self):
        """The cell's time, which a single wrong clock does not affect."""
        return self.now_ms() + self.environment.cell_offset_ms()

    def decide(self, effect=None, **parts):
        """Apply a ``cell.CellChange`` with these fields, and add it to the next batch.

        ``effect`` is called without arguments once the change is committed.
        """
        change = cell_state.empty_change()._replace(**parts)
        cell_state.apply(self.state, change, self.cell_ms())
        if change.configs:
            self.customers.configure(self.state.config)
            self.shares.configure(self.state.config)
        self._changes.append(change)
        if effect is not None:
            self._effects.append(effect)
        self.needs_planning = True

    def note(self, **parts):
        """Apply a ``cell.CellChange`` that helps a successor, after the next batch.

        Such changes get a batch of their own. A process of an earlier version can't
        read it and skips it, which must not lose it any decision.
        """
        change = cell_state.empty_change()._replace(**parts)
        cell_state.apply(self.state, change, self.cell_ms())
        self._notes.append(change)

    def after_commit(self, effect):
        """Call ``effect`` once all decisions made so far are committed.

        A round of voters confirms that there is no other leader. It does not confirm
        that they have an uncommitted batch, so the effect waits for the latest batch.
        """
        if self._changes:
            self._effects.append(effect)
        elif self._uncommitted_effects:
            self._uncommitted_effects[-1].append(effect)
        else:
            self.environment.confirm(effect, lambda: None)

    def pop_batch(self):
        """Remove and return the next batch and its effects; (None, []) if none.

        Notes for a successor come in a batch of their own after all other changes.
        """
        if not self._changes:
            self._changes, self._notes = self._notes, []
        if not self._changes:
            return None, []
        batch = cell.CellBatch(self.cell_ms(), self._changes)
        effects = self._effects
        self._changes, self._effects = [], []
        self._uncommitted_effects.append(effects)
        effects.insert(0, self._drop_oldest_effects)
        return batch, effects

    def requeue_batch(self, batch, effects):
        """Return a batch that could not be logged to the front of the next batch."""
        self._uncommitted_effects.pop()
        if batch.changes[0].learned or batch.changes[0].noted:
            self._notes = batch.changes + self._notes
        else:
            self._changes = batch.changes + self._changes
        self._effects = effects[1:] + self._effects

    def _drop_oldest_effects(self):
        self._uncommitted_effects.pop(0)

    def revisit(self, group):
        """Have the next planning pass consider a group in full."""
        self.groups_to_revisit.add(group)
        self.needs_planning = True

    def next_to_check(self, limit):
        """Up to ``limit`` workers, in turn: those whose last check is longest ago."""
        if len(self.workers) <= limit:
            return list(self.workers.values())
        while len(self._check_order) < limit:
            self._check_order.extend(self.workers)
        names = [self._check_order.popleft() for _ in range(limit)]
        return [self.workers[name] for name in names if name in self.workers]

    def is_over(self, key):
        """Whether the job that the key of a task or group begins with has ended."""
        job = self.state.jobs.get(key[0])
        return job is None or job.state != cell_state.ACTIVE

    def may_have_crashed_workers(self, task):
        """Whether a worker has crashed, or may have crashed, while it ran a task."""
        return crash_blame.is_suspect(task.blame) or self._count_in_doubt(task) > 0

    def has_to_wait(self, key, task, step):
        """Whether a task is not to be started yet because workers have crashed."""
        if key in self._pauses:
            return True
        return not step.long_running and self.waits_for_doubt(task)

    def waits_for_doubt(self, task):
        """Whether a task waits for the ends of runs in doubt."""
        count = crash_blame.count(task.crash_kinds)
        return crash_blame.has_to_wait(count, self._count_in_doubt(task))

    def pause(self, key, until_ms):
        """Do not start a task before ``until_ms``."""
        self._pauses[key] = max(until_ms, self._pauses.get(key, until_ms))

    def pause_in_doubt(self, key):
        """Pause a task of which one more run is in doubt, if there are many."""
        in_doubt = self._count_in_doubt(cell_state.find_task(self.state, key))
        pause_ms = crash_blame.doubt_pause_ms(in_doubt, self._doubt_pauses[key])
        if pause_ms:
            self._doubt_pauses[key] += 1
            self.pause(key, self.now_ms() + pause_ms)

    def end_pauses(self):
        """Queue the tasks again whose pauses are over."""
        now_ms = self.now_ms()
        over = [key for key, until_ms in self._pauses.items() if now_ms >= until_ms]
        for key in over:
            del self._pauses[key]
            self.on_run_ended(key.job_id, key.occurrence, key.step)

    def _count_in_doubt(self, task):
        """How many runs of a task count as crashes if their workers have crashed."""
        counted = [each for each in task.in_doubt if each.crash_kind]
        return sum(self._worker_of(each) is not None for each in counted)

    def _worker_of(self, run_in_doubt):
        """The worker of a run in doubt, or None if that incarnation is over."""
        worker = self.workers.get(run_in_doubt.target_id)
        is_same = worker is not None and worker.record.born_ms == run_in_doubt.born_ms
        return worker if is_same else None

    def must_start_alone(self, task):
        """Whether a task, as the likely cause of a crash, must start alone.

        A worker that merely stops answering does not count. The usual cause of that is
        a network partition, which affects many tasks at once.
        """
        if crash_blame.is_suspect(task.blame):
            return True
        workers_in_doubt = [self._worker_of(each) for each in task.in_doubt]
        return any(worker and worker.is_refusing for worker in workers_in_doubt)

    def confirm_run(self, run):
        """Record that a worker has confirmed a run."""
        run.is_confirmed = True
        self.jobs_at_work.add(run.key.job_id)

    def has_begun(self, job):
        """Whether a task of a job has run, which a start that was sent doesn't prove.

        A new leader learns it of runs in progress from the first lists of the workers.
        """
        if not job.has_started:
            return False
        if job.record.job_id in self.jobs_at_work:
            return True
        return any(
            task.state == cell_state.DONE or task.failed_run
            for tasks in job.groups.values()
            for task in tasks
        )

    def drop_ended(self, kept):
        """Drop the entries of a dictionary whose keys belong to ended jobs."""
        for key in [key for key in kept if self.is_over(key)]:
            del kept[key]

    def tidy(self):
        """Drop the records of jobs that have ended."""
        self.drop_ended(self.durations)
        self.drop_ended(self.moves)
        self.drop_ended(self._pauses)
        self.drop_ended(self._doubt_pauses)
        self.learned.tidy()
        self.evidence.tidy(self.now_ms(), self.is_over)
        over = {job_id for job_id in self.jobs_at_work if self.is_over((job_id,))}
        self.jobs_at_work -= over
        self.permissions.forget_matching(self.is_over)
        copies = [worker.copies for worker in self.workers.values()]
        self.losing_workers = sum(count > 1 for count in copies)
        metrics = self.environment.metrics
        metrics.gauge("workers_losing_calls", self.losing_workers)

    def add_worker(self, record):
        """Add a worker and open a link to it.

        Until the worker has answered, a lease granted by a previous leader may still
        be valid there. It began an election timeout after the election of this
        leader at most; see ``grant_lease``.
        """
        settings = self.environment.settings
        now_ms = self.now_ms()
        max_lease_ms = int(self.lease_ms() * workers.CLOCK_DRIFT_FACTOR)
        lease_end_ms = now_ms + max_lease_ms + settings.timing.election_timeout_ms
        lease_end_ms += workers.LEASE_MARGIN_MS
        fence = self.next_fence(record.target_id)
        valid_ms = capacity_reports.validity_ms(
            settings.cell.worker_heartbeat_ms, settings.cell.capacity_grace_ms
        )
        worker = workers.Worker(record, now_ms, lease_end_ms, fence, valid_ms)
        worker.slowness = self.learned.slowness(worker)
        self.workers[record.target_id] = worker
        self.links[record.target_id] = self.environment.open_link(record, self.epoch)
        return worker

    def next_fence(self, target_id):
        """Return a fence above all previous ones of a worker.

        It is below the next epoch, so a worker that restarts more often than an epoch
        has fences keeps the last one.
        """
        number = self._fence_counts[target_id]
        self._fence_counts[target_id] += 1
        return self.epoch + min(number, extension.TERM_STEP - 1)

    def replace_link(self, record):
        """Close the link to a worker and open one to its new address.

        Stops that waited on the old link get no result, so they are sent again. Starts
        are returned, since they had no part in a crash of the worker.
        """
        self.links[record.target_id].return_starts()
        self.links[record.target_id].close()
        self.links[record.target_id] = self.environment.open_link(record, self.epoch)
        worker = self.workers[record.target_id]
        worker.slow_orders = ()
        self.links[record.target_id].set_copies(worker.copies)
        for run in worker.runs.values():
            if run.sends and run.state in (workers.ORDERED, workers.CLOSING):
                run.next_send_ms = self.now_ms()

    def drop_worker(self, target_id):
        """Remove a worker that has no runs."""
        del self.workers[target_id]
        self.learned.forget(target_id)
        self.pools.on_worker_changed(target_id)
        self.links.pop(target_id).close()

    def queue_of(self, job):
        """The queue of a job as configured now, or else as the job was accepted."""
        return self._queues_now().by_name.get(job.record.queue.name, job.record.queue)

    def least_urgent(self):
        """The highest priority number of the configured queues; infinite if none."""
        return self._queues_now().least_urgent

    def _queues_now(self):
        config = self.state.config
        if self._queues.config is not config:
            queues = config.queues
            self._queues = _Queues(
                config,
                {queue.name: queue for queue in queues},
                max((queue.priority for queue in queues), default=math.inf),
            )
        return self._queues

    def close(self):
        """End the term: close all links and discard the decisions not yet logged."""
        for link in self.links.values():
            link.close()
        if self._changes:
            logging.info(
                "leadership ended; dropped %d changes that were not logged",
                len(self._changes),
            )
