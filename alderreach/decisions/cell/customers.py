"""The customers of a cell: whom a key belongs to, and what each may have running.

A customer's *use* is the total demand of its runs, from the decision to start each of
them until its end is known. So a run counts while its order is on the way, while its
worker is silent and its lease may last, and while it is being stopped. Nothing starts
that takes the use above the customer's cap, except one task that is larger than the
whole cap while nothing else runs. A cap lowered below the use stops nothing.

Narrow steps could use up a cap for ever, so room is saved for a gang or a large task
that waits long. It is kept from the customer's other steps, after a while only from
those that would take the use above half of the cap: no work stands still for long
beside a cap that is half free.

A customer that a configuration no longer contains keeps the last cap that this leader
knows, since its accepted jobs still have to run. Work without a customer has no limit.

Keys are known by their SHA-256 digests and are looked up by them. How long a lookup
takes tells nothing about a key, as digests of similar keys have nothing in common.
"""

import collections
import heapq
import sys

from alderreach.core.generated import common
from alderreach.decisions import quotas, resources

# A step that waits this long for its customer's cap has room saved for it. Most tasks
# end within a few seconds, so the room is there soon after.
SAVE_AFTER_MS = 2000
# A step that has room under the cap, but no worker for this time, loses what is saved.
UNUSED_SAVING_MS = 2000
# After this time other steps may use half of the cap. Work that stands still beside a
# free cap for 3 s counts as lost.
EXCLUSIVE_SAVING_MS = 2000
# A step that has not got its room in this time loses what is saved as well.
MAX_SAVING_MS = 10_000


class Claim:
    """A waiting step's claim to a part of its customer's cap.

    To the ledger it is what a line is in ``backlog.py``, and ``team`` is the customer.
    """

    __slots__ = (
        "demand",
        "has_room_since_ms",
        "is_gang",
        "is_saving_exclusive",
        "is_urgent",
        "quota_since_ms",
        "saved_since_ms",
        "tasks",
        "team",
        "unused_savings",
    )

    def __init__(self, customer, step, is_urgent):
        self.team = customer
        self.demand = step.demand
        self.is_gang = step.gang
        self.tasks = step.tasks
        self.is_urgent = is_urgent
        self.quota_since_ms = None
        self.unused_savings = 0
        self.has_room_since_ms = None
        self.saved_since_ms = None
        self.is_saving_exclusive = False

    def smallest_start(self):
        """The demand of the smallest part of the step that can start."""
        return resources.times(self.demand, self.tasks if self.is_gang else 1)


class Customers:
    """The keys and the use of all customers, as one leader knows them."""

    def __init__(self):
        self._ledger = quotas.Ledger(SAVE_AFTER_MS)
        self._names = {}
        self._eased = set()
        # The part of each customer's use that belongs to tasks that last.
        self._lasting = collections.defaultdict(lambda: resources.NOTHING)
        # The claims for which room is saved, by customer.
        self._saving = {}
        # Each customer's runs that could be preempted, with their workers.
        self._yielding = collections.defaultdict(dict)
        self.needs_keys = False

    def configure(self, config):
        """Apply the customers of a configuration."""
        customers = config.customers
        self.needs_keys = customers is not None
        self._names = {}
        for customer in customers or ():
            self._names |= dict.fromkeys(customer.key_digests, customer.name)
            quota = common.Resources(
                *(amount or sys.maxsize for amount in customer.cap)
            )
            self._ledger.set_team(
                common.Team(customer.name, quota, customer.weight, "waiting")
            )
        self._eased |= set(self._ledger.accounts)

    def identify(self, key_digest):
        """The customer that has the key with this digest, or None."""
        return self._names.get(key_digest)

    def charge(self, worker, run):
        """Add a run on a worker to its customer's use."""
        account = self._ledger.account(run.customer)
        account.used = resources.plus(account.used, run.demand)
        if run.is_long:
            lasting = self._lasting[run.customer]
            self._lasting[run.customer] = resources.plus(lasting, run.demand)
        if run.may_yield:
            self._yielding[run.customer][run] = worker

    def refund(self, run):
        """Remove a run from its customer's use."""
        account = self._ledger.account(run.customer)
        account.used = resources.minus(account.used, run.demand)
        if run.is_long:
            lasting = self._lasting[run.customer]
            self._lasting[run.customer] = resources.minus(lasting, run.demand)
        self._yielding[run.customer].pop(run, None)
        self._eased.add(run.customer)

    def pop_eased(self):
        """The customers whose use has fallen or whose caps may have risen."""
        eased, self._eased = self._eased, set()
        return eased

    def use_and_cap(self, customer):
        """A customer's use, and its cap; None without a limit."""
        account = self._ledger.account(customer)
        return account.used, account.quota if account.known else None

    def yielding_runs(self, customer):
        """A customer's runs that could be preempted, as (worker, run)."""
        return [(worker, run) for run, worker in self._yielding[customer].items()]

    def free_after_stops(self, customer):
        """What the cap leaves once the runs that are being stopped have ended.

        Amounts are negative where the use is above the cap.
        """
        account = self._ledger.account(customer)
        free = resources.minus(account.quota, account.used)
        for run in self._yielding[customer]:
            if run.is_closing():
                free = resources.plus(free, run.demand)
        return free

    def cap_shares(self, limit):
        """The customers nearest to their caps, with the share of it that each uses."""
        shares = {
            name: resources.share(account.used, account.quota)
            for name, account in self._ledger.accounts.items()
            if account.known
        }
        return dict(heapq.nlargest(limit, shares.items(), key=lambda row: row[1]))

    def room(self, claim):
        """How many tasks of a claim's step may start now; for a gang all or none."""
        account = self._ledger.account(claim.team)
        if not account.known:
            return claim.tasks
        fitting = self._ledger.copies(account, claim.demand, claim)
        saved_for = account.saved_for
        if saved_for is not None and not saved_for.is_saving_exclusive:
            fitting = max(fitting, _copies_below_half(account, claim.demand))
        if not fitting and account.used == resources.NOTHING and not claim.is_gang:
            return 1
        if claim.is_gang and fitting < claim.tasks:
            return 0
        return min(fitting, claim.tasks)

    def has_room(self, claim):
        """Whether a part of a claim's step may start now, as ``room`` tells.

        Passes check this for each waiting step, so the usual case is kept cheap.
        """
        account = self._ledger.account(claim.team)
        if not account.known:
            return True
        if account.saved_for is None and not claim.is_gang:
            used, demand, quota = account.used, claim.demand, account.quota
            if (
                used[0] + demand[0] <= quota[0]
                and used[1] + demand[1] <= quota[1]
                and used[2] + demand[2] <= quota[2]
            ):
                return True
        return self.room(claim) > 0

    def wait(self, claim, now_ms):
        """Record that a claim waits for room, and save room for it if that is due.

        Nothing is saved for a claim that would not fit even if only the customer's
        lasting tasks were running: other work would wait for nothing.
        """
        claim.has_room_since_ms = None
        account = self._ledger.account(claim.team)
        demand = claim.smallest_start()
        needed = resources.plus(demand, self._lasting[claim.team])
        if account.saved_for is claim or not resources.fits(needed, account.quota):
            return
        self._ledger.on_quota_used_up(account, claim, demand, now_ms)
        if account.saved_for is claim:
            claim.saved_since_ms, claim.is_saving_exclusive = now_ms, True
            self._saving[claim.team] = claim

    def expire_savings(self, now_ms):
        """Relax or end the savings that have lasted too long."""
        for customer, claim in list(self._saving.items()):
            if self._ledger.account(customer).saved_for is not claim:
                del self._saving[customer]
                continue
            age_ms = now_ms - claim.saved_since_ms
            if claim.is_saving_exclusive and age_ms >= EXCLUSIVE_SAVING_MS:
                claim.is_saving_exclusive = False
                self._eased.add(customer)
            if age_ms >= MAX_SAVING_MS:
                self._abandon_saving(claim)

    def on_not_started(self, claim, now_ms):
        """End the saving for a claim that has room but found no worker for too long."""
        if self._ledger.account(claim.team).saved_for is not claim:
            return
        if claim.has_room_since_ms is None:
            claim.has_room_since_ms = now_ms
        elif now_ms - claim.has_room_since_ms >= UNUSED_SAVING_MS:
            claim.has_room_since_ms = None
            self._abandon_saving(claim)

    def close(self, claim):
        """End a claim whose step waits no longer."""
        if self._ledger.account(claim.team).saved_for is claim:
            self._eased.add(claim.team)
        self._ledger.stop_saving(claim)

    def _abandon_saving(self, claim):
        self._ledger.abandon_saving(claim)
        self._eased.add(claim.team)


def _copies_below_half(account, demand):
    """How many tasks fit while the customer uses at most half of its cap."""
    half = common.Resources(*(amount // 2 for amount in account.quota))
    free = resources.minus(half, account.used)
    return 0 if min(free) < 0 else resources.copies(demand, free)
