"""The helpers: processes that send the leader's permission queries.

Each helper sends one query at a time. Slow queries leave some helpers to quick ones.
A helper that failed its last query may be connected to the leader but not to the
permission service. It comes last, it does not count as reserved for quick queries, and
slow queries try it again only after a while.
"""

from alderreach.decisions.cell import query_planning

# A failed helper gets a slow query again after this, if there are no others.
FAILED_PAUSE_MS = 1000


class Helpers:
    """Which helpers are busy, which failed lately, and the demand of quick queries."""

    def __init__(self):
        self._busy = {}
        self._slow = set()
        self._failed_ms = {}
        self._demand = query_planning.QuickDemand()

    def idle_share(self, helpers):
        """The share of the given helpers that is idle."""
        idle = sum(helper not in self._busy for helper in helpers)
        return idle / max(1, len(helpers))

    def reserved(self, helpers, now_ms):
        """How many of the given helpers slow queries leave to quick ones."""
        peak = self._demand.peak(now_ms)
        return query_planning.reserved_helpers(len(helpers), peak)

    def find_idle(self, rule, helpers, quickest_ms, now_ms):
        """An idle helper for a query under a rule, or None.

        ``quickest_ms`` is the decision time of the quickest rule in force.
        """
        idle = [helper for helper in helpers if helper not in self._busy]
        good = [helper for helper in idle if helper not in self._failed_ms]
        failed = min(
            (helper for helper in idle if helper in self._failed_ms),
            key=self._failed_ms.get,
            default=None,
        )
        if not query_planning.is_slow(rule, quickest_ms):
            found = good[0] if good else failed
            if found is None:
                self._demand.miss(now_ms)
            return found
        if good and len(good) + self._demand.busy > self.reserved(helpers, now_ms):
            return good[0]
        may_try = failed and now_ms - self._failed_ms[failed] >= FAILED_PAUSE_MS
        return failed if may_try else None

    def assign(self, helper, query, is_slow, now_ms):
        """Record that a helper got a query."""
        self._busy[helper] = query
        if is_slow:
            self._slow.add(helper)
        else:
            self._demand.begin(now_ms)

    def release(self, helper, has_answered, now_ms):
        """Record that the query of a helper is over."""
        if self._busy.pop(helper, None) is None:
            return
        if helper in self._slow:
            self._slow.discard(helper)
        else:
            self._demand.end(now_ms)
        if has_answered:
            self._failed_ms.pop(helper, None)
        else:
            self._failed_ms[helper] = now_ms
