"""Simulates random days on which workers crash in waves, and tasks may crash workers.

The waves and the tasks of a day follow from its seed alone, so that versions of the
leader can be compared on the same days. Which answers are lost, and what culprits do,
depends on the leader's calls too. Tasks never fail by themselves.

>>> day = WaveDay(seed=1)  # doctest: +SKIP
>>> day.play()  # doctest: +SKIP
>>> [failure.crashes for failure in day.failures()]  # doctest: +SKIP
[2, 3]
"""

import collections
import functools
import math
import random
import typing

from alderreach.core import cell_state, crashes, orders
from alderreach.ops.controller import target_link
from tools import virtual_crashes, virtual_days, virtual_watch, virtual_workers

WORKERS = (48, 61)
JOBS = 300
LASTING_JOBS = 6
CULPRITS = 12
# Culprits are among the first jobs, so that they can use up their starts.
CULPRIT_JOBS_SHARE = 2 / 3
LOAD_MS = 24_000
WAVES_FROM_MS, WAVES_TO_MS = 2_000, 24_000
# The waves have ended for long enough then that the watch reports what does not run.
END_MS = 60_000
WAVE_SHARE = 0.18
ORDER_HOP_MS = (0.5, 10.0)
WAVE_GAP_MS = (900, 1_800)
DOWN_MS = (1_200, 1_800)
LEADER_LASTS_MS = (3_000, 6_000)
LEADERLESS_MS = (300, 1_000)
LOST_SHARE = (0.3, 0.5)
# An order whose answer is lost is carried out at once, late or never.
AT_ONCE_SHARE, LATE_SHARE = 0.5, 0.25
LATE_MS = (1_000, 6_000)
# A worker ends a gang member that has waited for the others for the first of these
# times, or the second time after another one has ended.
GANG_TIMEOUT_MS, GANG_BROKEN_MS = 3_000, 20
# So many crashes under a task prove that it crashes its workers.
PROVING_CRASHES = 3


class Mix(typing.NamedTuple):
    """What happens in the waves of a day beside the crashes."""

    name: str
    loses_answers: bool = False
    rack_share: float = 0.0
    """The share of waves that take whole racks."""
    silent_share: float = 0.0
    """The share of waves after which calls time out instead of being refused."""
    loses_leaders: bool = False
    same_id_share: float = 0.0
    """The share of crashed workers that return under the same id."""


MIXES = (
    Mix("plain"),
    Mix("answers lost", loses_answers=True),
    Mix("racks", rack_share=1.0),
    Mix("silent", silent_share=1.0),
    Mix("lost leaders", loses_leaders=True),
    Mix("same id", same_id_share=1.0),
    Mix("all", True, 0.5, 0.5, True, 0.5),
)


class Failure(typing.NamedTuple):
    """A failed job, and the task that the leader gave up for it."""

    job_id: str
    task: str
    at_ms: int
    crashes: int
    """How many workers had crashed under the task until then."""
    ends: tuple
    """The kinds of crashes that the leader had counted against the task."""


class _Link(virtual_workers.Link):
    """A link to the latest incarnation of a worker.

    Its orders take some milliseconds and may get no answer. A worker that crashes
    closes the connections of those in progress, unless the crash is a silent one.
    """

    _arrival_ms = 0.0

    def order(self, order):
        """Send an order; it arrives after those that were sent before it."""
        self._unanswered.append(order)
        self._follow_incarnation()
        machine, loop, results = self._machine, self._world.loop, []
        if machine.is_cut_off:
            self._fail(target_link.OrderAnswered, order, 0)
            return

        def answer(result):
            if not results:
                results.append(result)
                self._deliver(target_link.OrderAnswered, order, result)

        def arrive():
            if not results and not machine.is_cut_off:
                self._carry_out_at(machine, order, answer)

        is_lost = orders.OrderResult(orders.UNKNOWN, lost_connection=True)
        is_silent = orders.OrderResult(orders.UNKNOWN)
        self._world.open_calls[machine].append(lambda: answer(is_lost))
        loop.after(virtual_workers.CALL_TIMEOUT_MS, lambda: answer(is_silent))
        hop_ms = self._world.draw_hop_ms()
        self._arrival_ms = max(self._arrival_ms, loop.now_ms + hop_ms)
        loop.at(self._arrival_ms, arrive)

    def _carry_out_at(self, machine, order, answer):
        """Let a worker carry an order out, now or late, with an answer or without."""
        loop, late_ms = self._world.loop, self._world.draw_late_ms()
        if late_ms is None:
            result = machine.carry_out(order)
            loop.after(self._world.draw_hop_ms(), lambda: answer(result))
        elif late_ms >= 0:
            loop.after(late_ms, lambda: machine.carry_out(order))

    def _poll(self, poll):
        self._follow_incarnation()
        super()._poll(poll)

    def _follow_incarnation(self):
        self._machine = self._world.machine_of(self._machine.record.target_id)


class WaveDay(virtual_days.Day):
    """One random day, determined by its seed and whether it has culprits and waves."""

    step_sizes = (1, 1, 2, 2, 4, 4)

    def __init__(self, seed, has_culprits=False, has_waves=True):
        self.seed = seed
        self.mix = MIXES[seed % len(MIXES)]
        self.culprits = set()
        self.open_calls = collections.defaultdict(list)
        self.traces = collections.defaultdict(list)
        self._plan = random.Random(f"waves {seed}")
        self._calls = random.Random(f"calls {seed}")
        self._lost_share = self._plan.uniform(*LOST_SHARE)
        self.has_waves = has_waves
        self._gangs = collections.defaultdict(list)
        self._jobs = []
        self._given_up = {}
        self.starts_after_proof = collections.Counter()
        self.culprit_crashes_ms = []
        super().__init__(seed)
        self._current = dict(self._machines)
        if has_culprits:
            self._choose_culprits()

    def play(self):
        """Simulate the whole day."""
        self.run_until(END_MS)
        self.watch.check_end()

    def machine_of(self, target_id):
        """The latest incarnation of a worker."""
        return self._machines[target_id]

    def draw_hop_ms(self):
        """How long an order or its answer is on its way."""
        return self._calls.uniform(*ORDER_HOP_MS)

    def draw_late_ms(self):
        """How late an order without an answer is carried out; None if it is answered.

        A negative number means that it is never carried out.
        """
        is_time = WAVES_FROM_MS <= self.loop.now_ms < WAVES_TO_MS
        if not self.mix.loses_answers or not is_time:
            return None
        if self._calls.random() >= self._lost_share:
            return None
        draw = self._calls.random()
        if draw < AT_ONCE_SHARE:
            return 0
        is_late = draw < AT_ONCE_SHARE + LATE_SHARE
        return self._calls.uniform(*LATE_MS) if is_late else -1

    def failures(self):
        """The jobs that have failed by the committed state, as ``Failure``."""
        return [
            self._failure(job_id)
            for job_id, job in self._log.jobs.items()
            if job.state == cell_state.FAILED
        ]

    def on_run_started(self, machine, run):
        """A run has started, and may crash its worker."""
        super().on_run_started(machine, run)
        key = virtual_workers.task_key(run.order.task)
        self._trace(run.order.task, "began", run.order.run, machine)
        if self.step_of(key).gang:
            self._gangs[(key[:3], run.order.run)].append((machine, run))
            self.loop.after(GANG_TIMEOUT_MS, lambda: _end_waiting(machine, run))
        if key not in self.culprits:
            return
        if self._losses[key] >= PROVING_CRASHES:
            self.starts_after_proof[key] += 1
        crash_ms = self._plan.uniform(*virtual_crashes.CRASH_MS_SQUARED) ** 0.5
        self.loop.after(crash_ms, lambda: self._crash_by_culprit(machine))

    def on_run_ended(self, machine, run, how):
        """A run has ended on a worker, or together with it."""
        super().on_run_ended(machine, run, how)
        self._trace(run.order.task, f"truly {how}", run.order.run, machine)
        if how == "done":
            return
        key = virtual_workers.task_key(run.order.task)
        for other in self._gangs.pop((key[:3], run.order.run), ()):
            self.loop.after(GANG_BROKEN_MS, functools.partial(_end_broken, *other))

    def _failure(self, job_id):
        _term, task, at_ms, count = self._given_up.get(job_id, (None, "", 0, 0))
        ends = [
            fields["how"]
            for time_ms, _event, fields in self.traces[task]
            if time_ms <= at_ms and fields.get("how") in crashes.BLAME
        ]
        return Failure(job_id, task, at_ms, count, tuple(sorted(ends)))

    def _record(self, kind, **fields):
        """Note what the leader records of tasks; the decisive end is a term's first."""
        super()._record(kind, **fields)
        task, now_ms = fields.get("task"), int(self.loop.now_ms)
        if task is None:
            return
        self.traces[task].append((now_ms, kind, fields))
        if kind == "task_given_up":
            key = virtual_workers.task_key(task)
            earlier = self._given_up.get(key.job_id)
            if earlier is None or earlier[0] != self._epoch:
                row = (self._epoch, task, now_ms, self._losses[key])
                self._given_up[key.job_id] = row

    def _trace(self, task, event, run, machine):
        fields = {"run": run, "target": machine.record.target_id}
        self.traces[task].append((int(self.loop.now_ms), event, fields))

    def _worker_count(self):
        return self.choices.randrange(*WORKERS)

    def _open_link(self, record, epoch):
        return _Link(self, self._machines[record.target_id], epoch)

    def _join(self, record):
        super()._join(record)
        self._current[_slot(record)] = self._machines[record.target_id]

    def _submit_all(self):
        rng = self.choices
        for _job in range(LASTING_JOBS):
            work = self._long_running_work()._replace(fail_share=0.0)
            self._submit(rng.uniform(0, LOAD_MS / 2), rng.choice(self.queues), [work])
        for time_ms in sorted(rng.uniform(0, LOAD_MS) for _job in range(JOBS)):
            queue = rng.choice(self.queues)
            works = self._works_of_a_job(self._shares[queue.name])
            works = [work._replace(fail_share=0.0) for work in works]
            self._submit(time_ms, queue, works)
            self._jobs.append((f"j{self._number}", works))

    def _choose_culprits(self):
        first_jobs = self._jobs[: int(CULPRIT_JOBS_SHARE * len(self._jobs))]
        for job_id, works in self._plan.sample(first_jobs, CULPRITS):
            step = self._plan.randrange(len(works))
            index = self._plan.randrange(works[step].step.tasks)
            self.culprits.add(cell_state.TaskKey(job_id, 0, step, index))

    def _schedule_events(self, by_id):
        """Schedule the waves and the losses of leaders."""
        plan, racks = self._plan, collections.defaultdict(list)
        for target_id, record in by_id.items():
            racks[record.labels[-1]].append(target_id)
        down_until_ms = dict.fromkeys(by_id, 0)
        wave_ms = WAVES_FROM_MS if self.has_waves else WAVES_TO_MS
        while wave_ms < WAVES_TO_MS:
            chosen = plan.sample(list(by_id), round(WAVE_SHARE * len(by_id)))
            if plan.random() < self.mix.rack_share:
                count = max(1, round(WAVE_SHARE * len(racks)))
                names = plan.sample(sorted(racks), count)
                chosen = [target_id for name in names for target_id in racks[name]]
            is_silent = plan.random() < self.mix.silent_share
            for slot in chosen:
                if down_until_ms[slot] < wave_ms:
                    down_until_ms[slot] = wave_ms + self._plan_crash(
                        wave_ms, slot, is_silent
                    )
            wave_ms += plan.uniform(*WAVE_GAP_MS)
        lost_ms = WAVES_FROM_MS
        while self.mix.loses_leaders:
            lost_ms += plan.uniform(*LEADER_LASTS_MS)
            if lost_ms >= WAVES_TO_MS:
                break
            self._plan_leader_loss(lost_ms, plan.uniform(*LEADERLESS_MS))

    def _plan_crash(self, time_ms, slot, is_silent):
        """Schedule the crash of a worker; returns how long the worker is down."""
        down_ms = self._plan.uniform(*DOWN_MS)
        has_same_id = self._plan.random() < self.mix.same_id_share
        self.loop.at(
            time_ms,
            lambda: self._crash(self._current[slot], is_silent, down_ms, has_same_id),
        )
        return down_ms

    def _plan_leader_loss(self, time_ms, gap_ms):
        self.lose_leader_at(time_ms, gap_ms)
        until_ms = time_ms + gap_ms + virtual_watch.SILENT_LEASE_MS
        self.loop.at(time_ms, lambda: self.watch.on_disturbance(until_ms))

    def _crash_by_culprit(self, machine):
        if machine.has_ended:
            return
        plan, mix = self._plan, self.mix
        self.culprit_crashes_ms.append(self.loop.now_ms)
        is_silent = plan.random() < mix.silent_share
        has_same_id = plan.random() < mix.same_id_share
        self._crash(machine, is_silent, plan.uniform(*DOWN_MS), has_same_id)

    def _crash(self, machine, is_silent, down_ms, has_same_id):
        """Crash a worker, whose next incarnation joins after ``down_ms``."""
        if machine.has_ended:
            return
        now_ms, record = self.loop.now_ms, machine.record
        self.watch.on_disturbance(now_ms + down_ms + virtual_watch.SILENT_LEASE_MS)
        open_calls = self.open_calls.pop(machine, ())
        if is_silent:
            machine.crash()
        else:
            machine.refuse()
            for reset in open_calls:
                reset()
        born_ms = int(now_ms + down_ms)
        name = record.target_id if has_same_id else f"{record.target_id}+"
        self.loop.at(born_ms, machine.accept_new_incarnation)
        self.join_at(born_ms, [record._replace(target_id=name, born_ms=born_ms)])


def _end_waiting(machine, run):
    """End a gang member whose gang has not begun its work."""
    if run.began_ms == math.inf:
        machine.end(run, "alone")


def _end_broken(machine, run):
    """End a gang member of which another one has ended."""
    machine.end(run, "broken")


def _slot(record):
    return record.target_id.rstrip("+")
