"""Which jobs are within their customers' shares of a cell.

A customer's weight is the number of jobs a second that it may send. Each job takes
``1000 / weight`` ms of its share, and a customer that sent little before has a credit
for a burst. A job is *beyond the share* until the share covers it, and within it from
then on; ``order.py`` places it accordingly. So a job of a customer that floods the cell
waits for the others' work, but not for ever.

A customer's share goes to its urgent jobs first: a job waits for its customer's jobs of
the same or a higher priority, but not for less urgent ones. Otherwise a customer that
sends many plans would have its own urgent jobs wait behind them.

Jobs without a customer, and those of customers without a weight, are always within the
share. A new weight applies to the jobs that follow.

All of this follows from the customers and times of the accepted jobs, so a new leader
computes it again from those that the replicated state still contains (``rebuild``).

>>> shares = Shares()
>>> [shares.admit("c1", 2.0, now_ms=10_000) for _ in range(5)]
[8000, 8500.0, 9000.0, 9500.0, 10000.0]
>>> shares.admit("c1", 2.0, now_ms=10_000)
10500.0
"""

import heapq
import math
import typing

# The time for which a customer's unused share counts for a later burst, by default.
CREDIT_MS = 2000
# The credit is at least this number of jobs. Customers with weights below one a second
# send their jobs as irregularly as others: with 2 s of credit alone, the second of two
# jobs in a row would be beyond the share at half of the rate that the weight allows.
CREDIT_JOBS = 3
# A customer counts as within its share again once all of its jobs have been so for this
# time. Without it, one that sends exactly its share would be reported again and again.
SETTLED_MS = 2000
# The time constant of the rates in ``use``.
RATE_WINDOW_MS = 10_000
# The state of a customer is dropped this long after its share covered all of its jobs,
# which changes no decision.
FORGET_AFTER_MS = 60_000
WITHIN = -math.inf


class Transition(typing.NamedTuple):
    """A customer has begun to send beyond its share, or is within it again.

    ``covered_ms`` is the time at which its share covers the next job, and ``use`` the
    rate of its jobs divided by its weight.
    """

    customer: str
    is_beyond: bool
    covered_ms: float
    use: float


class _Account:
    """What one customer has used of its share.

    ``covered_ms`` maps priorities to the time at which the share covers one more job of
    that priority, ``beyond_ms`` is when the latest job that was beyond the share is
    covered, and ``jobs`` counts the jobs with a weight that decays with their age.
    """

    __slots__ = (
        "beyond_ms",
        "counted_ms",
        "covered_ms",
        "is_reported",
        "jobs",
        "weight",
    )

    def __init__(self):
        self.covered_ms = {}
        self.beyond_ms = -math.inf
        self.is_reported = False
        self.jobs = 0.0
        self.counted_ms = 0
        self.weight = 0.0

    def covers_ms(self, priority):
        """When the share covers one more job, without the credit.

        Jobs of a priority that had none yet follow those of the next higher one.
        """
        higher = [each for each in self.covered_ms if each <= priority]
        return self.covered_ms[max(higher)] if higher else -math.inf

    def charge(self, priority, earliest_ms, cost_ms):
        """Charge a job to its own priority and to all lower ones."""
        self.covered_ms.setdefault(priority, self.covers_ms(priority))
        for each, covered_ms in self.covered_ms.items():
            if each >= priority:
                self.covered_ms[each] = max(covered_ms, earliest_ms) + cost_ms

    def use(self, now_ms):
        """The rate of the customer's jobs divided by its weight."""
        age_ms = max(0, now_ms - self.counted_ms)
        jobs = self.jobs * math.exp(-age_ms / RATE_WINDOW_MS)
        return 1000 * jobs / RATE_WINDOW_MS / self.weight if self.weight else 0.0


class Shares:
    """The shares of all customers, as one leader knows them.

    Times are those of the cell's clock, which also stamps accepted jobs. ``credit_ms``
    is how much of its unused share a customer may use later.
    """

    def __init__(self, credit_ms=CREDIT_MS):
        self._least_credit_ms = credit_ms
        self._weights = {}
        self._accounts = {}
        # When the share covers a job, by job id, and the same as a heap; without those
        # that were within the share from the start.
        self._eligible_ms = {}
        self._expiries = []

    def configure(self, config):
        """Apply the weights of a configuration to the jobs that follow."""
        customers = config.customers or ()
        self._weights = {each.name: each.weight for each in customers}

    def _credit_ms(self, weight):
        return max(self._least_credit_ms, CREDIT_JOBS * 1000 / weight)

    def weight_of(self, customer):
        """The weight of a customer in jobs a second; 0 if it has none."""
        return self._weights.get(customer, 0)

    def peek(self, customer, weight, now_ms, priority=math.inf):
        """When the share of a customer would cover one more job; ``WITHIN`` if always.

        A job sent now is beyond the share if this is later than ``now_ms``. By default,
        all jobs of the customer come before it.
        """
        if not customer or weight <= 0:
            return WITHIN
        account = self._accounts.get(customer)
        covers_ms = account.covers_ms(priority) if account else -math.inf
        return max(covers_ms, now_ms - self._credit_ms(weight))

    def admit(self, customer, weight, now_ms, priority=math.inf):
        """Charge a job to a customer's share; returns what ``peek`` would have."""
        eligible_ms = self.peek(customer, weight, now_ms, priority)
        if eligible_ms == WITHIN:
            return WITHIN
        account = self._accounts.setdefault(customer, _Account())
        account.charge(priority, now_ms - self._credit_ms(weight), 1000 / weight)
        account.jobs = account.use(now_ms) * account.weight * RATE_WINDOW_MS / 1000 + 1
        account.counted_ms, account.weight = now_ms, weight
        if eligible_ms > now_ms:
            account.beyond_ms = max(account.beyond_ms, eligible_ms)
        return eligible_ms

    def add_job(self, record, accepted_ms):
        """Charge an accepted job, a ``cell.CellJob``, to its customer's share."""
        customer, priority = record.customer, record.queue.priority
        weight = self.weight_of(customer)
        eligible_ms = self.admit(customer, weight, accepted_ms, priority)
        if eligible_ms > accepted_ms:
            self._eligible_ms[record.job_id] = eligible_ms
            heapq.heappush(self._expiries, (eligible_ms, record.job_id))

    def eligible_ms(self, job_id):
        """When the share covers a job; ``WITHIN`` if it is known to do so already."""
        return self._eligible_ms.get(job_id, WITHIN)

    def is_beyond(self, job_id, now_ms):
        """Whether a job is beyond its customer's share."""
        return self.eligible_ms(job_id) > now_ms

    def has_beyond(self):
        """Whether a job is beyond its customer's share, as of the last ``tidy``."""
        return bool(self._eligible_ms)

    def use(self, limit, now_ms):
        """The customers that use most of their shares, with the share that each uses.

        1.0 is a customer that has sent as many jobs as its weight allows, over some
        ten seconds.
        """
        use = {name: each.use(now_ms) for name, each in self._accounts.items()}
        return dict(heapq.nlargest(limit, use.items(), key=lambda row: row[1]))

    def tidy(self, now_ms):
        """Drop what is of no more use; returns the ``Transition``s since the last call.

        Each customer has at most one: short excesses between two calls are not told.
        """
        while self._expiries and self._expiries[0][0] <= now_ms:
            self._eligible_ms.pop(heapq.heappop(self._expiries)[1], None)
        found = []
        for name, account in list(self._accounts.items()):
            settle_ms = SETTLED_MS if account.is_reported else 0
            is_beyond = account.beyond_ms + settle_ms > now_ms
            covered_ms = account.covers_ms(math.inf)
            if is_beyond != account.is_reported:
                account.is_reported = is_beyond
                use = account.use(now_ms)
                found.append(Transition(name, is_beyond, covered_ms, use))
            if covered_ms + FORGET_AFTER_MS < now_ms and not is_beyond:
                del self._accounts[name]
        return found


def rebuild(jobs, config, credit_ms=CREDIT_MS):
    """The shares after the given accepted jobs, under the configuration of now.

    ``jobs`` are ``cell_state.Job``, in any order. Ended ones count too: they used their
    customers' shares.
    """
    shares = Shares(credit_ms)
    if config is None:
        return shares
    shares.configure(config)
    charged = [job for job in jobs if shares.weight_of(job.record.customer) > 0]
    for job in sorted(charged, key=lambda job: job.accepted_ms):
        shares.add_job(job.record, job.accepted_ms)
    return shares
