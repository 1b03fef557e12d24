"""Decides which team's work is placed next: dominant-resource fairness under quotas.

Up to 73 teams share the cell, and a few of them submit most of the work. In order of
arrival, one team's wave of a thousand jobs would delay all other teams; with fixed
shares, the capacity of idle teams would stay unused.

A team's *dominant share* is the largest of its shares of the cell's processors, memory
and accelerators, divided by its weight. The team with the lowest share goes next, so
that a team that needs mostly memory and one that needs mostly processors are compared
by the resource that limits the others. The share only determines the order; it is no
limit: the others use what idle teams leave, and the order returns it to those teams as
soon as they submit work. The quota is a limit: no placement takes a team above it.

A team's own small tasks can keep its quota used up, so that its gang never fits under
it. After a line has waited for quota for ``SAVE_AFTER_MS``, quota is saved for it: the
team's other normal work starts only if the saved amount stays free. If the line has the
quota but lacks capacity, and no reservation provides it (``draining``), the saving
ends, since it would otherwise block all other work of the team. Each such failure
doubles the time until the next saving for the line.
"""

from alderreach.decisions import resources

# The same time as a large task waits for capacity before a worker is drained for it.
SAVE_AFTER_MS = 15_000
# Bounds the delay at eight minutes, as tasks run for minutes.
MAX_DOUBLINGS = 5


class Account:
    """A team's quota and weight, and the resources that its tasks hold."""

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
    """The accounts of all teams, or of all customers of a cell.

    ``save_after_ms`` is how long a line waits for quota before some is saved for it.
    """

    def __init__(self, save_after_ms=SAVE_AFTER_MS):
        self.accounts = {}
        self._save_after_ms = save_after_ms

    def account(self, team):
        """Return a team's account; an unknown team gets one without quota."""
        account = self.accounts.get(team)
        if account is None:
            account = self.accounts[team] = Account()
        return account

    def set_team(self, team):
        """Set a team's quota, weight and objective."""
        account = self.account(team.name)
        account.known = True
        account.quota = team.quota
        account.weight = max(1, team.weight)
        account.objective = team.objective
        if not resources.fits(account.saved, account.quota):
            account.saved_for = None

    def remove_team(self, name):
        """Start nothing more of a team; its running tasks stay on its account."""
        account = self.account(name)
        account.known = False
        account.quota = resources.NOTHING

    def allows(self, account, demand, line=None):
        """Whether ``demand`` fits the quota beside what is saved for other lines.

        Without a line, or for an urgent one, saved quota is ignored.
        """
        wanted = resources.plus(account.used, demand)
        others = account.saved_for is not None and account.saved_for is not line
        if others and line is not None and not line.is_urgent:
            wanted = resources.plus(wanted, account.saved)
        return account.known and resources.fits(wanted, account.quota)

    def copies(self, account, demand, line):
        """How many tasks of a line fit the quota beside what is saved for others."""
        free = resources.minus(account.quota, account.used)
        others = account.saved_for is not None and account.saved_for is not line
        if others and not line.is_urgent:
            free = resources.minus(free, account.saved)
        if not account.known or min(free) < 0:
            return 0
        return resources.copies(demand, free)

    def on_quota_used_up(self, account, line, demand, now_ms):
        """Record that a line waits for quota; save quota for it if that is due."""
        if line.quota_since_ms is None:
            line.quota_since_ms = now_ms
        after_ms = self._save_after_ms << min(line.unused_savings, MAX_DOUBLINGS)
        is_due = line.quota_since_ms + after_ms <= now_ms
        if (
            account.saved_for is None
            and is_due
            and resources.fits(demand, account.quota)
        ):
            account.saved_for = line
            account.saved = demand

    def stop_saving(self, line):
        """Stop saving for a line that was placed or no longer waits."""
        line.unused_savings = 0
        self._clear_saving(line)

    def abandon_saving(self, line):
        """Stop saving for a line that has the quota but lacks capacity."""
        line.unused_savings += 1
        self._clear_saving(line)

    def _clear_saving(self, line):
        line.quota_since_ms = None
        account = self.account(line.team)
        if account.saved_for is line:
            account.saved_for = None

    def charge(self, account, demand, total):
        """Add to the resources that a team holds; ``total`` is the cell's capacity."""
        account.used = resources.plus(account.used, demand)
        account.share = dominant_share(account, total)

    def refund(self, account, demand, total):
        """Subtract from the resources that a team holds."""
        account.used = resources.minus(account.used, demand)
        account.share = dominant_share(account, total)


def dominant_share(account, total):
    """Return the largest share of a resource that a team holds, by its weight."""
    return resources.share(account.used, total) / account.weight
