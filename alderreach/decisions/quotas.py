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

A team's own small tasks can keep its quota used up, so that its gang never fits under
it. A line that has waited for quota for ``SAVE_AFTER_MS`` is saved for: the team's
other normal work starts only if the saved amount stays free. Where the line then lacks
room that nobody makes for it (``draining``), the saving ends, or all else of the team
would stand still with it; the next one begins twice as late each time.
"""

from alderreach.decisions import resources

# As long as a large task waits for room before a worker is drained for it.
SAVE_AFTER_MS = 15_000
# The latest is then eight minutes, against tasks that run for minutes.
MAX_DOUBLINGS = 5


class Account:
    """A team's quota, weight and what its tasks hold."""

    __slots__ = (
        "known",
        "objective",
        "quota",
        "saved",
        "saved_for",
        "share",
        "used",
        "weight",
    )

    def __init__(self):
        self.known = False
        self.quota = resources.NOTHING
        self.weight = 1
        self.objective = "packing"
        self.used = resources.NOTHING
        self.saved_for = None
        self.saved = resources.NOTHING
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
        if not resources.fits(account.saved, account.quota):
            account.saved_for = None

    def remove_team(self, name):
        """Let nothing more of a team start; what runs stays on its account."""
        account = self.account(name)
        account.known = False
        account.quota = resources.NOTHING

    def allows(self, account, demand, line=None):
        """Whether the quota has room for ``demand``, and for what is saved for others.

        Without a line, or for an urgent one, only the quota itself counts.
        """
        wanted = resources.plus(account.used, demand)
        others = account.saved_for is not None and account.saved_for is not line
        if others and line is not None and not line.is_urgent:
            wanted = resources.plus(wanted, account.saved)
        return account.known and resources.fits(wanted, account.quota)

    def on_quota_used_up(self, account, line, demand, now_ms):
        """Note that a line waits for quota; after a while it is saved for."""
        if line.quota_since_ms is None:
            line.quota_since_ms = now_ms
        after_ms = SAVE_AFTER_MS << min(line.vain_savings, MAX_DOUBLINGS)
        is_due = line.quota_since_ms + after_ms <= now_ms
        if (
            account.saved_for is None
            and is_due
            and resources.fits(demand, account.quota)
        ):
            account.saved_for = line
            account.saved = demand

    def stop_saving(self, line):
        """The line was served, or waits no more."""
        line.vain_savings = 0
        self._clear_saving(line)

    def abandon_saving(self, line):
        """The line has the quota that was saved for it, and can't use it."""
        line.vain_savings += 1
        self._clear_saving(line)

    def _clear_saving(self, line):
        line.quota_since_ms = None
        account = self.account(line.team)
        if account.saved_for is line:
            account.saved_for = None

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
