"""What an owner tells its standby: placements, workers and runners, as records.

The log keeps the newest record of each key, numbered. A standby that lacks everything
after ``acked`` gets that and no more; one that knows nothing, or lacks a record whose
deletion was already forgotten, gets all. The copy applies only what continues it.

>>> log = RecordLog()
>>> log.put("runner", "r1", view)  # doctest: +SKIP
1
"""

import typing

DELETED = "settled"


class Changes(typing.NamedTuple):
    """The records after ``from_record``, or all if that is 0."""

    from_record: int
    sequence: int
    placements: list
    workers: list
    runners: list


def is_deletion(kind, record):
    """Whether the record only says that its key is no more."""
    if kind == "placement":
        return record.outcome == DELETED
    return record.gone if kind == "worker" else record.state == "dead"


class RecordLog:
    """The owner's side."""

    def __init__(self):
        self.sequence = 0
        self._entries = {}
        self._floor_sequence = 0
        self._deletions = 0

    def put(self, kind, key, record):
        """Add a record in place of the key's older one; returns its sequence."""
        before = self._entries.pop((kind, key), None)
        if before is not None and is_deletion(kind, before[1]):
            self._deletions -= 1
        self.sequence += 1
        self._entries[(kind, key)] = (self.sequence, record)
        self._deletions += is_deletion(kind, record)
        return self.sequence

    def changes_since(self, acked):
        """Return the Changes a standby lacks that has all up to ``acked``."""
        from_record = acked if self._floor_sequence <= acked <= self.sequence else 0
        parts = {"placement": [], "worker": [], "runner": []}
        for (kind, _), (sequence, record) in reversed(self._entries.items()):
            if sequence <= from_record:
                break
            parts[kind].append(record)
        return Changes(
            from_record,
            self.sequence,
            parts["placement"][::-1],
            parts["worker"][::-1],
            parts["runner"][::-1],
        )

    def trim(self, acked):
        """Forget deletions that every standby holds, up to ``acked``."""
        if not self._deletions:
            return
        done = [
            (key, sequence)
            for key, (sequence, record) in self._entries.items()
            if sequence <= acked and is_deletion(key[0], record)
        ]
        for key, sequence in done:
            del self._entries[key]
            self._floor_sequence = max(self._floor_sequence, sequence)
        self._deletions -= len(done)


class RecordCopy:
    """The standby's side: the records of the owner of ``epoch`` up to ``sequence``."""

    def __init__(self):
        self.epoch = 0
        self.sequence = 0
        self.placements = {}
        self.workers = {}
        self.runners = {}

    def apply(self, beat):
        """Take an OwnerBeat; returns the sequence up to which all is held."""
        if beat.epoch < self.epoch:
            return self.sequence
        if beat.epoch > self.epoch:
            if beat.from_record:
                return 0
            self._clear(beat.epoch)
        if beat.from_record > self.sequence or beat.record_sequence < self.sequence:
            return self.sequence
        if beat.from_record == 0 and self.sequence:
            self._clear(beat.epoch)
        for record in beat.placements:
            _store(self.placements, record.task_id, record, "placement")
        for record in beat.workers:
            _store(self.workers, record.worker_id, record, "worker")
        for view in beat.runners:
            _store(self.runners, view.runner_id, view, "runner")
        self.sequence = beat.record_sequence
        return self.sequence

    def _clear(self, epoch):
        self.epoch, self.sequence = epoch, 0
        self.placements, self.workers, self.runners = {}, {}, {}


def _store(records, key, record, kind):
    if is_deletion(kind, record):
        records.pop(key, None)
    else:
        records[key] = record


def copy_from_log(log, epoch):
    """Return a copy that holds all of ``log``, as an owner keeps when it steps down."""
    copy = RecordCopy()
    changes = log.changes_since(0)
    copy.epoch, copy.sequence = epoch, changes.sequence
    for record in changes.placements:
        _store(copy.placements, record.task_id, record, "placement")
    for record in changes.workers:
        _store(copy.workers, record.worker_id, record, "worker")
    for view in changes.runners:
        _store(copy.runners, view.runner_id, view, "runner")
    return copy
