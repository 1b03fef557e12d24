"""Simulates random days with customers that flood the cell and with uneven workers.

Beside the events of ``virtual_days.py``, some customers send most of the jobs for a
while, a part of the workers is slow from the start, others become slow and recover, and
the slow permission queries take up to twice as long. Its checks are the same: work that
could run does run, whoever sent it and however slow its workers are.

>>> day = ContendedDay(seed=2)
>>> day.play()
>>> day.watch.stalls, day.false_states()
([], [])
"""

import random

from alderreach.core.generated import cell, common
from tools import virtual_days

CUSTOMERS = 5
FLOOD_SHARE = 0.7
FLOOD_MS = 6_000
SLOWNESS = (1.5, 2.4)
SLOW_SHARES = (0.0, 0.2, 0.34)
SLOW_SPELL_MS = (1_000, 5_000)
SLOW_RULE_FACTORS = (1, 1.5, 2)
NO_CAP = common.Resources(0, 0, 0)


class ContendedDay(virtual_days.Day):
    """One random day, determined by its seed."""

    def __init__(self, seed):
        self._draws = random.Random(f"contention {seed}")
        draws = self._draws
        self.customers = [
            cell.CustomerConfig(f"c{n}", [f"c{n}".encode()], 1, weight, NO_CAP)
            for n, weight in enumerate(draws.choices((0, 0.5, 2, 8), k=CUSTOMERS))
        ]
        self._flooding = draws.choice(self.customers)
        self._flood_from_ms = draws.uniform(0, virtual_days.LOAD_MS - FLOOD_MS)
        self._rule_factor = draws.choice(SLOW_RULE_FACTORS)
        super().__init__(seed)
        self._slow_spells()

    def _options(self, records):
        share = self._draws.choice(SLOW_SHARES)
        slowness = {
            record.target_id: self._draws.uniform(*SLOWNESS)
            for record in records
            if self._draws.random() < share
        }
        return {"customers": self.customers, "slowness": slowness}

    def _make_queues(self):
        return [
            queue._replace(permission=self._slower(queue.permission))
            for queue in super()._make_queues()
        ]

    def _slower(self, rule):
        if rule is None or rule.decision_ms < 100:
            return rule
        return rule._replace(decision_ms=int(rule.decision_ms * self._rule_factor))

    def _customer_at(self, time_ms):
        is_flood = 0 <= time_ms - self._flood_from_ms < FLOOD_MS
        if is_flood and self._draws.random() < FLOOD_SHARE:
            return self._flooding.name
        return self._draws.choice(self.customers).name

    def _slow_spells(self):
        """Make some workers slow for a while."""
        draws, names = self._draws, [m.record.target_id for m in self.machines()]
        for _spell in range(draws.randrange(0, 4)):
            chosen = draws.sample(names, max(1, len(names) // 8))
            began_ms = draws.uniform(0, virtual_days.LOAD_MS)
            over_ms = began_ms + draws.uniform(*SLOW_SPELL_MS)
            self.slow_down_at(began_ms, chosen, draws.uniform(*SLOWNESS))
            self.slow_down_at(over_ms, chosen, 1.0)
