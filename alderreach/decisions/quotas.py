"""Which team's work is placed next: weighted dominant-resource fairness under quotas.

Load: up to 73 teams share the cell, and a few of them hand in most of the work. Placed
in order of arrival, a team with a wave of a thousand jobs makes all others wait behind
it; with fixed shares, the capacity of teams that sleep stays unused.

A team's *dominant share* is the largest of its shares of the cell's processors, memory
and accelerators, divided by its weight. The team with the lowest share goes next, so
that a team whose work needs much memory and one whose work needs processors are
compared by what hurts the others. A share is only an order, never a limit: what idle
teams leave is used by the rest and comes back to them by the order as soon as they
hand in work. The quota is a limit: no placement takes a team above it.
"""

from alderreach.decisions import resources


class Account:
    """A team's quota, weight and what its tasks hold."""

    __slots__ = ("known", "objective", "quota", "share", "used", "weight")

    def __init__(self):
        self.known = False
        self.quota = resources.NOTHING
        self.weight = 1
        self.objective = "packing"
        self.used = resources.NOTHING
        self.share = 0.0


class Ledger:
    """The accounts of all teams."""

    def __init__(self):
        self.accounts = {}

    def account(self, team):
        """Return a team's account, an empty one with no quota if it is unknown."""
        account = self.accounts.get(team)
        if account is None:
            account = self.accounts[team] = Account()
        return account

    def set_team(self, team):
        """Take over a team's quota, weight and objective."""
        account = self.account(team.name)
        account.known = True
        account.quota = team.quota
        account.weight = max(1, team.weight)
        account.objective = team.objective

    def remove_team(self, name):
        """Let nothing more of a team start; what runs stays on its account."""
        account = self.account(name)
        account.known = False
        account.quota = resources.NOTHING

    def allows(self, account, demand):
        """Whether the quota has room for ``demand``."""
        return account.known and resources.fits(
            resources.plus(account.used, demand), account.quota
        )

    def charge(self, account, demand, total):
        """Add to what a team holds; ``total`` is the cell's capacity."""
        account.used = resources.plus(account.used, demand)
        account.share = dominant_share(account, total)

    def refund(self, account, demand, total):
        """Take away from what a team holds."""
        account.used = resources.minus(account.used, demand)
        account.share = dominant_share(account, total)


def dominant_share(account, total):
    """Return the largest share of any resource that a team holds, over its weight."""
    return resources.share(account.used, total) / account.weight
