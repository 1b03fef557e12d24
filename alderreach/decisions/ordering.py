"""Decides which of a service's waiting requests goes next.

Urgent and routine requests, teams with much and little load, and long and short
requests compete for the same slots.

- Teams share slot time, not requests: each start is charged with the run time learned
  for the team, and corrected once the true one is known (start-time fair queueing).
- Urgent requests go first, but routine requests keep ``ROUTINE_SHARE`` of the slot
  time. A fifth keeps routine work moving, while urgent work at up to four fifths of the
  capacity waits for at most one slot to become free.
- Urgent work goes first only until its team is ``MAX_URGENT_LEAD_MS`` of slot time
  ahead of its share. Otherwise a team that marks all of its flood as urgent would hold
  four fifths of the slots against everybody. A tenth of a second of slot time is a
  burst of twenty requests of 5 ms, which a team with little load may send at once.
- Within a team the oldest request goes first, which is fairest while deadlines are met.
  Once the oldest has waited for ``NEWEST_FIRST_SHARE`` of its allowed time, the newest
  goes first: under overload, oldest-first order would answer one request after the
  other just too late, and all slots would work on answers that nobody receives.
"""

import collections
import typing

URGENT_PRIORITY = 7
ROUTINE_SHARE = 0.2
MAX_URGENT_LEAD_MS = 100
NEWEST_FIRST_SHARE = 0.5
SMOOTHING = 0.1
DEFAULT_RUN_MS = 10
MIN_RUN_MS = 0.5


class RunTimes:
    """Run times of one service, learned for each team.

    Declared run times are far off, so the declared one is used only until the first
    request has ended.
    """

    def __init__(self, declared_ms=0):
        self._declared_ms = declared_ms or DEFAULT_RUN_MS
        self._teams = {}
        self._overall_ms = None

    def set_declared(self, declared_ms):
        """Set the run time that the configuration declares; 0 means the default."""
        self._declared_ms = declared_ms or DEFAULT_RUN_MS

    def expected_ms(self, team):
        """How long a request of a team is expected to hold a slot."""
        learned_ms = self._teams.get(team, self._overall_ms)
        return self._declared_ms if learned_ms is None else learned_ms

    @property
    def overall_ms(self):
        """How long a request of any team is expected to hold a slot."""
        return self._declared_ms if self._overall_ms is None else self._overall_ms

    def observe(self, team, run_ms):
        """Record how long a request of a team held a slot."""
        run_ms = max(run_ms, MIN_RUN_MS)
        self._teams[team] = _smooth(self._teams.get(team), run_ms)
        self._overall_ms = _smooth(self._overall_ms, run_ms)


def _smooth(known_ms, run_ms):
    if known_ms is None:
        return run_ms
    return known_ms + SMOOTHING * (run_ms - known_ms)


class Waiting(typing.NamedTuple):
    """A waiting request; ``cost_ms`` is the slot time it is expected to take."""

    request: typing.Any
    avoided: tuple[str, ...]
    cost_ms: float


class _PriorityClass:
    """The waiting requests of one priority class (urgent or routine), by team."""

    def __init__(self):
        self.queues = {}
        self.count = 0
        self.cost_ms = 0.0


class RequestQueue:
    """Requests that wait for a slot of one service."""

    def __init__(self):
        self._classes = {True: _PriorityClass(), False: _PriorityClass()}
        self._groups = tuple(self._classes.values())
        self._weights = {}
        self._finish_tags = collections.defaultdict(float)
        self._virtual_ms = 0.0
        self._routine_credit_ms = 0.0

    def __len__(self):
        return sum(group.count for group in self._classes.values())

    def set_weights(self, weights):
        """Set the teams' weights, by name."""
        self._weights = weights

    def weight(self, team):
        """Return a team's weight in fair sharing; at least 1."""
        return max(1, self._weights.get(team, 1))

    def push(self, waiting, first=False):
        """Add a request; ``first`` puts one that waited before at the front."""
        group = self._classes[is_urgent(waiting.request)]
        queue = group.queues.setdefault(waiting.request.team, collections.deque())
        if first:
            queue.appendleft(waiting)
        else:
            queue.append(waiting)
        group.count += 1
        group.cost_ms += waiting.cost_ms

    def head(self, now_ms, skipped=()):
        """Return the request to go next, or None; ``pop`` then removes it.

        ``skipped`` holds the ids of requests that can't go now because they avoid the
        free runners; later requests of their team may use these runners.
        """
        for group, team in self._order():
            queue = group.queues[team]
            newest_first = len(queue) > 1 and _serves_newest_first(
                queue[0].request, now_ms
            )
            for waiting in reversed(queue) if newest_first else queue:
                if waiting.request.request_id not in skipped:
                    return waiting
        return None

    def drop(self, waiting):
        """Remove a waiting request without charging its team."""
        group = self._classes[is_urgent(waiting.request)]
        group.queues[waiting.request.team].remove(waiting)
        self._on_removed(group, waiting)

    def pop(self, waiting):
        """Remove the request that ``head`` returned, and charge its team for it."""
        team = waiting.request.team
        # The minimum, not the tag of the request that goes: urgent work runs ahead of
        # its share, and a virtual time that followed it would erase what the other
        # teams are owed.
        tags = (self._start_tag(name) for g in self._groups for name in g.queues)
        self._virtual_ms = min(tags)
        self.drop(waiting)
        self._charge_class(waiting)
        self.charge(team, waiting.cost_ms)

    def charge(self, team, cost_ms):
        """Charge slot time to a team's share; a negative cost refunds it."""
        spent_ms = cost_ms / self.weight(team)
        self._finish_tags[team] = self._start_tag(team) + spent_ms

    def correct(self, team, difference_ms):
        """Adjust a team's charge by the difference between true and expected cost."""
        self._finish_tags[team] += difference_ms / self.weight(team)

    def remove(self, condition):
        """Remove and return all waiting requests that meet a condition."""
        removed = []
        for group in self._classes.values():
            for team in list(group.queues):
                matching = [each for each in group.queues[team] if condition(each)]
                for waiting in matching:
                    self.drop(waiting)
                removed += matching
        return removed

    def backlog(self, team, urgent):
        """Return the ``Backlog`` ahead of a new request of a team."""
        groups = [self._classes[True]]
        if not urgent:
            groups.append(self._classes[False])
        own_ms, teams = 0.0, set()
        for group in groups:
            teams.update(group.queues)
            own_ms += sum(each.cost_ms for each in group.queues.get(team, ()))
        total_ms = sum(group.cost_ms for group in groups)
        weights = sum(self.weight(name) for name in teams | {team})
        return Backlog(own_ms, total_ms, weights)

    def heaviest(self):
        """Return the team with most waiting slot time per weight, and that time."""
        shares = {
            team: self.cost_of(team) / self.weight(team)
            for group in self._classes.values()
            for team in group.queues
        }
        team = max(shares, key=shares.get, default=None)
        return team, shares.get(team, 0.0)

    def cost_of(self, team):
        """Return the expected slot time of all waiting requests of a team."""
        queues = (group.queues.get(team, ()) for group in self._classes.values())
        return sum(each.cost_ms for queue in queues for each in queue)

    def pop_newest(self, team):
        """Remove and return a team's newest request, of the class over its share.

        ``ROUTINE_SHARE`` holds for places in the queue too: otherwise a flood of urgent
        requests would displace all routine ones before they could go.
        """
        urgent, routine = (self._classes[flag].queues.get(team, ()) for flag in (1, 0))
        routine_has_too_many = len(routine) > ROUTINE_SHARE * (
            len(urgent) + len(routine)
        )
        waiting = (routine if routine_has_too_many else urgent or routine)[-1]
        self.drop(waiting)
        return waiting

    def _start_tag(self, team):
        return max(self._virtual_ms, self._finish_tags[team])

    def _order(self):
        """Return all (class, team) with waiting requests, in the order of service."""
        urgent, routine = self._classes[True], self._classes[False]
        if not urgent.count:
            self._routine_credit_ms = 0.0
        tags = {
            team: self._start_tag(team) for team in (*urgent.queues, *routine.queues)
        }
        teams = sorted(tags, key=tags.get)
        if not teams:
            return []
        urgent_bound_ms = tags[teams[0]] + MAX_URGENT_LEAD_MS
        first = [
            (urgent, team)
            for team in teams
            if team in urgent.queues and tags[team] <= urgent_bound_ms
        ]
        by_share = [
            (group, team)
            for team in teams
            for group in (urgent, routine)
            if team in group.queues
        ]
        if self._routine_credit_ms > 0:
            owed = [(routine, team) for team in teams if team in routine.queues]
            return owed + first + by_share
        return first + by_share

    def _charge_class(self, waiting):
        """Credit waiting routine work for urgent slot time, and charge what it uses."""
        if is_urgent(waiting.request):
            if self._classes[False].count:
                earned = ROUTINE_SHARE / (1 - ROUTINE_SHARE)
                self._routine_credit_ms += waiting.cost_ms * earned
        else:
            self._routine_credit_ms -= waiting.cost_ms

    def _on_removed(self, group, waiting):
        team = waiting.request.team
        group.count -= 1
        group.cost_ms -= waiting.cost_ms
        if not group.queues[team]:
            del group.queues[team]


class Backlog(typing.NamedTuple):
    """Slot time waiting ahead of a new request, and the sum of the teams' weights."""

    own_ms: float
    total_ms: float
    weights: int


def is_urgent(request):
    """Whether a request belongs to the urgent class."""
    return request.priority >= URGENT_PRIORITY


def _serves_newest_first(oldest, now_ms):
    allowed_ms = oldest.deadline_ms - oldest.arrived_ms
    return now_ms - oldest.arrived_ms > NEWEST_FIRST_SHARE * allowed_ms
