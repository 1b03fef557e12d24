"""What a leader knows and has decided in one term, and how a decision becomes durable.

A leader works on its own copy of the cell's state, which runs ahead of the log by what
it has decided and not yet committed. ``decide`` changes that copy at once and keeps the
change for the next batch; the ``effect`` that goes with it (an answer, an order to a
worker) happens only once the batch is committed. Nothing outside ever sees a decision
that a new leader could not know.
"""

import collections
import math
import typing

from absl import logging

from alderreach.core import cell_state
from alderreach.core.generated import cell
from alderreach.decisions.cell import crash_blame, permissions, pools, workers


class Environment(typing.NamedTuple):
    """What a leader uses of its process.

    ``committed()`` returns the cell's state as the log has it, ``cell_offset_ms()``
    what added to the steady clock gives the cell's time, ``is_time_known()`` whether
    that rests on more than one process's clock, ``helpers()`` the peers that
    may put questions to the permission service, and ``send_query(question)`` gives
    one of them a ``permissions.Question``.
    """

    settings: typing.Any
    clock: typing.Any
    metrics: typing.Any
    record: typing.Callable
    confirm: typing.Callable
    committed: typing.Callable
    cell_offset_ms: typing.Callable
    is_time_known: typing.Callable
    helpers: typing.Callable
    send_query: typing.Callable
    open_link: typing.Callable
    contact: str


class _Queues(typing.NamedTuple):
    """The queues of one configuration, by name."""

    config: typing.Any
    by_name: dict
    least_urgent: float


class LeaderState:
    """One term of leadership. Used by the controller's task only."""

    def __init__(self, epoch, environment):
        self.epoch = epoch
        self.environment = environment
        self.state = cell_state.copy(environment.committed())
        self.workers = {}
        self.pools = pools.Pools(self.workers)
        self.links = {}
        self.permissions = permissions.Permissions()
        self.needs_planning = True
        # Groups for which something other than room has changed.
        self.groups_to_revisit = set()
        self.durations = {}
        self.moves = {}
        self.on_run_ended = lambda job_id, occurrence, step: None
        self._queues = _Queues(None, {}, math.inf)
        # Ids of workers in the order in which they are tended; see ``next_to_check``.
        self._check_order = collections.deque()
        self._changes = []
        self._effects = []
        # The effects of batches that are not committed yet, oldest batch first.
        self._uncommitted_effects = []

    def lease_ms(self):
        """The lease of workers: the setting, or the longest that the workers take."""
        settings = self.environment.settings.cell
        return min(settings.worker_lease_ms, settings.worker_lease_max_ms)

    def now_ms(self):
        """The steady clock."""
        return self.environment.clock.monotonic_ms()

    def cell_ms(self):
        """The cell's time, which no single wrong clock moves."""
        return self.now_ms() + self.environment.cell_offset_ms()

    def decide(self, effect=None, **parts):
        """Make a change of the fields of a ``cell.CellChange`` given by name.

        ``effect`` is called without arguments once the change is committed.
        """
        change = cell_state.empty_change()._replace(**parts)
        cell_state.apply(self.state, change, self.cell_ms())
        self._changes.append(change)
        if effect is not None:
            self._effects.append(effect)
        self.needs_planning = True

    def after_commit(self, effect):
        """Call ``effect`` once all that was decided so far is committed.

        A round of voters shows that nobody else leads. It does not show that they hold
        a batch that is under way, so what comes meanwhile waits for that batch.
        """
        if self._changes:
            self._effects.append(effect)
        elif self._uncommitted_effects:
            self._uncommitted_effects[-1].append(effect)
        else:
            self.environment.confirm(effect, lambda: None)

    def pop_batch(self):
        """What has to be logged now, with its effects; (None, []) if nothing has."""
        if not self._changes:
            return None, []
        batch = cell.CellBatch(self.cell_ms(), self._changes)
        effects = self._effects
        self._changes, self._effects = [], []
        self._uncommitted_effects.append(effects)
        effects.insert(0, self._drop_oldest_effects)
        return batch, effects

    def requeue_batch(self, batch, effects):
        """A batch could not be logged yet; it goes first in the next one."""
        self._uncommitted_effects.pop()
        self._changes = batch.changes + self._changes
        self._effects = effects[1:] + self._effects

    def _drop_oldest_effects(self):
        self._uncommitted_effects.pop(0)

    def revisit(self, group):
        """Have the next planning pass consider a group anew, whatever has room."""
        self.groups_to_revisit.add(group)
        self.needs_planning = True

    def next_to_check(self, limit):
        """At most so many workers, those that were given longest ago."""
        if len(self.workers) <= limit:
            return list(self.workers.values())
        while len(self._check_order) < limit:
            self._check_order.extend(self.workers)
        names = [self._check_order.popleft() for _ in range(limit)]
        return [self.workers[name] for name in names if name in self.workers]

    def is_over(self, key):
        """Whether the job of a task or group, which its key begins with, has ended."""
        job = self.state.jobs.get(key[0])
        return job is None or job.state != cell_state.ACTIVE

    def may_have_crashed_workers(self, task):
        """Whether a worker has crashed under a task, or may have."""
        return crash_blame.is_suspect(task.blame) or self._count_in_doubt(task) > 0

    def has_too_many_in_doubt(self, task):
        """Whether a task waits until it is known what became of one of its runs."""
        return self._count_in_doubt(task) >= crash_blame.IN_DOUBT_MOST

    def _count_in_doubt(self, task):
        return sum(self._worker_of(each) is not None for each in task.in_doubt)

    def _worker_of(self, vanished):
        """The worker of a run in doubt, None if its life will never be heard again."""
        worker = self.workers.get(vanished.target_id)
        is_same = worker is not None and worker.record.born_ms == vanished.born_ms
        return worker if is_same else None

    def must_start_apart(self, task):
        """Whether a task has to start apart from others: a crash is likely its doing.

        Silence alone is mostly that of a partition, which concerns many tasks at once.
        """
        if crash_blame.is_suspect(task.blame):
            return True
        vanished_on = [self._worker_of(each) for each in task.in_doubt]
        return any(worker and worker.is_refusing for worker in vanished_on)

    def drop_ended(self, kept):
        """Drop what a dictionary keeps under keys of jobs that have ended."""
        for key in [key for key in kept if self.is_over(key)]:
            del kept[key]

    def tidy(self):
        """Forget what is kept of jobs that have ended."""
        self.drop_ended(self.durations)
        self.drop_ended(self.moves)
        self.permissions.forget_all(self.is_over)

    def add_worker(self, record):
        """Take up a worker, with the runs that the state has on it.

        Until the worker was heard, a former leader's lease may still hold there; it was
        granted before this leader was elected, and by a leader that had heard from a
        quorum an election timeout earlier at most.
        """
        settings = self.environment.settings
        now_ms = self.now_ms()
        max_lease_ms = int(self.lease_ms() * workers.SLOW_CLOCK)
        lease_end_ms = now_ms + max_lease_ms + settings.timing.election_timeout_ms
        lease_end_ms += workers.LEASE_MARGIN_MS
        worker = workers.Worker(record, now_ms, lease_end_ms)
        self.workers[record.target_id] = worker
        self.links[record.target_id] = self.environment.open_link(record, self.epoch)
        return worker

    def replace_link(self, record):
        """A worker has another address: call it there from now on."""
        self.links[record.target_id].close()
        self.links[record.target_id] = self.environment.open_link(record, self.epoch)

    def drop_worker(self, target_id):
        """Forget a worker on which nothing runs."""
        del self.workers[target_id]
        self.pools.worker_changed(target_id)
        self.links.pop(target_id).close()

    def queue_of(self, job):
        """The queue of a job as configured now, or as it was when it took the job."""
        return self._queues_now().by_name.get(job.record.queue.name, job.record.queue)

    def least_urgent(self):
        """The highest priority number among the queues in force; infinite if none."""
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
        """The term is over: nothing is sent any more."""
        for link in self.links.values():
            link.close()
        if self._changes:
            logging.info("leadership over with %d changes dropped", len(self._changes))
