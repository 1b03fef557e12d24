"""Simulates random days, and checks that work which could run does run.

The check (``virtual_watch.py``) inspects the simulated machines, not the leader's view
of them: what runs where, what is free, which workers are reachable, and which workers
the permission service would let run a step. It takes from the leader only which tasks
count as done, and compares them at the end with what happened on the machines. A step
is *stalled* if for the whole of a time limit its dependencies were done, there was
capacity for it and nothing excused its wait, and yet none of its tasks started.

>>> day = Day(seed=3)
>>> day.play()
>>> day.watch.stalls, day.false_states()
([], [])
"""

import collections
import math
import random

from alderreach.core import cell_state
from alderreach.core.generated import cell
from tools import virtual_cell, virtual_parts, virtual_watch, virtual_workers

EVENTS_FROM_MS, EVENTS_TO_MS = 3_000, 14_000
EVENT_KINDS = (
    "leave",
    "crash",
    "drain",
    "cut",
    "cut",
    "join",
    "reborn",
    "leader",
    "leader",
)
LEADERLESS_MS = (300, 1500, 4000)
RESTART_AFTER_MS = 700
LOAD_MS = 20_000
END_MS = 60_000
# The number of processes at the largest site.
HELPERS = 47
LONG_RUNNING_SHARE = 0.2
# A wide step needs at most this share of the capacity of all workers that may run it.
WIDE_SHARE = 0.45
# A task is blamed for two crashes at least before its job fails. Runs whose starts were
# on their way when their worker ended are not seen here.
MIN_BLAMED_LOSSES = 1
CORES = 1000
MB_PER_CPU_MILLI = 2
SIZES = (4 * CORES, 8 * CORES, 16 * CORES)
WORKERS_PER_RACK = 6


class Day(virtual_cell.VirtualCell):
    """One random day, determined by its seed."""

    step_sizes = (1, 1, 2, 2, 4, 4, 8, 16, 31, 60)

    def __init__(self, seed):
        self.choices = random.Random(seed)
        rng = self.choices
        self.queues = self._make_queues()
        self.workers = self._worker_count()
        records = [self._worker(number) for number in range(self.workers)]
        self.capacity_millis = sum(record.capacity.cpu_millis for record in records)
        self._undecided_share = rng.choice([0.0, 0.02, 0.1])
        self._silent_share = rng.choice([0.0, 0.01, 0.03])
        self._done = collections.defaultdict(set)
        self._failures = collections.Counter()
        self._losses = collections.Counter()
        self._number = 0
        self.events = []
        self.beyond_limits = []
        self._shares = {queue.name: rng.uniform(0.2, 0.8) for queue in self.queues}
        self._shares["open"] = 1.0
        options = self._options(records)
        super().__init__(self.queues, records, HELPERS, self._shares, seed, **options)
        self.watch = virtual_watch.Watch(self)
        self._submit_all()
        self._schedule_events({record.target_id: record for record in records})
        self._watch()

    def play(self):
        """Simulate the whole day."""
        self.run_until(END_MS)
        self.watch.check_end()

    def machines(self):
        """All workers that have ever existed, as ``virtual_workers.Machine``."""
        return list(self._machines.values())

    def permits(self, group, target_id):
        """Whether the permission service would let a step run on a worker."""
        job = self.term.leader.state.jobs[group.job_id]
        if self.term.leader.queue_of(job).permission is None:
            return True
        return self._may_run(job, group, target_id)

    def false_states(self):
        """Jobs and tasks whose end in the leader's state differs from the machines."""
        false = []
        for job in self.term.leader.state.jobs.values():
            job_id = job.record.job_id
            if job.state == cell_state.FAILED and not self._may_have_failed(job):
                false.append(f"{job_id} failed before its attempts were used up")
            for (occurrence, number), tasks in job.groups.items():
                group = cell_state.GroupKey(job_id, occurrence, number)
                is_gang_done = job.record.steps[number].gang and self._done[group]
                false += [
                    f"{job_id}.{occurrence}.{number}.{index} was never done"
                    for index, task in enumerate(tasks)
                    if task.state == cell_state.DONE
                    and index not in self._done[group]
                    and not is_gang_done
                ]
        return false

    def _may_have_failed(self, job):
        """Whether a task or a gang of the job has used up its attempts.

        It may also have been taken for one that crashes its workers, if some of them
        ended just as they had started its tasks.
        """
        max_attempts = job.record.queue.max_attempts
        job_id = job.record.job_id
        has_failed = any(
            failures >= max_attempts
            for key, failures in self._failures.items()
            if key[0] == job_id
        )
        return has_failed or any(
            losses >= MIN_BLAMED_LOSSES
            for key, losses in self._losses.items()
            if key[0] == job_id
        )

    def open_steps(self):
        """Yield (group, step) of each unfinished step of an active job that may run."""
        for job in self.term.leader.state.jobs.values():
            if job.state != cell_state.ACTIVE:
                continue
            for occurrence, number in job.groups:
                if cell_state.are_dependencies_done(job, occurrence, number):
                    group = cell_state.GroupKey(job.record.job_id, occurrence, number)
                    if job.unfinished_by_group[(occurrence, number)]:
                        yield group, job.record.steps[number]

    def undone(self, group):
        """Numbers of the tasks of a step that are not done."""
        tasks = self.term.leader.state.jobs[group.job_id].groups[group[1:]]
        return {n for n, task in enumerate(tasks) if task.state != cell_state.DONE}

    def answer_kind(self, query):
        """Sometimes give no decision or no answer, which excuses the step's wait."""
        draw = self.rng.random()
        if draw >= self._undecided_share + self._silent_share:
            return virtual_cell.DECIDED
        excused = self.watch.excused_ms
        excused[query.group] = max(query.due_ms, excused.get(query.group, 0))
        is_silent = draw < self._silent_share
        return virtual_cell.SILENT if is_silent else virtual_cell.UNDECIDED

    def on_run_started(self, machine, run):
        """A run has started, so its step makes progress."""
        key = virtual_workers.task_key(run.order.task)
        self.watch.started_ms[cell_state.GroupKey(*key[:3])] = self.loop.now_ms
        self._check_limits(machine, key)
        super().on_run_started(machine, run)

    def on_run_ended(self, machine, run, how):
        """A run has ended."""
        key = virtual_workers.task_key(run.order.task)
        group = cell_state.GroupKey(*key[:3])
        if how == "done":
            self._done[group].add(key.index)
        elif how == "gone":
            self._losses[key] += 1
        elif how == "failed":
            self._failures[group if self.step_of(key).gang else key] += 1

    def _make_queues(self):
        return _queues(self.choices)

    def _worker_count(self):
        rng = self.choices
        return rng.choice([rng.randrange(10, 25), rng.randrange(40, 91)])

    def _options(self, records):
        """Further options of the simulated cell."""
        return {}

    def _customer_at(self, time_ms):
        """The customer that submits a job at this time; empty for none."""
        return ""

    def _check_limits(self, machine, key):
        """Record a start beyond a worker's capacity or its step's limit per worker."""
        keys = [virtual_workers.task_key(task) for task, _run in machine.runs]
        steps = [self.step_of(each) for each in keys]
        cpu = sum(step.demand.cpu_millis for step in steps if not step.best_effort)
        memory = sum(step.demand.memory_mb for step in steps)
        capacity, limit = machine.record.capacity, self.step_of(key).max_per_target
        siblings = sum(each[:3] == key[:3] for each in keys)
        if cpu > capacity.cpu_millis or memory > capacity.memory_mb:
            self.beyond_limits.append(f"{key} on {machine.record.target_id}: capacity")
        if limit and siblings > limit:
            self.beyond_limits.append(f"{key} on {machine.record.target_id}: siblings")

    def _watch(self):
        self.watch.poll()
        self.loop.after(virtual_watch.WATCH_INTERVAL_MS, self._watch)

    def _worker(self, number):
        millis = self.choices.choice(SIZES)
        made = virtual_parts.worker(
            number, millis, MB_PER_CPU_MILLI * millis, f"r{number // WORKERS_PER_RACK}"
        )
        return made._replace(labels=[self.choices.choice("ab"), made.labels[-1]])

    def _submit_all(self):
        rng = self.choices
        long_running_millis = 0
        while long_running_millis < LONG_RUNNING_SHARE * self.capacity_millis:
            work = self._long_running_work()
            long_running_millis += work.step.tasks * work.step.demand.cpu_millis
            queue = rng.choice(self.queues)
            self._submit(rng.uniform(0, LOAD_MS / 2), queue, [work])
        remaining_work = rng.uniform(0.1, 0.8) * self.capacity_millis * LOAD_MS
        while remaining_work > 0:
            queue = rng.choice(self.queues)
            works = self._works_of_a_job(self._shares[queue.name])
            for work in works:
                if not work.step.best_effort:
                    remaining_work -= sum(work.work_ms) * work.step.demand.cpu_millis
            self._submit(rng.uniform(0, LOAD_MS), queue, works)

    def _submit(self, time_ms, queue, works):
        self._number += 1
        customer = self._customer_at(time_ms)
        self.submit_at(time_ms, queue.name, f"j{self._number}", works, customer)

    def _long_running_work(self):
        rng = self.choices
        tasks = rng.randrange(1, 5)
        step = virtual_parts.step(
            tasks,
            rng.choice([1, 2, 4]) * CORES,
            rng.choice([1, 2, 4]) * CORES,
            1000,
            long_running=True,
            max_per_target=rng.choice([0, 1]),
            checkpointing=rng.random() < 0.5,
        )
        return virtual_parts.Work(step, [math.inf] * tasks, rng.choice([0, 0.3, 0.8]))

    def _works_of_a_job(self, share):
        rng = self.choices
        works = []
        for number in range(rng.choice([1, 1, 2, 3, 5])):
            after = sorted(rng.sample(range(number), min(number, rng.choice([1, 2]))))
            works.append(self._work(after, share))
        return works

    def _work(self, after, share):
        rng = self.choices
        tasks = rng.choice(self.step_sizes)
        max_per_target = rng.choice([0, 0, 0, 0, 1, 2])
        if max_per_target:
            places = max_per_target * share * self.workers
            tasks = max(1, min(tasks, int(WIDE_SHARE * places)))
        is_gang = rng.random() < 0.25
        max_cpu = WIDE_SHARE * share * self.capacity_millis / tasks
        cpu = int(min(CORES * rng.choice([1, 4, 8]), rng.uniform(0.2, 1) * max_cpu))
        cpu = max(CORES // 4, cpu)
        mean_ms = rng.choice([100, 400, 1000, 2000])
        work_ms = [mean_ms * rng.uniform(0.7, 1.5) for _ in range(tasks)]
        if is_gang:
            work_ms = [mean_ms] * tasks
        step = virtual_parts.step(
            tasks,
            cpu,
            int(cpu * rng.choice([0.5, 1, 2])),
            int(mean_ms * rng.choice([0.3, 1, 1, 3])),
            after,
            gang=is_gang,
            same_rack=is_gang and rng.random() < 0.3,
            max_per_target=max_per_target,
            checkpointing=rng.random() < 0.4,
            best_effort=not is_gang and rng.random() < 0.1,
            required_label=rng.choice(["", "", "", "", "a"]),
            allow_duplicates=not is_gang and rng.random() < 0.2,
        )
        return virtual_parts.Work(step, work_ms, rng.choice([0, 0, 0, 0.02, 0.1]))

    def _schedule_events(self, by_id):
        """Schedule the random events: changes of workers and losses of leaders."""
        rng, target_ids, number = self.choices, list(by_id), len(by_id)
        for _event in range(rng.randrange(0, 7)):
            time_ms = rng.uniform(EVENTS_FROM_MS, EVENTS_TO_MS)
            chosen = rng.sample(target_ids, rng.randrange(1, len(target_ids) // 4))
            kind = rng.choice(EVENT_KINDS)
            for_ms = rng.choice([300, 2000, 4800, 5600, 7000, 12_000])
            self.events.append((int(time_ms), kind, chosen, for_ms))
            until_ms = time_ms
            if kind == "leave":
                self.leave_at(time_ms, chosen)
            elif kind == "crash":
                self.crash_at(time_ms, chosen)
                until_ms += virtual_watch.SILENT_LEASE_MS
            elif kind == "drain":
                self.drain_at(time_ms, chosen, 2000)
                until_ms += 2000 + virtual_watch.SILENT_LEASE_MS
            elif kind == "leader":
                gap_ms = rng.choice(LEADERLESS_MS)
                self.lose_leader_at(time_ms, gap_ms)
                until_ms += gap_ms + virtual_watch.SILENT_LEASE_MS
            elif kind == "reborn":
                self.crash_at(time_ms, chosen)
                born_ms = int(time_ms) + RESTART_AFTER_MS
                incarnations = [
                    by_id[name]._replace(born_ms=born_ms) for name in chosen
                ]
                self.join_at(born_ms, incarnations)
                until_ms += virtual_watch.SILENT_LEASE_MS
            elif kind == "cut":
                self.cut_off_at(time_ms, chosen, for_ms)
                until_ms += max(for_ms, virtual_watch.SILENT_LEASE_MS)
            else:
                records = [self._worker(number + n) for n in range(len(chosen))]
                number += len(records)
                self.join_at(time_ms, records)
            self.loop.at(time_ms, lambda ms=until_ms: self.watch.on_disturbance(ms))


def _queues(rng):
    """A queue without a permission rule, one with a fast rule, two with a slow one."""

    def rule(low_ms, high_ms, per_target_ms):
        return cell.PermissionRule(
            rng.randrange(low_ms, high_ms), per_target_ms, rng.randrange(1500, 2501)
        )

    queue = virtual_parts.queue
    return [
        queue("open", 1, 2.0, 1000),
        queue("urgent", 0, 1.5, 500, permission=rule(20, 41, 0.25)),
        queue("plan", 2, 2.2, 1200, permission=rule(400, 701, 5)),
        queue("watch", 1, 2.2, 2500, permission=rule(400, 701, 2)),
    ]
