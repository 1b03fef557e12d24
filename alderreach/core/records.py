"""Replication of placements, workers and runners from an owner to its standby.

The log keeps the newest record of each key with a sequence number. A standby that has
acknowledged everything up to ``acked`` receives only later records. A standby that has
none, or that missed a deletion which the log no longer holds, receives all of them. The
copy applies only changes without a gap.

>>> log = RecordLog()
>>> log.put("runner", "r1", view)  # doctest: +SKIP
1
"""

import typing

DELETED = "settled"


class Changes(typing.NamedTuple):
    """The records after ``from_record``, or all records if it is 0."""

    from_record: int
    sequence: int
    placements: list
    workers: list
    runners: list


def is_deletion(kind, record):
    """Whether the record marks its key as deleted."""
    if kind == "placement":
        return record.outcome == DELETED
    return record.gone if kind == "worker" else record.state == "dead"


class RecordLog:
    """The owner's side: the newest record of each key."""

    def __init__(self):
        self.sequence = 0
        self._entries = {}
        self._floor_sequence = 0
        self._deletions = 0

    def put(self, kind, key, record):
        """Replace the record of a key; returns the new record's sequence."""
        before = self._entries.pop((kind, key), None)
        if before is not None and is_deletion(kind, before[1]):
            self._deletions -= 1
        self.sequence += 1
        self._entries[(kind, key)] = (self.sequence, record)
        self._deletions += is_deletion(kind, record)
        return self.sequence

    def changes_since(self, acked):
        """Return the Changes for a standby that has all records up to ``acked``."""
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
        """Drop deletions up to ``acked``, which every standby has applied."""
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
    """The standby's side: the records of the owner of ``epoch`` up to ``sequence``.

    It also keeps when it first saw each placement, for the age of its task: the records
    don't contain it. That outlasts changes of the owner.
    """

    def __init__(self):
        self.epoch = 0
        self.sequence = 0
        self.placements = {}
        self.workers = {}
        self.runners = {}
        self._first_seen = {}

    def apply(self, beat, now_ms):
        """Apply an OwnerBeat; returns the sequence up to which the copy is complete."""
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
            self._note_seen(record, now_ms)
        for record in beat.workers:
            _store(self.workers, record.worker_id, record, "worker")
        for view in beat.runners:
            _store(self.runners, view.runner_id, view, "runner")
        if beat.from_record == 0:
            self._first_seen = {key: self._first_seen[key] for key in self.placements}
        self.sequence = beat.record_sequence
        return self.sequence

    def first_seen_ms(self, record):
        """When this attempt's placement was first seen; None if it is not known."""
        attempt, seen_ms = self._first_seen.get(record.task_id, (None, None))
        return seen_ms if attempt == record.attempt else None

    def _note_seen(self, record, now_ms):
        if record.task_id not in self.placements:
            self._first_seen.pop(record.task_id, None)
        elif self.first_seen_ms(record) is None:
            self._first_seen[record.task_id] = (record.attempt, now_ms)

    def _clear(self, epoch):
        self.epoch, self.sequence = epoch, 0
        self.placements, self.workers, self.runners = {}, {}, {}


def _store(records, key, record, kind):
    if is_deletion(kind, record):
        records.pop(key, None)
    else:
        records[key] = record


def copy_from_log(log, epoch):
    """Return a copy of all records in ``log``, for an owner that steps down."""
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
