"""The workers registered with the scheduler, and which of them may get new tasks."""


class Workers:
    """Keeps the scheduler's workers consistent with their announcements.

    A worker is open if it has confirmed this owner's epoch, is ready, runs no task
    without a placement (an orphan), and is not closed for maintenance.
    """

    def __init__(self, scheduler, members):
        self._scheduler = scheduler
        self._members = members
        self._capacities = {}
        self._confirmed = set()
        self._closed = frozenset()
        self._orphans = {}

    def add(self, announcement):
        """Register a worker with the scheduler, or update its capacity."""
        worker_id = announcement.target_id
        if self._capacities.get(worker_id) == announcement.capacity:
            return
        self._scheduler.add_worker(
            worker_id, announcement.vm, announcement.rack, announcement.capacity
        )
        self._capacities[worker_id] = announcement.capacity
        self.update_open(worker_id)

    def remove(self, worker_id):
        """Remove a worker from the scheduler."""
        if self._capacities.pop(worker_id, None) is not None:
            self._scheduler.remove_worker(worker_id)
        self._confirmed.discard(worker_id)

    def update_open(self, worker_id):
        """Open or close a worker for new tasks according to its state."""
        if worker_id not in self._capacities:
            return
        target = self._members.targets.get(worker_id)
        is_open = (
            target is not None
            and target.state == "ready"
            and worker_id in self._confirmed
            and worker_id not in self._orphans
            and worker_id not in self._closed
        )
        self._scheduler.set_open(worker_id, is_open)

    def set_closed(self, worker_ids):
        """Close these workers for new tasks; reopen those that are no longer listed."""
        changed = self._closed ^ frozenset(worker_ids)
        self._closed = frozenset(worker_ids)
        for worker_id in changed:
            self.update_open(worker_id)

    def confirm(self, worker_id):
        """Record that a worker has reported this epoch."""
        self._confirmed.add(worker_id)

    def is_confirmed(self, worker_id):
        """Whether a worker has reported this epoch."""
        return worker_id in self._confirmed

    def on_restarted(self, worker_id):
        """Handle a new boot: the worker must confirm again and has no orphans."""
        self._confirmed.discard(worker_id)
        self._orphans.pop(worker_id, None)

    def add_orphan(self, worker_id, task_id):
        """Record a running task without a placement; False if already recorded."""
        orphans = self._orphans.setdefault(worker_id, set())
        was_known = task_id in orphans
        orphans.add(task_id)
        return not was_known

    def retain_orphans(self, worker_id, running):
        """Remove the worker's orphans that it no longer reports as running."""
        orphans = self._orphans.pop(worker_id, set()) & running
        if orphans:
            self._orphans[worker_id] = orphans
