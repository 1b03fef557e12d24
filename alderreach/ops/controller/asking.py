"""The leader's questions to the permission service: which step, about which workers.

A step whose permitted workers have no room for it is asked for with further workers and
with those whose tickets run out; a step that is to open, ahead of its time while the
steps before it run. What is worth asking is decided in
``decisions/cell/permissions.py``.
"""

from alderreach.core import cell_state
from alderreach.decisions.cell import choice, health, permissions

# Beyond the predicted end of the earlier steps, tickets should last for at least this.
AHEAD_MS = 400
# How often steps that are to open are looked at; a question takes 20 ms at the least.
ASK_AHEAD_INTERVAL_MS = 20


class Asking:
    """Questions of one term; ``begin`` comes first in each planning pass."""

    def __init__(self, books):
        self._books = books
        self._upcoming = {}
        self._helpers = ()
        self._quickest_ms = None
        self._next_ahead_ms = 0

    def opens_later(self, group):
        """A group whose earlier steps are not done yet."""
        self._upcoming[group] = None

    def drop(self, group):
        """A group that has opened, or will never."""
        self._upcoming.pop(group, None)

    def begin(self):
        """Note who can ask, for all questions of one pass."""
        self._helpers = self._books.environment.helpers()
        self._quickest_ms = self._quickest_decision_ms()

    def for_waiting(self, job, group, rule, tasks, has_permitted, now_ms):
        """See to tickets for a group of which so many tasks were not placed.

        ``has_permitted`` says that workers with good tickets were tried; if none were,
        the tickets have run out, and the workers may have room.
        """
        known = self._books.permissions
        if has_permitted:
            known.found_short(group)
        if known.may_ask(group, now_ms):
            ahead_ms = known.renewal_ms(rule, tasks, self._helpers)
            self._ask(job, group, rule, tasks, ahead_ms, now_ms)

    def ahead(self, now_ms):
        """Ask for steps that open about when the answer comes."""
        if now_ms < self._next_ahead_ms:
            return
        self._next_ahead_ms = now_ms + ASK_AHEAD_INTERVAL_MS
        books = self._books
        for group in list(self._upcoming):
            job = books.state.jobs.get(group.job_id)
            if job is None or job.state != cell_state.ACTIVE:
                self.drop(group)
                books.permissions.forget(group)
                continue
            rule = books.queue_of(job).permission
            if rule is not None:
                self._ask_ahead(job, group, rule, now_ms)

    def _ask_ahead(self, job, group, rule, now_ms):
        tasks = job.record.steps[group.step].tasks
        known = self._books.permissions
        if not known.may_need_ahead(group, tasks, AHEAD_MS, now_ms):
            return
        lead_ms = permissions.lead_ms(rule, permissions.ASKED_AT_MOST)
        left_ms = self._left_ms(job, group, now_ms)
        if left_ms is not None and left_ms <= lead_ms + AHEAD_MS:
            self._ask(job, group, rule, tasks, AHEAD_MS, now_ms)

    def _ask(self, job, group, rule, tasks, ahead_ms, now_ms):
        known = self._books.permissions
        if not self._has_helper(rule):
            return
        suitable = self._suitable(job, group, now_ms)
        is_gang = job.record.steps[group.step].gang
        wanted = known.wanted(group, suitable, tasks, ahead_ms, now_ms, is_gang)
        self._put(group, wanted, rule, now_ms)

    def _has_helper(self, rule):
        known = self._books.permissions
        return known.idle_helper(rule, self._helpers, self._quickest_ms) is not None

    def _put(self, group, target_ids, rule, now_ms):
        books = self._books
        if not target_ids:
            books.permissions.nothing_to_ask(group, now_ms)
            return
        question = books.permissions.ask(
            group, target_ids, rule, self._helpers, now_ms, self._quickest_ms
        )
        if question is None:
            return
        books.environment.ask(question)
        books.environment.record(
            "permission_asked",
            task=".".join(str(part) for part in group),
            helper=question.helper,
            targets=len(target_ids),
        )

    def _quickest_decision_ms(self):
        """The shortest decision time among the queues' rules."""
        config = self._books.state.config
        times = [
            queue.permission.decision_ms
            for queue in (config.queues if config else ())
            if queue.permission is not None
        ]
        return min(times, default=None)

    def _suitable(self, job, group, now_ms):
        """Ids of workers that could run the step, those with most room first."""
        step = job.record.steps[group.step]
        rows = [
            (not worker.has_room(step), -worker.free().cpu_millis, n)
            for n, worker in enumerate(self._books.workers.values())
            if worker.record.service == job.record.service
            and choice.is_suitable(worker, step)
            and worker.is_usable(now_ms)
        ]
        rows.sort()
        ids = list(self._books.workers)
        return [ids[n] for _is_full, _free, n in rows]

    def _left_ms(self, job, group, now_ms):
        """About how long the earlier steps of a group take; None if some wait."""
        left_ms = 0
        for earlier in job.record.steps[group.step].after:
            step = job.record.steps[earlier]
            for index, task in enumerate(job.groups[(group.occurrence, earlier)]):
                if task.state == cell_state.WAITING:
                    return None
                if task.state == cell_state.PLACED:
                    key = cell_state.TaskKey(
                        group.job_id, group.occurrence, earlier, index
                    )
                    left_ms = max(left_ms, self._run_left_ms(task, key, step, now_ms))
        return left_ms

    def _run_left_ms(self, task, key, step, now_ms):
        worker = self._books.workers.get(task.target_id)
        run = worker.runs.get(key) if worker else None
        if run is None:
            return step.estimated_ms
        left_ms = health.left_ms(run, now_ms)
        if left_ms is None:
            left_ms = step.estimated_ms - (now_ms - run.placed_ms)
        return max(0, left_ms)
