"""The working state of an owner: its targets, jobs and placements in one epoch.

This module does no I/O. Its inputs are items, announcements, answers and the time; its
outputs are batches for workers, records for the standby and writes for the keepers. It
maintains these invariants:

- A run command is sent only once its record is stored by the standby, or durable at
  the keepers if there is no standby. For ``stay`` tasks, which the expiry of a lease
  does not end, it must always be durable at the keepers, unless they can't be reached.
- A task has at most one placement. The next one is created only after the previous one
  has certainly ended.
- A worker known from a previous owner gets no new task until it has reported that it
  has seen this epoch. Only from then on does it refuse late commands of an older owner.
"""

import collections

from alderreach.core import placements, target_membership
from alderreach.decisions import actions
from alderreach.ops.placer import (
    commands,
    jobs,
    ledger,
    losses,
    reports,
    status,
    workers,
)

DECISIONS_PER_TICK = 500
MEMBER_TICK_INTERVAL_MS = 100
DEAD_TARGET_RETENTION_MS = 600_000


class Placing:
    """The state of the owner of ``epoch``, and its decisions.

    ``mark_item(key, make)`` schedules the write of an item
    (``item_writer.ItemWriter.mark``); ``record`` is the time line's method and
    ``wall_ms`` returns the wall clock time.
    """

    def __init__(
        self, failure_domain, epoch, scheduler, timing, mark_item, record, wall_ms
    ):
        self.failure_domain = failure_domain
        self.epoch = epoch
        self.scheduler = scheduler
        self.timing = timing
        self.lease_expiry_ms = timing.target_lease_ms + timing.lease_margin_ms
        self.members = target_membership.Membership(timing)
        self.jobs = {}
        self.placements = placements.Placements()
        self.workers = workers.Workers(scheduler, self.members)
        self.ledger = ledger.Ledger(
            failure_domain,
            self.placements,
            self.members,
            mark_item,
            lambda state: status.make_item(self, state),
        )
        self.commands = commands.Commands(
            epoch, self.placements, self.members, self.jobs, self.lease_expiry_ms
        )
        self.knows_all_jobs = True
        self.starts_from_ms = 0
        # The boots of workers that fell silent under tasks, by the id of the worker.
        self.silent_boots = {}
        self.wall_ms = wall_ms
        self._record = record
        self._awaiting_durability = collections.deque()
        self._late_runs_ms = {}
        self._next_member_tick_ms = 0

    # ---- jobs

    def submit(self, state, now_ms):
        """Add a job or service; one that has already ended is not scheduled."""
        job = state.job
        self.jobs[job.job_id] = state
        if state.is_final:
            return
        self.scheduler.submit(job, now_ms)
        losses.restore(self, state)
        for number in state.finished:
            self._replay_end(job, number, "finished", now_ms)
        for number in state.failed:
            self._replay_end(job, number, "failed", now_ms)
        self.ledger.mark_job(state)

    def resize(self, job, now_ms):
        """Apply a service's new number of tasks."""
        self.jobs[job.job_id].job = job
        self.scheduler.submit(job, now_ms)

    def cancel(self, job_id, now_ms):
        """Cancel a job: running tasks are stopped, waiting tasks never start."""
        state = self.jobs.get(job_id)
        if state is None or state.is_final:
            return
        state.cancelled = True
        self.scheduler.cancel(job_id, now_ms)
        self.ledger.mark_job(state)
        self.record_event("job_cancelled", job_id=job_id)

    def record_finish(self, state, number, now_ms):
        """Record that a task without a placement of this owner has finished."""
        state.finished.add(number)
        state.failed.discard(number)
        self._replay_end(state.job, number, "finished", now_ms)
        self.ledger.mark_ended(state)
        self.ledger.mark_job(state)

    def _replay_end(self, job, number, outcome, now_ms):
        """Report to the scheduler a task that ended before this epoch."""
        self.scheduler.task_ended(f"{job.job_id}/{number}", 0, outcome, now_ms)

    # ---- targets

    def add_expected(self, announcement, now_ms):
        """Add a target of the previous owner; it is used only once it has reported."""
        self.members.add_expected(announcement, now_ms)
        if announcement.kind == "worker":
            self.ledger.record_worker(announcement)
            self.workers.add(announcement)
        self.ledger.record_runners()

    def announce(self, announcement, now_ms):
        """Handle an announcement; returns the ids of ended tasks it may forget."""
        before = self.members.targets.get(announcement.target_id)
        effect = self.members.announce(announcement, now_ms)
        if effect == "stale":
            return []
        self._record_announcement(announcement, before, effect)
        if announcement.kind == "runner":
            self.ledger.record_runners()
            return []
        self._update_worker(announcement, before, effect, now_ms)
        acknowledged = self._reconcile_tasks(announcement, now_ms)
        if announcement.state == "gone":
            self._on_worker_dead(announcement.target_id, now_ms)
        self.workers.update_open(announcement.target_id)
        self.scheduler.observe_usage(announcement.target_id, announcement.usage)
        return acknowledged

    def _record_announcement(self, announcement, before, effect):
        changed = before is None or before.announced.state != announcement.state
        if effect != "renewed" or changed or not before.reported:
            self.record_event(
                f"target_{effect}",
                target_id=announcement.target_id,
                detail=f"boot {announcement.boot_id} {announcement.state}",
            )

    def _update_worker(self, announcement, before, effect, now_ms):
        worker_id = announcement.target_id
        if worker_id in self.silent_boots:
            has_crashed = self.silent_boots[worker_id] != announcement.boot_id
            losses.end_silence(self, worker_id, has_crashed, now_ms)
        if effect == "restarted":
            self.workers.on_restarted(worker_id)
            for placement in self.placements.on_worker(worker_id):
                if placement.boot_id != announcement.boot_id:
                    losses.lose(self, placement, before.announced, now_ms)
        if announcement.owner_epoch_seen >= self.epoch:
            self.workers.confirm(worker_id)
        record = target_membership.worker_record(announcement)
        if not before or target_membership.worker_record(before.announced) != record:
            self.ledger.record_worker(announcement)
        self.workers.add(announcement)

    def declare_dead(self, target_id, now_ms):
        """Remove a silent target whose VM an operator declared lost for good."""
        announced = self.members.targets[target_id].announced
        for placement in self.placements.on_worker(target_id):
            losses.lose(self, placement, announced, now_ms)
        losses.end_silence(self, target_id, True, now_ms)
        self._remove_target(target_id)
        self.record_event("target_declared_dead", target_id=target_id)

    def _reconcile_tasks(self, announcement, now_ms):
        """Compare the tasks that a worker reports with its placements."""
        acknowledged, listed, running = [], set(), set()
        for task in announcement.tasks:
            listed.add((task.task_id, task.attempt))
            if task.state == "running":
                running.add(task.task_id)
                reports.handle_running_task(self, announcement, task, now_ms)
            elif reports.handle_ended_task(self, announcement, task, now_ms):
                acknowledged.append(task.task_id)
        self.workers.retain_orphans(announcement.target_id, running)
        if self.workers.is_confirmed(announcement.target_id):
            for placement in self.placements.on_worker(announcement.target_id):
                if placement.key not in listed:
                    reports.handle_missing_task(self, placement, now_ms)
        return acknowledged

    def add_orphan(self, worker_id, task_id):
        """Record a running task without a placement; its worker is closed meanwhile."""
        if self.workers.add_orphan(worker_id, task_id):
            self.record_event("task_astray", task_id=task_id, target_id=worker_id)

    # ---- tasks

    def restore(self, placement, state, started_ms=None):
        """Add a placement of a previous owner, whose task runs or may run.

        ``started_ms`` is the latest time at which it was placed, None for now.
        """
        record = placement.record
        number = jobs.number_of(record.task_id)
        state.attempts[number] = max(state.attempts.get(number, 0), record.attempt)
        self.placements.add(placement)
        self.scheduler.restore(
            record.task_id,
            record.attempt,
            record.job_id,
            record.worker_id,
            started_ms,
        )
        self.ledger.record_placement(placement)
        self.ledger.mark_job(state)

    def adopt(self, announcement, task, state, now_ms):
        """Add a placement for a running task that no record mentions."""
        record = placements.make_record(
            state.job, task.task_id, task.attempt, announcement.target_id
        )
        placement = placements.Placement(
            record, task.attempt, announcement.boot_id, state.job.task, "running"
        )
        placement.reported = True
        placement.accepted_ms = now_ms
        self.restore(placement, state)
        self.record_task_event("task_adopted", record)
        if state.cancelled:
            self.stop(placement, "stop", "stopped", now_ms)

    def on_task_started(self, placement, now_ms):
        """Handle a worker's message that it runs the attempt."""
        if placement.accepted_ms is None:
            placement.accepted_ms = now_ms
            self.record_task_event("task_started", placement.record)
        if placement.state in ("held", "starting"):
            if placement.state == "starting":
                self.scheduler.task_started(placement.record.task_id, now_ms)
            placement.state = "running"
            self.ledger.mark_job(self.jobs[placement.job_id])

    def end_attempt(self, placement, outcome, now_ms):
        """Remove the placement of an attempt that has certainly ended for good."""
        record = placements.with_outcome(placement.record, outcome)
        state = self.jobs[placement.job_id]
        number = jobs.number_of(record.task_id)
        self.placements.remove(placement)
        if placement.may_start_until_ms > now_ms:
            self._late_runs_ms[placement.key] = placement.may_start_until_ms
        if outcome == "finished" and not state.is_service:
            state.finished.add(number)
            state.failed.discard(number)
            self.ledger.mark_ended(state)
        elif outcome == "failed":
            state.failed.add(number)
        self.scheduler.task_ended(
            record.task_id, placement.scheduler_attempt, outcome, now_ms
        )
        self.ledger.record_end(record)
        self.ledger.mark_job(state)
        if outcome in ("lost", "expired"):
            losses.record(self, state)
        self.record_task_event("task_ended", record, outcome)
        self._remove_if_dead(record.worker_id)

    def stop(self, placement, command, outcome, now_ms):
        """Stop an attempt; it ends at once if no run command of it was ever sent."""
        if placement.state == "starting" and not placement.sent:
            self.end_attempt(placement, outcome, now_ms)
            return
        placement.state = "stopping"
        placement.end_command = command
        placement.outcome = outcome
        self.commands.push_due(placement, now_ms)

    def may_run_arrive(self, key, now_ms):
        """Whether a copy of an ended attempt's run command may still arrive."""
        until_ms = self._late_runs_ms.get(key, 0)
        if until_ms and until_ms <= now_ms:
            del self._late_runs_ms[key]
        return until_ms > now_ms

    def _remove_if_dead(self, worker_id):
        """Remove a dead worker from the scheduler once it has no placements."""
        target = self.members.targets.get(worker_id)
        if target is None or self.placements.on_worker(worker_id):
            return
        if target.state == "dead":
            self.workers.remove(worker_id)

    def _remove_target(self, target_id):
        target = self.members.targets[target_id]
        if target.announced.kind == "worker":
            self.workers.remove(target_id)
            self.ledger.record_worker(target.announced, gone=True)
        self.members.remove(target_id)
        self.ledger.record_runners()

    # ---- time

    def tick(self, now_ms, acked, has_standby, keepers_failing):
        """Update target states, make decisions and release runs with durable records.

        ``acked`` is the sequence up to which every active standby stores all records.
        """
        self._tick_members(now_ms)
        self.ledger.set_standby(has_standby, acked)
        if now_ms >= self.starts_from_ms:
            self._decide(now_ms)
        self._release_runs(acked, keepers_failing, now_ms)
        for placement in self.commands.queue_due(now_ms):
            self.end_attempt(placement, "refused", now_ms)

    def has_work(self, until_ms):
        """Whether a tick at ``until_ms`` or earlier could send or release something."""
        return bool(self._awaiting_durability) or self.commands.has_work(until_ms)

    def remove_dead_targets(self, now_ms):
        """Remove dead targets without placements after ``DEAD_TARGET_RETENTION_MS``."""
        for target_id, target in list(self.members.targets.items()):
            silent_ms = now_ms - target.last_contact_ms
            is_expired = target.state == "dead" and silent_ms > DEAD_TARGET_RETENTION_MS
            if is_expired and not self.placements.on_worker(target_id):
                # It will never be known whether its tasks had crashed it.
                losses.end_silence(self, target_id, False, now_ms)
                self._remove_target(target_id)

    def handle_batch_result(self, result, now_ms):
        """Handle a ``target_wire.BatchResult``."""
        for placement, command, answer in self.commands.match_answers(result, now_ms):
            if self.placements.is_current(placement):
                reports.handle_command_answer(self, placement, command, answer, now_ms)

    def _tick_members(self, now_ms):
        if now_ms < self._next_member_tick_ms:
            return
        self._next_member_tick_ms = now_ms + MEMBER_TICK_INTERVAL_MS
        for target_id in self.members.tick(now_ms):
            target = self.members.targets[target_id]
            self.record_event(f"target_{target.state}", target_id=target_id)
            if target.announced.kind == "worker":
                self.workers.update_open(target_id)
                if target.state == "dead":
                    self._on_worker_dead(target_id, now_ms)
        self.ledger.record_runners()

    def _on_worker_dead(self, worker_id, now_ms):
        """End the movable tasks of a worker whose lease has certainly expired.

        The worker has stopped them itself. It refuses a delayed copy of a run command,
        which refers to an announcement older than the lease. The placements of ``stay``
        tasks are kept until the worker returns or is declared dead.
        """
        announced = self.members.targets[worker_id].announced
        for placement in self.placements.on_worker(worker_id):
            if placement.record.when_cut_off == "move":
                losses.lose(self, placement, announced, now_ms, "expired")
        self._remove_if_dead(worker_id)

    def _decide(self, now_ms):
        for decision in self.scheduler.tick(now_ms, DECISIONS_PER_TICK):
            if isinstance(decision, actions.Start):
                self._start(decision)
            elif isinstance(decision, actions.Stop):
                self._stop(decision, now_ms)
            else:
                self.ledger.mark_job(self.jobs[decision.job_id])
                self.record_event(
                    "job_impossible", job_id=decision.job_id, detail=decision.reason
                )

    def _start(self, decision):
        state = self.jobs[decision.job_id]
        number = jobs.number_of(decision.task_id)
        attempt = placements.next_attempt(self.epoch, state.attempts.get(number, 0))
        state.attempts[number] = attempt
        record = placements.make_record(
            state.job, decision.task_id, attempt, decision.worker_id
        )
        boot_id = self.members.targets[decision.worker_id].announced.boot_id
        placement = placements.Placement(
            record, decision.attempt, boot_id, decision.task, "starting"
        )
        self.placements.add(placement)
        self.ledger.record_placement(placement)
        self._awaiting_durability.append(placement)
        self.ledger.mark_job(state)
        self.record_task_event("task_placed", record)

    def _stop(self, decision, now_ms):
        placement = self.placements.by_task.get(decision.task_id)
        if placement is None or placement.scheduler_attempt != decision.attempt:
            return
        self.stop(placement, decision.how, "stopped", now_ms)

    def _release_runs(self, acked, keepers_failing, now_ms):
        """Schedule the run commands whose records would survive this process."""
        waiting = collections.deque()
        for placement in self._awaiting_durability:
            if not self.placements.is_current(placement):
                continue
            if self.ledger.is_safe(placement, acked, keepers_failing):
                self.commands.push_due(placement, now_ms)
            else:
                waiting.append(placement)
        self._awaiting_durability = waiting

    # ---- the time line

    def record_event(self, kind, **details):
        """Record an event of this epoch in the time line."""
        self._record(kind, epoch=self.epoch, **details)

    def record_task_event(self, kind, record, detail=""):
        """Record an event of a task in the time line."""
        self.record_event(
            kind,
            job_id=record.job_id,
            task_id=record.task_id,
            target_id=record.worker_id,
            detail=detail,
        )
