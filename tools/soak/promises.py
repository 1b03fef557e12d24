"""Checks the cell's guarantees to callers and workers from outside while it runs.

Workers call ``check_start`` before each start and report the ends of runs; callers
report the answers to their submissions. Each violation is recorded as a line of text.
"""

import collections
import math
import threading
import types
import typing

from alderreach.utils import clocks
from tools.soak import cancels as cancels_module

DONE = "done"
# A task is given up after its third crash; two more starts may be in flight until then.
MAX_CRASHES = 5
# A replaced version of the configuration may be in force for this time after the
# acknowledgement of its successor: starts of its time are still on their way.
CONFIG_APPLY_MS = 2500
# How long a start may need what a worker had before: an interval of heartbeats, by the
# default settings of a controller, and their grace.
CAPACITY_GRACE_MS = 4500
# Half of the election timeout: a voter that syncs more slowly is not calm.
SLOW_SYNC_MS = 250
SLOW_SYNC = "a sync of the machine's disk"
# A task may be given up once this many workers have crashed while running it.
MIN_CRASHES_TO_GIVE_UP = 2


class Step(typing.NamedTuple):
    """A step of a job; ``after`` are the numbers of the steps it depends on."""

    count: int
    cpu_millis: int
    after: list[int] = []
    gang: bool = False
    long_running: bool = False
    crashes: bool = False
    """Whether each of its tasks crashes every worker that starts it."""
    endless: bool = False
    """Whether its long-running tasks run until they are stopped."""


class Cap(typing.NamedTuple):
    """A customer's cap, and until when on the monotonic clock it may be in force."""

    cpu_millis: int
    until_ms: float = math.inf


class Promises:
    """The environment that the stand-in workers share; ``lock`` guards all of it."""

    def __init__(self, clock=clocks.SYSTEM):
        self.lock = threading.RLock()
        self._clock = clock
        self.workers = []
        self.steps = {}
        self.done = set()
        self.acknowledged = set()
        self.refused = set()
        self.violations = []
        self.starts = 0
        self.customers = {}
        self.caps_millis = collections.defaultdict(list)
        self.crashes = collections.Counter()
        self.crashed_under = collections.Counter()
        self.cancels = cancels_module.Cancels(
            lambda: self.time.now_ms, self.violations.append
        )
        self.timeline = []
        """What happened on the workers: (wall-clock time in ms, text)."""

    def record(self, text):
        """Add an event to the time line."""
        with self.lock:
            self.timeline.append((self._clock.wall_ms(), text))

    @property
    def time(self):
        """The clock of the stand-in workers."""
        return types.SimpleNamespace(now_ms=self._clock.monotonic_ms())

    def on_job_submitted(self, job_id, steps, customer=""):
        """A caller is about to submit a job with these ``Step`` objects."""
        with self.lock:
            self.steps[job_id] = steps
            self.customers[job_id] = customer

    def on_caps_sent(self, caps_millis):
        """A configuration with these caps of customers is about to be sent."""
        with self.lock:
            for customer, cap_millis in caps_millis.items():
                self.caps_millis[customer].append(Cap(cap_millis))

    def on_caps_acknowledged(self, caps_millis):
        """The configuration that was sent last has been acknowledged."""
        until_ms = self.time.now_ms + CONFIG_APPLY_MS
        with self.lock:
            for customer, cap_millis in caps_millis.items():
                replaced = [
                    cap._replace(until_ms=min(cap.until_ms, until_ms))
                    for cap in self._caps_in_force(customer)
                ]
                self.caps_millis[customer] = [*replaced, Cap(cap_millis)]

    def on_job_refused(self, job_id):
        """All attempts to submit a job were rejected, so it must never run."""
        with self.lock:
            self.refused.add(job_id)
            if any(task.startswith(f"{job_id}.") for task in self._started()):
                self.violations.append(f"{job_id} was refused and has run")

    def check_start(self, worker, order):
        """Check the guarantees that concern a start on a worker."""
        self.starts += 1
        task = order.task
        late = " late" if worker.is_late else ""
        self.record(f"{_incarnation(worker)} starts {task} run {order.run}{late}")
        place = cancels_module.Place(_incarnation(worker), task, order.run)
        self.cancels.on_start(place, worker.is_late)
        job_id, _occurrence, number, _index = task.split(".")
        if job_id in self.refused:
            self.violations.append(f"{task} starts, though its job was refused")
        if job_id not in self.steps:
            self.violations.append(f"{task} starts, and nobody submitted its job")
            return
        if task in self.acknowledged:
            self.violations.append(f"{task} starts after its end was acknowledged")
        for other in self.workers:
            # A lease may have lapsed since the worker last processed the time.
            other.step()
            if task in other.running and not other.is_down:
                self.violations.append(
                    f"{task} starts on {worker.name}, runs on {other.name}"
                )
        self._check_dependencies(task, job_id, int(number))
        self._check_capacity(worker, order)
        self._check_cap(order.task)

    def on_disk_synced(self, took_ms):
        """The machine's disk has synced a file; slow ones disturb all processes."""
        if took_ms > SLOW_SYNC_MS:
            self.record(f"{SLOW_SYNC} took {took_ms} ms")
            with self.lock:
                self.cancels.disturb()
                self.cancels.settle()

    def check_cancels(self):
        """Check that cancelled jobs leave nothing, and cancellations have answers."""
        with self.lock:
            present = [worker for worker in self.workers if not worker.is_down]
            for worker in present:
                # A lease may have lapsed since the worker last processed the time.
                worker.step()
            self.cancels.check(
                cancels_module.Place(_incarnation(worker), task, run.order.run)
                for worker in present
                for task, run in worker.running.items()
            )

    def on_end_acknowledged(self, end):
        """An end has been acknowledged."""
        self.record(f"the end of {end.task} run {end.run} is acknowledged: {end.how}")
        if end.how == DONE:
            self.acknowledged.update(self._tasks_ending_with(end.task))

    def on_run_ended(self, end):
        """A run has ended on a worker."""
        task, how = end.task, end.how
        self.record(f"{task} ends: {how}")
        if how != DONE:
            return
        self.done.add(task)
        # A worker that is down may have accepted a start just before.
        for worker in [worker for worker in self.workers if not worker.is_down]:
            for member in self._tasks_ending_with(task):
                if member in worker.running:
                    worker.end(member, DONE)

    def may_end(self, task):
        """Whether a run may end: for members of a gang, only while all of them run.

        A long-running task ends once by itself, and has to be started again, unless it
        is endless.
        """
        step = self._step_of(task)
        if step.long_running:
            return not step.endless and task not in self.done
        present = {t for w in self.workers if not w.is_down for t in w.running}
        return present.issuperset(self._tasks_ending_with(task))

    def unfinished(self, job_id):
        """Tasks of a job of which no run has completed.

        Long-running tasks also count as unfinished unless they run again by now.
        """
        with self.lock:
            over = self.done
            if self.is_long_running(job_id):
                over = [
                    task
                    for task in self.running(job_id)
                    if task in self.done or self._step_of(task).endless
                ]
            return [task for task in self._tasks(job_id) if task not in over]

    def check_crash(self, task):
        """Count a start if its task crashes its workers; returns whether it does."""
        if not self._step_of(task).crashes:
            return False
        with self.lock:
            self.crashes[task] += 1
            if self.crashes[task] > MAX_CRASHES:
                self.violations.append(
                    f"{task} has crashed {self.crashes[task]} workers"
                )
        return True

    def on_crash(self, worker):
        """A worker is about to crash; this counts for all tasks that run there."""
        self.record(f"{_incarnation(worker)} crashes")
        with self.lock:
            self.crashed_under.update(worker.running.keys())

    def may_fail(self, job_id):
        """Whether enough workers have crashed under a task of a job to give it up."""
        return any(
            self.crashed_under[task] >= MIN_CRASHES_TO_GIVE_UP
            for task in self._tasks(job_id)
        )

    def must_fail(self, job_id):
        """Whether a job can't complete, since some of its tasks crash their workers."""
        return any(step.crashes for step in self.steps[job_id])

    def is_long_running(self, job_id):
        """Whether a job's tasks have to run until it is cancelled."""
        return any(step.long_running for step in self.steps[job_id])

    def running(self, job_id):
        """Tasks of a job that run on some worker."""
        with self.lock:
            return [
                task
                for worker in self.workers
                if not worker.is_down
                for task in worker.running
                if task.startswith(f"{job_id}.")
            ]

    def _started(self):
        return [
            task for worker in self.workers for task in worker.highest_closed_run
        ] + [task for worker in self.workers for task in worker.running]

    def _tasks(self, job_id):
        return [
            f"{job_id}.0.{number}.{index}"
            for number, step in enumerate(self.steps[job_id])
            for index in range(step.count)
        ]

    def _tasks_ending_with(self, task):
        """The tasks that are finished together with a task: itself, or its gang."""
        job_id, occurrence, number, _index = task.split(".")
        step = self._step_of(task)
        if step.long_running:
            return []
        if not step.gang:
            return [task]
        return [f"{job_id}.{occurrence}.{number}.{n}" for n in range(step.count)]

    def _check_dependencies(self, task, job_id, number):
        steps = self.steps[job_id]
        for earlier in steps[number].after:
            for index in range(steps[earlier].count):
                if f"{job_id}.0.{earlier}.{index}" not in self.done:
                    self.violations.append(
                        f"{task} starts before step {earlier} is done"
                    )
                    return

    def _check_capacity(self, worker, order):
        used = sum(self._cpu_demand(task) for task in [*worker.running, order.task])
        if used > worker.largest_cpu_millis(CAPACITY_GRACE_MS):
            self.violations.append(
                f"{worker.name} is over its capacity by {order.task}"
            )

    def _check_cap(self, task):
        """Check a customer's use against the highest cap that may be in force."""
        customer = self.customers[task.partition(".")[0]]
        caps_millis = [cap.cpu_millis for cap in self._caps_in_force(customer)]
        if not caps_millis:
            return
        runs = [
            (worker, other)
            for worker in self.workers
            if not worker.is_down
            for other in worker.running
            if self.customers.get(other.partition(".")[0]) == customer
        ]
        tasks = [other for _worker, other in runs]
        if sum(map(self._cpu_demand, [*tasks, task])) > max(caps_millis):
            self.violations.append(f"{customer} is over its cap by {task}")
            places = [f"{other} on {_incarnation(worker)}" for worker, other in runs]
            self.record(f"{customer} over {caps_millis} by {task}, beside {places}")

    def _caps_in_force(self, customer):
        """A customer's caps that a start may have been placed under."""
        now_ms = self.time.now_ms
        return [cap for cap in self.caps_millis[customer] if now_ms <= cap.until_ms]

    def _cpu_demand(self, task):
        return self._step_of(task).cpu_millis

    def _step_of(self, task):
        job_id, _occurrence, number, _index = task.split(".")
        return self.steps[job_id][int(number)]


def _incarnation(worker):
    return f"{worker.name} incarnation {worker.incarnation}"
