"""Waiting groups whose customers have as much running as they may.

Such a group is parked: planning passes don't visit it, and no permission is asked for
it. It returns to the queue once its customer's use has fallen, or the cap was raised,
so far that a part of it can start. The cost of a pass therefore doesn't grow with the
work that customers at their caps have waiting.
"""

from alderreach.decisions.cell import customers

# The number of customers in the metrics; each of them is a time series.
MAX_REPORTED_CUSTOMERS = 30


class CapWaits:
    """The claims of the waiting groups of one term, and the parked groups."""

    def __init__(self, leader):
        self._leader = leader
        self._claims = {}
        self._parked = {}
        # The parked groups that may preempt less urgent work of their customers.
        self._urgent = {}

    def room(self, job, group):
        """How many tasks of a group its customer may start now."""
        return self._leader.customers.room(self._claim(job, group))

    def has_room(self, job, group):
        """Whether a part of a group may start under its customer's cap."""
        return self._leader.customers.has_room(self._claim(job, group))

    def park(self, job, group, now_ms):
        """Set a group aside until its customer has room for it."""
        claim = self._claim(job, group)
        self._leader.customers.wait(claim, now_ms)
        self._parked.setdefault(claim.team, {})[group] = claim
        if claim.is_urgent:
            self._urgent[group] = None

    def is_parked(self, group):
        """Whether a group waits for its customer's cap."""
        claim = self._claims.get(group)
        return claim is not None and group in self._parked.get(claim.team, ())

    def urgent(self):
        """The parked groups that may preempt less urgent work of their customers."""
        return list(self._urgent)

    def on_not_started(self, job, group, now_ms):
        """Record that a group has room under the cap, but found no worker."""
        self._leader.customers.on_not_started(self._claim(job, group), now_ms)

    def pop_ready(self, now_ms):
        """Remove and return the parked groups of which a part may start now."""
        ready = []
        self._leader.customers.expire_savings(now_ms)
        for customer in self._leader.customers.pop_eased():
            parked = self._parked.get(customer, {})
            for group, claim in list(parked.items()):
                if self._leader.customers.has_room(claim):
                    self._unpark(group, claim)
                    ready.append(group)
                else:
                    self._leader.customers.wait(claim, now_ms)
        return ready

    def remove(self, group):
        """Forget a group that waits no longer."""
        claim = self._claims.pop(group, None)
        if claim is not None:
            self._unpark(group, claim)
            self._leader.customers.close(claim)

    def report(self):
        """Update the gauges of the customers that are nearest to their caps."""
        metrics = self._leader.environment.metrics
        shares = self._leader.customers.cap_shares(MAX_REPORTED_CUSTOMERS)
        waiting = {name: len(self._parked.get(name, ())) for name in shares}
        metrics.gauges("customer_cap_share", shares)
        metrics.gauges("customer_steps_at_cap", waiting)

    def ended(self):
        """The parked groups of jobs that have ended."""
        return [
            group
            for parked in self._parked.values()
            for group in parked
            if self._leader.is_over(group)
        ]

    def _unpark(self, group, claim):
        self._parked.get(claim.team, {}).pop(group, None)
        self._urgent.pop(group, None)

    def _claim(self, job, group):
        claim = self._claims.get(group)
        if claim is None:
            leader = self._leader
            step = job.record.steps[group.step]
            is_urgent = leader.queue_of(job).priority < leader.least_urgent()
            claim = customers.Claim(job.record.customer, step, is_urgent)
            self._claims[group] = claim
        return claim
