"""Preempts normal tasks for urgent work when the cell is full.

Without preemption, urgent work such as a closure plan or a morning's kitchen run waits
for hours while the cell is full of long batch work. With unlimited preemption, a stream
of urgent work stops the same tasks again and again, and none of them ever finishes.

Victims are chosen on a random window of workers, where freeing capacity costs least:
tasks that can checkpoint before those that lose their work, low priority before high,
recent before long-running, batch before services, and gangs last, since a gang stops as
a whole with any of its tasks. The freed capacity is reserved for the urgent line until
the victims have ended.

Two limits prevent thrashing: a task is preempted at most ``MAX_PREEMPTIONS`` times
and then runs to its end, and preemption stops once normal work as a whole holds no more
than ``MIN_NORMAL_SHARE`` of the cell.
"""

from alderreach.decisions import draining, reservations, resources

MAX_PREEMPTIONS = 3
MIN_NORMAL_SHARE = 0.1
# Bounds the time of a tick: tasks of one line that capacity is freed for in one tick.
MAX_TASKS_PER_TICK = 128
MIN_WORKERS_EXAMINED = 64
WORKERS_EXAMINED_PER_TASK = 4
# Costs are in units of one priority level.
COST_LOST_WORK = 10
COST_SERVICE = 30
COST_GANG_TASK = 10
COST_PER_PREEMPTION = 5
MAX_MINUTES_COUNTED = 10
MS_PER_MINUTE = 60_000


def plan(state, lines):
    """Free capacity for the urgent lines that found none."""
    for line in lines:
        if resources.share(state.normal_used, state.cell.total) <= MIN_NORMAL_SHARE:
            return
        if line.reservation is None:
            _plan_line(state, line)


def _plan_line(state, line):
    need = _tasks_needed(state, line)
    if need <= 0:
        return
    options = _options(state, line, need)
    job = line.head() if line.is_gang else None
    if job is not None and sum(copies for _, _, _, copies, _ in options) < need:
        return
    chosen = []
    for option in options:
        if need <= 0:
            break
        chosen.append(option)
        need -= option[3]
    if not chosen or (job is not None and _has_reservation(state, job)):
        return
    workers = [worker for _, _, worker, _, _ in chosen]
    reservation = reservations.reserve(state, line, job, workers, urgent=True)
    for _, _, worker, copies, victims in chosen:
        reservation.planned[worker] = copies
        for run in victims:
            preempt(state, run)


def _tasks_needed(state, line):
    """Return how many tasks of a line need capacity freed for them now."""
    account = state.ledger.account(line.team)
    left = resources.minus(account.quota, account.used)
    allowed = resources.copies(line.demand, left)
    if line.is_gang:
        wanted = line.head().waiting
        return wanted if wanted <= allowed else 0
    wanted = 0
    for job in line.jobs.values():
        wanted += job.waiting
        if wanted >= MAX_TASKS_PER_TICK:
            break
    return min(wanted, allowed, MAX_TASKS_PER_TICK)


def _has_reservation(state, job):
    return any(each.job is job for each in state.reservations)


def _options(state, line, need):
    """Return (cost, order, worker, copies, victims) tuples, by the cost per copy."""
    window = max(MIN_WORKERS_EXAMINED, WORKERS_EXAMINED_PER_TASK * need)
    workers = [
        worker
        for worker in draining.candidates(state, line.demand, window)
        if worker.held_for is None or not worker.held_for.urgent
    ]
    if not workers:
        return []
    each = need if line.is_gang else -(-need // len(workers))
    options = []
    for worker in workers:
        copies, cost, victims = _choose_victims(state, worker, line, each)
        if copies:
            options.append((cost / copies, worker.order, worker, copies, victims))
    options.sort(key=lambda option: option[:2])
    return options


def _choose_victims(state, worker, line, wanted):
    """Return how many copies fit, the cost, and the runs to preempt for them."""
    runs = [run for run in worker.tasks if may_preempt(run, line.priority)]
    runs.sort(key=lambda run: (_cost(state, run), -run.started_ms, run.number))
    demand, free = line.demand, worker.free
    copies, cost, victims, kept = resources.copies(demand, free), 0, [], 0
    for run in runs:
        if copies >= wanted:
            break
        free = resources.plus(free, run.job.spec.task)
        cost += _cost(state, run)
        victims.append(run)
        if resources.copies(demand, free) > copies:
            copies, kept = resources.copies(demand, free), len(victims)
    return min(copies, wanted), cost, victims[:kept]


def may_preempt(run, priority):
    """Whether a run may be stopped for urgent work of a given priority."""
    job = run.job
    if run.stop or job.is_urgent() or job.spec.priority >= priority:
        return False
    return job.preempted.get(run.number, 0) < MAX_PREEMPTIONS


def cheapest_checkpointable(state, worker, priority):
    """Return the run that is cheapest to preempt, None if none can checkpoint."""
    runs = [
        run
        for run in worker.tasks
        if run.job.spec.checkpoint and may_preempt(run, priority)
    ]
    return min(
        runs,
        key=lambda run: (_cost(state, run), -run.started_ms, run.number),
        default=None,
    )


def _cost(state, run):
    job = run.job
    cost = (
        job.spec.priority + 1 + COST_PER_PREEMPTION * job.preempted.get(run.number, 0)
    )
    minutes = (state.now_ms - run.started_ms) / MS_PER_MINUTE
    if not job.spec.checkpoint:
        cost += COST_LOST_WORK + min(MAX_MINUTES_COUNTED, minutes)
    if job.is_service():
        cost += COST_SERVICE
    if job.is_gang():
        cost += COST_GANG_TASK * len(job.runs)
    return cost


def preempt(state, run):
    """Stop a run for other work, with a checkpoint if it supports one."""
    job = run.job
    job.preempted[run.number] = job.preempted.get(run.number, 0) + 1
    state.stop(run, run.gentlest_stop(), first=True)
