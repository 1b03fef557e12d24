"""The in-memory replicated log: the entries after a base covered by a snapshot.

Indexes count from 1. The log tracks which of its entries are not on disk yet, so that
the driver writes each batch once.
"""

import bisect


class Log:
    """Entries ``base_index + 1 .. last_index``; those up to the base are compacted.

    >>> log = Log(base_index=5, base_term=2, entries=[])
    >>> log.last_index, log.term_at(5), log.term_at(4)
    (5, 2, None)
    """

    def __init__(self, base_index=0, base_term=0, entries=()):
        self.base_index = base_index
        self.base_term = base_term
        self.entries = list(entries)
        self.unsynced_from = None

    @property
    def last_index(self):
        """Index of the newest entry, or of the base if there is none."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self):
        """Term of the newest entry, or of the base if there is none."""
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index):
        """Return the term of the entry at ``index``, or None if it isn't in the log."""
        if index == self.base_index:
            return self.base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self.entries[index - self.base_index - 1].term

    def entry(self, index):
        """Return the entry at an index that is in the log."""
        return self.entries[index - self.base_index - 1]

    def after(self, index, max_entries, max_bytes):
        """Return entries after ``index`` within both limits, at least one if any."""
        start = index - self.base_index
        batch, size = [], 0
        for entry in self.entries[start : start + max_entries]:
            size += len(entry.data)
            if batch and size > max_bytes:
                break
            batch.append(entry)
        return batch

    def append(self, entries):
        """Append entries."""
        if entries:
            self._mark_unsynced(self.last_index + 1)
            self.entries.extend(entries)

    def truncate_from(self, index):
        """Drop the entries from ``index`` on."""
        self._mark_unsynced(index)
        del self.entries[index - self.base_index - 1 :]

    def compact(self, index):
        """Drop entries up to ``index``, which are covered by a synced snapshot."""
        if index <= self.base_index:
            return
        term = self.term_at(index)
        del self.entries[: index - self.base_index]
        self.base_index, self.base_term = index, term

    def reset(self, index, term):
        """Drop all entries and continue after a snapshot that conflicts with them."""
        self.base_index, self.base_term = index, term
        self.entries = []
        self.unsynced_from = None

    def first_of_term(self, index):
        """Return the first index in the log with the term of the entry at ``index``."""
        term = self.term_at(index)
        end = index - self.base_index
        start = bisect.bisect_left(self.entries, term, 0, end, key=lambda e: e.term)
        return self.base_index + 1 + start

    def _mark_unsynced(self, index):
        if self.unsynced_from is None or index < self.unsynced_from:
            self.unsynced_from = index
