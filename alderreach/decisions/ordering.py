"""Who goes next of the requests that wait.

Orders urgent and routine requests, teams with much and little load, and long and short
requests that compete for the same slots.

- Teams share by slot time, not by requests: each start costs a team the run time
  learned for it, corrected once the true one is known (start-time fair queueing).
- Urgent requests go first, but ``REST_SHARE`` of the slot time stays with the rest. A
  fifth keeps routine work moving, while urgent work at up to four fifths of capacity
  waits for at most one slot to come free.
- Urgent work goes first only up to ``URGENT_LEAD_MS`` of slot time beyond its team's
  share: a team that calls all of its flood urgent would else hold four fifths of the
  slots against everybody. A tenth of a second of slot time is a burst of twenty
  requests of 5 ms, which a quiet team may send at once.
- Within a team the oldest goes first, which is fairest while deadlines are met. Once
  the oldest has spent ``FLIP_SHARE`` of its time waiting, the newest goes first: under
  overload the oldest would be answered just too late, one after the other, and all
  slots would work for answers nobody takes.
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
    """Run times of one service, learned for each team; declared ones are far off.

    The declared run time is believed only until the first request has ended.
    """

    def __init__(self, declared_ms=0):
        self._declared_ms = declared_ms or DEFAULT_RUN_MS
        self._teams = {}
        self._overall_ms = None

    def set_declared(self, declared_ms):
        """Take what the configuration says now."""
        self._declared_ms = declared_ms or DEFAULT_RUN_MS

    def expected_ms(self, team):
        """How long a request of a team holds a slot."""
        learned_ms = self._teams.get(team, self._overall_ms)
        return self._declared_ms if learned_ms is None else learned_ms

    @property
    def overall_ms(self):
        """How long any request of the service holds a slot."""
        return self._declared_ms if self._overall_ms is None else self._overall_ms

    def observe(self, team, run_ms):
        """A request of a team has held a slot for so long."""
        run_ms = max(run_ms, MIN_RUN_MS)
        self._teams[team] = _smooth(self._teams.get(team), run_ms)
        self._overall_ms = _smooth(self._overall_ms, run_ms)


def _smooth(known_ms, run_ms):
    if known_ms is None:
        return run_ms
    return known_ms + SMOOTHING * (run_ms - known_ms)


class Waiting(typing.NamedTuple):
    """A request in the line; ``cost_ms`` is the slot time it is expected to take."""

    ask: typing.Any
    avoided: tuple[str, ...]
    cost_ms: float


class _PriorityClass:
    """The waiting requests of one class of urgency, by team."""

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
        """Take the teams' fair shares, by name."""
        self._weights = weights

    def weight(self, team):
        """A team's fair share against others; at least 1."""
        return max(1, self._weights.get(team, 1))

    def push(self, waiting, first=False):
        """Add a request; ``first`` puts one that has waited before at its front."""
        group = self._classes[is_urgent(waiting.ask)]
        queue = group.queues.setdefault(waiting.ask.team, collections.deque())
        if first:
            queue.appendleft(waiting)
        else:
            queue.append(waiting)
        group.count += 1
        group.cost_ms += waiting.cost_ms

    def head(self, now_ms, skipped=()):
        """The request to go next, or None; ``pop`` then takes it out.

        ``skipped`` holds request ids of heads that can't go now; they are those that
        avoid a runner, and others of their team may use it.
        """
        for group, team in self._order():
            queue = group.queues[team]
            takes_newest = len(queue) > 1 and _serves_newest_first(queue[0].ask, now_ms)
            for waiting in reversed(queue) if takes_newest else queue:
                if waiting.ask.request_id not in skipped:
                    return waiting
        return None

    def drop(self, waiting):
        """Take out a request that waits."""
        group = self._classes[is_urgent(waiting.ask)]
        group.queues[waiting.ask.team].remove(waiting)
        self._on_removed(group, waiting)

    def pop(self, waiting):
        """Take out what ``head`` gave: it goes now, and its team pays for it."""
        team = waiting.ask.team
        # Not the tag of who goes: urgent work runs ahead of its share, and a virtual
        # time that followed it would wipe out what the others are behind.
        tags = (self._start_tag(name) for g in self._groups for name in g.queues)
        self._virtual_ms = min(tags)
        self.drop(waiting)
        self._charge_class(waiting)
        self.charge(team, waiting.cost_ms)

    def charge(self, team, cost_ms):
        """Let slot time count against a team's share; negative gives it back."""
        spent_ms = cost_ms / self.weight(team)
        self._finish_tags[team] = self._start_tag(team) + spent_ms

    def correct(self, team, difference_ms):
        """The true cost of a request that was charged differs by so much."""
        self._finish_tags[team] += difference_ms / self.weight(team)

    def remove(self, condition):
        """Take out and return all requests whose ``Waiting`` meets a condition."""
        removed = []
        for group in self._classes.values():
            for team in list(group.queues):
                matching = [each for each in group.queues[team] if condition(each)]
                for waiting in matching:
                    self.drop(waiting)
                removed += matching
        return removed

    def backlog(self, team, urgent):
        """What waits ahead of a newcomer: (its team's, all teams', weights) in ms."""
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
        """The team with most slot time waiting by its weight: (team, ms per weight)."""
        shares = {
            team: self.cost_of(team) / self.weight(team)
            for group in self._classes.values()
            for team in group.queues
        }
        team = max(shares, key=shares.get, default=None)
        return team, shares.get(team, 0.0)

    def cost_of(self, team):
        """The slot time a team's waiting requests ask for."""
        queues = (group.queues.get(team, ()) for group in self._classes.values())
        return sum(each.cost_ms for queue in queues for each in queue)

    def pop_newest(self, team):
        """Take out the request of a team that came last, of the class with too many.

        The floor of the rest holds for places in the line too: a flood of urgent
        requests would else push out all others before their turn could come.
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
        """All (class, team) with something waiting, in the order they should go."""
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
        """Each ms for urgent work earns the rest its share; only while it waits."""
        if is_urgent(waiting.ask):
            if self._classes[False].count:
                earned = ROUTINE_SHARE / (1 - ROUTINE_SHARE)
                self._routine_credit_ms += waiting.cost_ms * earned
        else:
            self._routine_credit_ms -= waiting.cost_ms

    def _on_removed(self, group, waiting):
        team = waiting.ask.team
        group.count -= 1
        group.cost_ms -= waiting.cost_ms
        if not group.queues[team]:
            del group.queues[team]


class Backlog(typing.NamedTuple):
    """Slot time that waits ahead of a newcomer, and the weights that share."""

    own_ms: float
    total_ms: float
    weights: int


def is_urgent(ask):
    """Whether a request belongs to the urgent class."""
    return ask.priority >= URGENT_PRIORITY


def _serves_newest_first(oldest, now_ms):
    allowed_ms = oldest.deadline_ms - oldest.arrived_ms
    return now_ms - oldest.arrived_ms > NEWEST_FIRST_SHARE * allowed_ms
