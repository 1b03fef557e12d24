"""Workers that may get new runs, by service, and those that have gained room lately.

Between two planning passes only a few of a cell's workers change. A step that found no
room has to look again only at those, so a pass costs by what changed rather than by the
waiting steps times the workers.
"""

import collections

# Workers also become usable by the mere passing of time, and silent in the same way.
# Going through thousands of them takes longer, so it is done less often.
REFRESH_MS = 20
REFRESH_MS_PER_WORKER = 0.05


class Pools:
    """The usable ones of ``workers``, a dictionary by id that others keep up."""

    def __init__(self, workers):
        self._workers = workers
        self._usable = {}
        self._ids = set()
        self._freed = {}
        self._due_ms = 0

    def mark_freed(self, target_id):
        """A run has left a worker, or the worker is larger than before."""
        self._freed[target_id] = None

    def on_worker_changed(self, target_id):
        """A worker's record is another one, or the worker is gone."""
        self.mark_freed(target_id)
        self._due_ms = 0

    def refresh(self, now_ms):
        """Find out which workers are usable, if that is due.

        Returns the ids of those that have become so, and of those that no longer are.
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
        self._freed.update(dict.fromkeys(sorted(appeared)))
        self._ids = ids
        for pool in by_service.values():
            pool.sort(key=_negative_free_millis)
        self._usable = by_service
        return appeared, disappeared

    def usable(self, service):
        """Usable workers of a service, roughly those with most processors free first.

        One of them may have become unusable since the last refresh.
        """
        return self._usable.get(service, ())

    def usable_among(self, service, target_ids):
        """Those of some workers, by id, that were usable at the last refresh."""
        found = []
        for target_id in target_ids:
            if target_id in self._ids:
                worker = self._workers.get(target_id)
                if worker is not None and worker.record.service == service:
                    found.append(worker)
        return found

    def pop_freed(self):
        """Usable workers that have gained room since the last call."""
        freed, self._freed = self._freed, {}
        return [
            self._workers[name]
            for name in freed
            if name in self._ids and name in self._workers
        ]


def _negative_free_millis(worker):
    return worker.used[0] - worker.record.capacity.cpu_millis
