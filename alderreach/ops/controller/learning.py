"""What a leader learns from the runs that end: speeds of workers, durations of tasks.

A step's runs are compared once all of them have ended, in blocks of some tens of tasks.
Among those that end first there are only the short ones of a slow worker, so it would
look quicker than it is. Only first runs are used: tasks start again after they were
moved away as too slow, so many of them are long. Runs away from their data, gangs, and
lasting and best-effort tasks say little about a worker's speed and are not used either.

Estimates that change are logged, in entries of their own, so that a new leader has them
at once and a process of an earlier version skips nothing else.
"""

import collections
import heapq
import math
import statistics

from alderreach.core.generated import cell
from alderreach.decisions.cell import durations, health, order, speeds

# Tasks with consecutive indexes start at about the same time. A whole step of thousands
# of tasks may take minutes.
BLOCK = 32
# Durations of this many finished tasks replace the estimate; of more, the latest.
MIN_DURATIONS = 2
MAX_DURATIONS = 32
# Speeds of workers updated in one call of ``tidy``, which takes 2 ms. Updating 10,000
# at once takes 46 ms, in which a leader answers nobody.
MAX_REFRESHED = 500
# An estimate is logged if it has changed by 10 %, at most once in 5 s. At most 15
# speeds are logged in one call of ``tidy``: 50 a second, or 2 kB.
LOGGED_LOG_CHANGE = math.log(1.1)
LOG_INTERVAL_MS = 5000
MAX_SPEEDS = 15
# Slowness from which a worker is reported as slow, and below which as recovered.
REPORT_SLOW, REPORT_RECOVERED = 1.5, 1.3
SLOWEST_SHOWN = 10


class _Block:
    """The durations of ended runs by worker, and how many tasks are not done yet."""

    def __init__(self, unfinished):
        self.by_worker = collections.defaultdict(list)
        self.unfinished = unfinished


class Learned:
    """The speeds and durations that the leader of one term knows."""

    def __init__(self, leader):
        self._leader = leader
        self._speeds = speeds.WorkerSpeeds()
        self._queues = durations.QueueDurations()
        self._blocks = {}
        # The durations of the latest occurrence with enough of them, by (job, step).
        self._latest = {}
        self._unrefreshed = []
        self._logged_ms = {}
        self._slow = set()
        self._restore(leader.state)

    def slowness(self, worker):
        """How many times as long as on a usual worker tasks take on a worker."""
        return self._speeds.slowness(worker.target_id, hardware_of(worker.record))

    def task_ms(self, job, step_number):
        """The expected duration of one task of a step on a usual worker."""
        known = self._latest.get((job.record.job_id, step_number))
        if known:
            return max(1.0, statistics.median(known[-MAX_DURATIONS:]))
        estimated_ms = job.record.steps[step_number].estimated_ms
        return max(1.0, estimated_ms * self._queues.factor(job.record.queue.name))

    def tolerance(self, job):
        """The factor by which the expected durations of a job's tasks may be wrong."""
        queue = job.record.queue.name
        if self._queues.runs(queue) < durations.MIN_RUNS:
            return order.DURATION_TOLERANCE
        return min(order.DURATION_TOLERANCE, math.exp(self._queues.spread(queue)))

    def slowest_in_time(self, job, step_number, elapsed_ms):
        """The slowness up to which tasks that start now end in time for their job.

        ``elapsed_ms`` is the time since the job was due.
        """
        steps = job.record.steps
        tasks_ms = [self.task_ms(job, number) for number in range(len(steps))]
        is_known = (job.record.job_id, step_number) in self._latest
        spread = 0.0 if is_known else self._queues.spread(job.record.queue.name)
        queue = self._leader.queue_of(job)
        return durations.slowest_in_time(
            queue, steps, step_number, tasks_ms, elapsed_ms, spread
        )

    def on_run_done(self, worker, run, job):
        """Learn from a run that has succeeded, before its end is applied."""
        duration_ms = health.full_duration_ms(run, self._leader.now_ms())
        if duration_ms is not None:
            known = self._leader.durations.setdefault(run.key[:3], [])
            known.append(duration_ms / worker.slowness)
            if health.is_of_usual_duration(worker, duration_ms, known):
                worker.usual_pace_ms = self._leader.now_ms()
            if len(known) >= MIN_DURATIONS:
                self._latest[(run.key.job_id, run.key.step)] = known
        step = job.record.steps[run.key.step]
        if step.gang or step.long_running or step.best_effort:
            return
        number = run.key.index // BLOCK
        key = (*run.key[:3], number)
        block = self._blocks.get(key)
        if block is None:
            size = min(BLOCK, step.tasks - number * BLOCK)
            block = self._blocks[key] = _Block(size)
        if _is_comparable(worker, run, step):
            block.by_worker[worker].append(max(1.0, duration_ms))
        block.unfinished -= 1
        if block.unfinished == 0:
            del self._blocks[key]
            self._compare(block, job, step)

    def tidy(self):
        """Update the speeds of some workers, log what has changed, drop ended jobs.

        Called every 300 ms; larger cells are updated in turn.
        """
        leader, now_ms = self._leader, self._leader.now_ms()
        leader.drop_ended(self._blocks)
        leader.drop_ended(self._latest)
        if not self._unrefreshed:
            self._speeds.recentre(
                {
                    name: hardware_of(each.record)
                    for name, each in leader.workers.items()
                }
            )
            self._unrefreshed = list(leader.workers)
        batch = self._unrefreshed[-MAX_REFRESHED:]
        del self._unrefreshed[-MAX_REFRESHED:]
        workers = [leader.workers[name] for name in batch if name in leader.workers]
        for worker in workers:
            worker.slowness = self.slowness(worker)
        self._log_changes(workers, now_ms)
        self._report(workers)

    def forget(self, target_id):
        """Drop what is known of a worker that is gone."""
        self._speeds.forget(target_id)
        self._logged_ms.pop(target_id, None)
        self._slow.discard(target_id)

    def _compare(self, block, job, step):
        """Compare the workers of a block whose tasks are all done."""
        by_worker = block.by_worker
        queue, estimated_ms = job.record.queue.name, max(1, step.estimated_ms)
        for worker, found in by_worker.items():
            for duration_ms in found:
                ratio = duration_ms / worker.slowness / estimated_ms
                self._queues.observe(queue, ratio)
        samples = [
            speeds.Sample(
                worker.target_id,
                hardware_of(worker.record),
                statistics.median(found),
                len(found),
            )
            for worker, found in by_worker.items()
            if self._leader.workers.get(worker.target_id) is worker
        ]
        self._speeds.compare(samples)
        # Other workers follow with the next refresh.
        for worker in by_worker:
            worker.slowness = self.slowness(worker)

    def _restore(self, state):
        hardware = {name: hardware_of(each) for name, each in state.targets.items()}
        known = {
            name: (speed.slowness_permille / 1000, speed.runs)
            for name, speed in state.learned.speeds.items()
        }
        if known:
            self._speeds.restore(hardware, known)
        for each in state.learned.durations.values():
            factor, spread = each.factor_permille / 1000, each.spread_permille / 1000
            self._queues.restore(each.queue, factor, spread, each.runs)

    def _log_changes(self, workers, now_ms):
        """Log the estimates that differ from those in the replicated state."""
        leader = self._leader
        changed_speeds = self._changed_speeds(workers, now_ms)
        changed_durations = [
            self._duration(queue)
            for queue in self._queues.queues()
            if self._is_due(("queue", queue), now_ms)
            and self._has_duration_changed(queue)
        ]
        if not changed_speeds and not changed_durations:
            return
        for speed in changed_speeds:
            self._logged_ms[speed.target_id] = now_ms
        for duration in changed_durations:
            self._logged_ms[("queue", duration.queue)] = now_ms
        leader.note(learned=[cell.LearnedValues(changed_speeds, changed_durations)])

    def _changed_speeds(self, workers, now_ms):
        logged = self._leader.state.learned.speeds
        changed = []
        for worker in workers:
            name, slowness = worker.target_id, worker.slowness
            entry = logged.get(name)
            if entry is None and slowness == 1.0:
                continue
            before = entry.slowness_permille / 1000 if entry else 1.0
            if _has_changed(slowness, before) and self._is_due(name, now_ms):
                permille, runs = round(1000 * slowness), self._speeds.runs(name)
                changed.append(cell.LearnedSpeed(name, permille, runs))
        return changed[:MAX_SPEEDS]

    def _duration(self, queue):
        learned = self._queues
        return cell.LearnedDuration(
            queue,
            round(1000 * learned.factor(queue)),
            round(1000 * learned.spread(queue)),
            learned.runs(queue),
        )

    def _has_duration_changed(self, queue):
        entry = self._leader.state.learned.durations.get(queue)
        before = entry.factor_permille / 1000 if entry else 1.0
        return _has_changed(self._queues.factor(queue), before)

    def _is_due(self, key, now_ms):
        return now_ms >= self._logged_ms.get(key, -LOG_INTERVAL_MS) + LOG_INTERVAL_MS

    def _report(self, workers):
        """Log which workers have become slow or recovered, and show the slowest."""
        for worker in workers:
            name, slowness = worker.target_id, worker.slowness
            was_slow = name in self._slow
            if slowness >= REPORT_SLOW and not was_slow:
                self._slow.add(name)
                self._record("worker_slow", name, slowness)
            elif slowness < REPORT_RECOVERED and was_slow:
                self._slow.discard(name)
                self._record("worker_recovered", name, slowness)
        slowness_of = {name: self._leader.workers[name].slowness for name in self._slow}
        slowest = heapq.nlargest(SLOWEST_SHOWN, slowness_of, key=slowness_of.get)
        shown = {name: slowness_of[name] for name in slowest}
        self._leader.environment.metrics.gauges("worker_slowness", shown)

    def _record(self, event, target_id, slowness):
        self._leader.environment.record(
            event, target=target_id, slowness=round(slowness, 2)
        )


def hardware_of(record):
    """The service and the kind of a worker; its rack is no kind."""
    kind = record.labels[0] if record.labels else ""
    return record.service, kind


def _is_comparable(worker, run, step):
    """Whether a run's duration tells something about its worker's speed."""
    is_remote = step.data_rack and worker.rack != step.data_rack
    return (
        run.run == 1
        and run.sends <= 1
        and run.is_fully_observed
        and run.pace == 100
        and not is_remote
    )


def _has_changed(value, before):
    return abs(math.log(max(value, 1e-3) / max(before, 1e-3))) >= LOGGED_LOG_CHANGE
