"""The leader's refusal of jobs that can't be served in time, by a forecast of its load.

``decisions/cell/load_forecast.py`` makes the forecast, and ``retry_places.py`` tells
when refused jobs may come back. What they need is collected from the leader's state
when a job is submitted, a few times a second at most and from a bounded number of jobs
and workers. Between two collections the jobs accepted meanwhile are added. All of it is
in memory only: a new leader has no places of refused jobs, and refuses nothing until it
has heard from its workers.
"""

import collections
import math
import typing

from alderreach.core import cell_state
from alderreach.decisions import resources
from alderreach.decisions.cell import (
    health,
    load_forecast,
    order,
    pauses,
    retry_places,
)
from alderreach.ops.controller import pool_loads

# A new leader lacks the data for a forecast until its workers have listed their runs.
NEW_LEADER_MS = 3000
# A collection takes some milliseconds, so it is kept for this time.
REFRESH_MS = 400
# In larger cells a part of the jobs and workers is taken for the whole, in turn. So a
# collection does not delay the quorum's heartbeats.
MAX_JOBS = 500
MAX_WORKERS = 500
# A run that has used up its estimate is taken to need this part of it again.
OVERDUE_SHARE = 0.1
# Time for a run that is being stopped to end.
STOP_MS = 300
# Interval of the forecasts for the metrics, and the time without a submission after
# which a class is dropped from them.
METRICS_MS = 2000
UNUSED_CLASS_MS = 60_000


class Refusal(typing.NamedTuple):
    """Why and for how long a job is refused; ``is_first`` unless it was before."""

    key: load_forecast.ClassKey
    expected_delay_ms: int
    retry_after_ms: int
    is_first: bool


def _never(_subject):
    return False


def _estimated_ms(job, step_number):
    return job.record.steps[step_number].estimated_ms


class Admission:
    """The decisions of one term of leadership on whether to accept jobs.

    ``is_beyond_share(record)`` tells whether a new job would be beyond its customer's
    share, ``is_job_beyond_share(job)`` whether an accepted one is, and
    ``task_ms(job, step_number)`` how long a task of a step is expected to take.
    """

    def __init__(
        self,
        leader,
        is_beyond_share=_never,
        is_job_beyond_share=_never,
        task_ms=_estimated_ms,
    ):
        self._leader = leader
        self._is_beyond_share = is_beyond_share
        self._is_job_beyond_share = is_job_beyond_share
        self._task_ms = task_ms
        self._began_ms = leader.now_ms()
        self._active = [
            job_id
            for job_id, job in leader.state.jobs.items()
            if job.state == cell_state.ACTIVE
        ]
        # The classes of jobs, as of the latest collection.
        self._classes = {}
        # Objectives of active jobs, with the chain from each step to the job's end.
        self._times = {}
        self._pools = {}
        self._collected_ms = -math.inf
        self._usual_paths = load_forecast.UsualPaths()
        self._places = retry_places.Places()
        # When a job of each class, as (service, class), was last submitted.
        self._seen_ms = {}
        self._turn = 0
        self._next_metrics_ms = 0
        self._refresh_from_ms = self._forecasts_from_ms = 0

    def consider(self, record):
        """Decide on a new ``cell.CellJob``; returns a Refusal, or None to accept it."""
        now_ms = self._leader.now_ms()
        is_timed = not record.repeat_count and not any(
            step.long_running or step.best_effort for step in record.steps
        )
        if not is_timed or now_ms - self._began_ms < NEW_LEADER_MS:
            return None
        self._refresh(now_ms)
        load = self._pools.get(record.service)
        if load is None:
            return None
        is_beyond = bool(record.customer) and self._is_beyond_share(record)
        key = load_forecast.ClassKey(record.queue.priority, is_beyond)
        self._seen_ms[(record.service, key)] = now_ms
        estimates = [step.estimated_ms for step in record.steps]
        offered = self._offered(record, key, estimates, load)
        delay = self._delay(record, offered, load, now_ms)
        if not load_forecast.is_beyond_serving(offered, delay.certain_ms):
            return None
        # Creating a job with all its tasks takes time, so it is done only here.
        job = cell_state.Job(record, self._leader.cell_ms())
        learned = [self._task_ms(job, number) for number in range(len(record.steps))]
        offered = self._offered(record, key, learned, load)
        if not load_forecast.is_beyond_serving(offered, delay.certain_ms):
            return None
        is_first = offered.name not in self._places
        wait_ms = self._places.refuse(offered, delay.expected_ms, now_ms)
        return Refusal(key, round(delay.expected_ms), wait_ms, is_first)

    def _delay(self, record, offered, load, now_ms):
        """The ``load_forecast.Delay`` of a new job, or none if it is certainly short.

        Most jobs are accepted by a bound of the delay, without a forecast. So are those
        that arrive while forecasts take too much of the leader's time.
        """
        job = (record.customer, record.steps, offered.key, now_ms)
        bound_ms = load.longest_delay_ms(*job)
        bound = load_forecast.Delay(bound_ms, bound_ms)
        bound_ms = self._places.delay_with_places(offered, bound, now_ms).certain_ms
        if not load_forecast.is_beyond_serving(offered, bound_ms):
            return load_forecast.NO_DELAY
        began_ms = self._leader.now_ms()
        if began_ms < self._forecasts_from_ms:
            return load_forecast.NO_DELAY
        path_ms = max(order.chain_ms(record.steps))
        by_estimate_ms = load_forecast.objective_ms(record.queue, path_ms) - path_ms
        slack = load_forecast.Slack(
            by_estimate_ms, offered.objective_ms - offered.path_ms
        )
        delay = load.delay(record.customer, record.steps, offered.key, slack, now_ms)
        ended_ms = self._leader.now_ms()
        self._forecasts_from_ms = pauses.after_work(began_ms, ended_ms)
        return self._places.delay_with_places(offered, delay, now_ms)

    def accepted(self, job):
        """Count the work of a job that was accepted."""
        record = job.record
        self._active.append(record.job_id)
        name = (record.customer, record.job_id)
        if name not in self._places:
            estimates = [step.estimated_ms for step in record.steps]
            path_ms = load_forecast.path_ms(record.queue, record.steps, estimates)
            self._usual_paths.observe(record.queue.name, path_ms)
        self._places.accept(name)
        load = self._pools.get(record.service)
        if load is not None:
            load.add(self._waiting_steps(job, load))

    def tidy(self):
        """Drop the places that were not used, and update the forecasts in the metrics.

        Called a few times a second.
        """
        now_ms = self._leader.now_ms()
        self._places.expire(now_ms)
        if now_ms >= self._next_metrics_ms and self._seen_ms:
            self._next_metrics_ms = now_ms + METRICS_MS
            self._update_metrics(now_ms)

    def _update_metrics(self, now_ms):
        self._refresh(now_ms)
        delays = {}
        for (service, key), seen_ms in list(self._seen_ms.items()):
            if now_ms - seen_ms >= UNUSED_CLASS_MS:
                del self._seen_ms[(service, key)]
            elif service in self._pools:
                delay_ms = self._pools[service].processor_delay_ms(key, now_ms)
                delays[label(key)] = max(delays.get(label(key), 0), delay_ms)
        self._leader.environment.metrics.gauges("forecast_start_delay_ms", delays)

    def _offered(self, record, key, task_ms, load):
        """The ``load_forecast.Job`` of a new job with these durations of its tasks."""
        path_ms = load_forecast.path_ms(record.queue, record.steps, task_ms)
        path_ms = self._usual_paths.longest_ms(record.queue.name, path_ms)
        return load_forecast.Job(
            (record.customer, record.job_id),
            record.service,
            key,
            load_forecast.objective_ms(record.queue, path_ms),
            path_ms,
            load.share_ms(record.steps, task_ms),
        )

    def _refresh(self, now_ms):
        """Collect the state of all pools, unless that was done a moment ago."""
        if now_ms < max(self._collected_ms + REFRESH_MS, self._refresh_from_ms):
            return
        self._collected_ms = now_ms
        self._pools = {}
        self._classes.clear()
        self._turn += 1
        workers = list(self._leader.workers.values())
        stride = max(1, math.ceil(len(workers) / MAX_WORKERS))
        for worker in workers[self._turn % stride :: stride]:
            if pool_loads.is_counted(worker, now_ms):
                service = worker.record.service
                if service not in self._pools:
                    self._pools[service] = self._new_load(stride)
                self._pools[service].add_worker(worker)
        self._collect_waiting()
        self._refresh_from_ms = pauses.after_work(now_ms, self._leader.now_ms())

    def _new_load(self, scale):
        use_and_cap = self._leader.customers.use_and_cap
        return pool_loads.PoolLoad(self._run_view, use_and_cap, scale, self._turn)

    def _collect_waiting(self):
        """Collect the waiting steps of the active jobs, or of a part of them."""
        found, ended = collections.defaultdict(list), set()
        stride = max(1, math.ceil(len(self._active) / MAX_JOBS))
        for job_id in self._active[self._turn % stride :: stride]:
            if self._leader.is_over((job_id,)):
                ended.add(job_id)
                self._times.pop(job_id, None)
                continue
            job = self._leader.state.jobs[job_id]
            load = self._pools.get(job.record.service)
            if load is not None:
                found[job.record.service] += self._waiting_steps(job, load)
        if ended:
            self._active = [each for each in self._active if each not in ended]
        for service, steps in found.items():
            self._pools[service].add(
                step._replace(demand=resources.times(step.demand, stride))
                for step in steps
            )

    def _waiting_steps(self, job, load):
        """The steps of a job that end by themselves and have waiting tasks.

        Occurrences of repeating jobs are left out, since most are not due, and so are
        steps that no worker could run. Worthless jobs come after all others.
        """
        record = job.record
        if record.repeat_count:
            return []
        objective_ms, chains_ms = self._times_of(job)
        elapsed_ms = self._leader.cell_ms() - job.accepted_ms
        if elapsed_ms > order.WORTHLESS_AFTER_OBJECTIVES * objective_ms:
            return []
        key = self._class_of(job)
        steps = []
        for (occurrence, number), tasks in job.groups.items():
            step = record.steps[number]
            if step.long_running or step.best_effort:
                continue
            count = job.unfinished_by_group[(occurrence, number)]
            is_later = not cell_state.are_dependencies_done(job, occurrence, number)
            if count and not is_later:
                count = sum(task.state == cell_state.WAITING for task in tasks)
            if not count or not load.can_run(step):
                continue
            demand = resources.times(step.demand, count)
            task_ms = self._task_ms(job, number)
            latest_start_ms = objective_ms - chains_ms[number] - elapsed_ms
            steps.append(
                pool_loads.WaitingStep(
                    key, record.customer, demand, task_ms, is_later, latest_start_ms
                )
            )
        return steps

    def _times_of(self, job):
        times = self._times.get(job.record.job_id)
        if times is None:
            chains_ms = order.chain_ms(job.record.steps)
            objective_ms = load_forecast.objective_ms(
                self._leader.queue_of(job), max(chains_ms)
            )
            times = self._times[job.record.job_id] = (objective_ms, chains_ms)
        return times

    def _class_of(self, job):
        key = self._classes.get(job.record.job_id)
        if key is None:
            is_beyond = bool(job.record.customer) and self._is_job_beyond_share(job)
            priority = self._leader.queue_of(job).priority
            key = load_forecast.ClassKey(priority, is_beyond)
            self._classes[job.record.job_id] = key
        return key

    def _run_view(self, run, now_ms):
        """The ``pool_loads.Running`` of a run."""
        job = self._leader.state.jobs.get(run.key.job_id)
        demand = run.demand._replace(cpu_millis=0) if run.best_effort else run.demand
        if job is None or run.is_closing():
            return pool_loads.Running(run.customer, demand, STOP_MS, -math.inf)
        if run.is_long:
            return pool_loads.Running(run.customer, demand, math.inf, -math.inf)
        after_ms = health.remaining_ms(run, now_ms)
        if after_ms is None:
            task_ms = self._task_ms(job, run.key.step)
            left_ms = task_ms - (now_ms - run.placed_ms)
            after_ms = max(left_ms, OVERDUE_SHARE * task_ms)
        key = self._class_of(job)
        priority = key.priority if run.may_yield else -math.inf
        if now_ms - run.placed_ms > load_forecast.STARTED_MS:
            key = None
        return pool_loads.Running(
            run.customer, demand, max(0.0, after_ms), priority, key
        )


def label(key):
    """The name of a class in metrics, such as ``beyond-2`` for priority 2."""
    return f"{'beyond' if key.is_beyond_share else 'within'}-{key.priority}"


def for_leader(leader):
    """The Admission of a leader, by its customers' shares and learned durations."""

    def is_beyond_share(record):
        now_ms, weight = leader.cell_ms(), leader.shares.weight_of(record.customer)
        priority = record.queue.priority
        return leader.shares.peek(record.customer, weight, now_ms, priority) > now_ms

    def is_job_beyond_share(job):
        return leader.shares.is_beyond(job.record.job_id, leader.cell_ms())

    return Admission(
        leader, is_beyond_share, is_job_beyond_share, leader.learned.task_ms
    )
