"""The replicated log in memory: entries after a base that a snapshot covers.

Indexes count from 1. The log knows which of its entries are not yet on disk, so that
whoever drives it writes each batch once.
"""

import bisect


class Log:
    """Entries ``base_index + 1 .. last_index``; entries at or below the base are gone.

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
        """Index of the newest entry, the base's if there is none."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self):
        """Term of the newest entry."""
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index):
        """Term of the entry at ``index``, or None if the log does not hold it."""
        if index == self.base_index:
            return self.base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self.entries[index - self.base_index - 1].term

    def entry(self, index):
        """The entry at an index the log holds."""
        return self.entries[index - self.base_index - 1]

    def after(self, index, max_entries, max_bytes):
        """Entries after ``index``: at least one if there is one, within both bounds."""
        start = index - self.base_index
        batch, size = [], 0
        for entry in self.entries[start : start + max_entries]:
            size += len(entry.data)
            if batch and size > max_bytes:
                break
            batch.append(entry)
        return batch

    def append(self, entries):
        """Add entries at the end."""
        if entries:
            self._mark_unsynced(self.last_index + 1)
            self.entries.extend(entries)

    def truncate_from(self, index):
        """Drop the entry at ``index`` and all after it."""
        self._mark_unsynced(index)
        del self.entries[index - self.base_index - 1 :]

    def compact(self, index):
        """Drop entries up to ``index``, which a synced snapshot covers."""
        if index <= self.base_index:
            return
        term = self.term_at(index)
        del self.entries[: index - self.base_index]
        self.base_index, self.base_term = index, term

    def reset(self, index, term):
        """Start anew after a snapshot that does not continue this log."""
        self.base_index, self.base_term = index, term
        self.entries = []
        self.unsynced_from = None

    def first_of_term(self, index):
        """First index held that has the same term as the entry at ``index``."""
        term = self.term_at(index)
        end = index - self.base_index
        start = bisect.bisect_left(self.entries, term, 0, end, key=lambda e: e.term)
        return self.base_index + 1 + start

    def _mark_unsynced(self, index):
        if self.unsynced_from is None or index < self.unsynced_from:
            self.unsynced_from = index
