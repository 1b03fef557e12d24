"""Permissions of steps to run on workers, queried ahead of need.

An external permission service decides on which workers a step may run. A decision takes
up to a second, and the service handles one query at a time for each calling VM. If the
leader sent all queries itself, and only once steps are ready, it would be the
bottleneck.

Queries are spread over all processes of the cell, the helpers, one at a time for each
(``query_helpers``). Slow queries leave some of them to quick ones, so that an urgent
step's query of 25 ms does not wait behind others of 600 ms that are not urgent.

An answer never changes, so a denied worker is not queried again. A ticket expires: it
is used only while at least ``TICKET_MARGIN_MS`` of its validity are left, and renewed
after that if the step still waits. If a step's permitted workers lack the capacity for
it, the same query also names workers that were not queried yet.

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

from alderreach.decisions.cell import group_answers, query_helpers, query_planning

# A start takes a synced log entry and a call, both before its ticket expires.
TICKET_MARGIN_MS = 200
# The maximum number of new workers in a query. A longer query takes longer to decide,
# and usually a third or more of the workers are permitted.
MAX_NEW_PER_QUERY = 30
# The permission service rejects a query that names more workers. Such a query would be
# repeated without end, and its step never placed.
MAX_QUERY_WORKERS = 100
# A renewal names this many workers for each waiting task, so that two of three may be
# full.
RENEWALS_PER_TASK = 3
# The minimum number of workers in a renewal, since free capacity changes while the
# query is decided.
MIN_RENEWALS = 4
# Tickets are renewed early only while at least this share of the helpers is idle.
MIN_IDLE_SHARE = 0.5
# A query without an answer is sent to another helper after this plus twice its expected
# decision time.
ANSWER_SLACK_MS = 400
# The minimum pause after a check that found nothing to query. A worker that joins or
# recovers in the meantime is queried that much later.
NOTHING_TO_QUERY_PAUSE_MS = 50
# A step is checked again after this if no helper was idle.
NO_HELPER_RETRY_MS = 20


class Query(typing.NamedTuple):
    """A query that was sent to a helper."""

    query_id: str
    group: tuple
    target_ids: list
    helper: str
    due_ms: int


class Permissions:
    """All answers that a leader received, and which helpers are busy."""

    def __init__(self):
        self._groups = {}
        self._queries = {}
        self.helpers = query_helpers.Helpers()
        self.shares = query_planning.GrantedShares()
        self._serial = 0

    def ticket(self, group, target_id, now_ms):
        """A group's ticket for a worker, or None if it has none for a start now."""
        answers = self._groups.get(group)
        if answers is None:
            return None
        ticket, until_ms = answers.tickets.get(target_id, ("", 0))
        return ticket if until_ms - now_ms >= TICKET_MARGIN_MS else None

    def has_ticket(self, group, now_ms):
        """Whether a group has any ticket that is valid for a start now."""
        answers = self._groups.get(group)
        return (
            answers is not None and answers.latest_until_ms - now_ms >= TICKET_MARGIN_MS
        )

    def has_open_query(self, group):
        """Whether a query for this group waits for its answer."""
        answers = self._groups.get(group)
        return answers is not None and answers.open_query is not None

    def permitted_ids(self, group, now_ms):
        """Ids of workers with a ticket that is valid for a start now."""
        answers = self._groups.get(group)
        if answers is None:
            return []
        return answers.fresh_ids(TICKET_MARGIN_MS - 1, now_ms)

    def record_shortage(self, group):
        """Record that workers with valid tickets lack capacity for a group's tasks.

        This ends a pause that began without a shortage, since there may be more to
        query now.
        """
        answers = self._groups.get(group)
        if answers is not None and not answers.has_shortage:
            answers.has_shortage = True
            answers.check_at_once()

    def clear_shortage(self, group):
        """Record that no task of a group waits any more."""
        answers = self._groups.get(group)
        if answers is not None:
            answers.has_shortage = False

    def renewal_lead_ms(self, rule, tasks, helpers):
        """How long before their expiry a waiting step's tickets are renewed.

        The answer should arrive before the ticket expires. Otherwise another step with
        a newer ticket would use any capacity that is freed in between. Early renewals
        are sent only while half of the helpers are idle, since steps without any ticket
        need the helpers more.
        """
        if self.helpers.idle_share(helpers) < MIN_IDLE_SHARE:
            return TICKET_MARGIN_MS
        return max_renewal_lead_ms(rule, tasks)

    def may_ask(self, group, now_ms):
        """Whether to call ``workers_to_query`` for a group now.

        Most waiting steps have fresh tickets and wait for free capacity. Sorting the
        workers for each of them would take most of a busy leader's time.
        """
        answers = self._groups.get(group)
        if answers is None:
            return True
        return answers.open_query is None and now_ms >= answers.next_check_ms

    def next_check_ms(self, group, now_ms):
        """When to check the next time whether a waiting step needs a query."""
        answers = self._groups.get(group)
        if answers is None:
            return now_ms + NO_HELPER_RETRY_MS
        if answers.open_query is not None:
            return answers.open_query.due_ms + 1
        return max(answers.next_check_ms, now_ms + NO_HELPER_RETRY_MS)

    def may_ask_ahead(self, group, tasks, ahead_ms, now_ms):
        """As ``may_ask``, for a step that is not open yet; False with enough tickets.

        For a step that already waits, the number of tickets is no criterion: they may
        be for workers that are draining or silent, and the next query would be sent
        only after they have expired.
        """
        if not self.may_ask(group, now_ms):
            return False
        answers = self._groups.get(group)
        if answers is None:
            return True
        fresh = len(answers.fresh_ids(ahead_ms, now_ms))
        return not fresh or fresh < min(_enough_workers(tasks), len(answers.tickets))

    def pause_checks(self, group, now_ms, ahead_ms=TICKET_MARGIN_MS, workers_version=0):
        """Pause the checks of a group after one that found nothing to query.

        The pause ends when a ticket has less than ``ahead_ms`` left, which is the
        maximum time by which one is renewed early, or when workers become usable.
        """
        answers = self._groups.get(group)
        if answers is not None:
            answers.early_check_ms = now_ms + NOTHING_TO_QUERY_PAUSE_MS
            expiry_ms = answers.next_expiry_ms(now_ms + TICKET_MARGIN_MS)
            answers.next_check_ms = max(answers.early_check_ms, expiry_ms - ahead_ms)

    def on_workers_changed(self, appeared, disappeared):
        """Handle workers that became usable or unusable; returns the affected groups.

        A group is affected by a new worker that it was not denied, since that may be
        queried, and by the loss of a worker that it has a ticket for.
        """
        concerned = []
        for group, answers in self._groups.items():
            if not answers.denied.issuperset(appeared) or any(
                target_id in answers.tickets for target_id in disappeared
            ):
                answers.next_check_ms = answers.early_check_ms
                concerned.append(group)
        return concerned

    def workers_to_query(self, group, suitable, tasks, ahead_ms, now_ms, is_gang=False):
        """Ids of the workers to query now, best first; empty if no query is needed.

        ``suitable`` are ids of workers in order of preference, and ``tasks`` is the
        number of waiting tasks. Tickets that are valid for more than ``ahead_ms`` need
        no renewal.

        Renewals and new workers share one query, so that neither delays the other: each
        query of a step with a shortage names new workers as long as there are any.

        A gang needs all its tickets at the same time, so a renewal for a gang with a
        shortage names all its permitted workers.
        """
        answers = self._groups.setdefault(group, group_answers.GroupAnswers())
        if answers.open_query is not None:
            return []
        new = []
        if answers.has_shortage or not any(t in answers.tickets for t in suitable):
            new = self.not_yet_queried(group, suitable)[:MAX_NEW_PER_QUERY]
        stale = _to_renew(answers, suitable, tasks, ahead_ms, now_ms)
        if stale and is_gang and answers.has_shortage:
            stale = [t for t in suitable if t in answers.tickets]
        return [*stale[: MAX_QUERY_WORKERS - len(new)], *new]

    def outlook(self, group, ahead_ms, now_ms):
        """What is known of a group, as a ``group_answers.Outlook``."""
        answers = self._groups.get(group)
        if answers is None:
            return group_answers.NO_OUTLOOK
        open_query = answers.open_query
        return group_answers.Outlook(
            answers.fresh_ids(ahead_ms, now_ms),
            answers.tickets,
            answers.denied,
            open_query.target_ids if open_query is not None else (),
        )

    def not_yet_queried(self, group, suitable):
        """Those of the given workers that were not queried yet."""
        answers = self._groups.setdefault(group, group_answers.GroupAnswers())
        return [
            target_id
            for target_id in suitable
            if target_id not in answers.tickets and target_id not in answers.denied
        ]

    def ever_permitted_ids(self, group):
        """Ids of all workers that a group was ever permitted, tickets valid or not."""
        answers = self._groups.get(group)
        return list(answers.tickets) if answers is not None else []

    def count_permitted(self, group, target_ids):
        """How many of the given workers a group was ever permitted."""
        answers = self._groups.get(group)
        tickets = answers.tickets if answers is not None else {}
        return sum(target_id in tickets for target_id in target_ids)

    def count_denied(self, group):
        """How many workers a group was denied."""
        answers = self._groups.get(group)
        return len(answers.denied) if answers is not None else 0

    def ask(self, group, target_ids, rule, helpers, now_ms, quickest_ms=None):
        """Create a query and assign it to an idle helper; None if there is none."""
        helper = self.helpers.find_idle(rule, helpers, quickest_ms, now_ms)
        if helper is None:
            return None
        self._serial += 1
        service_ms = decision_ms(rule, len(target_ids))
        due_ms = now_ms + 2 * service_ms + ANSWER_SLACK_MS
        query = Query(str(self._serial), group, target_ids, helper, due_ms)
        self._queries[query.query_id] = query
        is_slow = query_planning.is_slow(rule, quickest_ms)
        self.helpers.assign(helper, query, is_slow, now_ms)
        answers = self._groups.setdefault(group, group_answers.GroupAnswers())
        answers.open_query = query
        answers.queries += 1
        answers.service_ms += service_ms
        return query

    def effort(self, group):
        """A group's number of queries so far, and the service's time for them in ms."""
        answers = self._groups.get(group)
        return (answers.queries, answers.service_ms) if answers is not None else (0, 0)

    def find(self, query_id):
        """The open query with this id, or None."""
        return self._queries.get(query_id)

    def on_answer(self, query_id, is_decided, granted, rule, now_ms):
        """Record an answer; returns its query, or None if that was given up."""
        query = self._queries.get(query_id)
        if query is None:
            return None
        self._close_query(query, is_decided, now_ms)
        answers = self._groups.get(query.group)
        if answers is None or not is_decided:
            return query
        until_ms = now_ms + rule.valid_ms
        for ticket in granted:
            answers.tickets[ticket.target_id] = (ticket.ticket, until_ms)
            answers.latest_until_ms = until_ms
        answers.denied.update(set(query.target_ids) - answers.tickets.keys())
        answers.check_at_once()
        return query

    def invalidate_ticket(self, group, target_id):
        """Drop a ticket that a worker refused: expired, or of another incarnation."""
        answers = self._groups.get(group)
        if answers is not None and target_id in answers.tickets:
            answers.tickets[target_id] = ("", 0)
            answers.check_at_once()

    def forget(self, group):
        """Drop the answers of a group, no task of which will be started any more."""
        self._groups.pop(group, None)

    def forget_matching(self, is_over):
        """Drop the answers of all groups for which ``is_over(group)`` is true."""
        for group in [group for group in self._groups if is_over(group)]:
            del self._groups[group]

    def give_up_overdue(self, now_ms):
        """Close queries that were not answered in time; returns their helpers."""
        overdue = [q for q in self._queries.values() if now_ms >= q.due_ms]
        for query in overdue:
            self._close_query(query, False, now_ms)
        return [query.helper for query in overdue]

    def _close_query(self, query, has_answered, now_ms):
        del self._queries[query.query_id]
        self.helpers.release(query.helper, has_answered, now_ms)
        answers = self._groups.get(query.group)
        if answers is not None and answers.open_query is query:
            answers.open_query = None


def _to_renew(answers, suitable, tasks, ahead_ms, now_ms):
    """Permitted workers whose tickets expire, if too few others have fresh tickets.

    For a step with a shortage, fresh tickets are no reason to wait: their workers were
    tried and are full, while one with an expired ticket may have free capacity.
    """
    permitted = [t for t in suitable if t in answers.tickets]
    stale = [t for t in permitted if answers.tickets[t][1] - now_ms <= ahead_ms]
    fresh = len(permitted) - len(stale)
    if not answers.has_shortage and fresh >= min(
        _enough_workers(tasks), len(permitted)
    ):
        return []
    return stale[: _enough_workers(tasks)]


def _enough_workers(tasks):
    """How many workers with tickets are enough for a number of waiting tasks."""
    return max(MIN_RENEWALS, RENEWALS_PER_TASK * tasks)


def max_renewal_lead_ms(rule, tasks):
    """The maximum time before their expiry at which tickets are renewed."""
    return TICKET_MARGIN_MS + lead_ms(rule, _enough_workers(tasks))


def lead_ms(rule, worker_count):
    """How long before its answer is needed a query for some workers has to be sent."""
    return decision_ms(rule, worker_count) + TICKET_MARGIN_MS


def decision_ms(rule, worker_count):
    """How long the permission service takes for a query that names some workers."""
    return math.ceil(rule.decision_ms + rule.per_target_ms * worker_count)
