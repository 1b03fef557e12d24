"""Detects work in a simulated day that could run but makes no progress.

It inspects the simulated machines, not the leader's view of them. The day is a ``Day``
of ``virtual_days.py``.
"""

import typing

from alderreach.core import cell_state
from tools import virtual_workers

WATCH_INTERVAL_MS = 250
# Time within which work that could start has to start: two queries of the slowest rule.
START_WITHIN_MS = 3000
# Time within which a long-running task has to run again.
RESTART_WITHIN_MS = 6000
# Time without checks after a worker joined or left. A worker that stops answering keeps
# its tasks until its lease lapses.
CALM_MS = 4000
SILENT_LEASE_MS = 5500
# Capacity counts as available only if it suffices for the waiting tasks this many
# times over, in a cell that is used to less than this share.
CAPACITY_FACTOR = 2
MAX_USED_SHARE = 0.5
# Longest run of a task that is not long-running, a save and a restore included.
MAX_RUN_MS = 10_000


class Stall(typing.NamedTuple):
    """A step, or a long-running task, that could have run and did not."""

    task: str
    at_ms: int
    waiting: int
    free_places: int
    """How many of its tasks would have fitted on the workers that may run it."""
    workers: int
    """The number of these workers."""
    used_share: float


class Watch:
    """Inspects all machines periodically, and records what makes no progress."""

    def __init__(self, day):
        self.day = day
        self.stalls = []
        self.calm_from_ms = CALM_MS
        self.started_ms = {}
        self.excused_ms = {}
        self._since = {}
        self._reported = set()

    def on_disturbance(self, until_ms):
        """Workers have changed, or one keeps its tasks until this time."""
        self.calm_from_ms = max(self.calm_from_ms, until_ms + CALM_MS)

    def poll(self):
        """Inspect all machines and steps once, unless there is no leader."""
        if self.day.term is None:
            return
        now_ms = self.day.loop.now_ms
        up = [machine for machine in self.day.machines() if machine.is_up()]
        used_share = self._used_share(up)
        is_calm = now_ms >= self.calm_from_ms and used_share < MAX_USED_SHARE
        running = self._running()
        for group, step in self.day.open_steps():
            waiting = self.day.undone(group) - running.get(group, set())
            free_places = {}
            if is_calm and waiting:
                free_places = self._free_places(up, group, step)
            needed = CAPACITY_FACTOR * (step.tasks if step.gang else len(waiting))
            could_run = bool(waiting) and sum(free_places.values()) >= needed
            for key, time_ms in self._keys(group, step, waiting):
                since_ms = self._since.get(key)
                if not could_run or since_ms is None:
                    since_ms = now_ms
                since_ms = max(since_ms, time_ms, self.excused_ms.get(group, 0))
                self._since[key] = since_ms
                within_ms = RESTART_WITHIN_MS if step.long_running else START_WITHIN_MS
                if could_run and now_ms - since_ms >= within_ms:
                    self._report(key, len(waiting), free_places, used_share)

    def check_end(self):
        """Report all steps that could have ended by the end of the day and have not."""
        running = self._running()
        up = [machine for machine in self.day.machines() if machine.is_up()]
        used_share = self._used_share(up)
        for group, step in self.day.open_steps():
            if step.long_running:
                continue
            free_places = self._free_places(up, group, step)
            waiting = self.day.undone(group) - running.get(group, set())
            needed = CAPACITY_FACTOR * (step.tasks if step.gang else len(waiting))
            has_capacity = bool(waiting) and sum(free_places.values()) >= needed
            since_start_ms = self.day.loop.now_ms - self.started_ms.get(group, 0)
            if has_capacity or (running.get(group) and since_start_ms >= MAX_RUN_MS):
                self._report(group, len(waiting), free_places, used_share)

    def _keys(self, group, step, waiting):
        """The parts of a step to watch, each with the earliest start of its wait."""
        if not step.long_running:
            return [(group, self.started_ms.get(group, 0))]
        return [((*group, index), 0) for index in sorted(waiting)] + [
            ((*group, index), self.day.loop.now_ms)
            for index in range(step.tasks)
            if index not in waiting
        ]

    def _report(self, key, waiting, free_places, used_share):
        if key in self._reported:
            return
        self._reported.add(key)
        now_ms = int(self.day.loop.now_ms)
        task = ".".join(str(part) for part in key)
        workers = sum(fit > 0 for fit in free_places.values())
        self.stalls.append(
            Stall(
                task,
                now_ms,
                waiting,
                sum(free_places.values()),
                workers,
                round(used_share, 2),
            )
        )

    def _running(self):
        """The tasks of each step that run on some machine."""
        running = {}
        for machine in self.day.machines():
            for run in machine.runs.values():
                key = virtual_workers.task_key(run.order.task)
                group = cell_state.GroupKey(*key[:3])
                running.setdefault(group, set()).add(key.index)
        return running

    def _used_share(self, up):
        cpu = sum(machine.record.capacity.cpu_millis for machine in up)
        memory = sum(machine.record.capacity.memory_mb for machine in up)
        used = [self._used(machine) for machine in up]
        return max(
            sum(cpu_millis for cpu_millis, _memory in used) / max(1, cpu),
            sum(memory_mb for _cpu, memory_mb in used) / max(1, memory),
        )

    def _used(self, machine):
        cpu = memory = 0
        for run in machine.runs.values():
            step = self.day.step_of(virtual_workers.task_key(run.order.task))
            cpu += 0 if step.best_effort else step.demand.cpu_millis
            memory += step.demand.memory_mb
        return cpu, memory

    def _free_places(self, up, group, step):
        """How many more tasks of a step fit on each worker that may run it."""
        free_places = {}
        for machine in up:
            record = machine.record
            if step.required_label and step.required_label not in record.labels:
                continue
            if not self.day.permits(group, record.target_id):
                continue
            cpu, memory = self._used(machine)
            here = (record.capacity.memory_mb - memory) // step.demand.memory_mb
            if not step.best_effort:
                free = record.capacity.cpu_millis - cpu
                here = min(here, free // step.demand.cpu_millis)
            if step.max_per_target:
                of_step = sum(
                    virtual_workers.task_key(run.order.task)[:3] == group
                    for run in machine.runs.values()
                )
                here = min(here, step.max_per_target - of_step)
            free_places[record.target_id] = max(0, here)
        return free_places
