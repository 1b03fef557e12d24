"""Who is asked what, when many steps wait for permission at once."""

from alderreach.core.generated import cell
from alderreach.decisions.cell import permissions

QUICK = cell.PermissionRule(20, 0.25, 2000)
SLOW = cell.PermissionRule(430, 6.0, 2000)
HELPERS = [f"h{number}" for number in range(12)]
WORKERS = [f"w{number}" for number in range(24)]


def ask(known, name, rule, now_ms=0):
    return known.ask((name, 0, 0), WORKERS, rule, HELPERS, now_ms, QUICK.decision_ms)


def test_quick_questions_of_urgent_jobs_do_not_wait_behind_slow_ones():
    """A burst of urgent jobs comes while many wide plans ask for permission. The plans'
    slow questions would keep every process busy for half a second at a time.
    """
    known = permissions.Permissions()
    asked = [ask(known, f"plan{number}", SLOW) for number in range(20)]
    assert sum(query is not None for query in asked) == 8
    urgent = [ask(known, f"urgent{number}", QUICK) for number in range(4)]
    assert all(query is not None for query in urgent)


def test_without_quick_rules_every_helper_is_used():
    known = permissions.Permissions()
    asked = [
        known.ask((n, 0, 0), WORKERS, SLOW, HELPERS, 0, SLOW.decision_ms)
        for n in range(12)
    ]
    assert all(query is not None for query in asked)


def test_one_question_at_a_time_for_each_helper():
    known = permissions.Permissions()
    asked = [ask(known, f"j{number}", QUICK) for number in range(13)]
    assert len({query.helper for query in asked[:12]}) == 12
    assert asked[12] is None


def test_an_answer_lasts_and_a_ticket_ages():
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


def granted_two(known, valid_ms):
    """A group that may use w0 and w1 of three workers asked about at 0 ms."""
    rule = QUICK._replace(valid_ms=valid_ms)
    query = known.ask("g", ["w0", "w1", "w2"], rule, HELPERS, 0)
    granted = [cell.Ticket("w0", "t0"), cell.Ticket("w1", "t1")]
    known.on_answer(query.query_id, True, granted, rule, now_ms=0)


def test_a_step_that_is_short_asks_about_others_though_a_permitted_worker_is_gone():
    """A step holds tickets of two workers and one of them is gone. The ticket of the
    other is fresh, so nothing is to be renewed, and that used to pause all questions.
    """
    known = permissions.Permissions()
    granted_two(known, valid_ms=2000)
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


def test_a_step_that_is_short_names_new_workers_beside_those_it_renews():
    """All processes are busy asking, so a step's turn comes only after its tickets have
    run out. Were a renewal a question of its own, its turn would always come first.
    """
    known = permissions.Permissions()
    granted_two(known, valid_ms=2000)
    known.record_shortage("g")
    wanted = known.workers_to_query(
        "g", WORKERS[:4], 8, permissions.TICKET_MARGIN_MS, now_ms=5000
    )
    assert wanted == ["w0", "w1", "w3"]


def test_a_step_that_was_placed_whole_is_asked_for_with_its_own_workers_again():
    """A task of a step that had room is lost. Its tickets have run out; naming others
    as well would only make the answer come later.
    """
    known = permissions.Permissions()
    granted_two(known, valid_ms=2000)
    known.record_shortage("g")
    known.clear_shortage("g")
    wanted = known.workers_to_query(
        "g", WORKERS[:4], 1, permissions.TICKET_MARGIN_MS, now_ms=5000
    )
    assert wanted == ["w0", "w1"]


def test_fresh_tickets_for_full_workers_do_not_keep_a_free_one_from_its_renewal():
    """A step holds five tickets. Four are fresh, for workers that are full; the fifth
    has run out, for one that is free. Four used to be enough, so the free worker stood
    idle until the others' tickets had run out as well.
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


def test_no_question_names_more_workers_than_the_service_takes():
    """A wide step of a generous policy waits for room in a large cell. Its tickets run
    out, and all its workers are to be renewed at once: 130, of which the permission
    service refuses to judge more than a hundred, each time.
    """
    known = permissions.Permissions()
    names = [f"w{number}" for number in range(176)]
    for first in range(0, 130, 26):
        asked = names[first : first + 26]
        query = known.ask("g", asked, QUICK, HELPERS, first)
        granted = [cell.Ticket(name, "t") for name in asked]
        known.on_answer(query.query_id, True, granted, QUICK, first)
    assert len(known.workers_to_query("g", names[:130], 50, 200, now_ms=9000)) == 100
    known.record_shortage("g")
    wanted = known.workers_to_query("g", names, 50, 200, now_ms=9000)
    assert len(wanted) == 100
    assert set(names[130:160]) <= set(wanted)


def test_a_helper_that_does_not_answer_is_given_up():
    """The process that was to ask is cut off. Its question is put by another."""
    known = permissions.Permissions()
    query = ask(known, "j", QUICK)
    assert known.has_open_query(("j", 0, 0))
    assert known.give_up_overdue(query.due_ms) == [query.helper]
    assert ask(known, "j", QUICK, query.due_ms) is not None
    assert known.on_answer(query.query_id, True, [], QUICK, 0) is None


def test_a_helper_that_gave_no_answer_is_not_the_first_to_be_asked_again():
    """A step waits for ever beside idle workers that nobody was told about. The process
    that greeted the leader first is heard by it and does not reach the permission
    service; idle again, it was given the same question each time, and eleven others
    that reach the service were never asked.
    """
    known = permissions.Permissions()
    silent = ask(known, "j", QUICK)
    known.give_up_overdue(silent.due_ms)
    again = ask(known, "j", QUICK, silent.due_ms)
    assert again.helper != silent.helper
    known.on_answer(again.query_id, False, [], QUICK, silent.due_ms)
    third = ask(known, "j", QUICK, silent.due_ms)
    assert third.helper not in (silent.helper, again.helper)
