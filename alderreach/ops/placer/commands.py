"""Schedules commands to workers: at most one batch per worker in flight, with resends.

A command without an answer is sent again: workers accept a repeated run command as
already known. Commands are created only when their batch is sent, so that a task whose
state changed while its command was queued gets the newer command, or none.
"""

import heapq

from alderreach.ops import target_wire

COMMANDS_PER_BATCH = 200
RESEND_MS = 1000
UNSENT_RETRY_MS = 300
STOP_GRACE_MS = 5000


class Commands:
    """Commands of one owner.

    ``lease_expiry_ms`` is the time during which an unanswered run command can still
    start its attempt.
    """

    def __init__(self, epoch, placements, members, jobs, lease_expiry_ms):
        self._epoch = epoch
        self._placements = placements
        self._members = members
        self._jobs = jobs
        self._lease_expiry_ms = lease_expiry_ms
        self._due = []
        self._due_count = 0
        self._outgoing = {}
        self._strays = {}
        self._in_flight = set()

    def push_due(self, placement, due_ms):
        """Check at ``due_ms`` which command the placement needs."""
        self._due_count += 1
        heapq.heappush(self._due, (due_ms, self._due_count, placement))

    def has_work(self, until_ms):
        """Whether a command is queued, or is due at ``until_ms`` or earlier."""
        due = bool(self._due) and self._due[0][0] <= until_ms
        return due or bool(self._outgoing) or bool(self._strays)

    def stop_stray(self, worker_id, task_id, attempt):
        """Queue a stop command for an attempt without a placement."""
        self._strays.setdefault(worker_id, set()).add((task_id, attempt))

    def queue_due(self, now_ms):
        """Queue the commands that are due; returns placements with a final refusal.

        A refusal is final once no other copy of the run command can start the attempt.
        """
        refused = []
        while self._due and self._due[0][0] <= now_ms:
            placement = heapq.heappop(self._due)[2]
            if not self._placements.is_current(placement):
                continue
            if placement.state == "starting" and placement.refused:
                if now_ms < placement.may_start_until_ms:
                    self.push_due(placement, placement.may_start_until_ms)
                else:
                    refused.append(placement)
            elif placement.state in ("starting", "stopping"):
                self._queue(placement, now_ms)
        return refused

    def _queue(self, placement, now_ms):
        """Queue a command, or check again later if its worker is unreachable."""
        target = self._members.targets.get(placement.record.worker_id)
        if target is None or not target.reported or target.state == "dead":
            self.push_due(placement, now_ms + RESEND_MS)
            return
        queue = self._outgoing.setdefault(placement.record.worker_id, {})
        queue[placement.record.task_id] = placement

    def batches(self):
        """Return the batches to send now, for workers that have none in flight."""
        waiting = [
            *self._outgoing,
            *(w for w in self._strays if w not in self._outgoing),
        ]
        ready = [worker_id for worker_id in waiting if worker_id not in self._in_flight]
        batches = [self._make_batch(worker_id) for worker_id in ready]
        return [batch for batch in batches if batch is not None]

    def _make_batch(self, worker_id):
        target = self._members.targets.get(worker_id)
        commands = self._pop_commands(worker_id)
        if target is None or not commands:
            return None
        self._in_flight.add(worker_id)
        announcement = target.announced
        return target_wire.Batch(
            worker_id,
            announcement.address,
            announcement.boot_id,
            self._epoch,
            announcement.sequence,
            tuple(commands),
        )

    def _pop_commands(self, worker_id):
        """Remove the worker's commands from the queue, based on the current state."""
        commands = [
            target_wire.end_command("stop", task_id, attempt, STOP_GRACE_MS)
            for task_id, attempt in self._strays.pop(worker_id, ())
        ]
        queue = self._outgoing.get(worker_id, {})
        for task_id in list(queue)[:COMMANDS_PER_BATCH]:
            placement = queue.pop(task_id)
            if self._placements.is_current(placement):
                commands += self._make_commands(placement)
        if not queue:
            self._outgoing.pop(worker_id, None)
        return commands

    def _make_commands(self, placement):
        record = placement.record
        if placement.state == "starting" and not placement.refused:
            state = self._jobs[record.job_id]
            placement.sent = True
            yield target_wire.run_command(
                record, state.job, placement.task, state.service
            )
        elif placement.state == "stopping":
            yield target_wire.end_command(
                placement.end_command, record.task_id, record.attempt, STOP_GRACE_MS
            )

    def match_answers(self, result, now_ms):
        """Match a result to placements: yields (placement, command, CommandResult).

        Commands without an answer are scheduled again.
        """
        batch = result.batch
        self._in_flight.discard(batch.worker_id)
        answers = {(r.task_id, r.attempt): r for r in result.results}
        for command in batch.commands:
            placement = self._placements.by_task.get(command["task_id"])
            if placement is None or placement.record.attempt != command["attempt"]:
                continue
            answer = answers.get(placement.key)
            if answer is None:
                self._retry_unanswered(placement, command, result.status, now_ms)
            else:
                yield placement, command["command"], answer

    def _retry_unanswered(self, placement, command, status, now_ms):
        if command["command"] == "run":
            if status in ("uncertain", "answered"):
                placement.may_start_until_ms = now_ms + self._lease_expiry_ms
            elif not placement.may_start_until_ms:
                # The batch certainly did not arrive or was refused as a whole.
                placement.sent = False
        is_quick_retry = status in ("unsent", "late")
        self.push_due(
            placement, now_ms + (UNSENT_RETRY_MS if is_quick_retry else RESEND_MS)
        )
