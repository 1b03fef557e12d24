"""Which workers an outside service lets a step run on, asked for ahead of need.

A decision takes up to a second, and the service serves each calling VM one question at
a time, so a leader that asked alone, once steps are ready, would be the bottleneck.

Questions are spread over all processes of the cell, one at a time each. A third of
the processes is kept for questions that are decided several times faster than the
longest, so that an urgent step's 25 ms do not queue behind 600 ms of work that can
wait.

An answer never changes, so a worker that was turned down is not asked about again. A
ticket ages: it is used only while ``SAFETY_MS`` of its life are left, and renewed once
they are not if the step still waits; a step that found too little room names workers
that nobody asked about in the same question.

>>> from alderreach.core.generated import cell
>>> known, rule = Permissions(), cell.PermissionRule(20, 0.2, 2000)
>>> query = known.ask("g", ["w1", "w2"], rule, ["helper"], now_ms=0)
>>> tickets = [cell.Ticket("w1", "t1")]
>>> _ = known.on_answer(query.query_id, True, tickets, rule, now_ms=20)
>>> known.workers_to_query("g", ["w1", "w2", "w3"], 4, TICKET_MARGIN_MS, now_ms=30)
[]
>>> known.record_shortage("g")
>>> known.workers_to_query("g", ["w1", "w2", "w3"], 4, TICKET_MARGIN_MS, now_ms=30)
['w3']
"""

import math
import typing

# A start needs a synced log entry and a call before its ticket runs out.
TICKET_MARGIN_MS = 200
# The longest list of workers in one question. Longer ones take longer to decide, and
# a third or more of the workers are usually let run a step.
MAX_NEW_PER_QUERY = 30
# The permission service takes no question that names more workers; one that did would
# be put again and again, and its step never placed.
MAX_QUERY_WORKERS = 100
# A renewal names this many workers for each task that still waits, so that two of
# three may be full.
RENEWALS_PER_TASK = 3
# Workers in one renewal at the least; room moves while the question is decided.
MIN_RENEWALS = 4
# Helpers kept for questions that are decided this many times faster.
QUICK_SHARE = 0.34
QUICK_RATIO = 4
# Tickets are renewed early only while this share of the helpers is idle.
IDLE_SHARE = 0.5
# A question without an answer is asked elsewhere after this and twice its due time.
ANSWER_SLACK_MS = 400
# A step for which there was nothing to ask is looked at again after this at the
# soonest: a worker that comes or recovers meanwhile is asked about that much later.
NOTHING_TO_ASK_PAUSE_MS = 50
# A step that found no idle helper tries again after this.
NO_HELPER_RETRY_MS = 20


class Query(typing.NamedTuple):
    """One question on its way."""

    query_id: str
    group: tuple
    target_ids: list
    helper: str
    due_ms: int


class _GroupAnswers:
    """What is known of one group: tickets by worker, and who was turned down.

    ``is_short`` says that workers with good tickets had too little room for it. After
    there was nothing to ask, the next check is at ``next_check_ms``, but already at
    ``early_check_ms`` if workers come or go meanwhile.
    """

    __slots__ = (
        "denied",
        "early_check_ms",
        "has_shortage",
        "next_check_ms",
        "open_query",
        "tickets",
    )

    def __init__(self):
        self.tickets = {}
        self.denied = set()
        self.open_query = None
        self.has_shortage = False
        self.check_at_once()

    def check_at_once(self):
        """Forget that there was nothing to ask."""
        self.next_check_ms = self.early_check_ms = 0

    def next_expiry_ms(self, after_ms):
        """When the first of the tickets that are good after a moment runs out."""
        later = [until for _ticket, until in self.tickets.values() if until > after_ms]
        return min(later, default=math.inf)

    def fresh_ids(self, ahead_ms, now_ms):
        """Workers whose tickets last longer than ``ahead_ms`` from now."""
        return [
            target_id
            for target_id, (_ticket, until_ms) in self.tickets.items()
            if until_ms - now_ms > ahead_ms
        ]


class Permissions:
    """All answers of a leader, and which helpers are busy."""

    def __init__(self):
        self._groups = {}
        self._queries = {}
        self._busy = {}
        self._failed_ms = {}
        self._serial = 0

    def ticket(self, group, target_id, now_ms):
        """A ticket that is good for a start now, or None."""
        answers = self._groups.get(group)
        if answers is None:
            return None
        ticket, until_ms = answers.tickets.get(target_id, ("", 0))
        return ticket if until_ms - now_ms >= TICKET_MARGIN_MS else None

    def has_open_query(self, group):
        """Whether a question for this group is on its way."""
        answers = self._groups.get(group)
        return answers is not None and answers.open_query is not None

    def permitted_ids(self, group, now_ms):
        """Ids of workers with a ticket that is good for a start now."""
        answers = self._groups.get(group)
        if answers is None:
            return []
        return answers.fresh_ids(TICKET_MARGIN_MS - 1, now_ms)

    def record_shortage(self, group):
        """Workers with good tickets had too little room for what waits of a group.

        A pause that was made while it was not short says nothing of what it needs now.
        """
        answers = self._groups.get(group)
        if answers is not None and not answers.has_shortage:
            answers.has_shortage = True
            answers.check_at_once()

    def clear_shortage(self, group):
        """Nothing of a group waits any more."""
        answers = self._groups.get(group)
        if answers is not None:
            answers.has_shortage = False

    def renewal_lead_ms(self, rule, tasks, helpers):
        """How long before its tickets run out a step that waits has them renewed.

        The answer comes before the ticket runs out, or another step with a newer ticket
        would take the room that comes meanwhile; but only while half of the helpers are
        idle, since steps without any ticket need them more.
        """
        idle = sum(helper not in self._busy for helper in helpers)
        if idle < IDLE_SHARE * len(helpers):
            return TICKET_MARGIN_MS
        return max_renewal_lead_ms(rule, tasks)

    def may_ask(self, group, now_ms):
        """Whether it is worth working out whom to ask about; see ``wanted``.

        Most waiting steps wait for room with all tickets fresh, and sorting the workers
        for each of them would take most of a busy leader's time.
        """
        answers = self._groups.get(group)
        if answers is None:
            return True
        return answers.open_query is None and now_ms >= answers.next_check_ms

    def next_check_ms(self, group, now_ms):
        """When a step that waits should be looked at for something to ask."""
        answers = self._groups.get(group)
        if answers is None:
            return now_ms + NO_HELPER_RETRY_MS
        if answers.open_query is not None:
            return answers.open_query.due_ms + 1
        return max(answers.next_check_ms, now_ms + NO_HELPER_RETRY_MS)

    def may_ask_ahead(self, group, tasks, ahead_ms, now_ms):
        """As ``may_ask``, for a step that is yet to open: not with tickets enough.

        Of a step that waits they say nothing: they may be of workers that drain, or are
        silent, and the next question would come only when they have run out.
        """
        if not self.may_ask(group, now_ms):
            return False
        answers = self._groups.get(group)
        if answers is None:
            return True
        fresh = len(answers.fresh_ids(ahead_ms, now_ms))
        return not fresh or fresh < min(_enough_workers(tasks), len(answers.tickets))

    def pause_checks(self, group, now_ms, ahead_ms=TICKET_MARGIN_MS, workers_version=0):
        """There was nobody to ask about; not worth working out again for a while.

        It is again once a ticket has less than ``ahead_ms`` left, the most by which one
        is renewed early, or workers come.
        """
        answers = self._groups.get(group)
        if answers is not None:
            answers.early_check_ms = now_ms + NOTHING_TO_ASK_PAUSE_MS
            expiry_ms = answers.next_expiry_ms(now_ms + TICKET_MARGIN_MS)
            answers.next_check_ms = max(answers.early_check_ms, expiry_ms - ahead_ms)

    def on_workers_changed(self, appeared, gone):
        """Workers have become usable or unusable; returns the groups it concerns.

        A group may be asked for with a worker that it was not denied, and has fewer
        workers than it counted on if one that it was let run on is gone.
        """
        concerned = []
        for group, answers in self._groups.items():
            if not answers.denied.issuperset(appeared) or any(
                target_id in answers.tickets for target_id in gone
            ):
                answers.next_check_ms = answers.early_check_ms
                concerned.append(group)
        return concerned

    def workers_to_query(self, group, suitable, tasks, ahead_ms, now_ms, is_gang=False):
        """Workers to ask about now, best first; empty if nothing has to be asked.

        ``suitable`` are ids of workers in the order in which they are wanted, and
        ``tasks`` is how many still wait. Tickets that last longer than ``ahead_ms``
        need no renewal.

        Renewals and new workers share one question, so that neither keeps the other
        out: each question of a step that is short names somebody new, until nobody is
        left.

        A gang needs all its tickets at one time, so the renewal of a gang that is short
        names all its permitted workers.
        """
        answers = self._groups.setdefault(group, _GroupAnswers())
        if answers.open_query is not None:
            return []
        new = []
        if answers.has_shortage or not any(t in answers.tickets for t in suitable):
            new = self.not_yet_queried(group, suitable)[:MAX_NEW_PER_QUERY]
        stale = _to_renew(answers, suitable, tasks, ahead_ms, now_ms)
        if stale and is_gang and answers.has_shortage:
            stale = [t for t in suitable if t in answers.tickets]
        return [*stale[: MAX_QUERY_WORKERS - len(new)], *new]

    def not_yet_queried(self, group, suitable):
        """Those of some workers that nobody asked about yet."""
        answers = self._groups.setdefault(group, _GroupAnswers())
        return [
            target_id
            for target_id in suitable
            if target_id not in answers.tickets and target_id not in answers.denied
        ]

    def ever_permitted_ids(self, group):
        """Ids of workers that a group was let run on, with tickets good or not."""
        answers = self._groups.get(group)
        return list(answers.tickets) if answers is not None else []

    def count_permitted(self, group, target_ids):
        """How many of some workers a group was ever let run on."""
        answers = self._groups.get(group)
        tickets = answers.tickets if answers is not None else {}
        return sum(target_id in tickets for target_id in target_ids)

    def count_denied(self, group):
        """How many workers were turned down for a group."""
        answers = self._groups.get(group)
        return len(answers.denied) if answers is not None else 0

    def idle_helper(self, rule, helpers, quickest_ms=None):
        """The helper that may take a question under a rule now, or None.

        ``quickest_ms`` is the decision time of the quickest rule in force.

        Whoever failed lately comes last, since a helper may be in touch with its leader
        and not with the permission service.
        """
        idle = [helper for helper in helpers if helper not in self._busy]
        if len(idle) <= _reserved_helpers(rule, helpers, quickest_ms):
            return None
        return min(idle, key=lambda helper: self._failed_ms.get(helper, 0))

    def ask(self, group, target_ids, rule, helpers, now_ms, quickest_ms=None):
        """Give a question to an idle helper; None if there is none for it."""
        helper = self.idle_helper(rule, helpers, quickest_ms)
        if helper is None:
            return None
        self._serial += 1
        due_ms = now_ms + 2 * _decision_ms(rule, target_ids) + ANSWER_SLACK_MS
        query = Query(str(self._serial), group, target_ids, helper, due_ms)
        self._queries[query.query_id] = query
        self._busy[helper] = query
        self._groups.setdefault(group, _GroupAnswers()).open_query = query
        return query

    def find(self, query_id):
        """The question with this id, or None if it was given up."""
        return self._queries.get(query_id)

    def on_answer(self, query_id, is_decided, granted, rule, now_ms):
        """Note an answer; returns its question, or None for one given up on."""
        query = self._queries.get(query_id)
        if query is None:
            return None
        self._close_query(query)
        if is_decided:
            self._failed_ms.pop(query.helper, None)
        else:
            self._failed_ms[query.helper] = now_ms
        answers = self._groups.get(query.group)
        if answers is None or not is_decided:
            return query
        until_ms = now_ms + rule.valid_ms
        for ticket in granted:
            answers.tickets[ticket.target_id] = (ticket.ticket, until_ms)
        answers.denied.update(set(query.target_ids) - answers.tickets.keys())
        answers.check_at_once()
        return query

    def invalidate_ticket(self, group, target_id):
        """A worker did not take a ticket: it is too old, or from another life."""
        answers = self._groups.get(group)
        if answers is not None and target_id in answers.tickets:
            answers.tickets[target_id] = ("", 0)
            answers.check_at_once()

    def forget(self, group):
        """Nothing of this group will be started any more."""
        self._groups.pop(group, None)

    def forget_matching(self, is_over):
        """Forget all groups of which ``is_over`` holds."""
        for group in [group for group in self._groups if is_over(group)]:
            del self._groups[group]

    def give_up_overdue(self, now_ms):
        """Free what waits for helpers that don't answer; returns their names."""
        overdue = [q for q in self._queries.values() if now_ms >= q.due_ms]
        for query in overdue:
            self._failed_ms[query.helper] = now_ms
            self._close_query(query)
        return [query.helper for query in overdue]

    def _close_query(self, query):
        del self._queries[query.query_id]
        self._busy.pop(query.helper, None)
        answers = self._groups.get(query.group)
        if answers is not None and answers.open_query is query:
            answers.open_query = None


def _to_renew(answers, suitable, tasks, ahead_ms, now_ms):
    """Permitted workers whose tickets run out, if too few others have fresh ones.

    Those with fresh tickets are no reason to wait for a step that is short: they were
    tried and are full, and one whose ticket has run out may be free.
    """
    good = [t for t in suitable if t in answers.tickets]
    stale = [t for t in good if answers.tickets[t][1] - now_ms <= ahead_ms]
    fresh = len(good) - len(stale)
    if not answers.has_shortage and fresh >= min(_enough_workers(tasks), len(good)):
        return []
    return stale[: _enough_workers(tasks)]


def _enough_workers(tasks):
    """How many workers with tickets are enough for so many waiting tasks."""
    return max(MIN_RENEWALS, RENEWALS_PER_TASK * tasks)


def max_renewal_lead_ms(rule, tasks):
    """The earliest that tickets are renewed before they run out."""
    return TICKET_MARGIN_MS + lead_ms(rule, _enough_workers(tasks))


def lead_ms(rule, asked):
    """How long ahead a question about so many workers has to be asked."""
    return math.ceil(rule.decision_ms + rule.per_target_ms * asked) + TICKET_MARGIN_MS


def _reserved_helpers(rule, helpers, quickest_ms):
    """How many helpers a question must leave idle for quicker ones."""
    if quickest_ms is None or rule.decision_ms < QUICK_RATIO * max(1, quickest_ms):
        return 0
    return int(QUICK_SHARE * len(helpers))


def _decision_ms(rule, target_ids):
    return math.ceil(rule.decision_ms + rule.per_target_ms * len(target_ids))
