"""What of an owner's state must outlive its process, and where it is held.

Records go to the standby with the beats. Items go to the keepers: job statuses, which
tasks finished, and the placements that no standby holds or that no lapse of time ends.
"""

from alderreach.core import codec, placements, records, target_membership
from alderreach.core.generated import placer
from alderreach.ops.placer import jobs


class Ledger:
    """The records and the marks of items to be written, of one epoch.

    ``mark_item(key, make)`` is ``item_writer.ItemWriter.mark``; ``make_status(state)``
    gives a status item's value as ``make`` does.
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
        """Record how an attempt ended; a finish until the keepers hold it too."""
        if record.outcome != "finished":
            record = record._replace(outcome=records.DELETED)
        self.log.put("placement", record.task_id, record)
        self._mark_worker(record)

    def record_worker(self, announcement, gone=False):
        """Record a worker as it announced itself, or that it is forgotten."""
        record = target_membership.worker_record(announcement, gone)
        self.log.put("worker", announcement.target_id, record)

    def record_runners(self):
        """Record what entries are told of runners."""
        if self._runner_views == self._members.sequence:
            return
        _, views = self._members.changes_since(self._runner_views)
        self._runner_views = self._members.sequence
        for view in views:
            self.log.put("runner", view.runner_id, view)

    def set_standby(self, has_standby, acked):
        """Take in whether a standby lives and what it holds.

        Without one the keepers must hold what only it held.
        """
        if self._has_standby and not has_standby:
            for worker_id in self._placed.workers():
                self._mark_item_of(worker_id)
        self._has_standby = has_standby
        self.log.trim(acked if has_standby else self.log.sequence)

    def is_safe(self, placement, acked, keepers_failing):
        """Whether the loss of this process would not lose the placement."""
        sequence = placement.record_sequence
        if sequence <= self._keeper_sequences.get(placement.record.worker_id, 0):
            return True
        if not self._has_standby or sequence > acked:
            return False
        return placement.record.when_cut_off == "move" or keepers_failing

    # ---- items

    def mark_job(self, state):
        """Have a job's status written; services have none."""
        if not state.is_service:
            key = f"status/{self._failure_domain}/{state.job.job_id}"
            self._mark_item(key, lambda: self._make_status(state))

    def mark_ended(self, state):
        """Have the keepers hold which tasks finished; then workers may forget them."""

        def make():
            finished = frozenset(state.finished)

            def on_durable():
                self._on_finished_durable(state, finished)

            return jobs.ended_item(state), on_durable

        self._mark_item(f"done/{self._failure_domain}/{state.job.job_id}", make)

    def record_losses(self, state, losses):
        """Have the keepers hold how often a job's tasks were lost, for the next owner.

        That of a job that is over is empty and not written.
        """
        if losses and not state.is_service:
            state.losses = losses
            key = f"lost/{self._failure_domain}/{state.job.job_id}"
            self._mark_item(key, lambda: (jobs.lost_item(state), None))

    def delete(self, key):
        """Have an item deleted."""
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
        held = self._placed.on_worker(worker_id)
        target = self._members.targets.get(worker_id)
        if not held or target is None:
            return None
        record = target_membership.worker_record(target.announced)
        return codec.encode(placements.worker_item(record, held))
