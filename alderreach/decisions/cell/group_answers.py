"""The permission service's answers for one group, and what is kept with them."""

import math
import typing


class Outlook(typing.NamedTuple):
    """Where a group may start soon, as ids of workers.

    ``fresh`` have tickets that remain valid, ``tickets`` are all that were ever
    granted, by worker and with ``("", 0)`` after a refusal, ``denied`` are never
    granted, and ``asked`` are named in the open query.
    """

    fresh: list
    tickets: dict
    denied: set
    asked: list


NO_OUTLOOK = Outlook([], {}, frozenset(), ())


class GroupAnswers:
    """The answers for one group: tickets by worker, and the denied workers.

    No ticket is valid after ``latest_until_ms``. ``queries`` and ``service_ms`` count
    the group's queries and the time that the permission service needs for them.

    ``has_shortage`` is set if workers with valid tickets lacked the capacity for it. If
    a check found nothing to query, the next check is at ``next_check_ms``, or at
    ``early_check_ms`` if workers became usable or unusable in the meantime.
    """

    __slots__ = (
        "denied",
        "early_check_ms",
        "has_shortage",
        "latest_until_ms",
        "next_check_ms",
        "open_query",
        "queries",
        "service_ms",
        "tickets",
    )

    def __init__(self):
        self.tickets = {}
        self.denied = set()
        self.open_query = None
        self.has_shortage = False
        self.latest_until_ms = 0
        self.queries = 0
        self.service_ms = 0
        self.check_at_once()

    def check_at_once(self):
        """End the pause after a check that found nothing to query."""
        self.next_check_ms = self.early_check_ms = 0

    def next_expiry_ms(self, after_ms):
        """When the first of the tickets expires that are valid beyond ``after_ms``."""
        later = [until for _ticket, until in self.tickets.values() if until > after_ms]
        return min(later, default=math.inf)

    def fresh_ids(self, ahead_ms, now_ms):
        """Ids of workers whose tickets are valid for more than another ``ahead_ms``."""
        return [
            target_id
            for target_id, (_ticket, until_ms) in self.tickets.items()
            if until_ms - now_ms > ahead_ms
        ]
