"""Usable workers by service, and those whose capacity was freed recently.

Between two planning passes only a few of a cell's workers change. A step that did not
fit before needs to check only those again, so the cost of a pass grows with the number
of changes rather than with the waiting steps times the workers.
"""

import collections

# Workers also become usable or silent with time alone, so all of them are checked
# periodically, and less often if there are thousands, since that takes longer.
REFRESH_MS = 20
REFRESH_MS_PER_WORKER = 0.05


class Pools:
    """The usable workers of ``workers``, a dictionary by id that the caller updates."""

    def __init__(self, workers):
        self._workers = workers
        self._usable = {}
        self._ids = set()
        self._freed = {}
        self._changed = set()
        self._due_ms = 0

    def mark_freed(self, target_id):
        """Record freed capacity: a run has left a worker, or the worker has grown."""
        self._freed[target_id] = None

    def on_worker_changed(self, target_id):
        """Handle a worker whose record changed or that was removed."""
        self.mark_freed(target_id)
        self._changed.add(target_id)
        self._due_ms = 0

    def refresh(self, now_ms):
        """Update the usable workers if that is due.

        Returns the ids of workers that became usable, and of those that are no longer.
        A usable worker whose record changed counts as one that became usable: a step
        may suit it now that did not before.
        """
        if now_ms < self._due_ms:
            return set(), set()
        pause_ms = max(REFRESH_MS, REFRESH_MS_PER_WORKER * len(self._workers))
        self._due_ms = now_ms + pause_ms
        by_service = collections.defaultdict(list)
        ids = set()
        for target_id, worker in self._workers.items():
            if worker.is_usable(now_ms):
                by_service[worker.record.service].append(worker)
                ids.add(target_id)
        appeared, disappeared = ids - self._ids, self._ids - ids
        appeared |= self._changed & ids
        self._changed.clear()
        self._freed.update(dict.fromkeys(sorted(appeared)))
        self._ids = ids
        for pool in by_service.values():
            pool.sort(key=_negative_free_millis)
        self._usable = by_service
        return appeared, disappeared

    def usable(self, service):
        """Usable workers of a service, those with most free processors first.

        Both are as of the last refresh; a worker may have become unusable since then.
        """
        return self._usable.get(service, ())

    def usable_among(self, service, target_ids):
        """Those of the given workers that were usable at the last refresh."""
        found = []
        for target_id in target_ids:
            if target_id in self._ids:
                worker = self._workers.get(target_id)
                if worker is not None and worker.record.service == service:
                    found.append(worker)
        return found

    def pop_freed(self):
        """Usable workers that have freed capacity since the last call."""
        freed, self._freed = self._freed, {}
        return [
            self._workers[name]
            for name in freed
            if name in self._ids and name in self._workers
        ]


def _negative_free_millis(worker):
    return worker.used[0] - worker.record.capacity.cpu_millis
