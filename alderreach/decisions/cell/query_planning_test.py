"""Which permission queries are sent, and which workers they name."""

from alderreach.core.generated import cell
from alderreach.decisions.cell import permissions, query_planning

QUICK = cell.PermissionRule(53, 0.75, 2_500)
SLOW = cell.PermissionRule(717, 10.1, 2_500)
HELPERS = [f"h{number}" for number in range(43)]


def option(number, fits=1, ready_ms=0, claims=0, chance=0.35):
    return query_planning.Option(f"w{number}", fits, ready_ms, claims, chance)


def ask(known, number, rule, now_ms):
    group = (f"j{number}", 0, 0)
    return known.ask(group, ["w1"], rule, HELPERS, now_ms, QUICK.decision_ms)


def send(known, numbers, rule, now_ms):
    queries = [ask(known, number, rule, now_ms) for number in numbers]
    return [query for query in queries if query is not None]


def answer(known, queries, rule, now_ms):
    for query in queries:
        known.on_answer(query.query_id, True, [], rule, now_ms)


def test_after_calm_slow_queries_get_nearly_all_helpers():
    """Guards against idle helpers: 14 of 43 were reserved, 2 to 5 of them needed."""
    known = permissions.Permissions()
    answer(known, send(known, range(4), QUICK, 0), QUICK, 100)
    assert len(send(known, range(100, 200), SLOW, 2_500)) == 29
    assert len(send(known, range(200, 300), SLOW, 3_200)) == 41 - 29


def test_a_burst_of_quick_queries_after_calm_waits_for_a_few_answers_only():
    """Guards against urgent steps that start later than in 0.21 s, their bound.

    All but two helpers have slow queries, which end one by one, when 12 urgent steps
    open within 20 ms. Each helper that becomes idle goes to one of them.
    """
    known = permissions.Permissions()
    known.helpers.reserved(HELPERS, 0)
    slow = send(known, range(100, 200), SLOW, 4_000)
    assert len(slow) == 41
    waiting, started_ms, quick = list(range(12)), [], []
    for now_ms in range(4_400, 4_700, 10):
        if now_ms % 25 < 10:
            answer(known, [slow.pop()], SLOW, now_ms)
        done = [each for each in quick if now_ms - each[0] >= 60]
        answer(known, [query for _ms, query in done], QUICK, now_ms)
        quick = [each for each in quick if each not in done]
        while waiting and (query := ask(known, waiting[0], QUICK, now_ms)):
            quick.append((now_ms, query))
            started_ms.append(now_ms - 4_400 + 60)
            waiting.pop(0)
        assert not send(known, [500 + now_ms], SLOW, now_ms) or not waiting
    assert started_ms[len(started_ms) // 2] <= 150
    assert len(started_ms) == 12 and started_ms[10] <= 210


def test_dead_helpers_do_not_count_as_reserved_for_quick_queries():
    """Guards against a reserve of two helpers that are both cut off."""
    known = permissions.Permissions()
    known.helpers.reserved(HELPERS, 0)
    dead = send(known, [1, 2], SLOW, 3_500)
    known.give_up_overdue(dead[0].due_ms)
    now_ms = dead[0].due_ms + 10
    assert len(send(known, range(100, 200), SLOW, now_ms)) == 39
    helpers = {query.helper for query in send(known, [3, 4], QUICK, now_ms)}
    assert helpers.isdisjoint({query.helper for query in dead})


def test_helpers_that_answer_429_get_slow_queries_again_at_a_bounded_rate():
    """Guards against queries that circulate among helpers which refuse all of them."""
    known = permissions.Permissions()
    sent = 0
    for now_ms in range(4_000, 9_000, 20):
        for query in send(known, range(50), SLOW, now_ms):
            sent += 1
            known.on_answer(query.query_id, False, [], SLOW, now_ms + 5)
    assert sent <= len(HELPERS) * 6


def test_one_query_names_enough_workers_for_all_tasks_of_a_batch_step():
    """Guards against a batch step that takes 3.2 queries: 30 workers were named, of
    which 35 % are granted, for 21 tasks.
    """
    shares = query_planning.GrantedShares()
    assert shares.share("plan") == 0.5
    for _answer in range(40):
        shares.observe("plan", 30, 10)
    share = shares.share("plan")
    assert 0.3 < share < 0.36
    options = [option(number, chance=share) for number in range(176)]
    named = query_planning.choose(options, 21, permissions.MAX_QUERY_WORKERS)
    assert 21 <= 0.35 * len(named) <= 30
    roomy = [option(number, fits=4, chance=share) for number in range(176)]
    assert len(query_planning.choose(roomy, 21, 100)) <= 30


def test_workers_with_room_that_nobody_claims_are_named_first():
    """Guards against steps that all query for the same few free workers."""
    options = [
        option(1, fits=0, ready_ms=100),
        option(2, claims=3),
        option(3, ready_ms=900),
        option(4),
        option(5, ready_ms=300),
    ]
    named = query_planning.choose(options, 9, 100)
    assert named == ["w4", "w2", "w5", "w3", "w1"]


def test_a_step_that_is_about_to_be_late_names_fewer_workers():
    """Guards against a job that is late because its query names 100 workers."""
    limit = query_planning.name_limit
    assert limit(SLOW, 5_000, 100) == 100
    assert limit(SLOW, 1_000, 100) == 28
    assert limit(SLOW, 730, 100) == query_planning.MIN_NAMED
    assert limit(SLOW, -4_000, 100) == 100


def test_a_worker_that_takes_next_to_nothing_does_not_limit_a_query():
    """Guards against a configuration at which each new leader's process ends."""
    rule = cell.PermissionRule(53, 1e-300, 2_500)
    assert query_planning.name_limit(rule, 10**11, 100) == 100
    assert query_planning.name_limit(rule, 60, 100) == 100


def test_a_gang_renews_all_its_tickets_with_the_query_for_further_ones():
    """Guards against a gang of which some tickets are always expired."""
    options = [option(n, chance=1.0) for n in range(10)]
    options += [option(n) for n in range(10, 60)]
    permitted = {f"w{number}" for number in range(10)}
    named = query_planning.choose_for_gang(options, permitted, 20, 100)
    assert permitted <= set(named) and 30 < len(named) <= 60
    assert query_planning.choose_for_gang(options, permitted, 61, 100) == []
