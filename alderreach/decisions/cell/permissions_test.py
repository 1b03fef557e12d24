"""Permission queries when many steps wait for permission at once."""

from alderreach.core.generated import cell
from alderreach.decisions.cell import permissions

QUICK = cell.PermissionRule(20, 0.25, 2000)
SLOW = cell.PermissionRule(430, 6.0, 2000)
HELPERS = [f"h{number}" for number in range(12)]
WORKERS = [f"w{number}" for number in range(24)]


def ask(known, name, rule, now_ms=0):
    return known.ask((name, 0, 0), WORKERS, rule, HELPERS, now_ms, QUICK.decision_ms)


def test_quick_queries_of_urgent_jobs_do_not_wait_behind_slow_ones():
    """Guards against urgent jobs that wait because all helpers are busy.

    A burst of urgent jobs arrives while many wide plans need permissions. The plans'
    slow queries would keep every helper busy for half a second at a time.
    """
    known = permissions.Permissions()
    queries = [ask(known, f"plan{number}", SLOW) for number in range(20)]
    assert sum(query is not None for query in queries) == 8
    urgent = [ask(known, f"urgent{number}", QUICK) for number in range(4)]
    assert all(query is not None for query in urgent)


def test_without_quick_rules_every_helper_is_used():
    known = permissions.Permissions()
    queries = [
        known.ask((n, 0, 0), WORKERS, SLOW, HELPERS, 0, SLOW.decision_ms)
        for n in range(12)
    ]
    assert all(query is not None for query in queries)


def test_each_helper_gets_one_query_at_a_time():
    known = permissions.Permissions()
    queries = [ask(known, f"j{number}", QUICK) for number in range(13)]
    assert len({query.helper for query in queries[:12]}) == 12
    assert queries[12] is None


def test_answers_are_kept_and_tickets_expire():
    known = permissions.Permissions()
    group = ("j", 0, 0)
    query = ask(known, "j", QUICK)
    granted = [cell.Ticket("w1", "t1"), cell.Ticket("w2", "t2")]
    known.on_answer(query.query_id, True, granted, QUICK, now_ms=30)
    assert known.ticket(group, "w1", 1000) == "t1"
    assert known.ticket(group, "w3", 1000) is None
    assert (
        known.workers_to_query(group, WORKERS, 1, permissions.TICKET_MARGIN_MS, 1000)
        == []
    )
    assert known.ticket(group, "w1", 1900) is None
    renewed = known.workers_to_query(
        group, WORKERS, 1, permissions.TICKET_MARGIN_MS, 1900
    )
    assert renewed == ["w1", "w2"]


def grant_two(known, valid_ms):
    """Let a group use w0 and w1 of the three workers in a query at 0 ms."""
    rule = QUICK._replace(valid_ms=valid_ms)
    query = known.ask("g", ["w0", "w1", "w2"], rule, HELPERS, 0)
    granted = [cell.Ticket("w0", "t0"), cell.Ticket("w1", "t1")]
    known.on_answer(query.query_id, True, granted, rule, now_ms=0)


def test_a_step_with_a_shortage_queries_others_though_a_permitted_worker_is_gone():
    """Guards against a pause of all queries while one permitted worker is gone.

    A step has tickets for two workers and one of them is gone. The other ticket is
    fresh, so there is nothing to renew, and the checks of the step were paused.
    """
    known = permissions.Permissions()
    grant_two(known, valid_ms=2000)
    left = ["w1", "w3", "w4"]
    now_ms = 2000
    renewal = known.workers_to_query("g", left, 8, permissions.TICKET_MARGIN_MS, now_ms)
    assert renewal == ["w1"]
    query = known.ask("g", renewal, QUICK, HELPERS, now_ms)
    known.on_answer(query.query_id, True, [cell.Ticket("w1", "t")], QUICK, now_ms)
    assert (
        known.workers_to_query("g", left, 8, permissions.TICKET_MARGIN_MS, now_ms) == []
    )
    known.pause_checks("g", now_ms)
    known.record_shortage("g")
    assert known.may_ask("g", now_ms)
    assert known.workers_to_query(
        "g", left, 8, permissions.TICKET_MARGIN_MS, now_ms
    ) == [
        "w3",
        "w4",
    ]


def test_a_step_with_a_shortage_queries_new_workers_along_with_renewals():
    """Guards against renewals that keep new workers from ever being queried.

    While all helpers are busy, a step gets one only after its tickets have expired. If
    renewals were separate queries, they would always come first.
    """
    known = permissions.Permissions()
    grant_two(known, valid_ms=2000)
    known.record_shortage("g")
    wanted = known.workers_to_query(
        "g", WORKERS[:4], 8, permissions.TICKET_MARGIN_MS, now_ms=5000
    )
    assert wanted == ["w0", "w1", "w3"]


def test_a_step_without_a_shortage_only_renews_its_own_workers():
    """Guards against queries that take longer than necessary.

    All tasks of the step were placed, then one is lost. Its tickets have expired;
    naming further workers would only delay the answer.
    """
    known = permissions.Permissions()
    grant_two(known, valid_ms=2000)
    known.record_shortage("g")
    known.clear_shortage("g")
    wanted = known.workers_to_query(
        "g", WORKERS[:4], 1, permissions.TICKET_MARGIN_MS, now_ms=5000
    )
    assert wanted == ["w0", "w1"]


def test_fresh_tickets_for_full_workers_do_not_keep_a_free_one_from_its_renewal():
    """Guards against a free worker that stays idle until all other tickets expire.

    A step has five tickets. Four are fresh, for workers that are full; the fifth, for a
    free worker, has expired. Four fresh tickets were considered enough.
    """
    known = permissions.Permissions()
    early = known.ask("g", ["w0"], QUICK, HELPERS, 0)
    known.on_answer(early.query_id, True, [cell.Ticket("w0", "t")], QUICK, 0)
    later = known.ask("g", WORKERS[1:5], QUICK, HELPERS, 1500)
    granted = [cell.Ticket(name, "t") for name in WORKERS[1:5]]
    known.on_answer(later.query_id, True, granted, QUICK, 1500)
    suitable = WORKERS[:5]
    assert (
        known.workers_to_query("g", suitable, 1, permissions.TICKET_MARGIN_MS, 2000)
        == []
    )
    known.record_shortage("g")
    assert known.workers_to_query(
        "g", suitable, 1, permissions.TICKET_MARGIN_MS, 2000
    ) == ["w0"]


def test_no_query_names_more_workers_than_the_service_accepts():
    """Guards against queries that the permission service rejects each time.

    A wide step with a permissive policy waits for capacity in a large cell. Its tickets
    expire, and 130 workers are to be renewed at once, while the service accepts no more
    than 100 in a query.
    """
    known = permissions.Permissions()
    names = [f"w{number}" for number in range(176)]
    for first in range(0, 130, 26):
        batch = names[first : first + 26]
        query = known.ask("g", batch, QUICK, HELPERS, first)
        granted = [cell.Ticket(name, "t") for name in batch]
        known.on_answer(query.query_id, True, granted, QUICK, first)
    assert len(known.workers_to_query("g", names[:130], 50, 200, now_ms=9000)) == 100
    known.record_shortage("g")
    wanted = known.workers_to_query("g", names, 50, 200, now_ms=9000)
    assert len(wanted) == 100
    assert set(names[130:160]) <= set(wanted)


def test_a_helper_that_does_not_answer_is_given_up():
    """The query of a helper that is cut off goes to another helper."""
    known = permissions.Permissions()
    query = ask(known, "j", QUICK)
    assert known.has_open_query(("j", 0, 0))
    assert known.give_up_overdue(query.due_ms) == [query.helper]
    assert ask(known, "j", QUICK, query.due_ms) is not None
    assert known.on_answer(query.query_id, True, [], QUICK, 0) is None


def test_a_helper_that_gave_no_answer_is_not_the_next_to_get_the_query():
    """Guards against a step that waits for ever although workers are idle.

    The helper that the leader discovered first is connected to the leader but not to
    the permission service. Whenever it was idle again it got the same query, while the
    eleven helpers that reach the service got none.
    """
    known = permissions.Permissions()
    silent = ask(known, "j", QUICK)
    known.give_up_overdue(silent.due_ms)
    again = ask(known, "j", QUICK, silent.due_ms)
    assert again.helper != silent.helper
    known.on_answer(again.query_id, False, [], QUICK, silent.due_ms)
    third = ask(known, "j", QUICK, silent.due_ms)
    assert third.helper not in (silent.helper, again.helper)
