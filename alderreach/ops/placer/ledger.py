"""The part of an owner's state that must survive its process, and where it is stored.

Records go to the standby with the beats. Items go to the keepers: job statuses, the
finished tasks, and the placements that no standby stores or that do not end when the
worker's lease expires (``stay`` tasks).
"""

from alderreach.core import codec, placements, records, target_membership
from alderreach.core.generated import placer
from alderreach.ops.placer import jobs


class Ledger:
    """The records of one epoch, and the scheduling of items to be written.

    ``mark_item(key, make)`` is ``item_writer.ItemWriter.mark``; ``make_status(state)``
    returns a status item's value in the way ``make`` does.
    """

    def __init__(self, failure_domain, placed, members, mark_item, make_status):
        self.log = records.RecordLog()
        self._failure_domain = failure_domain
        self._placed = placed
        self._members = members
        self._mark_item = mark_item
        self._make_status = make_status
        self._keeper_sequences = {}
        self._has_standby = True
        self._runner_views = 0

    # ---- records

    def record_placement(self, placement):
        """Record a new placement."""
        record = placement.record
        placement.record_sequence = self.log.put("placement", record.task_id, record)
        self._mark_worker(record)

    def record_end(self, record):
        """Record the end of an attempt; other outcomes than finished delete its record.

        The record of a finish is deleted once the keepers store it.
        """
        if record.outcome != "finished":
            record = record._replace(outcome=records.DELETED)
        self.log.put("placement", record.task_id, record)
        self._mark_worker(record)

    def record_worker(self, announcement, gone=False):
        """Record a worker from its announcement, or that it was removed."""
        record = target_membership.worker_record(announcement, gone)
        self.log.put("worker", announcement.target_id, record)

    def record_runners(self):
        """Record the runner views that entries receive."""
        if self._runner_views == self._members.sequence:
            return
        _, views = self._members.changes_since(self._runner_views)
        self._runner_views = self._members.sequence
        for view in views:
            self.log.put("runner", view.runner_id, view)

    def set_standby(self, has_standby, acked):
        """Update whether a standby is active and up to which record it stores all.

        When the last standby is lost, the keepers must store what only it stored.
        """
        if self._has_standby and not has_standby:
            for worker_id in self._placed.workers():
                self._mark_item_of(worker_id)
        self._has_standby = has_standby
        self.log.trim(acked if has_standby else self.log.sequence)

    def is_safe(self, placement, acked, keepers_failing):
        """Whether the placement would survive the loss of this process."""
        sequence = placement.record_sequence
        if sequence <= self._keeper_sequences.get(placement.record.worker_id, 0):
            return True
        if not self._has_standby or sequence > acked:
            return False
        return placement.record.when_cut_off == "move" or keepers_failing

    # ---- items

    def mark_job(self, state):
        """Schedule the write of a job's status; services have none."""
        if not state.is_service:
            key = f"status/{self._failure_domain}/{state.job.job_id}"
            self._mark_item(key, lambda: self._make_status(state))

    def mark_ended(self, state):
        """Schedule the write of the finished tasks; workers may forget durable ones."""

        def make():
            finished = frozenset(state.finished)

            def on_durable():
                self._on_finished_durable(state, finished)

            return jobs.ended_item(state), on_durable

        self._mark_item(f"done/{self._failure_domain}/{state.job.job_id}", make)

    def record_losses(self, state, losses, in_doubt):
        """Schedule the write of how often a job's tasks were lost, for the next owner.

        ``in_doubt`` lists ``placer.LossInDoubt``.
        """
        if not state.is_service and (losses, in_doubt) != (
            state.losses,
            state.in_doubt,
        ):
            state.losses, state.in_doubt = losses, in_doubt
            key = f"lost/{self._failure_domain}/{state.job.job_id}"
            self._mark_item(key, lambda: (jobs.lost_item(state), None))

    def delete(self, key):
        """Schedule the deletion of an item."""
        self._mark_item(key, lambda: (None, None))

    def _on_finished_durable(self, state, finished):
        for number in finished - state.durable_finished:
            task_id = f"{state.job.job_id}/{number}"
            record = placer.PlacementRecord(
                task_id, 0, state.job.job_id, "", "", records.DELETED
            )
            self.log.put("placement", task_id, record)
        state.durable_finished = finished

    def _mark_worker(self, record):
        if record.when_cut_off == "stay" or not self._has_standby:
            self._mark_item_of(record.worker_id)

    def _mark_item_of(self, worker_id):
        def make():
            sequence = self.log.sequence

            def on_durable():
                self._keeper_sequences[worker_id] = sequence

            return self._worker_item(worker_id), on_durable

        self._mark_item(f"placed/{self._failure_domain}/{worker_id}", make)

    def _worker_item(self, worker_id):
        placed = self._placed.on_worker(worker_id)
        target = self._members.targets.get(worker_id)
        if not placed or target is None:
            return None
        record = target_membership.worker_record(target.announced)
        return codec.encode(placements.worker_item(record, placed))
